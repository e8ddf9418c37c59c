"""Backend servers of a cell, and their health as one member sees it."""

from collections.abc import Iterable, Iterator

from ibisplank.connection import EarnedSlots, ServerUpdate
from ibisplank.ids import MemberId, ServerId, ServiceId
from ibisplank.process.placing._health import WARM_ANSWERS, ServerHealth
from ibisplank.version import Server


class Servers:
    """Backend servers and their health.

    Attributes
    ----------
    known : dict
        Servers on the platform's list.
    health : dict
        Health of each server, kept also while it is off the list.
    blocked : set of ServerId
        Servers that get no new calls.
    """

    def __init__(self, member: MemberId) -> None:
        self.known: dict[ServerId, Server] = {}
        self.health: dict[ServerId, ServerHealth] = {}
        self.blocked: set[ServerId] = set()
        self._member = member

    def update(self, servers: Iterable[Server]) -> None:
        """Replace the servers by those on the platform's list."""
        self.known = {server.server: server for server in servers}
        for name in self.known:
            self.find_health(name)

    def find_health(self, server: ServerId) -> ServerHealth:
        """Return the health of a server, a new record if there is none."""
        return self.health.setdefault(server, ServerHealth(self._member))

    def set_warm_answers(self, answers: dict[ServiceId, int]) -> None:
        """Set how many answers allow a server one more slot, by service."""
        for name, server in self.known.items():
            health = self.health[name]
            health.warm_answers = answers.get(server.service, WARM_ANSWERS)

    def record_probe(self, update: ServerUpdate) -> None:
        """Record what a probe showed of a server."""
        health = self.find_health(update.server)
        health.record_probe(update.start, leaving=update.leaving)

    def block(self, servers: set[ServerId]) -> None:
        """Block only these servers; servers no longer blocked become cold."""
        for name in self.blocked - servers:
            self.health[name].reset_to_cold()
        self.blocked.clear()
        self.blocked.update(servers)

    def list_usable(self, service: ServiceId) -> list[Server]:
        """Return the servers of a service that may get new calls."""
        return [
            server
            for server in self.known.values()
            if server.service == service and server.server not in self.blocked
        ]

    def list_healthy(self, service: ServiceId) -> list[ServerId]:
        """Return the usable servers that are not failing, all if all fail."""
        usable = [server.server for server in self.list_usable(service)]
        healthy = [name for name in usable if not self.health[name].failing]
        return healthy or usable

    def estimate_latency_s(self, service: ServiceId, now: float) -> float:
        """Return the time that a call needs on the fastest server."""
        estimates = [
            self.health[each.server].estimate_latency_s(now)
            for each in self.list_usable(service)
        ]
        return min(estimates, default=0.0)

    def make_messages(self) -> Iterator[EarnedSlots]:
        """Yield messages that tell other members of the servers seen so far."""
        for server, health in self.health.items():
            if health.start:
                yield health.make_message(server)
