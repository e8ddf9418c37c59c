"""Backend server stand-in that answers twice, and the soak's fault for it."""

import itertools
import random

import anyio
import pytest
from anyio.abc import SocketStream

from harness.doubleanswers import VARIANTS, answer_twice
from harness.routes import SERVICE
from ibisplank.gateway import ServerEntry
from ibisplank.ids import ServerId, ZoneId
from ibisplank.platform import HEADER_NAMES
from ibisplank.standin import (
    DoubleAnswers,
    OwnAnswer,
    SecondMoment,
    UpstreamFaults,
    UpstreamStandin,
)
from tests.serving import serving

QUIET_S = 0.2
#: Longest delay of a second answer, with time for it to arrive.
DELAYED_S = 1.3
FIRST_LINES = {
    200: b'HTTP/1.1 200 OK\r\n',
    500: b'HTTP/1.1 500 Internal Server Error\r\n',
}
ID_LINE = HEADER_NAMES.request_id + b': '


def make_upstream(
    double_answers: DoubleAnswers | None, fail_share: float = 0.0
) -> UpstreamStandin:
    entry = ServerEntry(
        ServerId('s0'),
        SERVICE,
        '',
        ZoneId('z1'),
        slots=2,
        draining=False,
        warmup_left_s=0.0,
        born_ms=1,
    )
    faults = UpstreamFaults(
        work_s=0.0, fail_share=fail_share, double_answers=double_answers
    )
    return UpstreamStandin(entry, HEADER_NAMES, random.Random(1), faults=faults)


async def receive_all(stream: SocketStream, quiet_s: float = QUIET_S) -> bytes:
    """Return what arrives until nothing more does for some time."""
    received = await stream.receive()
    while True:
        with anyio.move_on_after(quiet_s) as scope:
            received += await stream.receive()
        if scope.cancelled_caught:
            return received


async def exchange(
    upstream: UpstreamStandin, count: int, quiet_s: float = QUIET_S
) -> list[bytes]:
    """Return what follows each request of one connection, r0 first."""
    received = []
    async with serving(upstream) as address:
        host, _, port = address.rpartition(':')
        async with await anyio.connect_tcp(host, int(port)) as stream:
            for number in range(count):
                head = b'GET /r%d HTTP/1.1\r\nhost: h\r\n' % number
                await stream.send(head + ID_LINE + b'r%d\r\n\r\n' % number)
                received.append(await receive_all(stream, quiet_s))
    return received


def is_own(answer: bytes, number: int) -> bool:
    """Return whether bytes are one whole answer of the server's own."""
    return (
        answer.count(b'HTTP/1.1 ') == 1
        and answer.startswith(FIRST_LINES[200])
        and answer.endswith(b'\r\n\r\n/r%d ' % number)
    )


def is_second(answer: bytes, variant: DoubleAnswers) -> bool:
    """Return whether bytes are the whole second answer to request r0."""
    return (
        answer.startswith(FIRST_LINES[variant.status])
        and answer.endswith(b'content-length: 2\r\n\r\nok')
        and (ID_LINE + b'r0\r\n' in answer) is variant.named
        and HEADER_NAMES.signature in answer
    )


def render_second(number: int, signature: bytes) -> bytes:
    """Return the second answer to a request, with its id."""
    lines = (
        HEADER_NAMES.signature + b': ' + signature,
        ID_LINE + b'r%d' % number,
        b'content-length: 2',
        b'',
        b'ok',
    )
    return FIRST_LINES[200] + b'\r\n'.join(lines)


def find_signature(head: bytes) -> bytes:
    _, _, rest = head.partition(HEADER_NAMES.signature + b': ')
    return rest.partition(b'\r\n')[0]


def split_answers(received: bytes) -> list[bytes]:
    """Return the answers that begin with a status line in some bytes."""
    parts = received.split(b'HTTP/1.1 ')
    return [b'HTTP/1.1 ' + part for part in parts[1:]]


@pytest.mark.parametrize(
    ('named', 'status'),
    [(True, 200), (True, 500), (False, 200), (False, 500)],
)
def test_second_answer_follows_the_own_one(named: bool, status: int) -> None:
    variant = DoubleAnswers(named=named, status=status)
    received = anyio.run(exchange, make_upstream(variant), 1)
    own, second = split_answers(received[0])
    assert is_own(own, 0)
    assert is_second(second, variant)


@pytest.mark.parametrize('named', [True, False])
def test_second_answer_waits_for_the_next_request(named: bool) -> None:
    variant = DoubleAnswers(moment=SecondMoment.NEXT, named=named)
    received = anyio.run(exchange, make_upstream(variant), 2)
    assert is_own(received[0], 0)
    second, own = split_answers(received[1])
    assert is_second(second, variant)
    assert is_own(own, 1)


def test_second_answer_comes_on_an_idle_connection() -> None:
    variant = DoubleAnswers(moment=SecondMoment.LATER, named=True)
    upstream = make_upstream(variant)
    received = anyio.run(exchange, upstream, 1, DELAYED_S)
    own, second = split_answers(received[0])
    assert is_own(own, 0)
    assert is_second(second, variant)
    assert upstream.second_answers.count == 1


@pytest.mark.parametrize('moment', [SecondMoment.AT_ONCE, SecondMoment.NEXT])
def test_cut_answers_end_at_any_byte_and_the_next_one_follows(
    moment: SecondMoment,
) -> None:
    variant = DoubleAnswers(moment=moment, named=True, cut=True)
    received = b''.join(anyio.run(exchange, make_upstream(variant), 10, 0.02))
    lengths = set()
    for number in range(9):
        own, _, rest = received.partition(b'\r\n\r\n/r%d ' % number)
        cut, _, received = rest.partition(FIRST_LINES[200] + b'content-')
        whole = render_second(number, find_signature(own))
        lengths.add(len(cut))
        assert 0 < len(cut) < len(whole)
        assert whole.startswith(cut)
    assert len(lengths) > 5


def test_equal_seeds_cut_at_equal_bytes() -> None:
    variant = DoubleAnswers(cut=True)
    runs = [anyio.run(exchange, make_upstream(variant), 3) for _ in range(2)]
    assert runs[0] == runs[1]


@pytest.mark.parametrize('share', [0.0, 0.5])
def test_a_share_of_answers_has_a_second_one(share: float) -> None:
    upstream = make_upstream(DoubleAnswers(share=share))
    received = anyio.run(exchange, upstream, 10, 0.02)
    count = len(split_answers(b''.join(received))) - len(received)
    assert count == upstream.second_answers.count
    assert 0 < count < 10 if share else not count


def test_own_answers_are_recorded_without_the_second_ones() -> None:
    upstream = make_upstream(DoubleAnswers(), fail_share=1.0)
    received = anyio.run(exchange, upstream, 1)
    assert received[0].startswith(FIRST_LINES[500])
    assert upstream.answered == [OwnAnswer('r0', 500, b'/r0 ')]


def test_refusals_are_recorded_and_have_a_second_answer() -> None:
    upstream = make_upstream(DoubleAnswers(named=True))
    upstream.faults.retry_after = b'1'
    received = anyio.run(exchange, upstream, 1)
    refusal, second = split_answers(received[0])
    assert refusal.startswith(b'HTTP/1.1 503 ')
    assert is_second(second, DoubleAnswers(named=True))
    assert upstream.answered == [OwnAnswer('r0', 503, b'')]


def test_variants_are_all_combinations() -> None:
    seen = {
        (each.moment, each.named, each.status, each.cut) for each in VARIANTS
    }
    expected = itertools.product(
        SecondMoment, (True, False), (200, 500), (True, False)
    )
    assert seen == set(expected)
    assert len(VARIANTS) == len(seen)


def test_fault_ends_after_its_time() -> None:
    async def scenario() -> None:
        upstream = make_upstream(None)
        upstream.faults = UpstreamFaults()
        async with anyio.create_task_group() as group:
            group.start_soon(answer_twice, upstream, 3, 0.05)
            await anyio.sleep(0.01)
            assert upstream.faults.double_answers == VARIANTS[3]
            assert upstream.faults.fail_share > 0
        assert upstream.faults == UpstreamFaults()

    anyio.run(scenario)


def test_fault_leaves_other_faults_alone() -> None:
    async def scenario() -> None:
        upstream = make_upstream(None)
        leaving = UpstreamFaults(leaving=True)
        upstream.faults = leaving
        await answer_twice(upstream, 0, 0.01)
        assert upstream.faults is leaving
        upstream.faults = UpstreamFaults()
        async with anyio.create_task_group() as group:
            group.start_soon(answer_twice, upstream, 0, 0.05)
            await anyio.sleep(0.01)
            upstream.faults = leaving
        assert upstream.faults is leaving

    anyio.run(scenario)
