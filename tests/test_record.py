"""Statistics of servers: load reports, slowdown, failures, quarantine."""

import pytest

from ibisplank.gateway._record import (
    MAX_QUARANTINE_S,
    SLOWDOWN_HALF_LIFE_S,
    LoadReport,
    ServerStats,
    parse_load,
)
from ibisplank.ids import ServerId


def make_stats() -> ServerStats:
    return ServerStats(ServerId('s'))


@pytest.mark.parametrize(
    'text',
    [None, b'', b'1', b'1,2', b'a,b,c', b'nan,0,2', b'1,2,inf,100', b'1;2;3'],
)
def test_invalid_load_header_is_ignored(text: bytes | None) -> None:
    assert parse_load(text) is None


def test_slowdown_decays_to_normal() -> None:
    stats = make_stats()
    for _ in range(20):
        stats.record_success(5.0, 10.0)
    assert stats.find_slowdown(10.0) > 4.5
    assert stats.find_slowdown(10.0 + SLOWDOWN_HALF_LIFE_S) < 3.1
    assert stats.find_slowdown(10.0 + 20 * SLOWDOWN_HALF_LIFE_S) < 1.01


def test_report_decays_after_its_hold_time() -> None:
    stats = make_stats()
    stats.record_report(LoadReport(2, 0, 2, 4.0), 10.0, hold_s=0.6)
    assert stats.find_reported_slowdown(10.5) == 4.0
    assert stats.find_load(10.5) == 2.0
    assert stats.find_reported_slowdown(13.0) < 1.1


def test_load_includes_calls_that_are_not_reported() -> None:
    stats = make_stats()
    stats.in_flight = 1
    stats.record_report(LoadReport(0, 0, 2), 10.0)
    assert stats.find_load(10.0, peer_calls=1) == 2.0


def test_quarantine_grows_with_each_failure() -> None:
    stats = make_stats()
    quarantines = []
    for _ in range(8):
        stats.record_unreachable(10.0)
        quarantines.append(stats.quarantined_until - 10.0)
    assert quarantines == sorted(quarantines)
    assert quarantines[-1] == MAX_QUARANTINE_S
    stats.record_probe_success()
    assert stats.quarantined_until == 0.0


def test_quarantine_starts_with_the_second_probe_timeout() -> None:
    stats = make_stats()
    stats.record_probe_timeout(10.0)
    assert stats.quarantined_until == 0.0
    stats.record_probe_timeout(10.1)
    assert stats.quarantined_until > 10.1
