"""When a stopping router takes each step, from the stop signal to its exit."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.types import Seconds

#: Time after a stop signal for which requests are still accepted, in seconds. By then
#: the platform has polled readiness twice and sends no more requests.
ACCEPTING_S = 2.4
#: Time before the end of `ACCEPTING_S` at which the other daemons are asked to send no
#: more requests, in seconds.
NOTICE_LEAD_S = 0.5
#: Time before the end of the grace period at which requests that are still in flight
#: get their outcome, in seconds.
LAST_OUTCOMES_MARGIN_S = 0.6
#: Time before the end of the grace period at which the process exits even if it could
#: not send all answers, in seconds.
EXIT_MARGIN_S = 0.3
#: Time for which the daemon answers its peers after it has stopped to accept their
#: connections, in seconds: a round trip between regions, with what is sent on it.
LINGER_S = 0.25


@dataclass(slots=True)
class Shutdown:
    """A planned stop; all times are on the local clock, in seconds.

    Parameters
    ----------
    requested_at : float
        Time of the stop signal.
    grace_s : float
        Time after the signal at which the platform kills the process.
    lingers_since : float, optional
        Time since when no connections of peers are accepted any more.
    """

    requested_at: Seconds
    grace_s: Seconds
    lingers_since: Seconds | None = None

    @property
    def notice_at(self) -> Seconds:
        """Time at which the other daemons are asked to send no more requests."""
        return max(self.requested_at, self.accepting_until - NOTICE_LEAD_S)

    @property
    def accepting_until(self) -> Seconds:
        """Time until which callers may open connections."""
        return min(
            self.requested_at + ACCEPTING_S, self.last_outcomes_at - NOTICE_LEAD_S
        )

    @property
    def last_outcomes_at(self) -> Seconds:
        """Time at which every request that is still in flight gets an outcome."""
        return self.requested_at + self.grace_s - LAST_OUTCOMES_MARGIN_S

    @property
    def exit_at(self) -> Seconds:
        """Time at which the process exits in any case."""
        return self.requested_at + self.grace_s - EXIT_MARGIN_S

    def may_close_to_peers(self, now: Seconds, has_work: bool) -> bool:
        """Return whether to accept no more connections of peers.

        Parameters
        ----------
        has_work : bool
            Whether somebody waits for an answer of this daemon.
        """
        return not has_work or now >= self.exit_at - LINGER_S

    def may_exit(self, now: Seconds) -> bool:
        """Return whether the process may exit.

        A request that a peer has sent before it learned of the stop has been refused by
        then, so the peer knows that it has not run.
        """
        if self.lingers_since is None:
            return False
        return now >= min(self.lingers_since + LINGER_S, self.exit_at)
