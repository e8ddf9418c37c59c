"""Requests that were sent to a server of late."""

from collections import OrderedDict
from dataclasses import dataclass, field


@dataclass(slots=True)
class SentRequests:
    """Tells requests that come again from others, by what their answers repeat.

    The answer to an earlier request of the same id would be taken for that of a
    later one on the same connection.

    Attributes
    ----------
    keep_s : float
        Time for which a request is remembered.

    Examples
    --------
    >>> sent = SentRequests(keep_s=10.0)
    >>> [sent.record((b'id', b'a'), now) for now in (0.0, 9.0, 20.0)]
    [False, True, False]
    """

    keep_s: float
    # A plain dict is slow to find its oldest key after many were removed.
    _times: OrderedDict[int, float] = field(default_factory=OrderedDict)

    def record(self, echo: tuple[bytes, bytes], now: float) -> bool:
        """Record a request; return whether it was sent before.

        Parameters
        ----------
        echo : tuple of bytes
            Name and content of the header that the answer repeats. Only its
            hash is kept; one that is equal by chance costs a connection.
        """
        self._remove_old(now)
        key = hash(echo)
        is_repeated = self._times.pop(key, None) is not None
        self._times[key] = now
        return is_repeated

    def _remove_old(self, now: float) -> None:
        while self._times:
            oldest = next(iter(self._times))
            if self._times[oldest] >= now - self.keep_s:
                return
            self._times.pop(oldest)
