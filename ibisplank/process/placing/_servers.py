"""What a member knows of the backend servers of its cell."""

from collections.abc import Iterable, Iterator

from ibisplank.connection import EarnedSlots, ServerUpdate
from ibisplank.ids import MemberId, ServerId, ServiceId
from ibisplank.process.placing._trust import WARM_ANSWERS, ServerTrust
from ibisplank.version import Server


class Servers:
    """Backend servers with their records.

    Attributes
    ----------
    known : dict
        Servers of the platform's list.
    trust : dict
        Record of each server, kept also while it is off the list.
    blocked : set of ServerId
        Servers that get no new work.
    """

    def __init__(self, member: MemberId) -> None:
        self.known: dict[ServerId, Server] = {}
        self.trust: dict[ServerId, ServerTrust] = {}
        self.blocked: set[ServerId] = set()
        self._member = member

    def learn(self, servers: Iterable[Server]) -> None:
        """Take in the platform's list."""
        self.known = {server.server: server for server in servers}
        for name in self.known:
            self.find_trust(name)

    def find_trust(self, server: ServerId) -> ServerTrust:
        """Return the record of a server, a new one if there is none."""
        return self.trust.setdefault(server, ServerTrust(self._member))

    def learn_warmth(self, answers: dict[ServiceId, int]) -> None:
        """Take in how many answers earn a slot, by service."""
        for name, server in self.known.items():
            trust = self.trust[name]
            trust.warm_answers = answers.get(server.service, WARM_ANSWERS)

    def learn_probe(self, news: ServerUpdate) -> None:
        """Take in what a probe showed."""
        trust = self.find_trust(news.server)
        trust.hear_probe(news.start, leaving=news.leaving)

    def block(self, servers: set[ServerId]) -> None:
        """Give no new work to these servers; any other returns cold."""
        for name in self.blocked - servers:
            self.trust[name].turn_cold()
        self.blocked.clear()
        self.blocked.update(servers)

    def list_usable(self, service: ServiceId) -> list[Server]:
        """Return the servers of a service that may get new work."""
        return [
            server
            for server in self.known.values()
            if server.service == service and server.server not in self.blocked
        ]

    def list_sound(self, service: ServiceId) -> list[ServerId]:
        """Return the usable servers that did not fail last, or all usable."""
        usable = [server.server for server in self.list_usable(service)]
        sound = [name for name in usable if not self.trust[name].failing]
        return sound or usable

    def find_needed_s(self, service: ServiceId, now: float) -> float:
        """Return the time that a call needs on the fastest server."""
        needed = [
            self.trust[each.server].find_needed_s(now)
            for each in self.list_usable(service)
        ]
        return min(needed, default=0.0)

    def tell(self) -> Iterator[EarnedSlots]:
        """Yield what other members must know of the servers seen so far."""
        for server, trust in self.trust.items():
            if trust.start:
                yield trust.tell(server)
