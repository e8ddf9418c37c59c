"""Exchange of path states and handed-over calls between gateways."""

from dataclasses import dataclass

from anyio.abc import TaskGroup

from ibisplank.connection import (
    CallCancel,
    CallReply,
    CallRequest,
    Message,
    PathState,
)
from ibisplank.gateway._fleet import Fleet
from ibisplank.gateway._handover import Handover
from ibisplank.gateway._handoverserver import HandoverServer
from ibisplank.ids import MemberId
from ibisplank.process import PeerLinks, log_event
from ibisplank.rendezvous import score_by_hash

#: Gateways that one which has lost services connects to, if they are not all
#: connected.
HELPERS = 4


@dataclass(slots=True)
class PathExchange:
    """Tells all gateways which services each reaches, and passes calls on.

    Attributes
    ----------
    handover : Handover
        Calls that this gateway hands over.
    server : HandoverServer
        Calls that other gateways hand over to this one.
    """

    fleet: Fleet
    handover: Handover
    server: HandoverServer
    links: PeerLinks
    _changes: int = 0

    def __post_init__(self) -> None:
        """Connect the parts to the streams."""
        self.handover.send = self.links.send
        self.links.on_disconnected = self.handover.record_disconnect
        self.links.on_reply = self._receive_reply

    def announce(self) -> None:
        """Tell all gateways which services this one reaches."""
        own_paths = self.fleet.own_paths
        self._changes += 1
        state = PathState(
            self.fleet.member,
            self._changes,
            own_paths.isolated,
            tuple(sorted(own_paths.lost)),
            not self.server.closed,
        )
        self.fleet.path_states.update(state)
        self.links.send_all(state)

    def send_states(self, member: MemberId) -> None:
        """Send all known states to a gateway that has just been connected."""
        for state in self.fleet.path_states.list_states():
            self.links.send(member, state)

    def receive(
        self,
        member: MemberId,
        message: PathState | CallRequest | CallCancel,
        group: TaskGroup,
    ) -> None:
        """Handle a message of another gateway; serve calls in a task group."""
        match message:
            case PathState():
                self._apply_state(message)
            case CallRequest():
                self.server.accept(member, message, group)
            case CallCancel():
                self.server.cancel(member, message)

    def choose_helpers(self) -> set[MemberId]:
        """Return the gateways to connect to, to hand calls over to them.

        Those that have calls of this one stay connected until these have
        ended, also if the servers are reached again.
        """
        busy = self.handover.list_busy_peers()
        own_paths = self.fleet.own_paths
        if not own_paths.isolated and not own_paths.lost:
            return busy
        states = self.fleet.path_states
        lost = own_paths.lost or self.fleet.cluster.config.services
        able = [
            member
            for member in self.fleet.list_members() - {self.fleet.member}
            if not any(states.is_lost(member, service) for service in lost)
        ]
        key = f'helper/{self.fleet.member}'
        able.sort(key=lambda member: score_by_hash(key, member))
        return busy.union(able[:HELPERS])

    def _apply_state(self, state: PathState) -> None:
        """Record and forward the state of another gateway."""
        if state.member == self.fleet.member:
            return
        if not self.fleet.path_states.update(state):
            return
        log_event(
            'paths of another gateway',
            gateway=state.member,
            isolated=state.isolated,
            lost=state.lost,
            accepting=state.accepting,
        )
        self.links.send_all(state)

    def _receive_reply(self, member: MemberId, message: Message) -> None:
        if isinstance(message, CallReply):
            self.handover.record_reply(member, message)
