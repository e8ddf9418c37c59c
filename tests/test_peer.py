"""Peer streams: messages in order, mutual TLS, certificates that change."""

from pathlib import Path

import anyio
import pytest
import trustme
from grpclib.server import Stream

from harness.processes import LOOPBACK, pick_port
from ibisplank.connection import (
    Envelope,
    Hello,
    IdleSlots,
    Message,
    PeerLink,
    PeerServer,
    PeerTls,
    TlsFiles,
)
from ibisplank.connection._peer import PEER_TIMEOUT_S, PING_INTERVAL_S
from ibisplank.errors import SettingError
from ibisplank.ids import MemberId, ServiceId
from tests.certificates import issue


class Owner:
    """Notes what a link tells."""

    def __init__(self) -> None:
        self.up: list[MemberId] = []

    def link_up(self, address: str, member: MemberId) -> None:
        self.up.append(member)

    def link_down(self, address: str) -> None:
        self.up.clear()


def is_reached(
    server: PeerTls | None,
    client: PeerTls | None,
    patience_s: float = 20.0,
) -> bool:
    """Tell whether a link comes up, and passes messages in order."""
    got: list[Message] = []

    async def run() -> bool:
        port = pick_port()
        peers = PeerServer(
            MemberId('server'),
            lambda _, message: got.append(message),
            server,
        )
        await peers.start(LOOPBACK, port)
        owner = Owner()
        link = PeerLink(
            f'{LOOPBACK}:{port}',
            Hello(MemberId('client')),
            owner,
            client,
        )
        sent = [IdleSlots(ServiceId('s'), number) for number in range(50)]
        async with anyio.create_task_group() as group:
            group.start_soon(link.run)
            with anyio.move_on_after(patience_s):
                while not owner.up:
                    await anyio.sleep(0.01)
                for message in sent:
                    link.send(message)
                while len(got) <= len(sent):
                    await anyio.sleep(0.01)
            link.close()
            group.cancel_scope.cancel()
        await peers.stop()
        return got[1:] == sent

    return anyio.run(run)


def test_messages_arrive_in_order() -> None:
    assert is_reached(None, None)


def test_a_peer_needs_the_cells_certificate(tmp_path: Path) -> None:
    cell = trustme.CA()
    server = PeerTls(issue(cell, tmp_path, 'server'))
    assert is_reached(server, PeerTls(issue(cell, tmp_path, 'client')))
    assert not is_reached(server, None, 1.5)
    other = PeerTls(issue(trustme.CA(), tmp_path, 'other'))
    assert not is_reached(server, other, 1.5)


def test_a_certificate_can_change(tmp_path: Path) -> None:
    cell = trustme.CA()
    server = PeerTls(issue(cell, tmp_path, 'it'))
    old = PeerTls(issue(cell, tmp_path, 'old'))
    new_cell = trustme.CA()
    new = PeerTls(issue(new_cell, tmp_path, 'new'))
    assert is_reached(server, old)
    assert not is_reached(server, new, 1.5)
    issue(new_cell, tmp_path, 'it')
    server.reload()
    assert is_reached(server, new)
    assert not is_reached(server, old, 1.5)
    (tmp_path / 'it.key').write_text('')
    server.reload()
    assert is_reached(server, new)


def test_a_dialler_uses_the_latest_certificate(tmp_path: Path) -> None:
    cell = trustme.CA()
    client = PeerTls(issue(trustme.CA(), tmp_path, 'it'))
    server = PeerTls(issue(cell, tmp_path, 'server'))
    assert not is_reached(server, client, 1.5)
    issue(cell, tmp_path, 'it')
    client.reload()
    assert is_reached(server, client)


def test_bad_files_are_told(tmp_path: Path) -> None:
    empty = tmp_path / 'empty'
    empty.write_text('')
    with pytest.raises(SettingError, match='check the certificate'):
        PeerTls(TlsFiles(str(empty), str(empty), str(empty)))


@pytest.mark.parametrize('uvloop', [False, True])
@pytest.mark.parametrize('pause_s', [0.0, 0.001, 0.05, 0.21, 0.3])
def test_closing_a_link_stops_nothing_else(
    uvloop: bool,
    pause_s: float,
) -> None:
    """Whether the peer is there, has ended, or was never there."""

    async def run(ends: bool, starts: bool) -> bool:
        port = pick_port()
        peers = PeerServer(MemberId('server'), lambda _, message: None)
        if starts:
            await peers.start(LOOPBACK, port)
        owner = Owner()
        hello = Hello(MemberId('client'))
        link = PeerLink(f'{LOOPBACK}:{port}', hello, owner)
        other = False
        async with anyio.create_task_group() as group:
            group.start_soon(link.run)
            await anyio.sleep(0.1)
            if ends and starts:
                await peers.stop()
            await anyio.sleep(pause_s)
            link.close()
            await anyio.sleep(0.05)
            other = True
        if starts and not ends:
            await peers.stop()
        return other

    options = {'use_uvloop': uvloop}
    for ends, starts in ((True, True), (False, True), (False, False)):
        assert anyio.run(run, ends, starts, backend_options=options)


class ShortServer(PeerServer):
    """Ends each stream at once, without a word."""

    async def exchange(self, stream: Stream[Envelope, Envelope]) -> None:
        """Return before anything was said."""


class MuteServer(PeerServer):
    """Greets, and is silent ever after."""

    async def exchange(self, stream: Stream[Envelope, Envelope]) -> None:
        """Say hello and nothing more."""
        await stream.send_message(Envelope((Hello(MemberId('mute')),)))
        await anyio.sleep_forever()


def test_a_stream_that_ends_early_is_dialled_again() -> None:
    async def run() -> None:
        port = pick_port()
        server = ShortServer(MemberId('server'), lambda _, message: None)
        await server.start(LOOPBACK, port)
        hello = Hello(MemberId('client'))
        link = PeerLink(f'{LOOPBACK}:{port}', hello, Owner())
        with anyio.move_on_after(1.0):
            await link.run()
        await server.stop()

    anyio.run(run)


def test_a_silent_stream_is_given_up() -> None:
    async def run() -> None:
        port = pick_port()
        server = MuteServer(MemberId('server'), lambda _, message: None)
        await server.start(LOOPBACK, port)
        owner = Owner()
        hello = Hello(MemberId('client'))
        link = PeerLink(f'{LOOPBACK}:{port}', hello, owner)
        async with anyio.create_task_group() as group:
            group.start_soon(link.run)
            with anyio.fail_after(2.0):
                while not owner.up:
                    await anyio.sleep(0.01)
            with anyio.fail_after(PEER_TIMEOUT_S + PING_INTERVAL_S):
                while owner.up:
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()
        await server.stop()

    anyio.run(run)
