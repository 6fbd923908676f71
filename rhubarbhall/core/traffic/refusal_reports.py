"""What daemons have reported in refusals for lack of room.

A request that would be refused at another daemon is refused at the daemon where it
enters, so that neither the link nor the other daemon pays for it. The reports are short
lived, and some requests are sent in spite of them: only these tell when there is room
again.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from rhubarbhall.core.traffic.requests import Load, NotRun, RoutedRequest
    from rhubarbhall.types import Address, Seconds

#: Maximum age of a report by which requests are refused. Demand and speeds of targets
#: change within tenths of a second.
MAX_REPORT_AGE_S = 0.3
#: Maximum age of a report as a share of the time that the refused request needed. The
#: rest of that time is work that keeps the target busy until requests arrive again.
MAX_DRAINED_SHARE = 0.4
#: One of so many requests is sent in spite of a report, and one each `PROBE_INTERVAL_S`
#: in any case, so that the report is renewed before it is too old.
PROBE_SHARE = 8
PROBE_INTERVAL_S = 0.1
#: Maximum number of daemons with reports, and of reports of each of them; beyond it
#: those that have come first are dropped.
MAX_DAEMONS = 256
MAX_KINDS = 16

#: Kind of request at a daemon: route, whether it is a retry, and whether the target
#: latency has passed.
_Kind: TypeAlias = "tuple[str, bool, bool]"


@dataclass(slots=True)
class _Report:
    """Refusal of a request.

    Parameters
    ----------
    reported_at : float
        Time of the refusal, local clock, in seconds.
    needed_s : float
        Time that the request would have needed until its answer, in seconds.
    probed_at : float
        Time when a request was last sent in spite of the report.
    refused : int
        Number of requests that were refused by the report or sent in spite of it.
    """

    reported_at: Seconds
    needed_s: Seconds
    probed_at: Seconds
    refused: int = 0


def _kind(now: Seconds, request: RoutedRequest) -> _Kind:
    is_late = now >= request.target_latency_deadline
    return request.route, request.is_retry, is_late


class RefusalReports:
    """Recent refusals of other daemons, by kind of request."""

    def __init__(self) -> None:
        self._reports_by_address: dict[Address, dict[_Kind, _Report]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._reports_by_address.values()))

    def record_refusal(
        self, now: Seconds, address: Address, request: RoutedRequest, refusal: NotRun
    ) -> None:
        """Record a refusal, if it tells the time that the request would have needed."""
        if refusal.needed_s <= 0:
            return
        reports = self._reports_by_address.pop(address, {})
        self._reports_by_address[address] = reports
        kind = _kind(now, request)
        earlier = reports.pop(kind, None)
        report = _Report(now, refusal.needed_s, now)
        if earlier is not None:
            report.refused, report.probed_at = earlier.refused, earlier.probed_at
        reports[kind] = report
        for known, limit in (
            (reports, MAX_KINDS),
            (self._reports_by_address, MAX_DAEMONS),
        ):
            if len(known) > limit:
                del known[next(iter(known))]

    def record_load(self, address: Address, load: Load) -> None:
        """Forget the refusals of a daemon whose target has a free slot again."""
        if load.running < load.slots and load.waiting == 0:
            self._reports_by_address.pop(address, None)

    def refuses(
        self,
        now: Seconds,
        address: Address,
        request: RoutedRequest,
        round_trip_s: Seconds,
    ) -> bool:
        """Return whether a request is not sent, as a daemon would refuse it.

        A call counts as a request that is refused, or else sent. The daemon has the
        time until the deadline less the round trip.
        """
        reports = self._reports_by_address.get(address)
        report = reports.get(_kind(now, request)) if reports else None
        if report is None:
            return False
        age_s = now - report.reported_at
        max_age_s = min(MAX_REPORT_AGE_S, MAX_DRAINED_SHARE * report.needed_s)
        remaining_s = request.deadline - now - round_trip_s
        if age_s > max_age_s or remaining_s > report.needed_s:
            return False
        report.refused += 1
        is_due = now - report.probed_at >= PROBE_INTERVAL_S
        if is_due or report.refused % PROBE_SHARE == 0:
            report.probed_at = now
            return False
        return True
