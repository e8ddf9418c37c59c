"""Statistics of and connections to all backend servers."""

import math
import random
from collections.abc import Awaitable, Callable, Collection, Iterable, Set
from dataclasses import dataclass, field

from ibisplank.connection import AnswerMemory, ConnectionPool, ServerReport
from ibisplank.gateway._cluster import ClusterState
from ibisplank.gateway._directory import ServerState
from ibisplank.gateway._model import ServerEntry, ServerKey
from ibisplank.gateway._occupancy import Occupancy
from ibisplank.gateway._pacing import ColdServerPacer, choose_pacer
from ibisplank.gateway._partition import ServerPartition
from ibisplank.gateway._paths import OwnPaths, PathStates
from ibisplank.gateway._placing import Candidate
from ibisplank.gateway._record import LoadReport, ServerStats
from ibisplank.gateway._statements import QuietServers
from ibisplank.gateway._tokens import SILENCE_RETRY_S, TokenClient
from ibisplank.ids import MemberId, ServerId, ServiceId
from ibisplank.process import log_event

#: Calls per second to a cold server, if its service configures no rate.
DEFAULT_WARMUP_RATE = 1.0
#: Time for which the load from a probe keeps its full weight. Reports are only
#: sent when they change, and repeated every 0.5 s.
REPORT_HOLD_S = 0.6


def _ignore() -> None:
    """Do nothing; the default until the publisher is set."""


def _ignore_server(key: ServerKey) -> None:
    """Do nothing; the default until the mesh is set."""


async def _confirm(service: ServiceId) -> bool:
    """Return true; the default until paths are checked."""
    return True


def _list_none() -> Collection[MemberId]:
    """Return no gateways; the default until the mesh is set."""
    return ()


@dataclass(slots=True)
class Fleet:
    """Backend servers, with what this gateway knows of each.

    Attributes
    ----------
    member : MemberId
        This process.
    partition : ServerPartition
        Assignment of servers to groups of gateways.
    answers : AnswerMemory
        Memory for the answers of all servers.
    list_connected : callable
        Returns the gateways with an open stream.
    confirm_path : callable
        Checks whether a service is reached at this moment.
    on_leaving : callable
        Called when a server has said that it leaves.
    on_start : callable
        Called when a call was sent to a server.
    on_end : callable
        Called when a call has ended on a server.
    """

    member: MemberId
    cluster: ClusterState
    partition: ServerPartition
    clock: Callable[[], float]
    rng: random.Random = field(default_factory=random.Random)
    cold_pacer: ColdServerPacer = field(default_factory=ColdServerPacer)
    occupancy: Occupancy = field(default_factory=Occupancy)
    tokens: TokenClient = field(default_factory=TokenClient)
    answers: AnswerMemory = field(default_factory=AnswerMemory)
    quiet: QuietServers = field(init=False)
    own_paths: OwnPaths = field(default_factory=OwnPaths)
    path_states: PathStates = field(default_factory=PathStates)
    list_connected: Callable[[], Collection[MemberId]] = _list_none
    confirm_path: Callable[[ServiceId], Awaitable[bool]] = _confirm
    on_leaving: Callable[[ServerKey], None] = _ignore_server
    on_start: Callable[[], None] = _ignore
    on_end: Callable[[], None] = _ignore
    _stats: dict[ServerKey, ServerStats] = field(default_factory=dict)
    _connection_pools: dict[ServerKey, ConnectionPool] = field(
        default_factory=dict
    )

    def __post_init__(self) -> None:
        """Create the parts that depend on the random source."""
        self.quiet = QuietServers(self.rng)

    def list_candidates(
        self,
        states: Iterable[ServerState],
        tried: Set[ServerId],
        now: float,
    ) -> list[Candidate]:
        """Return the servers among `states` that may get a call now."""
        candidates = []
        directory = self.cluster.directory
        for state in states:
            if state.entry.server in tried:
                continue
            if not directory.is_eligible(state, now):
                continue
            candidate = self._make_candidate(state, now)
            if candidate is not None:
                candidates.append(candidate)
        return candidates

    def find_stats(self, server: ServerId, born_ms: int) -> ServerStats:
        """Return the statistics of one run of a server."""
        key = (server, born_ms)
        stats = self._stats.get(key)
        if stats is None:
            stats = ServerStats(server)
            self._stats[key] = stats
        return stats

    def find_connection_pool(self, candidate: Candidate) -> ConnectionPool:
        """Return the connections to one run of a server."""
        entry = candidate.state.entry
        key = entry.key
        pool = self._connection_pools.get(key)
        if pool is None or pool.address != entry.address:
            pool = self.make_pool(entry)
            self._connection_pools[key] = pool
        return pool

    def make_pool(self, entry: ServerEntry) -> ConnectionPool:
        """Return connections to a server that show whether it is reached."""

        def record_new(worked: bool) -> None:
            self.own_paths.record_connection(
                entry.service, self.clock(), worked=worked
            )

        return ConnectionPool(
            entry.address, self.clock, record_new, self.answers
        )

    def is_outage(self, service: ServiceId) -> bool:
        """Return whether none of the connected gateways reaches a service."""
        members = {self.member, *self.list_connected()}
        return self.path_states.is_outage(members, service)

    def list_zone_members(self) -> frozenset[MemberId]:
        """Return the known gateways in the zone of this one."""
        zone = self.partition.own.zone
        members = self.cluster.members.values()
        return frozenset(
            record.member for record in members if record.zone == zone
        )

    def list_members(self) -> frozenset[MemberId]:
        """Return the known gateways, this one included."""
        members = self.cluster.members.values()
        return frozenset((self.member, *(record.member for record in members)))

    def list_loads(self) -> dict[ServerId, int]:
        """Return the calls in flight by server."""
        return {
            stats.server: stats.in_flight
            for stats in self._stats.values()
            if stats.in_flight
        }

    def record_probe(
        self, report: ServerReport, prober: MemberId, now: float
    ) -> None:
        """Record the result of a probe by this gateway or another."""
        state = self.cluster.directory.find(report.server)
        if state is None or state.entry.born_ms != report.born_ms:
            return
        stats = self.find_stats(report.server, report.born_ms)
        was_usable = stats.quarantined_until <= now
        self._apply_probe(stats, report, now)
        if was_usable and stats.quarantined_until > now:
            log_event(
                'server avoided after probe',
                server=report.server,
                prober=prober,
                reachable=report.reachable,
                answers=report.answers,
                until=round(stats.quarantined_until - now, 3),
            )
        if report.reachable and report.answers:
            stats.limit.record_report(report.rate_limit, prober, now)
        for notify in list(stats.probe_listeners):
            notify()

    def record_leaving(self, key: ServerKey, source: str) -> None:
        """Record that a server has said that it leaves."""
        if not self.cluster.directory.leaving.record(key):
            return
        log_event('server leaving', server=key[0], born=key[1], source=source)
        self.on_leaving(key)

    def find_ready_at(self, service: ServiceId, now: float) -> float:
        """Return when a server of a service may be sent calls again.

        This is now if one may, and infinite if all are leaving or gone.
        """
        ready_at = math.inf
        for state in self.partition.find_pool(service).list_all():
            if self.cluster.directory.is_eligible(state, now):
                ends_at = self.quiet.find_end(state.entry.key)
                ready_at = min(ready_at, max(now, ends_at))
        return ready_at

    async def acquire_token(self, candidate: Candidate) -> bool:
        """Return whether a rate-limited server may get a call now."""
        now = self.clock()
        limit = candidate.stats.limit
        granter = limit.find_granter(now)
        if granter is None:
            wait_s = limit.take_ungranted(self.count_members(), now)
        elif granter == self.member:
            wait_s = limit.grant(now)
        else:
            wait_s = await self.tokens.request(granter, candidate.server)
        limit.record_wait(wait_s, self.clock())
        return not wait_s

    def grant_token(self, server: ServerId, now: float) -> float:
        """Grant a token to another gateway; return 0 or the time to wait."""
        state = self.cluster.directory.find(server)
        if state is None:
            return SILENCE_RETRY_S
        limit = self.find_stats(server, state.entry.born_ms).limit
        if limit.rate is None or limit.find_granter(now) == self.member:
            return limit.grant(now)
        return SILENCE_RETRY_S

    def record_start(self, candidate: Candidate, now: float) -> None:
        """Record that a call was sent to a server."""
        candidate.stats.in_flight += 1
        self.on_start()
        self._record_paced(candidate, now)

    def record_end(self, candidate: Candidate) -> None:
        """Record that a call has ended on a server."""
        candidate.stats.in_flight -= 1
        self.on_end()

    async def remove_unused(self) -> None:
        """Remove what belongs to removed servers, and expired connections."""
        known = {state.entry.key for state in self.cluster.directory.list_all()}
        for key in [key for key in self._connection_pools if key not in known]:
            await self._connection_pools.pop(key).close_idle()
        for pool in list(self._connection_pools.values()):
            await pool.close_expired()
        for key in [key for key in self._stats if key not in known]:
            self._stats.pop(key)
        self.quiet.remove_ended(self.clock())

    def count_members(self) -> int:
        """Return how many gateways share the global limits."""
        return len(self.list_members())

    def _may_send_cold(self, entry: ServerEntry, now: float) -> bool:
        server = entry.server
        if choose_pacer(server, self._list_pacers(entry)) != self.member:
            return False
        return self.cold_pacer.may_send(server, now)

    def _list_pacers(self, entry: ServerEntry) -> frozenset[MemberId]:
        """Return the gateways of which one paces a cold server.

        They are its owners that reach it, else all gateways that do.
        """
        owners = self.partition.find_owners(entry.server)
        if not self.path_states.is_outage(owners, entry.service):
            return self.path_states.choose_able(owners, entry.service)
        members = self.list_members()
        return self.path_states.choose_able(members, entry.service)

    def _make_candidate(
        self,
        state: ServerState,
        now: float,
    ) -> Candidate | None:
        """Return a candidate, None if its server may not get a call now."""
        server = state.entry.server
        stats = self.find_stats(server, state.entry.born_ms)
        if stats.quarantined_until > now or not stats.limit.may_request(now):
            return None
        if not self.quiet.may_send(state.entry.key, stats.in_flight, now):
            return None
        cold = state.cold_until > now
        if cold and not self._may_send_cold(state.entry, now):
            return None
        return Candidate(
            state,
            stats,
            cold,
            self.occupancy.count(server, now),
            stats.find_reported_slowdown(now),
            self.partition.find_pool(state.entry.service).groups,
        )

    def _record_paced(self, candidate: Candidate, now: float) -> None:
        if not candidate.cold:
            return
        service = candidate.state.entry.service
        service_config = self.cluster.config.services.get(service)
        rate = (
            service_config.warmup_rate
            if service_config
            else DEFAULT_WARMUP_RATE
        )
        self.cold_pacer.record_sent(candidate.server, now, rate)

    def _apply_probe(
        self,
        stats: ServerStats,
        report: ServerReport,
        now: float,
    ) -> None:
        if not report.reachable:
            stats.record_unreachable(now)
            return
        if not report.answers:
            stats.record_probe_timeout(now)
            return
        stats.record_probe_success()
        directory = self.cluster.directory
        directory.update_warmup(report.server, report.cold_s, now)
        if not report.slots:
            return
        load = LoadReport(
            report.running,
            report.waiting,
            report.slots,
            report.pace,
        )
        peer_calls = self.occupancy.count(report.server, now)
        stats.record_report(load, now, peer_calls, REPORT_HOLD_S)
