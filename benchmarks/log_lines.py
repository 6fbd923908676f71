"""What a log line on a request costs: time and bytes, written, left out, and none."""

from __future__ import annotations

import os
import time

import eliot

from benchmarks.report import Table
from rhubarbhall.adapters.journal import write_note
from rhubarbhall.adapters.log_output import LogOutput
from rhubarbhall.core.commands import Note

LINES = 5_000
_US_PER_S = 1e6


def _note() -> Note:
    fields = {
        "request": "9c41d07be2a35f68",
        "route": "r-zs989an",
        "service": "huvo11a",
        "outcome": "answered",
        "status": 200,
        "took_s": 0.1234,
        "tries": 1,
        "tried": ["10.1.0.8:8300"],
        "configuration": 5,
        "directory": 27,
        "directory_age_s": 0.5,
        "ordinary": True,
    }
    return Note(512, fields)


def _us_a_line(log: LogOutput) -> float:
    eliot.add_destinations(log)
    began = time.perf_counter()
    for _ in range(LINES):
        write_note("sidecar-kattappana-1", _note())
    took_s = time.perf_counter() - began
    eliot.remove_destination(log)
    return took_s / LINES * _US_PER_S


def run() -> list[Table]:
    """Return the table."""
    reading, writing = os.pipe()
    probe = LogOutput(writing, time.monotonic)
    eliot.add_destinations(probe)
    write_note("sidecar-kattappana-1", _note())
    eliot.remove_destination(probe)
    size = len(os.read(reading, 1 << 16))
    null = os.open(os.devnull, os.O_WRONLY)
    clock = iter(range(10 * LINES))
    table = Table("A log line on a request", ("line", "us", "bytes"))
    # A clock that runs leaves room for every line; one that stands, for few.
    table.add("written", _us_a_line(LogOutput(null, lambda: float(next(clock)))), size)
    table.add("left out under load", _us_a_line(LogOutput(null, lambda: 0.0)), 0)
    for descriptor in (reading, writing, null):
        os.close(descriptor)
    return [table]
