"""Records that daemons keep in the platform's store: members and tables of keys.

Each record stands under a key of its own and replaces the one before. What cannot be
read is told by `ValueError` and left alone.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

from rhubarbhall.core.ownership.key_table import KEY_COUNT, Guarding, KeyTable, Span

if TYPE_CHECKING:
    from rhubarbhall.types import Address

MEMBER_PREFIX = "member/"
TABLE_PREFIX = "keys/"
#: Records that only make the log grow; see `rhubarbhall.core.ownership.guardian`.
BOOT_PREFIX = "boot/"


class TargetState(enum.StrEnum):
    """What is known of the target beside a daemon."""

    #: It takes work.
    READY = "ready"
    #: It has said that it leaves and finishes what it has.
    LEAVING = "leaving"
    #: It is gone, or nothing was heard of it for longer than its keys last.
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
        Requests that the target works on at a time.
    state : TargetState
        What is known of the target.
    """

    service: str
    domain: str
    region: str
    run: str = ""
    slots: int = 1
    state: TargetState = TargetState.GONE


class _SpanRecord(msgspec.Struct, frozen=True, array_like=True):
    first: int
    last: int
    owner: str
    run: str
    fence: int
    previous: str
    previous_lost: bool
    token: str


class _TableRecord(msgspec.Struct, frozen=True, array_like=True):
    next_fence: int
    spans: list[_SpanRecord]
    #: Owner, version and guardians of each guarding.
    guardings: list[tuple[str, int, tuple[str, ...]]] = []


_ENCODER = msgspec.msgpack.Encoder()
_MEMBER_DECODER = msgspec.msgpack.Decoder(Member)
_TABLE_DECODER = msgspec.msgpack.Decoder(_TableRecord)


def member_key(address: Address) -> str:
    """Return the key that a daemon's record stands under."""
    return f"{MEMBER_PREFIX}{address}"


def boot_key(address: Address) -> str:
    """Return the key that a daemon writes when it was started."""
    return f"{BOOT_PREFIX}{address}"


def table_key(service: str) -> str:
    """Return the key that a service's table stands under."""
    return f"{TABLE_PREFIX}{service}"


def encode_member(member: Member) -> bytes:
    """Return the bytes of a member's record."""
    return _ENCODER.encode(member)


def decode_member(data: bytes) -> Member:
    """Return the member that a record describes.

    Raises
    ------
    ValueError
        If the bytes are not such a record.
    """
    return _MEMBER_DECODER.decode(data)


def encode_table(table: KeyTable) -> bytes:
    """Return the bytes of a table's record."""
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
    guardings = [(row.owner, row.version, row.guardians) for row in table.guardings]
    record = _TableRecord(table.next_fence, spans, guardings)
    return _ENCODER.encode(record)


def decode_table(data: bytes) -> KeyTable:
    """Return the table that a record describes.

    Raises
    ------
    ValueError
        If the bytes are not such a record or its spans leave a gap.
    """
    record = _TABLE_DECODER.decode(data)
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
            raise ValueError(f"span {span.first}-{span.last} does not follow the last")
        expected = span.last + 1
    if expected != KEY_COUNT:
        raise ValueError(f"the spans end at {expected}; allowed: {KEY_COUNT}")
    guardings = tuple(Guarding(*row) for row in record.guardings)
    return KeyTable(spans, record.next_fence, guardings)
