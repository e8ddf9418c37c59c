"""Cells whose backend servers fail, stall, crash or send wrong answers."""

import concurrent.futures
import http.client
import os
import signal
import time
from pathlib import Path

from bench.common import make_simple_contract, read_counters, set_faults
from bench.common import write_contract as put_contract
from harness.cell import Cell, ServiceShape
from harness.processes import paused, wait_for
from ibisplank.connection._backend import PROVEN_S
from tests.callers import (
    SERVICE,
    call,
    count_calls,
    send_many,
)

#: Number of reads that the retry budget covers: each of the three entries has
#: ten retries in reserve, and a read may need two.
READS_IN_BUDGET = 15


def test_truncated_answers(cell: Cell) -> None:
    set_faults(cell, cell.servers[0], torn=True)
    answers = send_many(cell, 30)
    assert {each.status for each in answers} == {200}
    for server in cell.servers:
        set_faults(cell, server, torn=True)
    answer = call(cell.members[0].listen, 'POST')
    assert (answer.refusal, answer.ran) == ('outcome-unknown', 'unknown')


def test_an_answer_to_another_call_is_not_forwarded(cell: Cell) -> None:
    set_faults(cell, cell.servers[0], mixed=True)
    assert {each.status for each in send_many(cell, 30)} == {200}
    for server in cell.servers:
        set_faults(cell, server, mixed=True)
    answer = call(cell.members[0].listen, 'POST', body=b'7')
    assert (answer.status, answer.ran) == (502, 'unknown')


def test_shed_calls_are_retried_on_another_server(cell: Cell) -> None:
    set_faults(cell, cell.servers[0], shed=True)
    answers = send_many(cell, 30, method='POST')
    assert {each.status for each in answers} == {200}
    for server in cell.servers:
        set_faults(cell, server, shed=True)
    answer = call(cell.members[0].listen, 'POST')
    assert (answer.refusal, answer.ran) == ('backend-failed', 'not-run')


def test_a_deadly_request_kills_at_most_two_servers(cell: Cell) -> None:
    for server in cell.servers:
        set_faults(cell, server, deadly='poison')
    for number in range(6):
        entry = cell.members[number % 3].listen
        call(entry, 'POST', body=b'poison', deadline_ms=1000)
    alive = [
        each
        for each in cell.servers
        if cell.get(each.address, '/standin/counters') is not None
    ]
    assert len(alive) == 1
    last = call(cell.members[0].listen, 'POST', body=b'poison')
    assert (last.refusal, last.ran) == ('suspect-request', 'not-run')
    wait_for(lambda: call(cell.members[0].listen).status == 200)


def test_a_common_request_is_not_suspected_when_servers_die(
    tmp_path: Path,
) -> None:
    """A request in flight on servers that die for other reasons stays allowed.

    Many callers send the same request, so that it is running on both servers
    that are killed.
    """
    shape = ServiceShape(SERVICE, servers=3, slots=2, processes=3)
    zones = ('zone-a', 'zone-b', 'zone-c')
    with Cell(zones, (shape,), entries=3, log=tmp_path / 'log') as cell:
        put_contract(cell, make_simple_contract(SERVICE))
        cell.wait_ready()
        entry = cell.members[0].listen
        wait_for(lambda: call(entry).status == 200)
        for server in cell.servers:
            set_faults(cell, server, silent=True)
        with concurrent.futures.ThreadPoolExecutor(12) as pool:
            calls = [
                pool.submit(call, cell.members[number % 3].listen)
                for number in range(12)
            ]
            time.sleep(0.5)
            for part in range(2):
                backend = cell.backends[f'{SERVICE}/{part}']
                os.kill(backend.pid, signal.SIGKILL)
            for each in calls:
                each.result()
        set_faults(cell, cell.servers[2], silent=False)
        wait_for(lambda: call(entry).status == 200)
        refusals = {each.refusal for each in send_many(cell, 30)}
        assert 'suspect-request' not in refusals


def test_a_slow_read_is_hedged_and_the_losing_attempt_cancelled(
    cell: Cell,
) -> None:
    send_many(cell, 150)
    set_faults(cell, cell.servers[0], silent=True)
    answers = send_many(cell, 30)
    assert {each.status for each in answers} == {200}
    hedges = 0.0
    for member in cell.members:
        text = (cell.get(member.listen, '/metrics') or b'').decode()
        for line in text.splitlines():
            if line.startswith('ibisplank_hedges_total{'):
                hedges += float(line.rpartition(' ')[2])
    assert hedges
    silent = read_counters(cell, cell.servers[0])
    assert silent.cancelled
    assert not silent.overruns


def test_calls_cancelled_at_their_deadlines_overrun_no_server(
    cell: Cell,
) -> None:
    send_many(cell, 200)
    for server in cell.servers:
        set_faults(cell, server, service_ms=100)
    send_many(cell, 500, deadline_ms=250)
    counters = [read_counters(cell, server) for server in cell.servers]
    assert sum(each.cancelled for each in counters) > 10
    assert [each.overruns for each in counters] == [0, 0, 0]


def test_silent_connections_fail_no_call(cell: Cell) -> None:
    """Servers stop answering on connections that were idle for `PROVEN_S`.

    Writes use new connections, and reads are retried.
    """
    send_many(cell, 150)
    time.sleep(PROVEN_S + 0.1)
    for server in cell.servers:
        cell.put(server.address, '/standin/silence', None)
    writes = send_many(cell, 9, method='POST', deadline_ms=1000)
    assert {each.status for each in writes} == {200}
    for server in cell.servers:
        cell.put(server.address, '/standin/silence', None)
    reads = send_many(cell, READS_IN_BUDGET, deadline_ms=2000)
    assert {each.status for each in reads} == {200}


def test_a_paused_server_fails_no_read(tmp_path: Path) -> None:
    shape = ServiceShape(SERVICE, servers=3, slots=2, processes=3)
    zones = ('zone-a', 'zone-b', 'zone-c')
    with Cell(zones, (shape,), entries=3, log=tmp_path / 'log') as cell:
        put_contract(cell, make_simple_contract(SERVICE))
        cell.wait_ready()
        wait_for(lambda: call(cell.members[0].listen).status == 200)
        send_many(cell, 150)
        with paused(cell.backends[f'{SERVICE}/0']):
            reads = send_many(cell, 400)
            writes = send_many(cell, 20, method='POST', deadline_ms=1000)
        assert {each.status for each in reads} == {200}
        refused = [each for each in writes if each.status != 200]
        assert {each.ran for each in refused} <= {'unknown'}
        wait_for(lambda: count_calls(cell, cell.servers[:1]) > 0)
        assert {each.status for each in send_many(cell, 60)} == {200}


def test_malformed_requests_reach_no_server(cell: Cell) -> None:
    before = count_calls(cell, cell.servers)
    host, _, port = cell.members[0].listen.rpartition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=5)
    connection.connect()
    assert connection.sock is not None
    connection.sock.sendall(b'GET /echo/x NONSENSE\r\n\r\n')
    assert b'400' in connection.sock.recv(100)
    connection.close()
    large = call(cell.members[0].listen, 'POST', body=bytes(9_000_000))
    assert large.refusal in {'body-too-large', ''}
    assert large.status in {413, 0}
    assert count_calls(cell, cell.servers) == before
