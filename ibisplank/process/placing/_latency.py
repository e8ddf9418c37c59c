"""Moving average of latencies with their spread."""

from dataclasses import dataclass

#: Weight of the newest latency.
SMOOTHING = 0.1


@dataclass(slots=True)
class LatencyAverage:
    """Recent latencies in seconds.

    Attributes
    ----------
    mean_s : float
        Moving average, 0 before the first latency.
    deviation_s : float
        Moving average of the distance from the mean.
    count : int
        Latencies taken in so far.

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
        """Take in a latency."""
        self.count += 1
        if self.count == 1:
            self.mean_s = latency_s
            return
        gap_s = latency_s - self.mean_s
        self.mean_s += SMOOTHING * gap_s
        self.deviation_s += SMOOTHING * (abs(gap_s) - self.deviation_s)

    def add_censored(self, wait_s: float) -> None:
        """Take in a latency of which only a first part was seen.

        Without what was not seen, calls cut off at their deadlines would
        make a busy server look fast.

        Parameters
        ----------
        wait_s : float
            Time until the call was cut off.
        """
        self.add(wait_s + self.mean_s)

    def upper_bound_s(self, deviations: float) -> float:
        """Return the mean and so many deviations."""
        return self.mean_s + deviations * self.deviation_s
