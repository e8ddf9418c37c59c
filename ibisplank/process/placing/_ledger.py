"""Which slot a call may use: own slots, and loans among the members."""

import random
from collections.abc import Iterable

from ibisplank.connection import (
    AnswerReport,
    EarnedSlots,
    IdleSlots,
    Message,
    ServerUpdate,
    SlotGrant,
    SlotHandover,
    SlotRequest,
    SlotRequestCancel,
    SlotReturn,
)
from ibisplank.ids import CallId, LoanId, MemberId, ServiceId, ZoneId
from ibisplank.process.placing._actions import (
    Action,
    Assign,
    Broadcast,
    Deliver,
    Lease,
    Refuse,
)
from ibisplank.process.placing._borrower import Borrower, Need
from ibisplank.process.placing._holder import Granted, Holder
from ibisplank.process.placing._ownership import Ownership
from ibisplank.process.placing._queue import Want
from ibisplank.process.placing._servers import Servers
from ibisplank.version import MAX_DEADLINE_S, Roster, Server

#: Stands for a slot of another member.
NO_INDEX = -1
#: Time between two looks for loans that are over.
SWEEP_S = 0.05


class Ledger:
    """State of one member; every method returns what is to be done.

    Parameters
    ----------
    member : MemberId
        This process.
    zone : ZoneId
        Availability zone of this process.
    source : random.Random
        Chooses among equal lenders.
    """

    def __init__(
        self,
        member: MemberId,
        zone: ZoneId,
        source: random.Random,
    ) -> None:
        self.servers = Servers(member)
        self.holder = Holder(member, self.servers.trust, self.servers.blocked)
        self._member = member
        self._zone = zone
        self._ownership = Ownership(member)
        self._borrower = Borrower(zone, source)
        self._told: dict[ServiceId, int] = {}
        self._swept_at = 0.0

    @property
    def waiting(self) -> int:
        """Number of local calls without a slot."""
        return len(self._borrower.pending)

    def request(self, need: Need, now: float) -> list[Action]:
        """Find a slot for a local call, at once or later."""
        want = Want(
            need.priority,
            need.deadline,
            self._member,
            need.call,
            need.service,
            need.customer,
            self._zone,
            need.choice,
        )
        self._borrower.add(need, now)
        actions = self._pass_on(self.holder.add_want(want, now))
        if need.call in self._borrower.pending:
            asks = self._borrower.ask_first(need.call, now)
            actions.extend(Deliver(*ask) for ask in asks)
        return actions

    def withdraw(self, call: CallId) -> list[Action]:
        """Give up a local call that has no slot yet."""
        return self._settle(call, None)

    def finish(
        self,
        lease: Lease,
        report: AnswerReport | None,
        now: float,
    ) -> list[Action]:
        """End the use of a slot.

        Parameters
        ----------
        report : AnswerReport or None
            What the call showed of the server, None where it was not sent.
        """
        if lease.lender == self._member:
            return self._take_back(lease.loan, report, now)
        release = Deliver(lease.lender, SlotReturn(lease.loan, report))
        server = self.servers.known.get(lease.server)
        if report is None or server is None:
            return [release]
        trust = self.servers.trust[lease.server]
        if trust.note_answer(report, NO_INDEX, server.slots, now):
            return [release, Broadcast(trust.tell(lease.server))]
        return [release]

    def may_send(self, lease: Lease, now: float) -> bool:
        """Tell whether a call may be sent on a slot at this very moment."""
        return now < lease.until and lease.server not in self.servers.blocked

    def receive(
        self,
        member: MemberId,
        message: Message,
        now: float,
    ) -> list[Action]:
        """Take in a message of another member."""
        match message:
            case SlotRequest():
                return self._receive_ask(member, message, now)
            case SlotRequestCancel():
                self.holder.drop_wants(member, message.call)
            case SlotGrant():
                return self._receive_grant(member, message, now)
            case SlotReturn():
                return self._take_back(message.loan, message.report, now)
            case IdleSlots():
                self._borrower.learn_idle(
                    message.service,
                    member,
                    message.count,
                )
            case SlotHandover():
                if self._ownership.receive_release(member, message):
                    return self._grant_all(now)
            case EarnedSlots():
                trust = self.servers.find_trust(message.server)
                trust.hear(message, member)
                return self._grant_all(now)
        return []

    def greet(self, member: MemberId) -> list[Action]:
        """Return what a member that has just been reached must know."""
        actions: list[Action] = [
            Deliver(member, told) for told in self.servers.tell()
        ]
        for holder, freed in self._ownership.list_releases():
            if holder == member:
                actions.append(Deliver(holder, freed))
        return actions

    def learn_servers(
        self,
        servers: Iterable[Server],
        now: float,
    ) -> list[Action]:
        """Take in the backend servers of the cell."""
        self.servers.learn(servers)
        self._ownership.servers = self.servers.known
        return self._reconcile(now)

    def learn_roster(
        self,
        roster: Roster,
        fence_at: float | None,
        now: float,
    ) -> list[Action]:
        """Take in a roster; one older than the present is passed over.

        Parameters
        ----------
        fence_at : float or None
            Time since when no past member can renew its rights.
        """
        if not self._ownership.learn_roster(roster, fence_at):
            return []
        self.holder.rights_until = 0
        return self._reconcile(now)

    def extend_rights(
        self,
        epoch: int,
        until: float,
        now: float,
    ) -> list[Action]:
        """Take in the time until which an epoch is confirmed."""
        if epoch != self._ownership.roster.epoch:
            return []
        self.holder.rights_until = max(self.holder.rights_until, until)
        return self._grant_all(now)

    def learn_probe(self, news: ServerUpdate, now: float) -> list[Action]:
        """Take in what a probe showed of a backend server."""
        self.servers.learn_probe(news)
        return self._grant_all(now)

    def tick(self, now: float) -> list[Action]:
        """Do what has become due."""
        actions: list[Action] = []
        if now >= self._swept_at + SWEEP_S:
            actions.extend(self._sweep(now))
        late = self._borrower.find_late(self.servers.find_needed_s, now)
        for call in late:
            actions.append(Refuse(call))
            actions.extend(self.withdraw(call))
        actions.extend(self._grant_all(now))
        for call in self._borrower.pending:
            asks = self._borrower.ask_rest(call, now)
            actions.extend(Deliver(*ask) for ask in asks)
        return actions

    def hint(self, now: float) -> list[Action]:
        """Tell all members which services have idle slots here."""
        actions: list[Action] = []
        for service in self.holder.services:
            idle = self.holder.count_idle(service, now)
            told = self._told.get(service, 0)
            if bool(idle) != bool(told):
                self._told[service] = idle
                actions.append(Broadcast(IdleSlots(service, idle)))
        return actions

    def _sweep(self, now: float) -> list[Action]:
        """End what has been due for a while without anyone waiting."""
        self._swept_at = now
        self._ownership.pass_fence(now)
        self._borrower.forget(now)
        self.holder.drop_late(now)
        actions: list[Action] = []
        for loan in self.holder.expire(now):
            actions.extend(self._take_back(loan, None, now))
        return actions

    def _grant_all(self, now: float) -> list[Action]:
        return self._pass_on(self.holder.grant_all(now))

    def _pass_on(self, grants: Iterable[Granted]) -> list[Action]:
        actions: list[Action] = []
        for granted in grants:
            actions.extend(self._pass_on_one(granted))
        return actions

    def _pass_on_one(self, granted: Granted) -> list[Action]:
        want = granted.want
        slot = granted.slot
        if want.member != self._member:
            grant = SlotGrant(
                want.ask,
                granted.loan,
                slot.server,
                slot.index,
                granted.idle,
            )
            return [Deliver(want.member, grant)]
        lease = Lease(
            granted.loan,
            self._member,
            slot.server,
            slot.index,
            want.deadline,
        )
        return self._settle(CallId(want.ask), lease)

    def _settle(self, call: CallId, lease: Lease | None) -> list[Action]:
        """End a call's search for a slot, with one or without."""
        pending = self._borrower.remove(call)
        if pending is None:
            return []
        self.holder.drop_want(self._member, call, pending.need.service)
        actions: list[Action] = []
        others = set(pending.asked)
        if lease is not None:
            actions.append(Assign(call, lease))
            others.discard(lease.lender)
        for member in sorted(others):
            actions.append(Deliver(member, SlotRequestCancel(call)))
        return actions

    def _take_back(
        self,
        loan: LoanId,
        report: AnswerReport | None,
        now: float,
    ) -> list[Action]:
        found = self.holder.take_back(loan, report, now)
        if found is None:
            return []
        slot, changed = found
        name = slot.slot
        actions: list[Action] = []
        if changed:
            trust = self.servers.trust[name.server]
            actions.append(Broadcast(trust.tell(name.server)))
        moved = self._ownership.end_use(name)
        if moved is not None:
            return [*actions, Deliver(*moved)]
        grants = self.holder.grant(slot.server.service, now)
        return actions + self._pass_on(grants)

    def _receive_ask(
        self,
        member: MemberId,
        ask: SlotRequest,
        now: float,
    ) -> list[Action]:
        want = Want(
            ask.priority,
            now + min(ask.remaining_s, MAX_DEADLINE_S),
            member,
            ask.call,
            ask.service,
            ask.customer,
            ask.zone,
            ask.choice,
        )
        return self._pass_on(self.holder.add_want(want, now))

    def _receive_grant(
        self,
        member: MemberId,
        grant: SlotGrant,
        now: float,
    ) -> list[Action]:
        if self._borrower.note_seen(grant):
            return []
        trust = self.servers.find_trust(grant.server)
        found = self._borrower.take(member, grant, trust, now)
        if found is None:
            return [Deliver(member, SlotReturn(grant.loan))]
        call, until = found
        lease = Lease(
            grant.loan,
            member,
            grant.server,
            grant.index,
            until,
        )
        return self._settle(call, lease)

    def _reconcile(self, now: float) -> list[Action]:
        """Hold what roster and servers give this member, release the rest."""
        others = self._ownership.reconcile()
        lenders: dict[ServiceId, set[MemberId]] = {}
        for member, slots in others.items():
            for slot in slots:
                service = self.servers.known[slot.server].service
                lenders.setdefault(service, set()).add(member)
        self._borrower.learn_lenders(lenders)
        self.holder.hold(self._ownership.held)
        actions: list[Action] = [
            Deliver(*release) for release in self._ownership.list_releases()
        ]
        return actions + self._grant_all(now)
