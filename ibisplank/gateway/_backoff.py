"""Backoff of reads from a failing store, shared by a gateway's topics."""

from dataclasses import dataclass


@dataclass(slots=True)
class StoreBackoff:
    """Limits reads of a failing store to one per delay.

    Load pattern: every gateway reads every topic, and failed reads of the
    store are billed too. While the store fails, the topics of a gateway share
    one read per delay, which finds out whether it works again. The first
    success lifts the limit.

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
        """Return whether the store may be read now.

        While the store fails, a permitted read delays the next one.
        """
        if not self.failures:
            return True
        if now < self._next_at:
            return False
        self._next_at = now + self._delay_s
        return True

    def record_failure(self, now: float, delay_s: float) -> None:
        """Record a failed read; the next one may follow after a delay."""
        self.failures += 1
        self._delay_s = delay_s
        self._next_at = now + delay_s

    def record_success(self) -> None:
        """Record a successful read."""
        self.failures = 0
