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


@dataclass(frozen=True, slots=True)
class LocalPlace:
    """Where the local target runs, by the settings of this process.

    Parameters
    ----------
    region : str
        Region of the VM.
    """

    region: str


@dataclass(frozen=True, slots=True)
class Eligibility:
    """Which targets a request may be sent to.

    Parameters
    ----------
    allowed_regions : frozenset of str
        Regions that the route allows; all if empty.
    """

    allowed_regions: frozenset[str] = frozenset()

    @property
    def is_unrestricted(self) -> bool:
        """Whether the request may run everywhere."""
        return not self.allowed_regions

    def allows(self, place: Place | None) -> bool:
        """Return whether the request may run at a place; `None` if it is unknown."""
        if self.is_unrestricted:
            return True
        return place is not None and place.region in self.allowed_regions


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
    """

    def __init__(self, local_place: LocalPlace) -> None:
        self.local_place = local_place
        self.routing: RoutingTable | None = None

    def eligibility(self, request: RoutedRequest) -> Eligibility:
        """Return where a request may run by the rules that are in force now."""
        allowed_regions = self._allowed_regions(request)
        return Eligibility(allowed_regions) if allowed_regions else ANYWHERE

    def _allowed_regions(self, request: RoutedRequest) -> frozenset[str]:
        routing = self.routing
        if routing is None or not (
            routing.restricts_regions or request.allowed_regions
        ):
            return request.allowed_regions
        # Names of routes need not be unique, so the route is matched again.
        route = routing.match(request.host, request.path)
        return request.allowed_regions if route is None else route.allowed_regions

    def local_refusal(self, request: RoutedRequest) -> NotRun | None:
        """Return the refusal of a request that may not run at the local target."""
        if self.eligibility(request).allows(self.local_place):
            return None
        return NotRun(ErrorKind.REGION_NOT_ALLOWED, NOT_ELIGIBLE_RETRY_AFTER_S)
