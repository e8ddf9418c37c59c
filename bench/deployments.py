"""The two users' deployments: services, classes, contracts, offered load."""

from dataclasses import dataclass

from bench.common import KEY
from harness.cell import Cell, ServiceShape
from ibisplank.load import Plan, Stream
from ibisplank.version import digest_key

SERVICE_MS = 400.0
#: Share of the warm slots that the offered load needs.
UTILIZATION = 0.55
DURATION_S = 7.0
WARMUP_S = 1.0
#: Calls after which a cold stand-in can use all its slots; until then
#: concurrent calls run slower.
WARM_AFTER = 5
NOISY_KEY = 'noisy-key'


@dataclass(frozen=True)
class CallClass:
    """One class of calls, with its weight in the weighted service."""

    service: str
    klass: str
    method: str
    priority: str
    weight: float
    servers: int


@dataclass(frozen=True)
class Deployment:
    """Availability zones, slots per server and call classes of one user."""

    name: str
    zones: tuple[str, ...]
    slots: int
    call_classes: tuple[CallClass, ...]

    def list_shapes(self) -> tuple[ServiceShape, ...]:
        """Return the shape of each service."""
        return tuple(
            ServiceShape(call_class.service, call_class.servers, self.slots)
            for call_class in self.call_classes
        )


DEPLOYMENTS = {
    'consorcio': Deployment(
        'consorcio',
        ('a', 'b', 'c', 'd'),
        2,
        (
            CallClass('lookups', 'lookup', 'GET', 'normal', 1.0, 10),
            CallClass('press', 'commit', 'POST', 'high', 20.0, 10),
            CallClass('archive', 'archive', 'GET', 'low', 0.5, 10),
            CallClass('sheets', 'sheet', 'GET', 'normal', 2.0, 10),
        ),
    ),
    'qanawat': Deployment(
        'qanawat',
        ('a', 'b', 'c'),
        3,
        (
            CallClass('avail', 'check', 'GET', 'normal', 2.0, 8),
            CallClass('reserve', 'reserve', 'POST', 'high', 10.0, 6),
            CallClass('maps', 'map', 'GET', 'low', 1.0, 6),
            CallClass('emergency', 'emergency', 'GET', 'emergency', 20.0, 6),
        ),
    ),
}


def make_contract(deployment: Deployment, customer: str, key: str) -> str:
    """Return a contract; that of the noisy customer has low limits."""
    noisy = customer == 'noisy'
    lines = [
        f'customer = "{customer}"',
        f'rate_per_s = {20.0 if noisy else 5000.0}',
        f'in_flight = {4 if noisy else 2000}',
        f'key_digests = ["{digest_key(key)}"]',
    ]
    for call_class in deployment.call_classes:
        lines += [
            f'[services.{call_class.service}]',
            f'warm_answers = {WARM_AFTER}',
        ]
        idempotent = 'true' if call_class.method == 'GET' else 'false'
        lines += [
            f'[[services.{call_class.service}.classes]]',
            f'name = "{call_class.klass}"',
            f'method = "{call_class.method}"',
            'path = "/"',
            'deadline_ms = 5000',
            f'idempotent = {idempotent}',
            f'priority = "{call_class.priority}"',
        ]
    return '\n'.join(lines)


def make_plan(cell: Cell, deployment: Deployment, *, noisy: bool) -> Plan:
    """Return the plan of the offered load."""
    streams = []
    for call_class in deployment.call_classes:
        capacity = call_class.servers * deployment.slots / (SERVICE_MS / 1000)
        stream = Stream(
            customer='user',
            klass=call_class.klass,
            path=f'/{call_class.service}/x',
            key=KEY,
            method=call_class.method,
            rate_per_s=capacity * UTILIZATION,
            callers=400,
            deadline_ms=5000,
            weight=call_class.weight,
        )
        streams.append(stream)
    if noisy:
        first = deployment.call_classes[0]
        flood = Stream(
            customer='noisy',
            klass='flood',
            path=f'/{first.service}/x',
            key=NOISY_KEY,
            rate_per_s=60,
            callers=400,
            weight=0.001,
        )
        streams.append(flood)
    return Plan(
        targets=[each.listen for each in cell.members],
        streams=streams,
        duration_s=DURATION_S,
        warmup_s=WARMUP_S,
    )
