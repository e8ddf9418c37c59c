"""Reads of the platform's store, by readers or if data is outdated."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from types import MappingProxyType

import anyio

from ibisplank.errors import HistoryGone, StoreError
from ibisplank.faults import Boundary, FaultLog
from ibisplank.gateway._backoff import StoreBackoff
from ibisplank.gateway._cluster import ClusterState
from ibisplank.process import log_event
from ibisplank.store import RowStore, TableUpdate, Topic

#: Time that a long poll waits for changes, by topic.
LONG_POLL_S = MappingProxyType(
    {Topic.OPERATOR: 1.2, Topic.SERVERS: 1.2, Topic.MEMBERS: 5.0},
)
#: Age of its data at which a gateway that is not a reader reads the store, by
#: topic. The strictest limit on the delay of a change is 2 s, and a read that
#: does not wait for changes takes up to `ANSWER_MARGIN_S`.
MAX_AGE_S = MappingProxyType(
    {Topic.OPERATOR: 1.45, Topic.SERVERS: 1.45, Topic.MEMBERS: 7.0},
)
#: Pause after a read with changes, by topic. A hundred gateways that start
#: together write a hundred rows, which the pause collects in few reads. The
#: limits for servers and operators leave no time for a pause.
UPDATE_PAUSE_S = MappingProxyType(
    {Topic.OPERATOR: 0.0, Topic.SERVERS: 0.0, Topic.MEMBERS: 0.5},
)
#: Age at which the first data of a gateway counts as outdated. Gateways that
#: start at the same time may not have written their rows when it was read.
INITIAL_MAX_AGE_S = 1.45
#: Time for an answer in addition to the wait of a long poll.
ANSWER_MARGIN_S = 0.4
#: Delay after a failed read. It doubles with each failure on gateways that are
#: not readers, up to `MAX_RETRY_DELAY_S`.
RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 1.0
MAX_DOUBLINGS = 8
#: Interval at which a gateway that is not a reader checks the age of its data.
AGE_CHECK_S = 0.1
#: Range of the random factor of delays, which spreads the gateways.
JITTER = (0.75, 1.25)


@dataclass(slots=True)
class Watcher:
    """Reads one topic of the store.

    Attributes
    ----------
    on_update : callable
        Called with each update.
    is_reader : callable
        Returns whether this gateway is a reader for others.
    find_age : callable
        Returns the age of the data of the topic.
    find_position : callable
        Returns the era, and the version in it, up to which all changes are
        known.
    count_event : callable
        Counts an event by name.
    backoff : StoreBackoff
        Backoff that the topics of one gateway share.
    """

    topic: Topic
    store: RowStore
    on_update: Callable[[TableUpdate], None]
    is_reader: Callable[[], bool]
    find_age: Callable[[], float]
    find_position: Callable[[], tuple[int, int]]
    rng: random.Random
    count_event: Callable[[str], None]
    backoff: StoreBackoff
    clock: Callable[[], float]
    faults: FaultLog = field(default_factory=FaultLog)
    _read_count: int = 0
    _history_lost: bool = False
    _store_lost: bool = False

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            if self._should_read() and self.backoff.try_acquire(self.clock()):
                await self._read_once()
            else:
                await anyio.sleep(AGE_CHECK_S * self.rng.uniform(*JITTER))

    def _should_read(self) -> bool:
        max_age_s = MAX_AGE_S[self.topic]
        if self._read_count < 2:
            max_age_s = min(max_age_s, INITIAL_MAX_AGE_S)
        return self.is_reader() or self.find_age() > max_age_s

    async def _read_once(self) -> None:
        self.count_event(f'store read {self.topic.value}')
        try:
            update = await self._read()
        except HistoryGone:
            log_event('history gone', topic=self.topic.value)
            self._history_lost = True
            return
        except StoreError as error:
            self._handle_failure(str(error))
            return
        except Exception as error:
            self.faults.record(
                Boundary.STORE_CALL, error, topic=self.topic.value
            )
            self._handle_failure(repr(error))
            return
        self.backoff.record_success()
        if self._store_lost:
            log_event('store regained', topic=self.topic.value)
        self._store_lost = False
        self._history_lost = False
        self._read_count += 1
        self.on_update(update)
        if update.era > self.find_position()[0]:
            self._history_lost = True
        if update.rows:
            await anyio.sleep(UPDATE_PAUSE_S[self.topic])

    async def _read(self) -> TableUpdate:
        _, after = self.find_position()
        if self._history_lost or not after:
            return await self.store.list_rows(self.topic, ANSWER_MARGIN_S)
        wait_s = LONG_POLL_S[self.topic]
        return await self.store.await_changes(
            self.topic,
            after,
            wait_s,
            wait_s + ANSWER_MARGIN_S,
        )

    def _find_retry_delay_s(self) -> float:
        """Return the delay: constant on readers, exponential on others."""
        delay_s = RETRY_DELAY_S
        if not self.is_reader():
            doubled_s = RETRY_DELAY_S * 2 ** min(
                self.backoff.failures, MAX_DOUBLINGS
            )
            delay_s = min(MAX_RETRY_DELAY_S, doubled_s)
        return delay_s * self.rng.uniform(*JITTER)

    def _handle_failure(self, reason: str) -> None:
        self.backoff.record_failure(self.clock(), self._find_retry_delay_s())
        self.count_event('store read failed')
        if not self._store_lost:
            log_event('store lost', topic=self.topic.value, error=reason)
        self._store_lost = True


def make_watchers(
    store: RowStore,
    cluster: ClusterState,
    on_update: Callable[[TableUpdate], None],
    is_reader: Callable[[], bool],
    rng: random.Random,
    count_event: Callable[[str], None],
    clock: Callable[[], float],
) -> list[Watcher]:
    """Return a watcher of each topic; they share one backoff."""
    backoff = StoreBackoff()

    def make_watcher(topic: Topic) -> Watcher:
        rows = cluster.rows[topic]
        return Watcher(
            topic,
            store,
            on_update,
            is_reader,
            lambda: cluster.freshness[topic].find_age(clock()),
            lambda: (rows.era, rows.version),
            rng,
            count_event,
            backoff,
            clock,
            cluster.faults,
        )

    return [make_watcher(topic) for topic in Topic]
