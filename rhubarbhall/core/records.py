"""Records of the platform's log and their encoding."""

from __future__ import annotations

from typing import Any, Union

import msgspec

#: Version of the record schemas that this program understands.
SCHEMA = 1


class Join(msgspec.Struct, frozen=True, tag="join", tag_field="kind"):
    """A daemon starts; it owns nothing yet.

    A later run on the same boot of the same VM closes the earlier one: it holds
    the exclusive port for callers, so the earlier one has ended.

    Parameters
    ----------
    member : str
        Identity of this run.
    calls, peers : str
        Addresses for callers and for other daemons, ``"IP:port"``.
    region, domain : str
        Where it stands.
    labels : dict
        Labels of its target.
    boot : str
        Identity of the boot of its VM.
    checks_grants : bool
        Whether its target checks grants itself.
    weight : float
        Its share of slices against others.
    started_at : float
        When the run started, on the monotonic clock of its boot, in seconds.
    """

    member: str
    calls: str
    peers: str
    region: str
    domain: str
    labels: dict[str, str]
    boot: str = ""
    checks_grants: bool = True
    weight: float = 1.0
    started_at: float = 0.0


class Retire(msgspec.Struct, frozen=True, tag="retire", tag_field="kind"):
    """A member is about to leave and takes no new slices or work."""

    member: str


class Leave(msgspec.Struct, frozen=True, tag="leave", tag_field="kind"):
    """A member ends; it serves nothing and renews nobody any more."""

    member: str


class Witnesses(msgspec.Struct, frozen=True, tag="witnesses", tag_field="kind"):
    """A member replaces its set of witnesses.

    Parameters
    ----------
    member : str
        Author.
    witnesses : tuple of str
        The whole new set.
    replaces : int
        Version of the set that this one replaces.
    """

    member: str
    witnesses: tuple[str, ...]
    replaces: int


class Verdict(msgspec.Struct, frozen=True):
    """Witnesses' finding that one member's lease has lapsed for good."""

    member: str
    witness_version: int
    voters: tuple[str, ...]


class Failover(msgspec.Struct, frozen=True, tag="failover", tag_field="kind"):
    """Members whose leases have lapsed; their slices go to others."""

    verdicts: tuple[Verdict, ...]


class Resume(msgspec.Struct, frozen=True, tag="resume", tag_field="kind"):
    """A member voids the promises given against it so far.

    Used after a silence of the whole mesh, when no witness may renew anybody.
    """

    member: str


class Move(msgspec.Struct, frozen=True, tag="move", tag_field="kind"):
    """An owner hands slices over to others.

    Parameters
    ----------
    service : str
        Service of the slices.
    source : str
        Author and present owner.
    slices : tuple of (int, int, str)
        Slice, its present epoch and its next owner.
    predecessors_closed : bool
        Whether the author knew that all earlier owners had stopped.
    """

    service: str
    source: str
    slices: tuple[tuple[int, int, str], ...]
    predecessors_closed: bool


class Split(msgspec.Struct, frozen=True, tag="split", tag_field="kind"):
    """An owner gives a hot key a slice of its own, which it owns at first.

    Parameters
    ----------
    service, key : str
        The key.
    owner : str
        Author and owner of the slice that the key hashes to.
    epoch : int
        Present epoch of that slice.
    """

    service: str
    key: str
    owner: str
    epoch: int


class Merge(msgspec.Struct, frozen=True, tag="merge", tag_field="kind"):
    """An owner puts a key that has cooled back into the slice it hashes to."""

    service: str
    key: str
    owner: str


class DeclareLost(msgspec.Struct, frozen=True, tag="declare_lost", tag_field="kind"):
    """An operator's word that members are gone for good."""

    members: tuple[str, ...]


class IntentRecord(msgspec.Struct, frozen=True, tag="intent", tag_field="kind"):
    """A whole intent that replaces the version `replaces`."""

    replaces: int
    document: dict[str, Any]


class SnapshotChunk(msgspec.Struct, frozen=True, tag="snapshot", tag_field="kind"):
    """Part of a snapshot of the directory.

    Parameters
    ----------
    covers : int
        Next offset to apply on top of the snapshot.
    part, parts : int
        Number of this chunk, from 0, and the count of chunks.
    data : str
        Base64 of this part of the encoded state.
    """

    covers: int
    part: int
    parts: int
    data: str


Record = Union[  # noqa: UP007  # msgspec reads a union of tagged types at run time
    Join,
    Retire,
    Leave,
    Witnesses,
    Failover,
    Resume,
    Move,
    Split,
    Merge,
    DeclareLost,
    IntentRecord,
    SnapshotChunk,
]


class Envelope(msgspec.Struct, frozen=True):
    """What one append carries.

    Parameters
    ----------
    id : str
        Identity; a repeat of an append carries the same.
    schema : int
        Version of the schema that the author wrote.
    body : Raw
        The record, still encoded, so that unknown kinds pass through.
    """

    id: str
    schema: int
    body: msgspec.Raw


class StoredRecord(msgspec.Struct, frozen=True):
    """An envelope with its place in the log."""

    offset: int
    envelope: Envelope


class UnknownRecord(msgspec.Struct, frozen=True):
    """A record of a kind or schema that this program does not know."""

    schema: int


_decoder = msgspec.json.Decoder(Record)


def seal(record_id: str, record: Record, schema: int = SCHEMA) -> Envelope:
    """Return the envelope for `record`."""
    return Envelope(record_id, schema, msgspec.Raw(msgspec.json.encode(record)))


def open_envelope(envelope: Envelope) -> Record | UnknownRecord:
    """Return the record in `envelope`, or a marker when it is not understood."""
    if envelope.schema > SCHEMA:
        return UnknownRecord(envelope.schema)
    try:
        return _decoder.decode(envelope.body)
    except msgspec.MsgspecError:
        return UnknownRecord(envelope.schema)
