"""The gateway's picture of the platform's store, which never goes back."""

from dataclasses import dataclass, field

from ibisplank.gateway._directory import Directory
from ibisplank.gateway._facts import (
    ConfigFact,
    Decoder,
    Fact,
    MemberFact,
    MemberRecord,
    ServerFact,
    Unreadable,
    ZoneFact,
)
from ibisplank.gateway._freshness import Freshness
from ibisplank.gateway._model import RoutingConfig
from ibisplank.gateway._routing import RouteTable
from ibisplank.gateway._rowset import RowSet
from ibisplank.process import log_event
from ibisplank.store import Reading, Topic, VersionedRow

#: Time for which a zone's servers count as cold where no service says more.
DEFAULT_WARMUP_S = 3.0


@dataclass(slots=True)
class Knowledge:
    """All that is known from the store, with its versions and age.

    Attributes
    ----------
    members : dict
        Gateway processes by the names of their VMs.
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

    def learn(self, reading: Reading, now: float) -> list[VersionedRow]:
        """Take in a reading; return the rows that it changed."""
        rows = self.rows[reading.topic]
        if rows.follows(reading):
            self.freshness[reading.topic].note(reading.store_s, now)
        changed = rows.merge(reading)
        for row in changed:
            fact = self.decode(reading.topic, row)
            if fact is not None:
                self._apply(fact, now)
        return changed

    def tell(self, topic: Topic) -> Reading:
        """Return all that is known of a topic, for a peer."""
        rows = self.rows[topic]
        store_s = self.freshness[topic].newest_s
        return Reading(topic, rows.list_rows(), True, rows.version, store_s)

    def find_age(self, now: float) -> float:
        """Return the age of what is known of operators and servers."""
        return max(
            self.freshness[Topic.OPERATOR].find_age(now),
            self.freshness[Topic.SERVERS].find_age(now),
        )

    def _apply(self, fact: Fact, now: float) -> None:
        match fact:
            case ConfigFact(config):
                self._learn_config(config)
            case ZoneFact(zone, out):
                cold_s = self._find_warmup_s()
                self.directory.move_zone(zone, now, cold_s, out=out)
                log_event('zone moved', zone=zone, out=out)
            case ServerFact():
                self._learn_server(fact, now)
            case MemberFact(vm, MemberRecord() as record):
                self.members[vm] = record
            case MemberFact(vm):
                self.members.pop(vm, None)
            case Unreadable(key, reason, server):
                log_event('row left out', key=key, reason=reason)
                if server is not None:
                    self.directory.drop(server, now, grace_s=0.0)

    def _learn_config(self, config: RoutingConfig) -> None:
        if config.version <= self.config.version:
            log_event(
                'older config left out',
                version=config.version,
                in_force=self.config.version,
            )
            return
        self.config = config
        self.routes = RouteTable(config)
        log_event('config in force', version=config.version)

    def _learn_server(self, fact: ServerFact, now: float) -> None:
        entry = fact.entry
        if entry is None:
            grace_s = self.freshness[Topic.SERVERS].find_grace(now)
            self.directory.drop(fact.server, now, grace_s)
            log_event('server dropped', server=fact.server, grace_s=grace_s)
            return
        started = self.directory.learn(entry, now)
        log_event(
            'server learnt',
            server=entry.server,
            service=entry.service,
            address=entry.address,
            zone=entry.zone,
            started=started,
            leaving=entry.leaving,
            warmup_left_s=entry.warmup_left_s,
        )

    def _find_warmup_s(self) -> float:
        rules = self.config.services.values()
        longest = max((rule.warmup_s for rule in rules), default=0.0)
        return longest or DEFAULT_WARMUP_S
