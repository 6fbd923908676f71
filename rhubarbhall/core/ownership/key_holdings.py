"""What the local target may hold of the keys, by the way in which it takes grants.

A target takes keys in one of two ways: in the answers to its heartbeats
(`HeartbeatHoldings`), or by requests that the daemon sends to it
(`rhubarbhall.core.ownership.requested_holdings`). Which keys it is to hold does not
depend on the way.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from rhubarbhall.core.ownership.read_lease import CLOCK_DRIFT

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rhubarbhall.core.ownership.heartbeat import Heartbeat
    from rhubarbhall.core.ownership.key_table import Span
    from rhubarbhall.types import Seconds

#: Longest time for which one grant lets a target hold its keys. Long enough for two
#: renewals to be missed, short enough for the keys of a lost target to move soon.
MAX_HOLD_S = 3.0
#: Shortest time that is granted; below it, nothing is granted or renewed.
MIN_HOLD_S = 0.3
#: Margin for the end of a grant, in seconds: the grant is shortened by it, and other
#: targets wait longer by it.
GRANT_MARGIN_S = 0.1
#: Time for which no requests are sent for a range after the target has rejected one,
#: and its upper bound; each rejection in a row doubles it.
FIRST_REJECTION_BACKOFF_S = 0.1
MAX_REJECTION_BACKOFF_S = 2.0
#: Time without a rejection after which the next one counts as the first again.
REJECTION_MEMORY_S = 5.0


def grant_end(sent_at: Seconds, hold_s: Seconds) -> Seconds:
    """Return when a grant has certainly ended, whatever the drift of the clocks."""
    return sent_at + hold_s * (1 + CLOCK_DRIFT) + GRANT_MARGIN_S


class KeyHoldings(Protocol):
    """Record of the keys that the local target may hold."""

    def may_work_on(self, now: Seconds, key: int) -> bool:
        """Return whether the target holds a key, as far as is known."""

    def may_hold(self, now: Seconds, span: Span, heartbeat: Heartbeat | None) -> bool:
        """Return whether the target may hold, or work on, any key of a span.

        Parameters
        ----------
        heartbeat : Heartbeat, optional
            The last heartbeat; None if the target sends none, before the first and
            after it has left.
        """

    def record_rejection(self, now: Seconds, key: int) -> None:
        """Record that the target has answered that it does not hold a key."""

    def reset(self, former_hold_end: Seconds) -> None:
        """Record that a new run of the target has begun, which holds nothing.

        Parameters
        ----------
        former_hold_end : float
            Until when the run before may hold any key, local clock, in seconds.
        """


@dataclass(slots=True)
class _Rejection:
    """Rejections in a row of requests for the keys of one span.

    Parameters
    ----------
    count : int
        Number of rejections that followed each other within `REJECTION_MEMORY_S`.
    until : float
        Time until which no requests are sent, local clock, in seconds.
    """

    count: int = 0
    until: Seconds = float("-inf")


class RejectedSpans:
    """Spans for which the target has rejected requests, although it was granted them.

    A target that keeps rejecting a key is asked ever more rarely, so that its
    rejections do not use up the retry budget.
    """

    def __init__(self) -> None:
        self._rejection_by_fence: dict[tuple[int, int], _Rejection] = {}

    def record(self, now: Seconds, span: Span) -> None:
        """Record a rejection of a request for a key of a span.

        Requests that were under way at an earlier rejection change nothing.
        """
        place = (span.first, span.fence)
        rejection = self._rejection_by_fence.setdefault(place, _Rejection())
        if now < rejection.until:
            return
        if now - rejection.until > REJECTION_MEMORY_S:
            rejection.count = 0
        backoff_s = FIRST_REJECTION_BACKOFF_S * 2 ** min(rejection.count, 10)
        rejection.count += 1
        rejection.until = now + min(MAX_REJECTION_BACKOFF_S, backoff_s)

    def is_open(self, now: Seconds, span: Span) -> bool:
        """Return whether requests for a span are held back now."""
        rejection = self._rejection_by_fence.get((span.first, span.fence))
        return rejection is not None and now < rejection.until

    def keep(self, spans: Sequence[Span]) -> None:
        """Forget the rejections of all spans but these."""
        places = {(span.first, span.fence) for span in spans}
        for place in set(self._rejection_by_fence) - places:
            del self._rejection_by_fence[place]


class HeartbeatHoldings:
    """Keys that were granted in the answers to the target's heartbeats.

    Each answer names everything that the target may hold from then on.

    Parameters
    ----------
    unknown_until : float
        When every grant of an earlier process of this daemon has ended, local clock, in
        seconds. Until then the target may hold any key: the heartbeats that come first
        may be late and older than those grants.
    """

    def __init__(self, unknown_until: Seconds = float("-inf")) -> None:
        self._unknown_until = unknown_until
        self._granted: tuple[Span, ...] = ()
        #: The grant before the last: its answer may have been read after the last
        #: heartbeat was written.
        self._previously_granted: tuple[Span, ...] = ()
        self._hold_ends_at: Seconds = float("-inf")
        self._rejected = RejectedSpans()

    def record_grant(
        self, now: Seconds, spans: tuple[Span, ...], hold_s: Seconds
    ) -> None:
        """Record the grant in the answer to a heartbeat."""
        self._previously_granted, self._granted = self._granted, spans
        self._hold_ends_at = now + hold_s
        self._rejected.keep(spans)

    def record_rejection(self, now: Seconds, key: int) -> None:
        """Record that the target has answered that it does not hold a key."""
        for span in self._granted:
            if span.first <= key <= span.last:
                self._rejected.record(now, span)

    def may_work_on(self, now: Seconds, key: int) -> bool:
        """Return whether the target holds a key, as far as is known."""
        if now >= self._hold_ends_at:
            # The last heartbeat is not enough: the target may have stopped holding the
            # key since, and each request that it refuses counts as a retry.
            return False
        return any(
            span.first <= key <= span.last and not self._rejected.is_open(now, span)
            for span in self._granted
        )

    def may_hold(self, now: Seconds, span: Span, heartbeat: Heartbeat | None) -> bool:
        """Return whether the target may hold, or work on, any key of a span."""
        if heartbeat is None or now <= self._unknown_until:
            return True
        granted = (*self._granted, *self._previously_granted)
        if any(span.overlaps(each.first, each.last) for each in granted):
            return True
        return any(span.overlaps(first, last) for first, last, _ in heartbeat.holds)

    def reset(self, former_hold_end: Seconds) -> None:
        """Record that a new run of the target has begun, which holds nothing."""
        self._granted = self._previously_granted = ()
        self._unknown_until = former_hold_end
