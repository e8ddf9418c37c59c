"""Pacing of calls to cold backend servers."""

from collections.abc import Iterable

from ibisplank.ids import MemberId, ServerId
from ibisplank.rendezvous import choose_by_hash

#: Part of the warm-up rate of a server at which the pacing gateway sends.
PACING_SHARE = 0.9
#: Lower bound on the calls per second that are sent to a cold server.
MIN_RATE = 0.01


def choose_pacer(
    server: ServerId,
    members: Iterable[MemberId],
) -> MemberId | None:
    """Return the only gateway that sends to a server while it is cold.

    Gateways that know the same members make the same choice. While they know
    different ones, two gateways may pace the server at once; the slack of the
    limit on its calls covers this.

    >>> choose_pacer(ServerId('s'), [MemberId('m')])
    'm'
    """
    return choose_by_hash(server, members)


class ColdServerPacer:
    """Spaces the calls to cold servers evenly, without bursts.

    Load pattern: all gateways prefer a server that has just started, as it
    is idle, and together they overload it. Unused calls are not saved up, so
    a gateway that takes over the pacing does not start with a burst.
    """

    def __init__(self) -> None:
        self._next_at: dict[ServerId, float] = {}

    def may_send(self, server: ServerId, now: float) -> bool:
        """Return whether a cold server may get a call now."""
        return now >= self._next_at.get(server, 0.0)

    def record_sent(self, server: ServerId, now: float, rate: float) -> None:
        """Record that a call was sent to a cold server.

        Parameters
        ----------
        rate : float
            Calls per second that the server can handle.
        """
        self._next_at[server] = now + 1 / max(rate * PACING_SHARE, MIN_RATE)
