"""Keys that a target takes by requests of its daemon: grants, renewals and releases.

The daemon decides here which requests are due; `rhubarbhall.platform.key_requests`
sends them. A grant without an answer may be carried out seconds later, even after a
release of the same keys. Its keys therefore count as held until the longest end that
the grant can have, whatever is answered to later requests.
"""

from __future__ import annotations

import enum
import itertools
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, TypeAlias

from rhubarbhall.core.ownership.key_holdings import (
    MIN_HOLD_S,
    RejectedSpans,
    grant_end,
)

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.heartbeat import Heartbeat
    from rhubarbhall.core.ownership.key_table import Range, Span
    from rhubarbhall.types import Seconds

#: Time between two renewals of a grant, in seconds: three fit into the longest grant.
RENEWAL_INTERVAL_S = 0.9
#: Age of the last heartbeat, in seconds, up to which a grant is sent: two intervals and
#: a margin. After a longer silence a new run of the target may listen at the address,
#: and it must not get the fences of the run before.
MAX_HEARTBEAT_AGE_S = 2.0
#: Time until a request that failed is sent again, in seconds.
RETRY_DELAY_S = 0.3


class RequestResult(enum.Enum):
    """Result of a grant or a release that was requested from the target.

    DONE : the target has carried it out.
    FENCED : the target has refused a grant, as it has seen a higher fence.
    REFUSED : the target has refused it for another reason.
    NOT_SENT : the target has not received it and will not.
    UNKNOWN : there was no answer; it may be carried out later.
    """

    DONE = enum.auto()
    FENCED = enum.auto()
    REFUSED = enum.auto()
    NOT_SENT = enum.auto()
    UNKNOWN = enum.auto()


@dataclass(frozen=True, slots=True)
class GrantRequest:
    """Request that the target holds a range for some time.

    Parameters
    ----------
    number : int
        Identifies the request.
    span : Span
        The range with its fence and handover token.
    sent_at : float
        Time at which it is sent, local clock, in seconds.
    hold_s : float
        Duration of the grant, counted from when it arrives, in seconds.
    """

    number: int
    span: Span
    sent_at: Seconds
    hold_s: Seconds

    @property
    def range(self) -> Range:
        """First and last key."""
        return self.span.first, self.span.last


@dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """Request that the target stops work on a range and hands it over.

    Parameters
    ----------
    number : int
        Identifies the request.
    range : (int, int)
        First and last key, both included.
    fence : int
        Fence under which the range was granted.
    """

    number: int
    range: Range
    fence: int


KeyRequest: TypeAlias = "GrantRequest | ReleaseRequest"


@dataclass(frozen=True, slots=True)
class _Grant:
    """A grant that the target may have carried out.

    Parameters
    ----------
    number : int
        Number of its request.
    first, last : int
        First and last key, both included.
    fence : int
        Its fence.
    ends_at : float
        When it has certainly ended, local clock, in seconds.
    is_answered : bool
        Whether it was answered, so that it cannot be carried out later.
    """

    number: int
    first: int
    last: int
    fence: int
    ends_at: Seconds
    is_answered: bool = False

    def overlaps(self, first: int, last: int) -> bool:
        return self.first <= last and first <= self.last


@dataclass(frozen=True, slots=True)
class _Held:
    """A range that the target holds until `until`, local clock, in seconds."""

    span: Span
    until: Seconds


def _overlap(left: Range, right: Range) -> bool:
    return left[0] <= right[1] and right[0] <= left[1]


def _without(whole: Range, taken: Iterable[Range]) -> Iterator[Range]:
    """Yield the parts of a range that lie in none of the other ranges, in order."""
    first, last = whole
    for taken_first, taken_last in sorted(taken):
        if taken_last < first or taken_first > last:
            continue
        if first < taken_first:
            yield first, taken_first - 1
        first = taken_last + 1
    if first <= last:
        yield first, last


def _is_replaced(earlier: _Grant, grant: _Grant) -> bool:
    """Return whether an answered grant lies within the range of a later one."""
    is_inside = grant.first <= earlier.first and earlier.last <= grant.last
    return earlier.is_answered and is_inside


class RequestedHoldings:
    """Tracks the grants that were requested from the target, and what is due.

    Parameters
    ----------
    unknown_until : float
        When every grant that an earlier process of this daemon requested has ended,
        local clock, in seconds. Until then the target may hold any key.
    """

    def __init__(self, unknown_until: Seconds) -> None:
        self._unknown_until = unknown_until
        self._numbers = itertools.count(1)
        self._in_flight: dict[int, KeyRequest] = {}
        self._grants: list[_Grant] = []
        self._held: list[_Held] = []
        self._rejected = RejectedSpans()
        #: When each granted range is renewed, by its first and last key and its fence.
        self._renew_at: dict[tuple[int, int, int], Seconds] = {}
        self._release_not_before: Seconds = float("-inf")
        #: Whether grants wait for a heartbeat, because a connection to the target has
        #: ended and another run of it may answer the next one.
        self._awaits_heartbeat = False
        #: Fences that the target has refused because it had seen a higher one.
        self.refused_fences: set[int] = set()

    # State of the target

    def record_heartbeat(self) -> None:
        """Record that the run that grants are meant for has sent a heartbeat."""
        self._awaits_heartbeat = False

    def record_connection_lost(self) -> None:
        """Record that a connection to the target has ended."""
        self._awaits_heartbeat = True

    def record_rejection(self, now: Seconds, key: int) -> None:
        """Record that the target has answered that it does not hold a key.

        The range is granted again before more requests are sent.
        """
        for held in self._held:
            span = held.span
            if span.first <= key <= span.last:
                self._rejected.record(now, span)
                self._renew_at.pop((span.first, span.last, span.fence), None)

    def reset(self, former_hold_end: Seconds) -> None:
        """Record that a new run of the target has begun, which holds nothing.

        A request in flight may reach the new run, so its keys still count as held.
        """
        self._grants = [each for each in self._grants if each.number in self._in_flight]
        self._held = []
        self._renew_at = {}
        self.refused_fences = set()
        self._unknown_until = former_hold_end

    def may_work_on(self, now: Seconds, key: int) -> bool:
        """Return whether the target holds a key, as far as is known."""
        return any(
            held.span.first <= key <= held.span.last
            and now < held.until
            and not self._rejected.is_open(now, held.span)
            for held in self._held
        )

    def may_hold(self, now: Seconds, span: Span, heartbeat: Heartbeat | None) -> bool:
        """Return whether the target may hold, or work on, any key of a span."""
        return now <= self._unknown_until or any(
            now <= grant.ends_at and span.overlaps(grant.first, grant.last)
            for grant in self._grants
        )

    # Requests

    def due(
        self,
        now: Seconds,
        owned: tuple[Span, ...],
        hold_s: Seconds,
        heartbeat_age_s: Seconds,
    ) -> Iterator[KeyRequest]:
        """Yield the requests that are due; each counts as sent.

        Parameters
        ----------
        owned : tuple of Span
            The spans that the target is to hold. All others are released.
        hold_s : float
            Time for which they may be granted, in seconds.
        heartbeat_age_s : float
            Time since the last heartbeat, in seconds.
        """
        self._grants = [each for each in self._grants if now <= each.ends_at]
        self._held = [each for each in self._held if now < each.until]
        self._rejected.keep(owned)
        yield from self._due_releases(now, [(each.first, each.last) for each in owned])
        is_silent = heartbeat_age_s > MAX_HEARTBEAT_AGE_S
        if hold_s >= MIN_HOLD_S and not is_silent and not self._awaits_heartbeat:
            yield from self._due_grants(now, owned, hold_s)

    def _is_in_flight(self, keys: Range) -> bool:
        return any(_overlap(keys, each.range) for each in self._in_flight.values())

    def _due_releases(
        self, now: Seconds, owned: list[Range]
    ) -> Iterator[ReleaseRequest]:
        if now < self._release_not_before:
            return
        for grant in list(self._grants):
            if not grant.is_answered:
                # It can be carried out after a release, which therefore proves nothing.
                continue
            for keys in _without((grant.first, grant.last), owned):
                if self._is_in_flight(keys):
                    continue
                self._stop_work_on(keys)
                request = ReleaseRequest(next(self._numbers), keys, grant.fence)
                self._in_flight[request.number] = request
                yield request

    def _stop_work_on(self, keys: Range) -> None:
        remaining: list[_Held] = []
        for held in self._held:
            whole = (held.span.first, held.span.last)
            for first, last in _without(whole, [keys]):
                remaining.append(replace(held, span=held.span.cut(first, last)))
        self._held = remaining

    def _due_grants(
        self, now: Seconds, owned: tuple[Span, ...], hold_s: Seconds
    ) -> Iterator[GrantRequest]:
        places = {(span.first, span.last, span.fence) for span in owned}
        for gone in set(self._renew_at) - places:
            del self._renew_at[gone]
        for span in owned:
            place = (span.first, span.last, span.fence)
            is_fresh = now < self._renew_at.get(place, now)
            is_refused = span.fence in self.refused_fences
            if is_fresh or is_refused or self._is_in_flight(place[:2]):
                continue
            request = GrantRequest(next(self._numbers), span, now, hold_s)
            self._in_flight[request.number] = request
            grant = _Grant(request.number, *place, grant_end(now, hold_s))
            self._grants.append(grant)
            yield request

    # Results

    def record_result(
        self, now: Seconds, request: KeyRequest, result: RequestResult
    ) -> None:
        """Record the result of a request that `due` has yielded."""
        del self._in_flight[request.number]
        if isinstance(request, GrantRequest):
            self._record_grant_result(now, request, result)
        elif result is RequestResult.DONE:
            self._record_release(request)
        else:
            self._release_not_before = now + RETRY_DELAY_S

    def _record_grant_result(
        self, now: Seconds, request: GrantRequest, result: RequestResult
    ) -> None:
        if result is RequestResult.UNKNOWN:
            return
        span = request.span
        place = (span.first, span.last, span.fence)
        if result is not RequestResult.DONE:
            self._renew_at[place] = now + RETRY_DELAY_S
        grant = next(
            (each for each in self._grants if each.number == request.number), None
        )
        if grant is None:
            return
        self._grants.remove(grant)
        if result is RequestResult.FENCED:
            self.refused_fences.add(span.fence)
        if result is not RequestResult.DONE:
            return
        replaced = [each for each in self._grants if _is_replaced(each, grant)]
        ends_at = max(each.ends_at for each in (grant, *replaced))
        self._grants = [each for each in self._grants if each not in replaced]
        self._grants.append(replace(grant, ends_at=ends_at, is_answered=True))
        self._stop_work_on(request.range)
        self._held.append(_Held(span, request.sent_at + request.hold_s))
        self._renew_at[place] = request.sent_at + RENEWAL_INTERVAL_S

    def _record_release(self, request: ReleaseRequest) -> None:
        remaining: list[_Grant] = []
        for grant in self._grants:
            if not grant.is_answered:
                remaining.append(grant)
                continue
            for first, last in _without((grant.first, grant.last), [request.range]):
                remaining.append(replace(grant, first=first, last=last))
        self._grants = remaining
