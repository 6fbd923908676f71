"""Reports events of the core to the structured log, as numbered log events."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING

from rhubarbhall.core import events
from rhubarbhall.core.commands import LogEvent
from rhubarbhall.core.records import IntentRecord

if TYPE_CHECKING:
    from rhubarbhall.core.context import Context
    from rhubarbhall.core.events import Event
    from rhubarbhall.core.kernel import Handler
    from rhubarbhall.types import Seconds


class Reporter:
    """Turns events of the core into log events.

    Parameters
    ----------
    context : Context
        State that all parts of the daemon share.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._log_reachable = True
        self._is_outdated_reported = False

    def handlers(self) -> Mapping[type[Event], Handler]:
        """Return the handler for each type of event."""
        return {
            events.Started: self._on_started,
            events.RecordApplied: self._on_record_applied,
            events.DirectoryLoaded: self._on_directory_loaded,
            events.LeaseChanged: self._on_lease_changed,
            events.SliceAcquired: self._on_slice_acquired,
            events.SliceDrainTimedOut: self._on_abort_slice,
            events.AppendDecided: self._on_settled,
            events.JoinCheckDue: self._on_join_check_due,
        }

    def _on_started(self, now: Seconds, event: Event) -> Iterator[LogEvent]:
        join = self._context.join
        yield LogEvent(
            101, {"member": join.member, "calls": join.calls, "peers": join.peers}
        )

    def _on_record_applied(
        self, now: Seconds, event: events.RecordApplied
    ) -> Iterator[LogEvent]:
        applied = event.applied
        if applied.closed:
            yield LogEvent(
                207,
                {
                    "members": list(applied.closed),
                    "offset": applied.offset,
                    "slices_moved": len(applied.moved),
                },
            )
        if isinstance(applied.record, IntentRecord) and applied.void is None:
            yield LogEvent(401, {"version": applied.record.replaces + 1})
        if self._context.outdated and not self._is_outdated_reported:
            self._is_outdated_reported = True
            yield LogEvent(105, {"schema": self._context.directory.newest_schema})

    def _on_directory_loaded(self, now: Seconds, event: Event) -> Iterator[LogEvent]:
        yield LogEvent(106, {"offset": self._context.directory.next_offset})

    def _on_lease_changed(
        self, now: Seconds, event: events.LeaseChanged
    ) -> Iterator[LogEvent]:
        yield LogEvent(205 if event.held else 206, {"member": self._context.member_id})

    def _on_slice_acquired(
        self, now: Seconds, event: events.SliceAcquired
    ) -> Iterator[LogEvent]:
        yield LogEvent(208, {"slice": str(event.slice)})

    def _on_abort_slice(
        self, now: Seconds, event: events.SliceDrainTimedOut
    ) -> Iterator[LogEvent]:
        yield LogEvent(209, {"slice": str(event.slice)})

    def _on_settled(
        self, now: Seconds, event: events.AppendDecided
    ) -> Iterator[LogEvent]:
        if event.void is not None:
            kind = type(event.record).__name__
            yield LogEvent(402, {"kind": kind, "reason": event.void})

    def _on_join_check_due(self, now: Seconds, event: Event) -> Iterator[LogEvent]:
        reachable = self._context.log_reachable(now)
        if reachable == self._log_reachable:
            return
        self._log_reachable = reachable
        if reachable:
            yield LogEvent(103)
        else:
            yield LogEvent(
                102, {"since_s": round(now - self._context.log_contact_at, 3)}
            )
