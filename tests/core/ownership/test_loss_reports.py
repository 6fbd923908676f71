"""Watched peers that do not respond are reported to all daemons, by one of them."""

from __future__ import annotations

import unittest

from rhubarbhall.core.ownership.directory import KeyDirectory
from rhubarbhall.core.ownership.entries import Entry
from rhubarbhall.core.ownership.liveness import SAME_REGION_TIMEOUT_S, Liveness
from rhubarbhall.core.ownership.loss_reports import DISTANCE_DELAY_S, LossReports
from rhubarbhall.core.ownership.records import (
    Member,
    TargetState,
    decode_loss,
    encode_loss,
    encode_member,
    lost_key,
    member_key,
)

LOCAL, NEXT, SECOND, FAR = (f"10.0.0.{number}:1" for number in range(1, 5))


class LossReportTests(unittest.TestCase):
    def setUp(self):
        self.directory = KeyDirectory()
        self.offset = 0
        for address in (LOCAL, NEXT, SECOND):
            self.put_member(address, "r")
        self.put_member(FAR, "other")
        self.liveness = Liveness(0.0)
        self.liveness.watch(0.0, (NEXT, SECOND, FAR))
        self.reports = LossReports(LOCAL, "r", self.directory, self.liveness)

    def put(self, key: str, value: bytes):
        self.offset += 1
        self.directory.apply(Entry(self.offset, key, value))

    def put_member(self, address: str, region: str):
        member = Member("s", "d", region, "i@1", 9, TargetState.READY)
        self.put(member_key(address), encode_member(member))

    def due_at(self, now: float, *silent: str) -> str | None:
        for address in (NEXT, SECOND, FAR):
            if address not in silent:
                self.liveness.record_contact(now, address)
        return self.reports.due(now)

    def test_a_silent_peer_is_reported_after_its_timeout(self):
        self.assertIsNone(self.due_at(SAME_REGION_TIMEOUT_S - 0.1, NEXT))
        self.assertEqual(self.due_at(SAME_REGION_TIMEOUT_S + 0.1, NEXT), NEXT)

    def test_a_watcher_at_a_greater_distance_waits_longer(self):
        now = SAME_REGION_TIMEOUT_S + 0.1
        self.assertIsNone(self.due_at(now, SECOND))
        self.assertEqual(self.due_at(now + DISTANCE_DELAY_S + 0.01, SECOND), SECOND)

    def test_a_reported_peer_is_not_reported_again(self):
        now = SAME_REGION_TIMEOUT_S + 0.1
        self.due_at(now, NEXT)
        self.put(lost_key(NEXT), b"1")
        self.assertIsNone(self.due_at(now, NEXT))
        self.assertTrue(self.directory.is_lost(NEXT))

    def test_a_peer_that_writes_its_record_again_is_not_lost_any_more(self):
        self.put(lost_key(NEXT), b"1")
        self.put_member(NEXT, "r")
        self.assertFalse(self.directory.is_lost(NEXT))

    # Guards against: a daemon that gets no requests and loses its keys, as a report on
    # an earlier process at its address was written late.
    def test_a_late_report_does_not_count_for_a_later_record(self):
        report = encode_loss(self.directory.member_position(NEXT))
        self.put_member(NEXT, "r")
        self.put(lost_key(NEXT), report)
        self.assertFalse(self.directory.is_lost(NEXT))
        self.put(lost_key(NEXT), encode_loss(self.directory.member_position(NEXT)))
        self.assertTrue(self.directory.is_lost(NEXT))

    def test_a_report_that_cannot_be_read_changes_nothing(self):
        self.put(lost_key(NEXT), encode_loss(self.directory.member_position(NEXT)))
        for value in (b"2", b"@", b"@-1", b"@1.5", b"@" + b"9" * 30, b"\xff"):
            with self.subTest(value=value), self.assertRaises(ValueError):
                decode_loss(value)
            self.put(lost_key(NEXT), value)
            self.assertTrue(self.directory.is_lost(NEXT))
        self.put(lost_key(NEXT), b"")
        self.assertFalse(self.directory.is_lost(NEXT))

    # Earlier builds write that, and count any text as a report.
    def test_reports_of_earlier_builds_count_until_the_next_record(self):
        self.assertIsNone(decode_loss(b"1"))
        self.put(lost_key(NEXT), b"1")
        self.assertTrue(self.directory.is_lost(NEXT))

    def test_a_daemon_that_is_cut_off_reports_nobody(self):
        now = SAME_REGION_TIMEOUT_S + 4.0
        self.assertIsNone(self.due_at(now, NEXT, SECOND, FAR))

    def test_peers_of_other_regions_are_left_to_their_watchers(self):
        self.assertIsNone(self.due_at(SAME_REGION_TIMEOUT_S + 4.0, FAR))
