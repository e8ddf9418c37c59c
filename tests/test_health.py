"""Slow start and backoff: a server never gets more calls than it can take."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ibisplank.connection import AttemptReport, EarnedSlots
from ibisplank.ids import MemberId, ServerId, StartId
from ibisplank.process import ServerHealth

SLOTS = 3
WARM_ANSWERS = 20
ANSWERS_PER_SLOT = 3
#: Time within which a server that is fast again must be used.
RECOVERED_S = 3.0
numbers = st.integers(0, 10_000)


class ColdStartMachine(RuleBasedStateMachine):
    """One holder for each slot of a server that may restart at any time.

    Each holder keeps a connection open, so that it notices a restart before it
    sends. The server can take one call, and one more for every three answers
    on its first slot.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 10.0
        self.records = [
            ServerHealth(MemberId(f'h{index}'), warm_answers=ANSWERS_PER_SLOT)
            for index in range(SLOTS)
        ]
        self.running: set[int] = set()
        self.starts = 0
        self.answers = 0
        self.closed = [False] * SLOTS
        self.messages: list[tuple[int, int, EarnedSlots]] = []

    def report(self, index: int, *, ok: bool) -> None:
        start = StartId(f'r{self.starts}') if ok else StartId('')
        found = AttemptReport(ok, 0.002, start)
        health = self.records[index]
        if health.record_answer(found, index, SLOTS, self.now):
            for other in range(SLOTS):
                if other != index:
                    remote = health.make_message(ServerId('b'))
                    self.messages.append((index, other, remote))

    @rule(index=st.integers(0, SLOTS - 1))
    def start_call(self, index: int) -> None:
        if index in self.running or not self.records[index].allows(
            index,
            self.now,
        ):
            return
        if self.closed[index]:
            self.closed[index] = False
            if index:
                self.report(index, ok=False)
                return
        self.running.add(index)

    @rule(index=st.integers(0, SLOTS - 1))
    def answer(self, index: int) -> None:
        if index in self.running:
            self.running.discard(index)
            self.answers += index == 0
            self.report(index, ok=True)

    @rule()
    def use_first_slot(self) -> None:
        self.now += 0.1
        self.start_call(0)
        self.answer(0)

    @rule()
    def restart(self) -> None:
        self.starts += 1
        self.answers = 0
        for index in sorted(self.running):
            self.report(index, ok=False)
        self.closed = [index not in self.running for index in range(SLOTS)]
        self.running = set()

    @rule(number=numbers, keep=st.booleans())
    def deliver(self, number: int, keep: bool) -> None:
        if self.messages:
            position = number % len(self.messages)
            sender, index, remote = self.messages[position]
            if not keep:
                self.messages.pop(position)
            self.records[index].merge(remote, MemberId(f'h{sender}'))

    @rule(seconds=st.sampled_from((0.001, 0.1, 2.0)))
    def advance(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def check_limit(self) -> None:
        assert len(self.running) <= 1 + self.answers // ANSWERS_PER_SLOT


TestColdStartMachine = ColdStartMachine.TestCase
TestColdStartMachine.settings = settings(
    max_examples=300,
    stateful_step_count=60,
)


def test_server_is_never_overloaded_in_long_runs() -> None:
    most = max(run_long(seed) for seed in range(60))
    assert most == SLOTS


def run_long(seed: int) -> int:
    """Run the machine with a seed; return the most calls that ran at once."""
    most = 0
    source = random.Random(seed)
    machine = ColdStartMachine()
    for _ in range(400):
        index = source.randrange(SLOTS)
        acts = (
            machine.use_first_slot,
            lambda at=index: machine.start_call(at),
            lambda at=index: machine.answer(at),
            lambda: machine.deliver(
                source.randrange(10_000),
                source.random() < 0.2,
            ),
            lambda: machine.advance(0.1),
            machine.restart,
        )
        source.choices(acts, (12, 30, 20, 20, 20, 3))[0]()
        machine.check_limit()
        most = max(most, len(machine.running))
    return most


def warm(health: ServerHealth) -> float:
    now = 1.0
    for _ in range(WARM_ANSWERS * SLOTS):
        now += 0.1
        good = AttemptReport(ok=True, latency_s=0.005, start=StartId('a'))
        health.record_answer(good, 0, SLOTS, now)
    return now


def test_answers_on_the_first_slot_allow_the_others() -> None:
    health = ServerHealth()
    warm(health)
    assert health.level == SLOTS


def test_slow_answers_make_a_server_cold() -> None:
    health = ServerHealth()
    now = warm(health)
    slow = AttemptReport(ok=True, latency_s=0.5, start=StartId('a'))
    for _ in range(3):
        health.record_answer(slow, 1, SLOTS, now)
    assert health.level == 1


def test_probes_do_not_raise_the_level() -> None:
    health = ServerHealth()
    health.record_probe(StartId('a'), leaving=False)
    for _ in range(50):
        health.record_probe(StartId('a'), leaving=False)
    assert health.level == 1


def test_leaving_server_gets_no_calls_until_it_stays() -> None:
    health = ServerHealth()
    now = warm(health)
    health.record_probe(StartId('a'), leaving=True)
    assert not health.allows(0, now + 9)
    health.record_probe(StartId('a'), leaving=False)
    assert health.allows(0, now + 9)
    assert health.level == 1


def test_server_too_slow_for_a_call_is_tried_again_after_a_while() -> None:
    health = ServerHealth()
    now = warm(health)
    slow = AttemptReport(ok=True, latency_s=4.0, start=StartId('a'))
    for _ in range(30):
        health.record_answer(slow, 0, SLOTS, now)
    assert health.can_finish_within(10.0, now)
    assert not health.can_finish_within(1.0, now)
    assert health.can_finish_within(1.0, now + 2.0)


def test_first_byte_timeout_follows_the_latency() -> None:
    health = ServerHealth()
    assert health.find_first_byte_timeout_s(2.0) == 2.0
    warm(health)
    assert health.find_first_byte_timeout_s(2.0) < 2.0 / 2


def test_first_byte_timeout_spares_a_healthy_server() -> None:
    """Guards against a time-out that shrinks with each answer it cuts off."""
    cut = 0
    for seed in range(20):
        source = random.Random(seed)
        health = ServerHealth()
        now = 1.0
        for _ in range(200):
            now += 0.1
            latency_s = source.expovariate(10.0)
            timeout_s = health.find_first_byte_timeout_s(2.0)
            silent = latency_s > timeout_s
            cut += silent
            report = AttemptReport(
                ok=True,
                latency_s=min(latency_s, timeout_s),
                start=StartId('' if silent else 'a'),
                silent=silent,
            )
            health.record_answer(report, 0, SLOTS, now)
    assert cut <= 0.01 * 20 * 200


def test_silent_connection_is_no_sign_of_a_cold_server() -> None:
    health = ServerHealth()
    now = warm(health)
    silent = AttemptReport(ok=True, latency_s=0.3, silent=True)
    health.record_answer(silent, 0, SLOTS, now)
    assert health.level == SLOTS


def test_report_without_a_start_id_keeps_the_known_start() -> None:
    health = ServerHealth()
    now = warm(health)
    bare = AttemptReport(ok=True, latency_s=0.005)
    health.record_answer(bare, 0, SLOTS, now)
    assert (health.level, health.start) == (SLOTS, 'a')
    health.merge(
        EarnedSlots(ServerId('b'), StartId(''), 1, 1), MemberId('other')
    )
    assert (health.level, health.start) == (1, 'a')
    warm(health)
    assert health.level == SLOTS


def make_sampled_health() -> ServerHealth:
    """Return the health of a server that answered many calls in 5 ms."""
    health = ServerHealth(MemberId('h'))
    for _ in range(100):
        health.record_answer(
            AttemptReport(True, 0.005, StartId('a')),
            1,
            SLOTS,
            0,
        )
    return health


def test_unanswered_calls_cause_backoff() -> None:
    health = make_sampled_health()
    overtaken = AttemptReport(
        ok=True,
        latency_s=0.02,
        silent=True,
        overtaken=True,
    )
    for _ in range(2):
        health.record_answer(overtaken, 1, SLOTS, 1.0)
    assert health.allows(0, 1.0)
    late = AttemptReport(ok=True, latency_s=5.0, silent=True)
    health.record_answer(late, 1, SLOTS, 1.0)
    assert not health.allows(0, 1.0)
    assert health.allows(0, 2.1)
    health.record_answer(
        AttemptReport(True, 0.005, StartId('a')), 1, SLOTS, 3.0
    )
    health.record_answer(late, 1, SLOTS, 3.0)
    assert health.allows(0, 3.01)


def test_short_deadlines_cause_no_backoff() -> None:
    health = make_sampled_health()
    short = AttemptReport(ok=True, latency_s=0.001, silent=True)
    for _ in range(100):
        health.record_answer(short, 1, SLOTS, 1.0)
        assert health.allows(0, 1.0)


def test_calls_cut_off_do_not_lower_the_mean_latency() -> None:
    health = ServerHealth()
    now = warm(health)
    source = random.Random(1)
    mean_s = 0.1
    seen = []
    for turn in range(2000):
        length_s = source.expovariate(1 / mean_s)
        left_s = source.uniform(0.02, 0.2)
        report = AttemptReport(
            ok=True,
            latency_s=min(length_s, left_s),
            start=StartId('' if length_s > left_s else 'a'),
            silent=length_s > left_s,
        )
        health.record_answer(report, 0, SLOTS, now)
        if turn >= 200:
            seen.append(health.latency_s)
    assert abs(sum(seen) / len(seen) - mean_s) < 0.25 * mean_s


def test_server_is_used_again_seconds_after_a_slow_period() -> None:
    health = ServerHealth()
    now = warm(health)
    for _ in range(40):
        now += 0.5
        slow = AttemptReport(ok=True, latency_s=1.0, start=StartId('a'))
        health.record_answer(slow, 0, SLOTS, now)
    assert not health.can_finish_within(0.5, now)
    end = now + RECOVERED_S
    while now < end:
        now += 0.05
        if health.can_finish_within(0.5, now):
            fast = AttemptReport(ok=True, latency_s=0.01, start=StartId('a'))
            health.record_answer(fast, 0, SLOTS, now)
    for _ in range(20):
        now += 0.05
        assert health.can_finish_within(0.5, now)
