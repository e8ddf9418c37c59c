"""Routing of claims to the cell's writer, and failures of the writer."""

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
from ibisplank.request import AlreadyClaimed, Claims, ClaimState, ClaimWriter
from ibisplank.version import Member, Roster
from tests.faults import FaultyTable

MEMBERS = tuple(MemberId(f'm{number}') for number in range(3))
CUSTOMER = CustomerId('c')
REQUEST_ID = RequestId('r')
TIMEOUT_S = 0.02


class FakeNetwork:
    """Delivers messages between routers.

    `losses` states for each message in turn whether it is lost; those after
    the last are delivered.
    """

    def __init__(self, losses: list[bool]) -> None:
        self.losses = losses
        self.routers: dict[MemberId, ClaimRouter] = {}
        self.sent = 0

    def deliver(self, sender: MemberId, member: MemberId, message: Any) -> None:
        self.sent += 1
        if not (self.losses and self.losses.pop(0)):
            self.routers[member].receive(sender, message)


class FakeLinks:
    """Connections of one member on the fake network."""

    def __init__(self, network: FakeNetwork, member: MemberId) -> None:
        self._network = network
        self._member = member
        self.connected = [each for each in MEMBERS if each != member]

    def send(self, member: MemberId, message: Message) -> None:
        self._network.deliver(self._member, member, message)


def run_cell(
    table: FaultyTable,
    check: Callable[[list[Claims]], Awaitable[None]],
    losses: list[bool] | None = None,
) -> FakeNetwork:
    """Run a check on the claims of each member of a cell."""
    network = FakeNetwork(losses or [])
    roster = Roster(
        1,
        tuple(Member(n, VmId(n), ZoneId('z'), '', '') for n in MEMBERS),
    )

    async def run() -> None:
        all_claims: list[Claims] = []
        async with anyio.create_task_group() as group:
            for name in MEMBERS:
                writer = ClaimWriter(table, lambda: 100.0)
                links: Any = FakeLinks(network, name)
                router = ClaimRouter(name, writer, links, TIMEOUT_S)
                router.update_roster(roster)
                router.set_task_group(group)
                network.routers[name] = router
                group.start_soon(writer.run)
                all_claims.append(Claims(router, CellId('c'), lambda: 100.0))
            await check(all_claims)
            group.cancel_scope.cancel()

    anyio.run(run)
    return network


def test_claims_of_all_members_are_written_in_shared_batches() -> None:
    table = FaultyTable([])

    async def check(all_claims: list[Claims]) -> None:
        async with anyio.create_task_group() as group:
            for number in range(45):
                claims = all_claims[number % len(all_claims)]
                request_id = RequestId(str(number))
                group.start_soon(claims.claim, CUSTOMER, request_id, Token('t'))

    network = run_cell(table, check)
    assert network.sent == 60
    assert table.commits <= 3


def test_failures_at_the_writer_are_raised_at_the_requesting_member() -> None:
    async def check(all_claims: list[Claims]) -> None:
        for claims in all_claims:
            await claims.claim(CUSTOMER, RequestId(str(claims)), Token('1'))
        await all_claims[0].claim(CUSTOMER, REQUEST_ID, Token('1'))
        for claims in all_claims:
            with pytest.raises(AlreadyClaimed) as resent:
                await claims.claim(CUSTOMER, REQUEST_ID, Token('2'))
            assert resent.value.record.state is ClaimState.CLAIMED
            other = claims.make_not_run(Token('2'))
            assert not await claims.record(CUSTOMER, REQUEST_ID, other)
        done = all_claims[1].make_outcome(Token('1'), 200, (), b'done')
        assert await all_claims[1].record(CUSTOMER, REQUEST_ID, done)
        with pytest.raises(AlreadyClaimed) as late:
            await all_claims[2].claim(CUSTOMER, REQUEST_ID, Token('3'))
        assert late.value.record.body == b'done'

    run_cell(FaultyTable([]), check)


def test_a_member_writes_to_the_table_if_the_writer_does_not_reply() -> None:
    table = FaultyTable([])

    async def check(all_claims: list[Claims]) -> None:
        for number, claims in enumerate(all_claims):
            request_id = RequestId(str(number))
            await claims.claim(CUSTOMER, request_id, Token('1'))

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
def test_at_most_one_claim_of_a_request_id_succeeds(
    faults: list[str],
    losses: list[bool],
    claimers: list[int],
) -> None:
    winners: list[str] = []

    async def check(all_claims: list[Claims]) -> None:
        async def claim(number: int) -> None:
            claims = all_claims[claimers[number]]
            try:
                await claims.claim(CUSTOMER, REQUEST_ID, Token(f't{number}'))
            except (AlreadyClaimed, StoreDown):
                return
            winners.append(f't{number}')

        async with anyio.create_task_group() as group:
            for number in range(len(claimers)):
                group.start_soon(claim, number)

    run_cell(FaultyTable(list(faults)), check, list(losses))
    assert len(winners) <= 1
