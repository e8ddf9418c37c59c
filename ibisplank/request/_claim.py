"""Records of claimed request ids, and the protocol to write them."""

from enum import Enum
from typing import Protocol

import msgspec

from ibisplank.ids import Token


class ClaimState(Enum):
    """Progress of a claimed request."""

    CLAIMED = 'claimed'
    NOT_RUN = 'not run'
    DONE = 'done'


class ClaimRecord(msgspec.Struct, frozen=True):
    """Row of one request id.

    Attributes
    ----------
    token : Token
        Attempt that owns the claim.
    expires_at : float
        Wall-clock time after which the row may be deleted.
    whole : bool
        Whether the record includes the body; large bodies are left out.
    """

    token: Token
    state: ClaimState
    expires_at: float
    status: int = 0
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b''
    whole: bool = True

    def encode(self) -> bytes:
        """Return the record encoded as the body of a row."""
        return msgspec.json.encode(self)


class AlreadyClaimed(Exception):
    """The request id has been claimed before.

    Attributes
    ----------
    record : ClaimRecord
        Record of the earlier attempt.
    """

    def __init__(self, record: ClaimRecord) -> None:
        super().__init__('request id claimed before; see its record')
        self.record = record


class NotOwned(Exception):
    """The row of an outcome belongs to another attempt."""


class ClaimWrite(msgspec.Struct, frozen=True):
    """A claim, or the outcome of one, to write to the table.

    Attributes
    ----------
    key : str
        Key of the row of the request id.
    body : bytes
        Encoded record.
    """

    key: str
    body: bytes
    token: Token
    is_outcome: bool = False


class ClaimSink(Protocol):
    """Writes claims and outcomes to the table."""

    async def submit(self, write: ClaimWrite) -> None:
        """Return once a write is in the table.

        Raises
        ------
        AlreadyClaimed
            Another attempt owns the request id, or another write for it was
            in the same batch.
        NotOwned
            The outcome's row belongs to another attempt.
        StoreDown
            It is unknown whether the write is in the table.
        """


def decode_claim(body: bytes) -> ClaimRecord:
    """Decode the record in the body of a row."""
    return msgspec.json.decode(body, type=ClaimRecord)
