"""Persistent `grpclib` message streams between ibisplank processes."""

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
from ibisplank.connection._gateways import Ping, Pong, UnknownMessage
from ibisplank.connection._messages import Envelope, Message, RawEnvelope
from ibisplank.connection._outbox import Outbox
from ibisplank.connection._tls import PeerTls
from ibisplank.errors import PeerStreamLost
from ibisplank.faults import Boundary, FaultLog
from ibisplank.ids import MemberId

METHOD = '/ibisplank.Peer/Exchange'
RECONNECT_DELAY_S = 0.2
CONNECT_TIMEOUT_S = 1.0
#: Interval between two pings on a stream.
PING_INTERVAL_S = 1.0
#: An outgoing stream that has received nothing for this long is closed.
PEER_TIMEOUT_S = 2.2

#: Replies in one frame. Some carry an answer of megabytes, which delays the
#: others of its frame.
REPLIES_PER_FRAME = 1

#: Exceptions that a stream raises when the peer or the network ends it.
STREAM_ERRORS = (
    OSError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    PeerStreamLost,
)

Receiver = Callable[[MemberId, Message], None]


class MsgpackCodec(CodecBase):
    """Codec for MessagePack, which needs no generated code.

    A peer of a later version may send messages, or values of their fields, that
    this one does not know. Such a message becomes an `UnknownMessage`, and the
    others of its frame are received. A message that cannot be encoded is left
    out, and the others of its frame are sent.
    """

    __content_subtype__ = 'msgpack'

    def __init__(self, faults: FaultLog | None = None) -> None:
        self._faults = faults or FaultLog()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope)
        self._raw_decoder = msgspec.msgpack.Decoder(RawEnvelope)
        self._message_decoder = msgspec.msgpack.Decoder(Message)

    def encode(self, message: Envelope, message_type: type[Envelope]) -> bytes:
        """Return an envelope as bytes."""
        try:
            return self._encoder.encode(message)
        except Exception:
            return self._encode_each(message)

    def decode(self, frame: bytes, message_type: type[Envelope]) -> Envelope:
        """Return the envelope in a frame.

        Raises
        ------
        ProtocolError
            The frame is no envelope at all.
        """
        try:
            return self._decoder.decode(frame)
        except msgspec.DecodeError:
            return self._decode_each(frame)

    def _encode_each(self, envelope: Envelope) -> bytes:
        """Encode the messages of a frame one by one."""
        encoded: list[msgspec.Raw] = []
        for message in envelope.messages:
            with self._faults.contain(
                Boundary.MESSAGE_SENT, message=type(message).__name__
            ):
                encoded.append(msgspec.Raw(self._encoder.encode(message)))
        return self._encoder.encode(RawEnvelope(tuple(encoded)))

    def _decode_each(self, frame: bytes) -> Envelope:
        """Decode the messages of a frame one by one."""
        try:
            envelope = self._raw_decoder.decode(frame)
        except msgspec.DecodeError as error:
            raise ProtocolError(f'no envelope: {error}') from error
        return Envelope(tuple(map(self._decode_message, envelope.messages)))

    def _decode_message(self, content: msgspec.Raw) -> Message:
        try:
            return self._message_decoder.decode(content)
        except msgspec.DecodeError as error:
            return UnknownMessage(str(error))


class PeerServer:
    """Accepts streams from peers and passes their messages to a callback.

    A stream that fails ends alone, and a message that cannot be handled costs
    no other.
    """

    def __init__(
        self,
        member: MemberId,
        receive: Receiver,
        tls: PeerTls | None = None,
        faults: FaultLog | None = None,
    ) -> None:
        self._member = member
        self._receive = receive
        self._tls = tls
        self._faults = faults or FaultLog()
        self._server = Server([self], codec=MsgpackCodec(self._faults))
        self._outboxes: dict[MemberId, Outbox] = {}

    def __mapping__(self) -> Mapping[str, Handler]:
        """Return the RPC methods of this service, as `grpclib` requires."""
        handler = Handler(
            self.exchange,
            Cardinality.STREAM_STREAM,
            Envelope,
            Envelope,
        )
        return {METHOD: handler}

    async def start(self, host: str, port: int) -> None:
        """Start to listen on an address."""
        context = None if self._tls is None else self._tls.server
        await self._server.start(host, port, ssl=context)

    async def stop(self) -> None:
        """Stop listening and close all streams."""
        self._server.close()
        await self._server.wait_closed()

    async def exchange(self, stream: Stream[Envelope, Envelope]) -> None:
        """Serve one peer's stream until it ends."""
        outbox = Outbox(self._faults, REPLIES_PER_FRAME)
        outbox.add(Hello(self._member))
        with self._faults.contain(Boundary.PEER_STREAM, STREAM_ERRORS):
            async with anyio.create_task_group() as group:
                group.start_soon(outbox.write_to, stream)
                await self._receive_until_end(stream, outbox)
                group.cancel_scope.cancel()

    async def reply(self, member: MemberId, message: Message) -> bool:
        """Send a message on a peer's own stream; return whether it was sent.

        A peer whose stream was lost has no use for a reply to what it sent.
        """
        outbox = self._outboxes.get(member)
        return outbox is not None and await outbox.deliver(message)

    async def _receive_until_end(
        self, stream: Stream[Envelope, Envelope], outbox: Outbox
    ) -> None:
        peer: MemberId | None = None
        try:
            async for envelope in stream:
                if Ping() in envelope.messages:
                    outbox.add(Pong())
                peer = _find_sender(envelope, peer)
                if peer is not None:
                    self._outboxes[peer] = outbox
                    self._receive_all(peer, envelope)
        finally:
            if peer is not None and self._outboxes.get(peer) is outbox:
                self._outboxes.pop(peer)

    def _receive_all(self, peer: MemberId, envelope: Envelope) -> None:
        for message in envelope.messages:
            with self._faults.contain(
                Boundary.MESSAGE_RECEIVED,
                peer=peer,
                message=type(message).__name__,
            ):
                self._receive(peer, message)


def _find_sender(envelope: Envelope, known: MemberId | None) -> MemberId | None:
    """Return the member that an envelope names as its sender."""
    for message in envelope.messages:
        if isinstance(message, Hello):
            return message.member
    return known


class LinkOwner(Protocol):
    """Callbacks for changes of a link's state."""

    def link_up(self, address: str, member: MemberId) -> None:
        """Record that the greeting of the peer at an address has arrived."""

    def link_down(self, address: str) -> None:
        """Record that the link to an address was lost."""

    def link_received(self, address: str, message: Message) -> None:
        """Handle a reply of the peer at an address."""


class PeerLink:
    """Outgoing stream to one address, reconnected until it is closed.

    Parameters
    ----------
    address : str
        IP address and port, joined by a colon.
    hello : Hello
        Greeting that identifies this process.
    """

    def __init__(
        self,
        address: str,
        hello: Hello,
        owner: LinkOwner,
        tls: PeerTls | None = None,
        faults: FaultLog | None = None,
    ) -> None:
        self.address = address
        self._hello = hello
        self._owner = owner
        self._tls = tls
        self._faults = faults or FaultLog()
        self._outbox: Outbox | None = None
        self._scope = anyio.CancelScope()

    def send(self, message: Message) -> bool:
        """Queue a message; return whether the link is up and has room."""
        return self._outbox is not None and self._outbox.add(message)

    def close(self) -> None:
        """Close the stream and stop reconnecting."""
        self._scope.cancel()

    async def run(self) -> None:
        """Connect and send queued messages until the link is closed."""
        with self._scope:
            while True:
                # Each stream runs in a task of its own: grpclib cancels the
                # task whose stream is lost and never uncancels it, which would
                # break the cancel scope of the link.
                async with anyio.create_task_group() as group:
                    group.start_soon(self._run_stream)
                await anyio.sleep(RECONNECT_DELAY_S)

    async def _run_stream(self) -> None:
        with self._faults.contain(
            Boundary.PEER_STREAM, STREAM_ERRORS, address=self.address
        ):
            await self._connect()

    async def _connect(self) -> None:
        host, _, port = self.address.rpartition(':')
        context = None if self._tls is None else self._tls.client
        channel = Channel(
            host, int(port), codec=MsgpackCodec(self._faults), ssl=context
        )
        method = StreamStreamMethod(channel, METHOD, Envelope, Envelope)
        try:
            await self._exchange(method)
        finally:
            if self._outbox is not None:
                self._outbox = None
                self._owner.link_down(self.address)
            channel.close()

    async def _exchange(self, method: StreamStreamMethod[Any, Any]) -> None:
        async with method.open() as stream:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                await _open_stream(stream)
                await stream.send_message(Envelope((self._hello,)))
                first = await stream.recv_message()
            peer = None if first is None else _find_sender(first, None)
            if peer is None:
                return
            outbox = Outbox(self._faults)
            self._outbox = outbox
            self._owner.link_up(self.address, peer)
            async with anyio.create_task_group() as group:
                group.start_soon(outbox.write_to, stream)
                group.start_soon(_ping, outbox)
                await self._receive_until_lost(stream)
                group.cancel_scope.cancel()

    async def _receive_until_lost(self, stream: Any) -> None:
        """Return when the stream has ended or was silent for too long."""
        received: Any = Envelope(())
        with anyio.move_on_after(PEER_TIMEOUT_S) as scope:
            while received is not None:
                for message in received.messages:
                    self._receive(message)
                received = await stream.recv_message()
                scope.deadline = anyio.current_time() + PEER_TIMEOUT_S

    def _receive(self, message: Message) -> None:
        with self._faults.contain(
            Boundary.MESSAGE_RECEIVED,
            address=self.address,
            message=type(message).__name__,
        ):
            self._owner.link_received(self.address, message)


async def _ping(outbox: Outbox) -> None:
    while True:
        await anyio.sleep(PING_INTERVAL_S)
        outbox.add(Ping())


async def _open_stream(stream: Any) -> None:
    """Open a stream.

    Raises
    ------
    StreamTerminatedError
        The connection was lost meanwhile. `grpclib` does not check for this,
        and uses an attribute that it has deleted.
    """
    try:
        await stream.send_request()
    except AttributeError as error:
        raise StreamTerminatedError('connection lost') from error
