"""What backend servers state about themselves in their answers."""

import math
import random
from dataclasses import dataclass, field

from ibisplank.gateway._model import ServerKey

#: A longer time is cut to this, as a server may state any number.
MAX_QUIET_S = 300.0
#: Part of a stated time by which the return is spread, and its upper limit.
RETURN_SHARE = 0.25
MAX_RETURN_S = 2.0
#: Calls in flight on a server that has just been quiet, until one is answered.
FIRST_CALLS = 1
#: Calls in flight from which a server is in full use again.
FULL_CALLS = 4
#: Known servers that leave, including those that are gone.
MAX_LEAVING = 1000


def parse_retry_after(text: bytes | None) -> float | None:
    """Return the seconds in a header, None if it states none.

    >>> parse_retry_after(b'1.5'), parse_retry_after(b'9e9')
    (1.5, 300.0)
    >>> parse_retry_after(b'-1'), parse_retry_after(b'soon')
    (None, None)
    """
    try:
        seconds = float(text or b'nan')
    except ValueError:
        return None
    return min(seconds, MAX_QUIET_S) if seconds >= 0 else None


@dataclass(slots=True)
class Quiet:
    """Time for which one run of a server gets no calls of this gateway.

    Attributes
    ----------
    stated_until : float
        End that the server stated.
    until : float
        Time from which it gets calls again, a few at first.
    most_calls : int
        Calls that may be in flight there after it.
    """

    stated_until: float
    until: float
    most_calls: int = FIRST_CALLS


@dataclass(slots=True)
class QuietServers:
    """Servers that asked this gateway to send nothing for some time.

    Load pattern: a full server refuses the calls of all gateways within a
    moment and names the same time to each. When it is over, the calls that wait
    must not arrive there together. Each gateway returns at a random time after
    it, with one call, and doubles with each answer.
    """

    rng: random.Random
    _quiet: dict[ServerKey, Quiet] = field(default_factory=dict)

    def record(self, key: ServerKey, seconds: float, now: float) -> bool:
        """Record a stated time; return whether it ends later than known."""
        known = self._quiet.get(key)
        stated_until = now + seconds
        if known is not None and stated_until <= known.stated_until:
            return False
        spread_s = min(MAX_RETURN_S, RETURN_SHARE * seconds)
        until = stated_until + self.rng.uniform(0, spread_s)
        self._quiet[key] = Quiet(stated_until, until)
        return True

    def may_send(self, key: ServerKey, in_flight: int, now: float) -> bool:
        """Return whether a server may get another call."""
        quiet = self._quiet.get(key)
        if quiet is None:
            return True
        return now >= quiet.until and in_flight < quiet.most_calls

    def is_quiet(self, key: ServerKey, now: float) -> bool:
        """Return whether a server is to get nothing."""
        return now < self.find_end(key)

    def find_end(self, key: ServerKey) -> float:
        """Return when a server gets calls again, in the past if it does."""
        quiet = self._quiet.get(key)
        return -math.inf if quiet is None else quiet.until

    def count_quiet(self, now: float) -> int:
        """Return how many servers are to get nothing."""
        return sum(now < each.until for each in self._quiet.values())

    def record_answer(self, key: ServerKey, now: float) -> None:
        """Record a good answer, after which a server gets more calls."""
        quiet = self._quiet.get(key)
        if quiet is None or now < quiet.until:
            return
        quiet.most_calls *= 2
        if quiet.most_calls > FULL_CALLS:
            self._quiet.pop(key)

    def remove_ended(self, now: float) -> None:
        """Remove the times that ended long ago."""
        for key, quiet in list(self._quiet.items()):
            if now > quiet.until + MAX_QUIET_S:
                self._quiet.pop(key)


@dataclass(slots=True)
class LeavingServers:
    """Runs of servers that said in an answer that they leave.

    They are kept apart from the entries, so that an older entry, or one that
    comes back with a restored store, does not undo it.
    """

    _leaving: dict[ServerKey, None] = field(default_factory=dict)

    def record(self, key: ServerKey) -> bool:
        """Record that a server leaves; return whether that is new."""
        if key in self._leaving:
            return False
        self._leaving[key] = None
        while len(self._leaving) > MAX_LEAVING:
            self._leaving.pop(next(iter(self._leaving)))
        return True

    def __contains__(self, key: ServerKey) -> bool:
        """Return whether a run of a server leaves."""
        return key in self._leaving
