"""Claims of a whole cell through one writer, and without it."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from ibisplank.connection import Message
from ibisplank.errors import StoreDown
from ibisplank.ids import (
    CellId,
    CustomerId,
    MemberId,
    RequestId,
    Token,
    VmId,
    ZoneId,
)
from ibisplank.process import ClaimRouter
from ibisplank.request import Claims, ClaimState, ClaimWriter, Resent
from ibisplank.version import Member, Roster
from tests.faults import FaultyTable

MEMBERS = tuple(MemberId(f'm{number}') for number in range(3))
CUSTOMER = CustomerId('c')
NAME = RequestId('r')
WAIT_S = 0.02


class Wire:
    """Carries messages between desks; loses those it is told to."""

    def __init__(self, losses: list[bool]) -> None:
        self.losses = losses
        self.routers: dict[MemberId, ClaimRouter] = {}
        self.carried = 0

    def carry(self, sender: MemberId, member: MemberId, message: Any) -> None:
        self.carried += 1
        if not (self.losses and self.losses.pop(0)):
            self.routers[member].receive(sender, message)


class WireLinks:
    """One member's end of the wire."""

    def __init__(self, wire: Wire, member: MemberId) -> None:
        self._wire = wire
        self._member = member
        self.connected = [each for each in MEMBERS if each != member]

    def send(self, member: MemberId, message: Message) -> None:
        self._wire.carry(self._member, member, message)


def run_cell(
    table: FaultyTable,
    check: Callable[[list[Claims]], Awaitable[None]],
    losses: list[bool] | None = None,
) -> Wire:
    """Run a check with the claims of each member of a cell."""
    wire = Wire(losses or [])
    roster = Roster(
        1,
        tuple(Member(n, VmId(n), ZoneId('z'), '', '') for n in MEMBERS),
    )

    async def act() -> None:
        everyone: list[Claims] = []
        async with anyio.create_task_group() as group:
            for name in MEMBERS:
                writer = ClaimWriter(table, lambda: 100.0)
                links: Any = WireLinks(wire, name)
                router = ClaimRouter(name, writer, links, WAIT_S)
                router.learn_roster(roster)
                router.set_task_group(group)
                wire.routers[name] = router
                group.start_soon(writer.run)
                everyone.append(Claims(router, CellId('c'), lambda: 100.0))
            await check(everyone)
            group.cancel_scope.cancel()

    anyio.run(act)
    return wire


def test_claims_of_all_members_share_writes() -> None:
    table = FaultyTable([])

    async def check(everyone: list[Claims]) -> None:
        async with anyio.create_task_group() as group:
            for number in range(45):
                claims = everyone[number % len(everyone)]
                name = RequestId(str(number))
                group.start_soon(claims.claim, CUSTOMER, name, Token('t'))

    wire = run_cell(table, check)
    assert wire.carried == 60
    assert table.commits <= 3


def test_what_the_writer_meets_is_told() -> None:
    async def check(everyone: list[Claims]) -> None:
        for claims in everyone:
            await claims.claim(CUSTOMER, RequestId(str(claims)), Token('1'))
        await everyone[0].claim(CUSTOMER, NAME, Token('1'))
        for claims in everyone:
            with pytest.raises(Resent) as resent:
                await claims.claim(CUSTOMER, NAME, Token('2'))
            assert resent.value.record.state is ClaimState.CLAIMED
            other = claims.make_not_run(Token('2'))
            assert not await claims.record(CUSTOMER, NAME, other)
        done = everyone[1].make_outcome(Token('1'), 200, (), b'done')
        assert await everyone[1].record(CUSTOMER, NAME, done)
        with pytest.raises(Resent) as late:
            await everyone[2].claim(CUSTOMER, NAME, Token('3'))
        assert late.value.record.body == b'done'

    run_cell(FaultyTable([]), check)


def test_a_member_writes_itself_where_the_writer_is_silent() -> None:
    table = FaultyTable([])

    async def check(everyone: list[Claims]) -> None:
        for number, claims in enumerate(everyone):
            name = RequestId(str(number))
            await claims.claim(CUSTOMER, name, Token('1'))

    run_cell(table, check, [True] * 10)
    assert table.commits == len(MEMBERS)


@given(
    st.lists(
        st.sampled_from(('', 'lost before', 'lost after', 'late', 'down')),
        max_size=5,
    ),
    st.lists(st.booleans(), max_size=4),
    st.lists(st.integers(0, 2), min_size=1, max_size=4),
)
@example([], [True, True], [0, 1])
@example([], [True, True], [1, 2])
@example([], [True, True], [0, 2])
def test_one_claimer_of_the_cell_wins(
    faults: list[str],
    losses: list[bool],
    rivals: list[int],
) -> None:
    winners: list[str] = []

    async def check(everyone: list[Claims]) -> None:
        async def claim(number: int) -> None:
            claims = everyone[rivals[number]]
            try:
                await claims.claim(CUSTOMER, NAME, Token(f't{number}'))
            except (Resent, StoreDown):
                return
            winners.append(f't{number}')

        async with anyio.create_task_group() as group:
            for number in range(len(rivals)):
                group.start_soon(claim, number)

    run_cell(FaultyTable(list(faults)), check, list(losses))
    assert len(winners) <= 1
