"""Messages of other gateways that this build cannot decode."""

from dataclasses import dataclass, field

from ibisplank.ids import MemberId
from ibisplank.process import log_event

#: Different kinds of messages that are logged.
MAX_LOGGED = 100


@dataclass(slots=True)
class UnknownMessages:
    """Counts messages that were left out, and logs the first of each kind.

    While VMs are upgraded in turn, gateways of two versions exchange messages,
    and the newer ones may send some that the older ones do not know.

    Attributes
    ----------
    count : int
        Messages left out so far.
    """

    count: int = 0
    _logged: set[tuple[MemberId, str]] = field(default_factory=set)

    def record(self, member: MemberId, reason: str) -> None:
        """Record a message that was left out."""
        self.count += 1
        kind = (member, reason)
        if kind in self._logged or len(self._logged) >= MAX_LOGGED:
            return
        self._logged.add(kind)
        log_event('message left out', gateway=member, reason=reason)
