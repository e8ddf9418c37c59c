"""Slot scheduling: a backend server never runs more calls than it has slots."""

import random

from hypothesis import settings

from ibisplank.connection import AttemptReport, SlotHandover
from ibisplank.ids import MemberId
from tests.machine import SchedulerMachine, step
from tests.world import LIMIT, Node, World, settle

TestSchedulerMachine = SchedulerMachine.TestCase
TestSchedulerMachine.settings = settings(
    max_examples=60,
    stateful_step_count=60,
)


def test_slots_are_never_exceeded_in_long_runs() -> None:
    runs = 0
    admitted = 0
    for seed in range(60):
        source = random.Random(seed)
        machine = SchedulerMachine()
        settle(machine.world)
        for _ in range(600):
            step(machine, source)
            assert not machine.world.find_overruns(), f'seed {seed}'
            assert not machine.world.find_shared_slots(), f'seed {seed}'
            assert machine.world.count_in_flight() <= LIMIT, f'seed {seed}'
        runs += machine.world.runs
        admitted += machine.world.admitted
    assert runs > 1000
    assert admitted > 1000


def use_slots(world: World, name: MemberId, count: int) -> Node:
    for _ in range(count):
        world.request(name, 5.0)
        settle(world)
    world.send(name)
    return world.nodes[name]


def test_one_member_can_use_every_slot_of_the_cell() -> None:
    world = World(4, 3)
    settle(world)
    node = use_slots(world, MemberId('m0.0'), 6)
    assert len(node.running) == 6


def test_trial_gets_only_the_first_slot_of_its_server() -> None:
    world = World(3, 2)
    settle(world)
    name = MemberId('m1.0')
    only = world.servers[1].server
    world.request(name, 5.0, only)
    settle(world)
    world.send(name)
    leases = list(world.nodes[name].running.values())
    assert [(each.server, each.index) for each in leases] == [(only, 0)]
    other = MemberId('m2.0')
    world.request(other, 5.0, only)
    settle(world)
    world.request(other, 5.0)
    settle(world)
    world.send(other)
    running = world.nodes[other].running.values()
    assert [(e.server, e.index) == (only, 0) for e in running] == [False]
    world.finish(name)
    settle(world)
    assert [e.server for e in world.nodes[other].assigned] == [only]


def test_call_gets_no_slot_of_a_server_that_it_avoids() -> None:
    world = World(3, 2)
    settle(world)
    name = MemberId('m1.0')
    avoid = world.servers[0].server
    for _ in range(4):
        world.request(name, 5.0, avoid=avoid)
        settle(world)
    world.request(name, 5.0)
    settle(world)
    servers = [each.server for each in world.nodes[name].assigned]
    other = world.servers[1].server
    assert servers == [other, other, avoid]


def test_loan_for_any_call_is_not_used_for_a_trial() -> None:
    world = World(2, 2)
    settle(world)
    name = MemberId('m0.0')
    use_slots(world, MemberId('m1.0'), 4)
    only = world.servers[0].server
    world.request(name, 5.0)
    world.request(name, 5.0, only)
    settle(world)
    world.finish(MemberId('m1.0'))
    settle(world)
    assert len(world.nodes[name].assigned) == 2
    assert (only, 0) in {
        (each.server, each.index) for each in world.nodes[name].assigned
    }


def test_released_slot_goes_to_a_call_that_waits_at_another_member() -> None:
    world = World(3, 1)
    settle(world)
    use_slots(world, MemberId('m0.0'), 2)
    world.request(MemberId('m1.0'), 5.0)
    settle(world)
    world.finish(MemberId('m0.0'))
    settle(world)
    assert world.nodes[MemberId('m1.0')].assigned


def test_loans_of_a_dead_borrower_expire() -> None:
    world = World(2, 1)
    settle(world)
    use_slots(world, MemberId('m0.0'), 2)
    world.nodes[MemberId('m0.0')].alive = False
    world.advance(6.0)
    settle(world)
    world.replace_roster(MemberId('m1.0'), frozenset((MemberId('m0.0'),)))
    world.nodes[MemberId('m1.0')].membership.mark_ended({MemberId('m0.0')})
    settle(world)
    world.advance(15.0)
    settle(world)
    node = use_slots(world, MemberId('m1.0'), 2)
    assert len(node.running) == 2


def test_paused_holder_grants_nothing_when_it_resumes() -> None:
    world = World(3, 4)
    settle(world)
    paused = MemberId('m0.0')
    world.nodes[paused].paused = True
    world.advance(60.0)
    world.nodes[paused].paused = False
    world.request(paused, 5.0)
    assert not world.nodes[paused].assigned


def test_handover_from_an_older_epoch_is_ignored() -> None:
    world = World(2, 1)
    settle(world)
    node = world.nodes[MemberId('m0.0')]
    old = SlotHandover(0, world.servers[0].server, 0)
    assert node.scheduler.receive(MemberId('m1.0'), old, world.now) == []


def test_failure_at_a_borrower_is_shared_and_can_be_cleared() -> None:
    world = World(3, 1)
    settle(world)
    server = world.servers[0].server
    borrower = next(
        name
        for name, node in world.nodes.items()
        if not node.scheduler.holder.slots
    )
    node = use_slots(world, borrower, 1)
    lease = next(iter(node.running.values()))
    node.running = {}
    bad = AttemptReport(ok=False, latency_s=0.1)
    world.perform(borrower, node.scheduler.release(lease, bad, world.now))
    settle(world)
    assert node.scheduler.servers.health[server].level == 1
    for _ in range(30):
        world.advance(1.0)
        settle(world)
        world.request(borrower, 5.0)
        settle(world)
        world.send(borrower)
        world.finish(borrower)
        settle(world)
    assert node.scheduler.servers.health[server].level == 2
