"""Implementation of the commands that read and edit a cell."""

import getpass
import time
from collections.abc import Sequence

from ibisplank.errors import IbisplankError
from ibisplank.ids import CellId, CustomerId
from ibisplank.process import make_token
from ibisplank.store import ConfigStore, HttpPlatform, RosterStore
from ibisplank.version import (
    Change,
    ConfigState,
    ContractEdit,
    Edit,
    Roster,
    VmList,
    VmStatusEdit,
    ZoneStatusEdit,
    parse_contract,
)


class Console:
    """Reads and edits the configuration of one cell.

    Parameters
    ----------
    platform : str
        Address of the platform.
    """

    def __init__(self, platform: str, cell: CellId) -> None:
        self._platform = HttpPlatform(platform)
        self._store = ConfigStore(
            self._platform,
            self._platform,
            cell,
            time.time,
        )
        self._rosters = RosterStore(self._platform, cell)

    async def put_contract(
        self,
        document: str,
        replaces: int | None = None,
    ) -> Change:
        """Write a contract.

        Parameters
        ----------
        replaces : int or None
            Revision of the contract that this one replaces; None replaces
            the revision that is current when the operation starts.

        Raises
        ------
        SettingError
            The contract is invalid.
        EditConflict
            A newer revision exists, or there were too many concurrent edits.
        """
        contract = parse_contract(document)
        edit = ContractEdit(contract.customer, document, contract)
        return await self._edit(edit, replaces)

    async def set_service_state(
        self,
        edit: ZoneStatusEdit | VmStatusEdit,
        replaces: int | None = None,
    ) -> Change:
        """Take an availability zone or a VM out of service, or back in.

        Parameters
        ----------
        replaces : int or None
            Revision of the edit that this one replaces; None replaces the
            revision that is current when the operation starts.

        Raises
        ------
        EditConflict
            A newer revision exists, or there were too many concurrent edits.
        """
        return await self._edit(edit, replaces)

    async def read_config(self) -> ConfigState:
        """Return the configuration stored in the table."""
        return await self._store.catch_up(ConfigState())

    async def read_contract(
        self,
        customer: CustomerId,
    ) -> tuple[int, ContractEdit]:
        """Return a contract and the revision in which it was written.

        Raises
        ------
        IbisplankError
            The customer has no contract.
        """
        state = await self.read_config()
        edit = state.contracts.get(customer)
        if edit is None:
            raise IbisplankError(
                f'no contract of {customer}; see "contract list"',
            )
        return state.versions[f'contract/{customer}'], edit

    async def read_history(self) -> Sequence[Change]:
        """Return all changes, oldest first."""
        head = await self._store.read_head()
        changes: list[Change] = []
        while len(changes) < head:
            changes.extend(
                await self._store.read_changes(len(changes), head),
            )
        return changes

    async def read_roster(self) -> Roster:
        """Return the roster stored in the table."""
        return await self._rosters.read()

    async def read_vm_list(self) -> VmList:
        """Return the platform's list of VMs."""
        return await self._platform.list_vms()

    async def aclose(self) -> None:
        """Close all connections."""
        await self._platform.aclose()

    async def _edit(self, edit: Edit, replaces: int | None) -> Change:
        return await self._store.edit(
            edit,
            replaces,
            getpass.getuser(),
            make_token(),
        )
