"""All messages between the system's own processes, and their frame."""

import msgspec

from ibisplank.connection._caution import ClaimMessage, SuspectMessage
from ibisplank.connection._control import ControlMessage
from ibisplank.connection._lending import PermitMessage, SlotMessage
from ibisplank.connection._news import NewsMessage

Message = (
    ControlMessage
    | SlotMessage
    | PermitMessage
    | SuspectMessage
    | ClaimMessage
    | NewsMessage
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Messages that travel in one frame."""

    messages: tuple[Message, ...]
