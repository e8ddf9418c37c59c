"""Calls that a cold backend server gets, over all gateways."""

from collections.abc import Iterable

from ibisplank.ids import MemberId, ServerId
from ibisplank.rendezvous import choose_by_hash

#: Rate at which the pacing gateway sends, of that which the server bears.
PACING_SHARE = 0.9
#: Calls a second to a server that is said to bear none.
MIN_RATE = 0.01


def choose_pacer(
    server: ServerId,
    members: Iterable[MemberId],
) -> MemberId | None:
    """Return the one gateway that sends to a server while it is cold.

    All gateways choose alike from the same members; while they disagree,
    two pace it at once, which the bound's slack covers.

    >>> choose_pacer(ServerId('s'), [MemberId('m')])
    'm'
    """
    return choose_by_hash(server, members)


class ColdServerPacer:
    """Even spacing of calls to cold servers; a new pacer saves up none.

    Load pattern: an empty server looks like the best choice to everybody at
    once, and falls over.
    """

    def __init__(self) -> None:
        self._next_at: dict[ServerId, float] = {}

    def may_send(self, server: ServerId, now: float) -> bool:
        """Tell whether a cold server may get a call now."""
        return now >= self._next_at.get(server, 0.0)

    def record_sent(self, server: ServerId, now: float, rate: float) -> None:
        """Take in that a call was sent to a cold server.

        Parameters
        ----------
        rate : float
            Calls a second that the server bears.
        """
        self._next_at[server] = now + 1 / max(rate * PACING_SHARE, MIN_RATE)
