"""Golden files of whole sessions: the records and log events of a mesh, in order.

``make golden`` renews the files; review the differences before committing them.
"""

from __future__ import annotations

import os
import unittest
from collections.abc import Callable
from pathlib import Path

import msgspec

from rhubarbhall.core import commands, events
from rhubarbhall.core.records import open_envelope
from rhubarbhall.core.slices import slice_of_key
from tests.fakes import INTENT, SERVICE, Mesh

SESSIONS = Path(__file__).parent / "sessions"
RENEW = os.environ.get("RHUBARB_RENEW_GOLDEN") == "1"
#: Region and domain of each VM.
PLACES = [
    ("idukki", "i1"),
    ("idukki", "i2"),
    ("wayanad", "w1"),
    ("kottayam", "k1"),
]


class Recorder:
    """Records what happens in a mesh as lines of text with virtual times."""

    def __init__(self, mesh: Mesh) -> None:
        self._mesh = mesh
        self._records_seen = 0
        self._log_events_seen: dict[str, int] = {}
        self.lines: list[str] = []

    def annotate(self, text: str) -> None:
        """Add a line that describes the next step of the session."""
        self._write(f"-- {text}")

    def _write(self, text: str) -> None:
        self.lines.append(f"{self._mesh.now:7.2f}  {text}")

    def record_new(self) -> None:
        """Record the records of the log and the log events since the last call."""
        for stored in self._mesh.log.stored[self._records_seen :]:
            record = msgspec.json.encode(open_envelope(stored.envelope)).decode()
            self._write(f"log {stored.offset}: {record[:240]}")
        self._records_seen = len(self._mesh.log.stored)
        for host in self._mesh.hosts:
            seen = self._log_events_seen.get(host.name, 0)
            for log_event in host.log_events[seen:]:
                self._write(f"{host.name}: event {log_event.code} {_fields(log_event)}")
            self._log_events_seen[host.name] = len(host.log_events)

    def run(self, seconds: float) -> None:
        self._mesh.run(seconds, self.record_new)


def _fields(log_event: commands.LogEvent) -> str:
    return " ".join(f"{name}={value}" for name, value in log_event.fields.items())


def start_and_apply(mesh: Mesh, recorder: Recorder) -> None:
    recorder.annotate("four members start")
    recorder.run(1.0)
    recorder.annotate("an operator applies an intent")
    mesh.publish(INTENT, 0, "op/1")
    recorder.run(6.0)


def _start_unrecorded(mesh: Mesh, recorder: Recorder) -> None:
    """Start a mesh and apply an intent; leave that out of the golden file."""
    mesh.publish(INTENT, 0, "op/1")
    recorder.run(8.0)
    recorder.lines.clear()


def takeover(mesh: Mesh, recorder: Recorder) -> None:
    _start_unrecorded(mesh, recorder)
    recorder.annotate("vm1 is lost")
    mesh.lose(mesh.hosts[1])
    recorder.run(3.0)
    recorder.annotate("vm1 is restarted in place")
    mesh.start(mesh.hosts[1])
    recorder.run(4.0)


def drain(mesh: Mesh, recorder: Recorder) -> None:
    _start_unrecorded(mesh, recorder)
    recorder.annotate("vm2 gets SIGTERM with a request under way")
    host = mesh.hosts[2]
    host.target.work_s = 0.5
    ref = sorted(host.node.ownership.served, key=str)[0]
    key = _key_in(ref.index)
    request = mesh.call(host, key, "POST")
    recorder.run(0.05)
    mesh._step(host, events.StopRequested())
    recorder.run(3.0)
    recorder.annotate(f"the request got {host.answers[request].status}")


def _key_in(index: int) -> str:
    slices = INTENT["services"][SERVICE]["slices"]
    return next(f"k{n}" for n in range(999) if slice_of_key(f"k{n}", slices) == index)


def outage(mesh: Mesh, recorder: Recorder) -> None:
    _start_unrecorded(mesh, recorder)
    recorder.annotate("the log goes down")
    mesh.log.up = False
    recorder.run(3.0)
    recorder.annotate("vm3 is lost")
    mesh.lose(mesh.hosts[3])
    recorder.run(3.0)
    recorder.annotate(f"slices served: {len(mesh.members_by_slice())} of 12")
    recorder.annotate("the log comes back")
    mesh.log.up = True
    recorder.run(3.0)
    recorder.annotate(f"slices served: {len(mesh.members_by_slice())} of 12")


class SessionTests(unittest.TestCase):
    maxDiff = None

    def check(self, name: str, session: Callable[[Mesh, Recorder], None]) -> None:
        mesh = Mesh(PLACES, seed=11)
        recorder = Recorder(mesh)
        session(mesh, recorder)
        text = "\n".join(recorder.lines) + "\n"
        path = SESSIONS / f"{name}.txt"
        if RENEW:
            path.write_text(text, encoding="utf-8")
        self.assertEqual(path.read_text(encoding="utf-8"), text)

    def test_start_and_apply(self):
        self.check("start_and_apply", start_and_apply)

    def test_takeover(self):
        self.check("takeover", takeover)

    def test_drain(self):
        self.check("drain", drain)

    def test_outage(self):
        self.check("outage", outage)
