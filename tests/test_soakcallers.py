"""Callers of the soak test, which send failed calls again."""

import contextlib
import dataclasses
import functools
import os
import random
from collections import Counter
from pathlib import Path

import anyio
import pytest
from anyio.abc import SocketStream

from harness.callers import Callers
from harness.callhistory import CallHistory
from harness.gatewayprocess import GatewayProcess
from harness.proxy import Proxy
from harness.site import make_settings
from ibisplank.platform import HEADER_NAMES
from tests.serving import serving_stream

ENOUGH_SENDS = 60
ID_LINE = HEADER_NAMES.request_id + b': '
FAILURE = b'HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n'
SUCCESS = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'
REFUSAL = b'HTTP/1.1 429 Too Many Requests\r\ncontent-length: 0\r\n\r\n'


async def send_calls(
    answer: bytes,
    gateway_count: int = 1,
    enough: int = ENOUGH_SENDS,
    seed: int = 1,
) -> tuple[CallHistory, list[tuple[int, str]]]:
    """Run a caller against gateways that give one answer, or close.

    The second value has the gateway and the id of each call that arrived.
    """
    history = CallHistory()
    gateways: list[GatewayProcess] = []
    callers = Callers(gateways, history, random.Random(seed))
    sends: list[tuple[int, str]] = []

    async def handle(number: int, stream: SocketStream) -> None:
        async with stream:
            head = b''
            while b'\r\n\r\n' not in head:
                head += await stream.receive()
            request_id = head.partition(ID_LINE)[2].partition(b'\r\n')[0]
            sends.append((number, request_id.decode()))
            callers.active = len(sends) < enough
            if answer:
                await stream.send(
                    answer.replace(
                        b'\r\n\r\n', b'\r\nconnection: close\r\n\r\n'
                    )
                )

    async with contextlib.AsyncExitStack() as stack:
        for number in range(gateway_count):
            address = await stack.enter_async_context(
                serving_stream(functools.partial(handle, number))
            )
            gateways.append(make_gateway(address))
        await callers.send_calls()
    return history, sends


def make_gateway(address: str) -> GatewayProcess:
    settings = make_settings('vm-0', 'z1', address)
    return GatewayProcess(
        dataclasses.replace(settings, callers=address),
        Path(os.devnull),
        Proxy(address),
        Path(os.devnull).open('ab'),
    )


@pytest.mark.parametrize('answer', [FAILURE, b''])
def test_some_idempotent_calls_that_failed_are_sent_again(
    answer: bytes,
) -> None:
    history, sends = anyio.run(send_calls, answer)
    counts = Counter(request_id for _, request_id in sends)
    once = [each for each, call in history.calls.items() if call.at_most_once]
    reads = [counts[each] for each in history.calls if each not in once]
    assert {counts[each] for each in once} == {1}
    assert 1 in reads
    assert max(reads) > 1


def test_each_answer_is_recorded() -> None:
    history, sends = anyio.run(send_calls, FAILURE)
    counts = Counter(request_id for _, request_id in sends)
    recorded = {each: len(got) for each, got in history.answers.items()}
    assert recorded == counts


@pytest.mark.parametrize('answer', [SUCCESS, REFUSAL])
def test_other_calls_are_sent_once(answer: bytes) -> None:
    _, sends = anyio.run(send_calls, answer)
    assert len({request_id for _, request_id in sends}) == len(sends)


def test_calls_are_sent_again_to_the_same_gateway() -> None:
    _, sends = anyio.run(send_calls, FAILURE, 3)
    assert len({number for number, _ in sends}) == 3
    call_count = len({request_id for _, request_id in sends})
    assert len(set(sends)) == call_count < len(sends)


@pytest.mark.parametrize('seed', range(8))
def test_nothing_is_sent_again_once_callers_are_inactive(seed: int) -> None:
    run = functools.partial(send_calls, FAILURE, enough=1, seed=seed)
    _, sends = anyio.run(run)
    assert len(sends) == 1
