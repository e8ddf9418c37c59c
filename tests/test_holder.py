"""Which slot of a holder a queued call gets."""

import pytest

from ibisplank.connection import AttemptReport
from ibisplank.ids import (
    CustomerId,
    MemberId,
    Priority,
    ServerId,
    ServiceId,
    StartId,
    VmId,
    ZoneId,
)
from ibisplank.process import Holder, QueuedCall, ServerHealth, Slot
from ibisplank.version import Server, SlotId

SERVICE = ServiceId('s')
NEAR = ZoneId('near')
FAR = ZoneId('far')
ME = MemberId('m')


def make_holder(zones: dict[str, ZoneId], slots: int = 1) -> Holder:
    """Return a holder of all slots of warm servers in given zones."""
    health = {ServerId(name): ServerHealth(ME, level=slots) for name in zones}
    holder = Holder(ME, health, set())
    held = {}
    for name, zone in zones.items():
        server = Server(
            ServerId(name),
            VmId(name),
            zone,
            SERVICE,
            '127.0.0.1:1',
            slots,
        )
        for index in range(slots):
            slot = SlotId(server.server, index)
            held[slot] = Slot(slot, server)
    holder.update_slots(held)
    holder.dispatch_lease_until = 1e9
    return holder


def request_slot(
    holder: Holder,
    number: int,
    priority: Priority = Priority.NORMAL,
    left_s: float = 5.0,
    customer: str = 'c',
) -> list[tuple[int, ServerId]]:
    queued = QueuedCall(
        priority,
        1.0 + left_s,
        ME,
        number,
        SERVICE,
        CustomerId(customer),
        NEAR,
    )
    granted = holder.enqueue(queued, 1.0)
    return [(each.queued.call, each.slot_id.server) for each in granted]


def record_answers(
    holder: Holder,
    name: str,
    latency_s: float,
    load: float = 0.0,
) -> None:
    """Record many answers of a server."""
    for _ in range(50):
        record_once(holder, name, latency_s, load)


def record_once(
    holder: Holder,
    name: str,
    latency_s: float,
    load: float = 0.0,
) -> None:
    """Record an answer of a server."""
    health = holder._health[ServerId(name)]
    report = AttemptReport(True, latency_s, StartId('a'), load)
    health.record_answer(report, 1, 1, 0.0)
    health.level = 1


def test_near_server_is_preferred_and_far_one_is_better_than_waiting() -> None:
    holder = make_holder({'a': FAR, 'b': NEAR, 'c': FAR})
    record_answers(holder, 'b', 0.5)
    assert request_slot(holder, 1) == [(1, 'b')]
    assert [server in {'a', 'c'} for _, server in request_slot(holder, 2)] == [
        True
    ]
    assert len(request_slot(holder, 3)) == 1
    assert request_slot(holder, 4) == []


@pytest.mark.parametrize(
    ('one', 'two', 'best'),
    [
        ((0.010, 0.0), (0.020, 0.0), 'one'),
        ((0.010, 0.9), (0.012, 0.0), 'two'),
        ((0.020, 0.5), (0.020, 0.1), 'two'),
    ],
)
def test_latency_and_load_decide_within_a_zone(
    one: tuple[float, float],
    two: tuple[float, float],
    best: str,
) -> None:
    holder = make_holder({'one': NEAR, 'two': NEAR})
    record_answers(holder, 'one', *one)
    record_answers(holder, 'two', *two)
    assert request_slot(holder, 1) == [(1, best)]


def test_server_too_slow_for_the_deadline_is_skipped() -> None:
    holder = make_holder({'slow': NEAR, 'fast': FAR})
    record_answers(holder, 'slow', 1.0)
    record_answers(holder, 'fast', 0.01)
    assert request_slot(holder, 1, left_s=0.5) == [(1, 'fast')]
    assert request_slot(holder, 2, left_s=0.5) == []
    assert request_slot(holder, 3, left_s=5.0) == [(3, 'slow')]


def test_waiting_calls_go_by_priority_then_deadline() -> None:
    holder = make_holder({'a': NEAR})
    first = request_slot(holder, 1)
    request_slot(holder, 2, left_s=3.0)
    request_slot(holder, 3, left_s=2.0)
    request_slot(holder, 4, Priority.EMERGENCY, left_s=4.0)
    order = []
    while first:
        loan = next(iter(holder._loans))
        holder.end_loan(loan, None, 1.5)
        first = [
            (g.queued.call, g.slot_id.server)
            for g in holder.grant(SERVICE, 1.5)
        ]
        order.extend(number for number, _ in first)
    assert order == [4, 3, 2]


def test_flood_of_one_customer_does_not_delay_another() -> None:
    holder = make_holder({'a': NEAR})
    for number in range(50):
        request_slot(holder, number, left_s=1.0, customer='flood')
    request_slot(holder, 100, left_s=9.0, customer='quiet')
    order = []
    while len(order) < 2:
        loan = next(iter(holder._loans))
        holder.end_loan(loan, None, 1.5)
        order += [each.queued.call for each in holder.grant(SERVICE, 1.5)]
    assert 100 in order


def test_call_with_little_time_left_goes_after_all_others() -> None:
    holder = make_holder({'a': NEAR, 'b': NEAR})
    for name in ('a', 'b'):
        for turn in range(50):
            record_once(holder, name, 0.02 if turn % 2 else 0.2)
    assert request_slot(holder, 1, left_s=0.3)
    assert request_slot(holder, 2, left_s=9.0)
    request_slot(holder, 3, left_s=0.3)
    request_slot(holder, 4, left_s=5.0)
    holder.end_loan(next(iter(holder._loans)), None, 1.01)
    granted = [each.queued.call for each in holder.grant(SERVICE, 1.01)]
    assert granted == [4]
    holder.end_loan(next(iter(holder._loans)), None, 1.02)
    granted = [each.queued.call for each in holder.grant(SERVICE, 1.02)]
    assert granted == [3]
