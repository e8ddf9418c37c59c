"""All messages between the system's own processes, and their frame."""

import msgspec

from ibisplank.connection._control import ControlMessage
from ibisplank.connection._gateways import GatewayMessage
from ibisplank.connection._loans import PermitMessage, SlotMessage
from ibisplank.connection._replay import ClaimMessage, SuspectMessage

Message = (
    ControlMessage
    | SlotMessage
    | PermitMessage
    | SuspectMessage
    | ClaimMessage
    | GatewayMessage
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Messages that travel in one frame."""

    messages: tuple[Message, ...]
