"""Clocks and names that the processes of a VM share."""

import secrets
import time

from ibisplank.ids import MemberId, Token, VmId

TOKEN_BYTES = 12
INCARNATION_BYTES = 4


def read_clock() -> float:
    """Return seconds since boot, counting time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def make_token() -> Token:
    """Return a token that no other attempt has."""
    return Token(secrets.token_hex(TOKEN_BYTES))


def make_member_id(vm: VmId) -> MemberId:
    """Return a member id for this run of a process on a VM."""
    return MemberId(f'{vm}.{secrets.token_hex(INCARNATION_BYTES)}')
