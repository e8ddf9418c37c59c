"""Messages on suspect requests, and on claims of request ids."""

from enum import Enum

import msgspec

from ibisplank.ids import Token


class SuspectReport(msgspec.Struct, frozen=True, array_like=True, tag='su'):
    """A backend server died while it ran the request with this digest.

    Attributes
    ----------
    number : int
        Number that the receiver's `SuspectAck` has to name.
    trial : bool
        Whether this was a trial: no other suspect request ran on the server.
    """

    number: int
    digest: str
    trial: bool


class SuspectAck(msgspec.Struct, frozen=True, array_like=True, tag='sa'):
    """The sender has recorded the `SuspectReport` of this number."""

    number: int


class SuspectCleared(msgspec.Struct, frozen=True, array_like=True, tag='sc'):
    """The request with this digest ran as a trial, and the server survived."""

    digest: str


class ClaimResult(Enum):
    """Result of a write of a claim or an outcome."""

    WRITTEN = 'written'
    ALREADY_CLAIMED = 'resent'
    NOT_OWNED = 'not owned'
    DOWN = 'down'


class ClaimRequest(msgspec.Struct, frozen=True, array_like=True, tag='ka'):
    """Request to the cell's claim writer to write a claim or an outcome.

    Attributes
    ----------
    key : str
        Key of the row in the table.
    body : bytes
        New content of the row.
    """

    number: int
    key: str
    body: bytes
    token: Token
    is_outcome: bool


class ClaimReply(msgspec.Struct, frozen=True, array_like=True, tag='kr'):
    """Response to a `ClaimRequest`.

    Attributes
    ----------
    record : bytes
        Record of the attempt that owns the request id, if it is another one.
    """

    number: int
    result: ClaimResult
    record: bytes = b''


ClaimMessage = ClaimRequest | ClaimReply
SuspectMessage = SuspectReport | SuspectAck | SuspectCleared
