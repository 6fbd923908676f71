"""Follows the log: from whom to read, and what was read."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING

from rhubarbhall.core import commands, events
from rhubarbhall.core.peer_messages import HeartbeatAnswer, LogHint
from rhubarbhall.core.records import SCHEMA, StoredRecord
from rhubarbhall.core.snapshots import SnapshotScan, restore_directory

if TYPE_CHECKING:
    from rhubarbhall.core.commands import Command
    from rhubarbhall.core.context import Context
    from rhubarbhall.core.events import Event
    from rhubarbhall.core.kernel import Handler
    from rhubarbhall.types import Address, Seconds

#: Members of a failure domain that read the log itself.
READERS_PER_DOMAIN = 2
#: Members that pull from one relaying member.
RELAY_FANOUT = 4
#: Time between two reads from a relaying member.
RELAY_READ_S = 1.0
#: Time for which a place in the relay tree is kept.
TREE_AGE_S = 5.0
#: Time between two reads while requests wait for news.
WANTED_READ_S = 0.05
#: Time after which a read counts as lost.
READ_TIMEOUT_S = 1.0


class Follower:
    """Reads the log, directly or from a relaying peer, and applies it."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._outstanding_since: Seconds | None = None
        self._read_at: Seconds = float("-inf")
        self._asked_peer: Address | None = None
        self._failures = 0
        self._parent: Address | None = None
        self._parent_until: Seconds = float("-inf")
        self._scan: SnapshotScan | None = None

    def handlers(self) -> Mapping[type[Event], Handler]:
        """Return the handler for each type of event."""
        return {
            events.Started: self._on_started,
            events.ReadDue: self._on_read_due,
            events.ReadWanted: self._on_read_wanted,
            events.RecordsRead: self._on_records_read,
            events.ReadFailed: self._on_read_failed,
            events.SnapshotRead: self._on_snapshot_read,
            events.AppendAnswered: self._on_append_answered,
            events.PeerMessageReceived: self._on_peer_message,
        }

    def _on_started(self, now: Seconds, event: Event) -> Iterator[Command]:
        self._context.timers.every(
            self._context.timing.read_s, events.ReadDue(), first=now
        )
        yield from ()

    def _on_read_due(self, now: Seconds, event: Event) -> Iterator[Command]:
        since = self._outstanding_since
        if since is not None and now - since < READ_TIMEOUT_S:
            return
        if since is not None:
            self._failures += 1
        source = self._source(now)
        if source is None or now - self._read_at >= RELAY_READ_S:
            yield self._read(now, source)

    def _on_read_wanted(self, now: Seconds, event: Event) -> Iterator[Command]:
        if self._outstanding_since is None and now - self._read_at >= WANTED_READ_S:
            yield self._read(now, self._source(now))

    def _read(self, now: Seconds, peer: Address | None) -> Command:
        self._outstanding_since = now
        self._read_at = now
        self._asked_peer = peer
        if self._scan is not None:
            if peer is not None:
                return commands.ReadSnapshot(peer)
            return commands.ReadLog(self._scan.cursor)
        return commands.ReadLog(self._context.directory.next_offset, peer)

    def _source(self, now: Seconds) -> Address | None:
        """Return the peer to read from, or none for the log itself.

        After a failure the relaying parent, the log and a random peer take
        turns, so that a member parted from the log finds a peer that is not.
        """
        parent = self._relay_parent(now)
        turn = self._failures % 3
        if turn == 0:
            return parent
        if turn == 1:
            return None if parent else self._random_peer()
        return self._random_peer()

    def _relay_parent(self, now: Seconds) -> Address | None:
        member = self._context.member
        if member is None or not member.witnesses:
            # The lease of a member without witnesses comes from the log itself.
            return None
        if now >= self._parent_until:
            self._parent = self._find_parent()
            self._parent_until = now + TREE_AGE_S
            self._failures = 0
        return self._parent

    def _find_parent(self) -> Address | None:
        directory = self._context.directory
        domain = self._context.join.domain
        ranks = list(directory.ring_by_domain[domain].ranked(domain))
        rank = ranks.index(self._context.me)
        if rank < READERS_PER_DOMAIN:
            return None
        parent = ranks[(rank - READERS_PER_DOMAIN) // RELAY_FANOUT]
        return directory.member_by_id[parent].join.peers

    def _random_peer(self) -> Address | None:
        directory = self._context.directory
        # Two, since one of them may be this member.
        for seat in directory.everyone.sample(self._context.rng, 2):
            if seat.member != self._context.me:
                return directory.member_by_id[seat.member].join.peers
        if self._context.seeds:
            return self._context.rng.choice(self._context.seeds)
        return None

    def _on_records_read(
        self, now: Seconds, event: events.RecordsRead
    ) -> Iterator[Command | Event]:
        self._outstanding_since = None
        contact_at = event.sent_at - event.contact_age_s
        context = self._context
        context.log_contact_at = max(context.log_contact_at, contact_at)
        if event.first_offset > context.directory.next_offset:
            yield from self._scan_for_snapshot(now, event)
            return
        self._scan = None
        yield from self._apply(event.records)
        if not event.reached_end:
            yield self._read(now, self._asked_peer)
        elif not context.log_reachable(now):
            self._failures += 1

    def _apply(self, stored_records: tuple[StoredRecord, ...]) -> Iterator[Event]:
        directory = self._context.directory
        for stored in stored_records:
            if stored.offset != directory.next_offset:
                # A read that overlaps an earlier one brings known records.
                continue
            applied = directory.apply(stored)
            self._context.outdated = directory.newest_schema > SCHEMA
            yield events.RecordApplied(applied)

    def _scan_for_snapshot(
        self, now: Seconds, event: events.RecordsRead
    ) -> Iterator[Command | Event]:
        """Look for a whole snapshot in what the log still keeps."""
        if self._scan is None or self._scan.cursor < event.first_offset:
            self._scan = SnapshotScan(event.first_offset)
        snapshot = self._scan.take(event.records)
        if snapshot is not None:
            yield from self._load(snapshot)
        if self._scan is None or not event.reached_end:
            yield self._read(now, None)
        else:
            # The log holds no snapshot; the next turn asks a peer for one.
            self._scan = SnapshotScan(event.first_offset)
            self._failures += 1

    def _load(self, snapshot: bytes) -> Iterator[Event]:
        try:
            loaded = restore_directory(self._context.directory, snapshot)
        except ValueError as error:
            yield commands.Note(104, {"reason": str(error)})
            return
        if loaded:
            self._scan = None
            yield events.DirectoryLoaded()

    def _on_snapshot_read(
        self, now: Seconds, event: events.SnapshotRead
    ) -> Iterator[Command | Event]:
        self._outstanding_since = None
        yield from self._load(event.data)

    def _on_read_failed(
        self, now: Seconds, event: events.ReadFailed
    ) -> Iterator[Command]:
        self._outstanding_since = None
        self._failures += 1
        yield from ()

    def _on_append_answered(
        self, now: Seconds, event: events.AppendAnswered
    ) -> Iterator[Command]:
        yield self._read(now, None)

    def _on_peer_message(
        self, now: Seconds, event: events.PeerMessageReceived
    ) -> Iterator[Command]:
        known = self._context.directory.next_offset
        if isinstance(event.message, LogHint) and event.message.offset >= known:
            yield self._read(now, None)
        if (
            isinstance(event.message, HeartbeatAnswer)
            and event.message.next_offset > known
            and self._outstanding_since is None
            and now - self._read_at >= RELAY_READ_S
        ):
            yield self._read(now, self._context.peer_address(event.sender))
