"""Reading the platform's store: by few gateways, or by all that lack news."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from types import MappingProxyType

import anyio

from ibisplank.errors import HistoryGone, StoreError
from ibisplank.gateway._backoff import StoreBackoff
from ibisplank.process import log_event
from ibisplank.store import Reading, RowStore, Topic

#: Longest wait for changes in one read, by topic.
LONG_POLL_S = MappingProxyType(
    {Topic.OPERATOR: 1.2, Topic.SERVERS: 1.2, Topic.MEMBERS: 5.0},
)
#: Age at which a gateway reads by itself, by topic. The strictest bound on
#: a change is 2 s, and a read that fails takes up to `ANSWER_S`.
MAX_AGE_S = MappingProxyType(
    {Topic.OPERATOR: 1.45, Topic.SERVERS: 1.45, Topic.MEMBERS: 7.0},
)
#: Pause after a reading that brought changes: a hundred gateways that start
#: together write a hundred rows, which few readings bring as well. News of
#: servers and operators has bounds that leave no time for a pause.
UPDATE_PAUSE_S = MappingProxyType(
    {Topic.OPERATOR: 0.0, Topic.SERVERS: 0.0, Topic.MEMBERS: 0.5},
)
#: A gateway's first picture counts as old after this time: those that start
#: beside it may not have written their rows when it read.
INITIAL_MAX_AGE_S = 1.45
#: Time for an answer beyond the wait.
ANSWER_MARGIN_S = 0.4
#: Pause after a failed read; it doubles for gateways that don't read for
#: others, up to `MAX_PAUSE_S`.
RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 1.0
MAX_DOUBLINGS = 8
#: How often a gateway that doesn't read looks at the age of its picture.
AGE_CHECK_S = 0.1
#: Pauses are spread between these shares, so that gateways differ.
JITTER = (0.75, 1.25)


@dataclass(slots=True)
class Watcher:
    """Reads one topic for ever.

    Attributes
    ----------
    on_reading : callable
        Receives each reading.
    is_reader : callable
        Tells whether this gateway reads for others too.
    find_age : callable
        Age of what is known of the topic.
    find_version : callable
        Version up to which all changes of the topic are known.
    count_event : callable
        Counts an event by name.
    backoff : StoreBackoff
        What the topics of one gateway know of the store's failing.
    """

    topic: Topic
    store: RowStore
    on_reading: Callable[[Reading], None]
    is_reader: Callable[[], bool]
    find_age: Callable[[], float]
    find_version: Callable[[], int]
    rng: random.Random
    count_event: Callable[[str], None]
    backoff: StoreBackoff
    clock: Callable[[], float]
    _readings: int = 0
    _history_lost: bool = False
    _store_lost: bool = False

    async def run(self) -> None:
        """Read for ever."""
        while True:
            if self._should_read() and self.backoff.try_acquire(self.clock()):
                await self._read_once()
            else:
                await anyio.sleep(AGE_CHECK_S * self.rng.uniform(*JITTER))

    def _should_read(self) -> bool:
        max_age_s = MAX_AGE_S[self.topic]
        if self._readings < 2:
            max_age_s = min(max_age_s, INITIAL_MAX_AGE_S)
        return self.is_reader() or self.find_age() > max_age_s

    async def _read_once(self) -> None:
        self.count_event(f'store read {self.topic.value}')
        try:
            reading = await self._read()
        except HistoryGone:
            log_event('history gone', topic=self.topic.value)
            self._history_lost = True
            return
        except StoreError as error:
            self._handle_failure(error)
            return
        self.backoff.record_success()
        if self._store_lost:
            log_event('store regained', topic=self.topic.value)
        self._store_lost = False
        self._history_lost = False
        self._readings += 1
        self.on_reading(reading)
        if reading.rows:
            await anyio.sleep(UPDATE_PAUSE_S[self.topic])

    async def _read(self) -> Reading:
        after = self.find_version()
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
        """Return a pause that few readers keep short and the rest stretch."""
        delay_s = RETRY_DELAY_S
        if not self.is_reader():
            doubled_s = RETRY_DELAY_S * 2 ** min(
                self.backoff.failures, MAX_DOUBLINGS
            )
            delay_s = min(MAX_RETRY_DELAY_S, doubled_s)
        return delay_s * self.rng.uniform(*JITTER)

    def _handle_failure(self, error: StoreError) -> None:
        self.backoff.record_failure(self.clock(), self._find_retry_delay_s())
        self.count_event('store read failed')
        if not self._store_lost:
            log_event('store lost', topic=self.topic.value, error=str(error))
        self._store_lost = True
