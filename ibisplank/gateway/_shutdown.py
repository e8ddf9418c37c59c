"""Which calls a gateway still accepts while it stops, and when they end."""

import math
from dataclasses import dataclass

#: Part of the grace period after which the process exits even if calls are
#: still running.
DRAIN_SHARE = 0.93
#: Time that is kept to write the last answers before the process exits.
ANSWER_MARGIN_S = 0.15


@dataclass(slots=True)
class Shutdown:
    """The grace period of a gateway that stops.

    Load pattern: after SIGTERM the platform's balancer sends new connections
    for two more seconds, and those that are open bring further calls. Routes
    may allow a call more time than is left of the grace period. A call that
    would probably not end in time is refused when it arrives, as it can still
    run elsewhere; one that is running is answered before the process exits,
    as a connection that is just closed tells its caller nothing.

    Attributes
    ----------
    answer_by : float
        Time by which all calls are answered, infinite while the gateway does
        not stop.
    exit_at : float
        Time at which the process exits, infinite as well.
    """

    answer_by: float = math.inf
    exit_at: float = math.inf

    @property
    def begun(self) -> bool:
        """Whether the gateway stops."""
        return self.answer_by < math.inf

    def begin(self, now: float, grace_s: float) -> None:
        """Start the grace period."""
        self.exit_at = now + grace_s * DRAIN_SHARE
        self.answer_by = self.exit_at - ANSWER_MARGIN_S

    def may_accept(self, now: float, longest_s: float) -> bool:
        """Return whether a call that takes so long may be sent to a server."""
        return now + longest_s <= self.answer_by

    def limit_deadline(self, deadline_at: float) -> float:
        """Return the deadline of a call, earlier if the gateway stops."""
        return min(deadline_at, self.answer_by)
