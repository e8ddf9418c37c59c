"""Permits: customers stay within their limits while permits are lent."""

from ibisplank.connection import PermitGrant, PermitRequest, PermitReturn
from ibisplank.ids import MemberId, VmId, ZoneId
from ibisplank.process import (
    PERMIT_LEASE_S,
    PERMIT_REQUEST_INTERVAL_S,
    Assign,
    Deliver,
    Permits,
)
from ibisplank.version import DISPATCH_LEASE_S, Member, PastRoster, Roster
from tests.world import CUSTOMER, LIMIT, World, settle

A, B, C, D, E = (MemberId(f'm{number}.0') for number in range(5))
START_S = 100.0
#: Limit that divides evenly among two and among three members.
EVEN_LIMIT = 6
#: Requests that fit into the time for which a call waits for a permit.
REQUEST_COUNT = 5


def admit_until_limit(world: World, name: MemberId, timeout_s: float) -> None:
    """Admit calls at a member until it gets no more permits."""
    for _ in range(4 * LIMIT):
        world.admit(name, timeout_s)
        world.advance(0.03)
        world.deliver_all()


def test_one_member_can_use_the_whole_limit() -> None:
    world = World(3, 1)
    settle(world)
    admit_until_limit(world, A, 9.0)
    assert world.count_in_flight() == LIMIT


def test_the_rate_limit_holds_over_the_whole_cell() -> None:
    world = World(3, 1)
    settle(world)
    rate_per_s = 10.0
    for node in world.nodes.values():
        limits = {CUSTOMER: (LIMIT, rate_per_s)}
        node.permits.update_limits(limits, world.now)
    start = world.now
    before = world.admitted
    for _ in range(400):
        world.advance(0.05)
        for name in world.nodes:
            world.admit(name, 0.01)
            world.tick(name)
        world.deliver_all()
    elapsed_s = world.now - start
    burst = rate_per_s * 0.25 + len(world.nodes)
    assert world.admitted - before <= rate_per_s * elapsed_s + burst


def test_quotas_sum_to_the_limit() -> None:
    world = World(3, 1)
    settle(world)
    quotas = [
        node.permits.shares[CUSTOMER].quota for node in world.nodes.values()
    ]
    assert sum(quotas) == LIMIT


def test_leases_of_a_fenced_member_and_grown_quotas_keep_the_limit() -> None:
    world = World(5, 1)
    settle(world)
    admit_until_limit(world, D, 0.001)
    world.advance(1.0)
    settle(world)
    world.replace_roster(B, frozenset((A,)))
    for name in (C, E):
        world.read_table(name)
    for name in (B, C, E):
        world.send_heartbeats(name)
    world.deliver_all()
    assert world.nodes[B].membership.find_fence_time(world.now) is not None
    world.advance(3.0)
    admit_until_limit(world, D, 0.001)
    assert world.nodes[D].permits.shares[CUSTOMER].leases
    world.nodes[A].paused = True
    admit_until_limit(world, D, 8.9)
    world.advance(8.8)
    for _ in range(LIMIT):
        world.admit(D, 4.0)
    world.advance(1.0)
    settle(world)
    for name in (B, C, E):
        admit_until_limit(world, name, 9.9)
    assert world.count_in_flight() <= LIMIT


def test_quotas_remain_after_a_member_dies_in_a_new_cell() -> None:
    world = World(3, 1)
    settle(world)
    world.nodes[A].alive = False
    world.advance(4.0)
    settle(world)
    world.replace_roster(B, frozenset((A,)))
    settle(world)
    admit_until_limit(world, B, 0.01)
    assert world.nodes[B].permits.shares[CUSTOMER].quota > 0


def test_unused_leases_are_returned() -> None:
    world = World(2, 1)
    settle(world)
    admit_until_limit(world, A, 0.001)
    world.advance(1.5)
    settle(world)
    for node in world.nodes.values():
        share = node.permits.shares[CUSTOMER]
        assert not share.lent
        assert not share.leases


def make_members(names: tuple[MemberId, ...]) -> tuple[Member, ...]:
    return tuple(
        Member(name, VmId(name), ZoneId('z'), '', '') for name in names
    )


def make_permits(name: MemberId, *rosters: tuple[MemberId, ...]) -> Permits:
    """Return a member's permits under the last roster; the others are past."""
    permits = Permits(name)
    permits.update_limits({CUSTOMER: (EVEN_LIMIT, 1e9)}, START_S)
    past = tuple(
        PastRoster(epoch, members)
        for epoch, members in enumerate(rosters[:-1], start=1)
    )
    roster = Roster(len(rosters), make_members(rosters[-1]), past)
    permits.update_roster(roster, START_S, START_S)
    permits.dispatch_lease_until = START_S + DISPATCH_LEASE_S
    return permits


def exchange_permits(
    members: dict[MemberId, Permits],
    borrower: MemberId,
    now: float,
) -> None:
    """Let a member ask for permits and deliver all resulting messages."""
    sent = [
        (borrower, each) for each in members[borrower].request(CUSTOMER, now)
    ]
    while sent:
        sender, action = sent.pop(0)
        receivers = [name for name in members if name != sender]
        if isinstance(action, Deliver):
            receivers = [action.member]
        assert not isinstance(action, Assign)
        for receiver in receivers:
            replies = members[receiver].receive(sender, action.message, now)
            sent += [(receiver, each) for each in replies]


def borrow(lender: Permits, borrower: Permits, now: float) -> None:
    """Let a member borrow permits from another."""
    for request in borrower.request(CUSTOMER, now):
        for grant in lender.receive(B, request.message, now):
            borrower.receive(A, grant.message, now)


def test_a_call_whose_deadline_is_after_the_lease_gets_no_permit() -> None:
    lender = make_permits(A, (A, B))
    borrower = make_permits(B, (A, B))
    borrower.dispatch_lease_until = 0.0
    borrow(lender, borrower, START_S)
    now = START_S + 9.0
    lease_end = START_S + PERMIT_LEASE_S
    assert borrower.admit(CUSTOMER, lease_end + 0.01, now) is None
    assert borrower.admit(CUSTOMER, lease_end, now) is not None
    lender.tick(lease_end)
    assert lender.shares[CUSTOMER].unlent < lender.shares[CUSTOMER].quota
    lender.tick(lease_end + 1.0)
    assert lender.shares[CUSTOMER].unlent == lender.shares[CUSTOMER].quota


def test_no_quota_grows_while_a_lease_of_a_fenced_member_is_in_use() -> None:
    lender = make_permits(A, (A, B, C))
    borrower = make_permits(B, (A, B, C))
    survivor = make_permits(C, (A, B, C), (B, C))
    before = survivor.shares[CUSTOMER].quota
    now = START_S + DISPATCH_LEASE_S - 0.01
    borrow(lender, borrower, now)
    borrower.dispatch_lease_until = 0.0
    lease_end = now + PERMIT_LEASE_S
    assert borrower.admit(CUSTOMER, lease_end, lease_end - 9.0) is not None
    survivor.tick(lease_end - 0.01)
    assert survivor.shares[CUSTOMER].quota == before
    survivor.tick(lease_end + 2.0)
    assert survivor.shares[CUSTOMER].quota > before


def test_idle_leases_are_returned_when_another_member_asks() -> None:
    names = (A, B, C)
    members = {name: make_permits(name, (A,)) for name in names}
    exchange_permits(members, B, START_S)
    assert members[B].admit(CUSTOMER, START_S + 9.0, START_S)
    assert members[A].admit(CUSTOMER, START_S + 9.0, START_S)
    grown = Roster(2, make_members(names), (PastRoster(1, (A,)),))
    for permits in members.values():
        permits.update_roster(grown, None, START_S)
    now = START_S
    for name in (A, C):
        for _ in range(REQUEST_COUNT):
            now += PERMIT_REQUEST_INTERVAL_S
            exchange_permits(members, name, now)
        assert members[name].admit(CUSTOMER, now + 1.0, now), name


def test_late_or_repeated_partial_returns_count_once() -> None:
    members = {name: make_permits(name, (A,)) for name in (A, B)}
    exchange_permits(members, B, START_S)
    share = members[A].shares[CUSTOMER]
    (lease,) = share.lent
    for kept, unlent in ((2, 4), (2, 4), (1, 5), (2, 5), (0, 6), (1, 6)):
        members[A].receive(B, PermitReturn(CUSTOMER, lease, kept), START_S)
        assert share.unlent == unlent


def test_only_idle_permits_are_returned() -> None:
    members = {name: make_permits(name, (A,)) for name in (A, B)}
    exchange_permits(members, B, START_S)
    request = PermitRequest(CUSTOMER, EVEN_LIMIT, START_S)
    for _ in range(2):
        assert members[B].admit(CUSTOMER, START_S + 9.0, START_S)
    (returned,) = members[B].receive(A, request, START_S)
    assert isinstance(returned, Deliver)
    assert returned.message == PermitReturn(CUSTOMER, 1, 2)
    assert not members[B].receive(A, request, START_S)


def test_borrowed_permits_earn_tokens_if_too_many_are_lent() -> None:
    members = {name: make_permits(name, (A,)) for name in (A, B)}
    exchange_permits(members, B, START_S)
    members[A].shares[CUSTOMER].quota = 1
    grant = PermitGrant(CUSTOMER, 2, 1, START_S)
    members[A].receive(C, grant, START_S)
    assert members[A].admit(CUSTOMER, START_S + 1.0, START_S)
