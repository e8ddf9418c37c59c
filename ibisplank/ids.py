"""Identifier types, and the enums that several packages share."""

from enum import Enum, IntEnum
from typing import NewType

CellId = NewType('CellId', str)
VmId = NewType('VmId', str)
ZoneId = NewType('ZoneId', str)
CustomerId = NewType('CustomerId', str)
ServiceId = NewType('ServiceId', str)
ServerId = NewType('ServerId', str)
#: One run of an entry process on a VM; each restart gets a new id.
MemberId = NewType('MemberId', str)
#: One run of a backend server, as reported by the server.
StartId = NewType('StartId', str)
RequestId = NewType('RequestId', str)
CallId = NewType('CallId', int)
LoanId = NewType('LoanId', str)
#: Unique per edit or claim; read back to find out whether it was written.
Token = NewType('Token', str)


class Priority(IntEnum):
    """Order in which waiting calls are granted slots, lowest value first."""

    EMERGENCY = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3


class VmState(Enum):
    """State of a VM according to the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class RefusalKind(Enum):
    """Machine-readable reason that is sent to the caller with a refusal."""

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
