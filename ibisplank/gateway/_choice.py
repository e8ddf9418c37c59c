"""Choice of a server for a call, with a token if the server is rate-limited."""

from collections.abc import Callable, Iterable, Set
from dataclasses import dataclass

from ibisplank.gateway._directory import ServerState
from ibisplank.gateway._fleet import Fleet
from ibisplank.gateway._placing import Candidate, ServerSelector
from ibisplank.ids import ServerId, ServiceId

#: Tokens that one call requests, one after the other, while rate-limited
#: servers are the best choice.
MAX_TOKEN_REQUESTS = 3


@dataclass(frozen=True, slots=True)
class AttemptNeeds:
    """What a server must offer for an attempt.

    Attributes
    ----------
    tried : set of ServerId
        Servers that earlier attempts of the call were sent to.
    at_most_once : bool
        Whether the call may not be retried after it may have run.
    hedge : bool
        Whether another attempt of the call runs.
    """

    service: ServiceId
    tried: Set[ServerId]
    at_most_once: bool
    hedge: bool


@dataclass(frozen=True, slots=True)
class ServerChoice:
    """Chooses among the servers of a service that this gateway knows."""

    fleet: Fleet
    selector: ServerSelector
    clock: Callable[[], float]

    async def choose(
        self, needs: AttemptNeeds
    ) -> tuple[Candidate | None, list[Candidate]]:
        """Return the best server that may get the attempt now, if any.

        The second value lists the servers whose rate limit did not allow it.
        No token is spent on a hedge.
        """
        refused: list[Candidate] = []
        while True:
            limited = not needs.hedge and len(refused) < MAX_TOKEN_REQUESTS
            chosen = self._choose(needs, self.clock(), limited=limited)
            if chosen is None or not chosen.limited:
                return chosen, refused
            granted = await self.fleet.acquire_token(chosen)
            key = chosen.state.entry.key
            if granted and not self.fleet.quiet.is_quiet(key, self.clock()):
                return chosen, refused
            refused.append(chosen)

    def _choose(
        self, needs: AttemptNeeds, now: float, *, limited: bool
    ) -> Candidate | None:
        """Return the best of the sampled servers, else of all servers.

        Parameters
        ----------
        limited : bool
            Whether rate-limited servers are compared as well.
        """
        pool = self.fleet.partition.find_pool(needs.service)
        sampled = pool.sample(self.selector.rng)
        chosen = self._compare(needs, sampled, now, limited=limited)
        if chosen is not None:
            return chosen
        all_servers = pool.list_all()
        if len(sampled) == len(all_servers):
            return None
        return self._compare(needs, all_servers, now, limited=limited)

    def _compare(
        self,
        needs: AttemptNeeds,
        states: Iterable[ServerState],
        now: float,
        *,
        limited: bool,
    ) -> Candidate | None:
        """Return the best of some servers, None if none has room."""
        candidates = self.fleet.list_candidates(states, needs.tried, now)
        if not limited:
            candidates = [each for each in candidates if not each.limited]
        return self.selector.choose(
            candidates, now, at_most_once=needs.at_most_once
        )
