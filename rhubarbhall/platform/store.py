"""Client of the platform's store, an append-only log with keyed topics.

Class names of results and names of methods are labels of the metric on store calls.
"""

from __future__ import annotations

import base64
import binascii
import struct
from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec

from rhubarbhall.adapters.client import Failed
from rhubarbhall.core.ownership.entries import Entry
from rhubarbhall.core.ownership.store_port import (
    ANSWER_TIMEOUT_S,
    Appended,
    AppendResult,
    Conflict,
    LongPoll,
    NewestPage,
    ReadResult,
    Tail,
    Trimmed,
    Unavailable,
    offset_of,
    position,
)
from rhubarbhall.core.ownership.stored_values import unpack_value
from rhubarbhall.decoding import decode
from rhubarbhall.platform.names import PARTITION, STORE_ERA

if TYPE_CHECKING:
    from rhubarbhall.adapters.client import HttpClient
    from rhubarbhall.core.requests import Response
    from rhubarbhall.types import Address, Offset, StoreEpoch

#: Head of the answer to a read of the tail: the end of the log and the first offset
#: that it still keeps, as big-endian 64-bit numbers.
_TAIL_HEAD = struct.Struct(">QQ")
#: Length of a record's content in bytes, in front of it.
_LENGTH = struct.Struct(">I")
_OCTETS = (("Content-Type", "application/octet-stream"),)


class _NewestItem(msgspec.Struct, frozen=True):
    key: str
    offset: int
    #: Base64.
    value: str = ""


class _NewestReply(msgspec.Struct, frozen=True):
    items: list[_NewestItem]
    end: int
    more: bool = False


class _AppendReply(msgspec.Struct, frozen=True):
    offset: int


_NEWEST_DECODER = msgspec.json.Decoder(_NewestReply)
_APPEND_DECODER = msgspec.json.Decoder(_AppendReply)


def _record(key: str, value: bytes) -> bytes:
    """Encode a record: its length, the length of the key (1 byte), key and value."""
    name = key.encode()
    content = bytes([len(name)]) + name + value
    return _LENGTH.pack(len(content)) + content


def _records(data: bytes) -> Iterator[bytes]:
    """Yield the contents of the records in the answer to a read.

    Raises
    ------
    ValueError
        If a record is truncated.
    """
    position = 0
    while position < len(data):
        if position + _LENGTH.size > len(data):
            raise ValueError("length of a record is truncated")
        (size,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        content = data[position : position + size]
        if len(content) != size:
            raise ValueError(
                f"record truncated: expected {size} bytes, got {len(content)}"
            )
        position += size
        yield content


def _entry(at: Offset, content: bytes) -> Entry | None:
    """Decode a record at a position; return none if it is not a key and a value."""
    if not content or len(content) < 1 + content[0]:
        return None
    end = 1 + content[0]
    try:
        key = content[1:end].decode()
    except UnicodeDecodeError:
        return None
    return Entry(at, key, unpack_value(content[end:]))


def _parse_tail(first: Offset, epoch: StoreEpoch, data: bytes) -> Tail:
    if len(data) < _TAIL_HEAD.size:
        raise ValueError(
            f"answer of {len(data)} bytes; allowed: at least the 16 bytes of the head"
        )
    end, _first = _TAIL_HEAD.unpack_from(data)
    contents = list(_records(data[_TAIL_HEAD.size :]))
    entries = (_entry(first + index, each) for index, each in enumerate(contents))
    known = tuple(entry for entry in entries if entry is not None)
    return Tail(known, first + len(contents), position(epoch, end))


def _parse_newest(epoch: StoreEpoch, data: bytes) -> NewestPage:
    reply = decode(_NEWEST_DECODER, data)
    entries = tuple(
        Entry(
            position(epoch, item.offset),
            item.key,
            unpack_value(base64.b64decode(item.value, validate=True)),
        )
        for item in reply.items
    )
    after = entries[-1].key if reply.more and entries else None
    return NewestPage(entries, after, position(epoch, reply.end))


def _epoch(response: Response) -> StoreEpoch:
    """Return the epoch of the store that an answer names; 0 if it names none."""
    for name, value in response.headers:
        if name.lower() == STORE_ERA.lower() and value.isdecimal():
            return max(0, int(value) - 1)
    return 0


def _unavailable(result: Response | Failed) -> Unavailable:
    if isinstance(result, Failed):
        return Unavailable(str(result.kind), outcome_unknown=result.written)
    return Unavailable(f"status {result.status}")


class LogStore:
    """Reads and writes keyed topics of the platform's log.

    Offsets are positions: they contain the epoch of the store. A call that was sent in
    another epoch than it is answered in, or that an earlier one is answered for, counts
    as unavailable: its answer is about a log that is gone.

    Parameters
    ----------
    reads, writes : HttpClient
        Clients for long-polling reads, and for all other calls.
    address : str
        Address of the store.
    on_call : callable
        Called with the method and the type of the result of each call, and the bytes
        sent (path and body) and received (body), for counters.
    on_epoch : callable
        Called with the epoch when an answer shows that the store was restored from an
        older copy, before the result of that call is passed on.
    """

    def __init__(
        self,
        reads: HttpClient,
        writes: HttpClient,
        address: Address,
        on_call: Callable[[str, str, int, int], None] = lambda *counted: None,
        on_epoch: Callable[[StoreEpoch], None] = lambda epoch: None,
    ) -> None:
        self._reads = reads
        self._writes = writes
        self._address = address
        self._on_call = on_call
        self._on_epoch = on_epoch
        #: Known epoch of the store.
        self.epoch: StoreEpoch = 0

    def begin_epoch(self, epoch: StoreEpoch) -> None:
        """Record an epoch that was learned elsewhere; an earlier one is ignored."""
        self.epoch = max(self.epoch, epoch)

    def _outdated(
        self, sent_in: StoreEpoch, result: Response | Failed
    ) -> Unavailable | None:
        """Return what a call counts as if its answer is of another epoch, else none."""
        if isinstance(result, Failed):
            return None
        epoch = _epoch(result)
        if epoch > self.epoch:
            self.epoch = epoch
            self._on_epoch(epoch)
        if epoch == sent_in == self.epoch:
            return None
        reason = f"sent in store epoch {sent_in}, answered in {epoch}"
        return Unavailable(f"{reason}; present: {self.epoch}", outcome_unknown=True)

    def _count(
        self,
        call: str,
        answer: ReadResult | AppendResult,
        sent: int,
        reply: Response | Failed,
    ) -> None:
        received = 0 if isinstance(reply, Failed) else len(reply.body)
        self._on_call(call, type(answer).__name__, sent, received)

    def read_newest(
        self, topic: str, after: str | None, on_done: Callable[[ReadResult], None]
    ) -> None:
        """Read one page of the newest record of each key, from the key `after` on."""
        path = f"/log-newest?topic={topic}&part={PARTITION}"
        if after is not None:
            path += f"&after={quote(after, safe='')}"
        epoch = self.epoch

        def on_reply(result: Response | Failed) -> None:
            answer = self._outdated(epoch, result) or _newest_result(epoch, result)
            self._count("read_newest", answer, len(path), result)
            on_done(answer)

        self._writes.fetch(
            self._address, "GET", path, (), b"", ANSWER_TIMEOUT_S, on_reply
        )

    def read_tail(
        self,
        topic: str,
        offset: Offset,
        poll: LongPoll,
        on_done: Callable[[ReadResult], None],
    ) -> None:
        """Read the records from `offset` on.

        If there are none, the store holds the read as long as the poll says.
        """
        path = f"/log-read?topic={topic}&part={PARTITION}&from={offset_of(offset)}"
        path += f"&wait_ms={int(poll.hold_s * 1000)}"
        epoch = self.epoch

        def on_reply(result: Response | Failed) -> None:
            answer = self._outdated(epoch, result) or _tail_result(
                offset, epoch, result
            )
            self._count("read_tail", answer, len(path), result)
            on_done(answer)

        timeout_s = poll.hold_s + poll.answer_timeout_s
        self._reads.fetch(self._address, "GET", path, (), b"", timeout_s, on_reply)

    def append(
        self,
        topic: str,
        key: str,
        value: bytes,
        at: Offset | None,
        on_done: Callable[[AppendResult], None],
    ) -> None:
        """Append a record; if `at` is given, only if the log ends at that offset."""
        path = f"/log-append?topic={topic}&part={PARTITION}"
        if at is not None:
            path += f"&at={offset_of(at)}"
        epoch = self.epoch

        # Builds that cannot read packed values may run beside this one.
        body = _record(key, value)

        def on_reply(result: Response | Failed) -> None:
            answer = self._outdated(epoch, result) or _append_result(epoch, result)
            self._count("append", answer, len(path) + len(body), result)
            on_done(answer)

        self._writes.fetch(
            self._address, "POST", path, _OCTETS, body, ANSWER_TIMEOUT_S, on_reply
        )


def _newest_result(epoch: StoreEpoch, result: Response | Failed) -> ReadResult:
    if isinstance(result, Failed) or result.status != HTTPStatus.OK:
        return _unavailable(result)
    try:
        return _parse_newest(epoch, result.body)
    except (ValueError, binascii.Error) as error:
        return Unavailable(f"unreadable answer: {error}")


def _tail_result(
    offset: Offset, epoch: StoreEpoch, result: Response | Failed
) -> ReadResult:
    if isinstance(result, Failed):
        return _unavailable(result)
    if result.status == HTTPStatus.GONE:
        return Trimmed()
    if result.status != HTTPStatus.OK:
        return _unavailable(result)
    try:
        return _parse_tail(offset, epoch, result.body)
    except ValueError as error:
        return Unavailable(f"unreadable answer: {error}")


def _append_result(epoch: StoreEpoch, result: Response | Failed) -> AppendResult:
    if isinstance(result, Failed):
        return _unavailable(result)
    if result.status == HTTPStatus.PRECONDITION_FAILED:
        return Conflict()
    if result.status != HTTPStatus.OK:
        return _unavailable(result)
    try:
        offset = decode(_APPEND_DECODER, result.body).offset
        return Appended(position(epoch, offset))
    except ValueError as error:
        return Unavailable(f"unreadable answer: {error}", outcome_unknown=True)
