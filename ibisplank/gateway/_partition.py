"""Assignment of backend servers to groups of gateways."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from ibisplank.gateway._decoding import MemberRecord
from ibisplank.gateway._directory import Directory, ServerState
from ibisplank.gateway._model import ServerEntry
from ibisplank.ids import MemberId, ServerId, ServiceId, ZoneId

#: Target size of a group, whose gateways exchange their in-flight counts. The
#: cost of a gateway grows with its group and not with its zone.
GROUP_SIZE = 8
#: Number of servers that are sampled for one call from the other groups of the
#: gateway's zone, and as many from all other zones.
FOREIGN_SAMPLE = 3
#: Up to this many servers of a service, all are compared for each call.
MAX_FULL_COMPARISON = 24
#: Up to this many gateways form a full mesh and exchange probe reports of the
#: servers in all zones. If there are more, probe reports are sent to the group
#: only, which has enough servers of its own, and table updates are sent through
#: relays.
MAX_FULL_MESH = 24


@dataclass(frozen=True, slots=True)
class ServerPool:
    """Servers of a service, as seen by one gateway.

    Attributes
    ----------
    own : tuple of ServerState
        Servers that are assigned to its group.
    same_zone : tuple of ServerState
        Servers that are assigned to other groups of its zone.
    other_zones : tuple of ServerState
        Servers of other zones.
    groups : int
        Groups that send calls to each of the servers. The servers of a large
        service, or fleet, are sampled by other groups, each of which hardly
        ever sends calls to the same one.
    """

    own: tuple[ServerState, ...] = ()
    same_zone: tuple[ServerState, ...] = ()
    other_zones: tuple[ServerState, ...] = ()
    groups: int = 1

    def list_all(self) -> tuple[ServerState, ...]:
        """Return all servers of the service."""
        return self.own + self.same_zone + self.other_zones

    def sample(self, rng: random.Random) -> tuple[ServerState, ...]:
        """Return the servers to compare for one call."""
        servers = self.list_all()
        if len(servers) <= MAX_FULL_COMPARISON:
            return servers
        return (
            *self.own,
            *_sample(self.same_zone, rng),
            *_sample(self.other_zones, rng),
        )


@dataclass(slots=True)
class ServerPartition:
    """Servers of each zone, divided among groups of its gateways.

    Load pattern: gateways that compare the same servers within the same
    millisecond choose the same one, unless each knows the in-flight calls of
    the others. Sending these to every gateway of a large zone would cost more
    than the calls. So each group of a few gateways is assigned a slice of
    each service, whose in-flight calls it knows exactly, and samples the
    other servers at random.

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
    _pools: dict[ServiceId, ServerPool] = field(default_factory=dict)
    _assigned_at_change: int = -1

    def __post_init__(self) -> None:
        """Start with this gateway as the only member."""
        self.update_members(())

    def update_members(self, members: Iterable[MemberRecord]) -> None:
        """Replace the set of gateways."""
        known = frozenset((self.own, *members))
        if known == self._members:
            return
        self._members = known
        self._groups = _group_by_zone(known)
        self._assigned_at_change = -1

    def list_group(self) -> frozenset[MemberId]:
        """Return the gateways of this group, this one included."""
        for group in self._groups[self.own.zone]:
            if self.own.member in group:
                return group
        return frozenset((self.own.member,))

    def list_groups(self) -> list[frozenset[MemberId]]:
        """Return all groups of all zones."""
        return [group for zone in self._groups.values() for group in zone]

    def find_owners(self, server: ServerId) -> frozenset[MemberId]:
        """Return the group that a server is assigned to.

        It consists of all gateways if the zone of the server has none.
        """
        self._assign_servers()
        return self._owners.get(server, frozenset())

    def find_pool(self, service: ServiceId) -> ServerPool:
        """Return the servers of a service."""
        self._assign_servers()
        return self._pools.get(service, ServerPool())

    def _assign_servers(self) -> None:
        """Reassign the servers if servers or gateways have changed."""
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
            all_members = frozenset(each.member for each in self._members)
            groups = [all_members]
        states.sort(key=lambda each: _rank(each.entry.server))
        for number, state in enumerate(states):
            group = groups[number * len(groups) // len(states)]
            self._owners[state.entry.server] = group

    def _make_pools(self) -> dict[ServiceId, ServerPool]:
        parts: dict[ServiceId, tuple[list[ServerState], ...]] = {}
        for state in self.directory.list_all():
            service = state.entry.service
            lists = parts.setdefault(service, ([], [], []))
            lists[self._find_part(state.entry)].append(state)
        return {
            service: ServerPool(
                tuple(own),
                tuple(same_zone),
                tuple(other_zones),
                self._count_groups(
                    len(own) + len(same_zone) + len(other_zones)
                ),
            )
            for service, (own, same_zone, other_zones) in parts.items()
        }

    def _count_groups(self, servers: int) -> int:
        """Return how many groups send calls to each server of a service."""
        if servers > MAX_FULL_COMPARISON or len(self._members) > MAX_FULL_MESH:
            return 1
        return len(self.list_groups())

    def _find_part(self, entry: ServerEntry) -> int:
        """Return the index of the field of `ServerPool` that a server is in."""
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
    """Return groups of similar size.

    They are ranges of a hash order, so that an added gateway moves few others.
    """
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
