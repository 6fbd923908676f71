"""What a restarted daemon takes over from its own record of the target."""

from __future__ import annotations

import unittest

from rhubarbhall.core.ownership.records import (
    Member,
    TargetState,
    decode_member,
    encode_member,
)
from rhubarbhall.core.ownership.target_keys import MAX_HOLD_S, Heartbeat, TargetKeys

LOCAL = "10.0.0.1:1"


class RestoredTargetTests(unittest.TestCase):
    def setUp(self):
        self.now = 10.0
        self.keys = TargetKeys(LOCAL, self.now)

    def beat(self, born: int, sequence: int, state=TargetState.READY) -> bool:
        heartbeat = Heartbeat("i", born, sequence, state, 9)
        if not self.keys.accepts(self.now, heartbeat):
            return False
        self.keys.record_heartbeat(self.now, heartbeat)
        return True

    def restore(self, run="i@5", state=TargetState.READY, leaves=False) -> None:
        self.keys.restore(Member("s", "d", "r", run, 9, state, leaves))

    def member(self) -> Member | None:
        return self.keys.member(self.now, "s", "d", "r")

    # The record of a target that had left was replaced by one that named no run.
    def test_the_record_of_a_departure_stays_while_nothing_is_heard_of_the_target(self):
        self.restore(state=TargetState.LEAVING)
        self.assertIsNone(self.member())
        self.now += MAX_HOLD_S + 0.5
        gone = Member("s", "d", "r", "i@5", 1, TargetState.GONE, True)
        self.assertEqual(self.member(), gone)
        self.assertTrue(self.keys.is_departure_in(decode_member(encode_member(gone))))

    def test_a_departure_stays_known_after_the_silence_that_follows_it(self):
        self.beat(5, 1)
        self.keys.record_departure()
        self.assertIs(self.member().state, TargetState.LEAVING)
        self.now += MAX_HOLD_S + 0.5
        self.assertIs(self.member().state, TargetState.GONE)
        self.assertTrue(self.member().leaves)

    def test_a_late_heartbeat_of_a_run_that_has_left_does_not_make_it_ready(self):
        self.restore(state=TargetState.GONE, leaves=True)
        self.assertTrue(self.beat(5, 1))
        self.assertIs(self.keys.state(self.now), TargetState.LEAVING)

    def test_the_next_run_is_ready_at_once(self):
        self.restore(state=TargetState.LEAVING)
        self.assertTrue(self.beat(6, 1))
        self.assertIs(self.keys.state(self.now), TargetState.READY)
        self.assertFalse(self.member().leaves)

    def test_a_run_that_was_only_silent_is_used_again(self):
        self.restore(state=TargetState.GONE)
        self.assertTrue(self.beat(5, 40))
        self.assertIs(self.keys.state(self.now), TargetState.READY)

    def test_a_heartbeat_of_an_earlier_run_that_came_before_the_record_was_read(self):
        self.assertTrue(self.beat(4, 30))
        self.restore(run="i@5")
        self.assertIs(self.keys.state(self.now), TargetState.GONE)
        self.assertEqual(self.keys.run, "")
        self.assertTrue(self.beat(5, 2))

    def test_a_heartbeat_that_came_first_and_is_of_a_later_run_stays(self):
        self.assertTrue(self.beat(6, 1))
        self.restore(run="i@5", state=TargetState.LEAVING)
        self.assertIs(self.keys.state(self.now), TargetState.READY)
        self.assertEqual(self.keys.run, "i@6")

    def test_records_of_earlier_versions_have_no_such_field(self):
        record = encode_member(Member("s", "d", "r", "i@5", 9, TargetState.LEAVING))
        shortened = b"\x96" + record[1:-1]
        self.assertTrue(decode_member(shortened).has_left_run)
        self.assertFalse(decode_member(shortened).leaves)


if __name__ == "__main__":
    unittest.main()
