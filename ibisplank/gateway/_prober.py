"""Probes of the load, warm-up and health of backend servers."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import anyio
import msgspec
from anyio.abc import TaskGroup

from ibisplank.connection import Answer, ConnectionPool, ServerReport
from ibisplank.errors import BackendError, ConnectFailed
from ibisplank.faults import Boundary
from ibisplank.figures import MAX_SECONDS, parse_decimal
from ibisplank.gateway._directory import ServerState
from ibisplank.gateway._fleet import Fleet
from ibisplank.gateway._headers import HeaderNames, find_header
from ibisplank.gateway._healthcheck import PROBE_TIMEOUT_S, make_health_check
from ibisplank.gateway._pacing import choose_pacer
from ibisplank.gateway._record import parse_load, parse_rate_limit
from ibisplank.gateway._statementreader import StatementReader
from ibisplank.ids import MemberId, ServerId, ServiceId
from ibisplank.process import log_event

#: Pause after a probe of a server that reports its load or is unreachable. The
#: speed of a server changes several times per second.
PROBE_PAUSE_S = 0.1
#: Pause for servers that report no load, as a probe occupies a slot there.
SLOT_PROBE_PAUSE_S = 1.0
#: Interval at which the set of probed servers is updated.
ASSIGN_INTERVAL_S = 0.25
#: Interval at which the latest reports are sent again, together, so that each
#: peer gets them in one message.
REPUBLISH_S = 0.5
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
        The group that the server is assigned to.
    alive : set of MemberId
        Gateways that are not known to be down.
    """
    return choose_pacer(server, alive.intersection(owners) or alive)


@dataclass(slots=True)
class Prober:
    """Probes the servers chosen for this gateway and publishes reports.

    Load pattern: the machines of the servers are shared, and servers become
    four times slower for a few hundred milliseconds at a time. Each server is
    probed by one gateway of its group, so that the number of probes does not
    grow with the number of gateways. A changed report is published at once;
    the others are only repeated every `REPUBLISH_S`.

    Parameters
    ----------
    list_alive : callable
        Returns the gateways that are not known to be down, this one included.
    publish : callable
        Sends a report to the gateways that use it.
    """

    member: MemberId
    fleet: Fleet
    header_names: HeaderNames
    clock: Callable[[], float]
    list_alive: Callable[[], frozenset[MemberId]]
    publish: Callable[[ServerReport], None]
    statements: StatementReader = field(init=False)
    _scopes: dict[ServerId, anyio.CancelScope] = field(default_factory=dict)
    _published: dict[ServerId, ServerReport] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create the reader of the servers' statements."""
        self.statements = StatementReader(self.fleet, self.header_names)

    async def run(self) -> None:
        """Probe until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._republish)
            while True:
                self._assign(group)
                await anyio.sleep(ASSIGN_INTERVAL_S)

    def _assign(self, group: TaskGroup) -> None:
        wanted = self._list_wanted()
        for server in set(self._scopes) - wanted:
            self._scopes.pop(server).cancel()
            self._published.pop(server, None)
        for server in wanted - set(self._scopes):
            scope = anyio.CancelScope()
            self._scopes[server] = scope
            group.start_soon(self._probe_server, server, scope)

    def _list_wanted(self) -> set[ServerId]:
        """Return the servers that this gateway should probe."""
        alive = self.list_alive()
        partition = self.fleet.partition
        wanted: set[ServerId] = set()
        able_by_service: dict[ServiceId, frozenset[MemberId]] = {}
        for state in self.fleet.cluster.directory.list_probeable():
            server, service = state.entry.server, state.entry.service
            owners = partition.find_owners(server)
            if service not in able_by_service:
                able_by_service[service] = self.fleet.path_states.choose_able(
                    alive, service
                )
            able = able_by_service[service]
            if self.member not in owners and not owners.isdisjoint(able):
                continue
            if choose_prober(server, owners, able) == self.member:
                wanted.add(server)
        return wanted

    async def _probe_server(
        self, server: ServerId, scope: anyio.CancelScope
    ) -> None:
        pool: ConnectionPool | None = None
        with scope:
            while True:
                state = self.fleet.cluster.directory.find(server)
                if state is None:
                    return
                if pool is None or pool.address != state.entry.address:
                    pool = self.fleet.make_pool(state.entry)
                pause_s = PROBE_PAUSE_S
                with self.fleet.cluster.faults.contain(
                    Boundary.PROBE, server=server
                ):
                    pause_s = await self._probe_once(pool, state, scope)
                await anyio.sleep(pause_s)

    async def _probe_once(
        self,
        pool: ConnectionPool,
        state: ServerState,
        scope: anyio.CancelScope,
    ) -> float:
        """Probe a server, unless it wants nothing; return the pause after."""
        entry = state.entry
        if self.fleet.quiet.is_quiet(entry.key, self.clock()):
            self._published.pop(entry.server, None)
            return PROBE_PAUSE_S
        report = await self._probe(pool, state)
        # The answer may arrive in the step of the event loop that cancels.
        if not scope.cancel_called and self._is_trusted(report, entry.service):
            self._handle_report(report)
        use_short_pause = report.slots > 0 or not report.reachable
        return PROBE_PAUSE_S if use_short_pause else SLOT_PROBE_PAUSE_S

    async def _probe(
        self, pool: ConnectionPool, state: ServerState
    ) -> ServerReport:
        entry = state.entry
        exchange = make_health_check(entry, self.fleet.cluster.config)
        try:
            with anyio.fail_after(PROBE_TIMEOUT_S):
                answer = await pool.exchange(exchange)
        except ConnectFailed:
            return ServerReport(entry.server, entry.born_ms, reachable=False)
        except (BackendError, TimeoutError):
            return ServerReport(entry.server, entry.born_ms, answers=False)
        return self._parse_answer(state, answer)

    def _parse_answer(self, state: ServerState, answer: Answer) -> ServerReport:
        entry = state.entry
        headers = list(answer.headers)
        named = find_header(headers, self.header_names.server_id)
        if named is not None and named != entry.server.encode():
            return ServerReport(entry.server, entry.born_ms, reachable=False)
        self.statements.read(entry, answer, 'probe')
        load = parse_load(find_header(headers, self.header_names.server_load))
        warmup = find_header(headers, self.header_names.warmup_left)
        cold_s = parse_decimal(warmup, MAX_SECONDS) or 0.0
        rate_limit = parse_rate_limit(
            find_header(headers, self.header_names.rate_limit)
        )
        if load is None:
            return ServerReport(
                entry.server,
                entry.born_ms,
                cold_s=cold_s,
                rate_limit=rate_limit,
            )
        return ServerReport(
            entry.server,
            entry.born_ms,
            load.running,
            load.waiting,
            load.slots,
            load.slowdown,
            cold_s,
            healthy=answer.status == OK,
            rate_limit=rate_limit,
        )

    def _is_trusted(self, report: ServerReport, service: ServiceId) -> bool:
        """Return whether a report tells of the server, not of the path to it.

        A server that was not reached is reported only if others of its service
        are, or if no gateway reaches any of them.
        """
        if report.reachable and report.answers:
            return True
        paths = self.fleet.own_paths
        if paths.is_lost(service):
            return self.fleet.is_outage(service)
        if paths.is_reached(service, self.clock()):
            return True
        paths.suspect(service)
        return False

    def _handle_report(self, report: ServerReport) -> None:
        now = self.clock()
        self.fleet.record_probe(report, self.member, now)
        published = self._published.get(report.server)
        self._published[report.server] = report
        if published is not None and not _differ(published, report):
            return
        if published is None or _find_condition(published) != _find_condition(
            report
        ):
            log_event('server probed', **msgspec.structs.asdict(report))
        self.publish(report)

    async def _republish(self) -> None:
        while True:
            await anyio.sleep(REPUBLISH_S)
            for report in self._published.values():
                self.publish(report)


def _differ(published: ServerReport, report: ServerReport) -> bool:
    """Return whether a report has changed enough to be published."""
    return _summarize(published) != _summarize(report)


def _find_condition(report: ServerReport) -> tuple[bool, bool, float | None]:
    """Return whether a server can be used, is cold, and its rate limit."""
    usable = report.reachable and report.answers and report.healthy
    return usable, report.cold_s > 0, report.rate_limit


def _summarize(report: ServerReport) -> ServerReport:
    cold_s = float(report.cold_s > 0)
    return msgspec.structs.replace(report, running=0, cold_s=cold_s)
