"""Hypothesis state machine that drives the model in `tests.world`."""

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ibisplank.ids import MemberId
from tests.world import LIMIT, World

STEPS_S = (0.0005, 0.003, 0.1, 1.0, 3.0, 6.0, 15.0)
numbers = st.integers(0, 10_000)


class SchedulerMachine(RuleBasedStateMachine):
    """Members under lost, repeated, reordered messages, pauses and crashes."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World(3, 2)

    def pick_member(
        self, number: int, *, paused: bool = False
    ) -> MemberId | None:
        names = [
            name
            for name, node in self.world.nodes.items()
            if node.alive and node.paused is paused
        ]
        return names[number % len(names)] if names else None

    @rule(number=numbers, timeout_s=st.sampled_from((0.05, 1.0, 9.0)))
    def request(self, number: int, timeout_s: float) -> None:
        if name := self.pick_member(number):
            self.world.request(name, timeout_s)

    @rule(number=numbers, server=numbers)
    def request_trial(self, number: int, server: int) -> None:
        """Request the first slot of one server, as a trial does."""
        if name := self.pick_member(number):
            servers = self.world.servers
            only = servers[server % len(servers)].server
            self.world.request(name, 2.0, only)

    @rule(number=numbers, count=st.integers(1, 30))
    def deliver(self, number: int, count: int) -> None:
        for _ in range(count):
            self.world.deliver(number)

    @rule(number=numbers)
    def duplicate(self, number: int) -> None:
        self.world.deliver(number, keep=True)

    @rule(number=numbers)
    def lose(self, number: int) -> None:
        if self.world.packets:
            self.world.packets.pop(number % len(self.world.packets))

    @rule(number=numbers)
    def send(self, number: int) -> None:
        if name := self.pick_member(number):
            self.world.send(name)

    @rule(number=numbers, timeout_s=st.sampled_from((0.05, 1.0, 9.9)))
    def admit(self, number: int, timeout_s: float) -> None:
        if name := self.pick_member(number):
            self.world.admit(name, timeout_s)

    @rule(number=numbers)
    def borrow(self, number: int) -> None:
        """Admit a call with a short deadline, borrowing permits if needed."""
        if name := self.pick_member(number):
            self.world.admit(name, 0.05)
            for _ in range(len(self.world.packets)):
                self.world.deliver(0)
            self.world.admit(name, 0.05)

    @rule(number=numbers)
    def end_call(self, number: int) -> None:
        if name := self.pick_member(number):
            self.world.end_call(name)

    @rule(number=numbers)
    def finish(self, number: int) -> None:
        if name := self.pick_member(number):
            self.world.finish(name)

    @rule(number=numbers)
    def use_slot(self, number: int) -> None:
        """Request a slot, deliver all messages in order and send the call."""
        if name := self.pick_member(number):
            self.world.request(name, 2.0)
            for _ in range(len(self.world.packets)):
                self.world.deliver(0)
            self.world.send(name)

    @rule()
    def all_members_act(self) -> None:
        for name, node in self.world.nodes.items():
            if node.alive and not node.paused:
                self.world.send_heartbeats(name)
                self.world.tick(name)

    @rule(seconds=st.sampled_from(STEPS_S))
    def advance(self, seconds: float) -> None:
        self.world.advance(seconds)

    @rule(number=numbers)
    def read_table(self, number: int) -> None:
        if name := self.pick_member(number):
            self.world.read_table(name)

    @rule(number=numbers, other=numbers)
    def remove(self, number: int, other: int) -> None:
        name = self.pick_member(number)
        names = list(self.world.nodes)
        if name:
            gone = frozenset((names[other % len(names)],))
            self.world.replace_roster(name, gone)

    @rule()
    def join(self) -> None:
        if len(self.world.nodes) < 6:
            self.world.join()

    @rule(number=numbers)
    def pause(self, number: int) -> None:
        if name := self.pick_member(number):
            self.world.nodes[name].paused = True

    @rule(number=numbers)
    def resume(self, number: int) -> None:
        if name := self.pick_member(number, paused=True):
            self.world.nodes[name].paused = False

    @rule(number=numbers)
    def die(self, number: int) -> None:
        if name := self.pick_member(number):
            self.world.nodes[name].alive = False
            self.world.nodes[name].assigned = []

    @invariant()
    def no_server_runs_more_calls_than_slots(self) -> None:
        assert not self.world.find_overruns()

    @invariant()
    def no_slot_runs_two_calls(self) -> None:
        assert not self.world.find_shared_slots()

    @invariant()
    def no_customer_exceeds_its_limit(self) -> None:
        assert self.world.count_in_flight() <= LIMIT


def step(machine: SchedulerMachine, source: random.Random) -> None:
    """Take one random step, chosen by weight."""
    number = source.randrange(10_000)
    actions = (
        (12, lambda: machine.request(number, source.choice((0.05, 1.0, 9.0)))),
        (25, lambda: machine.deliver(number, source.randint(1, 30))),
        (2, lambda: machine.duplicate(number)),
        (1, lambda: machine.lose(number)),
        (12, lambda: machine.send(number)),
        (8, lambda: machine.finish(number)),
        (20, lambda: machine.admit(number, source.choice((0.05, 1.0, 9.9)))),
        (16, lambda: machine.end_call(number)),
        (20, lambda: machine.borrow(number)),
        (12, machine.all_members_act),
        (12, lambda: machine.advance(source.choice(STEPS_S[:3]))),
        (1, lambda: machine.advance(source.choice(STEPS_S[3:]))),
        (20, lambda: machine.use_slot(number)),
        (3, lambda: machine.read_table(number)),
        (1, lambda: machine.remove(number, source.randrange(10_000))),
        (1, machine.join),
        (1, lambda: machine.pause(number)),
        (2, lambda: machine.resume(number)),
    )
    weights = [weight for weight, _ in actions]
    source.choices([action for _, action in actions], weights)[0]()
