"""Peer streams: order of messages, mutual TLS, reload of certificates."""

import contextlib
import gc
import math
import zlib
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import anyio
import h2.exceptions
import msgspec
import pytest
import trustme
from grpclib.client import Channel, StreamStreamMethod
from grpclib.client import Stream as ClientStream
from grpclib.protocol import H2Protocol
from grpclib.server import Stream
from hypothesis import given
from hypothesis import strategies as st

from harness.processes import LOOPBACK, pick_port
from ibisplank.connection import (
    CallEnding,
    CallReply,
    CompressedTableUpdate,
    Envelope,
    Hello,
    IdleSlots,
    Message,
    PeerLink,
    PeerServer,
    PeerTls,
    ServerLoads,
    ServerReport,
    TlsFiles,
    TokenReply,
    UnknownMessage,
)
from ibisplank.connection._gateways import MAX_UPDATE_BYTES
from ibisplank.connection._outbox import Outbox
from ibisplank.connection._peer import (
    METHOD,
    PEER_TIMEOUT_S,
    PING_INTERVAL_S,
    STREAM_ERRORS,
    MsgpackCodec,
    Receiver,
)
from ibisplank.errors import SettingError
from ibisplank.faults import Boundary, FaultLog
from ibisplank.ids import MemberId, ServerId, ServiceId
from tests.certificates import issue

CLIENT = MemberId('client')
SERVICE = ServiceId('s')


class RecordingOwner:
    """Records the peer while the link is up."""

    def __init__(self) -> None:
        self.up: list[MemberId] = []
        self.replies: list[Message] = []

    def link_up(self, address: str, member: MemberId) -> None:
        self.up.append(member)

    def link_down(self, address: str) -> None:
        self.up.clear()

    def link_received(self, address: str, message: Message) -> None:
        self.replies.append(message)


def can_exchange(
    server: PeerTls | None,
    client: PeerTls | None,
    timeout_s: float = 20.0,
) -> bool:
    """Return whether a link comes up and delivers messages in order.

    The first message that the server receives is the client's `Hello`.
    """
    received: list[Message] = []

    async def run() -> bool:
        port = pick_port()
        peers = PeerServer(
            MemberId('server'),
            lambda _, message: received.append(message),
            server,
        )
        await peers.start(LOOPBACK, port)
        owner = RecordingOwner()
        link = PeerLink(
            f'{LOOPBACK}:{port}',
            Hello(MemberId('client')),
            owner,
            client,
        )
        sent = [IdleSlots(ServiceId('s'), number) for number in range(50)]
        async with anyio.create_task_group() as group:
            group.start_soon(link.run)
            with anyio.move_on_after(timeout_s):
                while not owner.up:
                    await anyio.sleep(0.01)
                for message in sent:
                    link.send(message)
                while len(received) <= len(sent):
                    await anyio.sleep(0.01)
            link.close()
            group.cancel_scope.cancel()
        await peers.stop()
        return received[1:] == sent

    return anyio.run(run)


def test_messages_arrive_in_order() -> None:
    assert can_exchange(None, None)


def test_connection_lost_before_its_stream_opens_is_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    connect = Channel.__connect__
    losses = [None, None]

    async def connect_and_lose(channel: Channel) -> object:
        protocol = await connect(channel)
        if losses:
            losses.pop()
            protocol.connection_lost(None)
        return protocol

    monkeypatch.setattr(Channel, '__connect__', connect_and_lose)
    assert can_exchange(None, None)
    assert not losses


def test_a_peer_needs_a_certificate_of_the_cell(tmp_path: Path) -> None:
    cell = trustme.CA()
    server = PeerTls(issue(cell, tmp_path, 'server'))
    assert can_exchange(server, PeerTls(issue(cell, tmp_path, 'client')))
    assert not can_exchange(server, None, 1.5)
    other = PeerTls(issue(trustme.CA(), tmp_path, 'other'))
    assert not can_exchange(server, other, 1.5)


def test_reload_replaces_the_certificate_of_a_server(tmp_path: Path) -> None:
    cell = trustme.CA()
    server = PeerTls(issue(cell, tmp_path, 'reloaded'))
    old = PeerTls(issue(cell, tmp_path, 'old'))
    new_cell = trustme.CA()
    new = PeerTls(issue(new_cell, tmp_path, 'new'))
    assert can_exchange(server, old)
    assert not can_exchange(server, new, 1.5)
    issue(new_cell, tmp_path, 'reloaded')
    server.reload()
    assert can_exchange(server, new)
    assert not can_exchange(server, old, 1.5)
    (tmp_path / 'reloaded.key').write_text('')
    server.reload()
    assert can_exchange(server, new)


def test_reload_replaces_the_certificate_of_a_client(tmp_path: Path) -> None:
    cell = trustme.CA()
    client = PeerTls(issue(trustme.CA(), tmp_path, 'reloaded'))
    server = PeerTls(issue(cell, tmp_path, 'server'))
    assert not can_exchange(server, client, 1.5)
    issue(cell, tmp_path, 'reloaded')
    client.reload()
    assert can_exchange(server, client)


def test_invalid_files_raise_setting_error(tmp_path: Path) -> None:
    empty = tmp_path / 'empty'
    empty.write_text('')
    with pytest.raises(SettingError, match='check the certificate'):
        PeerTls(TlsFiles(str(empty), str(empty), str(empty)))


@pytest.mark.parametrize('uvloop', [False, True])
@pytest.mark.parametrize('pause_s', [0.0, 0.001, 0.05, 0.21, 0.3])
def test_closing_a_link_cancels_no_other_task(
    uvloop: bool,
    pause_s: float,
) -> None:
    """Covers peers that are running, have been stopped or never started."""

    async def run(stop_peer: bool, start_peer: bool) -> bool:
        port = pick_port()
        peers = PeerServer(MemberId('server'), lambda _, message: None)
        if start_peer:
            await peers.start(LOOPBACK, port)
        owner = RecordingOwner()
        hello = Hello(MemberId('client'))
        link = PeerLink(f'{LOOPBACK}:{port}', hello, owner)
        other_finished = False
        async with anyio.create_task_group() as group:
            group.start_soon(link.run)
            await anyio.sleep(0.1)
            if stop_peer and start_peer:
                await peers.stop()
            await anyio.sleep(pause_s)
            link.close()
            await anyio.sleep(0.05)
            other_finished = True
        if start_peer and not stop_peer:
            await peers.stop()
        return other_finished

    options = {'use_uvloop': uvloop}
    for stop_peer, start_peer in ((True, True), (False, True), (False, False)):
        assert anyio.run(run, stop_peer, start_peer, backend_options=options)


class ClosingServer(PeerServer):
    """Server that ends each stream at once without sending anything."""

    async def exchange(self, stream: Stream[Envelope, Envelope]) -> None:
        """Return without sending anything."""


class SilentServer(PeerServer):
    """Server that sends its greeting and nothing more."""

    async def exchange(self, stream: Stream[Envelope, Envelope]) -> None:
        """Send the greeting, then wait until cancelled."""
        await stream.send_message(Envelope((Hello(MemberId('silent')),)))
        await anyio.sleep_forever()


def test_a_link_survives_streams_that_end_at_once() -> None:
    async def run() -> None:
        port = pick_port()
        server = ClosingServer(MemberId('server'), lambda _, message: None)
        await server.start(LOOPBACK, port)
        hello = Hello(MemberId('client'))
        link = PeerLink(f'{LOOPBACK}:{port}', hello, RecordingOwner())
        with anyio.move_on_after(1.0):
            await link.run()
        await server.stop()

    anyio.run(run)


def test_a_silent_stream_is_closed() -> None:
    async def run() -> None:
        port = pick_port()
        server = SilentServer(MemberId('server'), lambda _, message: None)
        await server.start(LOOPBACK, port)
        owner = RecordingOwner()
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


def test_unknown_message_costs_no_other_of_its_frame() -> None:
    """A peer of a later version sends what this one cannot decode."""
    codec = MsgpackCodec()
    known = IdleSlots(ServiceId('s'), 1)
    later = ['zz', 'content of a later version']
    odd = msgspec.to_builtins(known, builtin_types=(bytes,))
    odd[-1] = 'not a number'
    frame = msgspec.msgpack.encode(
        [[msgspec.to_builtins(known), later, odd, msgspec.to_builtins(known)]]
    )
    messages = codec.decode(frame, Envelope).messages
    assert messages[0] == messages[3] == known
    assert all(isinstance(each, UnknownMessage) for each in messages[1:3])


@given(st.binary(max_size=100))
def test_no_frame_raises_what_a_link_does_not_handle(frame: bytes) -> None:
    with contextlib.suppress(*STREAM_ERRORS):
        MsgpackCodec().decode(frame, Envelope)


def test_later_fields_of_a_message_are_ignored() -> None:
    known = IdleSlots(ServiceId('s'), 1)
    fields = [*msgspec.to_builtins(known), 'of a later version']
    frame = msgspec.msgpack.encode([[fields], 'of a later version'])
    assert MsgpackCodec().decode(frame, Envelope).messages == (known,)


#: What a write raises when the connection is lost under it: uvloop, the HTTP/2
#: library, the kernel, and `grpclib` itself.
WRITE_ERRORS = (
    RuntimeError('the handler is closed'),
    h2.exceptions.StreamClosedError(1),
    h2.exceptions.ProtocolError('connection closed'),
    BrokenPipeError('write'),
    AssertionError('end of stream within a message'),
    AttributeError('_stream'),
)


@pytest.mark.parametrize('error', WRITE_ERRORS, ids=repr)
def test_reply_on_a_lost_stream_ends_no_task_of_the_process(
    error: Exception, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A gateway ended when one that it had served calls for was killed."""
    replies: list[bool] = []

    async def fail(
        stream: Stream[Envelope, Envelope], message: Envelope
    ) -> None:
        raise error

    async def run() -> None:
        async with run_link() as (peers, link, owner):
            monkeypatch.setattr(Stream, 'send_message', fail)

            async def reply() -> None:
                replies.append(await peers.reply(CLIENT, IdleSlots(SERVICE, 1)))

            async with anyio.create_task_group() as group:
                for _ in range(2):
                    group.start_soon(reply)
            monkeypatch.undo()
            await wait_for_reply(peers, link, owner)

    anyio.run(run)
    assert replies == [False, False]


@pytest.mark.parametrize('error', WRITE_ERRORS, ids=repr)
def test_message_on_a_lost_link_ends_no_task_of_the_process(
    error: Exception, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The same for a stream that this process has opened."""

    async def fail(stream: object, message: Envelope, **options: bool) -> None:
        raise error

    async def run() -> None:
        async with run_link() as (peers, link, owner):
            with monkeypatch.context() as patch:
                patch.setattr(ClientStream, 'send_message', fail)
                assert link.send(IdleSlots(SERVICE, 1))
                await wait_until(lambda: not owner.up)
            await wait_for_reply(peers, link, owner)

    anyio.run(run)


def test_messages_are_framed_in_order() -> None:
    """Replies are written one by one, other messages together."""

    class RecordingStream:
        def __init__(self) -> None:
            self.frames: list[tuple[Message, ...]] = []

        async def send_message(self, envelope: Envelope) -> None:
            self.frames.append(envelope.messages)

    async def count_frames(frame_limit: int) -> list[int]:
        outbox = Outbox(FaultLog(), frame_limit)
        stream = RecordingStream()
        sent = [IdleSlots(SERVICE, number) for number in range(7)]
        assert all(outbox.add(message) for message in sent)
        async with anyio.create_task_group() as group:
            group.start_soon(outbox.write_to, stream)
            await anyio.wait_all_tasks_blocked()
            group.cancel_scope.cancel()
        assert [each for frame in stream.frames for each in frame] == sent
        assert not outbox.add(sent[0])
        assert not await outbox.deliver(sent[0])
        return [len(frame) for frame in stream.frames]

    assert anyio.run(count_frames, 1) == [1] * 7
    assert anyio.run(count_frames, 3) == [3, 3, 1]
    assert anyio.run(count_frames, 100) == [7]


@pytest.mark.parametrize('uvloop', [False, True])
def test_peers_killed_while_they_get_replies_end_no_task_of_the_process(
    uvloop: bool,
) -> None:
    """Connections are reset at any step of many replies."""

    async def run() -> None:
        async with run_link() as (peers, link, owner):
            for round_number in range(20):
                await wait_until(lambda: bool(owner.up))
                await wait_for_reply(peers, link, owner)
                sent: list[bool] = []

                async def reply(body: bytes, sent: list[bool] = sent) -> None:
                    message = CallReply(1, CallEnding.ANSWERED, body=body)
                    sent.append(await peers.reply(CLIENT, message))

                with anyio.fail_after(5.0):
                    async with anyio.create_task_group() as group:
                        for size in (10, 100000) * 20:
                            group.start_soon(reply, b'x' * size)
                        for _ in range(round_number):
                            await anyio.sleep(0)
                        abort_connections()
                assert len(sent) == 40

    anyio.run(run, backend_options={'use_uvloop': uvloop})


def test_message_that_cannot_be_handled_costs_no_other() -> None:
    """A reply whose handling fails leaves the stream and the others alone."""

    class FailingOwner(RecordingOwner):
        def link_received(self, address: str, message: Message) -> None:
            super().link_received(address, message)
            raise KeyError('unexpected')

    received: list[Message] = []

    def receive(member: MemberId, message: Message) -> None:
        received.append(message)
        raise KeyError('unexpected')

    async def run() -> None:
        owner = FailingOwner()
        faults = FaultLog()
        async with run_link(owner, receive, faults) as (peers, link, _):
            for number in range(3):
                assert link.send(IdleSlots(SERVICE, number))
                assert await peers.reply(CLIENT, IdleSlots(SERVICE, number))
            await wait_until(lambda: len(received) == 4)
            await wait_until(lambda: len(owner.replies) == 3)
            assert owner.up
        assert faults.count(Boundary.MESSAGE_RECEIVED) == 7
        assert faults.count(Boundary.PEER_STREAM) == 0

    anyio.run(run)


def test_message_that_cannot_be_encoded_costs_no_other() -> None:
    """A report with an integer of more than 64 bits ended the process."""
    received: list[Message] = []

    async def run() -> None:
        faults = FaultLog()
        async with run_link(
            receive=lambda _, message: received.append(message), faults=faults
        ) as (peers, link, owner):
            odd = ServerReport(ServerId('s'), 1, running=10**101)
            for number in range(2):
                assert link.send(IdleSlots(SERVICE, number))
                assert link.send(odd)
            await wait_until(lambda: len(received) == 3)
            await peers.reply(CLIENT, odd)
            await wait_for_reply(peers, link, owner)
        assert faults.count(Boundary.MESSAGE_SENT) == 3
        assert faults.count(Boundary.PEER_WRITE) == 0
        assert faults.count(Boundary.PEER_STREAM) == 0

    anyio.run(run)
    assert received[1:] == [IdleSlots(SERVICE, 0), IdleSlots(SERVICE, 1)]


ODD_MESSAGES = (
    ServerReport(ServerId('s'), 1, running=-1),
    ServerReport(ServerId('s'), 1, slots=2**63),
    ServerReport(ServerId('s'), 1, pace=math.nan),
    ServerReport(ServerId('s'), 1, pace=math.inf),
    ServerReport(ServerId('s'), 1, cold_s=1e300),
    ServerReport(ServerId('s'), 1, rate_limit=math.nan),
    ServerLoads({ServerId('s'): -1}),
    TokenReply(1, math.nan),
    CallReply(1, CallEnding.ANSWERED, status=999),
    CallReply(1, CallEnding.NOT_RUN, retry_after_s=math.nan),
)


@pytest.mark.parametrize('message', ODD_MESSAGES, ids=repr)
def test_message_with_a_figure_out_of_bounds_is_left_out(
    message: Message,
) -> None:
    codec = MsgpackCodec()
    frame = codec.encode(Envelope((message,)), Envelope)
    (received,) = codec.decode(frame, Envelope).messages
    assert isinstance(received, UnknownMessage)


def test_update_that_unpacks_to_much_more_is_left_out() -> None:
    content = zlib.compress(b'\0' * 4 * MAX_UPDATE_BYTES)
    assert len(content) < MAX_UPDATE_BYTES / 100
    with pytest.raises(ValueError, match='too large'):
        CompressedTableUpdate(CLIENT, content).decompress()


def test_reply_to_a_peer_that_does_not_read_ends_with_its_stream() -> None:
    """A reply that flow control holds back is not awaited for ever."""

    async def run() -> None:
        port = pick_port()
        peers = PeerServer(MemberId('server'), lambda _, message: None)
        await peers.start(LOOPBACK, port)
        channel = Channel(LOOPBACK, port, codec=MsgpackCodec())
        method = StreamStreamMethod(channel, METHOD, Envelope, Envelope)
        async with method.open() as stream:
            await stream.send_message(Envelope((Hello(CLIENT),)))
            await stream.recv_message()
            sent: list[bool] = []

            async def reply() -> None:
                body = b'x' * 16000000
                message = CallReply(1, CallEnding.ANSWERED, body=body)
                sent.append(await peers.reply(CLIENT, message))

            with anyio.fail_after(2.0):
                async with anyio.create_task_group() as group:
                    group.start_soon(reply)
                    await anyio.sleep(0.3)
                    assert not sent
                    await stream.cancel()
            assert sent == [False]
        channel.close()
        await peers.stop()

    anyio.run(run)


@contextlib.asynccontextmanager
async def run_link(
    owner: RecordingOwner | None = None,
    receive: Receiver = lambda _, message: None,
    faults: FaultLog | None = None,
) -> AsyncIterator[tuple[PeerServer, PeerLink, RecordingOwner]]:
    """Connect a link to a server, both in this loop."""
    port = pick_port()
    owner = owner or RecordingOwner()
    options = {} if faults is None else {'faults': faults}
    peers = PeerServer(MemberId('server'), receive, **options)
    await peers.start(LOOPBACK, port)
    link = PeerLink(f'{LOOPBACK}:{port}', Hello(CLIENT), owner, **options)
    async with anyio.create_task_group() as group:
        group.start_soon(link.run)
        await wait_until(lambda: bool(owner.up))
        yield peers, link, owner
        group.cancel_scope.cancel()
    await peers.stop()


async def wait_until(check: Callable[[], bool]) -> None:
    with anyio.fail_after(5.0):
        while not check():
            await anyio.sleep(0.005)


async def wait_for_reply(
    peers: PeerServer, link: PeerLink, owner: RecordingOwner
) -> None:
    """Wait until a reply arrives, if need be on a new stream."""
    known = len(owner.replies)
    with anyio.fail_after(5.0):
        while len(owner.replies) == known:
            await peers.reply(CLIENT, IdleSlots(SERVICE, 1))
            await anyio.sleep(0.005)


def abort_connections() -> None:
    """Reset all connections of this process that `grpclib` uses."""
    for each in gc.get_objects():
        if isinstance(each, H2Protocol) and each.connection is not None:
            each.connection._transport.abort()
