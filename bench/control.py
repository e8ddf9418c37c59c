"""Benchmark of the control plane: idle cost, and time to apply a change.

Usage: `python -m bench.control [entries ...]`.
"""

import statistics
import sys
import time
from pathlib import Path

import anyio
import msgspec

from bench.common import (
    StealMeter,
    make_simple_contract,
    read_cpu_s,
    read_memory_mb,
    read_operations,
    save,
    write_contract,
)
from harness.cell import Cell, ServiceShape
from ibisplank.ids import CellId, VmId
from ibisplank.porcelain import Console
from ibisplank.version import VmStatusEdit

SIZES = (4, 8, 16, 32)
IDLE_S = 8.0
#: Time after the start by which the roster is fenced and the cell is idle.
SETTLE_S = 20.0
CHANGES = 40
BYTES_PER_KB = 1024
POLL_S = 0.02


class Row(msgspec.Struct):
    """Results for one size of cell.

    Costs are per VM, those named `cell_*` for the whole cell; KB, reads and
    writes are per second. `in_force_*` is the time until a change is in force
    on all entries.
    """

    entries: int
    agent_cpu: float
    entry_cpu: float
    agent_mb: float
    entry_mb: float
    agent_kb_s: float
    entry_kb_s: float
    cell_reads_s: float
    cell_writes_s: float
    in_force_p50_s: float
    in_force_p99_s: float
    in_force_worst_s: float


def read_bytes_written(pid: int) -> int:
    """Return the number of bytes that a process has written so far."""
    for line in Path(f'/proc/{pid}/io').read_text().splitlines():
        if line.startswith('wchar'):
            return int(line.split()[1])
    return 0


def _sample_processes(pids: list[int]) -> tuple[float, float]:
    cpu = statistics.mean(read_cpu_s(pid) for pid in pids)
    return cpu, statistics.mean(read_bytes_written(pid) for pid in pids)


def time_change(cell: Cell, number: int) -> float:
    """Return the seconds until an accepted change is in force everywhere."""

    async def edit() -> int:
        console = Console(cell.platform, CellId('main'))
        vm_edit = VmStatusEdit(VmId(f'nobody-{number}'), out=True)
        change = await console.set_service_state(vm_edit)
        await console.aclose()
        return change.revision

    revision = anyio.run(edit)
    start = time.monotonic()
    for member in cell.members:
        while cell.read_gauge(member, 'config_revision') < revision:
            time.sleep(POLL_S)
    return time.monotonic() - start


def measure(entries: int) -> Row:
    """Return the results for a cell with the given number of entries."""
    with Cell(('a', 'b', 'c'), (ServiceShape('s', 10, 2),), entries) as cell:
        write_contract(cell, make_simple_contract('s'))
        cell.wait_ready()
        time.sleep(SETTLE_S)
        agent_pids = [each.agent.pid for each in cell.members]
        entry_pids = [each.entry.pid for each in cell.members]
        reads, writes = read_operations(cell)
        agent_before = _sample_processes(agent_pids)
        entry_before = _sample_processes(entry_pids)
        time.sleep(IDLE_S)
        reads_after, writes_after = read_operations(cell)
        agent_after = _sample_processes(agent_pids)
        entry_after = _sample_processes(entry_pids)
        times = sorted(time_change(cell, number) for number in range(CHANGES))
        return Row(
            entries,
            (agent_after[0] - agent_before[0]) / IDLE_S,
            (entry_after[0] - entry_before[0]) / IDLE_S,
            statistics.mean(map(read_memory_mb, agent_pids)),
            statistics.mean(map(read_memory_mb, entry_pids)),
            (agent_after[1] - agent_before[1]) / IDLE_S / BYTES_PER_KB,
            (entry_after[1] - entry_before[1]) / IDLE_S / BYTES_PER_KB,
            (reads_after - reads) / IDLE_S,
            (writes_after - writes) / IDLE_S,
            statistics.median(times),
            times[int(len(times) * 0.99) - 1],
            times[-1],
        )


def main() -> None:
    """Measure each size of cell; print and save the results."""
    sizes = [int(each) for each in sys.argv[1:]] or SIZES
    steal_meter = StealMeter()
    rows = []
    lines = [
        'entries  agent cpu  entry cpu  agent MB  entry MB  agent KB/s'
        '  entry KB/s  cell reads/s  writes/s  in force p50  p99  worst s',
    ]
    print(lines[0])
    for size in sizes:
        row = measure(size)
        rows.append(row)
        lines.append(
            f'{row.entries:>7}{row.agent_cpu:>11.2%}{row.entry_cpu:>11.2%}'
            f'{row.agent_mb:>10.1f}{row.entry_mb:>10.1f}'
            f'{row.agent_kb_s:>12.2f}{row.entry_kb_s:>12.2f}'
            f'{row.cell_reads_s:>14.1f}{row.cell_writes_s:>10.1f}'
            f'{row.in_force_p50_s:>14.2f}{row.in_force_p99_s:>5.2f}'
            f'{row.in_force_worst_s:>9.2f}',
        )
        print(lines[-1], flush=True)
    lines.append(f'processor time stolen by others: {steal_meter.read():.0%}')
    text = '\n'.join(lines)
    save('control.txt', f'$ python -m bench.control\n{text}\n')
    save(
        'control.json', msgspec.json.format(msgspec.json.encode(rows)).decode()
    )


if __name__ == '__main__':
    main()
