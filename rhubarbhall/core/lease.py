"""The lease of the local member, which decides whether it may serve requests.

A majority of the member's witnesses (other members) renews the lease by answering
heartbeats. The member measures the lease on its own monotonic clock. As long as the
lease is valid, or a little longer (the tenure), the member as a witness may renew the
leases of other members.
"""

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

#: Mean rate at which the members of the whole mesh append `Resume` records, per
#: second; it bounds the load on the log when many members resume at once.
RESUMES_PER_S = 200
#: Time without a lease, in seconds, after which a member appends a `Resume` record if
#: its witnesses answer but may not renew its lease.
RESUME_DELAY_S = 2.0
#: Time of a proof that does not exist.
_NEVER = float("-inf")


class MemberLease:
    """Renews the lease of the local member and decides whether it is valid.

    The lease rests on the newest of three proofs: renewals by a majority of the
    witnesses, a read of the log while the member has no witnesses, and a `Resume`
    record that took effect. A proof counts from the time at which the member *sent* the
    heartbeat, read or append that was answered, so a late answer never prolongs the
    lease. All times are on the local monotonic clock, in seconds.

    Parameters
    ----------
    context : Context
        State that the parts of this daemon share.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._renewal_sent_at_by_witness: dict[MemberId, Seconds] = {}
        self._answered_at_by_witness: dict[MemberId, Seconds] = {}
        self._majority_proof_sent_at: Seconds = _NEVER
        self._log_read_sent_at: Seconds = _NEVER
        self._resume_sent_at: Seconds = _NEVER
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
            events.AppendDecided: self._on_settled,
        }

    # Validity of the lease

    def newest_proof_sent_at(self) -> Seconds:
        """Return the time at which the newest proof of the lease was sent.

        Returns
        -------
        float
            Time in seconds; negative infinity if there is no proof or if this run is
            not live.
        """
        if self._context.member is None:
            return _NEVER
        return max(
            self._log_read_sent_at, self._resume_sent_at, self._majority_proof_sent_at
        )

    def _record_majority(self, member: Member) -> None:
        """Update the proof by renewals of a majority of the present witnesses.

        A proof stays valid when the witness set changes. A witness measures the time
        since the last contact from when it read the new set. That set was submitted
        after the proof was sent, so the witness gives no promise before the proof has
        lapsed.
        """
        if member.witnesses:
            proof = self._majority_renewal_sent_at(member.witnesses, member.majority)
            self._majority_proof_sent_at = max(self._majority_proof_sent_at, proof)

    def _majority_renewal_sent_at(
        self, witnesses: tuple[str, ...], majority: int
    ) -> float:
        times = [
            self._renewal_sent_at_by_witness.get(each, _NEVER) for each in witnesses
        ]
        return sorted(times, reverse=True)[majority - 1]

    def time_without_lease_s(self, now: Seconds) -> Seconds:
        """Return for how long the member has had no valid lease, in seconds."""
        return 0.0 if self._lapsed_since is None else now - self._lapsed_since

    def has_answered_recently(self, now: Seconds, witness: MemberId) -> bool:
        """Return whether a witness answered a heartbeat within the last `lease_s`.

        An answer that refuses the renewal counts too.

        Parameters
        ----------
        now : float
            Time on the local monotonic clock, in seconds.
        witness : str
            Id of the witness.

        Returns
        -------
        bool
        """
        answered_at = self._answered_at_by_witness.get(witness, _NEVER)
        return now - answered_at <= self._context.timing.lease_s

    def held_until(self) -> Seconds:
        """Return the time at which the lease ends, on the local monotonic clock.

        Returns
        -------
        float
            Time in seconds; negative infinity if there has been no lease.
        """
        return self.newest_proof_sent_at() + self._context.timing.lease_s

    def is_held(self, now: Seconds) -> bool:
        """Return whether the lease is valid at `now`, so that the member may serve."""
        return now < self.held_until()

    def has_tenure(self, now: Seconds) -> bool:
        """Return whether the member, as a witness, may renew the leases of others.

        The tenure is the time (`tenure_s`) after the newest proof of its own lease for
        which a member may do so. A member that a verdict has ended may not have read
        that record. Its tenure bounds how long its renewals can go on, so that after
        this time it counts as a witness that has stopped renewing.
        """
        return now - self.newest_proof_sent_at() <= self._context.timing.tenure_s

    # Renewal

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
        yield from self._update_held(now)
        yield from self._resume_if_needed(now)

    def _on_peer_message(
        self, now: Seconds, event: events.PeerMessageReceived
    ) -> Iterator[Event]:
        answer = event.message
        if not isinstance(answer, HeartbeatAnswer):
            return
        if answer.member != self._context.member_id or answer.sent_at > now:
            return
        self._answered_at_by_witness[event.sender] = now
        if not answer.renewed:
            return
        previous = self._renewal_sent_at_by_witness.get(event.sender, _NEVER)
        self._renewal_sent_at_by_witness[event.sender] = max(previous, answer.sent_at)
        if self._context.member is not None:
            self._record_majority(self._context.member)
        yield from self._update_held(now)

    def _on_records_read(
        self, now: Seconds, event: events.RecordsRead
    ) -> Iterator[Event]:
        # The follower handles this event first, so the records are applied by now. A
        # member without witnesses has no heartbeats to renew its lease: it holds the
        # lease by reading the log to its end without finding that it was ended.
        member = self._context.member
        if not event.from_log or not event.reached_end or member is None:
            return
        if not member.witnesses:
            self._log_read_sent_at = max(self._log_read_sent_at, event.sent_at)
            yield from self._update_held(now)

    def _update_held(self, now: Seconds) -> Iterator[Event]:
        held = self.is_held(now)
        if held != self._held:
            self._held = held
            yield events.LeaseChanged(held)
        if held:
            self._lapsed_since = None
        elif self._lapsed_since is None:
            self._lapsed_since = now

    # End of this run

    def _on_record_applied(
        self, now: Seconds, event: events.RecordApplied
    ) -> Iterator[Event]:
        if self._context.member_id in event.applied.closed:
            yield from self._fence(now)
            return
        member = self._context.member
        if member is not None:
            # Entries of former witnesses would accumulate otherwise.
            for former in self._answered_at_by_witness.keys() - set(member.witnesses):
                del self._answered_at_by_witness[former]
                self._renewal_sent_at_by_witness.pop(former, None)

    def _on_directory_loaded(self, now: Seconds, event: Event) -> Iterator[Event]:
        if self._context.member_id in self._context.directory.closed_by_id:
            yield from self._fence(now)

    def _fence(self, now: Seconds) -> Iterator[Event]:
        closed = self._context.directory.closed_by_id[self._context.member_id]
        self._renewal_sent_at_by_witness.clear()
        self._answered_at_by_witness.clear()
        self._majority_proof_sent_at = _NEVER
        self._log_read_sent_at = _NEVER
        self._resume_sent_at = _NEVER
        self._resume_pending = None
        yield from self._update_held(now)
        yield events.Fenced(closed.reason)

    # Resuming after an outage of the whole mesh, when no witness has tenure any more

    def _resume_if_needed(self, now: Seconds) -> Iterator[Event]:
        if not self._needs_resume(now):
            self._resume_not_before = _NEVER
            return
        if self._resume_pending or not self._context.log_reachable(now):
            return
        if self._resume_not_before == _NEVER:
            member_count = len(self._context.directory.member_by_id)
            window_s = member_count / RESUMES_PER_S
            self._resume_not_before = now + self._context.rng.random() * window_s
        elif now >= self._resume_not_before:
            self._resume_not_before = _NEVER
            self._resume_pending = self._context.new_record_id()
            yield events.AppendRequested(
                self._resume_pending, Resume(self._context.member_id)
            )

    def _needs_resume(self, now: Seconds) -> bool:
        """Return whether a majority of witnesses answers but the lease stays lapsed."""
        member = self._context.member
        if (
            member is None
            or not member.witnesses
            or self.time_without_lease_s(now) < RESUME_DELAY_S
        ):
            return False
        answering = sum(
            self.has_answered_recently(now, each) for each in member.witnesses
        )
        return answering >= member.majority

    def _on_settled(self, now: Seconds, event: events.AppendDecided) -> Iterator[Event]:
        if event.record_id != self._resume_pending:
            return
        self._resume_pending = None
        if event.void is None:
            self._resume_sent_at = max(self._resume_sent_at, event.first_sent_at)
        yield from self._update_held(now)
