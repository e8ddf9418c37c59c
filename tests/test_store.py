"""Tables, the configuration log and the roster in the platform's store."""

import anyio
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibisplank.errors import (
    EditConflict,
    OutcomeUnknown,
    StoreDown,
    WriteConflict,
)
from ibisplank.ids import CellId, Token, VmId, ZoneId
from ibisplank.standin import PlatformFaults
from ibisplank.store import (
    ConfigStore,
    HttpPlatform,
    MemoryObjectStore,
    MemoryTable,
    RosterStore,
    Row,
    Table,
    Transaction,
)
from ibisplank.version import (
    ConfigState,
    Member,
    Roster,
    VmStatusEdit,
    ZoneStatusEdit,
    change_roster,
)
from tests.faults import FaultyTable
from tests.serving import serving_platform

CELL = CellId('c')


async def check_table(table: Table) -> None:
    """Check the behaviour that every `Table` must have."""
    write = Transaction({'a': 0, 'b': 0}, {'a': b'1', 'b': b'2'})
    await table.commit(write)
    rows = await table.read(['a', 'b', 'none'])
    assert (rows['a'].body, rows['b'].body) == (b'1', b'2')
    assert rows['none'] == Row()
    with pytest.raises(WriteConflict) as conflict:
        await table.commit(Transaction({'a': 0}, {'a': b'x', 'b': b'x'}))
    assert conflict.value.keys == ('a',)
    assert (await table.read(['b']))['b'].body == b'2'
    version = rows['a'].version
    await table.commit(Transaction({'a': version}, {'a': b'3'}))
    assert (await table.read(['a']))['a'].version > version
    assert list(await table.scan('', 1)) == ['a']
    assert list(await table.scan('', 9, 'a')) == ['b']
    await table.commit(Transaction({}, {'a': None}))
    assert (await table.read(['a']))['a'] == Row()


def test_memory_table_conforms() -> None:
    anyio.run(check_table, MemoryTable())


def test_http_table_conforms() -> None:
    async def run() -> None:
        async with serving_platform() as (address, _):
            await check_table(HttpPlatform(address))

    anyio.run(run)


def test_http_platform_raises_on_faults() -> None:
    async def run() -> None:
        async with serving_platform() as (address, standin):
            table = HttpPlatform(address)
            standin.faults = PlatformFaults(lose_answers=1)
            with pytest.raises(OutcomeUnknown):
                await table.commit(Transaction({}, {'a': b'1'}))
            assert (await table.read(['a']))['a'].body == b'1'
            standin.faults = PlatformFaults(down=True)
            with pytest.raises(StoreDown):
                await table.commit(Transaction({}, {'a': b'2'}))
            with pytest.raises(StoreDown):
                await table.read(['a'])
            standin.faults = PlatformFaults()
            assert (await table.read(['a']))['a'].body == b'1'
            assert await table.load('none') is None
            await table.save('blob', b'x')
            assert await table.load('blob') == b'x'

    anyio.run(run)


def make_store(table: Table) -> ConfigStore:
    return ConfigStore(table, MemoryObjectStore(), CELL, lambda: 0.0)


@given(
    st.lists(
        st.sampled_from(('', 'lost before', 'lost after', 'late', 'down')),
        max_size=6,
    ),
)
def test_an_edit_takes_effect_once_or_not_at_all(faults: list[str]) -> None:
    async def run() -> None:
        table = FaultyTable(list(faults))
        store = make_store(table)
        edit = ZoneStatusEdit(ZoneId('a'), out=True)
        accepted = False
        try:
            await store.edit(edit, None, 'op', Token('t'))
            accepted = True
        except StoreDown:
            pass
        table.faults = []
        state = await store.catch_up(ConfigState())
        assert state.revision == int(accepted)

    anyio.run(run)


def test_an_edit_of_a_stale_revision_conflicts() -> None:
    async def run() -> None:
        store = make_store(MemoryTable())
        out = VmStatusEdit(VmId('v'), out=True)
        back = VmStatusEdit(VmId('v'), out=False)
        await store.edit(out, 0, 'first', Token('1'))
        with pytest.raises(EditConflict, match='by first.*--replaces 1'):
            await store.edit(back, 0, 'second', Token('2'))
        await store.edit(back, 1, 'second', Token('3'))
        state = await store.catch_up(ConfigState())
        assert state.vms_out == frozenset()

    anyio.run(run)


def test_edits_of_different_targets_do_not_conflict() -> None:
    async def run() -> None:
        store = make_store(MemoryTable())
        async with anyio.create_task_group() as group:
            for number in range(5):
                edit = VmStatusEdit(VmId(f'v{number}'), out=True)
                token = Token(str(number))
                group.start_soon(store.edit, edit, 0, 'op', token)
        state = await store.catch_up(ConfigState())
        assert len(state.vms_out) == 5
        assert state.revision == 5

    anyio.run(run)


def test_a_snapshot_round_trips() -> None:
    async def run() -> None:
        store = make_store(MemoryTable())
        await store.edit(
            ZoneStatusEdit(ZoneId('a'), out=True), 0, 'op', Token('1')
        )
        state = await store.catch_up(ConfigState())
        await store.save_snapshot(state)
        assert await store.load_snapshot() == state

    anyio.run(run)


def test_a_roster_is_replaced_only_from_its_latest_epoch() -> None:
    async def run() -> None:
        store = RosterStore(MemoryTable(), CELL)
        old = await store.read()
        first = join(old, 'a')
        assert await store.replace(old, first)
        assert not await store.replace(old, join(old, 'b'))
        assert await store.replace(first, join(first, 'b'))
        assert len((await store.read()).members) == 2

    anyio.run(run)


def join(roster: Roster, name: str) -> Roster:
    member = Member(name, VmId(name), ZoneId('z'), '', '')  # type: ignore[arg-type]
    return change_roster(roster, (member,), frozenset(), frozenset())


def test_faults_are_decoded_from_json() -> None:
    faults = msgspec.json.decode(b'{"down": true}', type=PlatformFaults)
    assert faults.down
