"""Changes of a cell's configuration, and the state that they result in."""

from collections.abc import Iterator
from typing import TypeVar

import msgspec

from ibisplank.ids import CustomerId, ServiceId, Token, VmId, ZoneId
from ibisplank.version._contract import Contract, ServiceTerms


class ContractEdit(msgspec.Struct, frozen=True, tag='contract'):
    """Creates or replaces one customer's contract."""

    customer: CustomerId
    document: str
    contract: Contract


class ZoneStatusEdit(msgspec.Struct, frozen=True, tag='zone'):
    """Takes an availability zone out of service, or brings it back."""

    zone: ZoneId
    out: bool


class VmStatusEdit(msgspec.Struct, frozen=True, tag='vm'):
    """Takes a VM out of service, or brings it back."""

    vm: VmId
    out: bool


Id = TypeVar('Id')
Edit = ContractEdit | ZoneStatusEdit | VmStatusEdit


class Change(msgspec.Struct, frozen=True):
    """One accepted edit.

    Attributes
    ----------
    revision : int
        Position in the cell's sequence of changes, counted from 1.
    accepted_at : float
        Wall-clock time in seconds; only shown to operators.
    """

    revision: int
    edit: Edit
    author: str
    token: Token
    accepted_at: float


class ConfigState(msgspec.Struct, frozen=True):
    """Configuration of a cell at one revision.

    Attributes
    ----------
    versions : dict
        Revision of the latest edit of each target, by the target's name.
    """

    revision: int = 0
    contracts: dict[CustomerId, ContractEdit] = {}
    zones_out: frozenset[ZoneId] = frozenset()
    vms_out: frozenset[VmId] = frozenset()
    versions: dict[str, int] = {}

    def apply(self, change: Change) -> 'ConfigState':
        """Return the state after a change.

        If the change is not the next revision, the state is returned unchanged.

        Examples
        --------
        >>> edit = ZoneStatusEdit(ZoneId('a'), out=True)
        >>> skipping = Change(7, edit, 'op', Token('t'), 0)
        >>> ConfigState().apply(skipping).revision
        0
        """
        if change.revision != self.revision + 1:
            return self
        edit = change.edit
        versions = {**self.versions, name_target(edit): change.revision}
        state = msgspec.structs.replace(
            self,
            revision=change.revision,
            versions=versions,
        )
        return _apply_edit(state, edit)

    def find_warm_answers(self) -> dict[ServiceId, int]:
        """Return the highest `warm_answers` of all customers, by service."""
        required: dict[ServiceId, int] = {}
        for service, terms in self._list_terms():
            most = max(required.get(service, 0), terms.warm_answers)
            required[service] = most
        return required

    def find_probe_shares(self) -> dict[ServiceId, float]:
        """Return the lowest `probe_share` of all customers, by service."""
        shares: dict[ServiceId, float] = {}
        for service, terms in self._list_terms():
            least = shares.get(service, terms.probe_share)
            shares[service] = min(least, terms.probe_share)
        return shares

    def find_limits(self) -> dict[CustomerId, tuple[int, float]]:
        """Return each customer's limits: calls in flight, calls per second."""
        limits: dict[CustomerId, tuple[int, float]] = {}
        for customer, edit in self.contracts.items():
            limits[customer] = (
                edit.contract.in_flight,
                edit.contract.rate_per_s,
            )
        return limits

    def index_keys(self) -> dict[str, Contract]:
        """Return the contracts by the digests of their callers' keys."""
        keys: dict[str, Contract] = {}
        for edit in self.contracts.values():
            keys.update(
                dict.fromkeys(edit.contract.key_digests, edit.contract),
            )
        return keys

    def _list_terms(self) -> Iterator[tuple[ServiceId, ServiceTerms]]:
        """Yield each customer's terms of each service."""
        for edit in self.contracts.values():
            yield from edit.contract.services.items()


def _apply_edit(state: ConfigState, edit: Edit) -> ConfigState:
    match edit:
        case ContractEdit():
            return msgspec.structs.replace(
                state,
                contracts={**state.contracts, edit.customer: edit},
            )
        case ZoneStatusEdit():
            return msgspec.structs.replace(
                state,
                zones_out=_add_or_remove(
                    state.zones_out, edit.zone, out=edit.out
                ),
            )
        case VmStatusEdit():
            return msgspec.structs.replace(
                state,
                vms_out=_add_or_remove(state.vms_out, edit.vm, out=edit.out),
            )


def _add_or_remove(
    items: frozenset[Id], item: Id, *, out: bool
) -> frozenset[Id]:
    return items | {item} if out else items - {item}


def name_target(edit: Edit) -> str:
    """Return the name of the target that an edit replaces.

    >>> name_target(VmStatusEdit(VmId('vm-1'), out=True))
    'vm/vm-1'
    """
    match edit:
        case ContractEdit():
            return f'contract/{edit.customer}'
        case ZoneStatusEdit():
            return f'zone/{edit.zone}'
        case VmStatusEdit():
            return f'vm/{edit.vm}'


def describe_edit(edit: Edit) -> str:
    """Return a short description of an edit for operators."""
    match edit:
        case ContractEdit():
            return f'contract of {edit.customer} written'
        case ZoneStatusEdit():
            return f'zone {edit.zone} {"out" if edit.out else "in"}'
        case VmStatusEdit():
            return f'vm {edit.vm} {"out" if edit.out else "in"}'
