"""Attempts of one call: what a refusal says is true of all of them."""

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
    Ran,
    ServerId,
    ServiceId,
    VmId,
    ZoneId,
)
from ibisplank.process import (
    Attempts,
    Lease,
    Metrics,
    Need,
    Servers,
    SharedSuspects,
)
from ibisplank.request import Verdict, parse_call
from ibisplank.version import Server
from tests.test_call import index, make_scope

SERVER = ServerId('b')
OTHER_SERVER = ServerId('c')
TORN = TornAnswer('cut')
REFUSED = ConnectFailed('refused')
SILENT = SilentConnection('no first byte in time')
WHOLE = Answer(200, [], b'full')
OTHER = Answer(200, [(b'Ibisplank-Attempt', b'not-this')], b'full')


class FakeSlots:
    """Gives out so many slots."""

    def __init__(self, count: int) -> None:
        self.left = count
        self.needs: list[Need] = []
        self.rested = 0
        servers = Servers(MemberId('m'))
        servers.learn((make_server(SERVER), make_server(OTHER_SERVER)))
        servers.block({OTHER_SERVER})
        self.ledger = SimpleNamespace(
            servers=servers,
            may_send=lambda lease, now: True,
        )

    async def acquire(self, need: Need) -> Lease | None:
        self.needs.append(need)
        self.left -= 1
        if self.left < 0:
            return None
        return Lease(LoanId('l'), MemberId('m'), SERVER, 0, need.deadline)

    def finish(self, lease: Lease, report: object) -> None:
        """Take a slot back."""

    def rest(self, lease: Lease, report: object) -> None:
        self.rested += 1


class FakeRoute:
    """Answers what it is told to, in turn."""

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

    async def is_open(self) -> bool:
        return self.alive


def make_server(name: ServerId) -> Server:
    zone = ZoneId('z')
    return Server(name, VmId('v'), zone, ServiceId('s'), '127.0.0.1:1', 2)


def make_deaths() -> SharedSuspects:
    links: Any = SimpleNamespace(
        connected=[],
        send=lambda member, message: None,
        send_all=lambda message: None,
    )
    return SharedSuspects(links, lambda: 0.0)


def make_attempts(slots: int, deaths: SharedSuspects | None = None) -> Attempts:
    fake: Any = FakeSlots(slots)
    return Attempts(
        fake,
        make_deaths() if deaths is None else deaths,
        Metrics(),
        lambda: 0.0,
    )


def run(
    method: str,
    slots: int,
    outcomes: list[Answer | Exception],
) -> tuple[Answer, int]:
    async def act() -> tuple[Answer, int]:
        attempts = make_attempts(slots)
        route: Any = FakeRoute(outcomes)
        attempts.routes[SERVER] = route
        _, call = parse_call(index(), make_scope(method=method), 0.0)
        return await attempts.run(call, b'', 'digest'), route.sent

    return anyio.run(act)


@pytest.mark.parametrize(
    ('method', 'slots', 'outcomes', 'ran'),
    [
        ('GET', 0, [], Ran.NOT_RUN),
        ('GET', 1, [TORN], Ran.UNKNOWN),
        ('GET', 2, [TORN, REFUSED], Ran.UNKNOWN),
        ('GET', 2, [REFUSED, REFUSED], Ran.NOT_RUN),
        ('POST', 9, [TORN], Ran.UNKNOWN),
        ('POST', 9, [OTHER], Ran.UNKNOWN),
        ('POST', 1, [REFUSED], Ran.NOT_RUN),
    ],
)
def test_not_run_is_said_only_of_calls_that_did_not_run(
    method: str,
    slots: int,
    outcomes: list[Answer | Exception],
    ran: Ran,
) -> None:
    with pytest.raises(Refused) as refused:
        run(method, slots, list(outcomes))
    assert refused.value.ran is ran


def test_a_server_that_moved_gets_a_new_route() -> None:
    attempts = make_attempts(0)
    old = make_server(SERVER)
    attempts.learn_servers((old,))
    first = attempts.routes[SERVER]
    attempts.learn_servers((old,))
    assert attempts.routes[SERVER] is first
    moved = msgspec.structs.replace(old, address='127.0.0.1:2')
    attempts.learn_servers((moved,))
    assert attempts.routes[SERVER].address == '127.0.0.1:2'
    attempts.learn_servers(())
    assert not attempts.routes


@pytest.mark.parametrize(
    ('method', 'outcomes', 'sent'),
    [
        ('GET', [TORN, OTHER, REFUSED, WHOLE], 4),
        ('POST', [REFUSED, WHOLE], 2),
    ],
)
def test_a_later_attempt_can_answer(
    method: str,
    outcomes: list[Answer | Exception],
    sent: int,
) -> None:
    answer, count = run(method, 9, list(outcomes))
    assert answer.body == b'full'
    assert count == sent


def run_suspect(
    deaths: SharedSuspects,
    outcomes: list[Answer | Exception],
    *,
    alive: bool,
) -> list[ServerId]:
    """Run a call; return the server that each attempt was bound to."""

    async def act() -> list[ServerId]:
        attempts = make_attempts(9, deaths)
        slots: Any = attempts._slots
        route: Any = FakeRoute(outcomes, alive=alive)
        attempts.routes[SERVER] = route
        _, call = parse_call(index(), make_scope(method='GET'), 0.0)
        try:
            await attempts.run(call, b'', 'digest')
        except Refused as refused:
            assert refused.ran is Ran.UNKNOWN
        return [need.choice.only for need in slots.needs]

    return anyio.run(act)


def test_a_suspect_has_a_trial_and_a_death_of_it_ends_its_attempts() -> None:
    deaths = make_deaths()
    tried = run_suspect(deaths, [TORN, TORN, WHOLE], alive=False)
    assert tried == ['', SERVER]
    assert deaths.judge('digest') is Verdict.REFUSED


def test_a_trial_that_is_answered_clears_the_suspect() -> None:
    deaths = make_deaths()
    tried = run_suspect(deaths, [TORN, WHOLE], alive=False)
    assert tried == ['', SERVER]
    assert deaths.judge('digest') is Verdict.CLEAR


def test_a_call_that_turned_suspect_while_it_waited_runs_as_a_trial() -> None:
    deaths = make_deaths()

    async def act() -> list[ServerId]:
        attempts = make_attempts(9, deaths)
        slots: Any = attempts._slots
        route: Any = FakeRoute([WHOLE])
        attempts.routes[SERVER] = route
        acquire = slots.acquire

        async def wait(need: Need) -> Lease | None:
            if not slots.needs:
                await deaths.report_death('digest', OTHER_SERVER, trial=False)
            lease: Lease | None = await acquire(need)
            return lease

        slots.acquire = wait
        _, call = parse_call(index(), make_scope(method='GET'), 0.0)
        await attempts.run(call, b'', 'digest')
        assert route.sent == 1
        return [need.choice.only for need in slots.needs]

    assert anyio.run(act) == ['', SERVER]


def run_on_fake(
    method: str,
    outcomes: list[Answer | Exception],
) -> FakeRoute:
    """Return the route after one call, with what it was sent on."""
    fake = FakeRoute(list(outcomes))

    async def act() -> None:
        attempts = make_attempts(9)
        route: Any = fake
        attempts.routes[SERVER] = route
        _, call = parse_call(index(), make_scope(method=method), 0.0)
        await attempts.run(call, b'', 'digest')

    anyio.run(act)
    return fake


@pytest.mark.parametrize(
    ('method', 'outcomes', 'proven'),
    [
        ('GET', [TORN, OTHER, WHOLE], [False, True, True]),
        ('GET', [REFUSED, WHOLE], [False, False]),
        ('POST', [REFUSED, WHOLE], [True, True]),
    ],
)
def test_a_second_attempt_goes_on_a_proven_connection(
    method: str,
    outcomes: list[Answer | Exception],
    proven: list[bool],
) -> None:
    assert run_on_fake(method, outcomes).proven == proven


@pytest.mark.parametrize(
    ('outcomes', 'fresh'),
    [
        ([SILENT, WHOLE], [False, True]),
        ([SILENT, TORN, WHOLE], [False, True, True]),
        ([REFUSED, WHOLE], [False, False]),
    ],
)
def test_a_call_is_repeated_on_a_new_connection(
    outcomes: list[Answer | Exception],
    fresh: list[bool],
) -> None:
    """Connections that fell silent together cost a read one repeat."""
    assert run_on_fake('GET', outcomes).fresh == fresh
