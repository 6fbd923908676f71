"""A stand-in of the platform's store: keyed topics with one partition each."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from review.standins2.http import Message, Server, encode_answer

#: Time that an append takes, in seconds.
APPEND_S = 0.004
_TAIL_HEAD = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")


@dataclass
class _Topic:
    records: list[bytes] = field(default_factory=list)
    newest: dict[str, int] = field(default_factory=dict)
    grown: asyncio.Event = field(default_factory=asyncio.Event)


def key_of(record: bytes) -> str:
    """Return the key of a record's content."""
    return record[1 : 1 + record[0]].decode()


def _json(status: int, body: dict) -> bytes:
    return encode_answer(
        status, {"Content-Type": "application/json"}, json.dumps(body).encode()
    )


class Store:
    """The store; all answers come one round trip late.

    Parameters
    ----------
    round_trip_s : float
        Network time of a call, in seconds.
    late_s : callable
        Takes the topic and the record of an append without a condition; returns the
        time after which it is carried out without an answer, or none for a sound call.
    """

    def __init__(
        self,
        round_trip_s: float,
        late_s: Callable[[str, bytes], float | None] = lambda topic, record: None,
    ) -> None:
        self._round_trip_s = round_trip_s
        self._late_s = late_s
        self._topics: dict[str, _Topic] = {}
        self.server = Server(self._handle)
        self.writes = 0

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Write a record, as the operator does; return its offset."""
        name = key.encode()
        return self._append(self._topic(topic), bytes([len(name)]) + name + value)

    @staticmethod
    def _append(topic: _Topic, record: bytes) -> int:
        offset = len(topic.records)
        topic.records.append(record)
        topic.newest[key_of(record)] = offset
        topic.grown.set()
        topic.grown = asyncio.Event()
        return offset

    async def _handle(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> bytes | None:
        url = urlsplit(request.first[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        await asyncio.sleep(self._round_trip_s / 2)
        topic = self._topic(query["topic"])
        if url.path == "/log-append":
            answer = await self._on_append(query, topic, request.body)
        elif url.path == "/log-read":
            answer = await self._on_read(query, topic)
        else:
            answer = self._on_newest(query, topic)
        await asyncio.sleep(self._round_trip_s / 2)
        return answer

    async def _on_append(self, query: dict, topic: _Topic, body: bytes) -> bytes | None:
        self.writes += 1
        record = body[_LENGTH.size :]
        late_s = None if "at" in query else self._late_s(query["topic"], record)
        if late_s is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(late_s, self._append, topic, record)
            # The connection returns nothing further.
            await asyncio.sleep(3600)
            return None
        await asyncio.sleep(APPEND_S)
        if "at" in query and int(query["at"]) != len(topic.records):
            return _json(412, {"end": len(topic.records)})
        offset = self._append(topic, record)
        return _json(200, {"offset": offset, "end": offset + 1})

    async def _on_read(self, query: dict, topic: _Topic) -> bytes:
        start, wait_ms = int(query["from"]), int(query.get("wait_ms", "0"))
        if start >= len(topic.records) and wait_ms:
            try:
                await asyncio.wait_for(topic.grown.wait(), wait_ms / 1000)
            except TimeoutError:
                pass
        parts = [_TAIL_HEAD.pack(len(topic.records), 0)]
        for record in topic.records[start:]:
            parts += (_LENGTH.pack(len(record)), record)
        return encode_answer(200, {}, b"".join(parts))

    @staticmethod
    def _on_newest(query: dict, topic: _Topic) -> bytes:
        keys = sorted(key for key in topic.newest if key > query.get("after", ""))
        items = []
        for key in keys[:500]:
            record = topic.records[topic.newest[key]]
            value = base64.b64encode(record[1 + record[0] :]).decode()
            items.append({"key": key, "value": value, "offset": topic.newest[key]})
        more = len(keys) > 500
        return _json(200, {"items": items, "more": more, "end": len(topic.records)})
