"""Route lookup by host and path prefix, and traffic splitting."""

from ibisplank.gateway._model import RouteConfig, RouteName, RoutingConfig
from ibisplank.ids import ServiceId


class RouteTable:
    """Routes of one config version, indexed by host and prefix.

    Load pattern: a config may grow by many routes at once, and each call looks
    up its route. Prefixes end with a slash, so a lookup tries one prefix per
    segment of the path, longest first, however many routes there are.
    """

    def __init__(self, config: RoutingConfig) -> None:
        self.version = config.version
        self._hosts: dict[str, dict[str, RouteConfig]] = {}
        for route in config.routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> RouteConfig | None:
        """Return the route with the longest prefix of the path.

        Examples
        --------
        >>> RouteTable(RoutingConfig()).find('host', '/a/b') is None
        True
        """
        prefixes = self._hosts.get(host)
        if prefixes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None


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
