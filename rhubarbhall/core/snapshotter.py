"""Writes snapshots of the directory to the log.

Members are ranked by a hash. The first one writes; the next ones stand in for it, in
order of rank, if no snapshot appears.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from itertools import islice
from typing import TYPE_CHECKING

from rhubarbhall.core import events
from rhubarbhall.core.records import SnapshotChunk
from rhubarbhall.core.snapshots import split_snapshot

if TYPE_CHECKING:
    from rhubarbhall.core.commands import Command
    from rhubarbhall.core.context import Context
    from rhubarbhall.core.events import Event
    from rhubarbhall.core.kernel import Handler
    from rhubarbhall.types import Offset, RecordId, Seconds

#: Interval of the checks whether a snapshot is due, in seconds.
CHECK_INTERVAL_S = 5.0
#: Number of members that may write: the first by rank and those that stand in for it.
MAX_WRITERS = 3
#: Time that each member waits for the one before it in rank to write, in seconds.
STAND_IN_DELAY_S = 12.0


class Snapshotter:
    """Appends a snapshot whenever enough records follow those of the latest one.

    Parameters
    ----------
    context : Context
        Identity, time and directory of the local member.
    records_between : int
        Number of records between snapshots. The log must keep several times as many.
    """

    def __init__(self, context: Context, records_between: int) -> None:
        self._context = context
        self._records_between = records_between
        #: First offset that the latest complete snapshot in the log does not cover.
        self._covered_until: Offset = 0
        #: Chunks seen of snapshots that are not complete yet, by the offset they cover.
        self._parts_by_covers: dict[Offset, set[int]] = {}
        #: Appended chunks whose verdict is not known yet.
        self._pending_appends: set[RecordId] = set()
        #: Time since which a snapshot has been due; none if none is due.
        self._due_since: Seconds | None = None

    def handlers(self) -> Mapping[type[Event], Handler]:
        """Return the handler for each type of event."""
        return {
            events.Started: self._on_started,
            events.SnapshotCheckDue: self._on_due,
            events.RecordApplied: self._on_record_applied,
            events.AppendDecided: self._on_settled,
            events.Fenced: self._on_fenced,
        }

    def _on_started(self, now: Seconds, event: Event) -> Iterator[Command]:
        self._context.timers.every(
            CHECK_INTERVAL_S, events.SnapshotCheckDue(), first=now
        )
        yield from ()

    def _on_record_applied(
        self, now: Seconds, event: events.RecordApplied
    ) -> Iterator[Event]:
        chunk = event.applied.record
        if isinstance(chunk, SnapshotChunk):
            parts = self._parts_by_covers.setdefault(chunk.covers, set())
            parts.add(chunk.part)
            if len(parts) == chunk.parts:
                self._covered_until = max(self._covered_until, chunk.covers)
                self._parts_by_covers = {
                    covers: seen
                    for covers, seen in self._parts_by_covers.items()
                    if covers > self._covered_until
                }
        yield from ()

    def _on_settled(self, now: Seconds, event: events.AppendDecided) -> Iterator[Event]:
        self._pending_appends.discard(event.record_id)
        yield from ()

    def _on_fenced(self, now: Seconds, event: Event) -> Iterator[Event]:
        self._pending_appends.clear()
        yield from ()

    def _on_due(self, now: Seconds, event: Event) -> Iterator[Event]:
        rank = self._rank()
        if (
            rank is None
            or self._pending_appends
            or not self._context.log_reachable(now)
        ):
            return
        uncovered = self._context.directory.next_offset - self._covered_until
        if uncovered < self._records_between:
            self._due_since = None
            return
        if self._due_since is None:
            self._due_since = now
        if now - self._due_since < rank * STAND_IN_DELAY_S:
            return
        for chunk in split_snapshot(self._context.directory):
            record_id = self._context.new_record_id()
            self._pending_appends.add(record_id)
            yield events.AppendRequested(record_id, chunk)

    def _rank(self) -> int | None:
        ranked = self._context.directory.member_ring.ranked("snapshot")
        for rank, member in enumerate(islice(ranked, MAX_WRITERS)):
            if member == self._context.member_id:
                return rank
        return None
