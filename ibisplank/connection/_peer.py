"""Standing `grpclib` streams between the system's own processes."""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

import anyio
import msgspec
from grpclib.client import Channel, StreamStreamMethod
from grpclib.const import Cardinality, Handler
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
)
from grpclib.server import Server, Stream

from ibisplank.connection._control import Hello
from ibisplank.connection._gateways import Ping, Pong
from ibisplank.connection._messages import Envelope, Message
from ibisplank.connection._tls import PeerTls
from ibisplank.ids import MemberId

METHOD = '/ibisplank.Peer/Exchange'
RECONNECT_DELAY_S = 0.2
CONNECT_TIMEOUT_S = 1.0
OUTBOX_LIMIT = 10000
#: Pause between two questions for a sign of life.
PING_INTERVAL_S = 1.0
#: A stream without a sign of life for this long is given up.
PEER_TIMEOUT_S = 2.2

#: How a stream ends that was not closed here.
STREAM_ERRORS = (OSError, GRPCError, ProtocolError, StreamTerminatedError)

Receiver = Callable[[MemberId, Message], None]


class MsgpackCodec(CodecBase):
    """MessagePack in place of Protocol Buffers, so no code is generated."""

    __content_subtype__ = 'msgpack'

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope)

    def encode(self, message: Envelope, message_type: type[Envelope]) -> bytes:
        """Return a frame's bytes."""
        return self._encoder.encode(message)

    def decode(self, frame: bytes, message_type: type[Envelope]) -> Envelope:
        """Return the messages of a frame."""
        return self._decoder.decode(frame)


class PeerServer:
    """Accepts streams from peers and passes their messages on."""

    def __init__(
        self,
        member: MemberId,
        receive: Receiver,
        tls: PeerTls | None = None,
    ) -> None:
        self._member = member
        self._receive = receive
        self._tls = tls
        self._server = Server([self], codec=MsgpackCodec())

    def __mapping__(self) -> Mapping[str, Handler]:
        """Return the methods that this service offers."""
        handler = Handler(
            self.exchange,
            Cardinality.STREAM_STREAM,
            Envelope,
            Envelope,
        )
        return {METHOD: handler}

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        context = None if self._tls is None else self._tls.server
        await self._server.start(host, port, ssl=context)

    async def stop(self) -> None:
        """Stop listening and end all streams."""
        self._server.close()
        await self._server.wait_closed()

    async def exchange(self, stream: Stream[Envelope, Envelope]) -> None:
        """Serve one peer's stream until it ends."""
        await stream.send_message(Envelope((Hello(self._member),)))
        peer: MemberId | None = None
        async for envelope in stream:
            if Ping() in envelope.messages:
                await stream.send_message(Envelope((Pong(),)))
            for message in envelope.messages:
                if isinstance(message, Hello):
                    peer = message.member
                if peer is not None:
                    self._receive(peer, message)


class LinkOwner(Protocol):
    """What a link tells its owner."""

    def link_up(self, address: str, member: MemberId) -> None:
        """Note that a peer answered on an address."""

    def link_down(self, address: str) -> None:
        """Note that a link was lost."""


class PeerLink:
    """One outgoing stream, redialled until it is closed.

    Parameters
    ----------
    address : str
        IP number and port, joined by a colon.
    hello : Hello
        Whom this process says that it is.
    """

    def __init__(
        self,
        address: str,
        hello: Hello,
        owner: LinkOwner,
        tls: PeerTls | None = None,
    ) -> None:
        self.address = address
        self._hello = hello
        self._owner = owner
        self._tls = tls
        self._outbox: list[Message] = []
        self._wake = anyio.Event()
        self._scope = anyio.CancelScope()
        self._up = False
        self._failures = 0

    def send(self, message: Message) -> None:
        """Queue a message; it is dropped while the link is down."""
        if self._up and len(self._outbox) < OUTBOX_LIMIT:
            self._outbox.append(message)
            self._wake.set()

    def close(self) -> None:
        """End the stream and stop redialling."""
        self._scope.cancel()

    async def run(self) -> None:
        """Dial, and send what is queued, until closed."""
        with self._scope:
            while True:
                # grpclib cancels the task whose stream is lost and never
                # takes that back, which would spoil a scope of this task.
                async with anyio.create_task_group() as group:
                    group.start_soon(self._run_stream)
                await anyio.sleep(RECONNECT_DELAY_S)

    async def _run_stream(self) -> None:
        host, _, port = self.address.rpartition(':')
        context = None if self._tls is None else self._tls.client
        channel = Channel(host, int(port), codec=MsgpackCodec(), ssl=context)
        method = StreamStreamMethod(channel, METHOD, Envelope, Envelope)
        try:
            await self._exchange(method)
        except* STREAM_ERRORS:
            self._failures += 1
        finally:
            if self._up:
                self._up = False
                self._owner.link_down(self.address)
            channel.close()

    async def _exchange(self, method: StreamStreamMethod[Any, Any]) -> None:
        async with method.open() as stream:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                await stream.send_message(Envelope((self._hello,)))
                first = await stream.recv_message()
            if first is None:
                return
            self._outbox = []
            self._up = True
            self._owner.link_up(self.address, first.messages[0].member)
            async with anyio.create_task_group() as group:
                group.start_soon(self._send_queued, stream)
                group.start_soon(self._ping)
                await _receive_until_lost(stream)
                group.cancel_scope.cancel()

    async def _ping(self) -> None:
        while True:
            await anyio.sleep(PING_INTERVAL_S)
            self.send(Ping())

    async def _send_queued(self, stream: Any) -> None:
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            batch = Envelope(tuple(self._outbox))
            self._outbox = []
            await stream.send_message(batch)


async def _receive_until_lost(stream: Any) -> None:
    """Return when the stream has ended, or has gone silent."""
    received: Any = Envelope(())
    with anyio.move_on_after(PEER_TIMEOUT_S) as scope:
        while received is not None:
            received = await stream.recv_message()
            scope.deadline = anyio.current_time() + PEER_TIMEOUT_S
