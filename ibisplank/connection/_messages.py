"""Union of all messages between ibisplank processes, and their envelope."""

import msgspec

from ibisplank.connection._control import ControlMessage
from ibisplank.connection._gateways import GatewayMessage
from ibisplank.connection._handover import HandoverMessage
from ibisplank.connection._loans import PermitMessage, SlotMessage
from ibisplank.connection._replay import ClaimMessage, SuspectMessage

Message = (
    ControlMessage
    | SlotMessage
    | PermitMessage
    | SuspectMessage
    | ClaimMessage
    | GatewayMessage
    | HandoverMessage
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Messages that are sent in one frame."""

    messages: tuple[Message, ...]


class RawEnvelope(msgspec.Struct, frozen=True, array_like=True):
    """An `Envelope` whose messages are not decoded."""

    messages: tuple[msgspec.Raw, ...]
