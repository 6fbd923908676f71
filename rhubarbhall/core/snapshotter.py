"""Writes snapshots of the directory into the log, one writer by rank."""

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

#: Time between looks at the need of a snapshot.
LOOK_S = 5.0
#: Members that may write: the first by rank, and those that stand in for it.
WRITERS = 3
#: Time after which the next by rank stands in.
STAND_IN_S = 12.0


class Snapshotter:
    """Appends a snapshot whenever enough records lie behind the last one.

    Parameters
    ----------
    context : Context
        The directory to write.
    every : int
        Records between snapshots. The log must keep several times as many.
    """

    def __init__(self, context: Context, every: int) -> None:
        self._context = context
        self._every = every
        self._covered: Offset = 0
        self._parts_seen: dict[Offset, set[int]] = {}
        self._pending: set[RecordId] = set()
        self._due_since: Seconds | None = None

    def handlers(self) -> Mapping[type[Event], Handler]:
        """Return the handler for each type of event."""
        return {
            events.Started: self._on_started,
            events.SnapshotDue: self._on_due,
            events.RecordApplied: self._on_record_applied,
            events.Settled: self._on_settled,
            events.Fenced: self._on_fenced,
        }

    def _on_started(self, now: Seconds, event: Event) -> Iterator[Command]:
        self._context.timers.every(LOOK_S, events.SnapshotDue(), first=now)
        yield from ()

    def _on_record_applied(
        self, now: Seconds, event: events.RecordApplied
    ) -> Iterator[Event]:
        chunk = event.applied.record
        if isinstance(chunk, SnapshotChunk):
            parts = self._parts_seen.setdefault(chunk.covers, set())
            parts.add(chunk.part)
            if len(parts) == chunk.parts:
                self._covered = max(self._covered, chunk.covers)
                self._parts_seen = {
                    covers: seen
                    for covers, seen in self._parts_seen.items()
                    if covers > self._covered
                }
        yield from ()

    def _on_settled(self, now: Seconds, event: events.Settled) -> Iterator[Event]:
        self._pending.discard(event.record_id)
        yield from ()

    def _on_fenced(self, now: Seconds, event: Event) -> Iterator[Event]:
        self._pending.clear()
        yield from ()

    def _on_due(self, now: Seconds, event: Event) -> Iterator[Event]:
        rank = self._rank()
        if rank is None or self._pending or not self._context.log_reachable(now):
            return
        behind = self._context.directory.next_offset - self._covered
        if behind < self._every:
            self._due_since = None
            return
        if self._due_since is None:
            self._due_since = now
        if now - self._due_since < rank * STAND_IN_S:
            return
        for chunk in split_snapshot(self._context.directory):
            record_id = self._context.new_record_id()
            self._pending.add(record_id)
            yield events.Submit(record_id, chunk)

    def _rank(self) -> int | None:
        ranked = self._context.directory.everyone.ranked("snapshot")
        for rank, member in enumerate(islice(ranked, WRITERS)):
            if member == self._context.me:
                return rank
        return None
