"""Fault boundaries: what they stop, count and let through."""

import anyio
import pytest
from loguru import logger

from ibisplank.faults import Boundary, FaultLog


def test_expected_errors_are_stopped_and_not_counted() -> None:
    faults = FaultLog()
    with faults.contain(Boundary.PEER_STREAM, (OSError,)):
        raise BrokenPipeError
    with faults.contain(Boundary.PEER_STREAM, (OSError,)):
        raise ExceptionGroup('several', [BrokenPipeError(), TimeoutError()])
    assert faults.count(Boundary.PEER_STREAM) == 0


def test_unexpected_error_beside_expected_ones_is_counted() -> None:
    faults = FaultLog()
    with faults.contain(Boundary.PEER_STREAM, (OSError,)):
        raise ExceptionGroup('several', [BrokenPipeError(), KeyError('a')])
    assert faults.count(Boundary.PEER_STREAM) == 1
    assert faults.count(Boundary.PROBE) == 0


def test_cancellation_passes_a_boundary() -> None:
    async def scenario() -> None:
        faults = FaultLog()
        with anyio.move_on_after(0.01) as scope:
            with faults.contain(Boundary.PROBE):
                await anyio.sleep_forever()
            pytest.fail('not cancelled')
        assert scope.cancelled_caught
        assert faults.count(Boundary.PROBE) == 0

    anyio.run(scenario)


def test_each_place_is_logged_once() -> None:
    faults = FaultLog()
    lines: list[str] = []
    sink = logger.add(lines.append, format='{message} {extra[key]}')
    for _ in range(3):
        with faults.contain(Boundary.ROW, key='a'):
            raise KeyError('first place')
    with faults.contain(Boundary.ROW, key='b'):
        raise KeyError('second place')
    assert faults.count(Boundary.ROW) == 4
    logger.remove(sink)
    assert lines == ['fault contained a\n', 'fault contained b\n']
