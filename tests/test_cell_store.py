"""Cells whose platform fails, and calls that must run at most once."""

import concurrent.futures
import json
import time

from bench.common import read_counters, set_faults
from harness.cell import Cell
from harness.processes import paused, wait_for
from ibisplank.standin import PlatformFaults
from tests.callers import (
    call,
    count_overruns,
    send_many,
)


def count_runs(cell: Cell, request_id: str) -> int:
    return sum(
        read_counters(cell, each).runs.get(request_id, 0)
        for each in cell.servers
    )


def test_table_down(cell: Cell) -> None:
    entry = cell.members[0].listen
    cell.put(cell.platform, '/faults', PlatformFaults(down=True))
    assert {each.status for each in send_many(cell, 30)} == {200}
    refused = call(entry, 'POST', request_id='r1')
    assert (refused.refusal, refused.ran) == ('store-down', 'not-run')
    assert call(entry, 'POST').status == 200
    out = cell.ctl('zone', 'out', 'zone-b', check=False)
    assert out == ''
    cell.put(cell.platform, '/faults', PlatformFaults())
    wait_for(lambda: call(entry, 'POST', request_id='r1').status == 200)
    assert json.loads(cell.ctl('--output', 'json', 'zone', 'list')) == []


def test_a_new_vm_serves_while_the_table_is_down(cell: Cell) -> None:
    cell.put(cell.platform, '/faults', PlatformFaults(down=True))
    cell.use_seeds = True
    new_member = cell.add_entry(len(cell.members))
    wait_for(lambda: cell.get(new_member.listen, '/readyz') is not None)
    wait_for(lambda: call(new_member.listen).status == 200)
    assert {each.status for each in send_many(cell, 40)} == {200}
    assert count_overruns(cell) == 0


def test_lost_answers_of_writes(cell: Cell) -> None:
    cell.put(cell.platform, '/faults', PlatformFaults(lose_answers=1))
    cell.ctl('zone', 'out', 'zone-b')
    assert len(cell.ctl('contract', 'history').splitlines()) == 2
    cell.put(cell.platform, '/faults', PlatformFaults(lose_answers=1))
    answer = call(cell.members[0].listen, 'POST', request_id='once')
    assert answer.status == 200
    assert count_runs(cell, 'once') == 1


def test_one_request_id_at_all_entries_runs_once(cell: Cell) -> None:
    for request_id in ('a', 'b', 'c'):
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            futures = [
                pool.submit(
                    call,
                    member.listen,
                    'POST',
                    body=b'7',
                    request_id=request_id,
                )
                for member in cell.members * 2
            ]
            answers = [each.result() for each in futures]
        assert count_runs(cell, request_id) == 1
        assert any(each.status == 200 for each in answers)
        other = [each for each in answers if each.status != 200]
        assert {each.refusal for each in other} <= {'request-id-in-progress'}
        wait_for(
            lambda r=request_id: (
                call(cell.members[1].listen, 'POST', request_id=r).body == b'7'
            ),
        )
        assert count_runs(cell, request_id) == 1


def test_kill_between_claim_and_answer_runs_at_most_once(cell: Cell) -> None:
    for server in cell.servers:
        set_faults(cell, server, service_ms=100)
    killed = cell.members[0]
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        for number in range(4):
            pool.submit(
                call,
                killed.listen,
                'POST',
                request_id=f'k{number}',
            )
        time.sleep(0.15)
        killed.entry.kill()
    for server in cell.servers:
        set_faults(cell, server, service_ms=1)
    for number in range(4):
        request_id = f'k{number}'
        call(cell.members[1].listen, 'POST', request_id=request_id)
        assert count_runs(cell, request_id) <= 1


def test_a_call_claimed_by_a_paused_entry_runs_at_most_once(
    cell: Cell,
) -> None:
    """An entry paused after its claim does not send the call when it resumes.

    The pause outlasts the deadline of the call.
    """
    owner = cell.members[0]
    other = cell.members[1].listen
    cell.put(cell.platform, '/faults', PlatformFaults(late_ms=600))
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        first = pool.submit(
            call,
            owner.listen,
            'POST',
            request_id='paused',
            deadline_ms=2000,
        )
        time.sleep(0.3)
        with paused(owner.entry):
            cell.put(cell.platform, '/faults', PlatformFaults())
            second = call(other, 'POST', request_id='paused')
            assert (second.refusal, second.ran) == (
                'request-id-in-progress',
                'unknown',
            )
            time.sleep(2.5)
        assert first.result().ran == 'not-run'
    assert count_runs(cell, 'paused') == 0
    wait_for(
        lambda: call(other, 'POST', request_id='paused').status == 200,
    )
    assert count_runs(cell, 'paused') == 1
