"""Reports of how long work takes on the machines of targets."""

from __future__ import annotations

import random
import unittest

from rhubarbhall.core.traffic.eligibility import ANYWHERE
from rhubarbhall.core.traffic.requests import Load
from rhubarbhall.core.traffic.slowdown import HALF_LIFE_S, ReportedSlowdown
from tests.core.traffic.test_admission_queue import (
    ANSWER,
    REQUEST,
    AdmissionQueueCase,
)
from tests.core.traffic.test_target_chooser import (
    FAR,
    NEAR,
    OTHER_NEAR,
    SLOTS,
    WORK_S,
    TargetChooserCase,
)
from tests.core.traffic.test_warmup import Mesh, SimulatedTarget

SLOW = 3.0


class ReportedSlowdownTests(unittest.TestCase):
    def setUp(self):
        self.slowdown = ReportedSlowdown()

    def test_a_report_loses_weight_with_age(self):
        self.slowdown.record(5.0, SLOW)
        self.assertEqual(self.slowdown.present, SLOW)
        self.assertAlmostEqual(self.slowdown.at(5.0 + HALF_LIFE_S), 2.0)
        self.slowdown.see(60.0)
        self.assertAlmostEqual(self.slowdown.present, 1.0)

    def test_without_reports_or_after_another_run_began_the_speed_is_usual(self):
        self.assertEqual((self.slowdown.present, self.slowdown.at(1.0)), (None, 1.0))
        self.slowdown.record(5.0, SLOW)
        self.slowdown.reset()
        self.assertEqual((self.slowdown.present, self.slowdown.at(5.0)), (None, 1.0))


class SlowTargetQueueTests(AdmissionQueueCase):
    def setUp(self):
        super().setUp()
        self.learn("r", 0.1)

    def answer(self, now: float, took_s: float, slowdown: float | None) -> None:
        self.submit(now - took_s, "q", deadline=now + 9)
        self.queue.record_slowdown(now, self.ticket_of("q"), slowdown)
        self.finish(now, "q")

    # Guards against: durations that grow while the machine is slow, so that its
    # slowness counts twice.
    def test_the_mean_duration_is_that_at_the_usual_speed(self):
        for number in range(60):
            self.answer(1.0 + number, 0.1 * SLOW, SLOW)
        self.assertAlmostEqual(self.queue.durations.mean_s("r"), 0.1)
        self.assertAlmostEqual(self.queue.durations.longest_s("r"), 0.1 * SLOW)

    def test_waits_are_estimated_by_the_newest_report(self):
        for id in ("a", "b"):
            self.submit(1.0, id, deadline=9.0)
        usual_s = self.queue.expected_wait_s(1.0, REQUEST)
        self.queue.record_slowdown(1.0, self.ticket_of("a"), SLOW)
        wait_s = self.queue.expected_wait_s(1.0, REQUEST)
        self.assertAlmostEqual(wait_s, SLOW * usual_s)
        self.assertLess(self.queue.expected_wait_s(2.0, REQUEST), 1.3 * usual_s)
        self.assertEqual(self.queue.load.slowdown, SLOW)

    def test_an_answer_without_the_figure_says_nothing(self):
        self.answer(1.0, 0.1, None)
        self.assertIsNone(self.queue.load.slowdown)

    def test_a_request_that_a_slow_target_cannot_serve_in_time_is_refused(self):
        self.answer(1.0, 0.1, SLOW)
        self.submit(1.0, "late", deadline=1.2)
        self.assertIn("late", self.outcomes)
        self.submit(3.0, "in time", deadline=3.2)
        self.assertNotIn("in time", self.outcomes)


class SlowTargetChoiceTests(TargetChooserCase):
    def report(self, now: float, address: str, slowdown: float) -> None:
        self.chooser.record_load(now, address, Load(1, 0, SLOTS, None, slowdown))

    def choose_at(self, now: float) -> str | None:
        for address in (NEAR, OTHER_NEAR, FAR):
            self.liveness.record_contact(now, address)
        return self.chooser.choose(now, "ledger", "pull", (), 3.0, ANYWHERE)

    def test_a_slow_machine_is_avoided_and_used_again_once_it_is_usual(self):
        self.report(0.0, OTHER_NEAR, 1.5)
        self.report(0.0, NEAR, 1.0)
        self.assertEqual(self.choose_at(0.0), NEAR)
        self.report(0.1, NEAR, SLOW)
        self.assertEqual(self.choose_at(0.1), OTHER_NEAR)
        self.report(0.2, NEAR, 1.0)
        self.assertEqual(self.choose_at(0.2), NEAR)

    # Guards against: a target that was slow once and gets no request that could tell
    # that it is as fast as usual again.
    def test_an_old_report_no_longer_keeps_requests_away(self):
        self.report(0.0, NEAR, SLOW)
        self.report(0.0, OTHER_NEAR, 1.2)
        self.assertEqual(self.choose_at(0.0), OTHER_NEAR)
        self.report(2.0, OTHER_NEAR, 1.2)
        self.assertEqual(self.choose_at(2.0), NEAR)

    def test_durations_at_a_slow_machine_count_at_its_usual_speed(self):
        for number in range(50):
            self.report(number / 10, NEAR, SLOW)
            self.chooser.record_duration(NEAR, "pull", SLOW * WORK_S + 0.003)
        relative_duration = self.chooser.view(NEAR).relative_duration
        self.assertAlmostEqual(relative_duration, 1.0, places=1)


class UnevenTarget(SimulatedTarget):
    """A target that is slow for a fifth of the time and may report it."""

    PERIOD_S, SLOW_SHARE = 0.4, 0.2

    def __init__(self, mesh: Mesh, work_s: float, reports: bool, seed: str) -> None:
        super().__init__(mesh, work_s)
        self._usual_s, self._reports, self._seed = work_s, reports, seed
        self.queue.warmup.configure(0.0, None)

    def slowdown(self, now: float) -> float:
        rng = random.Random(f"{self._seed} {int(now / self.PERIOD_S)}")
        return SLOW if rng.random() < self.SLOW_SHARE else 1.0

    def send(self, ticket, request, now):
        self.arrived_at.append(now)

        def answer(later):
            if self._reports:
                self.queue.record_slowdown(later, ticket, self.slowdown(later))
            self.queue.finish(later, ticket, ANSWER)

        self._mesh.at(now + self._usual_s * self.slowdown(now), answer)


def uneven_mesh(reports: bool, seed: int) -> Mesh:
    mesh = Mesh(work_s=0.06)
    for number, address in enumerate(mesh.targets):
        mesh.targets[address] = UnevenTarget(mesh, 0.06, reports, f"{seed} {number}")
    for chooser in mesh.choosers:
        chooser.warmup_by_service = {}
    return mesh


class UnevenMeshTests(unittest.TestCase):
    """Load pattern: each machine is three times slower for a fifth of the time."""

    # Guards against: reports that send all daemons to the machine that was fast a
    # moment ago.
    def test_reports_shorten_answers_and_cause_no_herd(self):
        mean_s, crowded = {}, {}
        for reports in (False, True):
            took, waiting = [], []
            for seed in range(3):
                mesh = uneven_mesh(reports, seed)
                mesh.run(6.0, 190.0, seed)
                took += mesh.took
                waiting += mesh.waiting
            mean_s[reports] = sum(took) / len(took)
            crowded[reports] = sum(each > 3 for each in waiting) / len(waiting)
        self.assertLess(mean_s[True], mean_s[False])
        # More than three wait where several daemons have chosen the same target.
        self.assertLess(crowded[True], 1.1 * crowded[False])
