"""Collects witnesses' promises and appends one verdict for many members."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rhubarbhall.core import commands, events
from rhubarbhall.core.members import Closing
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

#: Age up to which a suspicion counts.
SUSPICION_AGE_S = 1.0
#: Time between requests for the same promise.
REQUEST_REPEAT_S = 0.1
#: Time after which a collection that nobody feeds any more is dropped.
COLLECTION_AGE_S = 30.0


@dataclass(slots=True)
class _Collection:
    """Suspicions and promises about one member under one set of witnesses."""

    version: int
    suspected_at: dict[MemberId, Seconds] = field(default_factory=dict)
    promised: set[MemberId] = field(default_factory=set)
    requested_at: Seconds = float("-inf")
    fed_at: Seconds = float("-inf")


class Collector:
    """Turns a majority of promises into a failover record.

    Promises are asked for only once a majority of the witnesses suspects the
    member, so that a single broken link costs no witness its say.
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
            events.CollectDue: self._on_collect_due,
            events.RecordApplied: self._on_record_applied,
            events.DirectoryLoaded: self._on_directory_loaded,
            events.Settled: self._on_settled,
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
        collection.fed_at = now
        collection.suspected_at[sender] = now
        if isinstance(message, Promise):
            collection.promised.add(sender)
        if self._has_majority(now, member, collection):
            self._schedule(now)
        else:
            yield from self._ask_for_promises(now, member, collection)

    def _collection(self, member: Member) -> _Collection:
        collection = self._collection_by_member.get(member.id)
        if collection is None or collection.version != member.witness_version:
            collection = _Collection(member.witness_version)
            self._collection_by_member[member.id] = collection
        return collection

    def _ask_for_promises(
        self, now: Seconds, member: Member, collection: _Collection
    ) -> Iterator[Command | Event]:
        suspecting = {
            witness
            for witness, told_at in collection.suspected_at.items()
            if now - told_at <= SUSPICION_AGE_S
        }
        agreed = suspecting | self._gone_witnesses(now, member)
        if len(agreed) < member.majority:
            return
        if now - collection.requested_at < REQUEST_REPEAT_S:
            return
        collection.requested_at = now
        request = PromiseRequest(member.id, member.witness_version)
        for witness in sorted(suspecting - collection.promised):
            yield from send_to_member(self._context, witness, request)

    def _has_majority(
        self, now: Seconds, member: Member, collection: _Collection
    ) -> bool:
        voters = collection.promised | self._gone_witnesses(now, member)
        return bool(collection.promised) and len(voters) >= member.majority

    def _gone_witnesses(self, now: Seconds, member: Member) -> set[MemberId]:
        """Return the witnesses that are known to renew nobody any more."""
        return {each for each in member.witnesses if self._is_gone(now, each)}

    def _is_gone(self, now: Seconds, witness: MemberId) -> bool:
        closed = self._context.directory.closed_by_id.get(witness)
        if closed is None:
            return False
        timing = self._context.timing
        age = now - self._closed_read_at.get(witness, now)
        if closed.reason in (Closing.LEFT, Closing.SUPERSEDED):
            return age > timing.silence_s
        return age > timing.replaceable_s

    # Appending

    def _schedule(self, now: Seconds) -> None:
        if self._append_at is None and self._pending is None:
            self._append_at = now + self._context.timing.collect_s
            self._context.timers.at(self._append_at, events.CollectDue())

    def _on_collect_due(self, now: Seconds, event: Event) -> Iterator[Event]:
        self._append_at = None
        self._drop_stale(now)
        verdicts = tuple(self._verdicts(now))
        if verdicts and self._pending is None:
            self._pending = self._context.new_record_id()
            yield events.Submit(self._pending, Failover(verdicts))

    def _verdicts(self, now: Seconds) -> Iterator[Verdict]:
        for member_id, collection in sorted(self._collection_by_member.items()):
            member = self._context.directory.member_by_id.get(member_id)
            if member is None or collection.version != member.witness_version:
                continue
            if self._has_majority(now, member, collection):
                voters = collection.promised | self._gone_witnesses(now, member)
                yield Verdict(member_id, collection.version, tuple(sorted(voters)))

    def _drop_stale(self, now: Seconds) -> None:
        for member_id, collection in list(self._collection_by_member.items()):
            if now - collection.fed_at > COLLECTION_AGE_S:
                del self._collection_by_member[member_id]

    def _on_settled(self, now: Seconds, event: events.Settled) -> Iterator[Event]:
        if event.record_id == self._pending:
            self._pending = None
            if self._collection_by_member:
                self._schedule(now)
        yield from ()

    def _on_record_applied(
        self, now: Seconds, event: events.RecordApplied
    ) -> Iterator[Event]:
        for member_id in event.applied.closed:
            self._collection_by_member.pop(member_id, None)
            self._note_closed(now, member_id)
        if event.applied.record_id == self._pending and event.applied.closed:
            yield from self._hint_new_owners(event.applied)

    def _hint_new_owners(self, applied: Applied) -> Iterator[Command]:
        """Tell the members that got slices, so that they read at once."""
        directory = self._context.directory
        owners = {
            directory.owner_of(*ref)
            for ref in applied.moved
            if ref.service in directory.table_by_service
        }
        for owner in sorted(owners - {None, self._context.me}):
            address = self._context.peer_address(owner)
            if address is not None:
                yield commands.SendPeer(address, LogHint(applied.offset))

    def _on_directory_loaded(self, now: Seconds, event: Event) -> Iterator[Event]:
        for member_id in self._context.directory.closed_by_id:
            self._note_closed(now, member_id)
        yield from ()

    def _note_closed(self, now: Seconds, member_id: MemberId) -> None:
        self._closed_read_at.setdefault(member_id, now)
        if len(self._closed_read_at) > 2 * len(self._context.directory.closed_by_id):
            remembered = self._context.directory.closed_by_id
            self._closed_read_at = {
                each: at
                for each, at in self._closed_read_at.items()
                if each in remembered
            }
