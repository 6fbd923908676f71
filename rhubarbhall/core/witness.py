"""The witness: renews the leases of other members and helps to end unresponsive ones.

A witness is a member that another member has named to renew its lease. When a watched
member stops sending heartbeats, the witness reports a suspicion to collectors, members
that gather the reports of all witnesses. A suspicion binds the witness to nothing. On a
collector's request the witness gives a promise: never to renew this member's lease
again under its present witness set. A majority of promises makes a verdict, which ends
the member (see `failover`).
"""

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
    from rhubarbhall.core.lease import MemberLease
    from rhubarbhall.core.members import Member
    from rhubarbhall.core.peer_messages import PeerMessage
    from rhubarbhall.types import MemberId, Seconds

#: Interval between checks of the watched members, in seconds.
CHECK_INTERVAL_S = 0.1
#: Time between two checks, in seconds, above which this process itself was paused.
PAUSE_THRESHOLD_S = 0.3
#: Largest number of collectors that one suspicion is reported to.
MAX_COLLECTORS = 4


@dataclass(slots=True)
class _Watch:
    """State that a witness keeps about one watched member.

    All times are on the local monotonic clock, in seconds.

    Parameters
    ----------
    version : int
        Version of the member's witness set that this watch is for.
    last_renewal_at : float
        Time of the last renewal, or of reading the record that named this witness.
    last_contact_at : float
        Time of the last heartbeat, or of reading that record. A member that sends
        heartbeats is not lost, even if its lease may not be renewed, so it is not
        suspected.
    promised_version : int, optional
        Version of the witness set under which a promise was given.
    suspected_since : float, optional
        Time at which the present suspicion began; none if the member is not suspected.
    reported_at : float
        Time at which the suspicion was last reported to the collectors.
    """

    version: int
    last_renewal_at: Seconds
    last_contact_at: Seconds
    promised_version: int | None = None
    suspected_since: Seconds | None = None
    reported_at: Seconds = float("-inf")


class Witness:
    """Renews the leases of the members that name the local member as their witness.

    Parameters
    ----------
    context : Context
        State that the parts of this daemon share.
    lease : MemberLease
        Lease of the local member, whose tenure bounds how long it may renew others.
    """

    def __init__(self, context: Context, lease: MemberLease) -> None:
        self._context = context
        self._lease = lease
        self._watch_by_member: dict[MemberId, _Watch] = {}
        self._checked_at: Seconds | None = None
        #: Set once the local member is about to leave; it renews no lease after that.
        self.renewals_stopped = False

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
        """Ids of the members that the local member is a witness of."""
        return frozenset(self._watch_by_member)

    def _on_started(self, now: Seconds, event: Event) -> Iterator[Command]:
        self._context.timers.every(
            CHECK_INTERVAL_S, events.WitnessCheckDue(), first=now
        )
        yield from ()

    # Members to watch

    def _on_record_applied(
        self, now: Seconds, event: events.RecordApplied
    ) -> Iterator[Event]:
        for closed in event.applied.closed:
            self._watch_by_member.pop(closed, None)
        author = getattr(event.applied.record, "member", None)
        if author is not None and event.applied.void is None:
            self._update_watch(now, author)
        yield from ()

    def _on_directory_loaded(self, now: Seconds, event: Event) -> Iterator[Event]:
        directory = self._context.directory
        for gone in self._watch_by_member.keys() - directory.member_by_id.keys():
            del self._watch_by_member[gone]
        for member in directory.member_by_id:
            self._update_watch(now, member)
        yield from ()

    def _update_watch(self, now: Seconds, member_id: MemberId) -> None:
        member = self._context.directory.member_by_id.get(member_id)
        if member is None or self._context.member_id not in member.witnesses:
            self._watch_by_member.pop(member_id, None)
            return
        watch = self._watch_by_member.get(member_id)
        if watch is None:
            self._watch_by_member[member_id] = _Watch(member.witness_version, now, now)
        elif watch.version != member.witness_version:
            # The time since the last contact counts from reading the record: the
            # member may hold a lease that rests on a resume shortly before it.
            watch.version = member.witness_version
            watch.last_renewal_at = now
            watch.last_contact_at = now
            watch.suspected_since = None

    # Renewals and promises

    def _on_peer_message(
        self, now: Seconds, event: events.PeerMessageReceived
    ) -> Iterator[Command | Event]:
        message = event.message
        if isinstance(message, Heartbeat):
            yield from self._answer_heartbeat(now, event.sender, message)
        elif isinstance(message, PromiseRequest):
            yield from self._answer_promise_request(now, event.sender, message)

    def _answer_heartbeat(
        self, now: Seconds, sender: MemberId, heartbeat: Heartbeat
    ) -> Iterator[Command | Event]:
        address = self._context.peer_address(sender)
        if address is None or heartbeat.witness != self._context.member_id:
            return
        watch = self._watch_by_member.get(sender)
        renewed = False
        if watch is not None:
            watch.last_contact_at = now
            watch.suspected_since = None
            renewed = self._may_renew(now, watch)
        if renewed:
            watch.last_renewal_at = now
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
        # A promise holds until the member's witness set gets a new version.
        if self.renewals_stopped or watch.promised_version == watch.version:
            return False
        return self._lease.has_tenure(now)

    def _answer_promise_request(
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
        last_contact_at = max(watch.last_renewal_at, watch.last_contact_at)
        unresponsive = now - last_contact_at > self._context.timing.lapse_timeout_s
        return unresponsive and self._context.log_reachable(now)

    # Suspicion of unresponsive members

    def _on_check_due(self, now: Seconds, event: Event) -> Iterator[Command | Event]:
        self._reset_after_local_pause(now)
        for member_id, watch in list(self._watch_by_member.items()):
            if now - watch.last_contact_at <= self._context.timing.lapse_timeout_s:
                continue
            if not self._context.log_reachable(now):
                continue
            if watch.suspected_since is None:
                watch.suspected_since = now
            if now - watch.reported_at < self._context.timing.suspicion_repeat_s:
                continue
            watch.reported_at = now
            yield from self._notify_collectors(now, member_id, watch)

    def _reset_after_local_pause(self, now: Seconds) -> None:
        """Limit the times since the last contact after a pause of this process.

        Heartbeats that arrived during the pause may not have been handled yet, so at
        most `PAUSE_THRESHOLD_S` of it counts as time without contact. Members against
        which this witness has given a promise keep their times.
        """
        last = self._checked_at
        self._checked_at = now
        if last is None or now - last <= PAUSE_THRESHOLD_S:
            return
        for watch in self._watch_by_member.values():
            if watch.promised_version != watch.version:
                watch.last_renewal_at = max(
                    watch.last_renewal_at, now - PAUSE_THRESHOLD_S
                )
                watch.last_contact_at = max(
                    watch.last_contact_at, now - PAUSE_THRESHOLD_S
                )

    def _notify_collectors(
        self, now: Seconds, member_id: MemberId, watch: _Watch
    ) -> Iterator[Command | Event]:
        suspected_s = now - (watch.suspected_since or now)
        ranks = 1 + int(suspected_s / self._context.timing.stagger_s)
        member = self._context.directory.member_by_id[member_id]
        message = Suspicion(member_id, watch.version)
        if watch.promised_version == watch.version:
            message = Promise(member_id, watch.version)
        for collector in self._collectors(member, min(ranks, MAX_COLLECTORS)):
            yield from send_to_member(self._context, collector, message)

    def _collectors(self, member: Member, count: int) -> Iterator[MemberId]:
        """Yield the members that collect promises about `member`, in order of rank.

        The ranking depends on the failure domain of `member` alone, so that one
        collector serves all members that are lost with a domain. Suspected members are
        left out, and members of other domains come first, since the domain may be lost
        as a whole. The local member is always a candidate.

        Parameters
        ----------
        member : Member
            Suspected member.
        count : int
            Largest number of collectors.
        """
        directory = self._context.directory
        domain = member.join.domain
        suspected = {
            each
            for each, watch in self._watch_by_member.items()
            if watch.suspected_since is not None
        }
        ranked = (each for each in directory.member_ring.ranked(domain))
        trusted = [
            each
            for each in islice(ranked, 4 * MAX_COLLECTORS + len(suspected))
            if each not in suspected
        ]
        trusted.sort(key=lambda each: _domain_of(directory, each) == domain)
        if self._context.member_id not in trusted:
            trusted.append(self._context.member_id)
        yield from trusted[:count]


def _domain_of(directory: Directory, member_id: MemberId) -> str:
    return directory.member_by_id[member_id].join.domain


def send_to_member(
    context: Context, receiver: MemberId, message: PeerMessage
) -> Iterator[Command | Event]:
    """Send a message to a member, or deliver it at once if it is the local member.

    Nothing is sent to a member that is not live.

    Parameters
    ----------
    context : Context
        State that the parts of this daemon share.
    receiver : str
        Id of the member.
    message : PeerMessage
        Message to send.

    Yields
    ------
    Command or Event
        `SendPeer` to another member, or `PeerMessageReceived` from the local one.
    """
    if receiver == context.member_id:
        yield events.PeerMessageReceived(receiver, message)
        return
    address = context.peer_address(receiver)
    if address is not None:
        yield commands.SendPeer(address, message)
