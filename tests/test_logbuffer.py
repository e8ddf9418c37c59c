"""Log buffer: structured lines, rate limit, non-blocking writes."""

import json
import os

from loguru import logger

from ibisplank.process import LogBuffer, log_event
from ibisplank.process.daemons._logbuffer import (
    BURST_LINES,
    LINES_PER_S,
    MAX_BUFFERED_LINES,
)


def test_a_line_contains_its_event_and_fields() -> None:
    reader, writer = os.pipe()
    buffer = LogBuffer(writer, lambda: 1.0)
    handle = logger.add(buffer.add, format='{message}')
    log_event('call', id='x', trail=['a'], odd={1})
    logger.remove(handle)
    buffer.flush()
    line = json.loads(os.read(reader, 4096))
    assert line['event'] == 'call'
    assert line['id'] == 'x'
    assert line['trail'] == ['a']


def test_a_full_pipe_does_not_block() -> None:
    reader, writer = os.pipe()
    now = [0.0]

    def read_clock() -> float:
        now[0] += 1.0
        return now[0]

    buffer = LogBuffer(writer, read_clock)
    handle = logger.add(buffer.add, format='{message}')
    for number in range(MAX_BUFFERED_LINES + 10):
        log_event('call', id=number, filler='x' * 100)
    logger.remove(handle)
    buffer.flush()
    assert buffer.dropped == 10
    assert os.read(reader, 100)


def test_the_rate_of_lines_is_limited() -> None:
    limit = LogBuffer(1, lambda: 0.0).limit
    kept = sum(limit.take(1.0) for _ in range(1000))
    assert kept == BURST_LINES
    assert limit.dropped == 1000 - kept
    kept = sum(limit.take(2.0) for _ in range(1000))
    assert kept == LINES_PER_S
