"""The keys that the local target holds, and the grants in answers to its heartbeats."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rhubarbhall.core.ownership.key_table import Claim
from rhubarbhall.core.ownership.read_lease import CLOCK_DRIFT
from rhubarbhall.core.ownership.records import TargetState

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.key_table import KeyTable, Range, Span
    from rhubarbhall.types import Address, Offset, Seconds

#: Longest time for which one answer lets a target hold its keys. Long enough for two
#: heartbeats to be missed, short enough for the keys of a lost target to move soon.
MAX_HOLD_S = 3.0
#: Shortest time that is granted; below it, the answer grants nothing.
MIN_HOLD_S = 0.3
#: Margin for the end of a grant, in seconds: the grant is shortened by it, and other
#: targets wait longer by it.
GRANT_MARGIN_S = 0.1


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The state that a target reports of itself.

    Parameters
    ----------
    instance : str
        Name of the target; it may outlast a restart.
    born : int
        Start of the target, in Unix milliseconds.
    sequence : int
        Grows with each heartbeat of a run.
    state : TargetState
        Whether the target accepts work.
    slots : int
        Number of requests that it works on at a time.
    warmup_left_s : float
        Remaining time of its warm-up after the start, in seconds.
    holds : tuple of (int, int, int)
        Ranges that it holds or still works on: first key, last key, fence.
    handed_over : mapping of (int, int) to str
        Ranges that it has released since its last acknowledged heartbeat, with the
        tokens for the next holder.
    """

    instance: str
    born: int
    sequence: int
    state: TargetState
    slots: int
    warmup_left_s: Seconds = 0.0
    holds: tuple[tuple[int, int, int], ...] = ()
    handed_over: Mapping[Range, str] = field(default_factory=dict)

    @property
    def run(self) -> str:
        """Identity of this start of the target."""
        return f"{self.instance}@{self.born}"


@dataclass(frozen=True, slots=True)
class Grant:
    """The ranges that a target may hold from now on; it releases all others.

    Parameters
    ----------
    spans : tuple of Span
        The ranges.
    hold_s : float
        Duration of the grant, counted from when the heartbeat was sent, in seconds.
    """

    spans: tuple[Span, ...]
    hold_s: Seconds


class TargetKeys:
    """Tracks the local target by its heartbeats, and the keys granted to it.

    Parameters
    ----------
    local_address : str
        Address of the local daemon.
    started_at : float
        Start of this daemon on the local clock, in seconds. An earlier process at the
        same address may have granted keys until then.
    """

    def __init__(self, local_address: Address, started_at: Seconds) -> None:
        self._local_address = local_address
        self._heartbeat: Heartbeat | None = None
        self.last_contact_at: Seconds = float("-inf")
        self._granted: tuple[Span, ...] = ()
        #: The grant before the last: its answer may have been read after the last
        #: heartbeat was written.
        self._previously_granted: tuple[Span, ...] = ()
        self._hold_ends_at: Seconds = float("-inf")
        #: When every grant of this daemon, and of an earlier process at its address,
        #: has ended.
        self._grants_end_at = _grant_end(started_at, MAX_HOLD_S)
        #: Whether the target has reported that it is gone; it sends no more heartbeats
        #: then.
        self._has_left = False
        #: Ranges that a record frees for other targets, and the offset that it is
        #: written at. Until the log has grown, the outcome of the write is unknown.
        self._pending_releases: list[Range] = []
        self._pending_release_offset: Offset = -1
        #: Handover tokens of released ranges, until the ranges are granted again.
        self.tokens: dict[Range, str] = {}

    @property
    def run(self) -> str:
        """The present run of the target; empty before the first heartbeat."""
        return self._heartbeat.run if self._heartbeat else ""

    @property
    def instance(self) -> str:
        """Name of the present target; empty before the first heartbeat."""
        return self._heartbeat.instance if self._heartbeat else ""

    @property
    def heartbeat(self) -> Heartbeat | None:
        """The last heartbeat, or `None` before the first."""
        return self._heartbeat

    def record_departure(self) -> None:
        """Record that the target has reported that it is gone."""
        self._has_left = True

    def accepts(self, heartbeat: Heartbeat) -> bool:
        """Return whether a heartbeat is newer than the last one.

        A heartbeat that was delayed on its way is not.
        """
        known = self._heartbeat
        if known is None or heartbeat.born > known.born:
            return True
        return heartbeat.run == known.run and heartbeat.sequence > known.sequence

    def record_heartbeat(self, now: Seconds, heartbeat: Heartbeat) -> bool:
        """Record a heartbeat; return whether it is from a new run."""
        is_new_run = self._heartbeat is not None and heartbeat.run != self.run
        if is_new_run:
            # One target at a time uses the address, so the earlier run has ended.
            self._granted = self._previously_granted = ()
            self._grants_end_at = now
            self._has_left = False
            self.tokens = {}
        self._heartbeat = heartbeat
        self.last_contact_at = now
        self.tokens.update(heartbeat.handed_over)
        return is_new_run

    def state(self, now: Seconds) -> TargetState:
        """Return the known state of the target."""
        if self._heartbeat is None or self.is_unresponsive(now):
            return TargetState.GONE
        if self._has_left:
            return TargetState.LEAVING
        return self._heartbeat.state

    def is_overdue(self, now: Seconds) -> bool:
        """Return whether every earlier grant has ended without any heartbeat."""
        return self._heartbeat is None and now > self._grants_end_at

    def is_unresponsive(self, now: Seconds) -> bool:
        """Return whether the last contact is longer ago than a grant lasts."""
        return now > _grant_end(self.last_contact_at, MAX_HOLD_S)

    def record_pending_release(self, ranges: Iterable[Range], at: Offset) -> None:
        """Record that a write that frees ranges has begun at an offset.

        An earlier write at the same offset may still be carried out in its place, so
        its ranges are kept as well.
        """
        if at != self._pending_release_offset:
            self._pending_releases = []
            self._pending_release_offset = at
        self._pending_releases += ranges

    def _has_pending_release(self, span: Span, end: Offset) -> bool:
        if end > self._pending_release_offset:
            return False
        return any(span.overlaps(first, last) for first, last in self._pending_releases)

    def grant(
        self,
        now: Seconds,
        table: KeyTable | None,
        lease_remaining_s: Seconds,
        end: Offset,
    ) -> Grant:
        """Return the grant for the target, and record it.

        Without a lease nothing is granted or renewed: the grant is empty.

        Parameters
        ----------
        table : KeyTable, optional
            The table of the service, if it is known.
        lease_remaining_s : float
            Remaining time of the lease, in seconds.
        end : int
            Offset before which every record of the directory, and so the table, is
            known.
        """
        hold_s = min(MAX_HOLD_S, lease_remaining_s / (1 + CLOCK_DRIFT) - GRANT_MARGIN_S)
        if table is None or hold_s < MIN_HOLD_S:
            return Grant((), 0.0)
        spans = tuple(
            span
            for span in table.spans
            if span.owner == self._local_address
            and span.is_free
            and span.run == self.run
            and not self._has_pending_release(span, end)
        )
        self._previously_granted, self._granted = self._granted, spans
        for first, last in list(self.tokens):
            if any(span.overlaps(first, last) for span in spans):
                del self.tokens[first, last]
        self._hold_ends_at = now + hold_s
        self._grants_end_at = max(self._grants_end_at, _grant_end(now, hold_s))
        return Grant(spans, hold_s)

    def may_work_on(self, now: Seconds, key: int) -> bool:
        """Return whether the target holds a key, as far as this daemon knows."""
        if now >= self._hold_ends_at:
            # The last heartbeat is not enough: the target may have stopped holding the
            # key since, and each request that it refuses counts as a retry.
            return False
        return any(span.first <= key <= span.last for span in self._granted)

    def relinquished(self, now: Seconds, table: KeyTable) -> Iterator[Range]:
        """Yield the ranges that the target had to release and no longer holds."""
        for span in table.unreleased_by(self._local_address):
            if self._has_relinquished(now, span):
                yield span.first, span.last

    def _has_relinquished(self, now: Seconds, span: Span) -> bool:
        if now > self._grants_end_at:
            return True
        if self._heartbeat is None or self._has_left:
            return False
        granted = (*self._granted, *self._previously_granted)
        if any(span.overlaps(each.first, each.last) for each in granted):
            return False
        holds = self._heartbeat.holds
        return not any(span.overlaps(first, last) for first, last, _ in holds)

    def claim(self) -> Claim:
        """Return the claim of the present run of the target."""
        return Claim(self._local_address, self.run)


def _grant_end(sent_at: Seconds, hold_s: Seconds) -> Seconds:
    """Return when a grant has certainly ended, whatever the drift of the clocks."""
    return sent_at + hold_s * (1 + CLOCK_DRIFT) + GRANT_MARGIN_S
