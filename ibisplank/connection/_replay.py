"""Messages about requests that must not run again."""

from enum import Enum

import msgspec

from ibisplank.ids import Token


class SuspectReport(msgspec.Struct, frozen=True, array_like=True, tag='su'):
    """A backend server died while it ran the request of this digest.

    Attributes
    ----------
    number : int
        Number to be confirmed.
    trial : bool
        Whether the request ran as the only suspect on the server.
    """

    number: int
    digest: str
    trial: bool


class SuspectAck(msgspec.Struct, frozen=True, array_like=True, tag='sa'):
    """The sender has taken in the news of this number."""

    number: int


class SuspectCleared(msgspec.Struct, frozen=True, array_like=True, tag='sc'):
    """The request of this digest had a trial that its server survived."""

    digest: str


class ClaimResult(Enum):
    """What became of a write of a claim or an outcome."""

    WRITTEN = 'written'
    RESENT = 'resent'
    NOT_OWNED = 'not owned'
    DOWN = 'down'


class ClaimRequest(msgspec.Struct, frozen=True, array_like=True, tag='ka'):
    """Request to the cell's writer of claims.

    Attributes
    ----------
    key : str
        Row in the table.
    body : bytes
        Record as the row is to hold it.
    """

    number: int
    key: str
    body: bytes
    token: Token
    is_outcome: bool


class ClaimReply(msgspec.Struct, frozen=True, array_like=True, tag='kr'):
    """What became of a write.

    Attributes
    ----------
    record : bytes
        Record of the attempt that owns the request id, if another one does.
    """

    number: int
    result: ClaimResult
    record: bytes = b''


ClaimMessage = ClaimRequest | ClaimReply
SuspectMessage = SuspectReport | SuspectAck | SuspectCleared
