"""Customer contracts: decoding, validation and lookup of call classes."""

import hashlib
import re
from types import MappingProxyType
from typing import Annotated

import msgspec

from ibisplank.errors import SettingError
from ibisplank.ids import CustomerId, Priority, ServiceId

MAX_DEADLINE_S = 10.0
MS_PER_S = 1000.0
MAX_PROBE_SHARE = 0.5

Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Digest = Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{64}$')]
DeadlineMs = Annotated[
    float,
    msgspec.Meta(gt=0, le=MAX_DEADLINE_S * MS_PER_S),
]
ProbeShare = Annotated[float, msgspec.Meta(ge=0, le=MAX_PROBE_SHARE)]

_NAME = re.compile('[a-z0-9][a-z0-9-]*')
_PRIORITIES = MappingProxyType(
    {priority.name.lower(): priority for priority in Priority},
)


class CallClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of one kind of call within a service.

    Attributes
    ----------
    path : str
        Path prefix within the service, starting with a slash.
    deadline_ms : float
        Maximum time from arrival to answer, in milliseconds.
    retry_share : float
        Maximum retries and hedges per successful call.
    weight : float
        Weight of one call in the share of answered calls that a load test
        reports.
    """

    name: str
    method: str
    path: str
    deadline_ms: DeadlineMs
    idempotent: bool = False
    priority: str = 'normal'
    retry_share: Share = 0.1
    weight: Positive = 1.0

    def matches(self, method: str, path: str) -> bool:
        """Return whether a call is of this class."""
        return self.method == method and path.startswith(self.path)

    @property
    def level(self) -> Priority:
        """Priority of the class as an enum member."""
        return _PRIORITIES[self.priority]


class ServiceTerms(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Classes of calls that a customer may make to one service.

    Attributes
    ----------
    probe_share : float
        Share of one slot's time that probes of a backend server may use.
    warm_answers : int
        Number of good answers on its first slot that a cold backend server
        needs for each further slot.
    """

    classes: Annotated[list[CallClass], msgspec.Meta(min_length=1)]
    probe_share: ProbeShare = 0.01
    warm_answers: Count = 20


class Contract(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of one customer's traffic.

    Attributes
    ----------
    rate_per_s : float
        Calls per second in the whole cell.
    in_flight : int
        Calls that may wait or run at the same time in the whole cell.
    key_digests : list of str
        Hexadecimal SHA-256 digests of the keys that callers present.
    """

    customer: CustomerId
    rate_per_s: Positive
    in_flight: Count
    key_digests: Annotated[list[Digest], msgspec.Meta(min_length=1)]
    services: dict[ServiceId, ServiceTerms]


def digest_key(key: str) -> str:
    """Return the digest under which a contract lists a caller's key.

    >>> digest_key('k')[:8]
    '8254c329'
    """
    return hashlib.sha256(key.encode()).hexdigest()


def parse_contract(document: str) -> Contract:
    """Decode and validate a contract.

    Parameters
    ----------
    document : str
        TOML text.

    Raises
    ------
    SettingError
        The text is not valid TOML, or violates a rule for contracts.
    """
    try:
        contract = msgspec.toml.decode(document, type=Contract)
    except (msgspec.DecodeError, ValueError) as error:
        raise SettingError(f'contract: {error}; correct that field') from error
    _check_names(contract)
    return contract


def _check_names(contract: Contract) -> None:
    for name in (contract.customer, *contract.services):
        if _NAME.fullmatch(name) is None:
            raise SettingError(
                f'contract: name {name!r}: use a-z, 0-9 and hyphens',
            )
    for service, terms in contract.services.items():
        _check_classes(service, terms)


def _check_classes(service: ServiceId, terms: ServiceTerms) -> None:
    seen: set[str] = set()
    for klass in terms.classes:
        where = f'contract: service {service}, class {klass.name}'
        if klass.name in seen:
            raise SettingError(f'{where}: listed twice; rename one')
        if klass.priority not in _PRIORITIES:
            raise SettingError(
                f'{where}: priority must be one of {", ".join(_PRIORITIES)}',
            )
        if not klass.path.startswith('/'):
            raise SettingError(f'{where}: path must start with "/"')
        seen.add(klass.name)


def find_class(
    terms: ServiceTerms,
    method: str,
    path: str,
    name: str | None = None,
) -> CallClass | None:
    """Return the class that matches a call with the longest path prefix.

    Parameters
    ----------
    name : str or None
        Name of the only class to consider, or None for all.
    """
    best: CallClass | None = None
    for klass in terms.classes:
        if name not in {None, klass.name}:
            continue
        if not klass.matches(method, path):
            continue
        if best is None or len(klass.path) > len(best.path):
            best = klass
    return best
