"""Policies without shared slots, as baselines for benchmarks."""

import itertools
import random
from collections import Counter
from collections.abc import Callable
from enum import Enum

from ibisplank.connection import AttemptReport
from ibisplank.ids import LoanId, MemberId, ServerId
from ibisplank.process.daemons._peerlinks import PeerLinks
from ibisplank.process.placing._actions import Lease
from ibisplank.process.placing._allocator import SlotAllocator
from ibisplank.process.placing._borrower import SlotDemand
from ibisplank.process.placing._scheduler import SlotScheduler
from ibisplank.version import Server

#: Servers compared for each call (power of two choices).
CHOICES = 2


class Policy(Enum):
    """How backend servers are chosen."""

    SHARED = 'shared'
    #: Each entry picks the less loaded of two random servers by itself.
    ALONE = 'alone'
    #: Each entry picks a server at random.
    RANDOM = 'random'


class BaselineAllocator(SlotAllocator):
    """Picks a server without waiting or coordinating with other entries."""

    def __init__(
        self,
        scheduler: SlotScheduler,
        links: PeerLinks,
        clock: Callable[[], float],
        member: MemberId,
        policy: Policy,
    ) -> None:
        super().__init__(scheduler, links, clock)
        self._member = member
        self._policy = policy
        self._random = random.Random(member)
        self._numbers = itertools.count(1)
        self._running: Counter[ServerId] = Counter()

    async def acquire(self, demand: SlotDemand) -> Lease | None:
        """Return a lease of a usable server, None if there is none."""
        servers = self.scheduler.servers.list_usable(demand.service)
        if not servers:
            return None
        server = self._choose(servers)
        self._running[server] += 1
        loan = LoanId(f'{self._member}:{next(self._numbers)}')
        return Lease(loan, self._member, server, 0, demand.deadline)

    def release(self, lease: Lease, report: AttemptReport | None) -> None:
        """Count a call as finished and record the server's reported load."""
        self._running[lease.server] -= 1
        if report is not None and report.ok:
            self.scheduler.servers.health[lease.server].load = report.load

    def release_later(self, lease: Lease, report: AttemptReport | None) -> None:
        """Count a cancelled call as finished, without delay."""
        self.release(lease, report)

    def _choose(self, servers: list[Server]) -> ServerId:
        count = CHOICES if self._policy is Policy.ALONE else 1
        drawn = self._random.sample(servers, min(count, len(servers)))
        best = drawn[0].server
        for server in drawn[1:]:
            if self._compute_cost(server.server) < self._compute_cost(best):
                best = server.server
        return best

    def _compute_cost(self, server: ServerId) -> float:
        return (
            self._running[server] + self.scheduler.servers.health[server].load
        )


def make_allocator(
    scheduler: SlotScheduler,
    links: PeerLinks,
    clock: Callable[[], float],
    member: MemberId,
    policy: Policy,
) -> SlotAllocator:
    """Return the allocator that implements a policy."""
    if policy is Policy.SHARED:
        return SlotAllocator(scheduler, links, clock)
    return BaselineAllocator(scheduler, links, clock, member, policy)
