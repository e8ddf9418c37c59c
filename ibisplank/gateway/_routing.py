"""Routes by host and path prefix, and the shares of a route's services."""

from ibisplank.gateway._model import RouteConfig, RouteName, RoutingConfig
from ibisplank.ids import ServiceId


class RouteTable:
    """Routes of one version, found in time that their number doesn't raise.

    Load pattern: a config may grow by many routes at once, and is looked up
    for each call. Prefixes end with a slash, so a path is looked up once for
    each of its own segments, longest first.
    """

    def __init__(self, config: RoutingConfig) -> None:
        self.version = config.version
        self._hosts: dict[str, dict[str, RouteConfig]] = {}
        for route in config.routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> RouteConfig | None:
        """Return the route with the longest prefix that begins the path.

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
    """Deals a route's calls to its services in proportion to the weights.

    Load pattern: each VM sees few calls of a route, and the shares have to
    hold over all VMs. Smooth weighted round robin keeps each VM's own deal
    exact to one call, which a random draw would not.
    """

    def __init__(self) -> None:
        self._credits: dict[RouteName, dict[ServiceId, float]] = {}

    def choose(self, route: RouteConfig, phase: float = 0.0) -> ServiceId:
        """Return the service of the next call.

        Parameters
        ----------
        phase : float
            Where in its round a route that is new here begins, 0 to 1.
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
