"""Choice of the target for services that are not divided by key."""

from __future__ import annotations

import unittest

from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.ownership.directory import KeyDirectory
from rhubarbhall.core.ownership.entries import Entry
from rhubarbhall.core.ownership.liveness import Liveness
from rhubarbhall.core.ownership.records import (
    Member,
    TargetState,
    encode_member,
    member_key,
)
from rhubarbhall.core.traffic.eligibility import ANYWHERE
from rhubarbhall.core.traffic.far_targets import INITIAL_WINDOW
from rhubarbhall.core.traffic.requests import Load, NotRun
from rhubarbhall.core.traffic.target_chooser import (
    CROSS_REGION_HOP_S,
    MAX_BACKOFF_S,
    TargetChooser,
    TargetView,
)

LOCAL, NEAR, OTHER_NEAR, FAR = (f"10.0.0.{number}:1" for number in range(1, 5))
SLOTS = 10
WORK_S = 0.3


class FakeLocalTarget:
    """A local target that accepts work while `member` is set."""

    def __init__(self, service: str) -> None:
        self.service = service
        self.member: Member | None = None

    def candidate(self, now):
        return self.member


class TargetChooserCase(unittest.TestCase):
    def setUp(self):
        self.directory = KeyDirectory()
        self.liveness = Liveness(0.0)
        self.local_target = FakeLocalTarget("ledger")
        self.chooser = TargetChooser(
            LOCAL, "r1", self.directory, self.liveness, self.local_target
        )
        for address, region in ((NEAR, "r1"), (OTHER_NEAR, "r1"), (FAR, "r2")):
            member = Member("ledger", "d", region, "i@1", SLOTS, TargetState.READY)
            offset = len(self.directory.member_by_address)
            self.directory.apply(
                Entry(offset, member_key(address), encode_member(member))
            )
            self.liveness.record_contact(0.0, address)
        for address in (NEAR, OTHER_NEAR, FAR):
            hop_s = CROSS_REGION_HOP_S if address == FAR else 0.003
            for _ in range(50):
                self.chooser.record_duration(address, "pull", WORK_S + hop_s)

    def set_occupancy(self, address: str, per_slot: float) -> None:
        waiting = int(per_slot * SLOTS) - SLOTS
        self.chooser.view(address).load = Load(SLOTS, waiting, SLOTS)

    def choose(self, latency_budget_s: float, tried=()) -> str | None:
        return self.chooser.choose(
            0.0, "ledger", "pull", tried, latency_budget_s, ANYWHERE
        )


class MeteredLinkTests(TargetChooserCase):
    """Load pattern: long pulls with large answers while the local region is busy.

    Links between regions are slow and metered, so requests must not go to another
    region as long as the local one meets the target latency.
    """

    # Over half of the requests that crossed regions were refused there.
    def test_a_region_that_refuses_gets_no_more_while_the_local_one_responds(self):
        for address in (NEAR, OTHER_NEAR):
            self.set_occupancy(address, 3.0)
        for ticket in range(8):
            self.chooser.record_sent(0.1 * ticket, FAR, ticket, 0)
            late = NotRun(ErrorKind.OVERLOADED)
            self.chooser.far_targets.record_done(0.1 * ticket + 0.05, ticket, late)
            self.chooser.view(FAR).outstanding -= 1
        self.assertIn(self.choose(0.5), (NEAR, OTHER_NEAR))
        self.assertIsNone(self.choose(0.5, tried=(NEAR, OTHER_NEAR)))
        for _ in range(2):
            self.chooser._candidates(0.0, "ledger", ANYWHERE).local_region.pop()
        self.assertEqual(self.choose(0.5), FAR)

    # Owners of keys of a busy service must not cost the others their way out.
    def test_refusals_by_owners_of_keys_do_not_count(self):
        for ticket in range(8):
            self.chooser.record_sent(0.1 * ticket, FAR, ticket, 0, by_key=True)
            late = NotRun(ErrorKind.OVERLOADED)
            self.chooser.far_targets.record_done(0.1 * ticket + 0.05, ticket, late)
        self.assertEqual(self.chooser.far_targets.smallest_window(0.0), INITIAL_WINDOW)

    # Guards against: requests that fail as the number of failures of a target in a row
    # is too large for its pause.
    def test_a_target_may_fail_any_number_of_times(self):
        view = TargetView()
        for _ in range(1100):
            view.record_failure(0.0)
        self.assertEqual(view.avoided_until, MAX_BACKOFF_S)

    def test_local_region_is_chosen_while_it_meets_the_target_latency(self):
        for address in (NEAR, OTHER_NEAR):
            self.set_occupancy(address, 1.8)
        self.assertIn(self.choose(latency_budget_s=1.5), (NEAR, OTHER_NEAR))

    def test_fastest_target_of_the_local_region_is_chosen(self):
        self.set_occupancy(NEAR, 1.8)
        self.assertEqual(self.choose(latency_budget_s=1.5), OTHER_NEAR)

    def test_other_region_is_chosen_if_only_it_meets_the_target_latency(self):
        for address in (NEAR, OTHER_NEAR):
            self.set_occupancy(address, 3.0)
        self.assertEqual(self.choose(latency_budget_s=0.6), FAR)

    def test_fastest_target_is_chosen_if_none_meets_the_target_latency(self):
        for address in (NEAR, OTHER_NEAR, FAR):
            self.set_occupancy(address, 4.0)
        self.set_occupancy(NEAR, 3.0)
        self.assertEqual(self.choose(latency_budget_s=0.1), NEAR)

    def test_other_region_is_chosen_if_all_targets_of_the_local_one_failed(self):
        for address in (NEAR, OTHER_NEAR):
            self.chooser.view(address).record_failure(0.0)
        self.assertEqual(self.choose(latency_budget_s=1.5), FAR)

    def test_targets_tried_before_are_not_chosen(self):
        self.assertEqual(self.choose(1.5, tried=(NEAR, OTHER_NEAR)), FAR)
        self.assertIsNone(self.choose(1.5, tried=(NEAR, OTHER_NEAR, FAR)))


class RateLimitTests(TargetChooserCase):
    """Targets that state how many requests a second they take."""

    def test_a_target_that_takes_few_requests_is_left_to_others(self):
        self.chooser.view(NEAR).load = Load(1, 3, SLOTS, 4.0)
        self.set_occupancy(OTHER_NEAR, 1.0)
        self.assertEqual(self.choose(latency_budget_s=1.5), OTHER_NEAR)

    def test_a_rate_that_is_high_enough_makes_no_difference(self):
        self.chooser.view(NEAR).load = Load(1, 0, SLOTS, 400.0)
        self.set_occupancy(OTHER_NEAR, 1.0)
        self.assertEqual(self.choose(latency_budget_s=1.5), NEAR)


class LocalTargetTests(TargetChooserCase):
    """The local target is known by the process, not by the records of its address."""

    def record_local(self, service: str, state: TargetState) -> None:
        member = Member(service, "d", "r1", "i@1", SLOTS, state)
        entry = Entry(90, member_key(LOCAL), encode_member(member))
        self.directory.apply(entry)

    def hashed(self, service: str) -> set[str | None]:
        """Return the targets that the hashes of several requests choose."""
        return {
            self.chooser.choose_by_hash(0.0, service, bytes([number]), (), ANYWHERE)
            for number in range(30)
        }

    # Guards against: requests for the service that the address had before, which its
    # present target runs.
    def test_a_record_of_the_former_service_of_the_address_is_not_used(self):
        self.local_target.service = "stock"
        self.record_local("ledger", TargetState.READY)
        others = {NEAR, OTHER_NEAR, FAR}
        self.assertIsNone(self.choose(1.5, tried=others))
        self.assertEqual(self.hashed("ledger"), others)

    def test_a_target_is_used_before_its_record_is_written(self):
        self.local_target.service = "stock"
        self.local_target.member = Member("stock", "d", "r1", "i@2", SLOTS)
        self.record_local("ledger", TargetState.READY)
        chosen = self.chooser.choose(0.0, "stock", "pull", (), 1.5, ANYWHERE)
        self.assertEqual(chosen, LOCAL)
        self.assertEqual(self.hashed("stock"), {LOCAL})

    def test_a_target_that_takes_no_work_is_not_used_whatever_its_record_says(self):
        self.record_local("ledger", TargetState.READY)
        self.assertNotIn(LOCAL, self.hashed("ledger"))
