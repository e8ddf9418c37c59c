"""Measuring budget: never exceeded in any window, across hand-overs."""

from hypothesis import given
from hypothesis import strategies as st

from ibisplank.ids import MemberId, ServerId, ServiceId, VmId, ZoneId
from ibisplank.process import ProbeScheduler
from ibisplank.version import CONFIRM_S, Member, Roster, Server

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
steps = st.lists(
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


@given(steps)
def test_budget_holds_in_every_window(plan: list[tuple[float, str]]) -> None:
    now = 0.0
    epoch = 0
    sent: list[float] = []
    probers: list[ProbeScheduler] = []
    fence = 0.0
    for seconds, act in [(0.0, 'move'), *plan]:
        now += seconds
        if act != 'tick':
            epoch += 1
            if probers:
                probers[-1].rights_until = now + CONFIRM_S
            probers.append(ProbeScheduler(MemberId(f'm{epoch}'), COST_S))
            fence = now
        for number, prober in enumerate(probers):
            if number == len(probers) - 1:
                prober.rights_until = now + CONFIRM_S
                roster = make_roster(epoch, prober.member)
                past = fence if epoch > 1 else 0.0
                prober.assign(
                    roster,
                    (SERVER,),
                    {SERVER.service: SHARE},
                    past,
                    now,
                )
            sent.extend([now] * len(prober.choose(now)))
    for first, start in enumerate(sent):
        for count, end in enumerate(sent[first:], start=1):
            assert count <= 1 + (end - start) * SHARE / COST_S + 1e-6


def test_probes_are_sent_at_all() -> None:
    prober = ProbeScheduler(MemberId('m'), COST_S)
    roster = make_roster(1, 'm')
    shares = {SERVER.service: SHARE}
    prober.assign(roster, (SERVER,), shares, 0.0, 0.0)
    prober.rights_until = 1e9
    for tick in range(1000):
        prober.choose(tick / 10)
    assert 140 < prober.sent <= 1 + 100 * SHARE / COST_S


def test_another_members_server_is_left_alone() -> None:
    prober = ProbeScheduler(MemberId('other'), COST_S)
    shares = {SERVER.service: SHARE}
    prober.assign(make_roster(1, 'm'), (SERVER,), shares, 0.0, 0.0)
    prober.rights_until = 1e9
    assert prober.choose(1000.0) == []


def test_a_fenced_prober_and_its_successor_keep_the_budget_together() -> None:
    shares = {SERVER.service: SHARE}
    old = ProbeScheduler(MemberId('a'), COST_S)
    old.assign(make_roster(1, 'a'), (SERVER,), shares, 0.0, 0.0)
    fence = 100.0
    old.rights_until = fence + CONFIRM_S
    new = ProbeScheduler(MemberId('b'), COST_S)
    new.rights_until = 1e9
    new.assign(make_roster(2, 'b'), (SERVER,), shares, fence, fence)
    sent: list[float] = []
    for tick in range(100):
        now = fence + tick / 10
        sent.extend([now] * len(new.choose(now)))
        if now == fence + CONFIRM_S - 0.1:
            sent.extend([now] * len(old.choose(now)))
    assert min(sent) < fence + CONFIRM_S
    for first, start in enumerate(sent):
        for count, end in enumerate(sent[first:], start=1):
            assert count <= 1 + (end - start) * SHARE / COST_S + 1e-6
