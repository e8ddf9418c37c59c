"""Rows, answers and calls of the store that fail unexpectedly cost themselves.

Each of these exceptions ended the process, and again after its restart.
"""

from collections.abc import Awaitable, Callable

import anyio
import pytest

from harness.site import Site, run_site
from ibisplank.faults import Boundary
from ibisplank.gateway import DecodedRow
from ibisplank.gateway._cluster import ClusterState
from ibisplank.gateway._pathchecker import PathChecker
from ibisplank.gateway._prober import Prober
from ibisplank.ids import ServerId
from ibisplank.platform import HttpRowStore, decode_row
from ibisplank.store import TableUpdate, Topic, VersionedRow
from tests.gateways import SERVICE, make_config, make_route

#: Calls of the store are repeated after 0.3 to 0.8 s at random.
REPEATED_S = 5.0


class OddFault(Exception):
    """What nobody expects."""


async def fail(*_: object) -> None:
    raise OddFault


def run_calls(prepare: Callable[[Site], Awaitable[None]] | None = None) -> int:
    """Send calls to a gateway; return how many faults it has contained."""

    async def scenario() -> int:
        async with run_site() as site:
            site.put_config(make_config(1, make_route()))
            for name in ('s0', 's1'):
                await site.add_upstream(name, SERVICE)
            gateway = await site.add_gateway()
            await site.wait_for_servers(2)
            if prepare is not None:
                await prepare(site)
            await anyio.sleep(0.5)
            for number in range(4):
                assert (await site.send_call(f'id{number}')).status == 200
            faults = gateway.cluster.faults
            return sum(faults.count(boundary) for boundary in Boundary)

    return anyio.run(scenario)


def test_calls_without_trouble_cause_no_fault() -> None:
    assert run_calls() == 0


def test_probe_that_fails_unexpectedly_ends_no_gateway(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Prober, '_probe', fail)
    assert run_calls() > 1


def test_path_check_that_fails_unexpectedly_ends_no_gateway(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(PathChecker, '_is_reached', fail)

    async def prepare(site: Site) -> None:
        site.gateways[0]._fleet.own_paths.suspect(SERVICE)

    assert run_calls(prepare) > 0


@pytest.mark.parametrize('method', ['await_changes', 'put_row'])
def test_call_of_the_store_that_fails_unexpectedly_is_repeated(
    method: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    call = getattr(HttpRowStore, method)
    failures = [None, None]

    async def fail_twice(*args: object) -> object:
        if failures:
            failures.pop()
            raise OddFault
        return await call(*args)

    async def wait_for_repeats(site: Site) -> None:
        with anyio.fail_after(REPEATED_S):
            while failures:
                await anyio.sleep(0.01)

    monkeypatch.setattr(HttpRowStore, method, fail_twice)
    assert run_calls(wait_for_repeats) == 2


def test_row_that_fails_unexpectedly_costs_no_other() -> None:
    def decode(topic: Topic, row: VersionedRow) -> DecodedRow | None:
        if row.key == 'odd':
            raise OddFault
        return decode_row(topic, row)

    cluster = ClusterState(decode)
    content = (
        b'{"service": "a", "address": "127.0.0.1:9", "zone": "z", "slots": 2, '
        b'"state": "ready"}'
    )
    rows = tuple(
        VersionedRow(key, content, version)
        for version, key in enumerate(('s0', 'odd', 's1'), start=1)
    )
    update = TableUpdate(Topic.SERVERS, rows, True, 3, 1.0)
    cluster.apply(update, 10.0)
    assert cluster.faults.count(Boundary.ROW) == 1
    known = {state.entry.server for state in cluster.directory.list_all()}
    assert known == {ServerId('s0'), ServerId('s1')}
