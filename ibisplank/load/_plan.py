"""What a load run sends, decoded from TOML."""

from typing import Annotated

import msgspec

from ibisplank.errors import SettingError

Positive = Annotated[float, msgspec.Meta(gt=0)]


class Stream(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Calls of one class.

    Attributes
    ----------
    path : str
        Path with the service as its first part.
    rate_per_s : float
        Calls started a second, at random times; 0 sends one after another.
    callers : int
        Calls in flight at most; where the rate is 0, exactly so many.
    request_ids : bool
        Whether each call names a request id.
    host : str
        Host that each call names.
    weight : float
        Weight of an answered call in the report.
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
        Addresses that calls are spread over at random.
    warmup_s : float
        Time at the start whose calls are not reported.
    """

    targets: Annotated[list[str], msgspec.Meta(min_length=1)]
    streams: Annotated[list[Stream], msgspec.Meta(min_length=1)]
    duration_s: Positive = 5.0
    warmup_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    seed: int = 1


def parse_plan(document: str) -> Plan:
    """Decode and check a plan.

    Raises
    ------
    SettingError
        The text is no TOML, or breaks a rule of the plan.
    """
    try:
        return msgspec.toml.decode(document, type=Plan)
    except (msgspec.DecodeError, ValueError) as error:
        raise SettingError(f'plan: {error}; correct that field') from error
