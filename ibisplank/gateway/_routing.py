"""Route lookup by host and path prefix, and traffic splitting."""

from ibisplank.gateway._model import (
    OmittedEntry,
    RouteConfig,
    RouteName,
    RoutingConfig,
)
from ibisplank.ids import ServiceId


class RouteTable:
    """Routes of one config version, indexed by host and prefix.

    Load pattern: a config may grow by many routes at once, and each call looks
    up its route. Prefixes end with a slash, so a lookup tries one prefix per
    segment of the path, longest first, however many routes there are.

    A route that can't be decoded keeps its place, so that its calls match no
    other one with a shorter prefix.
    """

    def __init__(self, config: RoutingConfig) -> None:
        self.version = config.version
        self._hosts: dict[str, dict[str, RouteConfig | OmittedEntry]] = {}
        self._unplaced: OmittedEntry | None = None
        for omitted in config.omitted:
            if omitted.prefix:
                self._add(omitted)
            elif omitted.part == 'routes':
                self._unplaced = omitted
        for route in config.routes:
            self._add(route)

    def find(self, host: str, path: str) -> RouteConfig | OmittedEntry | None:
        """Return the route with the longest prefix of the path.

        Where there is none, but a route of the config doesn't even tell its
        host and prefix, that one is returned.

        Examples
        --------
        >>> RouteTable(RoutingConfig()).find('host', '/a/b') is None
        True
        """
        prefixes = self._hosts.get(host, {})
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return self._unplaced

    def _add(self, route: RouteConfig | OmittedEntry) -> None:
        self._hosts.setdefault(route.host, {})[route.prefix] = route


class TrafficSplitter:
    """Splits the calls of a route between its services by weight.

    Load pattern: each VM sees few calls of a route, and the split has to hold
    over all VMs. Smooth weighted round robin keeps the split of each VM exact
    to one call, which a random choice would not.
    """

    def __init__(self) -> None:
        self._credits: dict[RouteName, dict[ServiceId, float]] = {}

    def choose(self, route: RouteConfig, phase: float = 0.0) -> ServiceId:
        """Return the service of the next call.

        Parameters
        ----------
        phase : float
            Initial position of a new route in its round, from 0 to 1.
        """
        if len(route.shares) == 1:
            return route.shares[0].service
        total = sum(share.weight for share in route.shares)
        names = {share.service for share in route.shares}
        credits = self._credits.get(route.name)
        if credits is None or credits.keys() != names:
            credits = dict.fromkeys(names, 0.0)
            credits[route.shares[0].service] = phase * total
            self._credits[route.name] = credits
        for share in route.shares:
            credits[share.service] += share.weight
        best = max(route.shares, key=lambda share: credits[share.service])
        credits[best.service] -= total
        return best.service
