"""Outgoing streams from a process to its peers."""

from collections.abc import Callable

from anyio.abc import TaskGroup
from loguru import logger

from ibisplank.connection import Hello, Message, PeerLink, PeerTls
from ibisplank.faults import FaultLog
from ibisplank.ids import MemberId


def _ignore_disconnect(member: MemberId) -> None:
    """Do nothing; the default of processes that wait for no reply."""


def _ignore_reply(member: MemberId, message: Message) -> None:
    """Do nothing; the default of processes that wait for no reply."""


class PeerLinks:
    """One outgoing stream to each peer address, reconnected when it is lost.

    Besides the addresses that are set there may be unlisted ones: those of
    processes that have connected here but are not known as members yet.

    Parameters
    ----------
    hello : Hello
        First message on each stream, which names this process.
    on_connected : callable
        Called with each member to which a stream has just come up.

    Attributes
    ----------
    on_disconnected : callable
        Called with each member to which a stream was lost.
    on_reply : callable
        Called with each message that a member sends back on a stream.
    """

    def __init__(
        self,
        hello: Hello,
        on_connected: Callable[[MemberId], None],
        tls: PeerTls | None = None,
        faults: FaultLog | None = None,
    ) -> None:
        self._hello = hello
        self._on_connected = on_connected
        self._tls = tls
        self._faults = faults or FaultLog()
        self._links: dict[str, PeerLink] = {}
        self._connected: dict[MemberId, PeerLink] = {}
        self._unlisted: set[str] = set()
        self.on_disconnected: Callable[[MemberId], None] = _ignore_disconnect
        self.on_reply: Callable[[MemberId, Message], None] = _ignore_reply

    def set_addresses(self, addresses: set[str], group: TaskGroup) -> None:
        """Set the addresses to which links are kept open.

        Links to other addresses are closed, except those to unlisted ones.
        """
        self._unlisted -= addresses
        for address in set(self._links) - addresses - self._unlisted:
            self._links.pop(address).close()
        for address in addresses - set(self._links):
            self._open_link(address, group)

    def connect_back(self, address: str, group: TaskGroup) -> None:
        """Open a link to the unlisted address of a process that connected."""
        if address and address not in self._links:
            self._unlisted.add(address)
            self._open_link(address, group)

    def close_unlisted(self) -> None:
        """Close the links to unlisted addresses."""
        for address in list(self._unlisted):
            self._links.pop(address).close()
        self._unlisted.clear()

    def send(self, member: MemberId, message: Message) -> bool:
        """Queue a message for a member; return whether it is connected."""
        link = self._connected.get(member)
        return link is not None and link.send(message)

    def send_all(self, message: Message) -> None:
        """Queue a message for all connected members."""
        for link in self._connected.values():
            link.send(message)

    def link_up(self, address: str, member: MemberId) -> None:
        """Record that a peer answered on an address."""
        link = self._links.get(address)
        if link is None:
            return
        self._connected[member] = link
        logger.info('peer {} reached', member)
        self._on_connected(member)

    def link_down(self, address: str) -> None:
        """Record that the link to an address was lost."""
        for member, link in list(self._connected.items()):
            if link.address == address:
                self._connected.pop(member)
                logger.info('peer {} lost', member)
                self.on_disconnected(member)
        if address in self._unlisted:
            self._unlisted.discard(address)
            self._links.pop(address).close()

    def link_received(self, address: str, message: Message) -> None:
        """Pass a reply of the peer at an address on."""
        for member, link in self._connected.items():
            if link.address == address:
                self.on_reply(member, message)
                return

    @property
    def connected(self) -> list[MemberId]:
        """Members that are connected now."""
        return list(self._connected)

    def _open_link(self, address: str, group: TaskGroup) -> None:
        link = PeerLink(address, self._hello, self, self._tls, self._faults)
        self._links[address] = link
        group.start_soon(link.run)
