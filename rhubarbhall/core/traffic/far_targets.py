"""How much work a daemon sends to targets of other regions.

A daemon learns the loads of far targets only from the replies to its own requests, so
its view of them is old, and all daemons of a full region have the same one. If each of
them sent what it cannot serve to the target that looked free, most requests would cross
two regions to be refused.

So each daemon keeps a window for the targets of a service in another region, a group:
the weight of the requests that it may have under way there. An answer widens it. A
refusal for want of capacity, or a request without an answer in time, halves it, at most
once for the requests that were under way together (additive increase, multiplicative
decrease). Below one request the window turns into a pause between single requests,
which find out when there is room again. Within a group, targets whose recent report
shows no room are left out, and those without one get at most half of the window.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.traffic.requests import Answered, Load, NotRun, Outcome

if TYPE_CHECKING:
    from rhubarbhall.types import Address, Seconds

#: Window for a group of which nothing is known, and its bounds, in requests. With 2 at
#: first, a burst beyond the rate of the only local target was refused although a far
#: target was free.
INITIAL_WINDOW = 8.0
MIN_WINDOW = 1 / 8
MAX_WINDOW = 64.0
#: Window up to which each answer widens it by a whole request, once a group that had
#: refused all has answered again.
RETURN_THRESHOLD = 4.0
#: Factor by which a refusal narrows the window; with additive increase, daemons that
#: send to the same group come to equal shares.
DECREASE = 0.5
#: Pause between two requests at a window of one; it grows as the window narrows, up to
#: 4 s. Twenty daemons of a full region then send five requests a second to another.
PROBE_INTERVAL_S = 0.5
#: Time without a request to a group, in seconds, after which a window beyond the first
#: one is forgotten: what it was measured by has changed.
IDLE_TIMEOUT_S = 3.0
#: Age of the last request up to which a window is shown to operators, in seconds: two
#: of the longest pauses.
MAX_GAUGE_AGE_S = 2 * PROBE_INTERVAL_S / MIN_WINDOW
#: Age up to which a reported load is relied on. Loads change many times a second; older
#: reports say little, and the targets count as unknown.
REPORT_TIMEOUT_S = 1.0
#: Requests for each slot, running and waiting, from which a report shows no room.
FULL_LOAD = 2
#: Body size that weighs as much as one request without a body, in bytes: bytes between
#: regions are priced.
BODY_UNIT_BYTES = 64 * 1024
#: Refusals that mean that a target has no capacity.
_NO_CAPACITY = (ErrorKind.OVERLOADED, ErrorKind.DEADLINE_UNREACHABLE)


def weight_of(body_bytes: int) -> float:
    """Return the weight of a request with a body of some size; 1 without a body."""
    return 1.0 + body_bytes / BODY_UNIT_BYTES


@dataclass(slots=True)
class _Group:
    window: float = INITIAL_WINDOW
    #: Window up to which answers widen it by a whole request each.
    threshold: float = MAX_WINDOW
    outstanding: float = 0.0
    #: The part of `outstanding` at targets without a recent report.
    unknown: float = 0.0
    last_sent_at: Seconds = float("-inf")
    narrowed_at: Seconds = float("-inf")

    def widen(self) -> None:
        if self.window < 1.0:
            # There is room again, so requests need not wait for each other's pauses.
            self.window, self.threshold = 1.0, RETURN_THRESHOLD
        elif self.outstanding >= self.window / 2:
            # A window that is not used says nothing about the room for a wider one.
            step = 1.0 if self.window < self.threshold else 1.0 / self.window
            self.window = min(MAX_WINDOW, self.window + step)

    def narrow(self, now: Seconds) -> None:
        self.window = max(MIN_WINDOW, DECREASE * self.window)
        self.threshold = self.window
        self.narrowed_at = now


@dataclass(frozen=True, slots=True)
class _Flight:
    group: str
    address: Address
    weight: float
    sent_at: Seconds
    is_unknown: bool


@dataclass(slots=True)
class _Report:
    load: Load = field(default_factory=Load)
    at: Seconds = float("-inf")
    #: Requests sent to the target since.
    sent_since: int = 0


class FarTargets:
    """Bounds the requests under way to targets of other regions.

    It is told of the reports of all targets, and of requests to far ones.
    """

    def __init__(self) -> None:
        self._group_by_name: dict[str, _Group] = {}
        self._flight_by_ticket: dict[int, _Flight] = {}
        self._report_by_address: dict[Address, _Report] = {}

    def window(self, group: str) -> float:
        """Return the weight of requests that may be under way to a group."""
        known = self._group_by_name.get(group)
        return known.window if known else INITIAL_WINDOW

    def smallest_window(self, now: Seconds) -> float:
        """Return the window for the group in use that takes least, for operators."""
        known = (
            group.window
            for group in self._group_by_name.values()
            if now - group.last_sent_at <= MAX_GAUGE_AGE_S
        )
        return min(known, default=INITIAL_WINDOW)

    def known_load(self, now: Seconds, address: Address) -> Load | None:
        """Return the load that a target has reported recently; none without one."""
        report = self._report_by_address.get(address)
        if report is None or now - report.at > REPORT_TIMEOUT_S:
            return None
        return report.load

    def is_outdated(self, now: Seconds, address: Address) -> bool:
        """Return whether the last report of a target is too old to be relied on."""
        report = self._report_by_address.get(address)
        return report is not None and now - report.at > REPORT_TIMEOUT_S

    def may_send(
        self, now: Seconds, group: str, address: Address, weight: float
    ) -> bool:
        """Return whether a request may go to a target of another region now.

        Parameters
        ----------
        group : str
            The targets of the same service and region, by a name.
        weight : float
            Weight of the request; see `weight_of`.
        """
        load = self.known_load(now, address)
        if load is not None:
            sent_since = self._report_by_address[address].sent_since
            if load.running + load.waiting + sent_since >= FULL_LOAD * load.slots:
                return False
        state = self._group_by_name.get(group)
        if state is None:
            return True
        if state.window < 1.0:
            pause_s = PROBE_INTERVAL_S / state.window
            return not state.outstanding and now - state.last_sent_at >= pause_s
        if not state.outstanding:
            return True
        if load is None and state.unknown + weight > max(1.0, state.window / 2):
            return False
        return state.outstanding + weight <= state.window

    def record_sent(
        self, now: Seconds, group: str, address: Address, ticket: int, weight: float
    ) -> None:
        """Record that a request has been sent to a target of another region."""
        state = self._group_by_name.setdefault(group, _Group())
        if not state.outstanding and now - state.last_sent_at > IDLE_TIMEOUT_S:
            state.window = min(state.window, INITIAL_WINDOW)
        is_unknown = self.known_load(now, address) is None
        state.outstanding += weight
        state.unknown += weight * is_unknown
        state.last_sent_at = now
        report = self._report_by_address.get(address)
        if report is not None:
            report.sent_since += 1
        flight = _Flight(group, address, weight, now, is_unknown)
        self._flight_by_ticket[ticket] = flight

    def record_report(self, now: Seconds, address: Address, load: Load) -> None:
        """Record the load that a target has reported with a reply."""
        self._report_by_address[address] = _Report(load, now)

    def record_done(
        self, now: Seconds, ticket: int, outcome: Outcome | None = None
    ) -> None:
        """Record that a request is not under way any more.

        Parameters
        ----------
        outcome : Answered, NotRun, Unknown or None
            Its outcome; `None` if it was withdrawn. Only answers and refusals for want
            of capacity change the window.
        """
        flight = self._flight_by_ticket.pop(ticket, None)
        if flight is None:
            return
        state = self._group_by_name[flight.group]
        if isinstance(outcome, Answered):
            state.widen()
        elif isinstance(outcome, NotRun) and outcome.kind in _NO_CAPACITY:
            if flight.sent_at > state.narrowed_at:
                state.narrow(now)
        state.outstanding = max(0.0, state.outstanding - flight.weight)
        if flight.is_unknown:
            state.unknown = max(0.0, state.unknown - flight.weight)
