"""Counts and latencies of a load run, by customer and class."""

from collections.abc import Iterable

import msgspec
from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1000
OK = 200
MEDIAN = 50
P99 = 99
P999 = 99.9


class Tally:
    """Counts and latencies of one class of a customer."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.sent = 0
        self.answered = 0
        self.refused: dict[str, int] = {}
        self.latency = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def record(self, status: int, refusal: str, latency_s: float) -> None:
        """Record the outcome of a call, and its latency if it returned 200."""
        self.sent += 1
        if status != OK:
            name = refusal or f'status-{status}'
            self.refused[name] = self.refused.get(name, 0) + 1
            return
        self.answered += 1
        self.latency.record_value(max(1, int(latency_s * US_PER_S)))


class Row(msgspec.Struct, frozen=True):
    """Row of a report: counts and latencies of one class of a customer.

    Attributes
    ----------
    sent : int
        Calls due, including those not sent because too many were in flight.
    answered : int
        Calls answered with status 200; only these have latencies.
    refused : dict
        Number of all other calls by refusal, status or reason for having no
        answer.
    histogram : str
        Encoded `HdrHistogram` of the latencies in microseconds, from which
        reports are merged.
    """

    customer: str
    klass: str
    sent: int
    answered: int
    weight: float
    p50_ms: float
    p99_ms: float
    p999_ms: float
    refused: dict[str, int]
    histogram: str


class Report(msgspec.Struct, frozen=True):
    """Results of a load run.

    Attributes
    ----------
    service : float
        Answered calls divided by sent calls, both weighted by class.
    """

    duration_s: float
    service: float
    rows: list[Row]

    def render(self) -> str:
        """Return the results as a table in plain text."""
        lines = [
            f'{"customer":<12}{"class":<14}{"sent":>7}{"answered":>9}'
            f'{"p50 ms":>9}{"p99 ms":>9}{"p99.9 ms":>10}  refused',
        ]
        for row in self.rows:
            refused = ', '.join(
                f'{refusal} {count}' for refusal, count in row.refused.items()
            )
            lines.append(
                f'{row.customer:<12}{row.klass:<14}{row.sent:>7}'
                f'{row.answered:>9}{row.p50_ms:>9.2f}{row.p99_ms:>9.2f}'
                f'{row.p999_ms:>10.2f}  {refused or "none"}',
            )
        lines.append(f'weighted service {self.service:.4f}')
        return '\n'.join(lines)


def make_report(
    tallies: dict[tuple[str, str], Tally],
    duration_s: float,
) -> Report:
    """Return the report of a run."""
    rows = [
        _make_row(customer, klass, tally)
        for (customer, klass), tally in sorted(tallies.items())
    ]
    return Report(duration_s, _compute_service(rows), rows)


def merge_reports(reports: Iterable[Report]) -> Report:
    """Merge the reports of concurrent runs of equal duration."""
    tallies: dict[tuple[str, str], Tally] = {}
    duration_s = 0.0
    for report in reports:
        duration_s = max(duration_s, report.duration_s)
        for row in report.rows:
            name = (row.customer, row.klass)
            tally = tallies.setdefault(name, Tally(row.weight))
            tally.sent += row.sent
            tally.answered += row.answered
            for refusal, count in row.refused.items():
                tally.refused[refusal] = tally.refused.get(refusal, 0) + count
            tally.latency.add(HdrHistogram.decode(row.histogram.encode()))
    return make_report(tallies, duration_s)


def _make_row(customer: str, klass: str, tally: Tally) -> Row:
    return Row(
        customer=customer,
        klass=klass,
        sent=tally.sent,
        answered=tally.answered,
        weight=tally.weight,
        p50_ms=tally.latency.get_value_at_percentile(MEDIAN) / US_PER_MS,
        p99_ms=tally.latency.get_value_at_percentile(P99) / US_PER_MS,
        p999_ms=tally.latency.get_value_at_percentile(P999) / US_PER_MS,
        refused=tally.refused,
        histogram=tally.latency.encode().decode(),
    )


def _compute_service(rows: list[Row]) -> float:
    sent = sum(row.sent * row.weight for row in rows)
    answered = sum(row.answered * row.weight for row in rows)
    return answered / sent if sent else 0.0
