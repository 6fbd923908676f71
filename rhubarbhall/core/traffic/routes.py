"""Routing table of hosts and path prefixes, as the operators configure it."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.types import Seconds


@dataclass(frozen=True, slots=True)
class RoutePart:
    """A service that gets a share of a route's requests.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : int
        Share of the requests, relative to the weights of the other parts.
    """

    service: str
    weight: int


@dataclass(frozen=True, slots=True)
class HostRoute:
    """A route for the requests to one host with one path prefix.

    Parameters
    ----------
    name : str
        Name of the route; a label of metrics and log lines.
    host : str
        Host that the route applies to, in lower case.
    prefix : str
        Prefix of the paths that the route applies to; ends with a slash.
    parts : tuple of RoutePart
        Services that share the requests.
    idempotent : bool
        Whether a request may run more than once.
    priority : int
        Priority of the requests; 0 is the highest.
    timeout_s : float, optional
        Maximum time until a request gets its outcome, in seconds.
    target_latency_s : float
        Time within which requests should be answered, in seconds. Requests that can
        still meet it are preferred under load.
    max_attempts : int
        Maximum number of targets that may receive one request.
    permitted_regions : frozenset of str
        Regions in which the requests may run; all if empty.
    """

    name: str
    host: str
    prefix: str
    parts: tuple[RoutePart, ...]
    idempotent: bool
    priority: int = 0
    timeout_s: Seconds | None = None
    target_latency_s: Seconds = 1.0
    max_attempts: int = 1
    permitted_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class ServiceRules:
    """Configuration of a service.

    Parameters
    ----------
    name : str
        Name of the service.
    by_key : bool
        Whether each key is owned by exactly one target.
    max_connections : int
        Maximum number of connections that one target accepts.
    warmup_s : float
        Time for which a target is cold after its start, in seconds.
    warmup_per_s : float, optional
        Requests per second that a cold target accepts; None without a limit.
    """

    name: str
    by_key: bool = False
    max_connections: int = 100
    warmup_s: Seconds = 0.0
    warmup_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class CallerRules:
    """Limits on what callers may send and how long they may take.

    Parameters
    ----------
    max_head, max_body : int
        Maximum size of the headers and of the body of a request, in bytes.
    head_timeout_s, idle_timeout_s : float
        Maximum time for the headers of a request to arrive, and between two requests
        on a connection, in seconds.
    """

    max_head: int = 16 * 1024
    max_body: int = 64 * 1024 * 1024
    head_timeout_s: Seconds = 3.0
    idle_timeout_s: Seconds = 15.0


def bare_host(host: str) -> str:
    """Return the host that a caller names, without a port and in lower case."""
    return host.lower().partition(":")[0]


@dataclass(slots=True)
class RoutingTable:
    """One version of the operators' configuration.

    Parameters
    ----------
    version : int
        Version of the configuration; later ones have higher numbers.
    routes : tuple of HostRoute
        All routes.
    services_by_name : dict of str to ServiceRules
        All services by name.
    callers : CallerRules
        Limits on callers.
    restricts_regions : bool
        Whether any route allows some regions only.
    """

    version: int
    routes: tuple[HostRoute, ...]
    services_by_name: dict[str, ServiceRules]
    callers: CallerRules = field(default_factory=CallerRules)
    restricts_regions: bool = field(init=False)
    _routes_by_host: dict[str, dict[str, HostRoute]] = field(init=False, repr=False)
    _longest_prefix: int = field(init=False, repr=False)
    _credits_by_route: dict[HostRoute, list[float]] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        self._routes_by_host = defaultdict(dict)
        self._credits_by_route = {}
        self.restricts_regions = any(each.permitted_regions for each in self.routes)
        self._longest_prefix = max(
            (len(each.prefix) for each in self.routes), default=0
        )
        for route in self.routes:
            # Of two routes with the same host and prefix the first one counts.
            self._routes_by_host[route.host].setdefault(route.prefix, route)

    def match(self, host: str, path: str) -> HostRoute | None:
        """Return the route of a host with the longest prefix of a path, or None.

        Every prefix ends with a slash, so each slash of the path is looked up, from the
        last one on. The time does not depend on the number of routes.
        """
        route_by_prefix = self._routes_by_host.get(bare_host(host))
        if route_by_prefix is None:
            return None
        prefix = path.partition("?")[0][: self._longest_prefix]
        while True:
            end = prefix.rfind("/")
            if end < 0:
                return None
            route = route_by_prefix.get(prefix[: end + 1])
            if route is not None:
                return route
            prefix = prefix[:end]

    def warmup_by_service(self) -> dict[str, ServiceRules]:
        """Return the services whose cold targets accept fewer requests."""
        return {
            name: rules
            for name, rules in self.services_by_name.items()
            if rules.warmup_per_s is not None
        }

    def choose_part(self, route: HostRoute) -> str:
        """Return the service that gets the next request of a route.

        Services are taken by weighted round robin, so that every part gets its share in
        each round of requests and not only on average.
        """
        if len(route.parts) == 1:
            return route.parts[0].service
        # By the route itself, as names need not be unique.
        credits = self._credits_by_route.setdefault(route, [0.0] * len(route.parts))
        for index, part in enumerate(route.parts):
            credits[index] += part.weight
        chosen = max(range(len(credits)), key=credits.__getitem__)
        credits[chosen] -= sum(part.weight for part in route.parts)
        return route.parts[chosen].service


@dataclass(frozen=True, slots=True)
class ConfigurationEntries:
    """The entries of a configuration in the order of the file.

    Parameters
    ----------
    version : int, optional
        Version of the configuration; None if it cannot be read.
    routes : tuple of HostRoute
        All routes.
    services : tuple of ServiceRules
        All services; of several with one name the last one counts.
    callers : tuple of CallerRules
        All limits on callers; the last one counts.
    """

    version: int | None
    routes: tuple[HostRoute, ...] = ()
    services: tuple[ServiceRules, ...] = ()
    callers: tuple[CallerRules, ...] = ()

    def routing_table(self) -> RoutingTable:
        """Return the table that daemons route by.

        Raises
        ------
        ValueError
            If the version is unknown.
        """
        if self.version is None:
            raise ValueError("a configuration without a version")
        return RoutingTable(
            version=self.version,
            routes=self.routes,
            services_by_name={service.name: service for service in self.services},
            callers=self.callers[-1] if self.callers else CallerRules(),
        )
