"""When a store that fails is asked again, over all topics of a gateway."""

from dataclasses import dataclass


@dataclass(slots=True)
class StoreOutage:
    """Turns at a store that has failed.

    Load pattern: a store that is down is asked by every gateway for every
    topic, and each refused call is paid for. While it fails, one topic's
    call at a time finds out for all; the first success sets all free.

    Examples
    --------
    >>> outage = StoreOutage()
    >>> outage.note_failure(now=1.0, pause_s=0.5)
    >>> outage.take_turn(now=1.2), outage.take_turn(now=1.5)
    (False, True)
    >>> outage.take_turn(now=1.6)
    False
    >>> outage.note_success()
    >>> outage.take_turn(now=1.6)
    True
    """

    failures: int = 0
    _next_at: float = 0.0
    _pause_s: float = 0.0

    def take_turn(self, now: float) -> bool:
        """Tell whether the store may be asked now; takes the turn."""
        if not self.failures:
            return True
        if now < self._next_at:
            return False
        self._next_at = now + self._pause_s
        return True

    def note_failure(self, now: float, pause_s: float) -> None:
        """Take in that a call failed; the next comes after a pause."""
        self.failures += 1
        self._pause_s = pause_s
        self._next_at = now + pause_s

    def note_success(self) -> None:
        """Take in that a call was answered."""
        self.failures = 0
