"""Refusals and their HTTP form."""

import msgspec

from ibisplank.errors import Refused
from ibisplank.ids import RefusalKind, RunStatus

TOO_MANY = 429
BAD_GATEWAY = 502
UNAVAILABLE = 503


class RefusalBody(msgspec.Struct, frozen=True):
    """JSON body of a refusal."""

    kind: str
    ran: str
    remedy: str


def render_refusal(
    refused: Refused,
) -> tuple[bytes, tuple[tuple[bytes, bytes], ...]]:
    """Return the body and the headers of a refusal."""
    body = RefusalBody(refused.kind.value, refused.ran.value, str(refused))
    headers = (
        (b'content-type', b'application/json'),
        (b'ibisplank-refusal', refused.kind.value.encode()),
        (b'ibisplank-ran', refused.ran.value.encode()),
    )
    return msgspec.json.encode(body), headers


def refuse_busy(kind: RefusalKind) -> Refused:
    """Return the refusal of a call over a limit of its contract."""
    return Refused(
        TOO_MANY,
        kind,
        RunStatus.NOT_RUN,
        'send fewer calls, or raise the limit in the contract',
    )


def refuse_failed(kind: RefusalKind, remedy: str) -> Refused:
    """Return the refusal of a call that certainly did not run."""
    return Refused(UNAVAILABLE, kind, RunStatus.NOT_RUN, remedy)


def refuse_unknown(reason: str) -> Refused:
    """Return the refusal of a call that may have run."""
    return Refused(
        BAD_GATEWAY,
        RefusalKind.OUTCOME_UNKNOWN,
        RunStatus.UNKNOWN,
        f'{reason}; find out whether it ran before sending it again',
    )


def refuse_suspect(*, may_have_run: bool) -> Refused:
    """Return the refusal of a request during which backend servers died."""
    if may_have_run:
        return refuse_unknown(
            'backend servers died of this request',
        )
    return refuse_failed(
        RefusalKind.SUSPECT,
        'backend servers died of this request; change it',
    )
