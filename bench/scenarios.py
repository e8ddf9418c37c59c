"""Benchmark of both users' deployments under load and faults.

Usage: `python -m bench.scenarios [consorcio|qanawat]`. Compares the policy
`shared` with two baselines. Entries (16), servers, slots and zones are those
of the users; a service time of 400 ms lowers the rate of calls to what one
machine can carry.
"""

import sys
import threading
import time
from collections.abc import Callable

from bench.common import (
    KEY,
    StealMeter,
    read_counters,
    run_load,
    save,
    set_faults,
    write_contract,
)
from bench.deployments import (
    DEPLOYMENTS,
    NOISY_KEY,
    SERVICE_MS,
    UTILIZATION,
    WARM_AFTER,
    Deployment,
    make_contract,
    make_plan,
)
from harness.cell import Cell
from ibisplank.load import Report

ENTRIES = 16
POLICIES = ('shared', 'alone', 'random')


def find_first_servers(cell: Cell, deployment: Deployment) -> list[int]:
    """Return the index of the first server of each service."""
    names = [server.service for server in cell.servers]
    return [
        names.index(call_class.service)
        for call_class in deployment.call_classes
    ]  # type: ignore[arg-type]


def inject_fault(case: str, cell: Cell, deployment: Deployment) -> None:
    """Inject the fault of a case, before or while the load runs."""
    first_servers = [
        cell.servers[index] for index in find_first_servers(cell, deployment)
    ]
    match case:
        case 'one slow':
            for server in first_servers:
                set_faults(cell, server, slow_factor=10.0)
        case 'one cold':
            time.sleep(3)
            for server in first_servers:
                cell.get(server.address, '/standin/restart')
        case 'zone out and back':
            time.sleep(2)
            cell.ctl('zone', 'out', deployment.zones[1])
            time.sleep(3)
            cell.ctl('zone', 'in', deployment.zones[1])
        case 'stale reports':
            for server in cell.servers:
                set_faults(cell, server, load_lag_s=2.0)


def reset_faults(cell: Cell) -> None:
    """Reset the faults of all servers."""
    for server in cell.servers:
        set_faults(
            cell,
            server,
            service_ms=SERVICE_MS,
            slow_factor=1.0,
            load_lag_s=0.0,
            warm_after=WARM_AFTER,
        )


CASES = (
    'steady',
    'one slow',
    'one cold',
    'zone out and back',
    'noisy customer',
    'stale reports',
)


def sum_counters(cell: Cell) -> tuple[int, int, int, int]:
    """Return calls, overruns, cold overruns and probes of all servers."""
    counters = [read_counters(cell, server) for server in cell.servers]
    return (
        sum(each.calls for each in counters),
        sum(each.overruns for each in counters),
        sum(each.cold_overruns for each in counters),
        sum(each.probes for each in counters),
    )


def run_case(case: str, cell: Cell, deployment: Deployment) -> list[str]:
    """Run one case and return its lines of the report."""
    reset_faults(cell)
    before = sum_counters(cell)
    fault = threading.Thread(target=inject_fault, args=(case, cell, deployment))
    fault.start()
    plan = make_plan(cell, deployment, noisy=case == 'noisy customer')
    report = run_load([plan])
    fault.join()
    after = sum_counters(cell)
    deltas = [new - old for new, old in zip(after, before, strict=True)]
    return render(case, cell.policy, report, deltas)


def render(
    case: str,
    policy: str,
    report: Report,
    counts: list[int],
) -> list[str]:
    """Return one line per class and a summary line."""
    lines = [
        f'{case:<18}{policy:<8}{row.klass:<11}{row.sent:>6}'
        f'{row.answered / max(1, row.sent):>9.3f}{row.p50_ms:>9.0f}'
        f'{row.p99_ms:>9.0f}{row.p999_ms:>9.0f}'
        for row in report.rows
    ]
    lines.append(
        f'{case:<18}{policy:<8}weighted service {report.service:.4f}, '
        f'overruns {counts[1]}, cold overruns {counts[2]}, '
        f'probes {counts[3]}',
    )
    return lines


def run_policy(
    policy: str,
    deployment: Deployment,
    cases: tuple[str, ...],
    show: Callable[[str], None],
) -> None:
    """Run the cases under one policy, after two unreported runs to warm up."""
    with Cell(
        deployment.zones,
        deployment.list_shapes(),
        entries=ENTRIES,
        policy=policy,
    ) as cell:
        write_contract(cell, make_contract(deployment, 'user', KEY))
        write_contract(cell, make_contract(deployment, 'noisy', NOISY_KEY))
        cell.wait_ready()
        cell.wait_in_force()
        reset_faults(cell)
        for _ in range(2):
            run_load([make_plan(cell, deployment, noisy=False)])
        for case in cases:
            for line in run_case(case, cell, deployment):
                show(line)


def run_deployment(deployment: Deployment) -> None:
    """Run all cases of one user under all policies and save the report."""
    lines: list[str] = []

    def show(line: str) -> None:
        print(line, flush=True)
        lines.append(line)

    steal_meter = StealMeter()
    weights = ', '.join(
        f'{call_class.klass} {call_class.weight}'
        for call_class in deployment.call_classes
    )
    show(f'{deployment.name}: {ENTRIES} entries, weights {weights}')
    show(
        f'service time {SERVICE_MS:.0f} ms, offered {UTILIZATION:.0%} of the '
        'warm slots',
    )
    show(
        f'{"case":<18}{"policy":<8}{"class":<11}{"sent":>6}{"goodput":>9}'
        f'{"p50 ms":>9}{"p99 ms":>9}{"p99.9 ms":>9}',
    )
    for policy in POLICIES:
        run_policy(policy, deployment, CASES, show)
    show(f'processor time stolen by others: {steal_meter.read():.0%}')
    command = f'$ python -m bench.scenarios {deployment.name}\n'
    save(f'scenarios-{deployment.name}.txt', command + '\n'.join(lines) + '\n')


def main() -> None:
    """Run the deployments named on the command line, or both."""
    for name in sys.argv[1:] or DEPLOYMENTS:
        run_deployment(DEPLOYMENTS[name])


if __name__ == '__main__':
    main()
