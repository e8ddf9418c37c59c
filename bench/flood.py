"""Benchmark of isolation: one customer floods a service that two share.

Usage: `python -m bench.flood`. The limits of both contracts are too high to
matter, so that only the order in which slots are granted isolates the
customers.
"""

import statistics

from bench.common import (
    StealMeter,
    make_simple_contract,
    make_simple_stream,
    run_load,
    save,
    set_faults,
    write_contract,
)
from harness.cell import Cell, ServiceShape
from ibisplank.load import Plan, Row, Stream

SERVICE = ServiceShape('shared', servers=6, slots=3)
ENTRIES = 4
SERVICE_MS = 100.0
CAPACITY_PER_S = SERVICE.servers * SERVICE.slots * 1000 / SERVICE_MS
QUIET_SHARE = 0.25
FLOOD_SHARE = 2.0
#: The flooding customer states shorter deadlines than the quiet one.
QUIET_DEADLINE_MS = 4000
FLOOD_DEADLINE_MS = 1500
FLOOD_KEY = 'flood-key'
DURATION_S = 6.0
WARMUP_S = 2.0
ROUNDS = 3
QUIET = make_simple_stream(
    SERVICE.name,
    'read',
    CAPACITY_PER_S * QUIET_SHARE,
    customer='quiet',
    callers=400,
    deadline_ms=QUIET_DEADLINE_MS,
)
FLOOD = make_simple_stream(
    SERVICE.name,
    'read',
    CAPACITY_PER_S * FLOOD_SHARE,
    customer='flood',
    key=FLOOD_KEY,
    callers=1000,
    deadline_ms=FLOOD_DEADLINE_MS,
)


def measure(cell: Cell, streams: list[Stream], seed: int) -> list[Row]:
    """Run the streams concurrently and return their results."""
    plans = [
        Plan(
            targets=[each.listen for each in cell.members],
            streams=[stream],
            duration_s=DURATION_S,
            warmup_s=WARMUP_S,
            seed=seed,
        )
        for stream in streams
    ]
    return run_load(plans).rows


def describe(case: str, rows: list[Row]) -> str:
    """Return a line on all rounds.

    It holds the sum of the calls sent, the share answered, the medians of p50
    and p99, and the highest p99.
    """
    sent = sum(row.sent for row in rows)
    answered = sum(row.answered for row in rows) / sent
    p50 = statistics.median(row.p50_ms for row in rows)
    p99 = statistics.median(row.p99_ms for row in rows)
    worst_p99 = max(row.p99_ms for row in rows)
    return (
        f'{case:<18}{rows[0].customer:<8}{sent:>7}{answered:>10.3f}'
        f'{p50:>9.0f}{p99:>9.0f}{worst_p99:>12.0f}'
    )


def main() -> None:
    """Measure alternately without and with the flood; print and save."""
    steal_meter = StealMeter()
    results: dict[tuple[str, str], list[Row]] = {}
    cases = {'alone': [QUIET], 'beside the flood': [QUIET, FLOOD]}
    with Cell(('z',), (SERVICE,), entries=ENTRIES) as cell:
        write_contract(cell, make_simple_contract(SERVICE.name, 'quiet'))
        flood = make_simple_contract(SERVICE.name, 'flood', FLOOD_KEY)
        write_contract(cell, flood)
        cell.wait_in_force()
        for server in cell.servers:
            set_faults(cell, server, service_ms=SERVICE_MS)
        measure(cell, [QUIET], 0)
        for seed in range(ROUNDS):
            for case, streams in cases.items():
                for row in measure(cell, streams, seed):
                    results.setdefault((case, row.customer), []).append(row)
    lines = [
        f'{ENTRIES} entries; {SERVICE.servers} servers of {SERVICE.slots} '
        f'slots, {SERVICE_MS:.0f} ms service; quiet {QUIET_SHARE}, flood '
        f'{FLOOD_SHARE} of capacity; medians of {ROUNDS} rounds',
        'case              customer   sent  answered   p50 ms   p99 ms'
        '  worst p99',
    ]
    lines += [describe(case, rows) for (case, _), rows in results.items()]
    lines.append(f'processor time stolen by others: {steal_meter.read():.0%}')
    text = '\n'.join(lines)
    print(text)
    save('flood.txt', f'$ python -m bench.flood\n{text}\n')


if __name__ == '__main__':
    main()
