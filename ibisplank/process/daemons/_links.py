"""Outgoing streams to the peers that a process should reach."""

from collections.abc import Callable

from anyio.abc import TaskGroup
from loguru import logger

from ibisplank.connection import Hello, Message, PeerLink, PeerTls
from ibisplank.ids import MemberId


class Links:
    """One stream to each peer address, kept up.

    Parameters
    ----------
    hello : Hello
        Whom this process says that it is.
    greet : callable
        Called with each member that has just been reached.
    """

    def __init__(
        self,
        hello: Hello,
        greet: Callable[[MemberId], None],
        tls: PeerTls | None = None,
    ) -> None:
        self._hello = hello
        self._greet = greet
        self._tls = tls
        self._links: dict[str, PeerLink] = {}
        self._reached: dict[MemberId, PeerLink] = {}
        self._guests: set[str] = set()

    def want(self, addresses: set[str], group: TaskGroup) -> None:
        """Reach these addresses, and the guests'."""
        self._guests -= addresses
        for address in set(self._links) - addresses - self._guests:
            self._links.pop(address).close()
        for address in addresses - set(self._links):
            self._start(address, group)

    def welcome(self, address: str, group: TaskGroup) -> None:
        """Reach a guest: a process outside the roster that has called."""
        if address and address not in self._links:
            self._guests.add(address)
            self._start(address, group)

    def dismiss(self) -> None:
        """Leave the guests."""
        for address in list(self._guests):
            self._links.pop(address).close()
        self._guests.clear()

    def send(self, member: MemberId, message: Message) -> None:
        """Queue a message for a member, if it is reached."""
        link = self._reached.get(member)
        if link is not None:
            link.send(message)

    def send_all(self, message: Message) -> None:
        """Queue a message for all members that are reached."""
        for link in self._reached.values():
            link.send(message)

    def link_up(self, address: str, member: MemberId) -> None:
        """Note that a peer answered on an address."""
        link = self._links.get(address)
        if link is None:
            return
        self._reached[member] = link
        logger.info('peer {} reached', member)
        self._greet(member)

    def link_down(self, address: str) -> None:
        """Note that a link was lost."""
        for member, link in list(self._reached.items()):
            if link.address == address:
                self._reached.pop(member)
                logger.info('peer {} lost', member)
        if address in self._guests:
            self._guests.discard(address)
            self._links.pop(address).close()

    @property
    def reached(self) -> list[MemberId]:
        """Members that are reached now."""
        return list(self._reached)

    def _start(self, address: str, group: TaskGroup) -> None:
        link = PeerLink(address, self._hello, self, self._tls)
        self._links[address] = link
        group.start_soon(link.run)
