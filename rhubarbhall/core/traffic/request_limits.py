"""Time limits of callers: how long they wait, and how long they have waited before."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.core.traffic.pending_requests import CallerRequest
    from rhubarbhall.core.traffic.routes import HostRoute
    from rhubarbhall.types import Seconds

__all__ = ["EarlierAttempts", "time_limit_s"]

#: Time limit of a request whose caller states none.
DEFAULT_TIMEOUT_S = 30.0
#: Time before the caller's own deadline at which it gets the outcome.
REPLY_MARGIN_S = 0.01
#: Time spent in earlier attempts above which a request counts as a retry.
RETRY_DETECTION_S = 0.03


def time_limit_s(request: CallerRequest, route: HostRoute) -> Seconds:
    """Return for how long the caller of a request wants its answer, in seconds."""
    limit_s = (request.timeout_s or DEFAULT_TIMEOUT_S) - REPLY_MARGIN_S
    return limit_s if route.timeout_s is None else min(limit_s, route.timeout_s)


class EarlierAttempts:
    """Time that callers have spent in earlier attempts, by what they say they wait.

    Callers of one route start with the same timeout and state the remaining time when
    they retry. The difference to the longest timeout of the route is therefore the time
    already spent.
    """

    def __init__(self) -> None:
        self._longest_timeout_by_route: dict[str, Seconds] = {}

    def spent_s(self, route: str, timeout_s: Seconds | None) -> Seconds:
        """Return how long the caller has waited in earlier attempts, in seconds.

        Parameters
        ----------
        route : str
            Name of the route.
        timeout_s : float or None
            Timeout that the caller states; it also counts for later requests.
        """
        if timeout_s is None:
            return 0.0
        longest_s = max(timeout_s, self._longest_timeout_by_route.get(route, 0.0))
        self._longest_timeout_by_route[route] = longest_s
        return longest_s - timeout_s
