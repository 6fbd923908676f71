"""Which target is taken where any of a service will do."""

from __future__ import annotations

import unittest

from rhubarbhall.core.ownership.directory import Directory, Entry
from rhubarbhall.core.ownership.liveness import Liveness
from rhubarbhall.core.ownership.records import (
    Member,
    TargetState,
    encode_member,
    member_key,
)
from rhubarbhall.core.traffic.choosing import REGION_HOP_S, TargetChooser
from rhubarbhall.core.traffic.requests import Load

ME, NEAR, OTHER_NEAR, FAR = (f"10.0.0.{number}:1" for number in range(1, 5))
SLOTS = 10
WORK_S = 0.3


class ChoosingCase(unittest.TestCase):
    def setUp(self):
        self.directory = Directory()
        self.liveness = Liveness(0.0)
        self.chooser = TargetChooser(ME, "d", "r1", self.directory, self.liveness)
        for address, region in ((NEAR, "r1"), (OTHER_NEAR, "r1"), (FAR, "r2")):
            member = Member("ledger", "d", region, "i@1", SLOTS, TargetState.READY)
            offset = len(self.directory.member_by_address)
            self.directory.apply(
                Entry(offset, member_key(address), encode_member(member))
            )
            self.liveness.note_heard(0.0, address)
        for address in (NEAR, OTHER_NEAR, FAR):
            hop_s = REGION_HOP_S if address == FAR else 0.003
            for _ in range(50):
                self.chooser.note_duration(address, "pull", WORK_S + hop_s)

    def busy(self, address: str, per_slot: float) -> None:
        waiting = int(per_slot * SLOTS) - SLOTS
        self.chooser.view(address).load = Load(SLOTS, waiting, SLOTS)

    def choose(self, in_time_s: float, tried=()) -> str | None:
        return self.chooser.choose(0.0, "ledger", "pull", tried, in_time_s)


class MeteredLinkTests(ChoosingCase):
    """Pattern: long pulls with large answers while the own region is busy."""

    def test_the_own_region_is_taken_while_it_answers_in_time(self):
        for address in (NEAR, OTHER_NEAR):
            self.busy(address, 1.8)
        self.assertIn(self.choose(in_time_s=1.5), (NEAR, OTHER_NEAR))

    def test_of_the_own_region_the_first_to_answer_is_taken(self):
        self.busy(NEAR, 1.8)
        self.assertEqual(self.choose(in_time_s=1.5), OTHER_NEAR)

    def test_another_region_is_taken_if_only_that_answers_in_time(self):
        for address in (NEAR, OTHER_NEAR):
            self.busy(address, 3.0)
        self.assertEqual(self.choose(in_time_s=0.6), FAR)

    def test_if_nobody_answers_in_time_the_first_to_answer_is_taken(self):
        for address in (NEAR, OTHER_NEAR, FAR):
            self.busy(address, 4.0)
        self.busy(NEAR, 3.0)
        self.assertEqual(self.choose(in_time_s=0.1), NEAR)

    def test_those_that_failed_are_no_reason_to_stay(self):
        for address in (NEAR, OTHER_NEAR):
            self.chooser.view(address).note_failure(0.0)
        self.assertEqual(self.choose(in_time_s=1.5), FAR)

    def test_those_tried_already_are_left_out(self):
        self.assertEqual(self.choose(1.5, tried=(NEAR, OTHER_NEAR)), FAR)
        self.assertIsNone(self.choose(1.5, tried=(NEAR, OTHER_NEAR, FAR)))
