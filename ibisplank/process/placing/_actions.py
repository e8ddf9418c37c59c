"""What the decisions ask their process to do."""

from dataclasses import dataclass

from ibisplank.connection import Message
from ibisplank.ids import CallId, LoanId, MemberId, ServerId


@dataclass(frozen=True, slots=True)
class Lease:
    """The right to run one call on a slot.

    Attributes
    ----------
    until : float
        The call must be over by then.
    """

    loan: LoanId
    lender: MemberId
    server: ServerId
    index: int
    until: float


@dataclass(frozen=True, slots=True)
class Assign:
    """Action: run a call on a slot."""

    call: CallId
    lease: Lease


@dataclass(frozen=True, slots=True)
class Refuse:
    """Action: tell a call that no slot will come in time."""

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
