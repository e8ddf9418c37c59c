"""Which backend server gets a call."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from ibisplank.gateway._directory import Standing
from ibisplank.gateway._record import ServerRecord
from ibisplank.ids import ServerId, ZoneId

#: Cost of another availability zone, in times of an idle server's latency.
FAR_COST = 0.15
#: Cost of a certain failure; a call that may run once only pays double.
FAULT_COST = 3.0
#: Cost of a cold server, which works at about half its pace.
COLD_COST = 0.8
#: Servers that are compared for one call.
CHOICES = 4
#: Calls beyond its slots after which a server may drop what it can't queue.
QUEUE_SHARE = 1.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may get a call, with what is known of it."""

    standing: Standing
    record: ServerRecord
    cold: bool

    @property
    def server(self) -> ServerId:
        """Id of the server."""
        return self.standing.entry.server


@dataclass(frozen=True, slots=True)
class Placer:
    """Compares servers for one call.

    Load pattern: many gateways share servers of two or three slots, whose
    pace changes within milliseconds, and know each other's calls only by
    stale reports. A few servers drawn at random are compared by predicted
    latency, so that gateways with the same picture don't choose alike.

    Attributes
    ----------
    zone : ZoneId
        Zone of this gateway; nearer servers cost less.
    """

    zone: ZoneId
    luck: random.Random

    def choose(
        self,
        candidates: Sequence[Candidate],
        now: float,
        *,
        once: bool,
    ) -> Candidate | None:
        """Return the best of a few servers, None where all are full.

        Parameters
        ----------
        once : bool
            Whether a failure could not be repaired by another attempt.
        """
        open_ones = [each for each in candidates if self._has_room(each, now)]
        if not open_ones:
            return None
        near = [each for each in open_ones if self._is_near(each)]
        drawn = self._draw(near) + self._draw(open_ones)
        return min(drawn, key=lambda each: self.rate(each, now, once=once))

    def rate(self, candidate: Candidate, now: float, *, once: bool) -> float:
        """Return a predicted latency, relative to an idle near server's."""
        record = candidate.record
        slots = max(1, candidate.standing.entry.slots)
        busy = record.find_busy(now)
        cost = record.find_pace(now) * (1 + (busy / slots) ** 2)
        cost += record.find_faults(now) * FAULT_COST * (2 if once else 1)
        if not self._is_near(candidate):
            cost += FAR_COST
        if candidate.cold:
            cost += COLD_COST
        return cost

    def _is_near(self, candidate: Candidate) -> bool:
        return candidate.standing.entry.zone == self.zone

    def _has_room(self, candidate: Candidate, now: float) -> bool:
        slots = candidate.standing.entry.slots
        return candidate.record.find_busy(now) < slots * (1 + QUEUE_SHARE)

    def _draw(self, candidates: list[Candidate]) -> list[Candidate]:
        if len(candidates) <= CHOICES:
            return self.luck.sample(candidates, len(candidates))
        return self.luck.sample(candidates, CHOICES)
