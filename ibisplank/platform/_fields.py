"""Types of the fields that any writer of a row may get wrong."""

import ipaddress
from typing import Annotated

import msgspec

from ibisplank.errors import UndecodableRow
from ibisplank.figures import MAX_SECONDS, MAX_SLOTS

MAX_PORT = 65535

Slots = Annotated[int, msgspec.Meta(le=MAX_SLOTS)]
WarmupSeconds = Annotated[float, msgspec.Meta(le=MAX_SECONDS)]
#: Id that can be sent in a header.
HeaderText = Annotated[str, msgspec.Meta(pattern='^[!-~]+$')]

#: What decoding a row raises, whatever its content. Content that is nested too
#: deeply raises `RecursionError`.
DECODE_ERRORS = (
    msgspec.DecodeError,
    UndecodableRow,
    ValueError,
    RecursionError,
)


def check_address(text: str) -> str:
    """Return an address if it consists of an IPv4 address and a port.

    Raises
    ------
    UndecodableRow
        It does not.

    Examples
    --------
    >>> check_address('10.0.0.1:80')
    '10.0.0.1:80'
    """
    host, _, port = text.rpartition(':')
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise _make_error(text) from error
    is_number = port.isascii() and port.isdigit() and len(port) <= 5
    if not is_number or not 0 < int(port) <= MAX_PORT:
        raise _make_error(text)
    return text


def _make_error(text: str) -> UndecodableRow:
    return UndecodableRow('address', f'expected IP and port, got {text!r}')
