"""Identifier types and the enums that states are drawn from."""

from enum import Enum, IntEnum
from typing import NewType

CellId = NewType('CellId', str)
VmId = NewType('VmId', str)
ZoneId = NewType('ZoneId', str)
CustomerId = NewType('CustomerId', str)
ServiceId = NewType('ServiceId', str)
ServerId = NewType('ServerId', str)
#: One run of an entry process on a VM; a restart is a new member.
MemberId = NewType('MemberId', str)
#: One run of a backend server, as it reports itself.
StartId = NewType('StartId', str)
RequestId = NewType('RequestId', str)
CallId = NewType('CallId', int)
LoanId = NewType('LoanId', str)
#: Names one attempt at a write, so that its fate can be read back.
Token = NewType('Token', str)


class Priority(IntEnum):
    """Order in which waiting calls are granted slots; the lowest goes first."""

    EMERGENCY = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3


class VmState(Enum):
    """What the platform's list says of a VM."""

    LIVE = 'live'
    LEAVING = 'leaving'


class RefusalKind(Enum):
    """Machine-readable reason that a caller gets with a refusal."""

    UNKNOWN_KEY = 'unknown-key'
    NOT_IN_CONTRACT = 'not-in-contract'
    BAD_REQUEST = 'bad-request'
    BODY_TOO_LARGE = 'body-too-large'
    HEADERS_TOO_LARGE = 'headers-too-large'
    OVER_RATE = 'over-rate'
    OVER_IN_FLIGHT = 'over-in-flight'
    NO_SLOT = 'no-slot-before-deadline'
    NOT_READY = 'not-ready'
    STORE_DOWN = 'store-down'
    IN_PROGRESS = 'request-id-in-progress'
    ALREADY_RAN = 'request-id-already-ran'
    SUSPECT = 'suspect-request'
    BACKEND_FAILED = 'backend-failed'
    OUTCOME_UNKNOWN = 'outcome-unknown'


class RunStatus(Enum):
    """Whether a refused call ran on a backend server."""

    NOT_RUN = 'not-run'
    RAN = 'ran'
    UNKNOWN = 'unknown'
