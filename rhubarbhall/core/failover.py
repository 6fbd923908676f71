"""The collector: turns the promises of witnesses into failover records.

Witnesses report unresponsive members to collectors; every member can be a collector. A
verdict states that a majority of a member's witnesses will not renew its lease again
under its present witness set: each has given a promise or has itself ended. One
failover record holds the verdicts on all members that were lost together; it ends them
and assigns their slices to other members.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rhubarbhall.core import commands, events
from rhubarbhall.core.members import EndReason
from rhubarbhall.core.peer_messages import LogHint, Promise, PromiseRequest, Suspicion
from rhubarbhall.core.records import Failover, Verdict
from rhubarbhall.core.witness import send_to_member

if TYPE_CHECKING:
    from rhubarbhall.core.commands import Command
    from rhubarbhall.core.context import Context
    from rhubarbhall.core.directory import Applied
    from rhubarbhall.core.events import Event
    from rhubarbhall.core.kernel import Handler
    from rhubarbhall.core.members import Member
    from rhubarbhall.types import MemberId, RecordId, Seconds

#: Time, in seconds, for which a suspicion counts after it was received.
SUSPICION_TIMEOUT_S = 1.0
#: Interval between requests for the same promise, in seconds.
PROMISE_REQUEST_INTERVAL_S = 0.1
#: Time since the last message of a witness, in seconds, after which a collection is
#: dropped.
COLLECTION_TIMEOUT_S = 30.0


@dataclass(slots=True)
class _Collection:
    """Suspicions and promises about one member under one version of its witness set.

    All times are on the local monotonic clock, in seconds.

    Parameters
    ----------
    version : int
        Version of the member's witness set.
    suspected_at : dict
        Time of the last suspicion or promise received, by id of the witness.
    promised : set of str
        Ids of the witnesses that have given a promise.
    requested_at : float
        Time at which promises were last requested.
    last_message_at : float
        Time at which a suspicion or promise was last received.
    """

    version: int
    suspected_at: dict[MemberId, Seconds] = field(default_factory=dict)
    promised: set[MemberId] = field(default_factory=set)
    requested_at: Seconds = float("-inf")
    last_message_at: Seconds = float("-inf")


class Collector:
    """Turns a majority of promises into a failover record.

    Promises are requested only once a majority of the witnesses suspects the member.
    A promise cannot be taken back under the same witness set, so a witness that alone
    has lost its link to the member must not give one: it could renew the lease no more.

    Parameters
    ----------
    context : Context
        State that the parts of this daemon share.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._collection_by_member: dict[MemberId, _Collection] = {}
        self._closed_read_at: dict[MemberId, Seconds] = {}
        self._append_at: Seconds | None = None
        self._pending: RecordId | None = None

    def handlers(self) -> Mapping[type[Event], Handler]:
        """Return the handler for each type of event."""
        return {
            events.PeerMessageReceived: self._on_peer_message,
            events.PromiseAppendDue: self._on_collect_due,
            events.RecordApplied: self._on_record_applied,
            events.DirectoryLoaded: self._on_directory_loaded,
            events.AppendDecided: self._on_settled,
        }

    def _on_peer_message(
        self, now: Seconds, event: events.PeerMessageReceived
    ) -> Iterator[Command | Event]:
        message = event.message
        if isinstance(message, Suspicion | Promise):
            yield from self._collect(now, event.sender, message)

    def _collect(
        self, now: Seconds, sender: MemberId, message: Suspicion | Promise
    ) -> Iterator[Command | Event]:
        member = self._context.directory.member_by_id.get(message.member)
        if member is None or member.witness_version != message.witness_version:
            return
        if sender not in member.witnesses:
            return
        collection = self._collection(member)
        collection.last_message_at = now
        collection.suspected_at[sender] = now
        if isinstance(message, Promise):
            collection.promised.add(sender)
        if self._has_majority(now, member, collection):
            self._schedule_append(now)
        else:
            yield from self._request_promises(now, member, collection)

    def _collection(self, member: Member) -> _Collection:
        collection = self._collection_by_member.get(member.id)
        if collection is None or collection.version != member.witness_version:
            collection = _Collection(member.witness_version)
            self._collection_by_member[member.id] = collection
        return collection

    def _request_promises(
        self, now: Seconds, member: Member, collection: _Collection
    ) -> Iterator[Command | Event]:
        suspecting = {
            witness
            for witness, reported_at in collection.suspected_at.items()
            if now - reported_at <= SUSPICION_TIMEOUT_S
        }
        agreed = suspecting | self._stopped_witnesses(now, member)
        if len(agreed) < member.majority:
            return
        if now - collection.requested_at < PROMISE_REQUEST_INTERVAL_S:
            return
        collection.requested_at = now
        request = PromiseRequest(member.id, member.witness_version)
        for witness in sorted(suspecting - collection.promised):
            yield from send_to_member(self._context, witness, request)

    def _has_majority(
        self, now: Seconds, member: Member, collection: _Collection
    ) -> bool:
        voters = collection.promised | self._stopped_witnesses(now, member)
        return bool(collection.promised) and len(voters) >= member.majority

    def _stopped_witnesses(self, now: Seconds, member: Member) -> set[MemberId]:
        """Return the ids of witnesses that have ended and renew no lease any more."""
        return {
            each for each in member.witnesses if self._has_stopped_renewing(now, each)
        }

    def _has_stopped_renewing(self, now: Seconds, witness: MemberId) -> bool:
        closed = self._context.directory.closed_by_id.get(witness)
        if closed is None:
            return False
        # The age counts from when this daemon read the record that ended the witness.
        # A run that left or was superseded renews no lease after that record, so the
        # leases that it renewed lapse soon. A run that was failed over or declared lost
        # may not know it and may renew leases until its tenure ends.
        timing = self._context.timing
        age = now - self._closed_read_at.get(witness, now)
        if closed.reason in (EndReason.LEFT, EndReason.SUPERSEDED):
            return age > timing.lapse_timeout_s
        return age > timing.replacement_delay_s

    # Appending the record

    def _schedule_append(self, now: Seconds) -> None:
        if self._append_at is None and self._pending is None:
            self._append_at = now + self._context.timing.collect_s
            self._context.timers.at(self._append_at, events.PromiseAppendDue())

    def _on_collect_due(self, now: Seconds, event: Event) -> Iterator[Event]:
        self._append_at = None
        self._drop_stale_collections(now)
        verdicts = tuple(self._verdicts(now))
        if verdicts and self._pending is None:
            self._pending = self._context.new_record_id()
            yield events.AppendRequested(self._pending, Failover(verdicts))

    def _verdicts(self, now: Seconds) -> Iterator[Verdict]:
        for member_id, collection in sorted(self._collection_by_member.items()):
            member = self._context.directory.member_by_id.get(member_id)
            if member is None or collection.version != member.witness_version:
                continue
            if self._has_majority(now, member, collection):
                voters = collection.promised | self._stopped_witnesses(now, member)
                yield Verdict(member_id, collection.version, tuple(sorted(voters)))

    def _drop_stale_collections(self, now: Seconds) -> None:
        for member_id, collection in list(self._collection_by_member.items()):
            if now - collection.last_message_at > COLLECTION_TIMEOUT_S:
                del self._collection_by_member[member_id]

    def _on_settled(self, now: Seconds, event: events.AppendDecided) -> Iterator[Event]:
        if event.record_id == self._pending:
            self._pending = None
            if self._collection_by_member:
                self._schedule_append(now)
        yield from ()

    def _on_record_applied(
        self, now: Seconds, event: events.RecordApplied
    ) -> Iterator[Event]:
        for member_id in event.applied.closed:
            self._collection_by_member.pop(member_id, None)
            self._record_closed(now, member_id)
        if event.applied.record_id == self._pending and event.applied.closed:
            yield from self._notify_new_owners(event.applied)

    def _notify_new_owners(self, applied: Applied) -> Iterator[Command]:
        """Send hints to the new owners of slices, so that they read the log at once."""
        directory = self._context.directory
        owners = {
            directory.owner_of(*ref)
            for ref in applied.moved
            if ref.service in directory.table_by_service
        }
        for owner in sorted(owners - {None, self._context.member_id}):
            address = self._context.peer_address(owner)
            if address is not None:
                yield commands.SendPeer(address, LogHint(applied.offset))

    def _on_directory_loaded(self, now: Seconds, event: Event) -> Iterator[Event]:
        for member_id in self._context.directory.closed_by_id:
            self._record_closed(now, member_id)
        yield from ()

    def _record_closed(self, now: Seconds, member_id: MemberId) -> None:
        self._closed_read_at.setdefault(member_id, now)
        if len(self._closed_read_at) > 2 * len(self._context.directory.closed_by_id):
            # The directory forgets the oldest closed members; so does this table.
            remembered = self._context.directory.closed_by_id
            self._closed_read_at = {
                each: at
                for each, at in self._closed_read_at.items()
                if each in remembered
            }
