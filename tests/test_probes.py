"""Probe budget: holds in every time window, across changes of prober."""

from hypothesis import given
from hypothesis import strategies as st

from ibisplank.ids import MemberId, ServerId, ServiceId, VmId, ZoneId
from ibisplank.process import ProbeScheduler
from ibisplank.version import DISPATCH_LEASE_S, Member, Roster, Server

COST_S = 0.006
SHARE = 0.01
SERVER = Server(
    ServerId('b'),
    VmId('vm-b'),
    ZoneId('z'),
    ServiceId('s'),
    '127.0.0.1:1',
    2,
)
step_lists = st.lists(
    st.tuples(
        st.floats(0.001, 3.0),
        st.sampled_from(('tick', 'tick', 'tick', 'move', 'restart')),
    ),
    min_size=20,
    max_size=80,
)


def make_roster(epoch: int, name: str) -> Roster:
    member = Member(MemberId(name), VmId(name), ZoneId('z'), '', '')
    return Roster(epoch, (member,))


@given(step_lists)
def test_budget_holds_in_every_window(steps: list[tuple[float, str]]) -> None:
    now = 0.0
    epoch = 0
    sent: list[float] = []
    schedulers: list[ProbeScheduler] = []
    fence = 0.0
    for seconds, action in [(0.0, 'move'), *steps]:
        now += seconds
        if action != 'tick':
            epoch += 1
            if schedulers:
                schedulers[-1].dispatch_lease_until = now + DISPATCH_LEASE_S
            schedulers.append(ProbeScheduler(MemberId(f'm{epoch}'), COST_S))
            fence = now
        for number, scheduler in enumerate(schedulers):
            if number == len(schedulers) - 1:
                scheduler.dispatch_lease_until = now + DISPATCH_LEASE_S
                roster = make_roster(epoch, scheduler.member)
                fence_at = fence if epoch > 1 else 0.0
                scheduler.assign(
                    roster,
                    (SERVER,),
                    {SERVER.service: SHARE},
                    fence_at,
                    now,
                )
            sent.extend([now] * len(scheduler.choose(now)))
    for first, start in enumerate(sent):
        for count, end in enumerate(sent[first:], start=1):
            assert count <= 1 + (end - start) * SHARE / COST_S + 1e-6


def test_probes_are_sent_at_all() -> None:
    scheduler = ProbeScheduler(MemberId('m'), COST_S)
    roster = make_roster(1, 'm')
    shares = {SERVER.service: SHARE}
    scheduler.assign(roster, (SERVER,), shares, 0.0, 0.0)
    scheduler.dispatch_lease_until = 1e9
    for tick in range(1000):
        scheduler.choose(tick / 10)
    assert 140 < scheduler.sent <= 1 + 100 * SHARE / COST_S


def test_a_server_of_another_member_is_not_probed() -> None:
    scheduler = ProbeScheduler(MemberId('other'), COST_S)
    shares = {SERVER.service: SHARE}
    scheduler.assign(make_roster(1, 'm'), (SERVER,), shares, 0.0, 0.0)
    scheduler.dispatch_lease_until = 1e9
    assert scheduler.choose(1000.0) == []


def test_a_fenced_prober_and_its_successor_stay_within_one_budget() -> None:
    shares = {SERVER.service: SHARE}
    old = ProbeScheduler(MemberId('a'), COST_S)
    old.assign(make_roster(1, 'a'), (SERVER,), shares, 0.0, 0.0)
    fence = 100.0
    old.dispatch_lease_until = fence + DISPATCH_LEASE_S
    new = ProbeScheduler(MemberId('b'), COST_S)
    new.dispatch_lease_until = 1e9
    new.assign(make_roster(2, 'b'), (SERVER,), shares, fence, fence)
    sent: list[float] = []
    for tick in range(100):
        now = fence + tick / 10
        sent.extend([now] * len(new.choose(now)))
        if now == fence + DISPATCH_LEASE_S - 0.1:
            sent.extend([now] * len(old.choose(now)))
    assert min(sent) < fence + DISPATCH_LEASE_S
    for first, start in enumerate(sent):
        for count, end in enumerate(sent[first:], start=1):
            assert count <= 1 + (end - start) * SHARE / COST_S + 1e-6
