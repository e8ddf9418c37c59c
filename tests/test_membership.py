"""Heartbeats: rights by majority, fences, deaths."""

from ibisplank.ids import MemberId, VmId, ZoneId
from ibisplank.process import Membership
from ibisplank.version import (
    CONFIRM_S,
    PAST_LIMIT,
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


def exchange(first: Membership, second: Membership, now: float) -> None:
    """Let two members hear each other, and each other's echo."""
    for _ in range(2):
        beat = first.make_heartbeat(second.member, 0, 0, now)
        second.receive(first.member, beat, now)
        beat = second.make_heartbeat(first.member, 0, 0, now)
        first.receive(second.member, beat, now)


def start(count: int) -> list[Membership]:
    nodes = [Membership(name) for name in NAMES[:count]]
    for node in nodes:
        node.learn_roster(make_roster(count), 0.0)
    return nodes


def test_rights_need_a_majority() -> None:
    nodes = start(5)
    exchange(nodes[0], nodes[1], 100.0)
    assert nodes[0].find_rights(100.0) == CONFIRM_S
    exchange(nodes[0], nodes[2], 100.0)
    assert nodes[0].find_rights(100.0) == 100.0 + CONFIRM_S


def test_rights_run_from_the_question_not_the_answer() -> None:
    first, second = start(2)
    question = first.make_heartbeat(second.member, 0, 0, 10.0)
    second.receive(first.member, question, 10.0)
    answer = second.make_heartbeat(first.member, 0, 0, 10.5)
    first.receive(second.member, answer, 60.0)
    assert first.find_rights(60.0) == 10.0 + CONFIRM_S


def test_a_member_that_moved_on_confirms_nothing() -> None:
    first, second = start(2)
    newer = change_roster(second.roster, (), frozenset(), frozenset())
    second.learn_roster(newer, 50.0)
    exchange(first, second, 50.0)
    assert first.find_rights(50.0) == CONFIRM_S


def test_a_fence_needs_a_majority_of_the_past() -> None:
    nodes = start(3)
    newer = change_roster(
        nodes[0].roster,
        (),
        frozenset((NAMES[2],)),
        frozenset(),
    )
    nodes[0].learn_roster(newer, 10.0)
    assert nodes[0].find_fence_time(10.0) is None
    nodes[1].learn_roster(newer, 10.0)
    exchange(nodes[0], nodes[1], 12.0)
    assert nodes[0].find_fence_time(12.0) == 12.0


def test_members_that_are_gone_count_as_passed() -> None:
    node = start(3)[0]
    newer = change_roster(
        node.roster,
        (),
        frozenset(NAMES[1:3]),
        frozenset(),
    )
    node.learn_roster(newer, 10.0)
    node.mark_ended({NAMES[1]})
    assert node.find_fence_time(11.0) == 11.0


def test_a_silent_member_is_dead_after_its_time() -> None:
    first, second = start(2)
    exchange(first, second, 100.0)
    assert first.find_dead(102.9) == frozenset()
    assert first.find_dead(103.0) == {second.member}


def test_an_older_roster_is_passed_over() -> None:
    node = start(3)[0]
    assert not node.learn_roster(Roster(), 1.0)
    assert node.roster.epoch == 1


def test_many_members_can_join_before_any_epoch_is_fenced() -> None:
    roster = Roster()
    for number in range(32):
        name = MemberId(f'n{number}.0')
        member = Member(name, VmId(str(number)), ZoneId('z'), '', '')
        roster = change_roster(roster, (member,), frozenset(), frozenset())
    assert len(roster.past) <= PAST_LIMIT
