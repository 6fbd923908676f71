"""What a restarted daemon takes over from its own record of the target."""

from __future__ import annotations

import unittest

from rhubarbhall.core.ownership.heartbeat import Heartbeat
from rhubarbhall.core.ownership.key_table import Claim, KeyTable
from rhubarbhall.core.ownership.records import (
    Member,
    TargetState,
    decode_member,
    encode_member,
)
from rhubarbhall.core.ownership.target_keys import (
    MAX_HOLD_S,
    TargetKeys,
    grant_end,
)

LOCAL, OTHER = "10.0.0.1:1", "10.0.0.2:1"


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
        recorded = decode_member(encode_member(gone)).member
        self.assertTrue(self.keys.is_departure_in(recorded))

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

    # Guards against: heartbeats of a former run that were late on their way and count
    # as those of a new one after a restart of this daemon, while the live run is silent
    # between two of its own.
    def test_heartbeats_of_a_former_run_do_not_follow_those_of_the_recorded_one(self):
        self.restore(run="i@5")
        for sequence in range(7, 17):
            self.now += 0.3
            self.assertFalse(self.beat(4, sequence))
        self.assertTrue(self.beat(5, 3))
        for sequence in range(17, 27):
            self.now += 0.3
            self.assertFalse(self.beat(4, sequence))
        self.assertEqual(self.keys.run, "i@5")

    def test_a_run_that_has_left_is_not_used_again_after_the_next_one_is_silent(self):
        self.beat(5, 1)
        self.keys.record_departure()
        self.beat(6, 1)
        for sequence in range(2, 8):
            self.now += MAX_HOLD_S
            self.assertFalse(self.beat(5, sequence))

    def test_records_of_earlier_versions_have_no_such_field(self):
        record = encode_member(Member("s", "d", "r", "i@5", 9, TargetState.LEAVING))
        shortened = b"\x96" + record[1:-1]
        self.assertTrue(decode_member(shortened).member.has_left_run)
        self.assertFalse(decode_member(shortened).member.leaves)


class EarlierGrantsTests(unittest.TestCase):
    """Two targets held the same keys after a restart and a late heartbeat (OWNER)."""

    STARTED_AT = 10.0

    def setUp(self):
        self.keys = TargetKeys(LOCAL, self.STARTED_AT)
        table = KeyTable.divided([Claim(LOCAL, "i@5")])
        self.table = table.moved([((0, 99), Claim(OTHER, "j@6"))])

    def beat(self, now: float, sequence: int, holds=(), born: int = 5) -> None:
        heartbeat = Heartbeat("i", born, sequence, TargetState.READY, 9, holds=holds)
        self.keys.record_heartbeat(now, heartbeat)

    def relinquished(self, now: float) -> list:
        return list(self.keys.relinquished(now, self.table))

    def test_a_late_first_heartbeat_frees_no_keys_that_the_target_may_still_hold(self):
        self.beat(self.STARTED_AT + 0.1, 3, holds=())
        end = grant_end(self.STARTED_AT, MAX_HOLD_S)
        self.assertEqual(self.relinquished(self.STARTED_AT + 0.2), [])
        self.assertEqual(self.relinquished(end - 0.01), [])
        self.assertEqual(self.relinquished(end + 0.01), [(0, 99)])

    def test_grants_of_this_process_are_no_reason_to_wait_longer(self):
        self.beat(self.STARTED_AT + 0.1, 3)
        now = grant_end(self.STARTED_AT, MAX_HOLD_S) - 0.2
        self.beat(now, 4, holds=((100, 65535, 1),))
        self.assertGreater(self.keys.grant(now, self.table, 10.0, 5).hold_s, 0.0)
        self.assertEqual(self.relinquished(now + 0.3), [(0, 99)])

    # Guards against: a late heartbeat of a former run, whose clock was ahead, that
    # frees the keys of the live one. Its sequence shows that it is no first heartbeat.
    def test_a_later_heartbeat_of_another_run_frees_nothing_before_the_grants_end(self):
        now = grant_end(self.STARTED_AT, MAX_HOLD_S) + 1.0
        self.beat(now, 3)
        self.assertGreater(self.keys.grant(now, self.table, 10.0, 5).hold_s, 0.0)
        table = self.table.moved([((200, 299), Claim(OTHER, "j@6"))])
        self.beat(now + 0.5, 7, born=9)
        end = grant_end(now, MAX_HOLD_S)
        self.assertEqual(list(self.keys.relinquished(now + 0.6, table)), [])
        self.assertEqual(list(self.keys.relinquished(end - 0.01, table)), [])
        freed = list(self.keys.relinquished(end + 0.01, table))
        self.assertEqual(freed, [(0, 99), (200, 299)])

    def test_a_new_run_of_the_target_holds_nothing_of_before(self):
        self.beat(self.STARTED_AT + 0.1, 3)
        self.beat(self.STARTED_AT + 0.5, 1, born=9)
        self.assertEqual(self.relinquished(self.STARTED_AT + 0.6), [(0, 99)])


if __name__ == "__main__":
    unittest.main()
