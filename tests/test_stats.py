"""Records of servers: load reports, pace, failures, rests."""

import pytest

from ibisplank.gateway._stats import (
    MAX_QUARANTINE_S,
    SLOWDOWN_HALF_LIFE_S,
    LoadReport,
    ServerStats,
    parse_load,
)
from ibisplank.ids import ServerId


def make_record() -> ServerStats:
    return ServerStats(ServerId('s'))


@pytest.mark.parametrize(
    'text',
    [None, b'', b'1', b'1,2', b'a,b,c', b'nan,0,2', b'1,2,inf,100', b'1;2;3'],
)
def test_what_is_no_load_report_states_nothing(text: bytes | None) -> None:
    assert parse_load(text) is None


def test_a_pace_fades_to_the_usual() -> None:
    record = make_record()
    for _ in range(20):
        record.record_success(5.0, 10.0)
    assert record.find_slowdown(10.0) > 4.5
    assert record.find_slowdown(10.0 + SLOWDOWN_HALF_LIFE_S) < 3.1
    assert record.find_slowdown(10.0 + 20 * SLOWDOWN_HALF_LIFE_S) < 1.01


def test_a_report_holds_and_then_fades() -> None:
    record = make_record()
    record.record_report(LoadReport(2, 0, 2, 4.0), 10.0, hold_s=0.6)
    assert record.find_reported_slowdown(10.5) == 4.0
    assert record.find_load(10.5) == 2.0
    assert record.find_reported_slowdown(13.0) < 1.1


def test_known_calls_count_beside_a_report() -> None:
    record = make_record()
    record.in_flight = 1
    record.record_report(LoadReport(0, 0, 2), 10.0)
    assert record.find_load(10.0, peer_calls=1) == 2.0


def test_an_unreachable_server_rests_longer_each_time() -> None:
    record = make_record()
    rests = []
    for _ in range(8):
        record.record_unreachable(10.0)
        rests.append(record.quarantined_until - 10.0)
    assert rests == sorted(rests)
    assert rests[-1] == MAX_QUARANTINE_S
    record.record_probe_success()
    assert record.quarantined_until == 0.0


def test_one_silent_probe_is_no_reason_to_rest() -> None:
    record = make_record()
    record.record_probe_timeout(10.0)
    assert record.quarantined_until == 0.0
    record.record_probe_timeout(10.1)
    assert record.quarantined_until > 10.1
