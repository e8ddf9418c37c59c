"""Benchmark of memory and processor time by number of servers and customers.

Usage: `python -m bench.slopes`. Measures the state machines without I/O in
one process, then runs `bench.control`, which measures the cost by number of
entries.
"""

import random
import time
import tracemalloc
from collections.abc import Callable

import msgspec
from matplotlib import pyplot
from matplotlib.axes import Axes

from bench import control
from bench.common import KEY, RESULTS_DIR, make_simple_contract, save
from ibisplank.connection import ConfigSnapshot, Envelope
from ibisplank.ids import (
    MemberId,
    ServerId,
    ServiceId,
    Token,
    VmId,
    ZoneId,
)
from ibisplank.process import Permits, SlotScheduler
from ibisplank.version import (
    Change,
    ConfigState,
    ContractEdit,
    Member,
    Roster,
    Server,
    change_roster,
    parse_contract,
)

SERVERS = (10, 100, 300, 1000)
CUSTOMERS = (1, 20, 200)
MEMBERS = 16
SLOTS = 2
BYTES_PER_KB = 1024
MS_PER_S = 1000


class ServerRow(msgspec.Struct):
    """Costs at one member by number of backend servers.

    `ledger_kb` is the memory of the slot scheduler with its roster.
    """

    servers: int
    roster_change_ms: float
    tick_ms: float
    ledger_kb: float


class CustomerRow(msgspec.Struct):
    """Costs at one member by number of customers.

    `full_config_kb` and `one_change_kb` are the encoded sizes of the whole
    configuration and of one change; `config_kb` is the memory of the former.
    """

    customers: int
    full_config_kb: float
    one_change_kb: float
    permits_tick_ms: float
    config_kb: float


class Slopes(msgspec.Struct):
    """Results for all numbers of servers and customers."""

    servers: list[ServerRow]
    customers: list[CustomerRow]


def _measure_min_ms(operation: Callable[[], object], rounds: int = 5) -> float:
    """Return the shortest run time of an operation, in milliseconds."""
    times = []
    for _ in range(rounds):
        start = time.perf_counter()
        operation()
        times.append((time.perf_counter() - start) * MS_PER_S)
    return min(times)


def _make_roster() -> Roster:
    members = tuple(
        Member(
            MemberId(f'vm-{number}.aa'),
            VmId(f'vm-{number}'),
            ZoneId('z'),
            '',
            '',
        )
        for number in range(MEMBERS)
    )
    return change_roster(Roster(), members, frozenset(), frozenset())


def measure_servers(count: int) -> ServerRow:
    """Return the costs at one member for a number of backend servers."""
    servers = [
        Server(
            ServerId(f's{number}'),
            VmId(f'v{number}'),
            ZoneId('z'),
            ServiceId(f'service-{number // 35}'),
            '127.0.0.1:1',
            SLOTS,
        )
        for number in range(count)
    ]
    tracemalloc.start()
    scheduler = SlotScheduler(
        MemberId('vm-0.aa'),
        ZoneId('z'),
        random.Random(1),
    )
    scheduler.update_servers(servers, 0.0)
    roster = _make_roster()
    scheduler.update_roster(roster, 0.0, 0.0)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    rosters = [roster]

    def change() -> None:
        leaving = frozenset((rosters[-1].ids[-1],))
        new = change_roster(rosters[-1], (), leaving, frozenset())
        rosters.append(new)
        scheduler.update_roster(new, 0.0, 1.0)

    return ServerRow(
        count,
        _measure_min_ms(change),
        _measure_min_ms(lambda: scheduler.tick(2.0)),
        size / BYTES_PER_KB,
    )


def measure_customers(count: int) -> CustomerRow:
    """Return the costs at one member for a number of customers."""
    tracemalloc.start()
    state = ConfigState()
    for number in range(count):
        document = make_simple_contract('s', f'customer-{number}')
        contract = parse_contract(document)
        edit = ContractEdit(contract.customer, document, contract)
        change = Change(number + 1, edit, KEY, Token('t'), 0.0)
        state = state.apply(change)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    permits = Permits(MemberId('vm-0.aa'))
    limits = {name: (100, 1000.0) for name in state.contracts}
    permits.update_limits(limits, 0.0)
    permits.update_roster(_make_roster(), 0.0, 0.0)
    full = msgspec.msgpack.encode(Envelope((ConfigSnapshot(state),)))
    return CustomerRow(
        count,
        len(full) / BYTES_PER_KB,
        len(msgspec.msgpack.encode(change)) / BYTES_PER_KB,
        _measure_min_ms(lambda: permits.tick(100.0)),
        size / BYTES_PER_KB,
    )


def plot(slopes: Slopes) -> None:
    """Plot the time of a roster change and the size of the configuration."""
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.5))
    _plot_line(
        left,
        {row.servers: row.roster_change_ms for row in slopes.servers},
        ('backend servers of a cell', 'change of roster, ms'),
    )
    _plot_line(
        right,
        {row.customers: row.full_config_kb for row in slopes.customers},
        ('customers of a cell', 'whole configuration, KB'),
    )
    figure.tight_layout()
    figure.savefig(RESULTS_DIR / 'slopes.png', dpi=80)


def _plot_line(
    axes: Axes,
    points: dict[int, float],
    labels: tuple[str, str],
) -> None:
    axes.plot(list(points), list(points.values()), marker='o')
    axes.set_xlabel(labels[0])
    axes.set_ylabel(labels[1])


def main() -> None:
    """Run the benchmark; print, save and plot the results."""
    slopes = Slopes(
        [measure_servers(count) for count in SERVERS],
        [measure_customers(count) for count in CUSTOMERS],
    )
    text = msgspec.json.format(msgspec.json.encode(slopes)).decode()
    print(text)
    save('slopes.json', text + '\n')
    plot(slopes)
    control.main()


if __name__ == '__main__':
    main()
