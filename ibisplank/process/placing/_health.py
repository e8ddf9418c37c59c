"""Health of backend servers: slow start, latency and backoff."""

from dataclasses import dataclass, field

from ibisplank.connection import AttemptReport, EarnedSlots
from ibisplank.ids import MemberId, ServerId, StartId
from ibisplank.process.placing._latency import LatencyAverage

#: Level of a server that reports that it is leaving.
DRAINING_LEVEL = 0
COLD_LEVEL = 1
#: Answers after which one more slot is allowed, unless a contract sets another
#: number.
WARM_ANSWERS = 20
#: Pause between two calls on a cold server.
COLD_PAUSE_S = 0.005
#: After n failures in a row, backoff lasts 2**n times this.
BACKOFF_UNIT_S = 0.025
MAX_BACKOFF_S = 1.0
#: An answer is slow if it takes more than this many times the mean latency.
SLOW_FACTOR = 5.0
#: Answers faster than this are never slow.
SLOW_FLOOR_S = 0.02
#: Slow answers in a row after which a server is treated as cold.
SLOW_ANSWERS = 3
#: Unanswered calls in a row after which backoff starts.
MAX_SILENCES = 3
#: Time that a call should have left: mean latency plus this many deviations.
SAFE_DEVIATIONS = 3.0
#: Deviations that suffice if no call with more time left needs the slot.
SPARE_DEVIATIONS = 1.0
#: Once the mean latency has not been confirmed for this long, it excludes no
#: call.
LATENCY_TTL_S = 2.0
#: An answer faster than this share of the mean latency does not confirm it.
FAST_FACTOR = 0.5
#: An answer is overdue after `OVERDUE_FACTOR` times the sum of the mean latency
#: and this many deviations.
OVERDUE_DEVIATIONS = 6.0
OVERDUE_FACTOR = 2.0
#: Shortest time-out for the head of an answer.
MIN_FIRST_BYTE_S = 0.25
#: Samples needed to tell a silent server from a slow one.
MIN_SAMPLES = 20


@dataclass(slots=True)
class ServerHealth:
    """Health of one backend server, as one member sees it.

    A server starts cold, with one slot. Each `warm_answers` good answers on
    its first slot allow one more. A failure or several slow answers in a row
    make it cold again.

    Members tell each other their levels. Each failure that a member sees
    itself is a cold sign, which it counts. With its level a member sends
    `cleared_signs`: the counts of all members that it knew when the first slot
    last gave a good answer. The receiver does not raise its own level if the
    count given for it is too low: the sender then has had no good answer since
    it learnt of the receiver's latest failure.

    Attributes
    ----------
    member : MemberId
        Member that keeps this record.
    start : StartId
        Run of the server, new with each restart; empty if unknown.
    level : int
        Number of slots that may be used; 0 if the server is leaving.
    warm_answers : int
        Answers on the first slot after which one more slot is allowed.
    load : float
        Share of its capacity that it last reported as in use.
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
        """Mean latency of recent calls, 0 before the first answer."""
        return self._latency.mean_s

    @property
    def failing(self) -> bool:
        """Whether no good answer has followed the latest failure."""
        return bool(self._failures)

    def allows(self, index: int, now: float) -> bool:
        """Tell whether the slot with an index may start a call now."""
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
        """Tell whether a call is likely to end in the time left."""
        return self.estimate_latency_s(now, deviations) <= left_s

    def estimate_latency_s(
        self,
        now: float,
        deviations: float = SPARE_DEVIATIONS,
    ) -> float:
        """Return the time in which most calls end, 0 without a recent latency.

        A mean latency that has not been confirmed for `LATENCY_TTL_S` must let
        calls through, as only their answers can correct it.
        """
        if now >= self._confirmed_at + LATENCY_TTL_S:
            return 0.0
        return self._latency.upper_bound_s(deviations)

    def find_first_byte_timeout_s(self, deadline_s: float) -> float:
        """Return the time-out for the head of an answer."""
        if self._latency.count < MIN_SAMPLES:
            return deadline_s
        return min(deadline_s, self._find_overdue_s())

    def record_answer(
        self,
        report: AttemptReport,
        index: int,
        slots: int,
        now: float,
    ) -> bool:
        """Record the result of an attempt.

        Parameters
        ----------
        index : int
            Slot of the attempt; only answers on slot 0 raise the level.
        slots : int
            Slots of the server when warm.

        Returns
        -------
        bool
            Whether the other members must be told of the change.
        """
        before = (self.level, self.start, self._cold_signs)
        self._confirm_latency(report, now)
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

    def merge(self, remote: EarnedSlots, sender: MemberId) -> None:
        """Apply what another member reports of the server.

        A lower level is adopted at once. A higher one is adopted only if the
        sender has had a good answer since it learnt of this member's latest
        cold sign.
        """
        known = self._peer_cold_signs.get(sender, 0)
        self._peer_cold_signs[sender] = max(known, remote.cold_signs)
        if remote.start in self._past_starts:
            return
        self._record_start(remote.start)
        if remote.level < self.level:
            self.reset_to_cold()
            self.level = remote.level
        elif remote.cleared_signs.get(self.member, 0) >= self._cold_signs:
            self.level = remote.level

    def make_message(self, server: ServerId) -> EarnedSlots:
        """Return the message that tells other members of the server."""
        return EarnedSlots(
            server,
            self.start,
            self.level,
            self._cold_signs,
            self._cleared_signs,
        )

    def record_probe(self, start: StartId, *, leaving: bool) -> None:
        """Record what a probe showed.

        A probe never allows more slots, except the first slot of a server that
        was leaving and now stays.
        """
        if start in self._past_starts:
            return
        self._record_start(start)
        if leaving:
            self.level = DRAINING_LEVEL
        elif self.level == DRAINING_LEVEL:
            self.level = COLD_LEVEL

    def reset_to_cold(self) -> None:
        """Allow one slot at most, and start the warm-up again."""
        self.level = min(self.level, COLD_LEVEL)
        self._warm_count = 0
        self._slow_count = 0

    def _confirm_latency(self, report: AttemptReport, now: float) -> None:
        """Record the time at which the mean latency was last confirmed.

        An answer far below the mean does not confirm it.
        """
        not_fast = report.latency_s >= FAST_FACTOR * self.latency_s
        if not_fast or report.silent or not report.ok:
            self._confirmed_at = now

    def _record_silence(self, report: AttemptReport, now: float) -> None:
        """Record a call without an answer.

        Backoff starts only after `MAX_SILENCES`, as the fault may lie with
        one connection. A call that was cut off by a short deadline does not
        count.
        """
        overdue = self._is_overdue(report.latency_s)
        if report.overtaken or overdue:
            self._silences += 1
        if overdue:
            self._latency.add(report.latency_s)
        else:
            self._latency.add_censored(report.latency_s)
        if self._silences >= MAX_SILENCES:
            self._back_off(now)

    def _is_overdue(self, wait_s: float) -> bool:
        """Tell whether an answer is overdue after a wait."""
        if self._latency.count < MIN_SAMPLES:
            return False
        return wait_s >= self._find_overdue_s()

    def _find_overdue_s(self) -> float:
        """Return the wait after which an answer is overdue."""
        bound_s = self._latency.upper_bound_s(OVERDUE_DEVIATIONS)
        return max(MIN_FIRST_BYTE_S, OVERDUE_FACTOR * bound_s)

    def _back_off(self, now: float) -> None:
        self._failures += 1
        pause_s = BACKOFF_UNIT_S * 2**self._failures
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
        self,
        report: AttemptReport,
        index: int,
        slots: int,
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
