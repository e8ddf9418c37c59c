"""Borrower: which waiting call gets a loan, and which is refused."""

import random

import pytest

from ibisplank.connection import AttemptReport, SlotGrant
from ibisplank.ids import (
    CallId,
    CustomerId,
    LoanId,
    MemberId,
    Priority,
    ServerId,
    ServiceId,
    StartId,
    ZoneId,
)
from ibisplank.process import Borrower, Refuse, ServerHealth, SlotDemand
from tests.world import World

SERVICE = ServiceId('s')
LENDER = MemberId('lender')
NOW_S = 1.0


def make_demand(
    number: int,
    customer: str,
    deadline: float,
    priority: Priority = Priority.NORMAL,
) -> SlotDemand:
    return SlotDemand(
        CallId(number),
        SERVICE,
        CustomerId(customer),
        priority,
        deadline,
    )


def use_loan(
    borrower: Borrower,
    call: int,
    latency_s: float = 0.0,
) -> CallId | None:
    """Return the call that gets a loan from a server of some latency."""
    health = ServerHealth()
    if latency_s:
        report = AttemptReport(ok=True, latency_s=latency_s)
        health.record_answer(report, 0, 1, NOW_S)
    grant = SlotGrant(call, LoanId('l'), ServerId('b'), 0, 0)
    found = borrower.assign_loan(LENDER, grant, health, NOW_S)
    return None if found is None else found[0]


@pytest.mark.parametrize(
    ('others', 'used'),
    [
        ([make_demand(2, 'flood', 2.0)], 1),
        ([make_demand(2, 'quiet', 2.0)], 2),
        ([make_demand(2, 'quiet', 9.0)], 1),
        ([make_demand(2, 'flood', 9.0, Priority.EMERGENCY)], 2),
    ],
)
def test_loan_goes_to_its_customer_unless_another_is_more_urgent(
    others: list[SlotDemand],
    used: int,
) -> None:
    borrower = Borrower(ZoneId('z'), random.Random(1))
    borrower.update_lenders({SERVICE: {LENDER}})
    for demand in (make_demand(1, 'quiet', 5.0), *others):
        borrower.add(demand, NOW_S)
        borrower.ask_first(demand.call, NOW_S)
    assert use_loan(borrower, 1) == used


def test_loan_that_its_customer_no_longer_needs_goes_to_another() -> None:
    borrower = Borrower(ZoneId('z'), random.Random(1))
    borrower.update_lenders({SERVICE: {LENDER}})
    for demand in (make_demand(1, 'quiet', 5.0), make_demand(2, 'other', 5.0)):
        borrower.add(demand, NOW_S)
        borrower.ask_first(demand.call, NOW_S)
    borrower.remove(CallId(1))
    assert use_loan(borrower, 1) == CallId(2)


def test_loan_skips_calls_that_its_server_cannot_finish_in_time() -> None:
    borrower = Borrower(ZoneId('z'), random.Random(1))
    borrower.update_lenders({SERVICE: {LENDER}})
    late = make_demand(1, 'c', NOW_S + 0.05)
    for demand in (late, make_demand(2, 'c', NOW_S + 1.0)):
        borrower.add(demand, NOW_S)
        borrower.ask_first(demand.call, NOW_S)
    assert use_loan(borrower, 2, latency_s=0.1) == CallId(2)
    assert use_loan(borrower, 2, latency_s=0.01) == CallId(1)
    borrower.remove(CallId(2))
    assert use_loan(borrower, 2, latency_s=0.1) is None


def test_call_is_refused_once_no_server_can_answer_in_time() -> None:
    world = World(1, 1)
    (node,) = world.nodes.values()
    for left_s in (9.0, 9.0, 0.5, 0.05):
        world.request(MemberId('m0.0'), left_s)
    report = AttemptReport(ok=True, latency_s=0.1, start=StartId('x'))
    (health,) = node.scheduler.servers.health.values()
    health.record_answer(report, 0, 2, world.now)
    refused = [
        action.call
        for action in node.scheduler.tick(world.now)
        if isinstance(action, Refuse)
    ]
    assert refused == [CallId(4)]
    assert node.scheduler.waiting == 1
