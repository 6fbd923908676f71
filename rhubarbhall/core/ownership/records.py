"""Records of the platform's store that daemons share: members and key tables.

Each record is stored under a key of its own and replaces the record before it.
Decoding raises `ValueError` for bytes that are not a valid record.
"""

from __future__ import annotations

import enum
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated

import msgspec

from rhubarbhall.core.ownership.key_table import (
    KEY_COUNT,
    KeyTable,
    OwnerWitnesses,
    Span,
)
from rhubarbhall.decoding import decode
from rhubarbhall.settings import parse_address

if TYPE_CHECKING:
    from rhubarbhall.types import Address, Offset

MEMBER_PREFIX = "member/"
TABLE_PREFIX = "keys/"
#: Records that say that a daemon does not respond; see `KeyDirectory.is_lost`.
LOST_PREFIX = "lost/"
#: Records that only make the log grow; see `rhubarbhall.core.ownership.range_witness`.
BOOT_PREFIX = "boot/"
#: Records that name the last run of a target that has said that it leaves. A member
#: record that is written late does not undo them.
DEPARTURE_PREFIX = "left/"
#: Value of a loss report; positions have at most 19 digits.
_LOSS = re.compile(rb"@([0-9]{1,19})")
_LOSS_OF_EARLIER_BUILDS = b"1"
#: Largest number of slots of a target; a higher one is an error of whoever wrote it.
MAX_SLOTS = 1_000_000
#: Number that only grows. A record holds 64 bits; later numbers have to fit in as well.
_Counter = Annotated[int, msgspec.Meta(ge=0, le=(1 << 62) - 1)]


class TargetState(enum.StrEnum):
    """State of the target beside a daemon, as far as the daemon knows."""

    #: It accepts work.
    READY = "ready"
    #: It has announced that it leaves; it finishes the work that it has.
    LEAVING = "leaving"
    #: It is gone, or its last heartbeat is older than the longest grant of keys.
    GONE = "gone"


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A daemon and the target beside it.

    Parameters
    ----------
    service : str
        Service of the target.
    domain, region : str
        Failure domain and region of the VM.
    run : str
        Present run of the target; empty before the first heartbeat.
    slots : int
        Number of requests that the target works on at a time.
    state : TargetState
        Known state of the target.
    leaves : bool
        Whether the run has said that it leaves. It stays set once the target is gone,
        so that a late heartbeat does not bring the run back after a restart of the
        daemon. Records of earlier versions do not have it.
    """

    service: str
    domain: str
    region: str
    run: str = ""
    slots: Annotated[int, msgspec.Meta(le=MAX_SLOTS)] = 1
    state: TargetState = TargetState.GONE
    leaves: bool = False

    @property
    def has_left_run(self) -> bool:
        """Whether the run is not to be used again."""
        return self.leaves or self.state is TargetState.LEAVING


@dataclass(frozen=True, order=True, slots=True)
class MemberVersion:
    """Orders the member records of one address, whenever the store writes them.

    The store may write a record seconds after its call, when its process has written
    others or has ended and another one uses the address. Offsets then mislead.

    Parameters
    ----------
    incarnation : int
        End of the log when the process knew all of it for the first time, as a
        position. A later process at the address knows at least what the earlier ones
        have written, so its incarnation is higher, whatever the clocks say.
    sequence : int
        Grows with each member record of the process.
    """

    incarnation: Offset
    sequence: int

    @property
    def next(self) -> MemberVersion:
        """The version of the next record of the same process."""
        return MemberVersion(self.incarnation, self.sequence + 1)


@dataclass(frozen=True, slots=True)
class VersionedMember:
    """A member and the version of its record; none in records of earlier builds."""

    member: Member
    version: MemberVersion | None


# The records are stored as arrays, so the order of the fields is part of their format.


class _MemberRecord(Member, frozen=True, array_like=True):
    incarnation: _Counter | None = None
    sequence: _Counter = 0


class _SpanRecord(msgspec.Struct, frozen=True, array_like=True):
    first: int
    last: int
    owner: str
    run: str
    fence: _Counter
    previous: str
    previous_lost: bool
    token: str


class _TableRecord(msgspec.Struct, frozen=True, array_like=True):
    next_fence: _Counter
    spans: list[_SpanRecord]
    #: Owner, version and witnesses for each owner.
    owner_witnesses: list[tuple[str, int, tuple[str, ...]]] = []


_ENCODER = msgspec.msgpack.Encoder()
_MEMBER_DECODER = msgspec.msgpack.Decoder(_MemberRecord)
_TABLE_DECODER = msgspec.msgpack.Decoder(_TableRecord)


def member_key(address: Address) -> str:
    """Return the key of a daemon's member record."""
    return f"{MEMBER_PREFIX}{address}"


def lost_key(address: Address) -> str:
    """Return the key of the record that says that a daemon does not respond."""
    return f"{LOST_PREFIX}{address}"


def boot_key(address: Address) -> str:
    """Return the key of the record that a daemon writes after its start."""
    return f"{BOOT_PREFIX}{address}"


def departure_key(address: Address) -> str:
    """Return the key of the record that says which run of a target has left."""
    return f"{DEPARTURE_PREFIX}{address}"


def encode_departure(run: str) -> bytes:
    """Return the value of the record that a run leaves."""
    return run.encode()


def decode_departure(data: bytes) -> str:
    """Return the run that a record says has left.

    Raises
    ------
    ValueError
        If the bytes are not UTF-8.
    """
    return data.decode()


def encode_known_table(position: Offset) -> bytes:
    """Return the value of a boot record after a restore of the store.

    Parameters
    ----------
    position : int
        Position of the newest key table that the daemon knows; -1 if it knows none.
    """
    return str(position).encode()


def decode_known_table(data: bytes) -> Offset:
    """Return the position of the key table that a daemon knew; see the encoder.

    Raises
    ------
    ValueError
        If the bytes are not a whole number.
    """
    return int(data)


def encode_loss(position: Offset) -> bytes:
    """Return the value of a loss report.

    Parameters
    ----------
    position : int
        Position of the member record of the daemon that does not respond, as far as the
        reporter knows it.
    """
    return b"@%d" % position


def decode_loss(data: bytes) -> Offset | None:
    """Return the position of the member record that a loss report is about.

    Reports of earlier builds do not name one.

    Raises
    ------
    ValueError
        If the bytes are not the value of such a report.
    """
    if data == _LOSS_OF_EARLIER_BUILDS:
        return None
    found = _LOSS.fullmatch(data)
    if found is None:
        raise ValueError(f"loss report {data[:40]!r}; allowed: '@' and a position")
    return int(found[1])


def table_key(service: str) -> str:
    """Return the key of a service's table."""
    return f"{TABLE_PREFIX}{service}"


def encode_member(member: Member, version: MemberVersion | None = None) -> bytes:
    """Return the encoded record of a member; without a version as earlier builds do."""
    if version is None:
        return _ENCODER.encode(member)
    fields = msgspec.structs.astuple(member)
    return _ENCODER.encode((*fields, version.incarnation, version.sequence))


def decode_member(data: bytes) -> VersionedMember:
    """Return the member that a record describes, and the version of the record.

    Raises
    ------
    ValueError
        If the bytes are not such a record.
    """
    record = decode(_MEMBER_DECODER, data)
    *fields, incarnation, sequence = msgspec.structs.astuple(record)
    version = None if incarnation is None else MemberVersion(incarnation, sequence)
    return VersionedMember(Member(*fields), version)


def encode_table(table: KeyTable) -> bytes:
    """Return the encoded record of a table."""
    spans = [
        _SpanRecord(
            span.first,
            span.last,
            span.owner,
            span.run,
            span.fence,
            span.previous,
            span.previous_lost,
            span.token,
        )
        for span in table.spans
    ]
    owner_witnesses = [
        (row.owner, row.version, row.witnesses) for row in table.owner_witnesses
    ]
    record = _TableRecord(table.next_fence, spans, owner_witnesses)
    return _ENCODER.encode(record)


def _addresses(record: _TableRecord) -> set[str]:
    """Return all addresses in the record of a table."""
    addresses = {each.owner for each in record.spans}
    addresses |= {each.previous for each in record.spans if each.previous}
    for owner, _, witnesses in record.owner_witnesses:
        addresses |= {owner, *witnesses}
    return addresses


def decode_table(data: bytes) -> KeyTable:
    """Return the table that a record describes.

    Raises
    ------
    ValueError
        If the bytes are not such a record, its spans leave a gap, or an address in it
        is wrong.
    """
    record = decode(_TABLE_DECODER, data)
    for address in _addresses(record):
        parse_address(address)
    spans = tuple(
        Span(
            each.first,
            each.last,
            each.owner,
            each.run,
            each.fence,
            each.previous,
            each.previous_lost,
            each.token,
        )
        for each in record.spans
    )
    expected = 0
    for span in spans:
        if span.first != expected or span.last < span.first:
            raise ValueError(
                f"span {span.first}-{span.last} does not follow the one before"
            )
        expected = span.last + 1
    if expected != KEY_COUNT:
        raise ValueError(
            f"the spans end before key {expected}; they must end before {KEY_COUNT}"
        )
    owner_witnesses = tuple(OwnerWitnesses(*row) for row in record.owner_witnesses)
    return KeyTable(spans, record.next_fence, owner_witnesses)
