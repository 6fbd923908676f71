"""Chooses the witnesses of the local member and replaces them, one record at a time.

The aim is three witnesses: in the member's failure domain, in another domain of its
region and in another region. A witness that has ended or does not answer is replaced.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator, Mapping
from itertools import islice
from typing import TYPE_CHECKING, NamedTuple

from rhubarbhall.core import events
from rhubarbhall.core.peer_messages import HeartbeatAnswer
from rhubarbhall.core.records import Witnesses

if TYPE_CHECKING:
    from rhubarbhall.core.commands import Command
    from rhubarbhall.core.context import Context
    from rhubarbhall.core.events import Event
    from rhubarbhall.core.kernel import Handler
    from rhubarbhall.core.lease import MemberLease
    from rhubarbhall.core.members import Member
    from rhubarbhall.types import MemberId, RecordId, Seconds

#: Number of witnesses of a complete set.
WITNESS_COUNT = 3
#: Interval between checks of the set, in seconds.
CHECK_INTERVAL_S = 0.2
#: Time for which a witness may refuse renewals before its promise is voided, in
#: seconds.
REFUSAL_TIMEOUT_S = 3.0
#: Time without a lease after which a witness that does not answer is replaced, in
#: seconds.
UNRESPONSIVE_TIMEOUT_S = 1.0
#: Largest number of candidates that are compared for one place in a set.
MAX_CANDIDATES = 256
#: Interval between checks whether the set could be spread more widely, in seconds.
SPREAD_CHECK_INTERVAL_S = 3.0
#: Members ended by one record from which on repairs of witness sets are spread over
#: time.
LARGE_LOSS = 8
#: Mean number of records by which members repair their sets after the loss of one
#: member that was their witness.
RECORDS_PER_LOST_MEMBER = 6
#: Rate of records, per second, that repairs after a large loss may append to the log.
REPAIR_RECORDS_PER_S = 100.0
#: Time for which a witness that did not answer is not chosen again, in seconds.
CANDIDATE_BACKOFF_S = 30.0


class _Locality(enum.Enum):
    """Where a witness is located relative to its member."""

    SAME_DOMAIN = enum.auto()
    SAME_REGION = enum.auto()
    OTHER_REGION = enum.auto()


class _Spread(NamedTuple):
    """How widely a witness set is spread over the deployment; larger is better.

    Parameters
    ----------
    localities : int
        Number of different localities of the witnesses.
    domains : int
        Number of different failure domains of the witnesses.
    """

    localities: int
    domains: int

    def is_widest(self, count: int) -> bool:
        """Return whether no set of `count` witnesses can be spread more widely."""
        return self.localities == self.domains == count


def _locality(member: Member, witness: Member) -> _Locality:
    if witness.join.domain == member.join.domain:
        return _Locality.SAME_DOMAIN
    if witness.join.region == member.join.region:
        return _Locality.SAME_REGION
    return _Locality.OTHER_REGION


def _spread(member: Member, witnesses: list[Member]) -> _Spread:
    localities = {_locality(member, each) for each in witnesses}
    return _Spread(len(localities), len({each.join.domain for each in witnesses}))


class WitnessSet:
    """Chooses the local member's witnesses: same domain, same region, other region.

    A change is one record that adds or removes one witness, and the next change waits
    until that record was read back. Majorities of two successive sets always have a
    witness in common, so neither kind of change has to wait for the old witnesses. A
    witness is removed when it has ended, or when it does not answer and the member
    cannot keep its lease with the others.

    Parameters
    ----------
    context : Context
        State that the parts of this daemon share.
    lease : MemberLease
        Lease of the local member.
    """

    def __init__(self, context: Context, lease: MemberLease) -> None:
        self._context = context
        self._lease = lease
        self._pending: RecordId | None = None
        self._repair_at: Seconds = float("-inf")
        self._spread_check_at: Seconds = float("-inf")
        self._refused_since: dict[MemberId, Seconds] = {}
        self._avoided_until: dict[MemberId, Seconds] = {}

    def handlers(self) -> Mapping[type[Event], Handler]:
        """Return the handler for each type of event."""
        return {
            events.Started: self._on_started,
            events.WitnessSetCheckDue: self._on_due,
            events.RecordApplied: self._on_record_applied,
            events.PeerMessageReceived: self._on_peer_message,
            events.AppendDecided: self._on_settled,
        }

    def _on_started(self, now: Seconds, event: Event) -> Iterator[Command]:
        self._context.timers.every(
            CHECK_INTERVAL_S, events.WitnessSetCheckDue(), first=now
        )
        yield from ()

    def _on_due(self, now: Seconds, event: Event) -> Iterator[Event]:
        yield from self._submit_next_set(now)

    def _on_record_applied(
        self, now: Seconds, event: events.RecordApplied
    ) -> Iterator[Event]:
        member = self._context.member
        if member is None:
            return
        closed = event.applied.closed
        if len(closed) >= LARGE_LOSS:
            # Each lost member was a witness of several others, and all of these read
            # this record at once. Their repairs must not fill the log, which has to
            # take the records of the next loss.
            window_s = len(closed) * RECORDS_PER_LOST_MEMBER / REPAIR_RECORDS_PER_S
            self._repair_at = now + self._context.rng.random() * window_s
        if set(closed) & set(member.witnesses):
            yield from self._submit_next_set(now)

    def _on_peer_message(
        self, now: Seconds, event: events.PeerMessageReceived
    ) -> Iterator[Event]:
        if isinstance(event.message, HeartbeatAnswer):
            if event.message.renewed:
                self._refused_since.pop(event.sender, None)
            else:
                self._refused_since.setdefault(event.sender, now)
        yield from ()

    def _on_settled(self, now: Seconds, event: events.AppendDecided) -> Iterator[Event]:
        if event.record_id == self._pending:
            self._pending = None
            self._refused_since.clear()
            yield from self._submit_next_set(now)

    def _submit_next_set(self, now: Seconds) -> Iterator[Event]:
        member = self._context.member
        if member is None or self._pending is not None:
            return
        if now < self._repair_at and self._lease.is_held(now):
            return
        next_witnesses = self._next_set(now, member)
        if next_witnesses is not None:
            self._pending = self._context.new_record_id()
            record = Witnesses(member.id, next_witnesses, member.witness_version)
            yield events.AppendRequested(self._pending, record)

    def _next_set(self, now: Seconds, member: Member) -> tuple[MemberId, ...] | None:
        """Return the next witness set, or none if no change is needed.

        It differs from the present set by at most one witness.
        """
        removed = self._witness_to_remove(now, member)
        if removed is not None:
            return tuple(each for each in member.witnesses if each != removed)
        if len(member.witnesses) < WITNESS_COUNT:
            candidate = self._best_candidate(now, member, member.witnesses)
            if candidate is not None and self._can_be_odd(now, member):
                return (*member.witnesses, candidate)
        if len(member.witnesses) == 2 and not self._can_be_odd(now, member):
            # With two witnesses both must answer to renew the lease, and both must
            # give a promise before the member can be failed over. One witness is
            # better in both respects.
            return member.witnesses[:1]
        if len(member.witnesses) == WITNESS_COUNT:
            replaceable = self._replaceable_witness(now, member)
            if replaceable is not None:
                return tuple(each for each in member.witnesses if each != replaceable)
        if self._is_refused_too_long(now, member):
            # The same set under a new version voids a promise that was given against
            # this member while it was unresponsive.
            return member.witnesses
        return None

    def _can_be_odd(self, now: Seconds, member: Member) -> bool:
        """Return whether the set can grow to an odd size: one or three witnesses."""
        if not member.witnesses:
            return True
        missing = WITNESS_COUNT - len(member.witnesses)
        return len(list(islice(self._candidates(now, member), missing))) == missing

    def _witness_to_remove(self, now: Seconds, member: Member) -> MemberId | None:
        """Return a witness that has ended or does not answer, or none.

        A witness that does not answer is not chosen again for a while.
        """
        directory = self._context.directory
        for witness in member.witnesses:
            if not directory.is_live(witness):
                return witness
        if self._lease.time_without_lease_s(now) < UNRESPONSIVE_TIMEOUT_S:
            return None
        for witness in member.witnesses:
            if not self._lease.has_answered_recently(now, witness):
                self._avoided_until[witness] = now + CANDIDATE_BACKOFF_S
                return witness
        return None

    def _is_refused_too_long(self, now: Seconds, member: Member) -> bool:
        return any(
            now - self._refused_since.get(witness, now) > REFUSAL_TIMEOUT_S
            for witness in member.witnesses
        )

    def _best_candidate(
        self, now: Seconds, member: Member, kept: tuple[MemberId, ...]
    ) -> MemberId | None:
        """Return the candidate that spreads the set with the kept witnesses most."""
        members = self._context.directory.member_by_id
        best, best_spread = None, None
        for each in islice(self._candidates(now, member), MAX_CANDIDATES):
            spread = _spread(member, [members[other] for other in (*kept, each)])
            if best_spread is None or spread > best_spread:
                best, best_spread = each, spread
            if spread.is_widest(len(kept) + 1):
                break
        return best

    def _replaceable_witness(self, now: Seconds, member: Member) -> MemberId | None:
        """Return a witness whose replacement would spread the set more widely."""
        if now < self._spread_check_at:
            return None
        self._spread_check_at = now + SPREAD_CHECK_INTERVAL_S
        members = self._context.directory.member_by_id
        present = _spread(member, [members[each] for each in member.witnesses])
        if present.is_widest(WITNESS_COUNT):
            return None
        for witness in reversed(member.witnesses):
            kept = tuple(each for each in member.witnesses if each != witness)
            candidate = self._best_candidate(now, member, kept)
            if candidate is None:
                return None
            changed = [members[each] for each in (*kept, candidate)]
            if _spread(member, changed) > present:
                return witness
        return None

    def _candidates(self, now: Seconds, member: Member) -> Iterator[MemberId]:
        """Yield the ids of members that can become witnesses, in order of rank."""
        directory = self._context.directory
        avoided = {each for each, until in self._avoided_until.items() if now < until}
        taken = {member.id, *member.witnesses, *avoided}
        for each in directory.member_ring.ranked(member.id):
            if each not in taken and not directory.member_by_id[each].retiring:
                yield each
