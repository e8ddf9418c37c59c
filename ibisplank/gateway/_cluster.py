"""The gateway's local copy of the platform's store."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ibisplank.faults import Boundary, FaultLog
from ibisplank.gateway._decoding import (
    DecodedConfig,
    DecodedMember,
    DecodedRow,
    DecodedServer,
    DecodedZone,
    Decoder,
    InvalidRow,
    MemberRecord,
)
from ibisplank.gateway._directory import Directory
from ibisplank.gateway._freshness import Freshness
from ibisplank.gateway._model import RoutingConfig, ServerKey
from ibisplank.gateway._routing import RouteTable
from ibisplank.gateway._rowset import RowSet
from ibisplank.ids import ZoneId
from ibisplank.process import log_event
from ibisplank.store import TableUpdate, Topic, VersionedRow

#: Warm-up time of servers in a zone that is back in service, if no service
#: configures one.
DEFAULT_WARMUP_S = 3.0


def _ignore(key: ServerKey) -> None:
    """Do nothing; the default until the gateway is set up."""


@dataclass(slots=True)
class ClusterState:
    """Contents of the store with their versions and age.

    Versions only increase: an older row or config never replaces a newer one.
    A row that is missing shortly after the store was restored may be written
    again, and is not missed until then.

    Attributes
    ----------
    members : dict
        Gateway processes by VM name.
    on_server_end : callable
        Called with each run of a server that has ended and did not leave.
    faults : FaultLog
        Faults that the parts of this gateway have contained.
    """

    decode: Decoder
    config: RoutingConfig = field(default_factory=RoutingConfig)
    directory: Directory = field(default_factory=Directory)
    members: dict[str, MemberRecord] = field(default_factory=dict)
    freshness: dict[Topic, Freshness] = field(
        default_factory=lambda: {topic: Freshness() for topic in Topic},
    )
    rows: dict[Topic, RowSet] = field(
        default_factory=lambda: {topic: RowSet() for topic in Topic},
    )
    routes: RouteTable = field(
        default_factory=lambda: RouteTable(RoutingConfig()),
    )
    on_server_end: Callable[[ServerKey], None] = _ignore
    faults: FaultLog = field(default_factory=FaultLog)
    _zones_returning: dict[ZoneId, float] = field(default_factory=dict)

    def apply(self, update: TableUpdate, now: float) -> list[VersionedRow]:
        """Merge an update; return the rows that it changed."""
        rows = self.rows[update.topic]
        if rows.is_contiguous(update):
            self._record_freshness(update, now)
        for row in rows.list_superseded(update):
            log_event(
                'older row left out',
                topic=update.topic.value,
                key=row.key,
                version=row.version,
                era=update.era,
            )
        changed = rows.merge(update)
        for row in changed:
            with self.faults.contain(Boundary.ROW, key=row.key):
                decoded = self.decode(update.topic, row)
                if decoded is not None:
                    self._apply_row(decoded, now)
        self._return_zones(now)
        return changed

    def make_snapshot(self, topic: Topic) -> TableUpdate:
        """Return all known rows of a topic, for a peer."""
        rows = self.rows[topic]
        store_s = self.freshness[topic].newest_s
        return TableUpdate(
            topic,
            rows.list_rows(),
            is_snapshot=True,
            version=rows.version,
            store_s=store_s,
            era=rows.era,
        )

    def find_age(self, now: float) -> float:
        """Return the age of the older of the operator and server topics."""
        return max(
            self.freshness[Topic.OPERATOR].find_age(now),
            self.freshness[Topic.SERVERS].find_age(now),
        )

    def _apply_row(self, decoded: DecodedRow, now: float) -> None:
        match decoded:
            case DecodedConfig(config):
                self._apply_config(config)
            case DecodedZone():
                self._apply_zone(decoded, now)
            case DecodedServer():
                self._apply_server(decoded, now)
            case DecodedMember(vm, MemberRecord() as record):
                self.members[vm] = record
            case DecodedMember(vm):
                if not self.freshness[Topic.MEMBERS].find_grace(now):
                    self.members.pop(vm, None)
            case InvalidRow(key, reason, server):
                log_event('row left out', key=key, reason=reason)
                if server is not None:
                    self.directory.remove(server, now, grace_s=0.0)

    def _record_freshness(self, update: TableUpdate, now: float) -> None:
        freshness = self.freshness[update.topic]
        if update.era > freshness.era:
            log_event(
                'store era changed',
                topic=update.topic.value,
                era=update.era,
                previous=freshness.era,
                version=update.version,
                known_version=self.rows[update.topic].version,
            )
        freshness.record(update.store_s, now, update.era)

    def _apply_zone(self, decoded: DecodedZone, now: float) -> None:
        """Take a zone out at once; return it when no row can be missing."""
        self._zones_returning.pop(decoded.zone, None)
        if decoded.out:
            self.directory.set_zone_out(decoded.zone, now, 0.0, out=True)
            log_event('zone moved', zone=decoded.zone, out=True)
            return
        grace_s = self.freshness[Topic.OPERATOR].find_grace(now)
        self._zones_returning[decoded.zone] = now + grace_s

    def _return_zones(self, now: float) -> None:
        for zone, returns_at in list(self._zones_returning.items()):
            if now < returns_at:
                continue
            self._zones_returning.pop(zone)
            cold_s = self._find_warmup_s()
            self.directory.set_zone_out(zone, now, cold_s, out=False)
            log_event('zone moved', zone=zone, out=False)

    def _apply_config(self, config: RoutingConfig) -> None:
        if config == self.config:
            return
        if config.version < self.config.version:
            log_event(
                'older config left out',
                version=config.version,
                in_force=self.config.version,
            )
            return
        self.config = config
        self.routes = RouteTable(config)
        log_event('config in force', version=config.version)
        for omitted in config.omitted:
            log_event(
                'entry of the config left out',
                version=config.version,
                reason=omitted.reason,
            )

    def _apply_server(self, decoded: DecodedServer, now: float) -> None:
        entry = decoded.entry
        self._record_end(decoded)
        if entry is None:
            grace_s = self.freshness[Topic.SERVERS].find_grace(now)
            self.directory.remove(decoded.server, now, grace_s)
            log_event('server dropped', server=decoded.server, grace_s=grace_s)
            return
        started = self.directory.upsert(entry, now)
        log_event(
            'server learnt',
            server=entry.server,
            service=entry.service,
            address=entry.address,
            zone=entry.zone,
            started=started,
            leaving=entry.draining,
            warmup_left_s=entry.warmup_left_s,
        )

    def _record_end(self, decoded: DecodedServer) -> None:
        """Tell of a run of a server that has ended and did not leave."""
        state = self.directory.find(decoded.server)
        if state is None or self.directory.is_leaving(state):
            return
        if decoded.entry is None or decoded.entry.key != state.entry.key:
            self.on_server_end(state.entry.key)

    def _find_warmup_s(self) -> float:
        services = self.config.services.values()
        longest = max((each.warmup_s for each in services), default=0.0)
        return longest or DEFAULT_WARMUP_S
