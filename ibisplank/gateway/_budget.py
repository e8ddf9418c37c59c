"""Share of the retries of a service that one gateway may send."""

from collections import deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Bound on the retries of one service, over all gateways.

    Attributes
    ----------
    ratio : float
        Retries that each call in the window allows.
    slack : float
        Retries that a window allows beyond these.
    window_s : float
        Length of the sliding window.
    """

    ratio: float = 0.2
    slack: float = 0.0
    window_s: float = 10.0


#: Part of the bound that is used; the rest is for late arrivals.
SAFE_SHARE = 0.85


@dataclass(slots=True)
class RetryBudget:
    """Retries of one service that this gateway may still send.

    Load pattern: servers fail or slow down together, and every gateway
    wants to retry at once. The ratio is earned by calls that arrived here,
    and the slack is split evenly, so the shares sum to less than the bound
    whatever the interleaving.

    Examples
    --------
    >>> budget = RetryBudget(RetryLimits(ratio=0.5, slack=0.0, window_s=1.0))
    >>> for _ in range(3): budget.record_call(0.0)
    >>> budget.spend(0.1, members=4), budget.spend(0.1, members=4)
    (True, False)
    """

    limits: RetryLimits
    _calls: deque[float] = field(default_factory=deque)
    _retries: deque[float] = field(default_factory=deque)

    def record_call(self, now: float) -> None:
        """Count a call that arrived here."""
        self._calls.append(now)
        self._discard_expired(now)

    def count_available(self, now: float, members: int) -> float:
        """Return how many retries may still be sent in this window."""
        self._discard_expired(now)
        earned = self.limits.ratio * len(self._calls)
        slack = self.limits.slack / max(1, members)
        return SAFE_SHARE * (earned + slack) - len(self._retries)

    def spend(self, now: float, members: int, reserve: float = 0.0) -> bool:
        """Take one retry, if there is one beyond a reserve."""
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
