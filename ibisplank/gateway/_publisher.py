"""When a gateway tells its group what it has in flight."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from ibisplank.connection import ServerLoads
from ibisplank.gateway._fleet import Fleet

#: How often a gateway repeats what it has in flight.
REPUBLISH_S = 1.0
#: An end of a call is told after this time, unless a start comes before:
#: half of the peers' messages were ends.
END_DELAY_S = 0.02


@dataclass(slots=True)
class LoadPublisher:
    """Tells the group of each start at once, and of ends a little later.

    Load pattern: several gateways place calls within one millisecond; what
    one has just taken must show at once, what it has freed may wait.

    Parameters
    ----------
    send : callable
        Passes a message on to the group.
    """

    fleet: Fleet
    send: Callable[[ServerLoads], None]
    clock: Callable[[], float]
    _pending: bool = False
    _ended: anyio.Event = field(default_factory=anyio.Event)

    def publish(self) -> None:
        """Tell what is in flight now."""
        self._pending = False
        self.send(ServerLoads(self.fleet.list_loads()))

    def record_end(self) -> None:
        """Take in that a call has ended."""
        self._pending = True
        self._ended.set()

    async def run(self) -> None:
        """Tell of ends, and repeat, for ever."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._republish)
            while True:
                await self._ended.wait()
                self._ended = anyio.Event()
                await anyio.sleep(END_DELAY_S)
                if self._pending:
                    self.publish()

    async def _republish(self) -> None:
        while True:
            await anyio.sleep(REPUBLISH_S)
            self.fleet.occupancy.remove_expired(self.clock())
            self.publish()
