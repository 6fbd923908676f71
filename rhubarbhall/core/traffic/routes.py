"""Routes by host and path prefix, as operators publish them."""

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
        The service.
    weight : int
        Its share, against the weights of the other parts.
    """

    service: str
    weight: int


@dataclass(frozen=True, slots=True)
class HostRoute:
    """A route.

    Parameters
    ----------
    name : str
        Its name.
    host : str
        Host that it is for, in lower case.
    prefix : str
        What the path begins with; it ends with a slash.
    parts : tuple of RoutePart
        Services that its requests go to.
    idempotent : bool
        Whether its requests may run more than once.
    priority : int
        Rank of its requests; 0 is the highest.
    timeout_s : float, optional
        Longest time that a request is kept waiting.
    target_latency_s : float
        Time within which an answer is worth most.
    max_attempts : int
        Targets that one request may be sent to.
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


@dataclass(frozen=True, slots=True)
class ServiceRules:
    """What holds for a service.

    Parameters
    ----------
    name : str
        Its name.
    by_key : bool
        Whether each key is held by one target.
    max_connections : int
        Connections that one target takes.
    """

    name: str
    by_key: bool = False
    max_connections: int = 100


@dataclass(frozen=True, slots=True)
class CallerRules:
    """What callers may send, and how long they may take.

    Parameters
    ----------
    max_head, max_body : int
        Limits in bytes.
    head_timeout_s, idle_timeout_s : float
        Time for the headers of a request, and between two requests.
    """

    max_head: int = 16 * 1024
    max_body: int = 64 * 1024 * 1024
    head_timeout_s: Seconds = 3.0
    idle_timeout_s: Seconds = 15.0


@dataclass(slots=True)
class RoutingTable:
    """One version of the operators' configuration.

    Parameters
    ----------
    version : int
        Its version; versions only grow.
    routes : tuple of HostRoute
        All routes.
    services_by_name : dict of str to ServiceRules
        All services.
    callers : CallerRules
        Limits of callers.
    """

    version: int
    routes: tuple[HostRoute, ...]
    services_by_name: dict[str, ServiceRules]
    callers: CallerRules = field(default_factory=CallerRules)
    _routes_by_host: dict[str, list[HostRoute]] = field(init=False, repr=False)
    _turn_by_route: dict[str, list[float]] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        self._routes_by_host = defaultdict(list)
        self._turn_by_route = {}
        # Of the prefixes of a path, the longest comes first.
        for route in sorted(self.routes, key=lambda each: -len(each.prefix)):
            self._routes_by_host[route.host].append(route)

    def match(self, host: str, path: str) -> HostRoute | None:
        """Return the route with the longest prefix of a path, if there is one."""
        bare = host.lower().partition(":")[0]
        wanted = path.partition("?")[0]
        for route in self._routes_by_host.get(bare, ()):
            if wanted.startswith(route.prefix):
                return route
        return None

    def choose_part(self, route: HostRoute) -> str:
        """Return the service whose turn it is by weight.

        Every part gets its share in each round of requests, not only on average.
        """
        if len(route.parts) == 1:
            return route.parts[0].service
        credits = self._turn_by_route.setdefault(route.name, [0.0] * len(route.parts))
        for index, part in enumerate(route.parts):
            credits[index] += part.weight
        chosen = max(range(len(credits)), key=credits.__getitem__)
        credits[chosen] -= sum(part.weight for part in route.parts)
        return route.parts[chosen].service
