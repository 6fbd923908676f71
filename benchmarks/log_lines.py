"""Time and bytes of the log line of a request, if it is written and if dropped."""

from __future__ import annotations

import os
import time

import eliot

from benchmarks.report import Table
from rhubarbhall.adapters.log_output import LogOutput
from rhubarbhall.adapters.log_writer import write_log_event
from rhubarbhall.core.commands import LogEvent

LINES = 5_000
_US_PER_S = 1e6


def _request_event() -> LogEvent:
    """Return a log event as for an answered request."""
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
    return LogEvent(512, fields)


def _us_per_line(log: LogOutput) -> float:
    """Return the mean time to write a line to `log`, in microseconds."""
    eliot.add_destinations(log)
    started_at = time.perf_counter()
    for _ in range(LINES):
        write_log_event("sidecar-kattappana-1", _request_event())
    took_s = time.perf_counter() - started_at
    eliot.remove_destination(log)
    return took_s / LINES * _US_PER_S


def run() -> list[Table]:
    """Return the table of results."""
    read_end, write_end = os.pipe()
    size_output = LogOutput(write_end, time.monotonic)
    eliot.add_destinations(size_output)
    write_log_event("sidecar-kattappana-1", _request_event())
    eliot.remove_destination(size_output)
    size = len(os.read(read_end, 1 << 16))
    null = os.open(os.devnull, os.O_WRONLY)
    clock = iter(range(10 * LINES))
    table = Table("A log line on a request", ("line", "us", "bytes"))
    # The log limits the rate of lines. The first clock advances by 1 s each time, so
    # every line is written; the second stands still, so most lines are dropped.
    table.add(
        "written", _us_per_line(LogOutput(null, lambda: float(next(clock)))), size
    )
    table.add("dropped under load", _us_per_line(LogOutput(null, lambda: 0.0)), 0)
    for descriptor in (read_end, write_end, null):
        os.close(descriptor)
    return [table]
