"""Outcomes and loads in frames between daemons of this and of earlier builds."""

from __future__ import annotations

import unittest

import msgspec

from rhubarbhall.adapters.peer_frames import Reply, RequestFailed
from rhubarbhall.adapters.peer_outcomes import (
    decode_load,
    decode_outcome,
    encode_outcome,
)
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.traffic.requests import Answered, Load, NotRun
from rhubarbhall.core.traffic.slowdown import MIN_SLOWDOWN

COLD = NotRun(ErrorKind.TARGET_COLD, 0.25)


def sent(frame):
    """Return a frame as the daemon that receives it decodes it."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(frame), type=type(frame))


class LoadTests(unittest.TestCase):
    OUTCOMES = (Answered(200, (), b"ok"), COLD)

    def test_the_load_travels_with_each_outcome(self):
        for outcome in self.OUTCOMES:
            for slowdown in (None, 1.0, 3.12):
                load = Load(1, 2, 3, 6.5, slowdown)
                frame = sent(encode_outcome(7, outcome, load))
                self.assertEqual(decode_load(frame), load)

    def test_daemons_of_earlier_builds_report_no_slowdown(self):
        reply = msgspec.msgpack.encode([2, 7, 200, [], b"ok", 1, 2, 3, None])
        frame = msgspec.msgpack.decode(reply, type=Reply)
        self.assertEqual(decode_load(frame), Load(1, 2, 3))

    def test_a_slowdown_beyond_all_bounds_is_bounded(self):
        frame = Reply(7, 200, [], b"", 1, 2, 3, None, -5)
        self.assertEqual(decode_load(frame).slowdown, MIN_SLOWDOWN)


class ColdRefusalTests(unittest.TestCase):
    def frame(self) -> list:
        encoded = msgspec.msgpack.encode(encode_outcome(7, COLD, Load(1, 2, 3, 6.5)))
        return msgspec.msgpack.decode(encoded)

    def decode(self, fields: list):
        encoded = msgspec.msgpack.encode(fields)
        return decode_outcome(msgspec.msgpack.decode(encoded, type=RequestFailed))

    def test_the_kind_reaches_daemons_of_this_build(self):
        self.assertEqual(self.decode(self.frame()), COLD)

    # Guards against: a daemon of an earlier build that cannot read the refusal and
    # waits for the outcome until the deadline.
    def test_daemons_of_earlier_builds_get_a_kind_that_they_know(self):
        tag, number, kind, not_run, *_ = self.frame()
        self.assertEqual((kind, not_run), (ErrorKind.OVERLOADED, True))

    def test_frames_of_earlier_builds_are_read(self):
        fields = [3, 7, "overloaded", True, 250, 1, 2, 3, None]
        refusal = NotRun(ErrorKind.OVERLOADED, 0.25)
        self.assertEqual(self.decode(fields), refusal)
