"""Who may get calls: leaving, lapsed, evacuated and cold servers."""

from ibisplank.gateway._directory import COLD_HOLD_S, WARMUP_MARGIN_S, Directory
from ibisplank.ids import ServerId, ZoneId
from tests.gateways import make_entry


def list_names(directory: Directory, now: float) -> list[str]:
    return sorted(
        each.entry.server
        for each in directory.list_all()
        if directory.is_eligible(each, now)
    )


def is_cold(directory: Directory, name: str, now: float) -> bool:
    state = directory.find(ServerId(name))
    assert state is not None
    return state.cold_until > now


def test_a_leaving_server_gets_nothing_until_it_starts_anew() -> None:
    directory = Directory()
    directory.upsert(make_entry('a'), 0.0)
    directory.upsert(make_entry('a', draining=True), 1.0)
    assert list_names(directory, 1.0) == []
    assert directory.upsert(make_entry('a', born_ms=2), 2.0)
    assert list_names(directory, 2.0) == ['a']


def test_a_dropped_entry_gets_nothing_at_once() -> None:
    directory = Directory()
    directory.upsert(make_entry('a'), 0.0)
    directory.remove(ServerId('a'), 1.0, grace_s=0.0)
    assert list_names(directory, 1.0) == []


def test_an_entry_that_lapsed_in_an_outage_has_a_grace() -> None:
    directory = Directory()
    directory.upsert(make_entry('a'), 0.0)
    directory.upsert(make_entry('b'), 0.0)
    directory.upsert(make_entry('c', draining=True), 0.0)
    for name in 'abc':
        directory.remove(ServerId(name), 1.0, grace_s=2.0)
    assert list_names(directory, 2.9) == ['a', 'b']
    directory.upsert(make_entry('a'), 2.9)
    assert list_names(directory, 3.1) == ['a']


def test_an_evacuated_zone_returns_cold() -> None:
    directory = Directory()
    directory.upsert(make_entry('a', zone='z1'), 0.0)
    directory.upsert(make_entry('b', zone='z2'), 0.0)
    directory.set_zone_out(ZoneId('z1'), 1.0, 3.0, out=True)
    assert list_names(directory, 1.0) == ['b']
    assert [each.entry.server for each in directory.list_probeable()] == ['b']
    directory.set_zone_out(ZoneId('z1'), 5.0, 3.0, out=False)
    assert list_names(directory, 5.0) == ['a', 'b']
    assert is_cold(directory, 'a', 7.9)
    assert not is_cold(directory, 'b', 5.0)
    assert not is_cold(directory, 'a', 8.1)


def test_a_start_makes_cold_and_only_a_later_word_warm() -> None:
    directory = Directory()
    directory.upsert(make_entry('a', warmup_left_s=3.0), 0.0)
    assert is_cold(directory, 'a', 3.0)
    directory.update_warmup(ServerId('a'), 0.0, COLD_HOLD_S / 2)
    assert is_cold(directory, 'a', 1.0)
    directory.update_warmup(ServerId('a'), 0.0, 2 * COLD_HOLD_S)
    assert not is_cold(directory, 'a', 2 * COLD_HOLD_S)
    directory.update_warmup(ServerId('a'), 2.0, 5.0)
    assert is_cold(directory, 'a', 6.9)
    assert not is_cold(directory, 'a', 7.0 + WARMUP_MARGIN_S)


def test_zones_that_are_not_out_are_not_made_cold() -> None:
    directory = Directory()
    directory.upsert(make_entry('a'), 0.0)
    directory.set_zone_out(ZoneId('z1'), 1.0, 3.0, out=False)
    assert not is_cold(directory, 'a', 1.0)
