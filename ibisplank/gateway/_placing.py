"""Selection of the backend server for a call."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from ibisplank.gateway._directory import ServerState
from ibisplank.gateway._partition import FOREIGN_SAMPLE
from ibisplank.gateway._record import ServerStats
from ibisplank.ids import ServerId, ZoneId

# All costs are multiples of the latency of an idle server of normal speed.

#: Cost of a server in another availability zone.
CROSS_ZONE_COST = 0.15
#: Cost at a failure rate of 1. It is double for calls that may run at most
#: once, as another attempt cannot repair their failure.
FAILURE_COST = 3.0
ONCE_FAILURE_COST = 6.0
#: Cost of a cold server, which works at about half of its normal speed.
COLD_COST = 0.8
#: Utilization above which a server slows down, and the cost of this.
SATURATION_SHARE = 0.8
SATURATION_COST = 0.7
#: Cost of one call per slot. It is proportional to the number of calls.
LOAD_COST = 0.1
#: Cost of a server without a recent load report: the average cost of the
#: slowdown of a server.
STALE_REPORT_COST = 0.75
#: Cost of a server that states a rate limit, as it is in need.
LIMITED_COST = 0.2
#: Queued calls per slot above which a server may drop calls.
MAX_QUEUED_PER_SLOT = 1.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may get a call, with its state and statistics.

    Attributes
    ----------
    peer_calls : int
        Calls that other gateways of the group have in flight on it.
    reported_slowdown : float
        Current slowdown of the server by its own report.
    groups : int
        Groups of gateways that send calls to it.
    """

    state: ServerState
    stats: ServerStats
    cold: bool
    peer_calls: int = 0
    reported_slowdown: float = 1.0
    groups: int = 1

    @property
    def server(self) -> ServerId:
        """Id of the server."""
        return self.state.entry.server

    @property
    def limited(self) -> bool:
        """Whether a call to the server needs a token."""
        return self.stats.limit.rate is not None

    def find_load(self, now: float) -> float:
        """Return the estimated number of calls that run or wait there."""
        return self.stats.find_load(now, self.peer_calls, self.groups)

    def describe(self, now: float) -> str:
        """Return the figures that the choice depends on, for the log."""
        load = self.find_load(now)
        return (
            f'busy={load:.1f} others={self.peer_calls} '
            f'pace={self.reported_slowdown:.1f} '
            f'own_pace={self.stats.find_slowdown(now):.1f} '
            f'faults={self.stats.find_failure_rate(now):.2f} cold={self.cold}'
        )


@dataclass(frozen=True, slots=True)
class ServerSelector:
    """Chooses the server with the lowest predicted latency.

    Load pattern: many gateways share servers of two or three slots, whose
    speed changes within milliseconds. The gateways of a group know each
    other's in-flight calls and compare all servers assigned to the group. The
    load of other servers is known from older reports only, so a few of them
    are sampled at random, to keep gateways from all choosing the same one.

    Attributes
    ----------
    zone : ZoneId
        Zone of this gateway; servers in other zones cost more.
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
        """Return the candidate with the lowest cost, None if all are full.

        All local candidates are compared, but only a sample of the others.
        Both are shuffled, so that equal costs are decided at random.

        Parameters
        ----------
        at_most_once : bool
            Whether the call may not be retried after it may have run.
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
        """Return the predicted latency relative to an idle local server.

        It includes the costs of failures, of another zone, of a cold or
        rate-limited server and of a report that is outdated.
        """
        stats = candidate.stats
        slots = max(1, candidate.state.entry.slots)
        load = candidate.find_load(now)
        slowdown = stats.find_slowdown(now) * candidate.reported_slowdown
        cost = slowdown * self._find_queueing_factor(load, slots)
        failure_cost = ONCE_FAILURE_COST if at_most_once else FAILURE_COST
        cost += stats.find_failure_rate(now) * failure_cost
        if not self._is_local(candidate):
            cost += CROSS_ZONE_COST
        cost += stats.find_staleness(now) * STALE_REPORT_COST
        if candidate.cold:
            cost += COLD_COST
        if candidate.limited:
            cost += LIMITED_COST
        return cost

    def _is_local(self, candidate: Candidate) -> bool:
        return candidate.state.entry.zone == self.zone

    def _has_room(self, candidate: Candidate, now: float) -> bool:
        slots = candidate.state.entry.slots
        load = candidate.find_load(now)
        return load < slots * (1 + MAX_QUEUED_PER_SLOT)

    def _find_queueing_factor(self, load: float, slots: int) -> float:
        """Return the latency relative to that of the same server idle."""
        utilization = (load + 1) / slots
        queued = max(0.0, utilization - 1)
        saturation = SATURATION_COST if utilization > SATURATION_SHARE else 0.0
        return 1 + saturation + queued + LOAD_COST * load / slots

    def _sample(
        self, candidates: list[Candidate], most: int
    ) -> list[Candidate]:
        return self.rng.sample(candidates, min(most, len(candidates)))
