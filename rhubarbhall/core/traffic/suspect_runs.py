"""Suspects that the local target runs, of which each runs apart from the others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.traffic.crash_suspects import Standing
from rhubarbhall.core.traffic.queue_estimates import room_after_s
from rhubarbhall.core.traffic.requests import NotRun

if TYPE_CHECKING:
    from rhubarbhall.core.traffic.crash_suspects import CrashSuspects
    from rhubarbhall.core.traffic.queue_entries import QueueEntry
    from rhubarbhall.types import Seconds

__all__ = ["SuspectRuns"]


#: Maximum time for which a request that has to run alone holds up the others.
MAX_ISOLATION_WAIT_S = 1.0


class SuspectRuns:
    """Keeps suspects apart, so that the end of a target tells which is the cause.

    Parameters
    ----------
    suspects : CrashSuspects
        Requests under which targets have ended.
    """

    def __init__(self, suspects: CrashSuspects) -> None:
        self._suspects = suspects
        self._standing_by_ticket: dict[int, Standing] = {}

    @property
    def runs_alone(self) -> bool:
        """Whether an isolated request runs, beside which no other may begin."""
        return Standing.ISOLATED in self._standing_by_ticket.values()

    def update_standing(self, now: Seconds, entry: QueueEntry) -> None:
        """Set how a waiting request is treated by what is known now."""
        entry.standing = self._suspects.standing(now, entry.request)
        if entry.request.is_suspected:
            entry.standing = max(entry.standing, Standing.SUSPECT)

    def refusal(self, now: Seconds, entry: QueueEntry, running: int) -> NotRun | None:
        """Return the refusal of a request that may not run; none if it may, later."""
        if entry.standing is Standing.REJECTED:
            return NotRun(ErrorKind.CRASHES_TARGETS)
        has_waited = now - entry.arrived_at > MAX_ISOLATION_WAIT_S
        if has_waited and not self.may_begin(entry, running):
            return NotRun(ErrorKind.OVERLOADED, room_after_s(now, entry.request))
        return None

    def may_begin(self, entry: QueueEntry, running: int) -> bool:
        """Return whether a request may be sent beside `running` others."""
        if entry.standing is Standing.CLEAR:
            return True
        if entry.standing is Standing.SUSPECT:
            return not self._standing_by_ticket
        return running == 0

    def begin(self, entry: QueueEntry) -> None:
        """Record that a request was sent to the target."""
        if entry.standing is not Standing.CLEAR:
            self._standing_by_ticket[entry.ticket] = entry.standing

    def end(self, entry: QueueEntry) -> None:
        """Record that a request does not run any more."""
        self._standing_by_ticket.pop(entry.ticket, None)
