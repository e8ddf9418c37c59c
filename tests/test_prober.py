"""A gateway publishes probes only of the servers that it is to probe."""

from collections.abc import Callable

import anyio
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from harness.site import run_site
from ibisplank.connection import Answer, Envelope, ServerReport
from ibisplank.connection._peer import MsgpackCodec
from ibisplank.gateway._cluster import ClusterState
from ibisplank.gateway._decoding import MemberRecord
from ibisplank.gateway._fleet import Fleet
from ibisplank.gateway._partition import ServerPartition
from ibisplank.gateway._prober import REPUBLISH_S, Prober
from ibisplank.ids import MemberId, ServerId, ZoneId
from ibisplank.platform import HEADER_NAMES, decode_row
from ibisplank.process import read_clock
from tests.gateways import SERVICE, make_config, make_entry, make_route

OWN = MemberId('own')
OTHER = MemberId('other')


def make_prober(
    list_alive: Callable[[], frozenset[MemberId]],
    published: list[ServerReport],
) -> Prober:
    """Return a prober of one server, s0."""
    cluster = ClusterState(decode_row)
    cluster.directory.upsert(make_entry('s0'), 0.0)
    own = MemberRecord(OWN, '127.0.0.1:1', ZoneId('z1'))
    fleet = Fleet(
        OWN, cluster, ServerPartition(own, cluster.directory), read_clock
    )
    return Prober(
        OWN, fleet, HEADER_NAMES, read_clock, list_alive, published.append
    )


def test_probe_that_ends_with_its_assignment_is_not_published(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Another gateway takes the server over just when a probe is answered."""

    async def scenario() -> None:
        answered = anyio.Event()
        published: list[ServerReport] = []
        alive = {OWN}

        async def probe(*_: object) -> ServerReport:
            await answered.wait()
            return ServerReport(ServerId('s0'), 1, slots=2)

        monkeypatch.setattr(Prober, '_probe', probe)
        prober = make_prober(lambda: frozenset(alive), published)
        async with anyio.create_task_group() as group:
            prober._assign(group)
            await anyio.sleep(0.01)
            group.start_soon(prober._republish)
            answered.set()
            alive.symmetric_difference_update({OWN, OTHER})
            prober._assign(group)
            await anyio.sleep(2.2 * REPUBLISH_S)
            group.cancel_scope.cancel()
        assert published == []

    anyio.run(scenario)


#: What a sound server states in a health answer.
STATED = (
    (HEADER_NAMES.server_load, b'3,0,6,100'),
    (HEADER_NAMES.warmup_left, b'2.5'),
    (HEADER_NAMES.rate_limit, b'1.8'),
    (HEADER_NAMES.retry_after, b'0.25'),
    (HEADER_NAMES.leaving, b'1'),
    (HEADER_NAMES.server_id, b's0'),
)
ODD_FIGURES = (
    b'6e100',
    b'-6e100',
    b'1e-320',
    b'-1',
    b'nan',
    b'inf',
    b'9' * 5000,
    b'0.' + b'9' * 5000,
    b'18446744073709551616',
    b'\xb2',
    b'1_0',
    b'',
)


def check_report_can_be_sent_on(
    headers: list[tuple[bytes, bytes]], status: int
) -> None:
    """Read a health answer, send the report to a gateway, and use it there."""
    prober = make_prober(lambda: frozenset({OWN}), [])
    fleet = prober.fleet
    state = fleet.cluster.directory.find(ServerId('s0'))
    assert state is not None
    report = prober._parse_answer(state, Answer(status, headers, b''))
    codec = MsgpackCodec()
    frame = codec.encode(Envelope((report,)), Envelope)
    assert codec.decode(frame, Envelope).messages == (report,)
    now = 100.0
    fleet.record_probe(report, OTHER, now)
    stats = fleet.find_stats(ServerId('s0'), 1)
    assert stats.find_load(now) >= 0
    assert stats.find_reported_slowdown(now) > 0
    assert stats.limit.grant(now) >= 0
    fleet.list_candidates([state], set(), now)
    assert fleet.find_ready_at(SERVICE, now) >= now


@given(
    st.integers(0, len(STATED) - 1),
    st.integers(0, 8),
    st.integers(0, 255),
    st.sampled_from((200, 503)),
)
@example(0, 5, ord('e'), 200)
def test_wrong_byte_in_a_health_answer_can_be_sent_on(
    name: int, at: int, value: int, status: int
) -> None:
    """A load of 6e100 was read, but could not be encoded for the others."""
    headers = list(STATED)
    text = headers[name][1]
    odd = text[:at] + bytes([value]) + text[at + 1 :]
    headers[name] = (headers[name][0], odd)
    check_report_can_be_sent_on(headers, status)


@pytest.mark.parametrize('status', [200, 503])
@pytest.mark.parametrize('text', ODD_FIGURES, ids=lambda each: repr(each[:20]))
def test_odd_figure_in_a_health_answer_can_be_sent_on(
    text: bytes, status: int
) -> None:
    for at, (name, usual) in enumerate(STATED[:4]):
        headers = list(STATED)
        headers[at] = (name, text)
        check_report_can_be_sent_on(headers, status)
        headers[at] = (name, usual.replace(b'6', text))
        check_report_can_be_sent_on(headers, status)


def test_wrong_byte_in_a_load_header_ends_no_gateway() -> None:
    """The gateway that probed the server ended at each such answer."""

    async def scenario() -> None:
        async with run_site() as site:
            site.put_config(make_config(1, make_route()))
            for name in ('s0', 's1'):
                upstream = await site.add_upstream(name, SERVICE)
                upstream.faults.load_text = b'0,0,6e100'
            for number in range(2):
                await site.add_gateway(f'vm-{number}')
            await site.wait_for_servers(2)
            await anyio.sleep(1.0)
            for gateway in range(2):
                got = await site.send_call(f'id{gateway}', gateway=gateway)
                assert got.status == 200

    anyio.run(scenario)
