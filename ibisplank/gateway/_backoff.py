"""When a store that fails is asked again, over all topics of a gateway."""

from dataclasses import dataclass


@dataclass(slots=True)
class StoreBackoff:
    """Turns at a store that has failed.

    Load pattern: a store that is down is asked by every gateway for every
    topic, and each refused call is paid for. While it fails, one topic's
    call at a time finds out for all; the first success sets all free.

    Examples
    --------
    >>> backoff = StoreBackoff()
    >>> backoff.record_failure(now=1.0, delay_s=0.5)
    >>> backoff.try_acquire(now=1.2), backoff.try_acquire(now=1.5)
    (False, True)
    >>> backoff.try_acquire(now=1.6)
    False
    >>> backoff.record_success()
    >>> backoff.try_acquire(now=1.6)
    True
    """

    failures: int = 0
    _next_at: float = 0.0
    _delay_s: float = 0.0

    def try_acquire(self, now: float) -> bool:
        """Tell whether the store may be asked now; takes the turn."""
        if not self.failures:
            return True
        if now < self._next_at:
            return False
        self._next_at = now + self._delay_s
        return True

    def record_failure(self, now: float, delay_s: float) -> None:
        """Take in that a call failed; the next comes after a pause."""
        self.failures += 1
        self._delay_s = delay_s
        self._next_at = now + delay_s

    def record_success(self) -> None:
        """Take in that a call was answered."""
        self.failures = 0
