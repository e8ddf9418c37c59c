"""Which gateways of an availability zone care for which backend servers."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from ibisplank.gateway._directory import Directory, ServerState
from ibisplank.gateway._model import ServerEntry
from ibisplank.gateway._updates import MemberRecord
from ibisplank.ids import MemberId, ServerId, ServiceId, ZoneId

#: Gateways that tell each other of every call. The cost of a gateway grows
#: with its group and not with its zone.
GROUP_SIZE = 8
#: Servers outside the own group that are drawn for one call, of the own zone
#: and of the others.
FOREIGN_SAMPLE = 3
#: A service with fewer servers is compared whole.
MAX_FULL_COMPARISON = 24


@dataclass(frozen=True, slots=True)
class Pool:
    """A service's servers, as one gateway looks at them.

    Attributes
    ----------
    own : tuple of ServerState
        Those that its group cares for.
    same_zone : tuple of ServerState
        Those that other groups of its zone care for.
    other_zones : tuple of ServerState
        Those of other zones.
    """

    own: tuple[ServerState, ...] = ()
    same_zone: tuple[ServerState, ...] = ()
    other_zones: tuple[ServerState, ...] = ()

    def list_all(self) -> tuple[ServerState, ...]:
        """Return all servers of the service."""
        return self.own + self.same_zone + self.other_zones

    def sample(self, rng: random.Random) -> tuple[ServerState, ...]:
        """Return the servers that are compared for one call."""
        everyone = self.list_all()
        if len(everyone) <= MAX_FULL_COMPARISON:
            return everyone
        return (
            *self.own,
            *_sample(self.same_zone, rng),
            *_sample(self.other_zones, rng),
        )


@dataclass(slots=True)
class ServerPartition:
    """The zone's servers, dealt out to groups of its gateways.

    Load pattern: gateways that compare the same servers within the same
    millisecond choose the same one, unless each knows what the others have
    in flight; telling every gateway of a large zone of every call costs more
    than the calls. A group of a few gateways cares for a slice of each
    service, knows it exactly, and draws at random from the rest.

    Parameters
    ----------
    own : MemberRecord
        This gateway.
    """

    own: MemberRecord
    directory: Directory
    _members: frozenset[MemberRecord] = frozenset()
    _groups: dict[ZoneId, list[frozenset[MemberId]]] = field(
        default_factory=dict,
    )
    _owners: dict[ServerId, frozenset[MemberId]] = field(default_factory=dict)
    _pools: dict[ServiceId, Pool] = field(default_factory=dict)
    _assigned_at_change: int = -1

    def __post_init__(self) -> None:
        """Start as the only gateway."""
        self.update_members(())

    def update_members(self, members: Iterable[MemberRecord]) -> None:
        """Take in all gateways."""
        known = frozenset((self.own, *members))
        if known == self._members:
            return
        self._members = known
        self._groups = _group_by_zone(known)
        self._assigned_at_change = -1

    def list_group(self) -> frozenset[MemberId]:
        """Return the gateways of the own group, this one included."""
        for group in self._groups[self.own.zone]:
            if self.own.member in group:
                return group
        return frozenset((self.own.member,))

    def list_groups(self) -> list[frozenset[MemberId]]:
        """Return all groups of all zones."""
        return [group for zone in self._groups.values() for group in zone]

    def find_owners(self, server: ServerId) -> frozenset[MemberId]:
        """Return the group that cares for a server; all where it has none."""
        self._assign_servers()
        return self._owners.get(server, frozenset())

    def find_pool(self, service: ServiceId) -> Pool:
        """Return the servers of a service."""
        self._assign_servers()
        return self._pools.get(service, Pool())

    def _assign_servers(self) -> None:
        """Deal the servers out, if any has come, moved or gone."""
        if self._assigned_at_change == self.directory.changes:
            return
        self._assigned_at_change = self.directory.changes
        self._owners = {}
        slices: dict[tuple[ServiceId, ZoneId], list[ServerState]] = {}
        for state in self.directory.list_all():
            slices.setdefault(state.entry.slice_key, []).append(state)
        for (_, zone), states in slices.items():
            self._assign_slice(zone, states)
        self._pools = self._make_pools()

    def _assign_slice(self, zone: ZoneId, states: list[ServerState]) -> None:
        groups = self._groups.get(zone)
        if groups is None:
            everyone = frozenset(each.member for each in self._members)
            groups = [everyone]
        states.sort(key=lambda each: _rank(each.entry.server))
        for number, state in enumerate(states):
            group = groups[number * len(groups) // len(states)]
            self._owners[state.entry.server] = group

    def _make_pools(self) -> dict[ServiceId, Pool]:
        parts: dict[ServiceId, tuple[list[ServerState], ...]] = {}
        for state in self.directory.list_all():
            service = state.entry.service
            lists = parts.setdefault(service, ([], [], []))
            lists[self._find_part(state.entry)].append(state)
        return {
            service: Pool(*(tuple(part) for part in lists))
            for service, lists in parts.items()
        }

    def _find_part(self, entry: ServerEntry) -> int:
        """Return which part of its pool a server belongs to."""
        if entry.zone != self.own.zone:
            return 2
        owners = self._owners[entry.server]
        return 0 if self.own.member in owners else 1


def _group_by_zone(
    members: Iterable[MemberRecord],
) -> dict[ZoneId, list[frozenset[MemberId]]]:
    zones: dict[ZoneId, list[MemberId]] = {}
    for record in members:
        zones.setdefault(record.zone, []).append(record.member)
    return {zone: _split_into_groups(names) for zone, names in zones.items()}


def _split_into_groups(names: list[MemberId]) -> list[frozenset[MemberId]]:
    """Return groups of like size; one more gateway moves few others."""
    count = max(1, round(len(names) / GROUP_SIZE))
    groups: list[set[MemberId]] = [set() for _ in range(count)]
    for number, name in enumerate(sorted(names, key=_rank)):
        groups[number * count // len(names)].add(name)
    return [frozenset(group) for group in groups]


def _rank(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


def _sample(
    states: tuple[ServerState, ...],
    rng: random.Random,
) -> list[ServerState]:
    return rng.sample(states, min(FOREIGN_SAMPLE, len(states)))
