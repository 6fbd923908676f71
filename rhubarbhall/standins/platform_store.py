"""A stand-in for the platform's store, for tests.

It keeps topics of records with keys in memory, serves them over the HTTP interface of
the platform, and can inject the faults that `StoreFaults` lists. It can also be
restored from an older copy of itself.
"""

from __future__ import annotations

import base64
import copy
import struct
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from http import HTTPStatus
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

import msgspec

from rhubarbhall.adapters.callers import CallerServer
from rhubarbhall.caller_limits import CallerLimits
from rhubarbhall.core.requests import Response

if TYPE_CHECKING:
    import socket

    from rhubarbhall.core.requests import RawRequest
    from rhubarbhall.types import RequestId

#: Partitions of a topic; calls name one by its number, from 0.
PARTITION_COUNT = 8
#: Topics that daemons must not append to: only operators and targets write them.
RESERVED_TOPICS = ("keyed.op", "keyed.servers")
#: Limit of the keys in one answer to ``/log-newest``.
MAX_PAGE_ITEMS = 500
#: Header of each answer: one more than the number of times that the store was restored.
ERA_HEADER = "Store-Era"
#: Start of an answer to ``/log-read``: the end of the partition and its first offset.
_TAIL_HEADER = struct.Struct(">QQ")
#: Length of a record in bytes, written before each record in a body.
_RECORD_LENGTH = struct.Struct(">I")


@dataclass(slots=True)
class _Partition:
    """One partition of a topic: its records, and the state of its producers.

    Parameters
    ----------
    records : list of bytes
        All records ever written; the index of a record is its offset.
    first : int
        Lowest offset that ``/log-read`` serves; the records before it count as deleted.
    offset_by_key : dict of str to int
        Offset of the newest record of each key.
    epoch_by_producer : dict of str to int
        Highest epoch of each producer; appends with a lower epoch are fenced off.
    last_by_producer : dict of str to (int, int)
        Sequence number and offset of the last append of each producer.
    """

    records: list[bytes] = field(default_factory=list)
    first: int = 0
    offset_by_key: dict[str, int] = field(default_factory=dict)
    epoch_by_producer: dict[str, int] = field(default_factory=dict)
    last_by_producer: dict[str, tuple[int, int]] = field(default_factory=dict)

    @property
    def end(self) -> int:
        return len(self.records)


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """All that the store held at one moment, for `PlatformStore.restore`.

    Parameters
    ----------
    partitions : dict of (str, int) to _Partition
        Partitions by topic and number.
    """

    partitions: dict[tuple[str, int], _Partition]


@dataclass(slots=True)
class StoreFaults:
    """Faults that the store injects while they are set.

    Parameters
    ----------
    refuses : bool
        Whether every call is answered with status 503.
    unresponsive : bool
        Whether calls are neither carried out nor answered.
    loses_answers : bool
        Whether appends are carried out but not answered.
    """

    refuses: bool = False
    unresponsive: bool = False
    loses_answers: bool = False


@dataclass(slots=True)
class _WaitingRead:
    """A read at the end of a partition that is answered after the next append."""

    request_id: RequestId
    offset: int
    partition: _Partition


def _json(body: dict, status: int = HTTPStatus.OK) -> Response:
    headers = (("Content-Type", "application/json"),)
    return Response(int(status), headers, msgspec.json.encode(body))


def _key_of(record: bytes) -> str:
    return record[1 : 1 + record[0]].decode()


def _value_of(record: bytes) -> bytes:
    return record[1 + record[0] :]


def split_records(data: bytes) -> list[bytes]:
    """Return the records in the body of an append.

    Each record follows its length, an unsigned 32-bit big-endian number.

    Raises
    ------
    ValueError
        If the last record is shorter than its length says.
    """
    records, position = [], 0
    while position < len(data):
        (size,) = _RECORD_LENGTH.unpack_from(data, position)
        position += _RECORD_LENGTH.size
        record = data[position : position + size]
        if len(record) != size:
            raise ValueError(f"record truncated: got {len(record)} of {size} bytes")
        records.append(record)
        position += size
    return records


class PlatformStore:
    """The HTTP server of the store; it answers the calls that daemons make.

    Parameters
    ----------
    bind : (str, int)
        IP address and port to listen on.

    Attributes
    ----------
    faults : StoreFaults
        The faults to inject.
    calls : int
        Number of calls received so far.
    era : int
        One more than the number of times that the store was restored from a copy; each
        answer to a call names it.
    port : CallerServer
        The server; the owner of the store adds it to an event loop and closes it.
    """

    def __init__(self, bind: tuple[str, int]) -> None:
        self.faults = StoreFaults()
        self._partitions: dict[tuple[str, int], _Partition] = {}
        self._waiting: list[_WaitingRead] = []
        self._silent: set[socket.socket] = set()
        self.calls = 0
        self.era = 1
        self.port = CallerServer(
            bind, f"platform-store-{bind[1]}", self, CallerLimits(max_body=2 << 20)
        )
        self._handle_by_path: dict[str, Callable] = {
            "/log-append": self._append,
            "/log-read": self._read,
            "/log-newest": self._newest,
        }

    def take(self, request_id: RequestId, raw: RawRequest) -> None:
        """Handle a call; a read that waits for new records is answered later."""
        self.calls += 1
        is_silent = self.port.sock_of(request_id) in self._silent
        if self.faults.unresponsive or is_silent:
            return
        if self.faults.refuses:
            response = Response(HTTPStatus.SERVICE_UNAVAILABLE)
            self._answer(request_id, response)
            return
        url = urlsplit(raw.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        handle = self._handle_by_path.get(url.path)
        response = Response(HTTPStatus.NOT_FOUND)
        if handle is not None:
            response = handle(request_id, query, raw.body)
        if response is not None:
            self._answer(request_id, response)

    def caller_disconnected(self, request_id: RequestId) -> None:
        """Drop the waiting read of a caller that has disconnected."""
        self._waiting = [
            each for each in self._waiting if each.request_id != request_id
        ]

    def _answer(self, request_id: RequestId, response: Response) -> None:
        era = (ERA_HEADER, str(self.era))
        named = replace(response, headers=(*response.headers, era))
        self.port.answer(request_id, named)

    def _partition(self, query: dict[str, str]) -> _Partition:
        part = int(query["part"])
        if not 0 <= part < PARTITION_COUNT:
            raise ValueError(f"part {part}; allowed: 0 to {PARTITION_COUNT - 1}")
        return self._partitions.setdefault((query["topic"], part), _Partition())

    def _append(self, request_id, query, body) -> Response | None:
        if query["topic"] in RESERVED_TOPICS:
            return Response(HTTPStatus.FORBIDDEN)
        partition = self._partition(query)
        if "at" in query and int(query["at"]) != partition.end:
            return _json({"end": partition.end}, HTTPStatus.PRECONDITION_FAILED)
        if "producer" in query:
            response = self._check_producer(partition, query)
            if response is not None:
                return response
        offset = self._write(partition, split_records(body))
        if "producer" in query:
            sequence = int(query["sequence"])
            partition.last_by_producer[query["producer"]] = (sequence, offset)
        if self.faults.loses_answers:
            return None
        return _json({"offset": offset, "end": partition.end})

    def _check_producer(self, partition: _Partition, query) -> Response | None:
        """Return the answer to an append that must not be written, if it is one.

        An append with an old epoch or with a gap in its sequence numbers is refused. A
        repeat of the last append gets the answer of that append again, so that a retry
        writes nothing twice.
        """
        producer, epoch = query["producer"], int(query["epoch"])
        sequence = int(query["sequence"])
        highest_epoch = partition.epoch_by_producer.get(producer, -1)
        if epoch < highest_epoch:
            return _json({"why": "fenced"}, HTTPStatus.CONFLICT)
        partition.epoch_by_producer[producer] = epoch
        if epoch > highest_epoch or producer not in partition.last_by_producer:
            return None
        last_sequence, offset = partition.last_by_producer[producer]
        if sequence == last_sequence:
            return _json({"offset": offset, "end": partition.end})
        if sequence != last_sequence + 1:
            refusal = {"why": "seq", "sequence": last_sequence + 1}
            return _json(refusal, HTTPStatus.CONFLICT)
        return None

    def _write(self, partition: _Partition, records: list[bytes]) -> int:
        offset = partition.end
        for record in records:
            partition.offset_by_key[_key_of(record)] = partition.end
            partition.records.append(record)
        self._answer_waiting_reads(partition)
        return offset

    def _answer_waiting_reads(self, partition: _Partition) -> None:
        answerable = [each for each in self._waiting if each.partition is partition]
        self._waiting = [each for each in self._waiting if each not in answerable]
        for each in answerable:
            self._answer(each.request_id, self._tail(partition, each.offset))

    @staticmethod
    def _tail(partition: _Partition, offset: int) -> Response:
        body = b"".join(
            _RECORD_LENGTH.pack(len(record)) + record
            for record in partition.records[offset:]
        )
        header = _TAIL_HEADER.pack(partition.end, partition.first)
        return Response(HTTPStatus.OK, (), header + body)

    def _read(self, request_id, query, body) -> Response | None:
        partition = self._partition(query)
        offset = int(query["from"])
        if not partition.first <= offset <= partition.end:
            return _json({"first": partition.first}, HTTPStatus.GONE)
        if offset == partition.end and int(query.get("wait_ms", "0")) > 0:
            self._waiting.append(_WaitingRead(request_id, offset, partition))
            return None
        return self._tail(partition, offset)

    def _newest(self, request_id, query, body) -> Response:
        partition = self._partition(query)
        after = query.get("after", "")
        keys = sorted(key for key in partition.offset_by_key if key > after)
        items = []
        for key in keys[:MAX_PAGE_ITEMS]:
            offset = partition.offset_by_key[key]
            value = base64.b64encode(_value_of(partition.records[offset])).decode()
            items.append({"key": key, "value": value, "offset": offset})
        more = len(keys) > MAX_PAGE_ITEMS
        return _json({"items": items, "more": more, "end": partition.end})

    # Calls of tests, in place of operators and of the platform itself

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Write a record to any topic, as an operator may; return its offset."""
        name = key.encode()
        partition = self._partition({"topic": topic, "part": "0"})
        return self._write(partition, [bytes([len(name)]) + name + value])

    def silence_connections(self) -> None:
        """Neither carry out nor answer calls on the connections that are open now.

        Calls on later connections are answered.
        """
        self._silent = set(self.port.sockets)
        self._waiting.clear()

    def trim(self, topic: str) -> None:
        """Trim a topic: its present records can no longer be read by offset.

        The newest record of each key remains available through ``/log-newest``.
        """
        partition = self._partition({"topic": topic, "part": "0"})
        partition.first = partition.end

    def copy(self) -> StoreCopy:
        """Return a copy of all that the store holds now."""
        return StoreCopy(copy.deepcopy(self._partitions))

    def restore(self, older: StoreCopy) -> None:
        """Replace all that the store holds by a copy, and begin the next era.

        Records and states of producers since the copy are gone, and the offsets of
        those records are given out again. A store is stopped to be restored, which ends
        its connections; so the reads that wait get no answer, as their connections are
        closed.
        """
        self._partitions = copy.deepcopy(older.partitions)
        self.era += 1
        for each in list(self._waiting):
            sock = self.port.sock_of(each.request_id)
            if sock is not None:
                self.port.drop(sock)
        self._waiting.clear()
