"""Cells whose availability zones and backend servers leave and return."""

import concurrent.futures
import json
import time

from bench.common import set_faults
from harness.cell import Cell
from harness.processes import paused, wait_for
from tests.callers import (
    IN_FORCE_S,
    RECOVERED_S,
    call,
    count_calls,
    count_overruns,
    send_many,
)

#: Exceeds the time for which a silent member keeps its place on the roster and
#: its dispatch lease.
PARTITION_S = 6.0


def test_zone_out_and_back(cell: Cell) -> None:
    out = [each for each in cell.servers if each.zone == 'zone-b']
    cell.ctl('zone', 'out', 'zone-b')
    time.sleep(IN_FORCE_S)
    before = count_calls(cell, out)
    answers = send_many(cell, 60)
    assert {each.status for each in answers} == {200}
    assert count_calls(cell, out) == before
    assert cell.get(cell.members[1].listen, '/readyz') is None
    assert cell.get(cell.members[0].listen, '/readyz') is not None
    cell.ctl('zone', 'in', 'zone-b')
    wait_for(lambda: cell.get(cell.members[1].listen, '/readyz') is not None)

    def back_in_use() -> bool:
        send_many(cell, 30)
        return count_calls(cell, out) > before

    wait_for(back_in_use)
    assert count_overruns(cell) == 0


def test_a_leaving_server_gets_no_new_work(cell: Cell) -> None:
    leaving = cell.servers[0]
    cell.publish(frozenset((leaving.server,)))
    time.sleep(IN_FORCE_S)
    before = count_calls(cell, [leaving])
    assert {each.status for each in send_many(cell, 40)} == {200}
    assert count_calls(cell, [leaving]) == before


def test_a_server_that_announces_leaving_gets_no_new_work(cell: Cell) -> None:
    leaving = cell.servers[0]
    set_faults(cell, leaving, leaving=True)
    send_many(cell, 60)
    time.sleep(IN_FORCE_S)
    before = count_calls(cell, [leaving])
    assert {each.status for each in send_many(cell, 40)} == {200}
    assert count_calls(cell, [leaving]) == before


def test_one_of_two_racing_operators_wins_and_all_entries_agree(
    cell: Cell,
) -> None:
    for round_number in range(4):
        vm = f'vm-nobody-{round_number}'
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            outputs = list(
                pool.map(
                    lambda direction, vm=vm: cell.ctl(
                        'vm',
                        direction,
                        vm,
                        '--replaces',
                        '0',
                        check=False,
                    ),
                    ('out', 'in'),
                ),
            )
        assert sorted(bool(each) for each in outputs) == [False, True]
        out = json.loads(cell.ctl('--output', 'json', 'vm', 'list'))
        assert (vm in out) == bool(outputs[0])
    status = json.loads(cell.ctl('--output', 'json', 'status'))
    wait_for(
        lambda: all(
            cell.read_gauge(member, 'config_revision') == status['revision']
            for member in cell.members
        ),
        IN_FORCE_S,
    )


def test_a_healed_partition_reverts_no_change(cell: Cell) -> None:
    """Entries whose agents were paused do not restore the old configuration."""
    partitioned = cell.members[1:]
    with paused(partitioned[0].agent), paused(partitioned[1].agent):
        cell.ctl('zone', 'out', 'zone-b')
        time.sleep(PARTITION_S)
        assert json.loads(cell.ctl('--output', 'json', 'zone', 'list'))
    revision = json.loads(cell.ctl('--output', 'json', 'status'))['revision']
    for _ in range(10):
        revisions = [
            cell.read_gauge(each, 'config_revision') for each in cell.members
        ]
        assert max(revisions) <= revision
        time.sleep(0.2)
    cell.wait_in_force()
    assert cell.get(cell.members[1].listen, '/readyz') is None
    out = [each for each in cell.servers if each.zone == 'zone-b']
    before = count_calls(cell, out)
    for member in cell.members:
        wait_for(lambda m=member: call(m.listen).status == 200, RECOVERED_S)
    assert {each.status for each in send_many(cell, 60)} == {200}
    assert count_calls(cell, out) == before
    assert count_overruns(cell) == 0
