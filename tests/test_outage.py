"""Calls are served through a store outage of one hour."""

import random

from ibisplank.ids import MemberId
from tests.world import SLOTS, World, settle

HOUR_S = 3600
#: Rounds of messages in which a request for a slot reaches every lender.
ASK_ROUNDS = 3


def serve_for(world: World, seconds: int, source: random.Random) -> int:
    """Let live members serve calls of 0.5 s; return how many ran."""
    before = world.runs
    for _ in range(seconds):
        live = [name for name, node in world.nodes.items() if node.alive]
        for name in live:
            world.send_heartbeats(name)
            world.tick(name)
        world.deliver_all()
        for _ in range(4):
            world.request(source.choice(live), 0.9)
        for _ in range(ASK_ROUNDS):
            world.deliver_all()
            world.advance(0.02)
            for name in live:
                world.tick(name)
        for name in live:
            world.send(name)
        assert not world.find_shared_slots()
        world.advance(0.5)
        for name in live:
            world.finish(name)
        world.deliver_all()
        world.advance(0.5)
    return world.runs - before


def test_calls_are_served_through_an_hour_without_the_store() -> None:
    source = random.Random(1)
    world = World(4, 4)
    settle(world)
    dead = MemberId('m0.0')
    assert serve_for(world, 600, source) == 4 * 600
    world.nodes[dead].alive = False
    world.nodes[dead].running = {}
    serve_for(world, 60, source)
    assert serve_for(world, 540, source) == 4 * 540
    for _ in range(2):
        world.join(table=False)
    assert serve_for(world, HOUR_S - 1200, source) == 4 * (HOUR_S - 1200)
    fresh = MemberId('m4.0')
    assert not world.nodes[fresh].scheduler.holder.slots
    world.replace_roster(MemberId('m1.0'), frozenset((dead,)))
    world.replace_roster(fresh, frozenset(), joins=True)
    for name, node in world.nodes.items():
        if node.alive:
            world.read_table(name)
            node.membership.mark_ended({dead})
    serve_for(world, 60, source)
    held = [
        slot
        for node in world.nodes.values()
        if node.alive
        for slot in node.scheduler.holder.slots.values()
        if slot.state.value == 'free'
    ]
    assert len(held) == 4 * SLOTS
