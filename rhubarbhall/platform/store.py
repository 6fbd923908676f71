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
from rhubarbhall.core.ownership.directory import Entry
from rhubarbhall.core.ownership.store_port import (
    Appended,
    AppendResult,
    Conflict,
    NewestPage,
    ReadResult,
    Tail,
    Trimmed,
    Unavailable,
)
from rhubarbhall.platform.names import PARTITION

if TYPE_CHECKING:
    from rhubarbhall.adapters.client import HttpClient
    from rhubarbhall.core.requests import Response
    from rhubarbhall.types import Address, Offset, Seconds

#: Timeout for an answer, in seconds, beyond the time that the store may hold a read.
ANSWER_TIMEOUT_S = 2.5
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


def _entry(offset: Offset, content: bytes) -> Entry | None:
    """Decode a record; return none if its content is not a key and a value."""
    if not content or len(content) < 1 + content[0]:
        return None
    end = 1 + content[0]
    try:
        key = content[1:end].decode()
    except UnicodeDecodeError:
        return None
    return Entry(offset, key, content[end:])


def _parse_tail(offset: Offset, data: bytes) -> Tail:
    if len(data) < _TAIL_HEAD.size:
        raise ValueError(
            f"answer of {len(data)} bytes; allowed: at least the 16 bytes of the head"
        )
    end, _first = _TAIL_HEAD.unpack_from(data)
    contents = list(_records(data[_TAIL_HEAD.size :]))
    entries = (_entry(offset + index, each) for index, each in enumerate(contents))
    known = tuple(entry for entry in entries if entry is not None)
    return Tail(known, offset + len(contents), end)


def _parse_newest(data: bytes) -> NewestPage:
    reply = _NEWEST_DECODER.decode(data)
    entries = tuple(
        Entry(item.offset, item.key, base64.b64decode(item.value, validate=True))
        for item in reply.items
    )
    after = entries[-1].key if reply.more and entries else None
    return NewestPage(entries, after, reply.end)


def _unavailable(result: Response | Failed) -> Unavailable:
    if isinstance(result, Failed):
        return Unavailable(str(result.kind), outcome_unknown=result.written)
    return Unavailable(f"status {result.status}")


class LogStore:
    """Reads and writes keyed topics of the platform's log.

    Parameters
    ----------
    reads, writes : HttpClient
        Clients for long-polling reads, and for all other calls.
    address : str
        Address of the store.
    on_call : callable
        Called with the method and the type of the result of each call, for counters.
    """

    def __init__(
        self,
        reads: HttpClient,
        writes: HttpClient,
        address: Address,
        on_call: Callable[[str, str], None] = lambda call, result: None,
    ) -> None:
        self._reads = reads
        self._writes = writes
        self._address = address
        self._on_call = on_call

    def read_newest(
        self, topic: str, after: str | None, on_done: Callable[[ReadResult], None]
    ) -> None:
        """Read one page of the newest record of each key, from the key `after` on."""
        path = f"/log-newest?topic={topic}&part={PARTITION}"
        if after is not None:
            path += f"&after={quote(after, safe='')}"

        def on_reply(result: Response | Failed) -> None:
            answer = _newest_result(result)
            self._on_call("read_newest", type(answer).__name__)
            on_done(answer)

        self._writes.fetch(
            self._address, "GET", path, (), b"", ANSWER_TIMEOUT_S, on_reply
        )

    def read_tail(
        self,
        topic: str,
        offset: Offset,
        wait_s: Seconds,
        on_done: Callable[[ReadResult], None],
    ) -> None:
        """Read the records from `offset` on.

        If there are none, the store holds the read for up to `wait_s` seconds.
        """
        path = f"/log-read?topic={topic}&part={PARTITION}&from={offset}"
        path += f"&wait_ms={int(wait_s * 1000)}"

        def on_reply(result: Response | Failed) -> None:
            answer = _tail_result(offset, result)
            self._on_call("read_tail", type(answer).__name__)
            on_done(answer)

        timeout_s = wait_s + ANSWER_TIMEOUT_S
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
            path += f"&at={at}"

        def on_reply(result: Response | Failed) -> None:
            answer = _append_result(result)
            self._on_call("append", type(answer).__name__)
            on_done(answer)

        body = _record(key, value)
        self._writes.fetch(
            self._address, "POST", path, _OCTETS, body, ANSWER_TIMEOUT_S, on_reply
        )


def _newest_result(result: Response | Failed) -> ReadResult:
    if isinstance(result, Failed) or result.status != HTTPStatus.OK:
        return _unavailable(result)
    try:
        return _parse_newest(result.body)
    except (ValueError, binascii.Error) as error:
        return Unavailable(f"unreadable answer: {error}")


def _tail_result(offset: Offset, result: Response | Failed) -> ReadResult:
    if isinstance(result, Failed):
        return _unavailable(result)
    if result.status == HTTPStatus.GONE:
        return Trimmed()
    if result.status != HTTPStatus.OK:
        return _unavailable(result)
    try:
        return _parse_tail(offset, result.body)
    except ValueError as error:
        return Unavailable(f"unreadable answer: {error}")


def _append_result(result: Response | Failed) -> AppendResult:
    if isinstance(result, Failed):
        return _unavailable(result)
    if result.status == HTTPStatus.PRECONDITION_FAILED:
        return Conflict()
    if result.status != HTTPStatus.OK:
        return _unavailable(result)
    try:
        return Appended(_APPEND_DECODER.decode(result.body).offset)
    except ValueError as error:
        return Unavailable(f"unreadable answer: {error}", outcome_unknown=True)
