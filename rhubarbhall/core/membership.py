"""Joining the mesh, and joining it again as a new run after this run was ended."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import TYPE_CHECKING

import msgspec

from rhubarbhall.core import commands, events
from rhubarbhall.core.commands import LogEvent

if TYPE_CHECKING:
    from rhubarbhall.core.commands import Command
    from rhubarbhall.core.context import Context
    from rhubarbhall.core.events import Event
    from rhubarbhall.core.kernel import Handler
    from rhubarbhall.types import MemberId, RecordId, Seconds

#: Interval between checks whether this run can join, in seconds.
CHECK_INTERVAL_S = 0.2
#: Delay before fencing the target is retried, in seconds.
FENCE_RETRY_DELAY_S = 1.0
#: Longest time, in seconds, for which an order may run at a target that does not check
#: grants, as long as no intent is known.
DEFAULT_ORDER_CAP_S = 2.0


class Membership:
    """Joins once the target is fenced and the log has been read to its end.

    Parameters
    ----------
    context : Context
        State that the parts of this daemon share. Its `join` is replaced by that of a
        new run after the present run was ended or its join had no effect.
    new_member_id : callable
        Returns an id that no run has had before.
    """

    def __init__(self, context: Context, new_member_id: Callable[[], MemberId]) -> None:
        self._context = context
        self._new_member_id = new_member_id
        self._target_is_fenced = False
        self._fence_requested_at: Seconds | None = None
        self._log_read_to_end = False
        self._pending: RecordId | None = None
        self._join_not_before: Seconds = float("-inf")
        self._started_at: Seconds = 0.0
        #: Set once the process has to stop; it does not join after that.
        self.stopping = False

    def handlers(self) -> Mapping[type[Event], Handler]:
        """Return the handler for each type of event."""
        return {
            events.Started: self._on_started,
            events.JoinCheckDue: self._on_join_due,
            events.TargetFenced: self._on_target_fenced,
            events.FenceFailed: self._on_fence_failed,
            events.RecordsRead: self._on_records_read,
            events.AppendDecided: self._on_settled,
            events.Fenced: self._on_fenced,
        }

    def _on_started(self, now: Seconds, event: Event) -> Iterator[Command]:
        self._started_at = now
        self._context.timers.every(CHECK_INTERVAL_S, events.JoinCheckDue(), first=now)
        yield from ()

    def _on_join_due(self, now: Seconds, event: Event) -> Iterator[Command | Event]:
        if self._context.member is not None or self._pending or self.stopping:
            return
        if not self._target_is_fenced:
            yield from self._fence_target(now)
        elif self._log_read_to_end and not self._context.outdated:
            yield from self._join(now)

    def _fence_target(self, now: Seconds) -> Iterator[Command]:
        sent_at = self._fence_requested_at
        if sent_at is None or now - sent_at >= FENCE_RETRY_DELAY_S:
            self._fence_requested_at = now
            yield commands.FenceTarget()

    def _on_target_fenced(self, now: Seconds, event: Event) -> Iterator[Command]:
        self._target_is_fenced = True
        yield from ()

    def _on_fence_failed(self, now: Seconds, event: Event) -> Iterator[Command]:
        yield LogEvent(202)

    def _on_records_read(
        self, now: Seconds, event: events.RecordsRead
    ) -> Iterator[Command]:
        self._log_read_to_end = event.reached_end and (
            event.first_offset <= self._context.directory.next_offset
        )
        yield from ()

    def _join(self, now: Seconds) -> Iterator[Event]:
        former = self._context.directory.live_run_on_same_boot(self._context.join)
        if former is not None and now < self._started_at + self._former_order_wait_s():
            return
        self._pending = self._context.new_record_id()
        yield events.AppendRequested(self._pending, self._context.join)

    def _former_order_wait_s(self) -> Seconds:
        """Return how long orders of the former run may still have effects.

        A target that checks grants refuses them once it is fenced. Any other target may
        go on with them for the longest order time of all services, which is extended by
        the clock drift.

        Returns
        -------
        float
            Time in seconds since the start of this daemon.
        """
        if self._context.join.checks_grants:
            return 0.0
        services = self._context.directory.intent.services.values()
        caps = [service.order_cap_s for service in services]
        return max([DEFAULT_ORDER_CAP_S, *caps]) * (
            1 + self._context.timing.drift_bound
        )

    def _on_settled(
        self, now: Seconds, event: events.AppendDecided
    ) -> Iterator[Command | Event]:
        if event.record_id != self._pending:
            return
        self._pending = None
        if event.void is None:
            yield LogEvent(201, {"member": self._context.member_id})
            yield events.Joined()
        else:
            yield LogEvent(203, {"reason": event.void})
            self._start_new_run(now)

    def _on_fenced(self, now: Seconds, event: events.Fenced) -> Iterator[Command]:
        if not self.stopping:
            yield LogEvent(
                204, {"member": self._context.member_id, "reason": event.reason}
            )
        self._start_new_run(now)

    def _start_new_run(self, now: Seconds) -> None:
        self._pending = None
        self._target_is_fenced = False
        self._fence_requested_at = None
        self._context.join = msgspec.structs.replace(
            self._context.join, member=self._new_member_id(), started_at=now
        )
