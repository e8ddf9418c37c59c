"""Messages by which members lend slots and permits to one another."""

import msgspec

from ibisplank.ids import (
    CustomerId,
    LoanId,
    MemberId,
    Priority,
    ServerId,
    ServiceId,
    StartId,
    ZoneId,
)
from ibisplank.version import SlotId


class AnswerReport(msgspec.Struct, frozen=True, array_like=True):
    """What one attempt showed of a backend server.

    Attributes
    ----------
    latency_s : float
        Time from sending to the whole answer, or to the failure.
    start : StartId
        Run that the server names in its answer, empty where it names none.
    load : float
        Share of its own capacity that the server reports as taken.
    leaving : bool
        Whether the server says that it takes no new work.
    silent : bool
        Whether no byte of an answer arrived; says little of the server.
    overtaken : bool
        Whether another server answered the same request meanwhile.
    """

    ok: bool
    latency_s: float
    start: StartId = StartId('')
    load: float = 0
    leaving: bool = False
    silent: bool = False
    overtaken: bool = False


class SlotChoice(msgspec.Struct, frozen=True, array_like=True):
    """Which slots of a service will do for a call.

    Attributes
    ----------
    only : ServerId
        The one server whose first slot will do, empty where any will.
    avoid : ServerId
        Server whose slots will not do, empty where all will.
    """

    only: ServerId = ServerId('')
    avoid: ServerId = ServerId('')

    @property
    def restricted(self) -> bool:
        """Whether not every slot of the service will do."""
        return bool(self.only or self.avoid)

    def accepts(self, slot: SlotId) -> bool:
        """Tell whether a slot will do."""
        if slot.server == self.avoid:
            return False
        return not self.only or slot == SlotId(self.only, 0)


ANY_SLOT = SlotChoice()


class SlotRequest(msgspec.Struct, frozen=True, array_like=True, tag='ask'):
    """Request for the loan of a slot.

    Attributes
    ----------
    remaining_s : float
        Seconds until the call's deadline, as the borrower sent this.
    """

    call: int
    service: ServiceId
    customer: CustomerId
    priority: Priority
    remaining_s: float
    zone: ZoneId
    choice: SlotChoice = ANY_SLOT


class SlotRequestCancel(msgspec.Struct, frozen=True, array_like=True, tag='wd'):
    """The borrower needs a loan no longer."""

    call: int


class SlotGrant(msgspec.Struct, frozen=True, array_like=True, tag='gr'):
    """Loan of a slot for one call, until that call's deadline.

    Attributes
    ----------
    idle : int
        Slots of the service that the lender has idle after this loan.
    """

    call: int
    loan: LoanId
    server: ServerId
    index: int
    idle: int


class SlotReturn(msgspec.Struct, frozen=True, array_like=True, tag='re'):
    """Return of a loan, with what the borrower saw of the backend server.

    Attributes
    ----------
    report : AnswerReport or None
        None where the loan was not used.
    """

    loan: LoanId
    report: AnswerReport | None = None


class IdleSlots(msgspec.Struct, frozen=True, array_like=True, tag='id'):
    """Number of idle slots of a service at the sender."""

    service: ServiceId
    count: int


class SlotHandover(msgspec.Struct, frozen=True, array_like=True, tag='sf'):
    """The sender holds a slot no longer, as of an epoch."""

    epoch: int
    server: ServerId
    index: int


class EarnedSlots(msgspec.Struct, frozen=True, array_like=True, tag='tr'):
    """Slots of a backend server that one run of it has earned.

    Attributes
    ----------
    cold_signs : int
        Times that the sender has seen a sign of a cold server itself.
    cleared_signs : dict
        Doubts of other members that an answer has followed.
    """

    server: ServerId
    start: StartId
    level: int
    cold_signs: int = 0
    cleared_signs: dict[MemberId, int] = {}


class PermitRequest(msgspec.Struct, frozen=True, array_like=True, tag='pa'):
    """Request for some of a customer's in-flight permits.

    Attributes
    ----------
    asked_at : float
        Borrower's clock when it asked, in seconds.
    """

    customer: CustomerId
    count: int
    asked_at: float


class PermitGrant(msgspec.Struct, frozen=True, array_like=True, tag='pg'):
    """Permits lent for a time that runs from the request.

    Attributes
    ----------
    asked_at : float
        Echo of the same field of the request.
    """

    customer: CustomerId
    count: int
    lease: int
    asked_at: float


class PermitReturn(msgspec.Struct, frozen=True, array_like=True, tag='pr'):
    """Return of lent permits before their time is over.

    Attributes
    ----------
    kept : int
        Permits of the lease that the borrower still has.
    """

    customer: CustomerId
    lease: int
    kept: int


class PermitSharesApplied(
    msgspec.Struct, frozen=True, array_like=True, tag='ps'
):
    """The sender keeps within its shares as of an epoch."""

    epoch: int


SlotMessage = (
    SlotRequest
    | SlotRequestCancel
    | SlotGrant
    | SlotReturn
    | IdleSlots
    | SlotHandover
    | EarnedSlots
)
PermitMessage = PermitRequest | PermitGrant | PermitReturn | PermitSharesApplied
