"""Bounds of the numbers that other systems state, checked where they are read.

A number that is within its bound can be used in sums and be sent on to other
processes. The messages between processes hold integers of 64 bits at most.
"""

import re
from typing import Annotated

import msgspec

#: Largest integer that every JSON writer represents exactly.
MAX_INTEGER = 9007199254740991
#: Slots of a server, and calls that it runs or keeps waiting.
MAX_SLOTS = 100000
#: Duration of work on a server, relative to the usual one.
MAX_SLOWDOWN = 10000.0
#: Times that are relative to the moment at which they are stated.
MAX_SECONDS = 86400.0
#: Calls per second.
MAX_RATE = 1000000.0
#: Highest status of an HTTP answer.
MAX_STATUS = 599

Counter = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
CallCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
Slowdown = Annotated[float, msgspec.Meta(ge=0, le=MAX_SLOWDOWN)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_SECONDS)]
#: Time until a deadline, which may have passed.
SecondsLeft = Annotated[float, msgspec.Meta(ge=-MAX_SECONDS, le=MAX_SECONDS)]
#: Any time from now on; infinite if it never comes.
Wait = Annotated[float, msgspec.Meta(ge=0)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)]
Status = Annotated[int, msgspec.Meta(ge=0, le=MAX_STATUS)]

_DECIMAL = re.compile(rb'[ \t]*(\d{1,18}(?:\.\d{1,18})?)[ \t]*')


def parse_decimal(text: bytes | None, most: float) -> float | None:
    """Return a number from 0 to a bound, None if the text is anything else.

    Parameters
    ----------
    text : bytes or None
        Digits, with a point among them or not.
    most : float
        Largest number that is accepted.

    Examples
    --------
    >>> parse_decimal(b'1.5', 100.0), parse_decimal(b' 20', 100.0)
    (1.5, 20.0)
    >>> parse_decimal(b'101', 100.0), parse_decimal(b'1e1', 100.0)
    (None, None)
    """
    found = _DECIMAL.fullmatch(text or b'')
    if found is None:
        return None
    figure = float(found.group(1))
    return figure if figure <= most else None
