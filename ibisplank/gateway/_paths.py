"""Which services this gateway and the others reach."""

import math
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

from ibisplank.connection import PathState
from ibisplank.ids import MemberId, ServiceId

#: A new connection that worked this recently shows that its service is reached.
CONNECTION_VALID_S = 0.5
#: Checks in a row that must reach a lost service before it is used again.
GOOD_CHECKS = 2
#: Known states of gateways, including those that have ended.
MAX_STATES = 1000


def _ignore() -> None:
    """Do nothing; the default until the checks are started."""


@dataclass(slots=True)
class OwnPaths:
    """Services that this gateway reaches, by its new connections.

    Load pattern: a gateway loses its links to the backend servers, while its
    callers, its peers and the store still reach it. Each server then looks as
    if it had failed. One failed server proves nothing; a service is lost if
    none of several of its servers accepts a connection. Connections that have
    carried an answer do not count, as they may live on while new ones are
    refused.

    Attributes
    ----------
    lost : frozenset of ServiceId
        Services of which no server is reached.
    isolated : bool
        Whether none of the services is reached.
    on_suspicion : callable
        Called when a service may be lost.
    """

    lost: frozenset[ServiceId] = frozenset()
    isolated: bool = False
    on_suspicion: Callable[[], None] = _ignore
    _worked_at: dict[ServiceId, float] = field(default_factory=dict)
    _suspected: set[ServiceId] = field(default_factory=set)
    _good_checks: dict[ServiceId, int] = field(default_factory=dict)

    def is_lost(self, service: ServiceId) -> bool:
        """Return whether no server of a service is reached."""
        return self.isolated or service in self.lost

    def is_reached(self, service: ServiceId, now: float) -> bool:
        """Return whether a recent connection shows that it is reached."""
        worked_at = self._worked_at.get(service, -math.inf)
        return now - worked_at <= CONNECTION_VALID_S

    def record_connection(
        self, service: ServiceId, now: float, *, worked: bool
    ) -> None:
        """Record whether a new connection to a server carried an answer."""
        if worked:
            self._worked_at[service] = now
        elif not self.is_reached(service, now):
            self.suspect(service)

    def suspect(self, service: ServiceId) -> None:
        """Have a service checked."""
        self._suspected.add(service)
        self.on_suspicion()

    def retain(self, services: Collection[ServiceId]) -> None:
        """Forget services that no longer exist."""
        self.lost = self.lost.intersection(services)
        self._suspected.intersection_update(services)

    def list_unsettled(self) -> set[ServiceId]:
        """Return the services to check: those suspected and those lost."""
        return self._suspected | self.lost

    def record_check(
        self, reached: Mapping[ServiceId, bool], *, complete: bool
    ) -> bool:
        """Record a check; return whether it changed anything.

        Parameters
        ----------
        reached : mapping
            Whether any server was reached, by the services checked.
        complete : bool
            Whether the services checked stand for all.
        """
        before = (self.lost, self.isolated)
        self._suspected.clear()
        for service, good in reached.items():
            count = self._good_checks.get(service, 0)
            self._good_checks[service] = count + 1 if good else 0
        missed = {service for service, good in reached.items() if not good}
        regained = {
            service
            for service, good in reached.items()
            if good and self._good_checks[service] >= GOOD_CHECKS
        }
        if missed and len(missed) == len(reached) and complete:
            self.isolated = True
        elif regained:
            self.isolated = False
        self.lost = frozenset((self.lost | missed) - regained)
        return before != (self.lost, self.isolated)


@dataclass(slots=True)
class PathStates:
    """Latest path state of each gateway, this one included.

    A state is forwarded when it is new, and holds until it is replaced.
    """

    _states: dict[MemberId, PathState] = field(default_factory=dict)

    def update(self, state: PathState) -> bool:
        """Record a state; return whether it is newer than the known one."""
        known = self._states.get(state.member)
        if known is not None and known.number >= state.number:
            return False
        self._states.pop(state.member, None)
        self._states[state.member] = state
        while len(self._states) > MAX_STATES:
            self._states.pop(next(iter(self._states)))
        return True

    def list_states(self) -> list[PathState]:
        """Return the known states."""
        return list(self._states.values())

    def is_lost(self, member: MemberId, service: ServiceId) -> bool:
        """Return whether a gateway reaches no server of a service."""
        state = self._states.get(member)
        return state is not None and (state.isolated or service in state.lost)

    def is_accepting(self, member: MemberId) -> bool:
        """Return whether a gateway takes calls from other gateways."""
        state = self._states.get(member)
        return state is None or state.accepting

    def choose_able(
        self, members: Collection[MemberId], service: ServiceId
    ) -> frozenset[MemberId]:
        """Return the gateways that reach a service.

        If none of them does, the servers are at fault and not the paths, and
        all are returned.
        """
        able = frozenset(
            member for member in members if not self.is_lost(member, service)
        )
        return able or frozenset(members)

    def is_outage(
        self, members: Collection[MemberId], service: ServiceId
    ) -> bool:
        """Return whether no gateway reaches a service."""
        return all(self.is_lost(member, service) for member in members)
