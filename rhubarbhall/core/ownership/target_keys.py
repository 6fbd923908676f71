"""The local target as its heartbeats describe it, and the keys granted to it."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from rhubarbhall.core.ownership.heartbeat_order import HeartbeatOrder
from rhubarbhall.core.ownership.key_holdings import (
    GRANT_MARGIN_S,
    MAX_HOLD_S,
    MIN_HOLD_S,
    HeartbeatHoldings,
    grant_end,
)
from rhubarbhall.core.ownership.key_table import Claim
from rhubarbhall.core.ownership.read_lease import CLOCK_DRIFT
from rhubarbhall.core.ownership.records import Member, TargetState
from rhubarbhall.core.ownership.requested_holdings import (
    GrantRequest,
    KeyRequest,
    ReleaseRequest,
    RequestedHoldings,
    RequestResult,
)

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.heartbeat import Heartbeat
    from rhubarbhall.core.ownership.key_holdings import KeyHoldings
    from rhubarbhall.core.ownership.key_table import KeyTable, Range, Span
    from rhubarbhall.types import Address, Offset, Seconds


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


@dataclass(frozen=True, slots=True)
class Unacknowledged:
    """Stands in for a grant: the heartbeat was not recorded and binds nobody."""


#: Answer to a heartbeat; it does not mention keys if there is no grant.
HeartbeatAnswer: TypeAlias = "Grant | Unacknowledged | None"


class TargetKeys:
    """Tracks the local target by its heartbeats, and the keys granted to it.

    Parameters
    ----------
    local_address : str
        Address of the local daemon.
    started_at : float
        Start of this daemon on the local clock, in seconds. An earlier process at the
        same address may have granted keys until then.
    by_request : bool
        Whether the target takes grants by requests, and not from the answers to its
        heartbeats.
    """

    def __init__(
        self, local_address: Address, started_at: Seconds, by_request: bool = False
    ) -> None:
        self._local_address = local_address
        self._heartbeat: Heartbeat | None = None
        self._order = HeartbeatOrder()
        self.last_contact_at: Seconds = float("-inf")
        #: When every grant of this daemon, and of an earlier process at its address,
        #: has ended.
        self._grants_end_at = grant_end(started_at, MAX_HOLD_S)
        self._heartbeat_holdings = HeartbeatHoldings(self._grants_end_at)
        self._requested_holdings = RequestedHoldings(self._grants_end_at)
        self.by_request = by_request
        #: Whether the target has reported that it is gone; it sends no more heartbeats
        #: then.
        self._has_left = False
        #: Whether the target has announced that it leaves: in an answer, or to an
        #: earlier process.
        self._announced_leaving = False
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
    def _holdings(self) -> KeyHoldings:
        return self._requested_holdings if self.by_request else self._heartbeat_holdings

    @property
    def heartbeat(self) -> Heartbeat | None:
        """The last heartbeat, or `None` before the first."""
        return self._heartbeat

    @property
    def known_run(self) -> str:
        """The last known run, also before its first heartbeat; empty if none is."""
        return self._order.run

    def is_known(self, instance: str) -> bool:
        """Return whether a target is the present one, or that of the last record."""
        return bool(instance) and instance == self._order.instance

    def restore(self, member: Member | None) -> None:
        """Take over what an earlier process has recorded of the target.

        A heartbeat that has arrived before and is of an earlier run was late.
        """
        if member is None or not member.run:
            return
        if member.run == self._order.run:
            self._announced_leaving = self._announced_leaving or member.has_left_run
            return
        recorded = HeartbeatOrder()
        recorded.restore(member.run)
        if self._heartbeat is not None and recorded.accepts(
            self.last_contact_at, self._heartbeat, member.has_left_run, math.inf
        ):
            return
        self._order = recorded
        self._heartbeat = None
        self.last_contact_at = float("-inf")
        self._announced_leaving = member.has_left_run

    def restore_departure(self, run: str) -> None:
        """Take over which run of the target has left; empty if none has.

        The record that `restore` takes may be an earlier one that was written late.
        """
        if not run:
            return
        if run == self._order.run:
            self._announced_leaving = True
        else:
            self._order.record_departed(run)

    def record_departure(self) -> None:
        """Record that the target has reported that it is gone."""
        self._has_left = True

    def record_leaving(self) -> bool:
        """Record that the target leaves, as it says; return whether this is news."""
        is_news = not self._announced_leaving
        self._announced_leaving = True
        return is_news

    def accepts(self, now: Seconds, heartbeat: Heartbeat) -> bool:
        """Return whether a heartbeat is newer than the last one.

        A heartbeat that was delayed on its way is not.
        """
        return self._order.accepts(now, heartbeat, self.leaves, self._held_until)

    @property
    def _held_until(self) -> Seconds:
        """When the target holds no keys any more if no more heartbeats come."""
        last_grant_end = grant_end(self.last_contact_at, MAX_HOLD_S)
        return max(self._grants_end_at, last_grant_end)

    def is_new_run(self, heartbeat: Heartbeat) -> bool:
        """Return whether a heartbeat shows that the run known so far has ended."""
        return self._heartbeat is not None and heartbeat.run != self.run

    def record_heartbeat(self, now: Seconds, heartbeat: Heartbeat) -> bool:
        """Record a heartbeat; return whether it is from a new run."""
        is_new_run = self.is_new_run(heartbeat)
        if is_new_run:
            former_hold_end = self._former_hold_end(now, heartbeat)
            self._holdings.reset(former_hold_end)
            self._grants_end_at = max(now, former_hold_end)
            self.tokens = {}
        if heartbeat.run != self._order.run:
            if self.leaves:
                self._order.record_departed(self._order.run)
            self._has_left = False
            self._announced_leaving = False
        self._order.record(heartbeat)
        self._heartbeat = heartbeat
        self.last_contact_at = now
        self.tokens.update(heartbeat.handed_over)
        self._requested_holdings.record_heartbeat()
        return is_new_run

    def _former_hold_end(self, now: Seconds, heartbeat: Heartbeat) -> Seconds:
        """Return until when the run before a new one may hold keys.

        One target at a time uses the address, so the first heartbeat of a run shows
        that the run before has ended. A later one may have been late, and of a run that
        ended before the known one.
        """
        has_ended = heartbeat.is_first or now > self._held_until
        return -math.inf if has_ended else self._grants_end_at

    def state(self, now: Seconds) -> TargetState:
        """Return the known state of the target."""
        if self._heartbeat is None or self.is_unresponsive(now):
            return TargetState.GONE
        if self._has_left or self._announced_leaving:
            return TargetState.LEAVING
        return self._heartbeat.state

    @property
    def leaves(self) -> bool:
        """Whether the last known run of the target has said that it leaves."""
        if self._has_left or self._announced_leaving:
            return True
        heartbeat = self._heartbeat
        return heartbeat is not None and heartbeat.state is TargetState.LEAVING

    def member(
        self, now: Seconds, service: str, domain: str, region: str
    ) -> Member | None:
        """Return the record to publish; `None` while nothing is known of the target.

        Parameters
        ----------
        service, domain, region : str
            Service of the target, failure domain and region of the VM.
        """
        heartbeat = self._heartbeat
        if heartbeat is None and not (self.is_overdue(now) or self._has_left):
            return None
        return Member(
            service,
            domain,
            region,
            self.known_run,
            heartbeat.slots if heartbeat else 1,
            self.state(now),
            self.leaves,
        )

    def is_departure_in(self, member: Member | None) -> bool:
        """Return whether a record says that the last known run leaves."""
        return (
            member is not None and member.run == self.known_run and member.has_left_run
        )

    def is_overdue(self, now: Seconds) -> bool:
        """Return whether every earlier grant has ended without any heartbeat."""
        return self._heartbeat is None and now > self._grants_end_at

    def is_unresponsive(self, now: Seconds) -> bool:
        """Return whether the last contact is longer ago than a grant lasts."""
        return now > grant_end(self.last_contact_at, MAX_HOLD_S)

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

    def _hold_s(self, lease_remaining_s: Seconds) -> Seconds:
        """Return the time for which keys may be granted, in seconds."""
        return min(MAX_HOLD_S, lease_remaining_s / (1 + CLOCK_DRIFT) - GRANT_MARGIN_S)

    def _grantable(self, table: KeyTable, end: Offset) -> tuple[Span, ...]:
        """Return the spans that the target is to hold."""
        return tuple(
            span
            for span in table.spans
            if span.owner == self._local_address
            and span.is_free
            and span.run == self.run
            and not self._has_pending_release(span, end)
        )

    def _record_grant(self, now: Seconds, span: Span, hold_s: Seconds) -> None:
        for first, last in list(self.tokens):
            if span.overlaps(first, last):
                del self.tokens[first, last]
        self._grants_end_at = max(self._grants_end_at, grant_end(now, hold_s))

    def grant(
        self,
        now: Seconds,
        table: KeyTable | None,
        lease_remaining_s: Seconds,
        end: Offset,
        heartbeat_age_s: Seconds = 0.0,
    ) -> Grant:
        """Return the grant for the answer to a heartbeat, and record it.

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
        heartbeat_age_s : float
            Time since the heartbeat arrived, in seconds: the target counts the grant
            from when it sent the heartbeat.
        """
        hold_s = self._hold_s(lease_remaining_s)
        if table is None or hold_s < MIN_HOLD_S:
            return Grant((), 0.0)
        spans = self._grantable(table, end)
        self._heartbeat_holdings.record_grant(now - heartbeat_age_s, spans, hold_s)
        for span in spans:
            self._record_grant(now, span, hold_s)
        return Grant(spans, hold_s)

    def due_requests(
        self,
        now: Seconds,
        table: KeyTable | None,
        lease_remaining_s: Seconds,
        end: Offset,
    ) -> Iterator[KeyRequest]:
        """Yield the grants and releases to request now, and record them.

        Nothing is granted without a lease, and nothing to a target that has never sent
        a heartbeat. Parameters as of `grant`.
        """
        if table is None or self._heartbeat is None:
            return
        requests = self._requested_holdings.due(
            now,
            self._grantable(table, end),
            self._hold_s(lease_remaining_s),
            now - self.last_contact_at,
        )
        for request in requests:
            if isinstance(request, GrantRequest):
                self._record_grant(now, request.span, request.hold_s)
            yield request

    def record_result(
        self, now: Seconds, request: KeyRequest, result: RequestResult, token: str = ""
    ) -> None:
        """Record the result of a request that `due_requests` has yielded.

        Parameters
        ----------
        token : str
            Handover token in the answer to a release; empty if there is none.
        """
        self._requested_holdings.record_result(now, request, result)
        if isinstance(request, ReleaseRequest) and token:
            self.tokens[request.range] = token

    def record_connection_lost(self) -> None:
        """Record that a connection for grants has ended."""
        self._requested_holdings.record_connection_lost()

    def record_rejection(self, now: Seconds, key: int) -> None:
        """Record that the target has answered that it does not hold a key."""
        self._holdings.record_rejection(now, key)

    @property
    def refused_fences(self) -> frozenset[int]:
        """Fences that the target has refused, as it had seen higher ones."""
        return frozenset(self._requested_holdings.refused_fences)

    def may_work_on(self, now: Seconds, key: int) -> bool:
        """Return whether the target holds a key, as far as this daemon knows."""
        return self._holdings.may_work_on(now, key)

    def awaits_release(self, table: KeyTable | None) -> bool:
        """Return whether another target is about to release keys to this one."""
        return table is not None and any(
            span.previous and not span.previous_lost and span.run == self.run
            for span in table.owned_by(self._local_address)
        )

    def relinquished(self, now: Seconds, table: KeyTable) -> Iterator[Range]:
        """Yield the ranges that the target had to release and no longer holds.

        A range that was handed over in parts is yielded in these parts, each with its
        own token.
        """
        for span in table.unreleased_by(self._local_address):
            if self._has_relinquished(now, span):
                yield from self._handed_over_parts(span)

    def _handed_over_parts(self, span: Span) -> Iterator[Range]:
        first = span.first
        for token_first, token_last in sorted(self.tokens):
            if token_last < first or span.last < token_first:
                continue
            if first < token_first:
                yield first, token_first - 1
                first = token_first
            last = min(token_last, span.last)
            yield first, last
            first = last + 1
        if first <= span.last:
            yield first, span.last

    def _has_relinquished(self, now: Seconds, span: Span) -> bool:
        if now > self._grants_end_at:
            return True
        heartbeat = None if self._has_left else self._heartbeat
        return not self._holdings.may_hold(now, span, heartbeat)

    def claim(self) -> Claim:
        """Return the claim of the present run of the target."""
        return Claim(self._local_address, self.run)
