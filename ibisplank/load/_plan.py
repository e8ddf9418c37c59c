"""Load plans and their decoding from TOML."""

from typing import Annotated

import msgspec

from ibisplank.errors import SettingError

Positive = Annotated[float, msgspec.Meta(gt=0)]


class Stream(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Calls of one class of a customer.

    Attributes
    ----------
    path : str
        URL path. In calls to a cell, its first segment is the service; a
        gateway matches it against the prefixes of its routes.
    rate_per_s : float
        Calls started per second, at random times (open loop); 0 for a closed
        loop, in which each caller sends one call after another.
    callers : int
        Maximum number of calls in flight; in a closed loop, the number of
        callers.
    request_ids : bool
        Whether each call to a cell carries a request id; calls to a gateway
        always do.
    host : str
        Value of the `Host` header.
    weight : float
        Weight of a call in the report's weighted service.
    """

    customer: str
    klass: str
    path: str
    key: str = ''
    method: str = 'GET'
    rate_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    callers: Annotated[int, msgspec.Meta(ge=1)] = 100
    body_bytes: Annotated[int, msgspec.Meta(ge=0)] = 0
    request_ids: bool = False
    host: str = 'ibisplank'
    deadline_ms: Annotated[int, msgspec.Meta(ge=1)] = 2000
    weight: Positive = 1.0


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A load run.

    Attributes
    ----------
    targets : list of str
        Addresses, of which each call picks one at random.
    warmup_s : float
        Initial period whose calls are left out of the report.
    """

    targets: Annotated[list[str], msgspec.Meta(min_length=1)]
    streams: Annotated[list[Stream], msgspec.Meta(min_length=1)]
    duration_s: Positive = 5.0
    warmup_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    seed: int = 1


def parse_plan(document: str) -> Plan:
    """Decode and validate a plan.

    Raises
    ------
    SettingError
        The text is not TOML, or a field is missing or invalid.
    """
    try:
        return msgspec.toml.decode(document, type=Plan)
    except (msgspec.DecodeError, ValueError) as error:
        raise SettingError(f'plan: {error}; correct that field') from error
