"""Actions that the slot scheduler returns for its process to carry out."""

from dataclasses import dataclass

from ibisplank.connection import Message
from ibisplank.ids import CallId, LoanId, MemberId, ServerId


@dataclass(frozen=True, slots=True)
class Lease:
    """Lease of a slot for one call, which its lender records as a loan.

    Attributes
    ----------
    loan : LoanId
        Identifies the loan at its lender.
    lender : MemberId
        Member that holds the slot.
    until : float
        Time by which the call must be over.
    """

    loan: LoanId
    lender: MemberId
    server: ServerId
    index: int
    until: float


@dataclass(frozen=True, slots=True)
class Assign:
    """Action: run a call on a leased slot."""

    call: CallId
    lease: Lease


@dataclass(frozen=True, slots=True)
class Refuse:
    """Action: refuse a call that cannot get a slot in time."""

    call: CallId


@dataclass(frozen=True, slots=True)
class Deliver:
    """Action: send a message to a member."""

    member: MemberId
    message: Message


@dataclass(frozen=True, slots=True)
class Broadcast:
    """Action: send a message to all members."""

    message: Message


Action = Assign | Refuse | Deliver | Broadcast
