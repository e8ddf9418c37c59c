"""Claims of request ids and their outcomes, with faults of the table."""

from collections.abc import Callable

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibisplank.errors import (
    StoreDown,
)
from ibisplank.ids import CellId, CustomerId, RequestId, Token
from ibisplank.request import (
    AlreadyClaimed,
    Claims,
    ClaimState,
    ClaimWriter,
    make_prefix,
)
from ibisplank.store import (
    MemoryTable,
    Table,
)
from tests.faults import FaultyTable

CELL = CellId('c')
PREFIX = make_prefix(CELL)


async def with_claims(
    table: Table,
    check: Callable[[Claims], object],
    batch: int = 50,
) -> None:
    writer = ClaimWriter(table, lambda: 100.0, batch)
    claims = Claims(writer, CELL, lambda: 100.0)
    async with anyio.create_task_group() as group:
        group.start_soon(writer.run)
        with anyio.fail_after(10):
            await check(claims)  # type: ignore[misc]
        group.cancel_scope.cancel()


@given(
    st.lists(
        st.sampled_from(('', 'lost before', 'lost after', 'late', 'down')),
        max_size=5,
    ),
    st.integers(1, 4),
)
def test_at_most_one_attempt_claims_an_id_under_faults(
    faults: list[str],
    rivals: int,
) -> None:
    async def check(claims: Claims) -> None:
        winners: list[str] = []

        async def claim(token: str) -> None:
            try:
                await claims.claim(
                    CustomerId('c'),
                    RequestId('r'),
                    Token(token),
                )
            except (AlreadyClaimed, StoreDown):
                return
            winners.append(token)

        for _ in range(2):
            async with anyio.create_task_group() as group:
                for number in range(rivals):
                    group.start_soon(claim, f't{len(winners)}-{number}')
        assert len(winners) <= 1
        if not faults:
            assert len(winners) == 1

    table = FaultyTable(list(faults))
    anyio.run(with_claims, table, check)


def test_repeated_claim_gets_the_recorded_outcome() -> None:
    async def check(claims: Claims) -> None:
        name = (CustomerId('c'), RequestId('r'))
        await claims.claim(*name, Token('1'))
        with pytest.raises(AlreadyClaimed) as early:
            await claims.claim(*name, Token('2'))
        assert early.value.record.state is ClaimState.CLAIMED
        record = claims.make_outcome(Token('1'), 200, (), b'done')
        assert await claims.record(*name, record)
        with pytest.raises(AlreadyClaimed) as late:
            await claims.claim(*name, Token('3'))
        assert late.value.record.body == b'done'

    anyio.run(with_claims, MemoryTable(), check)


def test_id_that_did_not_run_can_be_claimed_again() -> None:
    async def check(claims: Claims) -> None:
        name = (CustomerId('c'), RequestId('r'))
        await claims.claim(*name, Token('1'))
        assert await claims.record(*name, claims.make_not_run(Token('1')))
        await claims.claim(*name, Token('2'))
        stale = claims.make_not_run(Token('1'))
        assert not await claims.record(*name, stale)

    anyio.run(with_claims, MemoryTable(), check)


def test_claims_are_batched() -> None:
    table = FaultyTable([])

    async def check(claims: Claims) -> None:
        async with anyio.create_task_group() as group:
            for number in range(40):
                group.start_soon(
                    claims.claim,
                    CustomerId('c'),
                    RequestId(str(number)),
                    Token(str(number)),
                )

    anyio.run(with_claims, table, check)
    assert table.commits <= 3


def test_outcomes_are_batched() -> None:
    table = FaultyTable([])

    async def check(claims: Claims) -> None:
        names = [RequestId(str(number)) for number in range(40)]
        token = Token('t')
        async with anyio.create_task_group() as group:
            for name in names:
                group.start_soon(claims.claim, CustomerId('c'), name, token)
        table.commits = 0
        record = claims.make_outcome(token, 200, (), b'x')
        async with anyio.create_task_group() as group:
            for name in names:
                group.start_soon(claims.record, CustomerId('c'), name, record)
        for name in names:
            with pytest.raises(AlreadyClaimed) as repeated:
                await claims.claim(CustomerId('c'), name, Token('u'))
            assert repeated.value.record.body == b'x'

    anyio.run(with_claims, table, check)
    assert table.commits <= 3


def test_expired_claims_are_deleted_in_bounded_steps() -> None:
    async def run() -> None:
        table = MemoryTable()
        writer = ClaimWriter(table, lambda: 0.0)
        early = Claims(writer, CELL, lambda: 0.0)
        async with anyio.create_task_group() as group:
            group.start_soon(writer.run)
            for number in range(5):
                name = RequestId(str(number))
                await early.claim(CustomerId('c'), name, Token('t'))
            group.cancel_scope.cancel()
        late = ClaimWriter(table, lambda: 1e9)
        assert await late.clean(PREFIX, 3) == 3
        assert await late.clean(PREFIX, 3) == 2
        assert await late.clean(PREFIX, 3) == 0

    anyio.run(run)


def test_cleaning_finds_expired_claims_after_live_ones() -> None:
    async def run() -> None:
        table = MemoryTable()
        for number, now in enumerate((1e9, 1e9, 1e9, 0.0)):
            writer = ClaimWriter(table, lambda at=now: at)  # type: ignore[misc]
            claims = Claims(writer, CELL, lambda at=now: at)  # type: ignore[misc]
            async with anyio.create_task_group() as group:
                group.start_soon(writer.run)
                name = RequestId(str(number))
                await claims.claim(CustomerId('c'), name, Token('t'))
                group.cancel_scope.cancel()
        cleaner = ClaimWriter(table, lambda: 1e9)
        assert await cleaner.clean(PREFIX, 2) == 0
        assert await cleaner.clean(PREFIX, 2) == 1

    anyio.run(run)


def test_late_claim_does_not_block_an_id_that_did_not_run() -> None:
    async def check(claims: Claims) -> None:
        name = (CustomerId('c'), RequestId('r'))
        with pytest.raises(StoreDown):
            await claims.claim(*name, Token('1'))
        assert await claims.record(*name, claims.make_not_run(Token('1')))
        table.release_held()
        await claims.claim(*name, Token('2'))

    table = FaultyTable(['held', 'down'])
    anyio.run(with_claims, table, check)
