"""Metrics of an entry, aggregated outside the critical path of calls."""

from dataclasses import dataclass

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from ibisplank.ids import CustomerId, RefusalKind

BUCKETS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)


@dataclass(slots=True)
class CallSample:
    """Measurements of one answered or refused call."""

    customer: CustomerId = CustomerId('')
    klass: str = ''
    latency_s: float = 0.0
    refusal: RefusalKind | None = None


class Metrics:
    """Counters, gauges and histograms of one entry."""

    def __init__(self) -> None:
        self.registry = Registry()
        self._samples: list[CallSample] = []
        self._latency = Histogram(
            'ibisplank_call_seconds',
            'Latency of answered calls',
            buckets=list(BUCKETS_S),
            registry=self.registry,
        )
        self._refusals = Counter(
            'ibisplank_refusals_total',
            'Calls refused, by kind',
            registry=self.registry,
        )
        self._retries = Counter(
            'ibisplank_retries_total',
            'Attempts after the first',
            registry=self.registry,
        )
        self._hedges = Counter(
            'ibisplank_hedges_total',
            'Second attempts of slow calls',
            registry=self.registry,
        )
        self._gauges: dict[str, Gauge] = {}

    def add_sample(self, sample: CallSample) -> None:
        """Queue a sample for the next `record_samples`."""
        self._samples.append(sample)

    def count_retry(self, customer: CustomerId, klass: str) -> None:
        """Count a retry."""
        self._retries.inc({'customer': customer, 'class': klass})

    def count_hedge(self, customer: CustomerId, klass: str) -> None:
        """Count a hedged attempt of a slow call."""
        self._hedges.inc({'customer': customer, 'class': klass})

    def record_samples(self) -> None:
        """Add the queued samples to the histogram and the refusal counter."""
        samples = self._samples
        self._samples = []
        for sample in samples:
            labels = {'customer': sample.customer, 'class': sample.klass}
            if sample.refusal is None:
                self._latency.observe(labels, sample.latency_s)
                continue
            self._refusals.inc({**labels, 'kind': sample.refusal.value})

    def set_gauge(self, name: str, help_text: str, amount: float) -> None:
        """Set a gauge, which is created on first use."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(
                f'ibisplank_{name}',
                help_text,
                registry=self.registry,
            )
            self._gauges[name] = gauge
        gauge.set({}, amount)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        self.record_samples()
        body, _ = render(self.registry, [])
        return bytes(body)
