"""A stand-in of the platform's store: keyed topics with one partition, in memory."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from harness.http import Message, Server, response

_JSON = {"Content-Type": "application/json"}
_PAGE = 500


@dataclass
class _Topic:
    records: list[bytes] = field(default_factory=list)
    offset_by_key: dict[str, int] = field(default_factory=dict)
    grown: asyncio.Event = field(default_factory=asyncio.Event)

    def write(self, records: list[bytes]) -> int:
        offset = len(self.records)
        for record in records:
            key = record[1 : 1 + record[0]].decode()
            self.offset_by_key[key] = len(self.records)
            self.records.append(record)
        self.grown.set()
        self.grown = asyncio.Event()
        return offset


class Store:
    """Answers appends, reads and reads of the newest records."""

    def __init__(self) -> None:
        self._topics: dict[str, _Topic] = {}
        self._server = Server(self._handle)

    async def listen(self, host: str, port: int) -> None:
        """Listen on an address."""
        await self._server.listen(host, port)

    def close(self) -> None:
        """End the store."""
        self._server.close()

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record to any topic, as operators do."""
        name = key.encode()
        self._topic(topic).write([bytes([len(name)]) + name + value])

    def newest(self, topic: str, key: str) -> bytes | None:
        """Return the newest value of a key; none without one."""
        known = self._topic(topic)
        if key not in known.offset_by_key:
            return None
        record = known.records[known.offset_by_key[key]]
        return record[1 + record[0] :]

    async def _handle(self, message: Message) -> bytes:
        url = urlsplit(message.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = self._topic(query["topic"])
        if url.path == "/log-append":
            return self._append(topic, query, message.body)
        if url.path == "/log-read":
            return await self._read(topic, query)
        return self._newest(topic, query.get("after", ""))

    @staticmethod
    def _append(topic: _Topic, query: dict[str, str], body: bytes) -> bytes:
        end = len(topic.records)
        if int(query.get("at", end)) != end:
            return response(412, _JSON, json.dumps({"end": end}).encode())
        records, position = [], 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + size])
            position += 4 + size
        offset = topic.write(records)
        answer = {"offset": offset, "end": len(topic.records)}
        return response(200, _JSON, json.dumps(answer).encode())

    @staticmethod
    async def _read(topic: _Topic, query: dict[str, str]) -> bytes:
        offset = int(query["from"])
        wait_s = int(query.get("wait_ms", "0")) / 1000
        if offset >= len(topic.records) and wait_s:
            try:
                await asyncio.wait_for(topic.grown.wait(), wait_s)
            except TimeoutError:
                pass
        body = struct.pack(">QQ", len(topic.records), 0)
        for record in topic.records[offset:]:
            body += struct.pack(">I", len(record)) + record
        return response(200, {}, body)

    @staticmethod
    def _newest(topic: _Topic, after: str) -> bytes:
        keys = sorted(key for key in topic.offset_by_key if key > after)
        items = []
        for key in keys[:_PAGE]:
            record = topic.records[topic.offset_by_key[key]]
            value = base64.b64encode(record[1 + record[0] :]).decode()
            items.append(
                {"key": key, "value": value, "offset": topic.offset_by_key[key]}
            )
        answer = {
            "items": items,
            "more": len(keys) > _PAGE,
            "end": len(topic.records),
        }
        return response(200, _JSON, json.dumps(answer).encode())
