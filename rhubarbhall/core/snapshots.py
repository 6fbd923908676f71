"""Snapshots of the directory: their encoding, their chunks and the assembly of these.

A snapshot is MessagePack, compressed by zlib. The log carries it in chunks, so that a
member can start after the records that it covers were trimmed.
"""

from __future__ import annotations

import base64
import zlib
from array import array
from typing import Any

import msgspec

from rhubarbhall.core.directory import Directory
from rhubarbhall.core.intent import intent_from_document
from rhubarbhall.core.members import ClosedMember, EndReason, Member
from rhubarbhall.core.records import Join, SnapshotChunk, StoredRecord, open_envelope
from rhubarbhall.core.slices import OwnerTable
from rhubarbhall.decoding import decode

#: Largest size of one chunk before base64, in bytes.
CHUNK_BYTES = 192 * 1024


class MemberSnapshot(msgspec.Struct, frozen=True):
    """A live or closed member; the fields are those of `Member`."""

    number: int
    join: Join
    witnesses: tuple[str, ...]
    witness_version: int
    retiring: bool


class ClosedMemberSnapshot(msgspec.Struct, frozen=True):
    """A closed member; the fields are those of `ClosedMember`."""

    member: MemberSnapshot
    reason: str
    offset: int


class OwnerTableSnapshot(msgspec.Struct, frozen=True):
    """The owner table of one service.

    Parameters
    ----------
    owners, epochs : bytes
        Owner number and epoch of each slice, as little-endian 32-bit integers.
    predecessors : dict
        Numbers of earlier owners that are not known to have stopped, by slice.
    hashed : int
        Number of slices that keys hash to.
    hot_keys : dict
        Slices of the keys that have a slice of their own.
    not_in_use : tuple of int
        Slices that were merged back and that no key belongs to.
    """

    owners: bytes
    epochs: bytes
    predecessors: dict[int, tuple[int, ...]]
    hashed: int
    hot_keys: dict[str, int]
    not_in_use: tuple[int, ...]


class DirectorySnapshot(msgspec.Struct, frozen=True):
    """The complete directory; `tables` and `dropped` hold owner tables by service."""

    next_offset: int
    next_number: int
    intent_version: int
    intent_document: dict[str, Any]
    newest_schema: int
    members: tuple[MemberSnapshot, ...]
    closed: tuple[ClosedMemberSnapshot, ...]
    tables: dict[str, OwnerTableSnapshot]
    dropped: dict[str, OwnerTableSnapshot]
    seen_ids: tuple[str, ...]


_DECODER = msgspec.msgpack.Decoder(DirectorySnapshot)


def _encode_member(member: Member) -> MemberSnapshot:
    return MemberSnapshot(
        member.number,
        member.join,
        member.witnesses,
        member.witness_version,
        member.retiring,
    )


def _decode_member(state: MemberSnapshot) -> Member:
    return Member(
        state.number,
        state.join,
        state.witnesses,
        state.witness_version,
        state.retiring,
    )


def _encode_tables(
    table_by_service: dict[str, OwnerTable],
) -> dict[str, OwnerTableSnapshot]:
    return {
        name: OwnerTableSnapshot(
            table.owners.tobytes(),
            table.epochs.tobytes(),
            dict(sorted(table.predecessors.items())),
            table.hashed,
            table.index_by_hot_key,
            tuple(table.not_in_use),
        )
        for name, table in sorted(table_by_service.items())
    }


def encode_directory(directory: Directory) -> bytes:
    """Return a snapshot of `directory` as compressed bytes.

    Equal directories give equal bytes.
    """
    state = DirectorySnapshot(
        next_offset=directory.next_offset,
        next_number=directory.next_number,
        intent_version=directory.intent_version,
        intent_document=directory.intent_document,
        newest_schema=directory.newest_schema,
        members=tuple(map(_encode_member, directory.member_by_id.values())),
        closed=tuple(
            ClosedMemberSnapshot(
                _encode_member(closed.member), closed.reason, closed.offset
            )
            for closed in directory.closed_by_id.values()
        ),
        tables=_encode_tables(directory.table_by_service),
        dropped=_encode_tables(directory.dropped_by_service),
        seen_ids=tuple(directory.seen_ids),
    )
    return zlib.compress(msgspec.msgpack.encode(state), level=1)


def _decode_table(state: OwnerTableSnapshot) -> OwnerTable:
    table = OwnerTable(0)
    table.hashed = state.hashed
    table.index_by_hot_key = dict(state.hot_keys)
    table.not_in_use = list(state.not_in_use)
    table.owners = array("i", state.owners)
    table.epochs = array("I", state.epochs)
    table.predecessors = dict(state.predecessors)
    return table


def restore_directory(directory: Directory, data: bytes) -> bool:
    """Replace the contents of `directory` by a snapshot that covers more records.

    Parameters
    ----------
    directory : Directory
        Directory to replace.
    data : bytes
        Snapshot as `encode_directory` returns it.


    Returns
    -------
    bool
        Whether the directory was replaced. It is left as it is if the snapshot covers
        no more records than were applied already.

    Raises
    ------
    ValueError
        If `data` is not a snapshot.
    """
    try:
        state = decode(_DECODER, zlib.decompress(data))
    except (zlib.error, msgspec.MsgspecError) as error:
        raise ValueError(f"data is not a snapshot: {error}") from error
    if state.next_offset <= directory.next_offset:
        return False
    intent = intent_from_document(state.intent_document)
    directory.reset()
    directory.next_offset = state.next_offset
    directory.next_number = state.next_number
    directory.intent_version = state.intent_version
    directory.intent_document = state.intent_document
    directory.newest_schema = state.newest_schema
    directory.intent = intent
    directory.seen_ids.update(dict.fromkeys(state.seen_ids))
    for member_state in state.members:
        directory.add_member(_decode_member(member_state))
    for closed in state.closed:
        member = _decode_member(closed.member)
        directory.id_by_number[member.number] = member.id
        directory.closed_by_id[member.id] = ClosedMember(
            member, EndReason(closed.reason), closed.offset
        )
    for name, table in state.tables.items():
        directory.table_by_service[name] = _decode_table(table)
    for name, table in state.dropped.items():
        directory.dropped_by_service[name] = _decode_table(table)
    return True


def split_snapshot(directory: Directory) -> list[SnapshotChunk]:
    """Return the records that carry a snapshot of `directory`, in order."""
    data = encode_directory(directory)
    starts = range(0, len(data), CHUNK_BYTES)
    return [
        SnapshotChunk(
            covers=directory.next_offset,
            part=part,
            parts=len(starts),
            data=base64.b64encode(data[start : start + CHUNK_BYTES]).decode(),
        )
        for part, start in enumerate(starts)
    ]


class SnapshotAssembler:
    """Collects chunks until those of one snapshot are complete.

    Two writers whose snapshots cover the same offset write the same bytes, so their
    chunks can be mixed.
    """

    def __init__(self) -> None:
        self._parts_by_covers: dict[int, dict[int, SnapshotChunk]] = {}

    def add(self, chunk: SnapshotChunk) -> bytes | None:
        """Add a chunk; return the snapshot if this chunk completes it, else none."""
        parts = self._parts_by_covers.setdefault(chunk.covers, {})
        parts[chunk.part] = chunk
        if len(parts) < chunk.parts:
            return None
        del self._parts_by_covers[chunk.covers]
        return b"".join(
            base64.b64decode(parts[part].data) for part in range(chunk.parts)
        )


class SnapshotScan:
    """Searches the records that the log still keeps for a complete snapshot.

    Parameters
    ----------
    first_offset : int
        Offset of the oldest record that the log keeps.
    """

    def __init__(self, first_offset: int) -> None:
        #: Offset of the next record to search.
        self.cursor = first_offset
        self._first_offset = first_offset
        self._assembler = SnapshotAssembler()

    def take(self, stored_records: tuple[StoredRecord, ...]) -> bytes | None:
        """Search the next records for the rest of a snapshot.

        Parameters
        ----------
        stored_records : tuple of StoredRecord
            Records in the order of their offsets; those before `cursor` are skipped.

        Returns
        -------
        bytes or None
            The first complete snapshot for which the log still keeps all records that
            follow it; none if there is none yet.
        """
        for stored in stored_records:
            if stored.offset < self.cursor:
                continue
            self.cursor = stored.offset + 1
            record = open_envelope(stored.envelope)
            if not isinstance(record, SnapshotChunk):
                continue
            snapshot = self._assembler.add(record)
            if snapshot is not None and record.covers >= self._first_offset:
                return snapshot
        return None
