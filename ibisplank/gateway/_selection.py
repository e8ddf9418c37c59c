"""Which backend server gets a call."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from ibisplank.gateway._directory import ServerState
from ibisplank.gateway._partition import FOREIGN_SAMPLE
from ibisplank.gateway._stats import ServerStats
from ibisplank.ids import ServerId, ZoneId

#: Cost of another availability zone, in times of an idle server's latency.
CROSS_ZONE_COST = 0.15
#: Cost of a certain failure; a call that may run once only pays double.
FAILURE_COST = 3.0
ONCE_FAILURE_COST = 6.0
#: Cost of a cold server, which works at about half its pace.
COLD_COST = 0.8
#: A server with more of its slots taken than this slows down.
SATURATION_SHARE = 0.8
SATURATION_COST = 0.7
#: Cost of slots taken below that.
OCCUPANCY_COST = 0.1
#: Cost of a server whose load and pace nobody has told lately: what the
#: pace of a usual server costs on average.
STALE_REPORT_COST = 0.75
#: Calls beyond its slots after which a server may drop what it can't queue.
MAX_QUEUE_SHARE = 1.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may get a call, with what is known of it.

    Attributes
    ----------
    peer_calls : int
        Calls that other gateways of the group have in flight there.
    reported_slowdown : float
        How long work takes there at this moment by its own word.
    """

    state: ServerState
    stats: ServerStats
    cold: bool
    peer_calls: int = 0
    reported_slowdown: float = 1.0

    @property
    def server(self) -> ServerId:
        """Id of the server."""
        return self.state.entry.server

    def describe(self, now: float) -> str:
        """Return what decides about it, for the log."""
        load = self.stats.find_load(now, self.peer_calls)
        return (
            f'busy={load:.1f} others={self.peer_calls} '
            f'pace={self.reported_slowdown:.1f} '
            f'own_pace={self.stats.find_slowdown(now):.1f} '
            f'faults={self.stats.find_failure_rate(now):.2f} cold={self.cold}'
        )


@dataclass(frozen=True, slots=True)
class ServerSelector:
    """Compares servers for one call.

    Load pattern: many gateways share servers of two or three slots, whose
    pace changes within milliseconds. Those of one group know each other's
    calls and compare all servers that they care for by predicted latency.
    What others send there is known by stale reports only, so a few foreign
    servers are drawn at random, lest all choose the same.

    Attributes
    ----------
    zone : ZoneId
        Zone of this gateway; nearer servers cost less.
    """

    zone: ZoneId
    rng: random.Random

    def choose(
        self,
        candidates: Sequence[Candidate],
        now: float,
        *,
        at_most_once: bool,
    ) -> Candidate | None:
        """Return the best of a few servers, None where all are full.

        Parameters
        ----------
        at_most_once : bool
            Whether a failure could not be repaired by another attempt.
        """
        available = [each for each in candidates if self._has_room(each, now)]
        if not available:
            return None
        local = [each for each in available if self._is_local(each)]
        remote = [each for each in available if not self._is_local(each)]
        sampled = self._sample(local, len(local)) + self._sample(
            remote, FOREIGN_SAMPLE
        )
        return min(
            sampled,
            key=lambda each: self.estimate_cost(
                each, now, at_most_once=at_most_once
            ),
        )

    def estimate_cost(
        self, candidate: Candidate, now: float, *, at_most_once: bool
    ) -> float:
        """Return a predicted latency, relative to an idle near server's."""
        stats = candidate.stats
        slots = max(1, candidate.state.entry.slots)
        load = stats.find_load(now, candidate.peer_calls)
        slowdown = stats.find_slowdown(now) * candidate.reported_slowdown
        cost = slowdown * self._find_queueing_factor(load, slots)
        failure_cost = ONCE_FAILURE_COST if at_most_once else FAILURE_COST
        cost += stats.find_failure_rate(now) * failure_cost
        if not self._is_local(candidate):
            cost += CROSS_ZONE_COST
        cost += stats.find_staleness(now) * STALE_REPORT_COST
        if candidate.cold:
            cost += COLD_COST
        return cost

    def _is_local(self, candidate: Candidate) -> bool:
        return candidate.state.entry.zone == self.zone

    def _has_room(self, candidate: Candidate, now: float) -> bool:
        slots = candidate.state.entry.slots
        load = candidate.stats.find_load(now, candidate.peer_calls)
        return load < slots * (1 + MAX_QUEUE_SHARE)

    def _find_queueing_factor(self, load: float, slots: int) -> float:
        """Return how much longer a call takes than on an idle server."""
        utilization = (load + 1) / slots
        queued = max(0.0, utilization - 1)
        saturation = SATURATION_COST if utilization > SATURATION_SHARE else 0.0
        return 1 + saturation + queued + OCCUPANCY_COST * load / slots

    def _sample(
        self, candidates: list[Candidate], most: int
    ) -> list[Candidate]:
        return self.rng.sample(candidates, min(most, len(candidates)))
