"""Reading the platform's store: by few gateways, or by all that lack news."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import anyio
from loguru import logger

from ibisplank.errors import HistoryGone, StoreError
from ibisplank.store import Reading, RowStore, Topic

#: Longest wait for changes in one read, by topic.
WAIT_S = {Topic.OPERATOR: 1.0, Topic.SERVERS: 1.0, Topic.MEMBERS: 5.0}
#: Time for an answer beyond the wait.
ANSWER_S = 0.4
#: Shortest and longest pause after a failed read.
PAUSE_S = (0.1, 0.3)
#: How often a gateway that doesn't read looks at the age of its picture.
LOOK_S = 0.1
#: Age at which a gateway reads by itself, by topic.
STALE_S = {Topic.OPERATOR: 1.25, Topic.SERVERS: 1.25, Topic.MEMBERS: 6.0}


@dataclass(slots=True)
class Watcher:
    """Reads one topic for ever.

    Attributes
    ----------
    take : callable
        Receives each reading.
    is_reader : callable
        Tells whether this gateway reads for others too.
    find_age : callable
        Age of what is known of the topic.
    """

    topic: Topic
    store: RowStore
    take: Callable[[Reading], None]
    is_reader: Callable[[], bool]
    find_age: Callable[[], float]
    luck: random.Random
    after: int = 0
    _whole: bool = False
    _failures: int = 0

    async def run(self) -> None:
        """Read for ever."""
        while True:
            if not self._must_read():
                await anyio.sleep(LOOK_S)
                continue
            await self._read_once()

    def _must_read(self) -> bool:
        return self.is_reader() or self.find_age() > STALE_S[self.topic]

    async def _read_once(self) -> None:
        try:
            reading = await self._read()
        except HistoryGone:
            logger.info('history of {} gone: list anew', self.topic.value)
            self._whole = False
            return
        except StoreError as error:
            self._note_failure(error)
            await anyio.sleep(self.luck.uniform(*PAUSE_S))
            return
        if self._failures:
            logger.info('store regained: {}', self.topic.value)
        self._failures = 0
        self._whole = True
        self.after = max(self.after, reading.version)
        self.take(reading)

    async def _read(self) -> Reading:
        if not self._whole:
            return await self.store.list_rows(self.topic, ANSWER_S)
        wait_s = WAIT_S[self.topic]
        return await self.store.await_changes(
            self.topic,
            self.after,
            wait_s,
            wait_s + ANSWER_S,
        )

    def _note_failure(self, error: StoreError) -> None:
        self._failures += 1
        if self._failures == 1:
            logger.warning('store lost: {} {}', self.topic.value, error)
