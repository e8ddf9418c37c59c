"""Benchmark of claims of request ids, with and without batching.

Usage: `python -m bench.claims`. Measures claims and table writes per second.
"""

import itertools
import time

import anyio

from bench.common import (
    StealMeter,
    make_simple_contract,
    make_simple_stream,
    read_operations,
    run_load,
    save,
    write_contract,
)
from harness.cell import Cell, ServiceShape
from ibisplank.ids import CellId, CustomerId, RequestId
from ibisplank.load import Plan
from ibisplank.process import make_token
from ibisplank.request import Claims, ClaimWriter
from ibisplank.standin import PlatformFaults
from ibisplank.store import HttpPlatform

BATCHES = (1, 10, 50)
CALLERS = 100
DURATION_S = 4.0
DELAY_MS = 5.0
SERVICE = 'echo'
ENTRIES = 8
RATE_PER_S = 200.0
WARMUP_S = 2.0


async def measure(address: str, batch: int) -> int:
    """Return how many request ids `CALLERS` concurrent callers claimed."""
    writer = ClaimWriter(HttpPlatform(address), time.time, batch)
    claims = Claims(writer, CellId('bench'), time.time)
    numbers = itertools.count()
    claimed = 0

    async def call() -> None:
        nonlocal claimed
        while True:
            request_id = RequestId(f'{batch}-{next(numbers)}')
            await claims.claim(CustomerId('c'), request_id, make_token())
            claimed += 1

    async with anyio.create_task_group() as group:
        group.start_soon(writer.run)
        for _ in range(CALLERS):
            group.start_soon(call)
        await anyio.sleep(DURATION_S)
        group.cancel_scope.cancel()
    return claimed


def measure_cell() -> str:
    """Return a line on calls with request ids to all entries of a cell."""
    shape = ServiceShape(SERVICE, servers=8, slots=4, processes=2)
    with Cell(('z',), (shape,), entries=ENTRIES) as cell:
        write_contract(cell, make_simple_contract(SERVICE))
        cell.wait_ready()
        cell.put(cell.platform, '/faults', PlatformFaults(delay_ms=DELAY_MS))
        stream = make_simple_stream(
            SERVICE, 'write', RATE_PER_S, request_ids=True
        )
        targets = [member.listen for member in cell.members]
        plan = Plan(targets, [stream], duration_s=DURATION_S, warmup_s=WARMUP_S)
        _, before = read_operations(cell)
        row = run_load([plan]).rows[0]
        writes = read_operations(cell)[1] - before
    return (
        f'{ENTRIES} entries, {RATE_PER_S:.0f} named calls/s: '
        f'{row.answered} of {row.sent} answered, p50 {row.p50_ms:.0f} ms, '
        f'p99 {row.p99_ms:.0f} ms, '
        f'{writes / (DURATION_S + WARMUP_S):.0f} table writes/s'
    )


def main() -> None:
    """Measure each batch size and a whole cell; print and save the results."""
    steal_meter = StealMeter()
    lines = [
        f'{CALLERS} callers, one entry, table answers in {DELAY_MS:.0f} ms',
        'batch  claims/s  table writes/s',
    ]
    with Cell(('z',), (), entries=0) as cell:
        cell.put(cell.platform, '/faults', PlatformFaults(delay_ms=DELAY_MS))
        for batch in BATCHES:
            _, before = read_operations(cell)
            claimed = anyio.run(measure, cell.platform, batch)
            writes = read_operations(cell)[1] - before
            lines.append(
                f'{batch:>5}{claimed / DURATION_S:>10.0f}'
                f'{writes / DURATION_S:>16.0f}',
            )
    lines.append(measure_cell())
    lines.append(f'processor time stolen by others: {steal_meter.read():.0%}')
    text = '\n'.join(lines)
    print(text)
    save('claims.txt', f'$ python -m bench.claims\n{text}\n')


if __name__ == '__main__':
    main()
