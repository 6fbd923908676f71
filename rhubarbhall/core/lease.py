"""The member's own lease: who may serve, judged on its own clock."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING

from rhubarbhall.core import commands, events
from rhubarbhall.core.peer_messages import Heartbeat, HeartbeatAnswer
from rhubarbhall.core.records import Resume

if TYPE_CHECKING:
    from rhubarbhall.core.commands import Command
    from rhubarbhall.core.context import Context
    from rhubarbhall.core.events import Event
    from rhubarbhall.core.kernel import Handler
    from rhubarbhall.core.members import Member
    from rhubarbhall.types import MemberId, RecordId, Seconds

#: Members that may resume themselves in a second, so that the log keeps up.
RESUMES_PER_S = 200
#: Time without a lease after which a member whose witnesses answer, but may
#: not renew, resumes itself.
STUCK_S = 2.0
_NEVER = float("-inf")


class LeaseKeeper:
    """Renews the lease and knows until when it is held.

    Every span is counted from the moment that the member *sent* what was
    answered, so an answer that arrives late never prolongs the lease.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._renewed_at_by_witness: dict[MemberId, Seconds] = {}
        self._answered_at_by_witness: dict[MemberId, Seconds] = {}
        self._majority_at: Seconds = _NEVER
        self._log_read_at: Seconds = _NEVER
        self._resumed_at: Seconds = _NEVER
        self._resume_pending: RecordId | None = None
        self._resume_not_before: Seconds = _NEVER
        self._lapsed_since: Seconds | None = None
        self._held = False

    def handlers(self) -> Mapping[type[Event], Handler]:
        """Return the handler for each type of event."""
        return {
            events.Started: self._on_started,
            events.HeartbeatDue: self._on_heartbeat_due,
            events.PeerMessageReceived: self._on_peer_message,
            events.RecordsRead: self._on_records_read,
            events.RecordApplied: self._on_record_applied,
            events.DirectoryLoaded: self._on_directory_loaded,
            events.Settled: self._on_settled,
        }

    # Reading

    def held_since_send(self) -> Seconds:
        """Return the send time of the newest proof that the lease rests on."""
        if self._context.member is None:
            return _NEVER
        return max(self._log_read_at, self._resumed_at, self._majority_at)

    def _note_majority(self, member: Member) -> None:
        """Take the present renewals as a proof if they make a majority.

        A proof outlasts a change of the set: a witness counts silence from
        reading the new set, which was submitted after the proof was sent, so
        it promises nothing before the proof has lapsed.
        """
        if member.witnesses:
            proof = self._majority_renewed_at(member.witnesses, member.majority)
            self._majority_at = max(self._majority_at, proof)

    def _majority_renewed_at(self, witnesses: tuple[str, ...], majority: int) -> float:
        times = [self._renewed_at_by_witness.get(each, _NEVER) for each in witnesses]
        return sorted(times, reverse=True)[majority - 1]

    def lapsed_s(self, now: Seconds) -> Seconds:
        """Return for how long the member has been without a lease."""
        return 0.0 if self._lapsed_since is None else now - self._lapsed_since

    def answers(self, now: Seconds, witness: MemberId) -> bool:
        """Tell whether a witness has answered a while ago, whatever it said."""
        answered_at = self._answered_at_by_witness.get(witness, _NEVER)
        return now - answered_at <= self._context.timing.lease_s

    def held_until(self) -> Seconds:
        """Return the time at which the lease ends, own clock."""
        return self.held_since_send() + self._context.timing.lease_s

    def is_held(self, now: Seconds) -> bool:
        """Tell whether the member may serve at `now`."""
        return now < self.held_until()

    def has_tenure(self, now: Seconds) -> bool:
        """Tell whether the member may renew others."""
        return now - self.held_since_send() <= self._context.timing.tenure_s

    # Renewing

    def _on_started(self, now: Seconds, event: Event) -> Iterator[Command]:
        interval = self._context.timing.heartbeat_s
        first = now + self._context.rng.random() * interval
        self._context.timers.every(interval, events.HeartbeatDue(), first=first)
        yield from ()

    def _on_heartbeat_due(
        self, now: Seconds, event: Event
    ) -> Iterator[Command | Event]:
        member = self._context.member
        if member is None:
            return
        for witness in member.witnesses:
            address = self._context.peer_address(witness)
            if address is not None:
                heartbeat = Heartbeat(now, witness, self._context.load_percent)
                yield commands.SendPeer(address, heartbeat)
        yield from self._note_change(now)
        yield from self._resume_if_stuck(now)

    def _on_peer_message(
        self, now: Seconds, event: events.PeerMessageReceived
    ) -> Iterator[Event]:
        answer = event.message
        if not isinstance(answer, HeartbeatAnswer):
            return
        if answer.member != self._context.me or answer.sent_at > now:
            return
        self._answered_at_by_witness[event.sender] = now
        if not answer.renewed:
            return
        known = self._renewed_at_by_witness.get(event.sender, _NEVER)
        self._renewed_at_by_witness[event.sender] = max(known, answer.sent_at)
        if self._context.member is not None:
            self._note_majority(self._context.member)
        yield from self._note_change(now)

    def _on_records_read(
        self, now: Seconds, event: events.RecordsRead
    ) -> Iterator[Event]:
        # Runs after the follower has applied these records.
        member = self._context.member
        if not event.from_log or not event.reached_end or member is None:
            return
        if not member.witnesses:
            self._log_read_at = max(self._log_read_at, event.sent_at)
            yield from self._note_change(now)

    def _note_change(self, now: Seconds) -> Iterator[Event]:
        held = self.is_held(now)
        if held != self._held:
            self._held = held
            yield events.LeaseChanged(held)
        if held:
            self._lapsed_since = None
        elif self._lapsed_since is None:
            self._lapsed_since = now

    # Ending

    def _on_record_applied(
        self, now: Seconds, event: events.RecordApplied
    ) -> Iterator[Event]:
        if self._context.me in event.applied.closed:
            yield from self._fence(now)
            return
        member = self._context.member
        if member is not None:
            # Renewals of witnesses that are gone would pile up otherwise.
            for gone in self._answered_at_by_witness.keys() - set(member.witnesses):
                del self._answered_at_by_witness[gone]
                self._renewed_at_by_witness.pop(gone, None)

    def _on_directory_loaded(self, now: Seconds, event: Event) -> Iterator[Event]:
        if self._context.me in self._context.directory.closed_by_id:
            yield from self._fence(now)

    def _fence(self, now: Seconds) -> Iterator[Event]:
        closed = self._context.directory.closed_by_id[self._context.me]
        self._renewed_at_by_witness.clear()
        self._answered_at_by_witness.clear()
        self._majority_at = _NEVER
        self._log_read_at = _NEVER
        self._resumed_at = _NEVER
        self._resume_pending = None
        yield from self._note_change(now)
        yield events.Fenced(closed.reason)

    # Resuming after a silence of the whole mesh

    def _resume_if_stuck(self, now: Seconds) -> Iterator[Event]:
        if not self._is_stuck(now):
            self._resume_not_before = _NEVER
            return
        if self._resume_pending or not self._context.log_reachable(now):
            return
        if self._resume_not_before == _NEVER:
            crowd = len(self._context.directory.member_by_id)
            spread = crowd / RESUMES_PER_S
            self._resume_not_before = now + self._context.rng.random() * spread
        elif now >= self._resume_not_before:
            self._resume_not_before = _NEVER
            self._resume_pending = self._context.new_record_id()
            yield events.Submit(self._resume_pending, Resume(self._context.me))

    def _is_stuck(self, now: Seconds) -> bool:
        """Tell whether witnesses answer and yet the lease stays lapsed."""
        member = self._context.member
        if member is None or not member.witnesses or self.lapsed_s(now) < STUCK_S:
            return False
        answering = sum(self.answers(now, each) for each in member.witnesses)
        return answering >= member.majority

    def _on_settled(self, now: Seconds, event: events.Settled) -> Iterator[Event]:
        if event.record_id != self._resume_pending:
            return
        self._resume_pending = None
        if event.void is None:
            self._resumed_at = max(self._resumed_at, event.first_sent_at)
        yield from self._note_change(now)
