"""Statistics of the load, latency and failures of one backend server."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from ibisplank.figures import (
    MAX_RATE,
    MAX_SLOTS,
    MAX_SLOWDOWN,
    parse_decimal,
)
from ibisplank.gateway._ratelimit import StatedLimit
from ibisplank.ids import ServerId

#: EWMA weight of the newest answer in the slowdown of a server.
SLOWDOWN_SMOOTHING = 0.3
#: EWMA weight of the newest outcome in the failure rate.
FAILURE_SMOOTHING = 0.25
#: Half-lives of the slowdown and the failure rate without new observations.
SLOWDOWN_HALF_LIFE_S = 3.0
FAILURE_HALF_LIFE_S = 4.0
#: Half-life of the weight of a load report.
REPORT_HALF_LIFE_S = 0.25
#: Lower bound on the slowdown that a server may report.
MIN_SLOWDOWN = 0.01
INITIAL_QUARANTINE_S = 0.3
MAX_QUARANTINE_S = 3.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a backend server reports with an answer.

    Attributes
    ----------
    slowdown : float
        Current duration of work relative to the normal one.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


def parse_load(text: bytes | None) -> LoadReport | None:
    """Return the load in a header, None if it is missing or invalid.

    >>> parse_load(b'3,0,8,150')
    LoadReport(running=3, waiting=0, slots=8, slowdown=1.5)
    >>> parse_load(b'nonsense') is None
    True
    """
    if text is None:
        return None
    parts = text.split(b',')
    counts = [parse_decimal(part, MAX_SLOTS) for part in parts[:3]]
    percent = parse_decimal((parts[3:4] or [b'100'])[0], MAX_SLOWDOWN * 100)
    if len(counts) < 3 or percent is None:
        return None
    running, waiting, slots = counts
    if running is None or waiting is None or slots is None:
        return None
    return LoadReport(
        int(running),
        int(waiting),
        int(slots),
        max(percent / 100, MIN_SLOWDOWN),
    )


def parse_rate_limit(text: bytes | None) -> float | None:
    """Return the calls per second in a header, None without a valid limit.

    >>> parse_rate_limit(b'1.8'), parse_rate_limit(b'none')
    (1.8, None)
    """
    return parse_decimal(text, MAX_RATE)


@dataclass(slots=True)
class ServerStats:
    """Recent latency, failures and load of one backend server.

    Attributes
    ----------
    in_flight : int
        Calls that this gateway has in flight on the server.
    slowdown : float
        EWMA of the latency, relative to the median of the route and to the
        slowdown that the server reports.
    failure_rate : float
        EWMA of the share of calls without a good answer.
    quarantined_until : float
        Time until which it gets no calls after it was unreachable.
    failed_contacts : int
        Failed probes and connections since the last success.
    probe_listeners : set of callable
        Functions that are called after each probe.
    report_at : float
        Time from which the weight of the load report decays.
    limit : StatedLimit
        Rate limit that the server states.
    """

    server: ServerId
    in_flight: int = 0
    slowdown: float = 1.0
    failure_rate: float = 0.0
    quarantined_until: float = 0.0
    failed_contacts: int = 0
    probe_listeners: set[Callable[[], None]] = field(default_factory=set)
    report: LoadReport | None = None
    report_at: float = 0.0
    limit: StatedLimit = field(default_factory=StatedLimit)
    _calls_at_report: int = 0
    _slowdown_at: float = 0.0
    _failure_at: float = 0.0

    def find_slowdown(self, now: float) -> float:
        """Return the slowdown, which decays towards 1 with its age."""
        weight = _decay(now - self._slowdown_at, SLOWDOWN_HALF_LIFE_S)
        return 1.0 + (self.slowdown - 1.0) * weight

    def find_reported_slowdown(self, now: float) -> float:
        """Return the reported slowdown, 1 if there is no report."""
        if self.report is None:
            return 1.0
        return 1.0 + (self.report.slowdown - 1.0) * self._find_report_weight(
            now
        )

    def find_staleness(self, now: float) -> float:
        """Return the staleness of the load report, 0 to 1; 1 without one."""
        if self.report is None:
            return 1.0
        return 1.0 - self._find_report_weight(now)

    def find_failure_rate(self, now: float) -> float:
        """Return the failure rate, which decays towards 0 with its age."""
        weight = _decay(now - self._failure_at, FAILURE_HALF_LIFE_S)
        return self.failure_rate * weight

    def find_load(
        self, now: float, peer_calls: int = 0, groups: int = 1
    ) -> float:
        """Return the estimated number of calls that run or wait there.

        Since the latest report, the group has started and ended calls. While
        all slots are in use, the other groups are assumed to do the same.

        Parameters
        ----------
        peer_calls : int
            Calls that other gateways of the group have in flight there.
        groups : int
            Groups of gateways that send calls there.
        """
        known_calls = self.in_flight + peer_calls
        if self.report is None:
            return float(known_calls)
        load = self.report.running + self.report.waiting
        change = known_calls - self._calls_at_report
        if change > 0 and load >= self.report.slots:
            change *= groups
        weight = self._find_report_weight(now)
        return max(known_calls, (load + change) * weight)

    def record_report(
        self,
        report: LoadReport | None,
        now: float,
        peer_calls: int = 0,
        hold_s: float = 0.0,
    ) -> None:
        """Record a load report, whose weight decays after a hold time.

        Parameters
        ----------
        peer_calls : int
            Calls that other gateways of the group have in flight there.
        """
        if report is not None:
            self.report = report
            self.report_at = now + hold_s
            self._calls_at_report = self.in_flight + peer_calls

    def record_success(self, relative_latency: float, now: float) -> None:
        """Record a good answer.

        Parameters
        ----------
        relative_latency : float
            Latency, relative to the median of the route and to the slowdown
            that the server reports.
        """
        slowdown = self.find_slowdown(now)
        self.slowdown = slowdown + SLOWDOWN_SMOOTHING * (
            relative_latency - slowdown
        )
        self.failure_rate = self.find_failure_rate(now) * (
            1 - FAILURE_SMOOTHING
        )
        self._slowdown_at = now
        self._failure_at = now
        self.failed_contacts = 0

    def record_slow(self, relative_latency: float, now: float) -> None:
        """Record how long an attempt has run, if this raises the slowdown."""
        slowdown = self.find_slowdown(now)
        if relative_latency > slowdown:
            self.slowdown = slowdown + SLOWDOWN_SMOOTHING * (
                relative_latency - slowdown
            )
            self._slowdown_at = now

    def record_failure(self, now: float) -> None:
        """Record a call without a good answer."""
        failure_rate = self.find_failure_rate(now)
        self.failure_rate = failure_rate + FAILURE_SMOOTHING * (
            1.0 - failure_rate
        )
        self._failure_at = now

    def record_probe_timeout(self, now: float) -> None:
        """Record a probe without an answer.

        The network may have lost a single probe; the second one in a row
        counts as a failure of the server.
        """
        self.failed_contacts += 1
        if self.failed_contacts > 1:
            self.record_unreachable(now)

    def record_probe_success(self) -> None:
        """Record an answered probe, which ends a quarantine."""
        self.failed_contacts = 0
        self.quarantined_until = 0.0

    def record_unreachable(self, now: float) -> None:
        """Record a failure; quarantine the server with exponential backoff."""
        self.record_failure(now)
        self.failed_contacts += 1
        quarantine_s = min(
            MAX_QUARANTINE_S,
            INITIAL_QUARANTINE_S * 2 ** (self.failed_contacts - 1),
        )
        self.quarantined_until = now + quarantine_s

    def _find_report_weight(self, now: float) -> float:
        return _decay(now - self.report_at, REPORT_HALF_LIFE_S)


def _decay(age_s: float, half_life_s: float) -> float:
    """Return the weight of an observation of some age.

    >>> _decay(-1.0, 2.0), _decay(2.0, 2.0)
    (1.0, 0.5)
    """
    return math.exp2(-max(0.0, age_s) / half_life_s)
