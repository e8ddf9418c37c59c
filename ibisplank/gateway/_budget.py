"""Retry budget of one gateway for one service."""

from collections import deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Limit on the retries of one service, over all gateways.

    Attributes
    ----------
    ratio : float
        Retries allowed per call in the window.
    slack : float
        Retries allowed per window in addition.
    window_s : float
        Length of the sliding window.
    """

    ratio: float = 0.2
    slack: float = 0.0
    window_s: float = 10.0


#: Part of the limit that is used. The rest is a margin for retries that reach
#: the servers late.
SAFE_SHARE = 0.85


@dataclass(slots=True)
class ServiceRetryBudget:
    """Retries that this gateway may still send to one service.

    Load pattern: servers fail or slow down together, and all gateways want
    to retry at once. The ratio applies to the calls that arrived at this
    gateway and the slack is split evenly, so the sum over all gateways stays
    below the limit in any order of events.

    Examples
    --------
    >>> limits = RetryLimits(ratio=0.5, slack=0.0, window_s=1.0)
    >>> budget = ServiceRetryBudget(limits)
    >>> for _ in range(3): budget.record_call(0.0)
    >>> budget.spend(0.1, members=4), budget.spend(0.1, members=4)
    (True, False)
    """

    limits: RetryLimits
    _calls: deque[float] = field(default_factory=deque)
    _retries: deque[float] = field(default_factory=deque)

    def record_call(self, now: float) -> None:
        """Count a call that arrived at this gateway."""
        self._calls.append(now)
        self._discard_expired(now)

    def count_available(self, now: float, members: int) -> float:
        """Return how many retries are left in this window."""
        self._discard_expired(now)
        earned = self.limits.ratio * len(self._calls)
        slack = self.limits.slack / max(1, members)
        return SAFE_SHARE * (earned + slack) - len(self._retries)

    def spend(self, now: float, members: int, reserve: float = 0.0) -> bool:
        """Take a retry if the reserve remains; return whether it was taken."""
        if self.count_available(now, members) < 1 + reserve:
            return False
        self._retries.append(now)
        return True

    def _discard_expired(self, now: float) -> None:
        oldest = now - self.limits.window_s
        while self._calls and self._calls[0] < oldest:
            self._calls.popleft()
        while self._retries and self._retries[0] < oldest:
            self._retries.popleft()
