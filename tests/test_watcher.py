"""Reads of the store: few in an outage, and at once after it."""

import random
from collections import Counter

import anyio

from ibisplank.gateway._backoff import StoreBackoff
from ibisplank.gateway._watcher import (
    JITTER,
    MAX_RETRY_DELAY_S,
    RETRY_DELAY_S,
    Watcher,
)
from ibisplank.store import MemoryRowStore, TableUpdate, Topic

OUTAGE_S = 3.0


class FakeGateway:
    """The watchers of all topics of one gateway."""

    def __init__(self, store: MemoryRowStore, *, reader: bool) -> None:
        self.updates: list[TableUpdate] = []
        self.events: Counter[str] = Counter()
        self._positions = dict.fromkeys(Topic, (0, 0))
        self._read_at = dict.fromkeys(Topic, float('-inf'))
        backoff = StoreBackoff()
        self.watchers = [
            Watcher(
                topic,
                store,
                self._on_update,
                lambda: reader,
                lambda topic=topic: anyio.current_time() - self._read_at[topic],
                lambda topic=topic: self._positions[topic],
                random.Random(1),
                self._count,
                backoff,
                anyio.current_time,
            )
            for topic in Topic
        ]

    def _count(self, event: str) -> None:
        self.events[event] += 1

    def _on_update(self, update: TableUpdate) -> None:
        self.updates.append(update)
        self._positions[update.topic] = (update.era, update.version)
        self._read_at[update.topic] = anyio.current_time()


def count_failed(*, reader: bool) -> int:
    """Return the failed reads of one gateway in an outage."""

    async def run() -> int:
        store = MemoryRowStore()
        store.write(Topic.OPERATOR, 'a', b'1')
        store.down = True
        gateway = FakeGateway(store, reader=reader)
        async with anyio.create_task_group() as group:
            for watcher in gateway.watchers:
                group.start_soon(watcher.run)
            await anyio.sleep(OUTAGE_S)
            failed = gateway.events['store read failed']
            store.down = False
            with anyio.fail_after(MAX_RETRY_DELAY_S * JITTER[1] + 0.3):
                while {each.topic for each in gateway.updates} != set(Topic):
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()
        return failed

    return anyio.run(run)


def test_reader_retries_once_per_delay_in_an_outage() -> None:
    """The topics of a gateway share one backoff."""
    most = OUTAGE_S / (RETRY_DELAY_S * JITTER[0]) + len(Topic)
    assert 5 <= count_failed(reader=True) <= most


def test_other_gateways_back_off_further() -> None:
    most = OUTAGE_S / (MAX_RETRY_DELAY_S * JITTER[0]) + len(Topic) + 3
    assert 2 <= count_failed(reader=False) <= most


def test_successive_changes_of_servers_are_read_at_once() -> None:
    """No pause follows a read of changed servers.

    With a pause, a server that leaves just after another would be noticed late.
    """

    async def run() -> None:
        store = MemoryRowStore()
        store.write(Topic.SERVERS, 'a', b'1')
        gateway = FakeGateway(store, reader=True)
        async with anyio.create_task_group() as group:
            for watcher in gateway.watchers:
                group.start_soon(watcher.run)
            for content in (b'2', b'3', b'4'):
                await anyio.sleep(0.02)
                store.write(Topic.SERVERS, 'a', content)
                with anyio.fail_after(0.1):
                    while not _has_read(gateway, content):
                        await anyio.sleep(0.005)
            group.cancel_scope.cancel()

    anyio.run(run)


def _has_read(gateway: FakeGateway, content: bytes) -> bool:
    return any(
        row.content == content
        for update in gateway.updates
        for row in update.rows
    )
