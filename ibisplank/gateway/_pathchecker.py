"""Checks which services this gateway reaches."""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

import anyio

from ibisplank.connection import ConnectionPool
from ibisplank.errors import BackendError, SilentConnection, UnusableAnswer
from ibisplank.faults import Boundary
from ibisplank.gateway._fleet import Fleet
from ibisplank.gateway._healthcheck import make_health_check
from ibisplank.gateway._model import ServerEntry
from ibisplank.gateway._paths import OwnPaths
from ibisplank.ids import ServiceId
from ibisplank.process import log_event

#: Servers of one service that a check connects to.
SAMPLED_SERVERS = 4
#: Services that stand for all, where there are more.
SAMPLED_SERVICES = 6
#: Time for one check. Opening a connection and reading have shorter limits, but
#: a server may send byte after byte.
CHECK_TIMEOUT_S = 0.8
#: Pause between two checks.
CHECK_PAUSE_S = 0.3


@dataclass(slots=True)
class PathChecker:
    """Connects to several servers of each service that may be lost.

    Attributes
    ----------
    on_change : callable
        Called when a service was lost or is reached again.
    """

    fleet: Fleet
    paths: OwnPaths
    rng: random.Random
    clock: Callable[[], float]
    on_change: Callable[[], None]
    _suspected: anyio.Event = field(default_factory=anyio.Event)

    def __post_init__(self) -> None:
        """Check when a service may be lost."""
        self.paths.on_suspicion = self._wake
        self.fleet.confirm_path = self.confirm

    async def run(self) -> None:
        """Check whenever a service may be lost, until cancelled."""
        while True:
            if not self.paths.list_unsettled() and not self.paths.isolated:
                await self._suspected.wait()
            self._suspected = anyio.Event()
            await self._check_paths()
            await anyio.sleep(CHECK_PAUSE_S)

    async def confirm(self, service: ServiceId) -> bool:
        """Return whether a service is reached at this moment.

        A connection that worked before may have been opened before the path
        was lost.
        """
        if self.paths.is_lost(service):
            return False
        reached = await self._check((service,))
        return reached.get(service, False)

    def _wake(self) -> None:
        self._suspected.set()

    async def _check_paths(self) -> None:
        services = set(self.fleet.cluster.config.services)
        self.paths.retain(services)
        unsettled = self.paths.list_unsettled()
        reached = await self._check(unsettled)
        others = services - unsettled
        complete = not all(reached.values()) or self.paths.isolated
        if complete:
            most = min(SAMPLED_SERVICES, len(others))
            sampled = self.rng.sample(sorted(others), most)
            reached.update(await self._check(sampled))
        if self.paths.record_check(reached, complete=complete):
            log_event(
                'paths changed',
                isolated=self.paths.isolated,
                lost=sorted(self.paths.lost),
                reached=reached,
            )
            self.on_change()

    async def _check(
        self, services: Collection[ServiceId]
    ) -> dict[ServiceId, bool]:
        """Return whether any server is reached, by service.

        Services without servers are left out.
        """
        reached: dict[ServiceId, bool] = {}

        async def check_server(entry: ServerEntry) -> None:
            with self.fleet.cluster.faults.contain(
                Boundary.PATH_CHECK, server=entry.server
            ):
                if await self._is_reached(entry):
                    reached[entry.service] = True
                    now = self.clock()
                    self.paths.record_connection(
                        entry.service, now, worked=True
                    )

        async with anyio.create_task_group() as group:
            for service in services:
                for entry in self._sample(service):
                    reached.setdefault(service, False)
                    group.start_soon(check_server, entry)
        return reached

    async def _is_reached(self, entry: ServerEntry) -> bool:
        """Return whether a server sends anything or keeps a connection open.

        Some servers answer health checks only when a slot is free, and some
        with bytes that are no answer.
        """
        pool = ConnectionPool(
            entry.address, self.clock, memory=self.fleet.answers
        )
        check = make_health_check(entry, self.fleet.cluster.config)
        with anyio.move_on_after(CHECK_TIMEOUT_S):
            try:
                await pool.exchange(check)
            except (SilentConnection, UnusableAnswer):
                return True
            except BackendError:
                return False
            await pool.close_idle()
        return True

    def _sample(self, service: ServiceId) -> list[ServerEntry]:
        now = self.clock()
        directory = self.fleet.cluster.directory
        entries = [
            state.entry
            for state in self.fleet.partition.find_pool(service).list_all()
            if directory.is_eligible(state, now)
            and not self.fleet.quiet.is_quiet(state.entry.key, now)
        ]
        most = min(SAMPLED_SERVERS, len(entries))
        return self.rng.sample(entries, most)
