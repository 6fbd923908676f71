"""Reads the log and applies its records to the directory.

To bound the load on the log only a few members of each failure domain read it
themselves. The others read from a peer that relays the records, and so form a tree. A
member whose next record was trimmed from the log loads a snapshot.
"""

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

#: Number of members of a failure domain that read the log itself.
READERS_PER_DOMAIN = 2
#: Number of members that read from the same relaying member.
RELAY_FANOUT = 4
#: Least time between two periodic reads from a relaying member, in seconds.
RELAY_READ_INTERVAL_S = 1.0
#: Time after which a member looks up its relaying member again, in seconds.
RELAY_PARENT_MAX_AGE_S = 5.0
#: Least time between two reads for requests that wait for newer records, in seconds.
MIN_REQUESTED_READ_INTERVAL_S = 0.05
#: Time after which a read that was not answered counts as failed, in seconds.
READ_TIMEOUT_S = 1.0


class Follower:
    """Reads the log, directly or from a relaying peer, and applies its records.

    Parameters
    ----------
    context : Context
        Identity, time and directory of the local member.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        #: Time at which the read in progress was sent; none if none is in progress.
        self._outstanding_since: Seconds | None = None
        self._last_read_at: Seconds = float("-inf")
        #: Peer of the last read; none for the log itself.
        self._last_source: Address | None = None
        #: Failed reads since the relaying member was looked up.
        self._failures = 0
        #: Relaying member to read from; none if the local member reads the log.
        self._parent: Address | None = None
        self._parent_valid_until: Seconds = float("-inf")
        #: Search for a snapshot; none unless the next record was trimmed from the log.
        self._snapshot_scan: SnapshotScan | None = None

    def handlers(self) -> Mapping[type[Event], Handler]:
        """Return the handler for each type of event."""
        return {
            events.Started: self._on_started,
            events.ReadDue: self._on_read_due,
            events.ReadRequested: self._on_read_wanted,
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
        source = self._choose_source(now)
        if source is None or now - self._last_read_at >= RELAY_READ_INTERVAL_S:
            yield self._read(now, source)

    def _on_read_wanted(self, now: Seconds, event: Event) -> Iterator[Command]:
        if (
            self._outstanding_since is None
            and now - self._last_read_at >= MIN_REQUESTED_READ_INTERVAL_S
        ):
            yield self._read(now, self._choose_source(now))

    def _read(self, now: Seconds, peer: Address | None) -> Command:
        self._outstanding_since = now
        self._last_read_at = now
        self._last_source = peer
        if self._snapshot_scan is not None:
            if peer is not None:
                return commands.ReadSnapshot(peer)
            return commands.ReadLog(self._snapshot_scan.cursor)
        return commands.ReadLog(self._context.directory.next_offset, peer)

    def _choose_source(self, now: Seconds) -> Address | None:
        """Return the peer to read from; none for the log itself.

        The relaying member, the log and a random peer are tried in rotation: each
        failure selects the next one. So a member that cannot reach the log finds a peer
        that can.
        """
        parent = self._relay_parent(now)
        choice = self._failures % 3
        if choice == 0:
            return parent
        if choice == 1:
            return None if parent else self._random_peer()
        return self._random_peer()

    def _relay_parent(self, now: Seconds) -> Address | None:
        member = self._context.member
        if member is None or not member.witnesses:
            # A member without witnesses renews its lease by contact with the log
            # itself, so it must not read from a relaying member.
            return None
        if now >= self._parent_valid_until:
            self._parent = self._find_parent()
            self._parent_valid_until = now + RELAY_PARENT_MAX_AGE_S
            self._failures = 0
        return self._parent

    def _find_parent(self) -> Address | None:
        directory = self._context.directory
        domain = self._context.join.domain
        ranks = list(directory.ring_by_domain[domain].ranked(domain))
        rank = ranks.index(self._context.member_id)
        if rank < READERS_PER_DOMAIN:
            return None
        parent = ranks[(rank - READERS_PER_DOMAIN) // RELAY_FANOUT]
        return directory.member_by_id[parent].join.peers

    def _random_peer(self) -> Address | None:
        directory = self._context.directory
        # Two are drawn, since one of them may be the local member.
        for position in directory.member_ring.sample(self._context.rng, 2):
            if position.member != self._context.member_id:
                return directory.member_by_id[position.member].join.peers
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
        self._snapshot_scan = None
        yield from self._apply(event.records)
        if not event.reached_end:
            yield self._read(now, self._last_source)
        elif not context.log_reachable(now):
            self._failures += 1

    def _apply(self, stored_records: tuple[StoredRecord, ...]) -> Iterator[Event]:
        directory = self._context.directory
        for stored in stored_records:
            if stored.offset != directory.next_offset:
                # Reads may overlap, so a read can return records applied before.
                continue
            applied = directory.apply(stored)
            self._context.outdated = directory.newest_schema > SCHEMA
            yield events.RecordApplied(applied)

    def _scan_for_snapshot(
        self, now: Seconds, event: events.RecordsRead
    ) -> Iterator[Command | Event]:
        """Search the records that the log still keeps for a complete snapshot."""
        if (
            self._snapshot_scan is None
            or self._snapshot_scan.cursor < event.first_offset
        ):
            self._snapshot_scan = SnapshotScan(event.first_offset)
        snapshot = self._snapshot_scan.take(event.records)
        if snapshot is not None:
            yield from self._load_snapshot(snapshot)
        if self._snapshot_scan is None or not event.reached_end:
            yield self._read(now, None)
        else:
            # The log holds no complete snapshot. Counting a failure makes the next read
            # go to another source, which may be a peer that sends its snapshot.
            self._snapshot_scan = SnapshotScan(event.first_offset)
            self._failures += 1

    def _load_snapshot(self, snapshot: bytes) -> Iterator[Event]:
        try:
            loaded = restore_directory(self._context.directory, snapshot)
        except ValueError as error:
            yield commands.LogEvent(104, {"reason": str(error)})
            return
        if loaded:
            self._snapshot_scan = None
            yield events.DirectoryLoaded()

    def _on_snapshot_read(
        self, now: Seconds, event: events.SnapshotRead
    ) -> Iterator[Command | Event]:
        self._outstanding_since = None
        yield from self._load_snapshot(event.data)

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
            and now - self._last_read_at >= RELAY_READ_INTERVAL_S
        ):
            yield self._read(now, self._context.peer_address(event.sender))
