"""Appends records to the log and repeats each append until it is read back."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhall.core import commands, events
from rhubarbhall.core.records import make_envelope

if TYPE_CHECKING:
    from rhubarbhall.core.commands import Command
    from rhubarbhall.core.context import Context
    from rhubarbhall.core.events import Event
    from rhubarbhall.core.kernel import Handler
    from rhubarbhall.core.records import Envelope, Record
    from rhubarbhall.types import RecordId, Seconds

#: Longest time between two repeats of an append, in seconds.
MAX_RETRY_DELAY_S = 5.0


@dataclass(slots=True)
class _PendingAppend:
    """An append whose verdict is not known yet.

    Parameters
    ----------
    envelope : Envelope
        The record as it is sent.
    record : Record
        The record.
    first_sent_at : float
        Time at which it was first sent, on the local monotonic clock, in seconds.
    retry_at : float
        Time at which it is sent again, on the same clock.
    delay_s : float
        Time between the last two repeats, in seconds; it doubles with each repeat.
    """

    envelope: Envelope
    record: Record
    first_sent_at: Seconds
    retry_at: Seconds
    delay_s: Seconds


class Appender:
    """Repeats each append under the same id until its verdict is known.

    Whether an append was answered does not show its outcome: the answer may be lost
    after the record took effect, and a record that the log accepted may be void. The
    outcome is known only once the record is read back from the log.

    Parameters
    ----------
    context : Context
        Identity, time and directory of the local member.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._pending_by_id: dict[RecordId, _PendingAppend] = {}

    def handlers(self) -> Mapping[type[Event], Handler]:
        """Return the handler for each type of event."""
        return {
            events.Started: self._on_started,
            events.AppendRequested: self._on_submit,
            events.AppendRetryDue: self._on_append_due,
            events.RecordApplied: self._on_record_applied,
            events.DirectoryLoaded: self._on_directory_loaded,
            events.Fenced: self._on_fenced,
        }

    @property
    def pending(self) -> int:
        """Number of appends whose verdict is not known yet."""
        return len(self._pending_by_id)

    def _on_started(self, now: Seconds, event: Event) -> Iterator[Command]:
        interval = self._context.timing.append_retry_s / 2
        self._context.timers.every(interval, events.AppendRetryDue(), first=now)
        yield from ()

    def _on_submit(
        self, now: Seconds, event: events.AppendRequested
    ) -> Iterator[Command]:
        envelope = make_envelope(event.record_id, event.record)
        delay = self._context.timing.append_retry_s
        self._pending_by_id[event.record_id] = _PendingAppend(
            envelope, event.record, now, now + delay, delay
        )
        yield commands.Append(envelope)

    def _on_append_due(self, now: Seconds, event: Event) -> Iterator[Command]:
        for pending in self._pending_by_id.values():
            if now >= pending.retry_at:
                pending.delay_s = min(2 * pending.delay_s, MAX_RETRY_DELAY_S)
                pending.retry_at = now + pending.delay_s
                yield commands.Append(pending.envelope)

    def _on_record_applied(
        self, now: Seconds, event: events.RecordApplied
    ) -> Iterator[Event]:
        applied = event.applied
        pending = self._pending_by_id.pop(applied.record_id, None)
        if pending is not None:
            yield events.AppendDecided(
                applied.record_id, applied.record, applied.void, pending.first_sent_at
            )

    def _on_directory_loaded(self, now: Seconds, event: Event) -> Iterator[Event]:
        """End the appends that the snapshot covers.

        The snapshot does not tell whether their records took effect, so they are
        reported as if they had not.
        """
        seen = self._context.directory.seen_ids
        for record_id in [each for each in self._pending_by_id if each in seen]:
            pending = self._pending_by_id.pop(record_id)
            yield events.AppendDecided(
                record_id,
                pending.record,
                "covered by a snapshot",
                pending.first_sent_at,
            )

    def _on_fenced(self, now: Seconds, event: Event) -> Iterator[Event]:
        self._pending_by_id.clear()
        yield from ()
