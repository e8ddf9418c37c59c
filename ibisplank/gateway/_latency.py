"""Recent latencies of the calls of a route."""

import statistics
from collections import deque
from dataclasses import dataclass, field

#: Number of latencies kept per route.
WINDOW = 64
#: Few calls on servers of normal speed take more than this many times the
#: median.
SLOW_FACTOR = 1.7


@dataclass(slots=True)
class LatencyWindow:
    """Median latency of the recent successful calls of one route.

    Load pattern: a fifth of all calls takes four times as long, because the
    machines of the servers are shared. These calls would raise a mean and its
    deviation so far that no call counts as slow; the median resists them.

    Parameters
    ----------
    initial_s : float
        Latency that is assumed before the first answer.

    Examples
    --------
    >>> latencies = LatencyWindow(1.0)
    >>> for latency_s in (0.2, 0.2, 0.9): latencies.add(latency_s)
    >>> latencies.median_s
    0.2
    """

    initial_s: float
    _recent: deque[float] = field(default_factory=lambda: deque(maxlen=WINDOW))

    @property
    def median_s(self) -> float:
        """Median of the recent latencies."""
        return statistics.median(self._recent or [self.initial_s])

    @property
    def slow_s(self) -> float:
        """Latency that few calls on a server of normal speed exceed."""
        return SLOW_FACTOR * self.median_s

    @property
    def longest_s(self) -> float:
        """Longest recent latency, calls on slow servers included."""
        return max((self.slow_s, *self._recent))

    def add(self, latency_s: float) -> None:
        """Record the latency of a successful call."""
        self._recent.append(latency_s)
