"""Outcomes and loads in frames between daemons of this and of earlier builds."""

from __future__ import annotations

import unittest

import msgspec

from rhubarbhall.adapters.peer_frames import RequestFailed
from rhubarbhall.adapters.peer_outcomes import decode_outcome, encode_outcome
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.traffic.requests import Load, NotRun

COLD = NotRun(ErrorKind.TARGET_COLD, 0.25)


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
