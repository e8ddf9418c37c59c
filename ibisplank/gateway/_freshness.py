"""Age of the local copy of the store, by the store's clock."""

from dataclasses import dataclass

#: A longer time without an update counts as an outage of the store. It has to
#: exceed the gap after the loss of the readers: a gateway then reads the store
#: itself from an age of 1.45 s on, which takes up to 1.6 s.
OUTAGE_S = 3.2
#: Entries that expired in an outage are restored within 2 s of its end.
EXPIRY_GRACE_S = 2.2


@dataclass(slots=True)
class Freshness:
    """Age of the newest update, from this gateway or a peer.

    An update from a peer may arrive late. Its age is computed from the
    store's time stamp in it. The offset between the clocks is the smallest
    one seen, which is that of the fastest update.

    Attributes
    ----------
    newest_s : float
        Store time of the newest update.
    era : int
        Era of the newest update.

    Examples
    --------
    >>> fresh = Freshness()
    >>> fresh.record(store_s=10.0, now=100.0)
    True
    >>> fresh.record(store_s=10.5, now=103.0), fresh.find_age(103.0)
    (True, 2.5)
    """

    newest_s: float = 0.0
    era: int = 0
    _offset_s: float | None = None
    _updated_at: float = 0.0
    _recovered_at: float | None = None

    def record(self, store_s: float, now: float, era: int = 0) -> bool:
        """Record an update; return whether it is the newest.

        A restore ends an outage, however short, and sets the store's clock.
        """
        if era < self.era:
            return False
        if era > self.era:
            self._start_era(era, now)
        if self._offset_s is None or now - store_s < self._offset_s:
            self._offset_s = now - store_s
        if store_s <= self.newest_s:
            return False
        if self._updated_at and now - self._updated_at > OUTAGE_S:
            self._recovered_at = now
        self.newest_s = store_s
        self._updated_at = now
        return True

    def is_recent(self, store_s: float, era: int, tolerance_s: float) -> bool:
        """Return whether an update is at most a bit older than the newest."""
        if era == self.era:
            return store_s > self.newest_s - tolerance_s
        return era > self.era

    def find_age(self, now: float) -> float:
        """Return the age of the newest update, infinite before the first."""
        if self._offset_s is None:
            return float('inf')
        return max(0.0, now - self.newest_s - self._offset_s)

    def find_grace(self, now: float) -> float:
        """Return how much longer entries may be missing due to an outage."""
        if self._recovered_at is None:
            return 0.0
        return max(0.0, self._recovered_at + EXPIRY_GRACE_S - now)

    def _start_era(self, era: int, now: float) -> None:
        if self._updated_at:
            self._recovered_at = now
        self.era = era
        self.newest_s = 0.0
        self._offset_s = None
