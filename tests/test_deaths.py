"""News of backend servers' deaths outruns the callers that hear of them."""

from typing import Any

import anyio

from ibisplank.connection import (
    Message,
    SuspectAck,
    SuspectCleared,
    SuspectReport,
)
from ibisplank.ids import MemberId, ServerId
from ibisplank.process import ACK_WAIT_S, Deaths
from ibisplank.request import Verdict

FIRST = MemberId('m1')
SECOND = MemberId('m2')
SERVER = ServerId('b')


class FakeLinks:
    """Keeps what is sent."""

    def __init__(self, *reached: MemberId) -> None:
        self.reached = list(reached)
        self.sent: list[tuple[MemberId, Message]] = []

    def send(self, member: MemberId, message: Message) -> None:
        self.sent.append((member, message))

    def send_all(self, message: Message) -> None:
        for member in self.reached:
            self.send(member, message)


def make_deaths(*reached: MemberId) -> tuple[Deaths, FakeLinks]:
    links: Any = FakeLinks(*reached)
    return Deaths(links, lambda: 0.0), links


def test_a_death_is_known_to_all_before_the_caller_hears() -> None:
    async def act() -> None:
        deaths, links = make_deaths(FIRST, SECOND)
        heard = anyio.Event()

        async def note() -> None:
            await deaths.note('d', SERVER, trial=False)
            heard.set()

        async with anyio.create_task_group() as group:
            group.start_soon(note)
            await anyio.wait_all_tasks_blocked()
            news = links.sent[0][1]
            assert isinstance(news, SuspectReport)
            deaths.receive(FIRST, SuspectAck(news.number))
            deaths.receive(FIRST, SuspectAck(news.number))
            await anyio.wait_all_tasks_blocked()
            assert not heard.is_set()
            deaths.receive(SECOND, SuspectAck(news.number))
            await anyio.wait_all_tasks_blocked()
            assert heard.is_set()

    anyio.run(act)


def test_a_silent_member_holds_the_caller_up_for_a_short_time() -> None:
    async def act() -> None:
        deaths, _ = make_deaths(FIRST)
        with anyio.fail_after(10 * ACK_WAIT_S):
            await deaths.note('d', SERVER, trial=False)
        deaths.receive(FIRST, SuspectAck(1))

    anyio.run(act)


def test_news_is_recorded_confirmed_and_cleared() -> None:
    deaths, links = make_deaths(FIRST)
    deaths.receive(FIRST, SuspectReport(7, 'd', trial=False))
    assert links.sent == [(FIRST, SuspectAck(7))]
    assert deaths.judge('d') is Verdict.SUSPECT
    deaths.receive(FIRST, SuspectCleared('d'))
    assert deaths.judge('d') is Verdict.CLEAR
    deaths.receive(FIRST, SuspectReport(8, 'd', trial=True))
    deaths.receive(FIRST, SuspectCleared('d'))
    deaths.receive(FIRST, SuspectReport(9, 'd', trial=False))
    assert deaths.judge('d') is Verdict.REFUSED


def test_a_member_that_comes_later_learns_what_is_on_record() -> None:
    deaths, _ = make_deaths()
    deaths.receive(FIRST, SuspectReport(7, 'd', trial=True))
    deaths.receive(FIRST, SuspectReport(8, 'e', trial=False))
    other, _ = make_deaths()
    links: Any = FakeLinks()
    deaths._links = links
    deaths.greet(SECOND)
    for _, message in links.sent:
        other.receive(FIRST, message)
    assert other.judge('d') is Verdict.REFUSED
    assert other.judge('e') is Verdict.SUSPECT


def test_a_trial_that_went_well_is_told_to_all() -> None:
    deaths, links = make_deaths(FIRST)
    deaths.clear('d')
    assert not links.sent
    deaths.receive(FIRST, SuspectReport(7, 'd', trial=False))
    deaths.clear('d')
    assert links.sent[-1] == (FIRST, SuspectCleared('d'))
