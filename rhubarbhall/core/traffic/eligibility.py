"""Where requests may run, by the operators' rules that are in force at this daemon.

Every choice of a target takes an `Eligibility`. The daemon beside the target checks the
rules again, as those in force there may be newer than those at the sender.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.traffic.requests import NotRun

if TYPE_CHECKING:
    from rhubarbhall.core.traffic.requests import RoutedRequest
    from rhubarbhall.core.traffic.routes import RoutingTable
    from rhubarbhall.types import Seconds

#: Time after which callers are asked to retry if the owner of the key, or the daemon
#: asked, is where the request may not run. Keys move to other owners within seconds.
NOT_ELIGIBLE_RETRY_AFTER_S: Seconds = 1.0


class Place(Protocol):
    """Where a target runs; `Member` is one."""

    @property
    def region(self) -> str:
        """Region of the VM."""

    @property
    def domain(self) -> str:
        """Failure domain of the VM."""


@dataclass(frozen=True, slots=True)
class LocalPlace:
    """Where the local target runs, by the settings of this process.

    Parameters
    ----------
    region, domain : str
        Region and failure domain of the VM.
    """

    region: str
    domain: str = ""


@dataclass(frozen=True, slots=True)
class Eligibility:
    """Which targets a request may be sent to.

    Parameters
    ----------
    permitted_regions : frozenset of str
        Regions that the route allows; all if empty.
    evacuated_domains : frozenset of str
        Failure domains that operators have evacuated.
    """

    permitted_regions: frozenset[str] = frozenset()
    evacuated_domains: frozenset[str] = frozenset()

    @property
    def is_unrestricted(self) -> bool:
        """Whether the request may run everywhere."""
        return not (self.permitted_regions or self.evacuated_domains)

    def allows(self, place: Place | None) -> bool:
        """Return whether the request may run at a place; `None` if it is unknown."""
        if self.is_unrestricted:
            return True
        return self.allows_region(place) and not self.is_evacuated(place)

    def allows_region(self, place: Place | None) -> bool:
        """Return whether the route allows the region of a place."""
        if not self.permitted_regions:
            return True
        return place is not None and place.region in self.permitted_regions

    def is_evacuated(self, place: Place | None) -> bool:
        """Return whether only an evacuation keeps the request from a place."""
        if place is None or not self.allows_region(place):
            return False
        return place.domain in self.evacuated_domains


ANYWHERE = Eligibility()


class PlacementRules:
    """Derives where requests may run from what is in force now.

    Parameters
    ----------
    local_place : LocalPlace
        Where the local target runs.

    Attributes
    ----------
    routing : RoutingTable or None
        The operators' configuration; None until it is known.
    evacuated_domains : frozenset of str or None
        Failure domains that operators have evacuated; None until it is known which.
    """

    def __init__(self, local_place: LocalPlace) -> None:
        self.local_place = local_place
        self.routing: RoutingTable | None = None
        self.evacuated_domains: frozenset[str] | None = frozenset()

    def eligibility(self, request: RoutedRequest) -> Eligibility:
        """Return where a request may run by the rules that are in force now."""
        permitted_regions = self._permitted_regions(request)
        if not (permitted_regions or self.evacuated_domains):
            return ANYWHERE
        return Eligibility(permitted_regions, self.evacuated_domains or frozenset())

    def _permitted_regions(self, request: RoutedRequest) -> frozenset[str]:
        routing = self.routing
        if routing is None or not (
            routing.restricts_regions or request.permitted_regions
        ):
            return request.permitted_regions
        # Names of routes need not be unique, so the route is matched again.
        route = routing.match(request.host, request.path)
        return request.permitted_regions if route is None else route.permitted_regions

    def local_refusal(self, request: RoutedRequest) -> NotRun | None:
        """Return the refusal of a request that may not run at the local target."""
        eligibility = self.eligibility(request)
        if eligibility.allows(self.local_place):
            return None
        if not eligibility.is_evacuated(self.local_place):
            return NotRun(ErrorKind.REGION_NOT_ALLOWED, NOT_ELIGIBLE_RETRY_AFTER_S)
        if request.key is not None:
            # The key is about to move. The sender waits for that as for any other move.
            return NotRun(ErrorKind.NOT_OWNER)
        return NotRun(ErrorKind.DOMAIN_EVACUATED, NOT_ELIGIBLE_RETRY_AFTER_S)
