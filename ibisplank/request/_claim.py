"""Records of claimed request ids, and how they are written."""

from enum import Enum
from typing import Protocol

import msgspec

from ibisplank.ids import Token


class ClaimState(Enum):
    """How far a claimed request has come."""

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
        Whether the body is on record; large ones are not.
    """

    token: Token
    state: ClaimState
    expires_at: float
    status: int = 0
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b''
    whole: bool = True

    def encode(self) -> bytes:
        """Return the record as a row holds it."""
        return msgspec.json.encode(self)


class AlreadyClaimed(Exception):
    """The request id has been claimed before.

    Attributes
    ----------
    record : ClaimRecord
        What is known of the earlier attempt.
    """

    def __init__(self, record: ClaimRecord) -> None:
        super().__init__('request id used before; see its record')
        self.record = record


class NotOwned(Exception):
    """The row of an outcome belongs to another attempt by now."""


class ClaimWrite(msgspec.Struct, frozen=True):
    """A claim, or the outcome of one, to be written.

    Attributes
    ----------
    key : str
        Row of the request id.
    body : bytes
        Record as the row holds it.
    """

    key: str
    body: bytes
    token: Token
    is_outcome: bool = False


class ClaimSink(Protocol):
    """Takes claims and outcomes to the table."""

    async def submit(self, write: ClaimWrite) -> None:
        """Return once a write is in the table.

        Raises
        ------
        Resent
            Another attempt owns the request id.
        NotOwned
            The outcome's row belongs to another attempt by now.
        StoreDown
            It could not be settled whether the write is in the table.
        """


def decode_claim(body: bytes) -> ClaimRecord:
    """Return the record that a row holds."""
    return msgspec.json.decode(body, type=ClaimRecord)
