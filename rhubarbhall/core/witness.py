"""The duty of a witness: renew leases, notice silence, give promises."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING

from rhubarbhall.core import commands, events
from rhubarbhall.core.peer_messages import (
    Heartbeat,
    HeartbeatAnswer,
    Promise,
    PromiseRequest,
    Suspicion,
)

if TYPE_CHECKING:
    from rhubarbhall.core.commands import Command
    from rhubarbhall.core.context import Context
    from rhubarbhall.core.directory import Directory
    from rhubarbhall.core.events import Event
    from rhubarbhall.core.kernel import Handler
    from rhubarbhall.core.lease import LeaseKeeper
    from rhubarbhall.core.members import Member
    from rhubarbhall.core.peer_messages import PeerMessage
    from rhubarbhall.types import MemberId, Seconds

#: Time between looks at the watched members.
CHECK_S = 0.1
#: Gap between looks that shows that this process itself was paused.
OWN_PAUSE_S = 0.3
#: Collectors that one suspicion goes to at the most.
MAX_COLLECTORS = 4


@dataclass(slots=True)
class _Watch:
    """What a witness knows of one member.

    Parameters
    ----------
    version : int
        Version of the member's set of witnesses that this watch is for.
    quiet_since : float
        Time of the last renewal, or of reading the record that began the watch.
    heard_at : float
        Time of the last heartbeat. A member that is heard but may not be
        renewed is not lost, so it is not under suspicion.
    promised_version : int, optional
        Version under which a promise was given.
    suspect_since : float, optional
        When the present suspicion began.
    """

    version: int
    quiet_since: Seconds
    heard_at: Seconds
    promised_version: int | None = None
    suspect_since: Seconds | None = None
    told_at: Seconds = float("-inf")


class Witness:
    """Renews the leases of the members that name this one as their witness."""

    def __init__(self, context: Context, lease: LeaseKeeper) -> None:
        self._context = context
        self._lease = lease
        self._watch_by_member: dict[MemberId, _Watch] = {}
        self._checked_at: Seconds | None = None
        #: Set once the member is about to leave; it renews nobody any more.
        self.retired = False

    def handlers(self) -> Mapping[type[Event], Handler]:
        """Return the handler for each type of event."""
        return {
            events.Started: self._on_started,
            events.RecordApplied: self._on_record_applied,
            events.DirectoryLoaded: self._on_directory_loaded,
            events.PeerMessageReceived: self._on_peer_message,
            events.WitnessCheckDue: self._on_check_due,
        }

    @property
    def watched(self) -> frozenset[MemberId]:
        """Members that this one is a witness of."""
        return frozenset(self._watch_by_member)

    def _on_started(self, now: Seconds, event: Event) -> Iterator[Command]:
        self._context.timers.every(CHECK_S, events.WitnessCheckDue(), first=now)
        yield from ()

    # Whom to watch

    def _on_record_applied(
        self, now: Seconds, event: events.RecordApplied
    ) -> Iterator[Event]:
        for closed in event.applied.closed:
            self._watch_by_member.pop(closed, None)
        author = getattr(event.applied.record, "member", None)
        if author is not None and event.applied.void is None:
            self._look_at(now, author)
        yield from ()

    def _on_directory_loaded(self, now: Seconds, event: Event) -> Iterator[Event]:
        directory = self._context.directory
        for gone in self._watch_by_member.keys() - directory.member_by_id.keys():
            del self._watch_by_member[gone]
        for member in directory.member_by_id:
            self._look_at(now, member)
        yield from ()

    def _look_at(self, now: Seconds, member_id: MemberId) -> None:
        member = self._context.directory.member_by_id.get(member_id)
        if member is None or self._context.me not in member.witnesses:
            self._watch_by_member.pop(member_id, None)
            return
        watch = self._watch_by_member.get(member_id)
        if watch is None:
            self._watch_by_member[member_id] = _Watch(member.witness_version, now, now)
        elif watch.version != member.witness_version:
            # Silence counts from reading the record: the member may have
            # drawn a lease from a resume that lies shortly before it.
            watch.version = member.witness_version
            watch.quiet_since = now
            watch.heard_at = now
            watch.suspect_since = None

    # Renewing and promising

    def _on_peer_message(
        self, now: Seconds, event: events.PeerMessageReceived
    ) -> Iterator[Command | Event]:
        message = event.message
        if isinstance(message, Heartbeat):
            yield from self._answer_heartbeat(now, event.sender, message)
        elif isinstance(message, PromiseRequest):
            yield from self._answer_request(now, event.sender, message)

    def _answer_heartbeat(
        self, now: Seconds, sender: MemberId, heartbeat: Heartbeat
    ) -> Iterator[Command | Event]:
        address = self._context.peer_address(sender)
        if address is None or heartbeat.witness != self._context.me:
            return
        watch = self._watch_by_member.get(sender)
        renewed = False
        if watch is not None:
            watch.heard_at = now
            watch.suspect_since = None
            renewed = self._may_renew(now, watch)
        if renewed:
            watch.quiet_since = now
        yield commands.SendPeer(
            address,
            HeartbeatAnswer(
                heartbeat.sent_at,
                sender,
                renewed,
                self._context.directory.next_offset,
                self._context.load_percent,
            ),
        )

    def _may_renew(self, now: Seconds, watch: _Watch) -> bool:
        if self.retired or watch.promised_version == watch.version:
            return False
        return self._lease.has_tenure(now)

    def _answer_request(
        self, now: Seconds, sender: MemberId, request: PromiseRequest
    ) -> Iterator[Command | Event]:
        watch = self._watch_by_member.get(request.member)
        if watch is None or watch.version != request.witness_version:
            return
        if not self._may_promise(now, watch):
            return
        watch.promised_version = watch.version
        promise = Promise(request.member, watch.version)
        yield from send_to_member(self._context, sender, promise)

    def _may_promise(self, now: Seconds, watch: _Watch) -> bool:
        if watch.promised_version == watch.version:
            return True
        last_sign = max(watch.quiet_since, watch.heard_at)
        silent = now - last_sign > self._context.timing.silence_s
        return silent and self._context.log_reachable(now)

    # Noticing silence

    def _on_check_due(self, now: Seconds, event: Event) -> Iterator[Command | Event]:
        self._restart_after_own_pause(now)
        for member_id, watch in list(self._watch_by_member.items()):
            if now - watch.heard_at <= self._context.timing.silence_s:
                continue
            if not self._context.log_reachable(now):
                continue
            if watch.suspect_since is None:
                watch.suspect_since = now
            if now - watch.told_at < self._context.timing.suspicion_repeat_s:
                continue
            watch.told_at = now
            yield from self._tell_collectors(now, member_id, watch)

    def _restart_after_own_pause(self, now: Seconds) -> None:
        """Start counting anew after this process itself stood still."""
        last = self._checked_at
        self._checked_at = now
        if last is None or now - last <= OWN_PAUSE_S:
            return
        for watch in self._watch_by_member.values():
            if watch.promised_version != watch.version:
                watch.quiet_since = max(watch.quiet_since, now - OWN_PAUSE_S)
                watch.heard_at = max(watch.heard_at, now - OWN_PAUSE_S)

    def _tell_collectors(
        self, now: Seconds, member_id: MemberId, watch: _Watch
    ) -> Iterator[Command | Event]:
        waited = now - (watch.suspect_since or now)
        ranks = 1 + int(waited / self._context.timing.stagger_s)
        member = self._context.directory.member_by_id[member_id]
        message = Suspicion(member_id, watch.version)
        if watch.promised_version == watch.version:
            message = Promise(member_id, watch.version)
        for collector in self._collectors(member, min(ranks, MAX_COLLECTORS)):
            yield from send_to_member(self._context, collector, message)

    def _collectors(self, member: Member, count: int) -> Iterator[MemberId]:
        """Yield the members ranked first to collect for a failure domain.

        Members of another domain that are not under suspicion themselves go
        first.
        """
        directory = self._context.directory
        domain = member.join.domain
        suspects = {
            each
            for each, watch in self._watch_by_member.items()
            if watch.suspect_since is not None
        }
        ranked = (each for each in directory.everyone.ranked(domain))
        trusted = [
            each
            for each in islice(ranked, 4 * MAX_COLLECTORS + len(suspects))
            if each not in suspects
        ]
        trusted.sort(key=lambda each: _domain_of(directory, each) == domain)
        if self._context.me not in trusted:
            trusted.append(self._context.me)
        yield from trusted[:count]


def _domain_of(directory: Directory, member_id: MemberId) -> str:
    return directory.member_by_id[member_id].join.domain


def send_to_member(
    context: Context, receiver: MemberId, message: PeerMessage
) -> Iterator[Command | Event]:
    """Send a message to a member, or hand it over at once when that is us."""
    if receiver == context.me:
        yield events.PeerMessageReceived(receiver, message)
        return
    address = context.peer_address(receiver)
    if address is not None:
        yield commands.SendPeer(address, message)
