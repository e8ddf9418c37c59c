"""Boot-time clock, and generation of member ids and tokens."""

import secrets
import time

from ibisplank.ids import MemberId, Token, VmId

TOKEN_BYTES = 12
INCARNATION_BYTES = 4


def read_clock() -> float:
    """Return seconds since boot, including time spent suspended.

    All processes of a VM read the same clock.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def make_token() -> Token:
    """Return a random token that is unique to one attempt."""
    return Token(secrets.token_hex(TOKEN_BYTES))


def make_member_id(vm: VmId) -> MemberId:
    """Return a member id that is unique to this run of a process on a VM."""
    return MemberId(f'{vm}.{secrets.token_hex(INCARNATION_BYTES)}')
