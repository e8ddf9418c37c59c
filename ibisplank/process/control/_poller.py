"""Polls the platform on behalf of a cell and maintains the roster row."""

import random
import time
from typing import Protocol

import anyio
from loguru import logger

from ibisplank.connection import ConfigChanges, ConfigSnapshot, RosterUpdate
from ibisplank.errors import StoreError
from ibisplank.ids import CellId, MemberId, ServerId
from ibisplank.process.control._controlstate import ControlState
from ibisplank.process.control._membership import Membership
from ibisplank.process.daemons._clock import read_clock
from ibisplank.process.placing._ownership import GUARD_S
from ibisplank.request import ClaimWriter, make_prefix
from ibisplank.store import (
    ConfigStore,
    HttpPlatform,
    RosterStore,
    decode_head,
    decode_roster,
)
from ibisplank.version import (
    MAX_PAST_ROSTERS,
    ConfigState,
    Member,
    SlotId,
    VmList,
    find_holder,
)

POLL_INTERVAL_S = 1.0
#: Interval of the second poller, which polls as well so that a failure of the
#: first leaves no gap.
STANDBY_POLL_INTERVAL_S = 2.0
#: Minimum interval of joining members. Up to as much again is added at random,
#: so that their writes to the roster seldom conflict.
JOIN_POLL_INTERVAL_S = 0.1
SNAPSHOT_INTERVAL_S = 5.0
CLEAN_INTERVAL_S = 10.0
#: Claim rows that one cleaning step scans.
CLEAN_BATCH_ROWS = 500
#: Number of members that poll the platform for the whole cell.
POLLER_COUNT = 2
#: Key of the rendezvous hash that elects the pollers.
POLLER_KEY = ServerId('poller')


class PollerOwner(Protocol):
    """Receives and forwards what the poller has read."""

    membership: Membership

    def update_roster(self, update: RosterUpdate) -> None:
        """Apply a roster."""

    def update_vm_list(self, vm_list: VmList) -> None:
        """Apply a VM list."""

    def update_config(self, update: ConfigChanges | ConfigSnapshot) -> None:
        """Apply a configuration update."""

    def make_member(self) -> Member:
        """Return this member as the roster lists it."""


class Poller:
    """Polling of the platform by one agent.

    The elected pollers read the roster, the configuration and the VM list for
    the cell, and remove dead members from the roster. A member that is not yet
    in the roster polls as well, in order to join.
    """

    def __init__(
        self,
        platform: HttpPlatform,
        cell: CellId,
        control: ControlState,
        owner: PollerOwner,
    ) -> None:
        self._platform = platform
        self._configs = ConfigStore(platform, platform, cell, time.time)
        self._rosters = RosterStore(platform, cell)
        self._claims = ClaimWriter(platform, time.time)
        self._claim_prefix = make_prefix(cell)
        self._control = control
        self._owner = owner
        self._leaving = False
        self._down = False
        self._random = random.Random(owner.membership.member)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            try:
                await self._poll()
            except StoreError as error:
                self._mark_down(error)
                await self._start_from_snapshot()
            else:
                self._mark_up()
            await anyio.sleep(self._choose_interval())

    async def leave(self) -> None:
        """Remove this member from the roster, so that others take its slots."""
        self._leaving = True
        member = frozenset((self._owner.membership.member,))
        try:
            await self._change_roster((), member)
        except StoreError as error:
            logger.warning(
                'could not remove this member from the roster: {}', error
            )

    async def save_snapshots(self) -> None:
        """Save each new configuration in the object store until cancelled."""
        saved = 0
        while True:
            await anyio.sleep(SNAPSHOT_INTERVAL_S)
            state = self._control.config
            if state.revision != saved and self._is_poller():
                saved = await self._save(state, saved)

    async def clean_claims(self) -> None:
        """Delete expired claims in small steps until cancelled."""
        while True:
            await anyio.sleep(CLEAN_INTERVAL_S)
            if not self._is_poller():
                continue
            try:
                await self._claims.clean(self._claim_prefix, CLEAN_BATCH_ROWS)
            except StoreError as error:
                logger.debug('could not delete expired claims: {}', error)

    async def _poll(self) -> None:
        if not self._is_poller():
            return
        owner = self._owner
        keys = (self._rosters.key, self._configs.head_key)
        rows = await self._platform.read(keys)
        owner.update_roster(RosterUpdate(decode_roster(rows[keys[0]])))
        await self._fetch_config(decode_head(rows[keys[1]]).revision)
        owner.update_vm_list(await self._platform.list_vms())
        joining = () if self._leaving else (owner.make_member(),)
        dead = owner.membership.find_dead(read_clock())
        if dead:
            logger.warning(
                'members {} are dead; removing them from the roster',
                ', '.join(sorted(dead)),
            )
        await self._change_roster(joining, dead)

    async def _fetch_config(self, head: int) -> None:
        while self._control.config.revision < head:
            after = self._control.config.revision
            changes = await self._configs.read_changes(after, head)
            self._owner.update_config(ConfigChanges(tuple(changes)))

    async def _change_roster(
        self,
        joining: tuple[Member, ...],
        leaving: frozenset[MemberId],
    ) -> None:
        membership = self._owner.membership
        now = read_clock()
        membership.find_fence_time(now)
        old = membership.roster
        new = membership.propose_roster(
            joining,
            leaving,
            membership.list_fenced_epochs(now - GUARD_S),
        )
        if new is None or len(new.past) > MAX_PAST_ROSTERS:
            return
        if await self._rosters.replace(old, new):
            self._owner.update_roster(RosterUpdate(new))

    async def _start_from_snapshot(self) -> None:
        if self._control.config.revision:
            return
        try:
            state = await self._configs.load_snapshot()
        except StoreError:
            return
        if state is not None:
            self._owner.update_config(ConfigSnapshot(state))

    async def _save(self, state: ConfigState, saved: int) -> int:
        try:
            await self._configs.save_snapshot(state)
        except StoreError:
            return saved
        return state.revision

    def _is_poller(self) -> bool:
        """Return whether this member polls; one not yet in the roster does."""
        membership = self._owner.membership
        if membership.member not in membership.roster.ids:
            return True
        return self._find_rank() is not None

    def _choose_interval(self) -> float:
        """Return the time until the next poll; it is shorter while joining."""
        membership = self._owner.membership
        if membership.member in membership.roster.ids or self._down:
            return (
                POLL_INTERVAL_S
                if self._find_rank() == 0
                else STANDBY_POLL_INTERVAL_S
            )
        return JOIN_POLL_INTERVAL_S * (1 + self._random.random())

    def _find_rank(self) -> int | None:
        """Return this member's rank among the pollers, or None if not one."""
        membership = self._owner.membership
        dead = membership.find_dead(read_clock())
        alive = tuple(
            each for each in membership.roster.ids if each not in dead
        )
        for rank in range(POLLER_COUNT):
            key = SlotId(POLLER_KEY, rank)
            if find_holder(key, alive) == membership.member:
                return rank
        return None

    def _mark_down(self, error: StoreError) -> None:
        if not self._down:
            logger.warning('platform: {}', error)
        self._down = True

    def _mark_up(self) -> None:
        if self._down:
            logger.info('platform answers again')
        self._down = False
