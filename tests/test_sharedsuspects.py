"""News of backend servers' deaths outruns the callers that hear of them."""

from typing import Any

import anyio

from ibisplank.connection import (
    Message,
    SuspectAck,
    SuspectCleared,
    SuspectNews,
)
from ibisplank.ids import MemberId, ServerId
from ibisplank.process import ACK_TIMEOUT_S, SharedSuspects
from ibisplank.request import Verdict

FIRST = MemberId('m1')
SECOND = MemberId('m2')
SERVER = ServerId('b')


class FakeLinks:
    """Keeps what is sent."""

    def __init__(self, *connected: MemberId) -> None:
        self.connected = list(connected)
        self.sent: list[tuple[MemberId, Message]] = []

    def send(self, member: MemberId, message: Message) -> None:
        self.sent.append((member, message))

    def send_all(self, message: Message) -> None:
        for member in self.connected:
            self.send(member, message)


def make_suspects(*connected: MemberId) -> tuple[SharedSuspects, FakeLinks]:
    links: Any = FakeLinks(*connected)
    return SharedSuspects(links, lambda: 0.0), links


def test_a_death_is_known_to_all_before_the_caller_hears() -> None:
    async def act() -> None:
        suspects, links = make_suspects(FIRST, SECOND)
        heard = anyio.Event()

        async def report() -> None:
            await suspects.report_death('d', SERVER, trial=False)
            heard.set()

        async with anyio.create_task_group() as group:
            group.start_soon(report)
            await anyio.wait_all_tasks_blocked()
            news = links.sent[0][1]
            assert isinstance(news, SuspectNews)
            suspects.receive(FIRST, SuspectAck(news.number))
            suspects.receive(FIRST, SuspectAck(news.number))
            await anyio.wait_all_tasks_blocked()
            assert not heard.is_set()
            suspects.receive(SECOND, SuspectAck(news.number))
            await anyio.wait_all_tasks_blocked()
            assert heard.is_set()

    anyio.run(act)


def test_a_silent_member_holds_the_caller_up_for_a_short_time() -> None:
    async def act() -> None:
        suspects, _ = make_suspects(FIRST)
        with anyio.fail_after(10 * ACK_TIMEOUT_S):
            await suspects.report_death('d', SERVER, trial=False)
        suspects.receive(FIRST, SuspectAck(1))

    anyio.run(act)


def test_news_is_recorded_confirmed_and_cleared() -> None:
    suspects, links = make_suspects(FIRST)
    suspects.receive(FIRST, SuspectNews(7, 'd', trial=False))
    assert links.sent == [(FIRST, SuspectAck(7))]
    assert suspects.judge('d') is Verdict.SUSPECT
    suspects.receive(FIRST, SuspectCleared('d'))
    assert suspects.judge('d') is Verdict.CLEAR
    suspects.receive(FIRST, SuspectNews(8, 'd', trial=True))
    suspects.receive(FIRST, SuspectCleared('d'))
    suspects.receive(FIRST, SuspectNews(9, 'd', trial=False))
    assert suspects.judge('d') is Verdict.REFUSED


def test_a_member_that_comes_later_learns_what_is_on_record() -> None:
    suspects, _ = make_suspects()
    suspects.receive(FIRST, SuspectNews(7, 'd', trial=True))
    suspects.receive(FIRST, SuspectNews(8, 'e', trial=False))
    other, _ = make_suspects()
    links: Any = FakeLinks()
    suspects._links = links
    suspects.sync_member(SECOND)
    for _, message in links.sent:
        other.receive(FIRST, message)
    assert other.judge('d') is Verdict.REFUSED
    assert other.judge('e') is Verdict.SUSPECT


def test_a_trial_that_went_well_is_told_to_all() -> None:
    suspects, links = make_suspects(FIRST)
    suspects.clear('d')
    assert not links.sent
    suspects.receive(FIRST, SuspectNews(7, 'd', trial=False))
    suspects.clear('d')
    assert links.sent[-1] == (FIRST, SuspectCleared('d'))
