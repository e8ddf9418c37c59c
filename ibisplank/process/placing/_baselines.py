"""Baselines without shared slots, kept to be measured against."""

import itertools
import random
from collections import Counter
from collections.abc import Callable
from enum import Enum

from ibisplank.connection import AnswerReport
from ibisplank.ids import LoanId, MemberId, ServerId
from ibisplank.process.daemons._peerlinks import PeerLinks
from ibisplank.process.placing._actions import Lease
from ibisplank.process.placing._borrower import Need
from ibisplank.process.placing._ledger import Ledger
from ibisplank.process.placing._slots import Slots
from ibisplank.version import Server

CHOICES = 2


class Policy(Enum):
    """How backend servers are chosen."""

    SHARED = 'shared'
    #: Each entry alone: the less loaded of two random servers.
    ALONE = 'alone'
    #: Any server at random.
    RANDOM = 'random'


class BaselineSlots(Slots):
    """Chooses a server at once, without regard to the other entries."""

    def __init__(
        self,
        ledger: Ledger,
        links: PeerLinks,
        clock: Callable[[], float],
        member: MemberId,
        policy: Policy,
    ) -> None:
        super().__init__(ledger, links, clock)
        self._member = member
        self._policy = policy
        self._random = random.Random(member)
        self._numbers = itertools.count(1)
        self._running: Counter[ServerId] = Counter()

    async def acquire(self, need: Need) -> Lease | None:
        """Return a server without waiting, None where there is none."""
        servers = self.ledger.servers.list_usable(need.service)
        if not servers:
            return None
        server = self._choose(servers)
        self._running[server] += 1
        loan = LoanId(f'{self._member}:{next(self._numbers)}')
        return Lease(loan, self._member, server, 0, need.deadline)

    def finish(self, lease: Lease, report: AnswerReport | None) -> None:
        """Count a call as over, and keep the server's reported load."""
        self._running[lease.server] -= 1
        if report is not None and report.ok:
            self.ledger.servers.trust[lease.server].load = report.load

    def rest(self, lease: Lease, report: AnswerReport | None) -> None:
        """Count a cancelled call as over."""
        self.finish(lease, report)

    def _choose(self, servers: list[Server]) -> ServerId:
        count = CHOICES if self._policy is Policy.ALONE else 1
        drawn = self._random.sample(servers, min(count, len(servers)))
        best = drawn[0].server
        for server in drawn[1:]:
            if self._rate(server.server) < self._rate(best):
                best = server.server
        return best

    def _rate(self, server: ServerId) -> float:
        return self._running[server] + self.ledger.servers.trust[server].load


def make_slots(
    ledger: Ledger,
    links: PeerLinks,
    clock: Callable[[], float],
    member: MemberId,
    policy: Policy,
) -> Slots:
    """Return the slots that a policy asks for."""
    if policy is Policy.SHARED:
        return Slots(ledger, links, clock)
    return BaselineSlots(ledger, links, clock, member, policy)
