"""Attempts of one call: retries, trials, and what a refusal says."""

from types import SimpleNamespace
from typing import Any

import anyio
import msgspec
import pytest

from ibisplank.connection import Answer, Exchange
from ibisplank.errors import (
    ConnectFailed,
    Refused,
    SilentConnection,
    TornAnswer,
)
from ibisplank.ids import (
    LoanId,
    MemberId,
    RunStatus,
    ServerId,
    ServiceId,
    VmId,
    ZoneId,
)
from ibisplank.process import (
    AttemptRunner,
    Lease,
    Metrics,
    Servers,
    SharedSuspects,
    SlotDemand,
)
from ibisplank.request import Verdict, parse_call
from ibisplank.version import Server
from tests.test_call import index_contracts, make_scope

SERVER = ServerId('b')
OTHER_SERVER = ServerId('c')
TORN = TornAnswer('cut')
CONNECT_REFUSED = ConnectFailed('refused')
SILENT = SilentConnection('no first byte in time')
COMPLETE = Answer(200, [], b'full')
MISMATCHED = Answer(200, [(b'Ibisplank-Attempt', b'not-this')], b'full')


class FakeAllocator:
    """Allocator with a limited number of leases."""

    def __init__(self, count: int) -> None:
        self.left = count
        self.demands: list[SlotDemand] = []
        self.delayed = 0
        servers = Servers(MemberId('m'))
        servers.update((make_server(SERVER), make_server(OTHER_SERVER)))
        servers.block({OTHER_SERVER})
        self.scheduler = SimpleNamespace(
            servers=servers,
            may_send=lambda lease, now: True,
        )

    async def acquire(self, demand: SlotDemand) -> Lease | None:
        self.demands.append(demand)
        self.left -= 1
        if self.left < 0:
            return None
        return Lease(LoanId('l'), MemberId('m'), SERVER, 0, demand.deadline)

    def release(self, lease: Lease, report: object) -> None:
        """Accept a released slot."""

    def release_later(self, lease: Lease, report: object) -> None:
        self.delayed += 1


class FakePool:
    """Connection pool that returns or raises given outcomes in turn."""

    def __init__(
        self,
        outcomes: list[Answer | Exception],
        *,
        alive: bool = True,
    ) -> None:
        self.outcomes = outcomes
        self.alive = alive
        self.sent = 0
        self.proven: list[bool] = []
        self.fresh: list[bool] = []

    async def exchange(self, exchange: Exchange) -> Answer:
        self.sent += 1
        self.proven.append(exchange.proven or exchange.fresh)
        self.fresh.append(exchange.fresh)
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    async def can_connect(self) -> bool:
        return self.alive


def make_server(name: ServerId) -> Server:
    zone = ZoneId('z')
    return Server(name, VmId('v'), zone, ServiceId('s'), '127.0.0.1:1', 2)


def make_suspects() -> SharedSuspects:
    links: Any = SimpleNamespace(
        connected=[],
        send=lambda member, message: None,
        send_all=lambda message: None,
    )
    return SharedSuspects(links, lambda: 0.0)


def make_runner(
    slots: int, suspects: SharedSuspects | None = None
) -> AttemptRunner:
    fake: Any = FakeAllocator(slots)
    return AttemptRunner(
        fake,
        make_suspects() if suspects is None else suspects,
        Metrics(),
        lambda: 0.0,
    )


def run(
    method: str,
    slots: int,
    outcomes: list[Answer | Exception],
) -> tuple[Answer, int]:
    async def act() -> tuple[Answer, int]:
        runner = make_runner(slots)
        pool: Any = FakePool(outcomes)
        runner.pools[SERVER] = pool
        _, call = parse_call(index_contracts(), make_scope(method=method), 0.0)
        return await runner.run(call, b'', 'digest'), pool.sent

    return anyio.run(act)


@pytest.mark.parametrize(
    ('method', 'slots', 'outcomes', 'ran'),
    [
        ('GET', 0, [], RunStatus.NOT_RUN),
        ('GET', 1, [TORN], RunStatus.UNKNOWN),
        ('GET', 2, [TORN, CONNECT_REFUSED], RunStatus.UNKNOWN),
        ('GET', 2, [CONNECT_REFUSED, CONNECT_REFUSED], RunStatus.NOT_RUN),
        ('POST', 9, [TORN], RunStatus.UNKNOWN),
        ('POST', 9, [MISMATCHED], RunStatus.UNKNOWN),
        ('POST', 1, [CONNECT_REFUSED], RunStatus.NOT_RUN),
    ],
)
def test_refusal_says_not_run_only_if_no_attempt_can_have_run(
    method: str,
    slots: int,
    outcomes: list[Answer | Exception],
    ran: RunStatus,
) -> None:
    with pytest.raises(Refused) as refused:
        run(method, slots, list(outcomes))
    assert refused.value.ran is ran


def test_server_with_a_new_address_gets_a_new_pool() -> None:
    runner = make_runner(0)
    old = make_server(SERVER)
    runner.update_servers((old,))
    first = runner.pools[SERVER]
    runner.update_servers((old,))
    assert runner.pools[SERVER] is first
    moved = msgspec.structs.replace(old, address='127.0.0.1:2')
    runner.update_servers((moved,))
    assert runner.pools[SERVER].address == '127.0.0.1:2'
    runner.update_servers(())
    assert not runner.pools


@pytest.mark.parametrize(
    ('method', 'outcomes', 'sent'),
    [
        ('GET', [TORN, MISMATCHED, CONNECT_REFUSED, COMPLETE], 4),
        ('POST', [CONNECT_REFUSED, COMPLETE], 2),
    ],
)
def test_retry_can_succeed(
    method: str,
    outcomes: list[Answer | Exception],
    sent: int,
) -> None:
    answer, count = run(method, 9, list(outcomes))
    assert answer.body == b'full'
    assert count == sent


def run_suspect(
    suspects: SharedSuspects,
    outcomes: list[Answer | Exception],
    *,
    alive: bool,
) -> list[ServerId]:
    """Run a call; return the server that each attempt was limited to."""

    async def act() -> list[ServerId]:
        runner = make_runner(9, suspects)
        allocator: Any = runner._allocator
        pool: Any = FakePool(outcomes, alive=alive)
        runner.pools[SERVER] = pool
        _, call = parse_call(index_contracts(), make_scope(method='GET'), 0.0)
        try:
            await runner.run(call, b'', 'digest')
        except Refused as refused:
            assert refused.ran is RunStatus.UNKNOWN
        return [demand.constraint.only for demand in allocator.demands]

    return anyio.run(act)


def test_server_death_during_a_trial_ends_the_attempts() -> None:
    suspects = make_suspects()
    tried = run_suspect(suspects, [TORN, TORN, COMPLETE], alive=False)
    assert tried == ['', SERVER]
    assert suspects.judge('digest') is Verdict.REFUSED


def test_successful_trial_clears_the_suspect() -> None:
    suspects = make_suspects()
    tried = run_suspect(suspects, [TORN, COMPLETE], alive=False)
    assert tried == ['', SERVER]
    assert suspects.judge('digest') is Verdict.CLEAR


def test_request_that_becomes_suspect_while_waiting_runs_as_a_trial() -> None:
    suspects = make_suspects()

    async def act() -> list[ServerId]:
        runner = make_runner(9, suspects)
        allocator: Any = runner._allocator
        pool: Any = FakePool([COMPLETE])
        runner.pools[SERVER] = pool
        acquire = allocator.acquire

        async def wait(demand: SlotDemand) -> Lease | None:
            if not allocator.demands:
                await suspects.report_death('digest', OTHER_SERVER, trial=False)
            lease: Lease | None = await acquire(demand)
            return lease

        allocator.acquire = wait
        _, call = parse_call(index_contracts(), make_scope(method='GET'), 0.0)
        await runner.run(call, b'', 'digest')
        assert pool.sent == 1
        return [demand.constraint.only for demand in allocator.demands]

    assert anyio.run(act) == ['', SERVER]


def run_on_fake_pool(
    method: str,
    outcomes: list[Answer | Exception],
) -> FakePool:
    """Run a call; return its pool, with a record of the exchanges."""
    fake = FakePool(list(outcomes))

    async def act() -> None:
        runner = make_runner(9)
        pool: Any = fake
        runner.pools[SERVER] = pool
        _, call = parse_call(index_contracts(), make_scope(method=method), 0.0)
        await runner.run(call, b'', 'digest')

    anyio.run(act)
    return fake


@pytest.mark.parametrize(
    ('method', 'outcomes', 'proven'),
    [
        ('GET', [TORN, MISMATCHED, COMPLETE], [False, True, True]),
        ('GET', [CONNECT_REFUSED, COMPLETE], [False, False]),
        ('POST', [CONNECT_REFUSED, COMPLETE], [True, True]),
    ],
)
def test_retry_uses_a_proven_connection(
    method: str,
    outcomes: list[Answer | Exception],
    proven: list[bool],
) -> None:
    assert run_on_fake_pool(method, outcomes).proven == proven


@pytest.mark.parametrize(
    ('outcomes', 'fresh'),
    [
        ([SILENT, COMPLETE], [False, True]),
        ([SILENT, TORN, COMPLETE], [False, True, True]),
        ([CONNECT_REFUSED, COMPLETE], [False, False]),
    ],
)
def test_retry_after_silence_uses_a_new_connection(
    outcomes: list[Answer | Exception],
    fresh: list[bool],
) -> None:
    """Guards against retries on connections silenced by the same fault."""
    assert run_on_fake_pool('GET', outcomes).fresh == fresh
