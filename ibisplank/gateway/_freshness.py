"""How old the picture of the store is, on the store's own clock."""

from dataclasses import dataclass

#: A longer time without a reading counts as an outage of the store. Where the
#: readers are lost, a gateway reads by itself from an age of 1.45 s on, which
#: takes up to 1.6 s.
OUTAGE_S = 3.2
#: Entries that lapsed in an outage are back within two seconds of its end.
EXPIRY_GRACE_S = 2.2


@dataclass(slots=True)
class Freshness:
    """Age of the newest reading, whoever took it.

    A reading may be delayed on its way from a peer. The store's clock tells
    by how much: the fastest reading so far sets the offset of the clocks.

    Attributes
    ----------
    newest_s : float
        The store's clock at the newest reading.

    Examples
    --------
    >>> fresh = Freshness()
    >>> fresh.record(store_s=10.0, now=100.0)
    True
    >>> fresh.record(store_s=10.5, now=103.0), fresh.find_age(103.0)
    (True, 2.5)
    """

    newest_s: float = 0.0
    _offset_s: float | None = None
    _updated_at: float = 0.0
    _recovered_at: float | None = None

    def record(self, store_s: float, now: float) -> bool:
        """Take in a reading; return whether it is the newest."""
        if self._offset_s is None or now - store_s < self._offset_s:
            self._offset_s = now - store_s
        if store_s <= self.newest_s:
            return False
        if self._updated_at and now - self._updated_at > OUTAGE_S:
            self._recovered_at = now
        self.newest_s = store_s
        self._updated_at = now
        return True

    def find_age(self, now: float) -> float:
        """Return the age of the picture in seconds, infinite at first."""
        if self._offset_s is None:
            return float('inf')
        return max(0.0, now - self.newest_s - self._offset_s)

    def find_grace(self, now: float) -> float:
        """Return how much longer entries may be missing by an outage."""
        if self._recovered_at is None:
            return 0.0
        return max(0.0, self._recovered_at + EXPIRY_GRACE_S - now)
