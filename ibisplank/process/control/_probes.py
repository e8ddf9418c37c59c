"""Probes of backend servers within the budget of their contracts."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio
import httpcore

from ibisplank.connection import (
    LOAD_HEADER,
    LoadReport,
    ServerUpdate,
    parse_load,
)
from ibisplank.ids import MemberId, ServerId, ServiceId
from ibisplank.process.control._controlstate import ControlState
from ibisplank.process.daemons._clock import read_clock
from ibisplank.version import (
    DISPATCH_LEASE_S,
    Roster,
    Server,
    SlotId,
    find_holder,
)

#: Maximum number of probes that a budget accumulates.
MAX_TOKENS = 1.0
#: Time in seconds for which one probe occupies a backend server.
PROBE_COST_S = 0.006
PROBE_INTERVAL_S = 0.1
PROBE_TIMEOUT_S = 1.0
PROBE_PATH = '/load'
#: Slot index of the rendezvous key that elects the prober of a server.
PROBER_SLOT_INDEX = -1


@dataclass(slots=True)
class ProbeBudget:
    """Token bucket for the probes of one backend server.

    A new prober starts with an empty bucket, and only once no earlier prober
    can send probes, so that a change of prober never exceeds the budget.

    Attributes
    ----------
    share : float
        Share of one slot's time that probes may take.
    cost_s : float
        Time in seconds for which one probe occupies the server.
    filled_at : float
        Time up to which tokens have been added.
    exclusive : bool
        Whether no earlier prober can send probes any more.
    tokens : float
        Probes that may be sent now.
    """

    share: float
    cost_s: float
    filled_at: float
    exclusive: bool = True
    tokens: float = 0.0

    def take(self, now: float) -> bool:
        """Take one token; return whether there was one."""
        if not self.exclusive or now < self.filled_at:
            return False
        earned = (now - self.filled_at) * self.share / self.cost_s
        self.filled_at = now
        self.tokens = min(MAX_TOKENS, self.tokens + earned)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class ProbeScheduler:
    """Decides when this member probes which backend servers.

    Parameters
    ----------
    cost_s : float
        Time in seconds for which one probe occupies a server.
    """

    def __init__(self, member: MemberId, cost_s: float) -> None:
        self.sent = 0
        self.dispatch_lease_until = 0.0
        self.member = member
        self._cost_s = cost_s
        self._budgets: dict[ServerId, ProbeBudget] = {}

    def assign(
        self,
        roster: Roster,
        servers: tuple[Server, ...],
        shares: dict[ServiceId, float],
        fence_at: float | None,
        now: float,
    ) -> None:
        """Set the probed servers to those the roster assigns to this member.

        Parameters
        ----------
        fence_at : float or None
            Time from which members of past epochs cannot renew their dispatch
            leases, None if they still can.
        shares : dict
            Share of one slot's time that probes may take, by service.
        """
        budgets: dict[ServerId, ProbeBudget] = {}
        for server in servers:
            share = shares.get(server.service, 0.0)
            slot = SlotId(server.server, PROBER_SLOT_INDEX)
            if not share or find_holder(slot, roster.ids) != self.member:
                continue
            budget = self._budgets.get(server.server)
            if budget is None:
                budget = ProbeBudget(share, self._cost_s, now, exclusive=False)
            budget.share = share
            if not budget.exclusive and fence_at is not None:
                budget.exclusive = True
                budget.filled_at = max(now, fence_at + DISPATCH_LEASE_S)
            budgets[server.server] = budget
        self._budgets = budgets

    def choose(self, now: float) -> list[ServerId]:
        """Return the servers to probe now, and count these probes as sent."""
        if now >= self.dispatch_lease_until:
            return []
        due = [
            server
            for server, budget in self._budgets.items()
            if budget.take(now)
        ]
        self.sent += len(due)
        return due


class Prober:
    """Sends probes and reports changes in their results.

    Parameters
    ----------
    on_change : callable
        Called with each result that differs from the previous one of the same
        backend server.
    """

    def __init__(self, on_change: Callable[[ServerUpdate], None]) -> None:
        self._on_change = on_change
        self._scheduler = ProbeScheduler(MemberId(''), PROBE_COST_S)
        self._addresses: dict[ServerId, str] = {}
        self._last_updates: dict[ServerId, ServerUpdate] = {}

    def assign(
        self,
        member: MemberId,
        roster: Roster,
        control: ControlState,
        fence_at: float | None,
        now: float,
    ) -> None:
        """Set the probed servers to those the roster assigns to this member."""
        self._scheduler.member = member
        servers = control.vm_list.servers
        self._addresses = {each.server: each.address for each in servers}
        shares = control.config.find_probe_shares()
        self._scheduler.assign(roster, servers, shares, fence_at, now)

    @property
    def sent(self) -> int:
        """Number of probes sent since the process started."""
        return self._scheduler.sent

    def set_dispatch_lease(self, until: float) -> None:
        """Set the expiry of the dispatch lease, which also limits probing."""
        self._scheduler.dispatch_lease_until = until

    async def run(self) -> None:
        """Send probes within the budgets until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                for server in self._scheduler.choose(read_clock()):
                    group.start_soon(self._probe, server)
                await anyio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, server: ServerId) -> None:
        report = await _read_load(self._addresses[server])
        if report is None or not report.start:
            return
        update = ServerUpdate(server, report.start, report.leaving)
        if self._last_updates.get(server) != update:
            self._last_updates[server] = update
            self._on_change(update)


async def _read_load(address: str) -> LoadReport | None:
    """Return a server's load report, or None if it sends none in time."""
    try:
        with anyio.fail_after(PROBE_TIMEOUT_S):
            async with httpcore.AsyncConnectionPool() as pool:
                url = f'http://{address}{PROBE_PATH}'
                response = await pool.request('GET', url)
    except (httpcore.NetworkError, httpcore.ProtocolError, TimeoutError):
        return None
    for name, text in response.headers:
        if name.lower() == LOAD_HEADER:
            return parse_load(text.decode('latin-1'))
    return None
