"""What a member knows of the backend servers of its cell."""

from collections.abc import Iterable, Iterator

from ibisplank.connection import ServerNews, Trust
from ibisplank.ids import MemberId, ServerId, ServiceId
from ibisplank.process.placing._health import WARM_ANSWERS, ServerHealth
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
        self.health: dict[ServerId, ServerHealth] = {}
        self.blocked: set[ServerId] = set()
        self._member = member

    def update(self, servers: Iterable[Server]) -> None:
        """Take in the platform's list."""
        self.known = {server.server: server for server in servers}
        for name in self.known:
            self.find_health(name)

    def find_health(self, server: ServerId) -> ServerHealth:
        """Return the record of a server, a new one if there is none."""
        return self.health.setdefault(server, ServerHealth(self._member))

    def set_warm_answers(self, answers: dict[ServiceId, int]) -> None:
        """Take in how many answers earn a slot, by service."""
        for name, server in self.known.items():
            health = self.health[name]
            health.warm_answers = answers.get(server.service, WARM_ANSWERS)

    def record_probe(self, news: ServerNews) -> None:
        """Take in what a probe showed."""
        health = self.find_health(news.server)
        health.record_probe(news.start, leaving=news.leaving)

    def block(self, servers: set[ServerId]) -> None:
        """Give no new work to these servers; any other returns cold."""
        for name in self.blocked - servers:
            self.health[name].reset_to_cold()
        self.blocked.clear()
        self.blocked.update(servers)

    def list_usable(self, service: ServiceId) -> list[Server]:
        """Return the servers of a service that may get new work."""
        return [
            server
            for server in self.known.values()
            if server.service == service and server.server not in self.blocked
        ]

    def list_healthy(self, service: ServiceId) -> list[ServerId]:
        """Return the usable servers that did not fail last, or all usable."""
        usable = [server.server for server in self.list_usable(service)]
        healthy = [name for name in usable if not self.health[name].failing]
        return healthy or usable

    def estimate_latency_s(self, service: ServiceId, now: float) -> float:
        """Return the time that a call needs on the fastest server."""
        needed = [
            self.health[each.server].estimate_latency_s(now)
            for each in self.list_usable(service)
        ]
        return min(needed, default=0.0)

    def list_updates(self) -> Iterator[Trust]:
        """Yield what other members must know of the servers seen so far."""
        for server, health in self.health.items():
            if health.start:
                yield health.make_message(server)
