"""Publication of in-flight counts to the group of a gateway."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from ibisplank.connection import ServerLoads
from ibisplank.gateway._fleet import Fleet

#: Interval at which the counts are sent even if they have not changed.
REPUBLISH_S = 1.0
#: The end of a call is published after this time, unless a start is published
#: before. Without the delay, half of the messages between peers were ends.
END_DELAY_S = 0.02


@dataclass(slots=True)
class LoadPublisher:
    """Publishes the counts at the start of a call and soon after its end.

    Load pattern: several gateways place calls within one millisecond. A slot
    that was taken has to be known at once, while one that was freed may be
    published later.

    Parameters
    ----------
    send : callable
        Sends a message to the group.
    """

    fleet: Fleet
    send: Callable[[ServerLoads], None]
    clock: Callable[[], float]
    _pending: bool = False
    _ended: anyio.Event = field(default_factory=anyio.Event)

    def publish(self) -> None:
        """Send the current in-flight counts."""
        self._pending = False
        self.send(ServerLoads(self.fleet.list_loads()))

    def record_end(self) -> None:
        """Record that a call has ended."""
        self._pending = True
        self._ended.set()

    async def run(self) -> None:
        """Publish ends, and repeat the counts, until cancelled."""
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
