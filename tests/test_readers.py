"""Choice of readers: consistent, across zones, without silent ones."""

from ibisplank.gateway import MemberRecord
from ibisplank.gateway._assignments import EXCLUSION_S
from ibisplank.gateway._readers import SILENCE_TIMEOUT_S, Readers
from ibisplank.ids import MemberId, ZoneId

MEMBERS = [
    MemberRecord(MemberId(f'm{number}'), f'peer-{number}', ZoneId(f'z{zone}'))
    for number, zone in enumerate([1, 1, 1, 2, 2, 3])
]
OBSERVER = MemberId('observer')


def test_all_choose_the_same_two_in_different_zones() -> None:
    chosen = Readers(OBSERVER).choose(MEMBERS, 0.0)
    assert len(chosen) == 2
    zones = {each.zone for each in MEMBERS if each.member in chosen}
    assert len(zones) == 2
    for each in MEMBERS:
        assert Readers(each.member).choose(MEMBERS[::-1], 5.0) == chosen


def test_single_zone_has_two_readers() -> None:
    assert len(Readers(OBSERVER).choose(MEMBERS[:3], 0.0)) == 2
    assert len(Readers(OBSERVER).choose(MEMBERS[:1], 0.0)) == 1


def test_silent_reader_is_excluded_until_it_is_heard_again() -> None:
    readers = Readers(OBSERVER)
    first, second = readers.choose(MEMBERS, 0.0)
    late = SILENCE_TIMEOUT_S + 0.1
    readers.record_update(second, late)
    replaced = readers.choose(MEMBERS, late)
    assert first not in replaced
    assert second in replaced
    readers.record_update(first, late + 1)
    for each in replaced:
        readers.record_update(each, late + 1)
    assert first in readers.choose(MEMBERS, late + 1)


def test_gateway_never_excludes_itself() -> None:
    chosen = Readers(OBSERVER).choose(MEMBERS, 0.0)
    own = next(iter(chosen))
    readers = Readers(own)
    for second in range(20):
        assert own in readers.choose(MEMBERS, float(second))


def test_all_members_are_tried_in_turn_if_all_are_silent() -> None:
    readers = Readers(OBSERVER)
    tried: set[MemberId] = set()
    now = 0.0
    while now < EXCLUSION_S:
        tried |= readers.choose(MEMBERS, now)
        now += 0.5
    assert len(tried) >= 4
