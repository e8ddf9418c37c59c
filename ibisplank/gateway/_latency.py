"""What the calls of a route usually take."""

import statistics
from collections import deque
from dataclasses import dataclass, field

#: Recent latencies that are kept of each route.
WINDOW = 64
#: A latency so many times the usual is exceeded by few calls on servers
#: that work at their usual pace.
SLOW_FACTOR = 1.7


@dataclass(slots=True)
class LatencyWindow:
    """Median of recent good answers of one route, in seconds.

    Load pattern: a fifth of all calls takes four times as long, as their
    servers' machines are shared. A mean and its deviation follow these, and
    then take every call for usual; the median doesn't.

    Parameters
    ----------
    initial_s : float
        What a call is taken to last before there is an answer.

    Examples
    --------
    >>> usual = LatencyWindow(1.0)
    >>> for latency_s in (0.2, 0.2, 0.9): usual.add(latency_s)
    >>> usual.median_s
    0.2
    """

    initial_s: float
    _recent: deque[float] = field(default_factory=lambda: deque(maxlen=WINDOW))

    @property
    def median_s(self) -> float:
        """Latency that half of the calls exceed."""
        return statistics.median(self._recent or [self.initial_s])

    @property
    def slow_s(self) -> float:
        """Latency that few calls exceed at their server's usual pace."""
        return SLOW_FACTOR * self.median_s

    def add(self, latency_s: float) -> None:
        """Take in the latency of a good answer."""
        self._recent.append(latency_s)
