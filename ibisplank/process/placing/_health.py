"""How much of its concurrency a backend server has earned since its start."""

from dataclasses import dataclass, field

from ibisplank.connection import AnswerReport, Trust
from ibisplank.ids import MemberId, ServerId, StartId
from ibisplank.process.placing._latency import LatencyAverage

#: Level of a server that says it is leaving.
DRAINING_LEVEL = 0
COLD_LEVEL = 1
#: Answers that earn one more slot where no contract says otherwise.
WARM_ANSWERS = 20
#: A cold server rests this long between two calls.
COLD_PAUSE_S = 0.005
#: Rest after the first failure; it doubles with each further one.
FIRST_BACKOFF_S = 0.025
MAX_BACKOFF_S = 1.0
#: A latency this many times the average is a sign of a cold server.
SLOW_FACTOR = 5.0
#: Latencies below this are never a sign of a cold server.
SLOW_FLOOR_S = 0.02
SLOW_ANSWERS = 3
#: Calls in a row without an answer after which a server rests.
MAX_SILENCES = 3
#: A call should have the mean latency and so many deviations left.
SAFE_DEVIATIONS = 3.0
#: So many will do where no call with more time left wants the slot.
SPARE_DEVIATIONS = 1.0
LATENCY_TTL_S = 2.0
#: An answer faster than this share of the average speaks against the record.
FAST_FACTOR = 0.5
CREDIBLE_DEVIATIONS = 6.0
#: Latency counts as credible up to this many times the record.
CREDIBLE_FACTOR = 2.0
MIN_FIRST_BYTE_S = 0.25
#: Answers on record before silence can be told from slowness.
MIN_SAMPLES = 20


@dataclass(slots=True)
class ServerHealth:
    """Record of one backend server, kept by each member.

    Attributes
    ----------
    level : int
        Number of slots that may be used.
    warm_answers : int
        Answers on the first slot that earn one more.
    load : float
        Share of its capacity that it last reported as taken.
    """

    member: MemberId = MemberId('')
    start: StartId = StartId('')
    level: int = COLD_LEVEL
    warm_answers: int = WARM_ANSWERS
    load: float = 0.0
    _latency: LatencyAverage = field(default_factory=LatencyAverage)
    _warm_count: int = 0
    _slow_count: int = 0
    _silences: int = 0
    _failures: int = 0
    _confirmed_at: float = 0
    _resume_at: float = 0.0
    _past_starts: set[StartId] = field(default_factory=set)
    _cold_signs: int = 0
    _peer_cold_signs: dict[MemberId, int] = field(default_factory=dict)
    _cleared_signs: dict[MemberId, int] = field(default_factory=dict)

    @property
    def latency_s(self) -> float:
        """Moving average of its latencies, 0 before the first answer."""
        return self._latency.mean_s

    @property
    def failing(self) -> bool:
        """Whether the latest answer on record was a failure."""
        return bool(self._failures)

    def allows(self, index: int, now: float) -> bool:
        """Tell whether the slot of an index may start a call now."""
        return index < self.count_allowed(now)

    def count_allowed(self, now: float) -> int:
        """Return how many slots may start calls now."""
        return self.level if now >= self._resume_at else 0

    def can_finish_within(
        self,
        left_s: float,
        now: float,
        deviations: float = SPARE_DEVIATIONS,
    ) -> bool:
        """Tell whether a call is likely to end in the time it has left."""
        return self.estimate_latency_s(now, deviations) <= left_s

    def estimate_latency_s(
        self,
        now: float,
        deviations: float = SPARE_DEVIATIONS,
    ) -> float:
        """Return the time in which most calls end, 0 where it may have changed.

        A record that no answer has confirmed for a while lets all calls
        through, lest it never change.
        """
        if now >= self._confirmed_at + LATENCY_TTL_S:
            return 0.0
        return self._latency.upper_bound_s(deviations)

    def find_first_byte_timeout_s(self, deadline_s: float) -> float:
        """Return the longest credible wait for the head of an answer."""
        if self._latency.count < MIN_SAMPLES:
            return deadline_s
        return min(deadline_s, self._find_longest_s())

    def record_answer(
        self,
        report: AnswerReport,
        index: int,
        slots: int,
        now: float,
    ) -> bool:
        """Take in what a call showed; return whether the level changed.

        Parameters
        ----------
        index : int
            Slot that the call ran on; only slot 0 earns further slots.
        slots : int
            Slots of the server when warm.
        """
        before = (self.level, self.start, self._cold_signs)
        self._check_latency(report, now)
        if report.silent:
            self._record_silence(report, now)
        elif not report.ok:
            self._cold_signs += 1
            self.reset_to_cold()
            self._back_off(now)
        elif report.start not in self._past_starts:
            self._failures = 0
            self._silences = 0
            self.load = report.load
            self._record_success(report, index, slots)
            if report.leaving:
                self.level = DRAINING_LEVEL
            if self.level == COLD_LEVEL:
                self._resume_at = now + COLD_PAUSE_S
        return (self.level, self.start, self._cold_signs) != before

    def merge(self, remote: Trust, sender: MemberId) -> None:
        """Take in another member's level.

        It raises this member's only if an answer has followed the latest
        sign of a cold server that this member has seen itself.
        """
        known = self._peer_cold_signs.get(sender, 0)
        self._peer_cold_signs[sender] = max(known, remote.doubt)
        if remote.start in self._past_starts:
            return
        self._record_start(remote.start)
        if remote.level < self.level:
            self.reset_to_cold()
            self.level = remote.level
        elif remote.cleared.get(self.member, 0) >= self._cold_signs:
            self.level = remote.level

    def make_message(self, server: ServerId) -> Trust:
        """Return what the other members must know."""
        return Trust(
            server,
            self.start,
            self.level,
            self._cold_signs,
            self._cleared_signs,
        )

    def record_probe(self, start: StartId, *, leaving: bool) -> None:
        """Take in what a probe showed; only a leaving server comes back."""
        if start in self._past_starts:
            return
        self._record_start(start)
        if leaving:
            self.level = DRAINING_LEVEL
        elif self.level == DRAINING_LEVEL:
            self.level = COLD_LEVEL

    def reset_to_cold(self) -> None:
        """Fall back to one slot at most."""
        self.level = min(self.level, COLD_LEVEL)
        self._warm_count = 0
        self._slow_count = 0

    def _check_latency(self, report: AnswerReport, now: float) -> None:
        """Note whether an answer fits the record of latencies."""
        slow = report.latency_s >= FAST_FACTOR * self.latency_s
        if slow or report.silent or not report.ok:
            self._confirmed_at = now

    def _record_silence(self, report: AnswerReport, now: float) -> None:
        """Take in that no answer came.

        One may be the connection's fault, and a call with a short deadline
        shows nothing.
        """
        long = self._is_long(report.latency_s)
        if report.overtaken or long:
            self._silences += 1
        if long:
            self._latency.add(report.latency_s)
        else:
            self._latency.add_censored(report.latency_s)
        if self._silences >= MAX_SILENCES:
            self._back_off(now)

    def _is_long(self, wait_s: float) -> bool:
        """Tell whether an answer would have come by then."""
        if self._latency.count < MIN_SAMPLES:
            return False
        return wait_s >= self._find_longest_s()

    def _find_longest_s(self) -> float:
        credible_s = self._latency.upper_bound_s(CREDIBLE_DEVIATIONS)
        return max(MIN_FIRST_BYTE_S, CREDIBLE_FACTOR * credible_s)

    def _back_off(self, now: float) -> None:
        self._failures += 1
        pause_s = FIRST_BACKOFF_S * 2**self._failures
        self._resume_at = now + min(MAX_BACKOFF_S, pause_s)

    def _record_start(self, start: StartId) -> None:
        if start in {'', self.start}:
            return
        if self.start:
            self._past_starts.add(self.start)
        self.start = start
        self.level = COLD_LEVEL
        self.reset_to_cold()

    def _record_success(
        self, report: AnswerReport, index: int, slots: int
    ) -> None:
        self._record_start(report.start)
        if self._is_slow(report.latency_s):
            self._slow_count += 1
        else:
            self._slow_count = 0
            self._latency.add(report.latency_s)
        if self._slow_count >= SLOW_ANSWERS:
            self.reset_to_cold()
            self._latency.add(report.latency_s)
            return
        if index == 0 and not self._slow_count:
            self._count_warm_answer(slots)

    def _count_warm_answer(self, slots: int) -> None:
        if self.level == DRAINING_LEVEL or self.level >= slots:
            return
        self._warm_count += 1
        self._cleared_signs = {
            **self._peer_cold_signs,
            self.member: self._cold_signs,
        }
        if self._warm_count >= self.warm_answers:
            self._warm_count = 0
            self.level += 1

    def _is_slow(self, latency_s: float) -> bool:
        if not self.latency_s:
            return False
        return latency_s > max(SLOW_FLOOR_S, SLOW_FACTOR * self.latency_s)
