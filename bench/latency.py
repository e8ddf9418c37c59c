"""Benchmark of the latency that an entry adds to a direct call to a server.

Usage: `python -m bench.latency [entries]`. A single entry owns all slots;
with several entries most calls run on slots lent by another entry.
"""

import statistics
import sys
from dataclasses import astuple, dataclass

from bench.common import (
    StealMeter,
    make_simple_contract,
    make_simple_stream,
    run_load,
    save,
    set_faults,
    sum_cpu_s,
    write_contract,
)
from harness.cell import Cell, ServiceShape
from ibisplank.load import Plan

SERVICE = 'echo'
IN_FLIGHT = (1, 4, 16)
RATES_PER_S = (100, 300, 600)
ROUNDS = 3
DURATION_S = 2.0
WARMUP_S = 0.5
TARGET_MS = 1.7
LOAD_PROCESSES = 2


@dataclass(frozen=True)
class Load:
    """A closed loop of callers, or an open loop at a fixed rate."""

    name: str
    callers: int
    rate_per_s: float

    def make_plans(self, targets: list[str]) -> list[Plan]:
        """Return one plan for each load process."""
        parts = min(self.callers, LOAD_PROCESSES)
        stream = make_simple_stream(
            SERVICE,
            'read',
            self.rate_per_s / parts,
            callers=self.callers // parts,
            deadline_ms=5000,
        )
        return [
            Plan(
                targets=targets,
                streams=[stream],
                duration_s=DURATION_S,
                warmup_s=WARMUP_S,
                seed=part,
            )
            for part in range(parts)
        ]


@dataclass(frozen=True)
class Measurement:
    """Results of one round, or medians over rounds.

    Latencies are in ms; `cpu_ms` is the processor time of the entries per call.
    """

    p50: float
    p99: float
    p999: float
    calls_per_s: float
    cpu_ms: float
    refused: int


def _measure(cell: Cell, load: Load, targets: list[str]) -> Measurement:
    before = sum_cpu_s(cell.members)
    row = run_load(load.make_plans(targets)).rows[0]
    cpu_s = sum_cpu_s(cell.members) - before
    # The processor time covers the warm-up, the counts of the report do not.
    calls = row.answered * (DURATION_S + WARMUP_S) / DURATION_S
    return Measurement(
        row.p50_ms,
        row.p99_ms,
        row.p999_ms,
        row.answered / DURATION_S,
        cpu_s * 1000 / calls,
        sum(row.refused.values()),
    )


def _take_medians(rounds: list[Measurement]) -> Measurement:
    columns = zip(*(astuple(each) for each in rounds), strict=True)
    return Measurement(*(statistics.median(column) for column in columns))


def _compare(cell: Cell, load: Load) -> list[str]:
    """Measure both paths alternately; return lines with the medians."""
    paths = {
        'direct': [server.address for server in cell.servers],
        'entry': [member.listen for member in cell.members],
    }
    rounds_by_path: dict[str, list[Measurement]] = {name: [] for name in paths}
    for _ in range(ROUNDS):
        for name, targets in paths.items():
            rounds_by_path[name].append(_measure(cell, load, targets))
    medians = {
        name: _take_medians(rounds) for name, rounds in rounds_by_path.items()
    }
    lines = [
        f'{load.name:>14}  {name:<8}{each.p50:>8.2f}{each.p99:>8.2f}'
        f'{each.p999:>10.2f}{each.calls_per_s:>9.0f}{each.cpu_ms:>13.3f}'
        f'{each.refused:>9}'
        for name, each in medians.items()
    ]
    added_p50 = medians['entry'].p50 - medians['direct'].p50
    added_p99 = medians['entry'].p99 - medians['direct'].p99
    verdict = 'met' if added_p99 <= TARGET_MS else 'MISSED'
    lines.append(
        f'{load.name:>14}  added   {added_p50:>8.2f}{added_p99:>8.2f}'
        f'  target {TARGET_MS}: {verdict}',
    )
    return lines


def main() -> None:
    """Run the benchmark; print and save the results."""
    entries = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    shape = ServiceShape(SERVICE, servers=8, slots=4, processes=2)
    loads = [Load(f'{each} in flight', each, 0) for each in IN_FLIGHT]
    loads += [Load(f'{each}/s', 200, each) for each in RATES_PER_S]
    lines = [
        f'entries: {entries}; 8 stand-in servers of 4 slots, 0 ms service; '
        f'medians of {ROUNDS} rounds',
        '          load  path      p50 ms  p99 ms  p99.9 ms  calls/s'
        '  cpu ms/call  refused',
    ]
    steal_meter = StealMeter()
    with Cell(('z',), (shape,), entries=entries) as cell:
        write_contract(cell, make_simple_contract(SERVICE))
        cell.wait_ready()
        for server in cell.servers:
            set_faults(cell, server, service_ms=0)
        for load in loads:
            lines.extend(_compare(cell, load))
    lines.append(f'processor time stolen by others: {steal_meter.read():.0%}')
    text = '\n'.join(lines)
    print(text)
    save(
        f'latency-{entries}.txt',
        f'$ python -m bench.latency {entries}\n{text}\n',
    )


if __name__ == '__main__':
    main()
