"""Directory of the backend servers in the platform's store."""

from dataclasses import dataclass

from ibisplank.gateway._model import ServerEntry, ServerKey
from ibisplank.gateway._statements import LeavingServers
from ibisplank.ids import ServerId, ZoneId

#: Time by which reports of a warm-up may be late. It is added to the remaining
#: warm-up time in an entry.
WARMUP_MARGIN_S = 0.5
#: For this long after a server was marked as cold, reports that it is warm are
#: ignored.
COLD_HOLD_S = 0.5


@dataclass(slots=True)
class ServerState:
    """Entry of one backend server, and the state derived from it.

    Attributes
    ----------
    cold_until : float
        Time until which it gets only a few calls per second.
    marked_cold_at : float
        Time at which it was last marked as cold.
    expires_at : float or None
        Time from which it gets no calls unless its entry is restored.
    """

    entry: ServerEntry
    cold_until: float = 0.0
    marked_cold_at: float = 0.0
    expires_at: float | None = None


class Directory:
    """Backend servers with their entries and state.

    Attributes
    ----------
    zones_out : set of ZoneId
        Availability zones whose servers get no new calls.
    changes : int
        Number of times that a server was added, restarted, moved or removed.
    leaving : LeavingServers
        Servers that said in an answer that they leave.
    """

    def __init__(self) -> None:
        self.zones_out: set[ZoneId] = set()
        self.changes = 0
        self.leaving = LeavingServers()
        self._states: dict[ServerId, ServerState] = {}

    def upsert(self, entry: ServerEntry, now: float) -> bool:
        """Store an entry; return whether the server is new or restarted."""
        known = self._states.get(entry.server)
        started = known is None or known.entry.born_ms != entry.born_ms
        if known is None or started:
            known = ServerState(entry)
            self._states[entry.server] = known
            self.changes += 1
        if known.entry.slice_key != entry.slice_key:
            self.changes += 1
        known.entry = entry
        known.expires_at = None
        if entry.warmup_left_s > 0:
            self._mark_cold(known, now, entry.warmup_left_s + WARMUP_MARGIN_S)
        return started

    def remove(self, server: ServerId, now: float, grace_s: float) -> None:
        """Remove a server whose entry was deleted.

        Parameters
        ----------
        grace_s : float
            Time for which the entry may be missing due to an outage of the
            store. Unless the server is draining, it is kept for this time.
        """
        state = self._states.get(server)
        if state is None:
            return
        if grace_s > 0 and not state.entry.draining:
            state.expires_at = now + grace_s
            return
        self._states.pop(server)
        self.changes += 1

    def set_zone_out(
        self,
        zone: ZoneId,
        now: float,
        cold_s: float,
        *,
        out: bool,
    ) -> None:
        """Take a zone out of service, or return it with all servers cold."""
        if out:
            self.zones_out.add(zone)
            return
        if zone not in self.zones_out:
            return
        self.zones_out.discard(zone)
        for state in self._states.values():
            if state.entry.zone == zone:
                self._mark_cold(state, now, cold_s)

    def update_warmup(
        self, server: ServerId, left_s: float, now: float
    ) -> None:
        """Update the remaining warm-up time that a server has reported.

        A report that it is warm is ignored shortly after it was marked as
        cold, since the report may be older.
        """
        state = self._states.get(server)
        if state is None:
            return
        if left_s > 0:
            self._mark_cold(state, now, left_s)
        elif now > state.marked_cold_at + COLD_HOLD_S:
            state.cold_until = 0.0

    def find(self, server: ServerId) -> ServerState | None:
        """Return the state of a server."""
        return self._states.get(server)

    def list_probeable(self) -> list[ServerState]:
        """Return the servers to probe: not draining, in a zone in service."""
        return [
            state
            for state in self._states.values()
            if state.entry.zone not in self.zones_out
            and not self.is_leaving(state)
        ]

    def list_all(self) -> list[ServerState]:
        """Return all servers."""
        return list(self._states.values())

    def list_leaving(self) -> list[ServerKey]:
        """Return the known servers that said in an answer that they leave."""
        keys = [state.entry.key for state in self._states.values()]
        return [key for key in keys if key in self.leaving]

    def is_leaving(self, state: ServerState) -> bool:
        """Return whether a server leaves, by its entry or its answers."""
        return state.entry.draining or state.entry.key in self.leaving

    def is_eligible(self, state: ServerState, now: float) -> bool:
        """Return whether a server may get calls now."""
        if self.is_leaving(state):
            return False
        if state.expires_at is not None and state.expires_at <= now:
            return False
        return state.entry.zone not in self.zones_out

    def _mark_cold(self, state: ServerState, now: float, cold_s: float) -> None:
        state.cold_until = max(state.cold_until, now + cold_s)
        state.marked_cold_at = now
