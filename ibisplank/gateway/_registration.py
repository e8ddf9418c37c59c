"""Registration of a gateway in the platform's store."""

import random
from dataclasses import dataclass, field

import anyio

from ibisplank.errors import StoreError
from ibisplank.faults import Boundary
from ibisplank.gateway._cluster import ClusterState
from ibisplank.ids import MemberId, VmId
from ibisplank.process import log_event
from ibisplank.store import RowStore, Topic

WRITE_TIMEOUT_S = 0.5
RETRY_DELAY_S = (0.3, 0.8)


@dataclass(slots=True)
class Registration:
    """Keeps the row of one gateway in the platform's store.

    Parameters
    ----------
    content : bytes
        Content of the row.
    """

    member: MemberId
    vm: VmId
    content: bytes
    store: RowStore
    cluster: ClusterState
    rng: random.Random
    _era: int | None = None
    _lost: anyio.Event = field(default_factory=anyio.Event)

    def check(self) -> None:
        """Have the row written again if the store has lost it.

        A store that was restored from a copy has lost what it confirmed since.
        """
        rows = self.cluster.rows[Topic.MEMBERS]
        if self._era is None or rows.era <= self._era:
            return
        row = rows.find(self.vm)
        if row is None or row.content != self.content:
            self._lost.set()

    async def run(self) -> None:
        """Write the row, and again whenever it was lost, until cancelled."""
        while True:
            self._era = await self._write()
            self._lost = anyio.Event()
            self.check()
            await self._lost.wait()

    async def _write(self) -> int:
        """Write the row until it succeeds; return the era of the store."""
        while True:
            try:
                era = await self.store.put_row(
                    Topic.MEMBERS, self.vm, self.content, WRITE_TIMEOUT_S
                )
            except StoreError as error:
                log_event('own row not written', error=str(error))
            except Exception as error:
                self.cluster.faults.record(Boundary.STORE_CALL, error)
            else:
                log_event('joined', member=self.member, era=era)
                return era
            await anyio.sleep(self.rng.uniform(*RETRY_DELAY_S))
