"""Choice of relays: one per group and reader, replaced if unreachable."""

from ibisplank.gateway._assignments import EXCLUSION_S
from ibisplank.gateway._relays import CONNECT_TIMEOUT_S, Relays
from ibisplank.ids import MemberId

GROUPS = [
    frozenset(MemberId(f'm{group}-{number}') for number in range(8))
    for group in range(6)
]
READER = MemberId('m0-0')
ALL_MEMBERS = {member for group in GROUPS for member in group}


def test_each_other_group_has_one_relay() -> None:
    chosen = Relays(READER).choose(GROUPS, ALL_MEMBERS, 0.0)
    assert [len(chosen & group) for group in GROUPS] == [0, 1, 1, 1, 1, 1]


def test_two_readers_rarely_share_a_relay() -> None:
    first = Relays(READER).choose(GROUPS, ALL_MEMBERS, 0.0)
    second = Relays(MemberId('m0-1')).choose(GROUPS, ALL_MEMBERS, 0.0)
    assert len(first & second) <= 1


def test_unreachable_relay_is_replaced_temporarily() -> None:
    relays = Relays(READER)
    first = relays.choose(GROUPS, set(), 0.0)
    lost = next(iter(first))
    reached = ALL_MEMBERS - {lost}
    assert relays.choose(GROUPS, reached, CONNECT_TIMEOUT_S / 2) == first
    later = relays.choose(GROUPS, reached, CONNECT_TIMEOUT_S + 0.1)
    assert later >= first - {lost}
    assert lost not in later
    assert len(later) == len(first)
    back = CONNECT_TIMEOUT_S + EXCLUSION_S + 0.2
    assert relays.choose(GROUPS, ALL_MEMBERS, back) == first


def test_unreachable_group_still_has_a_relay() -> None:
    relays = Relays(READER)
    for step in range(40):
        assert relays.choose(GROUPS[1:2], set(), step * 0.5)
