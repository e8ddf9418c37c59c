"""Versioned state of a cell: contracts, configuration, roster and slot map."""

from ibisplank.version._config import (
    Change,
    ConfigState,
    ContractEdit,
    Edit,
    VmStatusEdit,
    ZoneStatusEdit,
    describe_edit,
    name_target,
)
from ibisplank.version._contract import (
    MAX_DEADLINE_S,
    MS_PER_S,
    CallClass,
    Contract,
    ServiceTerms,
    digest_key,
    find_class,
    parse_contract,
)
from ibisplank.version._roster import (
    DISPATCH_LEASE_S,
    MAX_PAST_ROSTERS,
    Member,
    PastRoster,
    Roster,
    change_roster,
    has_majority,
)
from ibisplank.version._slotmap import SlotId, find_holder
from ibisplank.version._vmlist import Server, VmList

__all__ = (
    'DISPATCH_LEASE_S',
    'MAX_DEADLINE_S',
    'MS_PER_S',
    'MAX_PAST_ROSTERS',
    'CallClass',
    'Change',
    'ConfigState',
    'Contract',
    'ContractEdit',
    'Edit',
    'Member',
    'PastRoster',
    'Roster',
    'Server',
    'ServiceTerms',
    'SlotId',
    'VmList',
    'VmStatusEdit',
    'ZoneStatusEdit',
    'change_roster',
    'describe_edit',
    'digest_key',
    'find_class',
    'find_holder',
    'has_majority',
    'name_target',
    'parse_contract',
)
