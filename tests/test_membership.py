"""Membership: dispatch leases, fencing of past epochs, dead members."""

from ibisplank.ids import MemberId, VmId, ZoneId
from ibisplank.process import Membership
from ibisplank.version import (
    DISPATCH_LEASE_S,
    MAX_PAST_ROSTERS,
    Member,
    Roster,
    change_roster,
)

NAMES = tuple(MemberId(f'm{number}.0') for number in range(5))


def make_roster(count: int) -> Roster:
    members = tuple(
        Member(name, VmId(name[:2]), ZoneId('z'), '', '')
        for name in NAMES[:count]
    )
    return change_roster(Roster(), members, frozenset(), frozenset())


def exchange_heartbeats(
    first: Membership, second: Membership, now: float
) -> None:
    """Exchange heartbeats in both directions, then their echoes."""
    for _ in range(2):
        heartbeat = first.make_heartbeat(second.member, 0, 0, now)
        second.receive(first.member, heartbeat, now)
        heartbeat = second.make_heartbeat(first.member, 0, 0, now)
        first.receive(second.member, heartbeat, now)


def start_members(count: int) -> list[Membership]:
    nodes = [Membership(name) for name in NAMES[:count]]
    for node in nodes:
        node.update_roster(make_roster(count), 0.0)
    return nodes


def test_a_dispatch_lease_needs_a_majority() -> None:
    nodes = start_members(5)
    exchange_heartbeats(nodes[0], nodes[1], 100.0)
    assert nodes[0].find_dispatch_lease_end(100.0) == DISPATCH_LEASE_S
    exchange_heartbeats(nodes[0], nodes[2], 100.0)
    assert nodes[0].find_dispatch_lease_end(100.0) == 100.0 + DISPATCH_LEASE_S


def test_a_dispatch_lease_runs_from_the_sent_heartbeat_not_its_echo() -> None:
    first, second = start_members(2)
    sent = first.make_heartbeat(second.member, 0, 0, 10.0)
    second.receive(first.member, sent, 10.0)
    echo = second.make_heartbeat(first.member, 0, 0, 10.5)
    first.receive(second.member, echo, 60.0)
    assert first.find_dispatch_lease_end(60.0) == 10.0 + DISPATCH_LEASE_S


def test_a_member_at_a_later_epoch_confirms_nothing() -> None:
    first, second = start_members(2)
    newer = change_roster(second.roster, (), frozenset(), frozenset())
    second.update_roster(newer, 50.0)
    exchange_heartbeats(first, second, 50.0)
    assert first.find_dispatch_lease_end(50.0) == DISPATCH_LEASE_S


def test_a_fence_needs_a_majority_of_the_past_members() -> None:
    nodes = start_members(3)
    newer = change_roster(
        nodes[0].roster,
        (),
        frozenset((NAMES[2],)),
        frozenset(),
    )
    nodes[0].update_roster(newer, 10.0)
    assert nodes[0].find_fence_time(10.0) is None
    nodes[1].update_roster(newer, 10.0)
    exchange_heartbeats(nodes[0], nodes[1], 12.0)
    assert nodes[0].find_fence_time(12.0) == 12.0


def test_ended_members_count_as_moved_to_a_later_epoch() -> None:
    node = start_members(3)[0]
    newer = change_roster(
        node.roster,
        (),
        frozenset(NAMES[1:3]),
        frozenset(),
    )
    node.update_roster(newer, 10.0)
    node.mark_ended({NAMES[1]})
    assert node.find_fence_time(11.0) == 11.0


def test_a_silent_member_is_dead_after_the_timeout() -> None:
    first, second = start_members(2)
    exchange_heartbeats(first, second, 100.0)
    assert first.find_dead(102.9) == frozenset()
    assert first.find_dead(103.0) == {second.member}


def test_an_older_roster_is_ignored() -> None:
    node = start_members(3)[0]
    assert not node.update_roster(Roster(), 1.0)
    assert node.roster.epoch == 1


def test_many_members_can_join_before_any_epoch_is_fenced() -> None:
    roster = Roster()
    for number in range(32):
        name = MemberId(f'n{number}.0')
        member = Member(name, VmId(str(number)), ZoneId('z'), '', '')
        roster = change_roster(roster, (member,), frozenset(), frozenset())
    assert len(roster.past) <= MAX_PAST_ROSTERS
