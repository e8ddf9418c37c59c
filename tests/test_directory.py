"""Eligibility of draining, expired, evacuated and cold servers."""

from ibisplank.gateway._directory import COLD_HOLD_S, WARMUP_MARGIN_S, Directory
from ibisplank.ids import ServerId, ZoneId
from tests.gateways import make_entry


def list_eligible(directory: Directory, now: float) -> list[str]:
    return sorted(
        each.entry.server
        for each in directory.list_all()
        if directory.is_eligible(each, now)
    )


def is_cold(directory: Directory, name: str, now: float) -> bool:
    state = directory.find(ServerId(name))
    assert state is not None
    return state.cold_until > now


def test_draining_server_is_not_eligible_until_it_restarts() -> None:
    directory = Directory()
    directory.upsert(make_entry('a'), 0.0)
    directory.upsert(make_entry('a', draining=True), 1.0)
    assert list_eligible(directory, 1.0) == []
    assert directory.upsert(make_entry('a', born_ms=2), 2.0)
    assert list_eligible(directory, 2.0) == ['a']


def test_removed_server_is_not_eligible() -> None:
    directory = Directory()
    directory.upsert(make_entry('a'), 0.0)
    directory.remove(ServerId('a'), 1.0, grace_s=0.0)
    assert list_eligible(directory, 1.0) == []


def test_entry_that_expired_in_an_outage_has_a_grace_period() -> None:
    directory = Directory()
    directory.upsert(make_entry('a'), 0.0)
    directory.upsert(make_entry('b'), 0.0)
    directory.upsert(make_entry('c', draining=True), 0.0)
    for name in 'abc':
        directory.remove(ServerId(name), 1.0, grace_s=2.0)
    assert list_eligible(directory, 2.9) == ['a', 'b']
    directory.upsert(make_entry('a'), 2.9)
    assert list_eligible(directory, 3.1) == ['a']


def test_servers_are_cold_after_the_evacuation_of_their_zone() -> None:
    directory = Directory()
    directory.upsert(make_entry('a', zone='z1'), 0.0)
    directory.upsert(make_entry('b', zone='z2'), 0.0)
    directory.set_zone_out(ZoneId('z1'), 1.0, 3.0, out=True)
    assert list_eligible(directory, 1.0) == ['b']
    assert [each.entry.server for each in directory.list_probeable()] == ['b']
    directory.set_zone_out(ZoneId('z1'), 5.0, 3.0, out=False)
    assert list_eligible(directory, 5.0) == ['a', 'b']
    assert is_cold(directory, 'a', 7.9)
    assert not is_cold(directory, 'b', 5.0)
    assert not is_cold(directory, 'a', 8.1)


def test_warm_report_is_ignored_shortly_after_the_start() -> None:
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


def test_zone_that_was_in_service_stays_warm() -> None:
    directory = Directory()
    directory.upsert(make_entry('a'), 0.0)
    directory.set_zone_out(ZoneId('z1'), 1.0, 3.0, out=False)
    assert not is_cold(directory, 'a', 1.0)
