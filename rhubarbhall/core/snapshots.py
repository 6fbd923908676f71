"""Snapshots of the directory: encoding, chunks and their assembly."""

from __future__ import annotations

import base64
import zlib
from array import array
from typing import Any

import msgspec

from rhubarbhall.core.directory import Directory
from rhubarbhall.core.intent import intent_from_document
from rhubarbhall.core.members import ClosedMember, Closing, Member
from rhubarbhall.core.records import Join, SnapshotChunk, StoredRecord, open_envelope
from rhubarbhall.core.slices import OwnerTable

#: Size of one chunk before base64, in bytes.
CHUNK_BYTES = 192 * 1024


class MemberState(msgspec.Struct, frozen=True):
    """A member in a snapshot."""

    number: int
    join: Join
    witnesses: tuple[str, ...]
    witness_version: int
    retiring: bool


class ClosedState(msgspec.Struct, frozen=True):
    """A closed member in a snapshot."""

    member: MemberState
    reason: str
    offset: int


class TableState(msgspec.Struct, frozen=True):
    """An owner table in a snapshot; arrays are little-endian 32-bit numbers."""

    owners: bytes
    epochs: bytes
    predecessors: dict[int, tuple[int, ...]]
    hashed: int
    hot_keys: dict[str, int]
    not_in_use: tuple[int, ...]


class DirectoryState(msgspec.Struct, frozen=True):
    """The whole directory."""

    next_offset: int
    next_number: int
    intent_version: int
    intent_document: dict[str, Any]
    newest_schema: int
    members: tuple[MemberState, ...]
    closed: tuple[ClosedState, ...]
    tables: dict[str, TableState]
    dropped: dict[str, TableState]
    seen_ids: tuple[str, ...]


def _member_state(member: Member) -> MemberState:
    return MemberState(
        member.number,
        member.join,
        member.witnesses,
        member.witness_version,
        member.retiring,
    )


def _member(state: MemberState) -> Member:
    return Member(
        state.number,
        state.join,
        state.witnesses,
        state.witness_version,
        state.retiring,
    )


def _table_states(table_by_service: dict[str, OwnerTable]) -> dict[str, TableState]:
    return {
        name: TableState(
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
    """Return the state of `directory`, compressed.

    Equal directories give equal bytes.
    """
    state = DirectoryState(
        next_offset=directory.next_offset,
        next_number=directory.next_number,
        intent_version=directory.intent_version,
        intent_document=directory.intent_document,
        newest_schema=directory.newest_schema,
        members=tuple(map(_member_state, directory.member_by_id.values())),
        closed=tuple(
            ClosedState(_member_state(closed.member), closed.reason, closed.offset)
            for closed in directory.closed_by_id.values()
        ),
        tables=_table_states(directory.table_by_service),
        dropped=_table_states(directory.dropped_by_service),
        seen_ids=tuple(directory.seen_ids),
    )
    return zlib.compress(msgspec.msgpack.encode(state), level=1)


def _table(state: TableState) -> OwnerTable:
    table = OwnerTable(0)
    table.hashed = state.hashed
    table.index_by_hot_key = dict(state.hot_keys)
    table.not_in_use = list(state.not_in_use)
    table.owners = array("i", state.owners)
    table.epochs = array("I", state.epochs)
    table.predecessors = dict(state.predecessors)
    return table


def restore_directory(directory: Directory, data: bytes) -> bool:
    """Replace the contents of `directory` by a snapshot that is further on.

    Returns
    -------
    bool
        False when the snapshot lies before what was applied already; then
        nothing changes.

    Raises
    ------
    ValueError
        If the data is no snapshot.
    """
    try:
        state = msgspec.msgpack.decode(zlib.decompress(data), type=DirectoryState)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise ValueError(f"not a snapshot: {error}") from error
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
    for each in state.members:
        directory.seat_member(_member(each))
    for closed in state.closed:
        member = _member(closed.member)
        directory.id_by_number[member.number] = member.id
        directory.closed_by_id[member.id] = ClosedMember(
            member, Closing(closed.reason), closed.offset
        )
    for name, table in state.tables.items():
        directory.table_by_service[name] = _table(table)
    for name, table in state.dropped.items():
        directory.dropped_by_service[name] = _table(table)
    return True


def split_snapshot(directory: Directory) -> list[SnapshotChunk]:
    """Return the chunks of a snapshot of `directory`."""
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
    """Collects chunks until one snapshot is whole.

    Two writers that cover the same offset write the same bytes, so their
    chunks may be mixed.
    """

    def __init__(self) -> None:
        self._parts_by_covers: dict[int, dict[int, SnapshotChunk]] = {}

    def add(self, chunk: SnapshotChunk) -> bytes | None:
        """Take one chunk; return the snapshot when it has become whole."""
        parts = self._parts_by_covers.setdefault(chunk.covers, {})
        parts[chunk.part] = chunk
        if len(parts) < chunk.parts:
            return None
        del self._parts_by_covers[chunk.covers]
        return b"".join(
            base64.b64decode(parts[part].data) for part in range(chunk.parts)
        )


class SnapshotScan:
    """Reads through the kept part of the log for the chunks of a snapshot.

    Parameters
    ----------
    first_offset : int
        Oldest record that the log keeps.
    """

    def __init__(self, first_offset: int) -> None:
        self.cursor = first_offset
        self._first_offset = first_offset
        self._assembler = SnapshotAssembler()

    def take(self, stored_records: tuple[StoredRecord, ...]) -> bytes | None:
        """Take records; return a snapshot whose tail the log still keeps."""
        for stored in stored_records:
            if stored.offset < self.cursor:
                continue
            self.cursor = stored.offset + 1
            record = open_envelope(stored.envelope)
            if not isinstance(record, SnapshotChunk):
                continue
            whole = self._assembler.add(record)
            if whole is not None and record.covers >= self._first_offset:
                return whole
        return None
