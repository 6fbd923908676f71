"""Records of the platform's log and their encoding as JSON.

The directory is a fold of these records. A record takes effect only if its precondition
holds at its offset; its author learns the outcome when it reads the record back.
"""

from __future__ import annotations

from typing import Any, Union

import msgspec

from rhubarbhall.decoding import decode

#: Highest version of the record schemas that this program understands.
SCHEMA = 1


class Join(msgspec.Struct, frozen=True, tag="join", tag_field="kind"):
    """A run of a daemon joins the mesh as a member; it owns nothing yet.

    A later run on the same boot of the same VM closes the earlier one: it has bound the
    port for callers, which only one process can hold, so the earlier run has ended.

    Parameters
    ----------
    member : str
        Id of this run.
    calls, peers : str
        Addresses for callers and for other daemons, ``"IP:port"``.
    region, domain : str
        Region and failure domain of its VM.
    labels : dict
        Labels of its target.
    boot : str
        Id of the boot of its VM; empty if it is not known.
    checks_grants : bool
        Whether its target itself refuses orders outside a grant.
    weight : float
        Share of slices that it should own, relative to the weights of other members.
    started_at : float
        Time at which the run started, on the monotonic clock of its boot, in seconds.
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
    """A member prepares to leave: from now on it gets no new slices or work.

    Parameters
    ----------
    member : str
        Author.
    """

    member: str


class Leave(msgspec.Struct, frozen=True, tag="leave", tag_field="kind"):
    """A member ends: it serves no slices and renews no leases any more.

    Parameters
    ----------
    member : str
        Author.
    """

    member: str


class Witnesses(msgspec.Struct, frozen=True, tag="witnesses", tag_field="kind"):
    """A member replaces the set of its witnesses.

    Parameters
    ----------
    member : str
        Author.
    witnesses : tuple of str
        The complete new set.
    replaces : int
        Version of the set that this one replaces; any other version makes the record
        void.
    """

    member: str
    witnesses: tuple[str, ...]
    replaces: int


class Verdict(msgspec.Struct, frozen=True):
    """Agreement of witnesses that a member's lease has lapsed and is never renewed.

    Parameters
    ----------
    member : str
        Member whose lease has lapsed.
    witness_version : int
        Version of its witness set that the voters belong to.
    voters : tuple of str
        Witnesses that have promised not to renew the lease again.
    """

    member: str
    witness_version: int
    voters: tuple[str, ...]


class Failover(msgspec.Struct, frozen=True, tag="failover", tag_field="kind"):
    """Members whose leases have lapsed are closed; others get their slices.

    Parameters
    ----------
    verdicts : tuple of Verdict
        One verdict for each of the members.
    """

    verdicts: tuple[Verdict, ...]


class Resume(msgspec.Struct, frozen=True, tag="resume", tag_field="kind"):
    """A member voids all promises that witnesses have made not to renew its lease.

    It is needed after the whole mesh was unresponsive, when no witness may renew any
    lease.

    Parameters
    ----------
    member : str
        Author.
    """

    member: str


class Move(msgspec.Struct, frozen=True, tag="move", tag_field="kind"):
    """An owner hands slices over to other members.

    Parameters
    ----------
    service : str
        Service of the slices.
    source : str
        Author and present owner.
    slices : tuple of (int, int, str)
        Index of the slice, its present epoch and its next owner.
    predecessors_closed : bool
        Whether the author knew that all earlier owners had stopped.
    """

    service: str
    source: str
    slices: tuple[tuple[int, int, str], ...]
    predecessors_closed: bool


class Split(msgspec.Struct, frozen=True, tag="split", tag_field="kind"):
    """An owner splits a hot key out into a slice of its own, and owns that too.

    Parameters
    ----------
    service, key : str
        Service of the key, and the key.
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
    """An owner merges a key that is no longer hot into the slice that it hashes to.

    Parameters
    ----------
    service, key : str
        Service of the key, and the key.
    owner : str
        Author, which owns both slices.
    """

    service: str
    key: str
    owner: str


class DeclareLost(msgspec.Struct, frozen=True, tag="declare_lost", tag_field="kind"):
    """An operator declares that members have ended and will not return.

    Parameters
    ----------
    members : tuple of str
        Members to close.
    """

    members: tuple[str, ...]


class IntentRecord(msgspec.Struct, frozen=True, tag="intent", tag_field="kind"):
    """An operator replaces the intent.

    Parameters
    ----------
    replaces : int
        Version of the intent that this one replaces; any other version makes the record
        void.
    document : dict
        The complete new intent.
    """

    replaces: int
    document: dict[str, Any]


class SnapshotChunk(msgspec.Struct, frozen=True, tag="snapshot", tag_field="kind"):
    """Part of a snapshot of the directory.

    Parameters
    ----------
    covers : int
        Offset of the first record after those that the snapshot covers.
    part, parts : int
        Number of this chunk, from 0, and the number of chunks.
    data : str
        This chunk of the encoded state, in base64.
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
    """A record as it is appended to the log.

    Parameters
    ----------
    id : str
        Id of the record; a repeated append has the same id.
    schema : int
        Version of the record schemas that the author uses.
    body : Raw
        The record, still encoded, so that records of unknown kinds are passed on.
    """

    id: str
    schema: int
    body: msgspec.Raw


class StoredRecord(msgspec.Struct, frozen=True):
    """An envelope with its offset in the log."""

    offset: int
    envelope: Envelope


class UnknownRecord(msgspec.Struct, frozen=True):
    """A record of a kind or schema that this program does not know.

    Parameters
    ----------
    schema : int
        Version of the record schemas that its author uses.
    """

    schema: int


_decoder = msgspec.json.Decoder(Record)


def make_envelope(record_id: str, record: Record, schema: int = SCHEMA) -> Envelope:
    """Encode a record and return its envelope.

    Parameters
    ----------
    record_id : str
        Id of the record.
    record : Record
        The record.
    schema : int
        Version of the record schemas that the author uses.
    """
    return Envelope(record_id, schema, msgspec.Raw(msgspec.json.encode(record)))


def open_envelope(envelope: Envelope) -> Record | UnknownRecord:
    """Decode the record in an envelope.

    Returns
    -------
    Record or UnknownRecord
        The record; an `UnknownRecord` if its schema is newer than `SCHEMA` or its body
        cannot be decoded.
    """
    if envelope.schema > SCHEMA:
        return UnknownRecord(envelope.schema)
    try:
        return decode(_decoder, envelope.body)
    except msgspec.MsgspecError:
        return UnknownRecord(envelope.schema)
