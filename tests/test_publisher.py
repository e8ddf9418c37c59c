"""Publication of in-flight counts: starts at once, ends after a delay."""

from collections.abc import Awaitable, Callable

import anyio

from ibisplank.connection import ServerLoads
from ibisplank.gateway._cluster import ClusterState
from ibisplank.gateway._decoding import MemberRecord
from ibisplank.gateway._directory import Directory, ServerState
from ibisplank.gateway._fleet import Fleet
from ibisplank.gateway._partition import ServerPartition
from ibisplank.gateway._placing import Candidate
from ibisplank.gateway._publisher import END_DELAY_S, REPUBLISH_S, LoadPublisher
from ibisplank.ids import MemberId, ZoneId
from ibisplank.process import read_clock
from tests.gateways import make_entry

OWN = MemberRecord(MemberId('m'), '127.0.0.1:1', ZoneId('z1'))


def make_publisher() -> tuple[LoadPublisher, Candidate, list[dict[str, int]]]:
    cluster = ClusterState(lambda topic, row: None)
    partition = ServerPartition(OWN, Directory())
    fleet = Fleet(OWN.member, cluster, partition, read_clock)
    published: list[dict[str, int]] = []

    def send(loads: ServerLoads) -> None:
        published.append(dict(loads.counts))

    publisher = LoadPublisher(fleet, send, read_clock)
    fleet.on_start = publisher.publish
    fleet.on_end = publisher.record_end
    entry = make_entry('s')
    stats = fleet.find_stats(entry.server, entry.born_ms)
    return (
        publisher,
        Candidate(ServerState(entry), stats, cold=False),
        published,
    )


def run_with(
    publisher: LoadPublisher, scenario: Callable[[], Awaitable[None]]
) -> None:
    async def run_both() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(publisher.run)
            await anyio.sleep(0.01)
            await scenario()
            group.cancel_scope.cancel()

    anyio.run(run_both)


def test_start_is_published_at_once_and_end_after_a_delay() -> None:
    publisher, candidate, published = make_publisher()

    async def scenario() -> None:
        publisher.fleet.record_start(candidate, 0.0)
        assert published == [{'s': 1}]
        publisher.fleet.record_end(candidate)
        assert published == [{'s': 1}]
        await anyio.sleep(END_DELAY_S + 0.05)
        assert published == [{'s': 1}, {}]

    run_with(publisher, scenario)


def test_end_is_published_with_the_next_start() -> None:
    publisher, candidate, published = make_publisher()

    async def scenario() -> None:
        publisher.fleet.record_start(candidate, 0.0)
        publisher.fleet.record_end(candidate)
        publisher.fleet.record_start(candidate, 0.0)
        await anyio.sleep(END_DELAY_S + 0.05)
        assert published == [{'s': 1}, {'s': 1}]

    run_with(publisher, scenario)


def test_counts_are_repeated() -> None:
    publisher, _, published = make_publisher()

    async def scenario() -> None:
        await anyio.sleep(REPUBLISH_S + 0.2)

    run_with(publisher, scenario)
    assert published == [{}]
