"""Cost of key tables by their number of spans, and of request frames between daemons.

For a table: bytes of its record, and times to find a key, move keys, encode and decode.
For a frame: its size compared to other encodings, and times to encode and decode it.
"""

from __future__ import annotations

import random
import time

import msgspec

from benchmarks.report import Table
from rhubarbhall.adapters.peer_frames import Forward
from rhubarbhall.adapters.peer_stream import FrameReader, FrameWriter
from rhubarbhall.core.ownership.key_table import KEY_COUNT, Claim, KeyTable
from rhubarbhall.core.ownership.records import decode_table, encode_table

#: Numbers of spans of the measured tables.
SPANS = (6, 60, 600, 6_000)
#: Calls per measurement of moving, encoding and decoding a table with six spans. Larger
#: tables get fewer calls, but at least 3.
ROUNDS = 200
_US_PER_S = 1e6


def _table(count: int) -> KeyTable:
    claims = [Claim(f"10.1.{i // 250}.{i % 250}:8300", "i-1@1") for i in range(count)]
    return KeyTable.divided(claims)


def _mean_us(action, rounds: int) -> float:
    """Return the mean time of one call of `action`, in microseconds."""
    started_at = time.perf_counter()
    for index in range(rounds):
        action(index)
    return (time.perf_counter() - started_at) / rounds * _US_PER_S


def run() -> list[Table]:
    """Return the tables of results."""
    header = ("spans", "bytes", "find us", "move us", "encode us", "decode us")
    table_costs = Table("Table of keys by spans", header)
    for count in SPANS:
        table = _table(count)
        data = encode_table(table)
        rounds = max(3, ROUNDS * 6 // count)
        claim = Claim("10.9.9.9:8300", "i-2@1")
        table_costs.add(
            count,
            len(data),
            _mean_us(lambda i, t=table: t.find(i * 37 % KEY_COUNT), 1000),
            _mean_us(lambda i, t=table, c=claim: t.moved([((5, 9), c)]), rounds),
            _mean_us(lambda i, t=table: encode_table(t), rounds),
            _mean_us(lambda i, d=data: decode_table(d), rounds),
        )
    return [table_costs, _frame_sizes(), _frame_times()]


def _forward(request_number: int, key: int) -> Forward:
    rng = random.Random(request_number)
    return Forward(
        number=request_number,
        service="huvo11a",
        route="r-zs989an",
        key=key,
        remaining_ms=950,
        target_latency_remaining_ms=350,
        is_retry=False,
        idempotent=True,
        priority=2,
        method="GET",
        path=f"/lepu270/{rng.getrandbits(16):x}",
        host="jepu9.example",
        id=f"{rng.getrandbits(64):016x}",
        headers=[],
        body=b"",
    )


def _frame_times() -> Table:
    """Measure the time to write and read one frame."""
    writer, reader = FrameWriter(), FrameReader()
    frames = [
        _forward(request_number, request_number % KEY_COUNT)
        for request_number in range(1000)
    ]
    data: list[bytes] = []
    table = Table("Time of one frame", ("step", "us"))
    write_us = _mean_us(lambda i: data.append(writer.encode(frames[i])), len(frames))
    table.add("write", write_us)
    table.add("read", _mean_us(lambda i: list(reader.feed(data[i])), len(frames)))
    return table


def _frame_sizes() -> Table:
    """Measure the bytes of a request between daemons, without its body and headers."""
    first, second = _forward(70_000, 40_000), _forward(70_001, 51_234)
    as_http = (
        "GET /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\n"
        "Request-Id: 9c41d07be2a35f68\r\nTimeout-Ms: 950\r\nShard-Key: 40000\r\n"
        "Caller-Service: huvo11a\r\nRoute: r-zs989an\r\nPriority: 2\r\n\r\n"
    )
    table = Table("Bytes of one request in one hop", ("form", "bytes"))
    writer = FrameWriter()
    table.add("MessagePack, not compressed", len(msgspec.msgpack.encode(second)))
    table.add("first frame of a connection", len(writer.encode(first)))
    table.add("a frame after another", len(writer.encode(second)))
    table.add("HTTP/1.1 with the same fields", len(as_http))
    return table
