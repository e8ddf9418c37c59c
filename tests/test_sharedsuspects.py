"""Suspect requests are known to all members before a caller can resend."""

from typing import Any

import anyio

from ibisplank.connection import (
    Message,
    SuspectAck,
    SuspectCleared,
    SuspectReport,
)
from ibisplank.ids import MemberId, ServerId
from ibisplank.process import ACK_TIMEOUT_S, SharedSuspects
from ibisplank.request import Verdict

FIRST = MemberId('m1')
SECOND = MemberId('m2')
SERVER = ServerId('b')


class FakeLinks:
    """Records the messages that are sent."""

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


def test_report_death_returns_after_all_members_acknowledged() -> None:
    async def run() -> None:
        suspects, links = make_suspects(FIRST, SECOND)
        reported = anyio.Event()

        async def report() -> None:
            await suspects.report_death('d', SERVER, trial=False)
            reported.set()

        async with anyio.create_task_group() as group:
            group.start_soon(report)
            await anyio.wait_all_tasks_blocked()
            message = links.sent[0][1]
            assert isinstance(message, SuspectReport)
            suspects.receive(FIRST, SuspectAck(message.number))
            suspects.receive(FIRST, SuspectAck(message.number))
            await anyio.wait_all_tasks_blocked()
            assert not reported.is_set()
            suspects.receive(SECOND, SuspectAck(message.number))
            await anyio.wait_all_tasks_blocked()
            assert reported.is_set()

    anyio.run(run)


def test_a_member_that_does_not_acknowledge_delays_the_report_briefly() -> None:
    async def run() -> None:
        suspects, _ = make_suspects(FIRST)
        with anyio.fail_after(10 * ACK_TIMEOUT_S):
            await suspects.report_death('d', SERVER, trial=False)
        suspects.receive(FIRST, SuspectAck(1))

    anyio.run(run)


def test_reports_and_clearings_of_another_member_are_applied() -> None:
    suspects, links = make_suspects(FIRST)
    suspects.receive(FIRST, SuspectReport(7, 'd', trial=False))
    assert links.sent == [(FIRST, SuspectAck(7))]
    assert suspects.judge('d') is Verdict.SUSPECT
    suspects.receive(FIRST, SuspectCleared('d'))
    assert suspects.judge('d') is Verdict.CLEAR
    suspects.receive(FIRST, SuspectReport(8, 'd', trial=True))
    suspects.receive(FIRST, SuspectCleared('d'))
    suspects.receive(FIRST, SuspectReport(9, 'd', trial=False))
    assert suspects.judge('d') is Verdict.REFUSED


def test_a_newly_connected_member_receives_the_records() -> None:
    suspects, _ = make_suspects()
    suspects.receive(FIRST, SuspectReport(7, 'd', trial=True))
    suspects.receive(FIRST, SuspectReport(8, 'e', trial=False))
    other, _ = make_suspects()
    links: Any = FakeLinks()
    suspects._links = links
    suspects.sync_member(SECOND)
    for _, message in links.sent:
        other.receive(FIRST, message)
    assert other.judge('d') is Verdict.REFUSED
    assert other.judge('e') is Verdict.SUSPECT


def test_a_successful_trial_is_sent_to_all_members() -> None:
    suspects, links = make_suspects(FIRST)
    suspects.clear('d')
    assert not links.sent
    suspects.receive(FIRST, SuspectReport(7, 'd', trial=False))
    suspects.clear('d')
    assert links.sent[-1] == (FIRST, SuspectCleared('d'))
