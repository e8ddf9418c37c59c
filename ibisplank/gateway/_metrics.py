"""Metrics of a gateway."""

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from ibisplank.faults import Boundary
from ibisplank.gateway._model import RouteName
from ibisplank.gateway._plan import Respond
from ibisplank.ids import ServiceId

BUCKETS_S = (0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0)


class GatewayMetrics:
    """Counters, gauges and histograms of one gateway."""

    def __init__(self) -> None:
        self.registry = Registry()
        self._calls = Histogram(
            'ibisplank_gateway_call_seconds',
            'Time from arrival to the final answer, by route and ending',
            buckets=list(BUCKETS_S),
            registry=self.registry,
        )
        self._attempts = Counter(
            'ibisplank_gateway_attempts_total',
            'Attempts on backend servers, by what they came to',
            registry=self.registry,
        )
        self._events = Counter(
            'ibisplank_gateway_events_total',
            'Reads of the store, probes, and calls that no route allows',
            registry=self.registry,
        )
        self._faults = Gauge(
            'ibisplank_gateway_faults_contained',
            'Unexpected exceptions that were stopped, by boundary',
            registry=self.registry,
        )
        self._gauges: dict[str, Gauge] = {}

    def observe_call(
        self,
        route: RouteName,
        service: ServiceId,
        response: Respond,
        took_s: float,
    ) -> None:
        """Observe the latency of a call that was answered."""
        kind = response.result.name.lower()
        if response.answer is not None:
            kind = str(response.answer.status)
        labels = {'route': route, 'service': service, 'ending': kind}
        self._calls.observe(labels, took_s)

    def count_attempt(self, service: ServiceId, step: str) -> None:
        """Count a step of an attempt."""
        self._attempts.inc({'service': service, 'step': step})

    def count_event(self, event: str) -> None:
        """Count an event that belongs to no call."""
        self._events.inc({'event': event})

    def set_gauge(self, name: str, help_text: str, amount: float) -> None:
        """Set a gauge."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(
                f'ibisplank_gateway_{name}',
                help_text,
                registry=self.registry,
            )
            self._gauges[name] = gauge
        gauge.set({}, amount)

    def show_faults(self, boundary: Boundary, count: int) -> None:
        """Show how many faults a boundary has stopped."""
        self._faults.set({'boundary': boundary.value}, count)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        body, _ = render(self.registry, [])
        return bytes(body)
