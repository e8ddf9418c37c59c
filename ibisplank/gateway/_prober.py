"""Questions to backend servers for their load, warm-up and health."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import anyio
import msgspec
from anyio.abc import TaskGroup

from ibisplank.connection import Answer, ConnectionPool, Exchange, ServerReport
from ibisplank.errors import BackendError, ConnectFailed
from ibisplank.gateway._dialect import Dialect, find_header
from ibisplank.gateway._directory import Standing
from ibisplank.gateway._fleet import Fleet
from ibisplank.gateway._pacing import choose_pacer
from ibisplank.gateway._record import parse_load
from ibisplank.ids import MemberId, ServerId
from ibisplank.process import log_event

#: Pause between two probes of a server that answers at once. The pace of a
#: server changes several times a second.
PAUSE_S = 0.1
#: Pause for servers that don't tell their load: a probe takes a slot there.
SLOT_PAUSE_S = 1.0
#: A probe without an answer for this long has failed.
ANSWER_S = 0.3
#: How often the probed servers are compared with the directory.
LOOK_S = 0.25
#: All that this gateway has probed is told again after this time, in one
#: message a peer.
REPEAT_S = 0.5
OK = 200


def choose_prober(
    server: ServerId,
    owners: Iterable[MemberId],
    alive: frozenset[MemberId],
) -> MemberId | None:
    """Return the gateway that probes a server.

    Parameters
    ----------
    owners : iterable of MemberId
        The group that cares for the server.
    alive : set of MemberId
        Gateways that are not known to be gone.
    """
    return choose_pacer(server, alive.intersection(owners) or alive)


@dataclass(slots=True)
class Prober:
    """Probes the servers that fall to this gateway, and tells the others.

    Load pattern: the machines of servers are shared with others, and their
    pace changes fourfold for a few hundred milliseconds at a time. One
    gateway of the group asks each server and tells the rest only what has
    changed, so that the cost does not grow with the gateways.

    Parameters
    ----------
    list_alive : callable
        Gateways that are alive, this one included.
    tell : callable
        Passes a report on to the gateways that rely on it.
    """

    member: MemberId
    fleet: Fleet
    dialect: Dialect
    clock: Callable[[], float]
    list_alive: Callable[[], frozenset[MemberId]]
    tell: Callable[[ServerReport], None]
    _scopes: dict[ServerId, anyio.CancelScope] = field(default_factory=dict)
    _told: dict[ServerId, ServerReport] = field(default_factory=dict)

    async def run(self) -> None:
        """Probe for ever."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._repeat)
            while True:
                self._assign(group)
                await anyio.sleep(LOOK_S)

    def _assign(self, group: TaskGroup) -> None:
        wanted = self._list_wanted()
        for server in set(self._scopes) - wanted:
            self._scopes.pop(server).cancel()
            self._told.pop(server, None)
        for server in wanted - set(self._scopes):
            scope = anyio.CancelScope()
            self._scopes[server] = scope
            group.start_soon(self._watch, server, scope)

    def _list_wanted(self) -> set[ServerId]:
        """Return the servers that this gateway should probe."""
        alive = self.list_alive()
        sharing = self.fleet.sharing
        wanted: set[ServerId] = set()
        for standing in self.fleet.knowledge.directory.list_probed():
            server = standing.entry.server
            owners = sharing.find_owners(server)
            if self.member not in owners and not owners.isdisjoint(alive):
                continue
            if choose_prober(server, owners, alive) == self.member:
                wanted.add(server)
        return wanted

    async def _watch(self, server: ServerId, scope: anyio.CancelScope) -> None:
        route: ConnectionPool | None = None
        with scope:
            while True:
                standing = self.fleet.knowledge.directory.find(server)
                if standing is None:
                    return
                entry = standing.entry
                if route is None or route.address != entry.address:
                    route = ConnectionPool(entry.address, self.clock)
                report = await self._probe(route, standing)
                self._take(report)
                tells = report.slots > 0 or not report.reachable
                await anyio.sleep(PAUSE_S if tells else SLOT_PAUSE_S)

    async def _probe(
        self, route: ConnectionPool, standing: Standing
    ) -> ServerReport:
        entry = standing.entry
        rules = self.fleet.knowledge.config.services.get(entry.service)
        path = rules.health_path if rules else '/health'
        exchange = Exchange(
            b'GET',
            path.encode(),
            [(b'host', entry.address.encode())],
            b'',
            first_byte_s=ANSWER_S,
            proven=False,
            unsized=True,
        )
        try:
            with anyio.fail_after(ANSWER_S):
                answer = await route.exchange(exchange)
        except ConnectFailed:
            return ServerReport(entry.server, entry.born_ms, reachable=False)
        except (BackendError, TimeoutError):
            return ServerReport(entry.server, entry.born_ms, answers=False)
        return self._read(standing, answer)

    def _read(self, standing: Standing, answer: Answer) -> ServerReport:
        entry = standing.entry
        headers = list(answer.headers)
        named = find_header(headers, self.dialect.server_id)
        if named is not None and named != entry.server.encode():
            return ServerReport(entry.server, entry.born_ms, reachable=False)
        load = parse_load(find_header(headers, self.dialect.server_load))
        cold_s = _parse_seconds(find_header(headers, self.dialect.warmup_left))
        if load is None:
            return ServerReport(entry.server, entry.born_ms, cold_s=cold_s)
        return ServerReport(
            entry.server,
            entry.born_ms,
            load.running,
            load.waiting,
            load.slots,
            load.pace,
            cold_s,
            healthy=answer.status == OK,
        )

    def _take(self, report: ServerReport) -> None:
        now = self.clock()
        self.fleet.note_probe(report, now)
        told = self._told.get(report.server)
        self._told[report.server] = report
        if told is not None and not _differ(told, report):
            return
        if told is None or _is_sound(told) != _is_sound(report):
            log_event('server probed', **msgspec.structs.asdict(report))
        self.tell(report)

    async def _repeat(self) -> None:
        while True:
            await anyio.sleep(REPEAT_S)
            for report in self._told.values():
                self.tell(report)


def _differ(told: ServerReport, report: ServerReport) -> bool:
    """Tell whether a change is worth a message."""
    return _summarize(told) != _summarize(report)


def _is_sound(report: ServerReport) -> tuple[bool, bool]:
    """Tell whether a server can be used, and whether it is cold."""
    usable = report.reachable and report.answers and report.healthy
    return usable, report.cold_s > 0


def _summarize(report: ServerReport) -> ServerReport:
    cold_s = float(report.cold_s > 0)
    return msgspec.structs.replace(report, running=0, cold_s=cold_s)


def _parse_seconds(text: bytes | None) -> float:
    """Return a time in seconds; what can't be read counts as none.

    >>> _parse_seconds(b'1.5'), _parse_seconds(b'soon')
    (1.5, 0.0)
    """
    try:
        seconds = float(text or b'0')
    except ValueError:
        return 0.0
    return seconds if 0 < seconds < float('inf') else 0.0
