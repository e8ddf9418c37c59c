"""Probes of backend servers, within the agreed budget."""

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
from ibisplank.process.daemons._clock import read_clock
from ibisplank.process.knowledge._known import Known
from ibisplank.version import (
    DISPATCH_LEASE_S,
    Roster,
    Server,
    SlotId,
    find_holder,
)

#: Probes that may be saved up.
MAX_SAVED = 1.0
#: Time that one probe takes of a backend server.
PROBE_COST_S = 0.006
PROBE_TICK_S = 0.1
PROBE_TIMEOUT_S = 1.0
PROBE_PATH = '/load'
#: Stands for the prober's duty in the rendezvous hash.
PROBE_INDEX = -1


@dataclass(slots=True)
class ProbeBudget:
    """Time that probes of one backend server may take.

    A new holder starts with nothing saved, and only when no earlier one can
    act any more, so that a change of holder never adds to the budget.

    Attributes
    ----------
    share : float
        Share of one slot's time.
    cost_s : float
        Time that one probe takes of the server, in seconds.
    sure : bool
        Whether no earlier holder can act any more.
    """

    share: float
    cost_s: float
    filled_at: float
    sure: bool = True
    saved: float = 0.0

    def spend(self, now: float) -> bool:
        """Take one probe's cost, if it has been saved."""
        if not self.sure or now < self.filled_at:
            return False
        earned = (now - self.filled_at) * self.share / self.cost_s
        self.filled_at = now
        self.saved = min(MAX_SAVED, self.saved + earned)
        if self.saved < 1:
            return False
        self.saved -= 1
        return True


class Probes:
    """Budgets of the backend servers that this member probes.

    Parameters
    ----------
    cost_s : float
        Time that one probe takes of a server, in seconds.
    """

    def __init__(self, member: MemberId, cost_s: float) -> None:
        self.sent = 0
        self.rights_until = 0.0
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
        """Take over the servers that the roster gives this member.

        Parameters
        ----------
        fence_at : float or None
            Time since when no past member can renew its rights.
        shares : dict
            Share of one slot's time that probes may cost, by service.
        """
        budgets: dict[ServerId, ProbeBudget] = {}
        for server in servers:
            share = shares.get(server.service, 0.0)
            slot = SlotId(server.server, PROBE_INDEX)
            if not share or find_holder(slot, roster.ids) != self.member:
                continue
            kept = self._budgets.get(server.server)
            if kept is None:
                kept = ProbeBudget(share, self._cost_s, now, sure=False)
            kept.share = share
            if not kept.sure and fence_at is not None:
                kept.sure = True
                kept.filled_at = max(now, fence_at + DISPATCH_LEASE_S)
            budgets[server.server] = kept
        self._budgets = budgets

    def choose(self, now: float) -> list[ServerId]:
        """Return the servers to probe now; counts them as probed."""
        if now >= self.rights_until:
            return []
        due = [
            server
            for server, budget in self._budgets.items()
            if budget.spend(now)
        ]
        self.sent += len(due)
        return due


class Prober:
    """Sends probes and tells what has changed.

    Parameters
    ----------
    tell : callable
        Called when a backend server's run or state is another than before.
    """

    def __init__(self, tell: Callable[[ServerUpdate], None]) -> None:
        self._tell = tell
        self._probes = Probes(MemberId(''), PROBE_COST_S)
        self._addresses: dict[ServerId, str] = {}
        self._last: dict[ServerId, ServerUpdate] = {}

    def assign(
        self,
        member: MemberId,
        roster: Roster,
        known: Known,
        fence_at: float | None,
        now: float,
    ) -> None:
        """Take over the servers that the roster gives this member."""
        self._probes.member = member
        servers = known.listing.servers
        self._addresses = {each.server: each.address for each in servers}
        shares = known.config.find_probe_shares()
        self._probes.assign(roster, servers, shares, fence_at, now)

    @property
    def sent(self) -> int:
        """Probes sent since the start."""
        return self._probes.sent

    def extend_rights(self, until: float) -> None:
        """Take in the time until which the roster is confirmed."""
        self._probes.rights_until = until

    async def run(self) -> None:
        """Probe within the budget, for ever."""
        async with anyio.create_task_group() as group:
            while True:
                for server in self._probes.choose(read_clock()):
                    group.start_soon(self._probe, server)
                await anyio.sleep(PROBE_TICK_S)

    async def _probe(self, server: ServerId) -> None:
        report = await _read_load(self._addresses[server])
        if report is None or not report.start:
            return
        news = ServerUpdate(server, report.start, report.leaving)
        if self._last.get(server) != news:
            self._last[server] = news
            self._tell(news)


async def _read_load(address: str) -> LoadReport | None:
    """Return a server's load report, None where it sends none in time."""
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
