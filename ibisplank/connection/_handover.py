"""Messages with which a gateway hands calls over to another."""

from enum import Enum

import msgspec

from ibisplank.figures import SecondsLeft, Status, Wait
from ibisplank.ids import MemberId, ServiceId


class PathState(msgspec.Struct, frozen=True, array_like=True, tag='hps'):
    """Which services a gateway reaches, forwarded to all gateways.

    Attributes
    ----------
    member : MemberId
        The gateway.
    number : int
        Sequence number; a higher one replaces a lower one.
    isolated : bool
        Whether it reaches no backend server of any service.
    lost : tuple of ServiceId
        Services of which it reaches no backend server.
    accepting : bool
        Whether it takes calls from other gateways.
    """

    member: MemberId
    number: int
    isolated: bool = False
    lost: tuple[ServiceId, ...] = ()
    accepting: bool = True


class CallRequest(msgspec.Struct, frozen=True, array_like=True, tag='hrq'):
    """A call that the receiver is to send to a backend server.

    Attributes
    ----------
    number : int
        Number that the reply repeats.
    service : ServiceId
        Service that the sender has chosen.
    digest : str
        Identifies the call by its content and its caller.
    content_digest : str
        Identifies it by its content.
    size : int
        Bytes of the request target and all headers.
    left_s : float
        Time until the deadline of the call.
    attempts : int
        Attempts that may still run.
    """

    number: int
    service: ServiceId
    method: bytes
    target: bytes
    host: str
    path: str
    request_id: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    size: int
    body: bytes
    digest: str
    content_digest: str
    left_s: SecondsLeft
    attempts: int


class CallEnding(Enum):
    """How a call that was handed over has ended.

    Attributes
    ----------
    ANSWERED
        A backend server has answered.
    NOT_RUN
        It has not run, and is to be refused.
    DECLINED
        It was not accepted, and may be handed over to another gateway.
    UNKNOWN
        It may have run.
    """

    ANSWERED = 'answered'
    NOT_RUN = 'not run'
    DECLINED = 'declined'
    UNKNOWN = 'may have run'


class CallReply(msgspec.Struct, frozen=True, array_like=True, tag='hrp'):
    """Ending of a call that was handed over.

    Attributes
    ----------
    status, headers, body
        Answer of the backend server, if there is one.
    retry_after_s : float
        Delay after which a call that has not run may be repeated.
    """

    number: int
    ending: CallEnding
    status: Status = 0
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b''
    retry_after_s: Wait = 0.0


class CallCancel(msgspec.Struct, frozen=True, array_like=True, tag='hcx'):
    """The caller of a call that was handed over has left."""

    number: int


HandoverMessage = PathState | CallRequest | CallReply | CallCancel
