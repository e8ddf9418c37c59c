"""Connections to and records of all backend servers, for a process's life."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ibisplank.connection import ConnectionPool, ServerReport
from ibisplank.gateway._directory import Standing
from ibisplank.gateway._knowledge import Knowledge
from ibisplank.gateway._occupancy import Occupancy
from ibisplank.gateway._pacing import ColdPace, choose_pacer
from ibisplank.gateway._placing import Candidate
from ibisplank.gateway._record import LoadReport, ServerRecord
from ibisplank.gateway._sharing import Sharing
from ibisplank.ids import MemberId, ServerId

#: Calls a second that a cold server bears where no service says more.
DEFAULT_WARMUP_RATE = 1.0
#: A probe's word holds this long, as only changes are told.
HOLD_S = 0.6
Key = tuple[ServerId, int]


def _ignore() -> None:
    """Stand in for an exchange that is not there yet."""


@dataclass(slots=True)
class Fleet:
    """Backend servers as this gateway uses them.

    Attributes
    ----------
    member : MemberId
        This process.
    sharing : Sharing
        Which gateways care for which servers.
    tell_start : callable
        Called when a call has gone to a server.
    tell_end : callable
        Called when a call no longer runs on a server.
    """

    member: MemberId
    knowledge: Knowledge
    sharing: Sharing
    clock: Callable[[], float]
    pace: ColdPace = field(default_factory=ColdPace)
    occupancy: Occupancy = field(default_factory=Occupancy)
    tell_start: Callable[[], None] = _ignore
    tell_end: Callable[[], None] = _ignore
    _records: dict[Key, ServerRecord] = field(default_factory=dict)
    _routes: dict[Key, ConnectionPool] = field(default_factory=dict)

    def list_candidates(
        self,
        standings: Iterable[Standing],
        tried: set[ServerId],
        now: float,
    ) -> list[Candidate]:
        """Return those of some servers that may get a call now."""
        candidates = []
        directory = self.knowledge.directory
        for standing in standings:
            if standing.entry.server in tried:
                continue
            if not directory.may_use(standing, now):
                continue
            candidate = self._make_candidate(standing, now)
            if candidate is not None:
                candidates.append(candidate)
        return candidates

    def find_record(self, server: ServerId, born_ms: int) -> ServerRecord:
        """Return the record of one start of a server."""
        key = (server, born_ms)
        record = self._records.get(key)
        if record is None:
            record = ServerRecord(server)
            self._records[key] = record
        return record

    def find_route(self, candidate: Candidate) -> ConnectionPool:
        """Return the connections to one start of a server."""
        entry = candidate.standing.entry
        key = (entry.server, entry.born_ms)
        route = self._routes.get(key)
        if route is None or route.address != entry.address:
            route = ConnectionPool(entry.address, self.clock)
            self._routes[key] = route
        return route

    def list_loads(self) -> dict[ServerId, int]:
        """Return the calls in flight by server."""
        return {
            record.server: record.in_flight
            for record in self._records.values()
            if record.in_flight
        }

    def note_probe(self, report: ServerReport, now: float) -> None:
        """Take in what a probe showed, whoever made it."""
        standing = self.knowledge.directory.find(report.server)
        if standing is None or standing.entry.born_ms != report.born_ms:
            return
        record = self.find_record(report.server, report.born_ms)
        self._note_condition(record, report, now)
        for watch in list(record.watchers):
            watch()

    def note_start(self, candidate: Candidate, now: float) -> None:
        """Take in that a call goes to a server."""
        candidate.record.in_flight += 1
        self.tell_start()
        self._note_paced(candidate, now)

    def note_end(self, candidate: Candidate) -> None:
        """Take in that a call no longer runs on a server."""
        candidate.record.in_flight -= 1
        self.tell_end()

    async def forget_gone(self) -> None:
        """Drop records and connections of servers that have left."""
        known = {
            (standing.entry.server, standing.entry.born_ms)
            for standing in self.knowledge.directory.list_all()
        }
        for key in [key for key in self._routes if key not in known]:
            await self._routes.pop(key).close_idle()
        for key in [key for key in self._records if key not in known]:
            self._records.pop(key)

    def count_members(self) -> int:
        """Return how many gateways share what is bounded over all."""
        members = self.knowledge.members.values()
        known = {record.member for record in members}
        return len(known | {self.member})

    def _may_pace(self, server: ServerId, now: float) -> bool:
        owners = self.sharing.find_owners(server)
        if choose_pacer(server, owners) != self.member:
            return False
        return self.pace.may_send(server, now)

    def _make_candidate(
        self,
        standing: Standing,
        now: float,
    ) -> Candidate | None:
        """Return a server with what is known of it, None while it rests."""
        server = standing.entry.server
        record = self.find_record(server, standing.entry.born_ms)
        if record.rest_until > now:
            return None
        cold = standing.cold_until > now
        if cold and not self._may_pace(server, now):
            return None
        return Candidate(
            standing,
            record,
            cold,
            self.occupancy.count(server, now),
            record.find_momentary_pace(now),
        )

    def _note_paced(self, candidate: Candidate, now: float) -> None:
        if not candidate.cold:
            return
        service = candidate.standing.entry.service
        rules = self.knowledge.config.services.get(service)
        rate = rules.warmup_rate if rules else DEFAULT_WARMUP_RATE
        self.pace.note_sent(candidate.server, now, rate)

    def _note_condition(
        self,
        record: ServerRecord,
        report: ServerReport,
        now: float,
    ) -> None:
        if not report.reachable:
            record.note_unreachable(now)
            return
        if not report.answers:
            record.note_silent_probe(now)
            return
        record.note_reached()
        directory = self.knowledge.directory
        directory.note_warmup(report.server, report.cold_s, now)
        if not report.slots:
            return
        load = LoadReport(
            report.running,
            report.waiting,
            report.slots,
            report.pace,
        )
        record.note_report(load, now, HOLD_S)
