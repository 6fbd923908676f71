"""Golden files of whole sessions: the records and decisions, in order.

``make golden`` renews the files; review what changed before it is committed.
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
PLACES = [
    ("idukki", "i1"),
    ("idukki", "i2"),
    ("wayanad", "w1"),
    ("kottayam", "k1"),
]


class Recorder:
    """Writes down what happens in a mesh, with virtual times."""

    def __init__(self, mesh: Mesh) -> None:
        self._mesh = mesh
        self._records_seen = 0
        self._notes_seen: dict[str, int] = {}
        self.lines: list[str] = []

    def say(self, text: str) -> None:
        self._write(f"-- {text}")

    def _write(self, text: str) -> None:
        self.lines.append(f"{self._mesh.now:7.2f}  {text}")

    def look(self) -> None:
        for stored in self._mesh.log.stored[self._records_seen :]:
            record = msgspec.json.encode(open_envelope(stored.envelope)).decode()
            self._write(f"log {stored.offset}: {record[:240]}")
        self._records_seen = len(self._mesh.log.stored)
        for host in self._mesh.hosts:
            seen = self._notes_seen.get(host.name, 0)
            for note in host.notes[seen:]:
                self._write(f"{host.name}: event {note.code} {_fields(note)}")
            self._notes_seen[host.name] = len(host.notes)

    def run(self, seconds: float) -> None:
        self._mesh.run(seconds, self.look)


def _fields(note: commands.Note) -> str:
    return " ".join(f"{name}={value}" for name, value in note.fields.items())


def start_and_apply(mesh: Mesh, tell: Recorder) -> None:
    tell.say("four members start")
    tell.run(1.0)
    tell.say("an operator applies an intent")
    mesh.publish(INTENT, 0, "op/1")
    tell.run(6.0)


def _quietly(mesh: Mesh, tell: Recorder) -> None:
    """Bring a mesh up without writing it down."""
    mesh.publish(INTENT, 0, "op/1")
    tell.run(8.0)
    tell.lines.clear()


def takeover(mesh: Mesh, tell: Recorder) -> None:
    _quietly(mesh, tell)
    tell.say("vm1 is lost")
    mesh.lose(mesh.hosts[1])
    tell.run(3.0)
    tell.say("vm1 is restarted in place")
    mesh.start(mesh.hosts[1])
    tell.run(4.0)


def drain(mesh: Mesh, tell: Recorder) -> None:
    _quietly(mesh, tell)
    tell.say("vm2 gets SIGTERM with a request under way")
    host = mesh.hosts[2]
    host.target.work_s = 0.5
    ref = sorted(host.node.ownership.served, key=str)[0]
    key = _key_in(ref.index)
    request = mesh.call(host, key, "POST")
    tell.run(0.05)
    mesh._step(host, events.StopRequested())
    tell.run(3.0)
    tell.say(f"the request got {host.answers[request].status}")


def _key_in(index: int) -> str:
    slices = INTENT["services"][SERVICE]["slices"]
    return next(f"k{n}" for n in range(999) if slice_of_key(f"k{n}", slices) == index)


def outage(mesh: Mesh, tell: Recorder) -> None:
    _quietly(mesh, tell)
    tell.say("the log goes down")
    mesh.log.up = False
    tell.run(3.0)
    tell.say("vm3 is lost")
    mesh.lose(mesh.hosts[3])
    tell.run(3.0)
    tell.say(f"slices served: {len(mesh.servers())} of 12")
    tell.say("the log comes back")
    mesh.log.up = True
    tell.run(3.0)
    tell.say(f"slices served: {len(mesh.servers())} of 12")


class SessionTests(unittest.TestCase):
    maxDiff = None

    def check(self, name: str, session: Callable[[Mesh, Recorder], None]) -> None:
        mesh = Mesh(PLACES, seed=11)
        tell = Recorder(mesh)
        session(mesh, tell)
        text = "\n".join(tell.lines) + "\n"
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
