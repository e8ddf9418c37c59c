"""Exponentially weighted moving average (EWMA) of latencies."""

from dataclasses import dataclass

#: Weight of the newest sample.
SMOOTHING = 0.1


@dataclass(slots=True)
class LatencyAverage:
    """EWMA of latencies and of their deviation, in seconds.

    Attributes
    ----------
    mean_s : float
        Moving average, 0 before the first sample.
    deviation_s : float
        Moving average of the absolute deviation from the mean.
    count : int
        Number of samples.

    Examples
    --------
    >>> average = LatencyAverage()
    >>> average.add(0.25)
    >>> average.upper_bound_s(6.0)
    0.25
    """

    mean_s: float = 0.0
    deviation_s: float = 0.0
    count: int = 0

    def add(self, latency_s: float) -> None:
        """Add a sample."""
        self.count += 1
        if self.count == 1:
            self.mean_s = latency_s
            return
        gap_s = latency_s - self.mean_s
        self.mean_s += SMOOTHING * gap_s
        self.deviation_s += SMOOTHING * (abs(gap_s) - self.deviation_s)

    def add_censored(self, wait_s: float) -> None:
        """Add a sample for a call that was cut off before its answer.

        The mean is added to the time waited. The time waited alone would make
        a busy server, whose calls are cut off at their deadlines, look fast.

        Parameters
        ----------
        wait_s : float
            Time until the call was cut off.
        """
        self.add(wait_s + self.mean_s)

    def upper_bound_s(self, deviations: float) -> float:
        """Return the mean plus a number of deviations."""
        return self.mean_s + deviations * self.deviation_s
