"""Messages by which members lend each other slots and in-flight permits."""

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


class AttemptReport(msgspec.Struct, frozen=True, array_like=True):
    """Observation of a backend server in one attempt, successful or not.

    Attributes
    ----------
    ok : bool
        Whether the attempt did not fail; also true if it is `silent`.
    latency_s : float
        Time from sending to the complete answer, or to the failure.
    start : StartId
        Run of the server as reported in its answer; empty if not reported.
    load : float
        Share of its capacity that the server reports as in use.
    leaving : bool
        Whether the server reports that it accepts no new work.
    silent : bool
        Whether the attempt timed out or was overtaken; weak evidence about the
        server. An answer that stalls after its head is a failure instead.
    overtaken : bool
        Whether another server answered the same request first.
    """

    ok: bool
    latency_s: float
    start: StartId = StartId('')
    load: float = 0
    leaving: bool = False
    silent: bool = False
    overtaken: bool = False


class SlotConstraint(msgspec.Struct, frozen=True, array_like=True):
    """Constraint on the slots of a service that a call can use.

    Attributes
    ----------
    only : ServerId
        The server whose first slot the call must use; empty for any slot.
    avoid : ServerId
        Server whose slots the call must not use; empty for none.
    """

    only: ServerId = ServerId('')
    avoid: ServerId = ServerId('')

    @property
    def restricted(self) -> bool:
        """Whether some slots of the service are excluded."""
        return bool(self.only or self.avoid)

    def accepts(self, slot: SlotId) -> bool:
        """Return whether a call can use a slot."""
        if slot.server == self.avoid:
            return False
        return not self.only or slot == SlotId(self.only, 0)


ANY_SLOT = SlotConstraint()


class SlotRequest(msgspec.Struct, frozen=True, array_like=True, tag='ask'):
    """Request for the loan of a slot.

    Attributes
    ----------
    call : int
        Borrower's number of the call; named in the grant or cancellation.
    remaining_s : float
        Seconds until the call's deadline at the time of sending.
    zone : ZoneId
        Availability zone of the borrower.
    """

    call: int
    service: ServiceId
    customer: CustomerId
    priority: Priority
    remaining_s: float
    zone: ZoneId
    constraint: SlotConstraint = ANY_SLOT


class SlotRequestCancel(msgspec.Struct, frozen=True, array_like=True, tag='wd'):
    """Cancellation of a request for a slot."""

    call: int


class SlotGrant(msgspec.Struct, frozen=True, array_like=True, tag='gr'):
    """Loan of a slot for one call, until the deadline of the call.

    Attributes
    ----------
    idle : int
        Idle slots of the service that remain at the lender after this loan.
    """

    call: int
    loan: LoanId
    server: ServerId
    index: int
    idle: int


class SlotReturn(msgspec.Struct, frozen=True, array_like=True, tag='re'):
    """Return of a slot loan, with the result of the attempt.

    Attributes
    ----------
    report : AttemptReport or None
        None if the loan was not used.
    """

    loan: LoanId
    report: AttemptReport | None = None


class IdleSlots(msgspec.Struct, frozen=True, array_like=True, tag='id'):
    """Number of idle slots of a service that the sender holds."""

    service: ServiceId
    count: int


class SlotHandover(msgspec.Struct, frozen=True, array_like=True, tag='sf'):
    """Notice that the sender no longer holds a slot as of an epoch."""

    epoch: int
    server: ServerId
    index: int


class EarnedSlots(msgspec.Struct, frozen=True, array_like=True, tag='tr'):
    """Number of slots that a run of a backend server has earned by answers.

    Attributes
    ----------
    level : int
        Number of slots that may be used.
    cold_signs : int
        Number of failed attempts that the sender itself has observed; each is
        a sign that the server is cold.
    cleared_signs : dict
        Number of cold signs by member, as known to the sender when an answer
        on the first slot last counted towards a higher level. A member
        accepts a higher level only if its number here is at least its own
        `cold_signs`.
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
        Time of the request on the borrower's clock, in seconds.
    """

    customer: CustomerId
    count: int
    asked_at: float


class PermitGrant(msgspec.Struct, frozen=True, array_like=True, tag='pg'):
    """Lease of permits; its term starts at the time of the request.

    Attributes
    ----------
    lease : int
        Number that identifies the lease in a `PermitReturn`.
    asked_at : float
        Copied from the request.
    """

    customer: CustomerId
    count: int
    lease: int
    asked_at: float


class PermitReturn(msgspec.Struct, frozen=True, array_like=True, tag='pr'):
    """Return of leased permits before the lease expires.

    Attributes
    ----------
    lease : int
        Number of the lease, from its `PermitGrant`.
    kept : int
        Permits of the lease that the borrower keeps.
    """

    customer: CustomerId
    lease: int
    kept: int


class PermitSharesApplied(
    msgspec.Struct, frozen=True, array_like=True, tag='ps'
):
    """Notice that the sender's calls in flight fit its shares of an epoch."""

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
