"""Benchmark of configuration changes in a cell of 16 entries, idle and loaded.

Measures the time from the acceptance of a change until it is in force on the
last entry, the processor time of the agents, and the operations on the table.
The load consists of reads and of writes with request ids.
"""

import statistics
import time
from collections.abc import Sequence
from dataclasses import dataclass

from bench.common import (
    StealMeter,
    finish_load,
    make_simple_contract,
    make_simple_stream,
    read_cpu_s,
    read_operations,
    save,
    set_faults,
    start_load,
    write_contract,
)
from bench.control import SETTLE_S, time_change
from harness.cell import Cell, ServiceShape
from ibisplank.load import Plan, Report, merge_reports

SERVICE = 'echo'
ENTRIES = 16
CHANGES = 200
SERVICE_MS = 50
READS_PER_S = 150.0
WRITES_PER_S = 50.0
TARGET_S = 3.0
AGENT_CPU_TARGET = 0.027
#: Long enough to outlast all changes.
LOAD_S = 260.0


@dataclass(frozen=True)
class PhaseResult:
    """Results of one phase; table operations are those of the whole cell."""

    times_s: list[float]
    agent_cpu: float
    reads_per_s: float
    writes_per_s: float

    def render(self, name: str) -> str:
        """Return the results as one line of text."""
        times = sorted(self.times_s)
        worst = times[-1]
        verdict = 'met' if worst <= TARGET_S else 'MISSED'
        cpu_verdict = 'met' if self.agent_cpu <= AGENT_CPU_TARGET else 'MISSED'
        return (
            f'{name:<8}{len(times):>8}{statistics.median(times):>8.2f}'
            f'{times[int(len(times) * 0.99) - 1]:>8.2f}{worst:>8.2f}'
            f' {verdict:<7}{self.agent_cpu:>9.2%} {cpu_verdict:<7}'
            f'{self.reads_per_s:>8.1f}{self.writes_per_s:>9.1f}'
        )


def run_phase(cell: Cell, first: int) -> PhaseResult:
    """Make changes one after another and return the measurements."""
    pids = [each.agent.pid for each in cell.members]
    reads, writes = read_operations(cell)
    cpu_s = sum(map(read_cpu_s, pids))
    start = time.monotonic()
    times = [time_change(cell, first + number) for number in range(CHANGES)]
    elapsed_s = time.monotonic() - start
    reads_after, writes_after = read_operations(cell)
    cpu_after_s = sum(map(read_cpu_s, pids))
    return PhaseResult(
        times,
        (cpu_after_s - cpu_s) / len(pids) / elapsed_s,
        (reads_after - reads) / elapsed_s,
        (writes_after - writes) / elapsed_s,
    )


def make_plan(cell: Cell) -> Plan:
    """Return a plan of reads, and writes with request ids, to all entries."""
    read = make_simple_stream(SERVICE, 'read', READS_PER_S)
    write = make_simple_stream(SERVICE, 'write', WRITES_PER_S, request_ids=True)
    targets = [member.listen for member in cell.members]
    return Plan(targets, [read, write], duration_s=LOAD_S)


def render_load(report: Report) -> list[str]:
    """Return one line per class with the outcomes of its calls."""
    return [
        f'{row.klass}: sent {row.sent}, answered {row.answered}, '
        f'p50 {row.p50_ms:.0f} ms, p99 {row.p99_ms:.0f} ms, '
        f'refused {dict(row.refused)}'
        for row in report.rows
    ]


def measure(cell: Cell) -> Sequence[str]:
    """Run both phases and return their lines."""
    lines = [run_phase(cell, 0).render('idle')]
    load = start_load(make_plan(cell))
    lines.append(run_phase(cell, CHANGES).render('loaded'))
    lines.extend(render_load(merge_reports([finish_load(load)])))
    return lines


def main() -> None:
    """Run the benchmark; print and save the results."""
    steal_meter = StealMeter()
    lines = [
        f'{ENTRIES} entries; {READS_PER_S:.0f} reads and {WRITES_PER_S:.0f} '
        f'writes with request ids a second under load, {SERVICE_MS} ms each',
        'phase    changes  p50 s   p99 s worst s target 3 s'
        '  agent cpu target 2.7%  reads/s writes/s',
    ]
    shape = ServiceShape(SERVICE, 12, 3, processes=2)
    with Cell(('a', 'b', 'c'), (shape,), ENTRIES) as cell:
        write_contract(cell, make_simple_contract(SERVICE))
        cell.wait_ready()
        for server in cell.servers:
            set_faults(cell, server, service_ms=SERVICE_MS)
        time.sleep(SETTLE_S)
        lines.extend(measure(cell))
    lines.append(f'processor time stolen by others: {steal_meter.read():.0%}')
    text = '\n'.join(lines)
    print(text)
    save('agreement.txt', f'$ python -m bench.agreement\n{text}\n')


if __name__ == '__main__':
    main()
