"""Cost of recognizing requests under which targets have ended."""

from __future__ import annotations

import time
import tracemalloc
from dataclasses import replace

import msgspec

from benchmarks.report import Table
from rhubarbhall.core.traffic.crash_suspects import (
    MAX_SUSPECTS,
    MAX_UPDATES,
    CrashSuspects,
    fingerprint_of,
)
from rhubarbhall.core.traffic.requests import RoutedRequest
from rhubarbhall.programs.router_suspects import suspects_push

BODY_SIZES = (0, 300, 64 << 10, 1 << 20)
ROUNDS = 50
REQUEST = RoutedRequest(
    id="9c41d07be2a35f68",
    service="huvo11a",
    route="r-zs989an",
    key=None,
    method="POST",
    path="/lepu270/2f/9c41d07be2a35f68",
    host="jepu9.example",
    headers=(),
    body=b"",
    caller="huvo11a",
    idempotent=False,
    priority=1,
    deadline=1.0,
    target_latency_deadline=0.4,
)
_US_PER_S = 1e6


def _us_per_fingerprint(size: int) -> float:
    request = replace(REQUEST, body=bytes(size))
    started_at = time.perf_counter()
    for _ in range(ROUNDS):
        request.fingerprint = b""
        fingerprint_of(request)
    return (time.perf_counter() - started_at) / ROUNDS * _US_PER_S


def _full_suspects() -> CrashSuspects:
    suspects = CrashSuspects()
    for number in range(MAX_SUSPECTS):
        mark = number.to_bytes(16, "big")
        suspects.record_end(0.0, mark, f"i-{number}@1790166755863", False)
    return suspects


def run() -> list[Table]:
    """Return the tables of results."""
    times = Table("Fingerprint of a request", ("bytes of the body", "us"))
    for size in BODY_SIZES:
        times.add(size, round(_us_per_fingerprint(size), 1))
    tracemalloc.start()
    suspects = _full_suspects()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    message = msgspec.msgpack.encode(suspects_push(suspects.take_updates(1.0)))
    sizes = Table("Crash suspects", ("what", "bytes"))
    sizes.add(f"{MAX_SUSPECTS} suspects in memory", held)
    sizes.add(f"message with {MAX_UPDATES} of them", len(message))
    return [times, sizes]
