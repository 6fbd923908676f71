"""Pace of a cold target: the bucket, the admission queue and the choice of targets."""

from __future__ import annotations

import heapq
import itertools
import random
import unittest
from dataclasses import replace

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
from rhubarbhall.core.traffic.admission_queue import AdmissionQueue
from rhubarbhall.core.traffic.crash_suspects import CrashSuspects
from rhubarbhall.core.traffic.eligibility import ANYWHERE
from rhubarbhall.core.traffic.requests import Answered, Load, NotRun
from rhubarbhall.core.traffic.routes import ServiceRules
from rhubarbhall.core.traffic.target_chooser import TargetChooser
from rhubarbhall.core.traffic.warmup import MAX_WAIT_S, ColdBounds, Warmup
from tests.core.traffic.test_admission_queue import (
    ANSWER,
    REQUEST,
    AdmissionQueueCase,
    FakeKeys,
)
from tests.core.traffic.test_target_chooser import (
    FAR,
    NEAR,
    OTHER_NEAR,
    SLOTS,
    FakeLocalTarget,
    TargetChooserCase,
)

RATE = 6.5
RULES = ServiceRules("ledger", warmup_s=3.0, warmup_per_s=RATE)
RUN, NEXT_RUN = "i@1", "i@2"


def bound(rate: float, bounds: ColdBounds = ColdBounds()) -> float:
    return rate * bounds.factor + bounds.slack


def most_in_a_second(sent: list[float]) -> int:
    return max((sum(t <= at < t + 1.0 for at in sent) for t in sent), default=0)


class WarmupTests(unittest.TestCase):
    def setUp(self):
        self.warmup = Warmup()
        self.warmup.configure(0.0, RATE)

    def flood(self, begin: float, end: float, most: int = 50) -> list[float]:
        """Send whenever the pace allows, each 10 ms, at most `most` at a time."""
        sent, now = [], begin
        while now < end:
            for _ in range(most):
                if self.warmup.wait_s(now) > 0:
                    break
                self.warmup.record_sent(now)
                sent.append(now)
            now = round(now + 0.01, 6)
        return sent

    def test_the_pace_is_used_in_full_and_any_second_stays_clearly_below_the_bound(
        self,
    ):
        for rate in (0.3, 1.0, RATE, 40.0, 300.0):
            for bounds in (ColdBounds(), ColdBounds(1.0, 1.0)):
                with self.subTest(rate=rate, bounds=bounds):
                    self.warmup = Warmup(bounds)
                    self.warmup.configure(0.0, rate)
                    sent = self.flood(0.0, 6.0)
                    most = max(1.0, 0.85 * bound(rate, bounds))
                    self.assertLessEqual(most_in_a_second(sent), most)
                    used = min(rate, 0.7 * bound(rate, bounds))
                    self.assertGreaterEqual(len(sent), int(5.5 * used) - 2)

    # Guards against: requests of the time before the target became cold that fill the
    # second together with those sent at its pace.
    def test_a_target_that_becomes_cold_again_in_mid_traffic_keeps_the_bound(self):
        self.warmup.record_left(0.0, RUN, 0.0)
        before = self.flood(0.0, 2.0, most=1)
        self.warmup.record_left(2.0, RUN, 3.0)
        after = self.flood(2.0, 5.0)
        self.assertEqual(len(before), 200)
        self.assertGreater(after[0], 2.8)
        self.assertLessEqual(most_in_a_second(after), 0.85 * bound(RATE))

    def test_changes_between_cold_and_warm_keep_the_bound_in_each_cold_second(self):
        for seed in range(40):
            rng = random.Random(seed)
            self.warmup = Warmup()
            self.warmup.configure(0.0, RATE)
            sent, now, warm_until = [], 0.0, 0.0
            while now < 15.0:
                if rng.random() < 0.02:
                    self.warmup.record_left(now, RUN, rng.choice((0.0, 0.4, 2.0)))
                if rng.random() < 0.01:
                    self.warmup.record_unknown(now, RUN)
                if not self.warmup.is_cold(now):
                    warm_until = now
                for _ in range(rng.randrange(4)):
                    if self.warmup.wait_s(now) <= 0:
                        self.warmup.record_sent(now)
                        sent.append(now)
                now += 0.01
                in_second = sum(now - 1.0 < at for at in sent)
                if now > warm_until + 1.0:
                    self.assertLessEqual(in_second, 0.85 * bound(RATE), seed)

    def test_it_is_warm_once_the_stated_time_has_passed_here(self):
        self.warmup.record_left(5.0, RUN, 2.0)
        self.assertTrue(self.warmup.is_cold(6.9))
        self.assertFalse(self.warmup.is_cold(7.0))
        self.assertIsNone(self.warmup.rate)

    def test_after_a_restart_of_the_daemon_it_is_cold_until_a_heartbeat(self):
        self.assertTrue(self.warmup.is_cold(60.0))
        self.assertEqual(self.warmup.rate, RATE)
        self.warmup.record_left(60.0, RUN, 0.0)
        self.assertFalse(self.warmup.is_cold(60.0))

    # Guards against: a heartbeat that the ended run had sent, read after the refused
    # connection, makes the next run count as warm.
    def test_a_late_heartbeat_of_the_ended_run_is_not_believed(self):
        self.warmup.record_left(0.0, RUN, 0.0)
        self.warmup.record_unknown(5.0, RUN)
        self.warmup.record_left(5.1, RUN, 0.0)
        self.assertTrue(self.warmup.is_cold(5.2))
        self.warmup.record_left(5.2, NEXT_RUN, 0.0)
        self.assertFalse(self.warmup.is_cold(5.2))

    def test_a_run_that_goes_on_after_all_is_believed_again(self):
        self.warmup.record_unknown(5.0, RUN)
        self.warmup.record_left(6.0, RUN, 0.0)
        self.assertFalse(self.warmup.is_cold(6.0))

    def test_without_a_configured_rate_nothing_waits(self):
        for rate in (None, 0.0):
            warmup = Warmup()
            warmup.configure(0.0, rate)
            warmup.record_left(0.0, RUN, 9.0)
            self.assertEqual(warmup.wait_s(1.0, ahead=500), 0.0)
            self.assertFalse(warmup.is_cold(1.0) or warmup.is_too_long(9.0))

    def test_idle_time_saves_up_no_more_than_a_small_burst(self):
        self.assertEqual(self.warmup.wait_s(100.0, ahead=1), 0.0)
        self.assertGreater(self.warmup.wait_s(100.0, ahead=2), 0.0)


class ColdQueueTests(AdmissionQueueCase):
    """A target whose service states what it accepts while it is cold."""

    SLOTS = 8

    def setUp(self):
        super().setUp()
        self.queue.warmup.configure(0.0, RATE)
        self.learn("r", 0.02)

    def warm(self, now: float) -> None:
        self.queue.warmup.record_left(now, RUN, 0.0)

    def refused(self) -> dict[str, NotRun]:
        return {i: each for i, each in self.outcomes.items() if each != ANSWER}

    def test_a_request_beyond_the_pace_is_refused_at_once_as_not_run(self):
        for number in range(5):
            self.submit(0.0, f"q{number}")
        kinds = {refusal.kind for refusal in self.refused().values()}
        self.assertEqual(kinds, {ErrorKind.TARGET_COLD})
        self.assertEqual(len(self.refused()) + len(self.sent_ids()) + 1, 5)
        self.assertEqual(self.queue.load.rate, RATE)

    def test_the_refusal_says_when_the_next_token_comes(self):
        self.keys.held = {7}
        for number in range(3):
            self.submit(0.0, f"q{number}", key=7)
        self.assertAlmostEqual(self.refused()["q1"].retry_after_s, 2 / RATE)
        self.queue.expire(1 / RATE)
        self.assertEqual(self.sent_ids(), ["q0"])

    def test_requests_that_wait_when_the_target_turns_cold_are_refused(self):
        self.warm(0.0)
        for number in range(self.SLOTS + 6):
            self.submit(0.1, f"q{number}")
        self.assertEqual(len(self.sent_ids()), self.SLOTS)
        self.queue.warmup.record_left(0.2, RUN, 3.0)
        self.queue.expire(0.2)
        self.assertGreaterEqual(len(self.refused()), 5)
        self.assertLess(len(self.queue._waiting), 2)

    def test_requests_that_waited_for_their_key_get_no_more_than_the_pace(self):
        self.keys.awaited = {7}
        for number in range(6):
            self.submit(0.0, f"q{number}", key=7)
        self.keys.held = {7}
        self.queue.on_keys_changed(0.0)
        self.assertLessEqual(len(self.sent_ids()), 2)
        self.assertGreaterEqual(len(self.refused()), 3)

    def test_the_lower_of_pace_and_stated_rate_counts(self):
        self.queue.rate_limit.record_answer(0.0, 0.0, 2.0)
        self.assertEqual(self.queue.load.rate, 2.0)
        self.queue.rate_limit.record_answer(0.0, 0.0, 20.0)
        self.assertEqual(self.queue.load.rate, RATE)
        self.assertGreater(self.queue.expected_wait_s(0.0, REQUEST), 0.9 / RATE)

    def test_a_warm_target_is_not_limited(self):
        self.warm(0.0)
        for number in range(self.SLOTS):
            self.submit(0.1, f"q{number}")
        self.assertEqual(len(self.sent_ids()), self.SLOTS)
        self.assertIsNone(self.queue.load.rate)


class NewRunTests(TargetChooserCase):
    """Records that show another run of a target before its load is known."""

    def setUp(self):
        super().setUp()
        self.chooser.warmup_by_service = {"ledger": RULES}

    def set_occupancy(self, address: str, per_slot: float) -> None:
        load = Load(SLOTS, int(per_slot * SLOTS) - SLOTS, SLOTS)
        self.chooser.record_load(0.0, address, load)

    def restart(self, address: str) -> None:
        member = Member("ledger", "d", "r1", NEXT_RUN, SLOTS, TargetState.READY)
        entry = Entry(90, member_key(address), encode_member(member))
        self.directory.apply(entry)

    def test_a_target_with_a_new_run_counts_as_cold_until_it_reports(self):
        self.set_occupancy(OTHER_NEAR, 0.9)
        self.assertEqual(self.choose(1.5), NEAR)
        self.chooser.view(NEAR).outstanding = 1
        self.restart(NEAR)
        self.assertEqual(self.choose(1.5), OTHER_NEAR)
        self.chooser.record_load(0.0, NEAR, Load(1, 0, SLOTS))
        self.assertEqual(self.choose(1.5), NEAR)

    def test_the_first_run_that_is_seen_does_not(self):
        self.restart(NEAR)
        self.set_occupancy(OTHER_NEAR, 0.9)
        self.chooser.view(NEAR).outstanding = 1
        self.assertEqual(self.choose(1.5), NEAR)

    def test_a_cold_target_that_refused_is_left_to_others_for_a_while(self):
        self.chooser.record_load(0.0, NEAR, Load(0, 0, SLOTS, RATE))
        self.chooser.record_cold_refusal(0.0, NEAR)
        self.assertEqual(self.choose(1.5), OTHER_NEAR)
        self.assertEqual(self.choose(1.5, tried=(OTHER_NEAR, FAR)), NEAR)
        self.chooser.record_load(0.0, NEAR, Load(0, 0, SLOTS))
        self.set_occupancy(OTHER_NEAR, 0.9)
        self.assertEqual(self.choose(1.5), NEAR)


class SimulatedTarget:
    """Works on each request for a fixed time, and keeps when requests arrived."""

    def __init__(self, mesh: Mesh, work_s: float) -> None:
        self._mesh = mesh
        self._work_s = work_s
        self.arrived_at: list[float] = []
        self.queue = AdmissionQueue("ledger", self, FakeKeys(), CrashSuspects())
        self.queue.open(3)
        self.queue.rate_limit.is_known = True

    def send(self, ticket, request, now):
        self.arrived_at.append(now)
        self._mesh.at(
            now + self._work_s, lambda later: self.queue.finish(later, ticket, ANSWER)
        )

    def cancel(self, ticket):
        pass


class Mesh:
    """Choosers of several daemons in front of the same targets, on a virtual clock."""

    TARGETS, DAEMONS, HOP_S = 8, 10, 0.004

    def __init__(self, work_s: float = 0.04) -> None:
        self.now = 0.0
        self._due: list = []
        self._order = itertools.count()
        self._offset = 0
        self.served = self.refused = self.lost = 0
        self.took: list[float] = []
        self.waiting: list[int] = []
        self.directory, liveness = KeyDirectory(), Liveness(0.0)
        self.targets: dict[str, SimulatedTarget] = {}
        for number in range(self.TARGETS):
            address = f"10.0.1.{number}:1"
            self.targets[address] = SimulatedTarget(self, work_s)
            self.targets[address].queue.warmup.configure(0.0, RATE)
            self.targets[address].queue.warmup.record_left(0.0, RUN, 0.0)
            self.write_member(address, RUN)
        self.choosers = []
        for number in range(self.DAEMONS):
            local = FakeLocalTarget("other")
            address = f"10.0.0.{number}:1"
            chooser = TargetChooser(address, "r1", self.directory, liveness, local)
            chooser.warmup_by_service = {"ledger": RULES}
            self.choosers.append(chooser)

    def write_member(self, address: str, run: str) -> None:
        member = Member("ledger", "d", "r1", run, 3, TargetState.READY)
        offset = self._offset = self._offset + 1
        entry = Entry(offset, member_key(address), encode_member(member))
        self.directory.apply(entry)

    def at(self, due: float, action) -> None:
        heapq.heappush(self._due, (due, next(self._order), action))

    def run(self, until: float, per_s: float, seed: int) -> None:
        rng = random.Random(seed)
        arrives_at = self.now
        while True:
            arrives_at += rng.expovariate(per_s)
            if arrives_at >= until:
                break
            chooser = rng.choice(self.choosers)
            self.at(arrives_at, lambda now, chooser=chooser: self.enter(now, chooser))
        for tick in range(int(self.now * 10) + 1, int(until * 10) + 1):
            self.at(tick / 10, self.expire)
        while self._due and self._due[0][0] < until:
            self.now, _, action = heapq.heappop(self._due)
            action(self.now)

    def expire(self, now: float) -> None:
        for target in self.targets.values():
            target.queue.expire(now)

    def enter(self, now: float, chooser: TargetChooser, tried=()) -> None:
        address = chooser.choose(now, "ledger", "r", tried, 0.4, ANYWHERE)
        if address is None or len(tried) == 4:
            self.lost += 1
            return
        chooser.view(address).outstanding += 1
        queue = self.targets[address].queue
        request = replace(
            REQUEST, service="ledger", deadline=now + 2, target_latency_deadline=now + 1
        )

        def reply(outcome):
            load = queue.load
            done = lambda later: self.leave(  # noqa: E731
                later, chooser, address, (*tried, address), outcome, load, now
            )
            self.at(self.now + self.HOP_S / 2, done)

        self.at(now + self.HOP_S / 2, lambda later: queue.submit(later, request, reply))

    def leave(self, now, chooser, address, tried, outcome, load, sent_at) -> None:
        chooser.view(address).outstanding -= 1
        self.waiting.append(load.waiting)
        chooser.record_load(now, address, load)
        if isinstance(outcome, Answered):
            chooser.view(address).record_success()
            chooser.record_duration(address, "r", now - sent_at)
            self.served += 1
            self.took.append(now - sent_at)
            return
        self.refused += 1
        chooser.record_cold_refusal(now, address)
        self.enter(now, chooser, tried)


class ColdDomainTests(unittest.TestCase):
    """Load pattern: half of the targets come back cold while demand goes on."""

    # Guards against: all daemons that send to the targets that just came back.
    def test_a_domain_that_comes_back_cold_gets_its_pace_without_a_herd(self):
        for seed in range(3):
            mesh = Mesh()
            mesh.run(2.0, 200.0, seed)
            cold = list(mesh.targets)[: Mesh.TARGETS // 2]
            for address in cold:
                mesh.write_member(address, NEXT_RUN)
                queue = mesh.targets[address].queue
                queue.warmup.record_unknown(2.0, RUN)
                queue.warmup.record_left(2.0, NEXT_RUN, 3.0)
            before, refused_before = mesh.served, mesh.refused
            mesh.run(5.0, 200.0, seed + 50)
            sent = [
                [at for at in mesh.targets[address].arrived_at if 2.0 <= at < 5.0]
                for address in cold
            ]
            for each in sent:
                self.assertLessEqual(most_in_a_second(each), 0.85 * bound(RATE))
            served = mesh.served - before
            self.assertGreater(served, 0.93 * 3 * 200.0)
            self.assertLess(mesh.refused - refused_before, 0.35 * served)
            self.assertEqual(mesh.lost, 0)
            mesh.run(7.0, 200.0, seed + 90)
            warm = [
                sum(at >= 5.5 for at in mesh.targets[each].arrived_at) for each in cold
            ]
            self.assertGreater(min(warm), 1.5 * RATE)

    # Guards against: requests beyond what all targets can do that break the pace.
    def test_the_pace_holds_while_demand_is_beyond_all_targets(self):
        mesh = Mesh()
        for address, target in mesh.targets.items():
            mesh.write_member(address, NEXT_RUN)
            target.queue.warmup.record_unknown(0.0, RUN)
        mesh.run(2.0, 250.0, 1)
        for target in mesh.targets.values():
            self.assertLessEqual(
                most_in_a_second(target.arrived_at), 0.85 * bound(RATE)
            )
            self.assertGreater(len(target.arrived_at), 0.8 * 2 * RATE)


class WaitTests(unittest.TestCase):
    def test_no_request_waits_long_for_its_token(self):
        for rate in (0.5, RATE, 200.0):
            warmup = Warmup()
            warmup.configure(0.0, rate)
            self.assertFalse(warmup.is_too_long(min(MAX_WAIT_S, 1 / rate)))
            self.assertTrue(warmup.is_too_long(min(MAX_WAIT_S, 2 / rate) + 0.01))
