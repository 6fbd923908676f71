"""How much work moves to another region: load patterns of two regions, simulated."""

from __future__ import annotations

import heapq
import itertools
import math
import random
import unittest
from collections import Counter
from collections.abc import Callable

from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.traffic.far_targets import (
    INITIAL_WINDOW,
    MIN_WINDOW,
    PROBE_INTERVAL_S,
    REPORT_TIMEOUT_S,
    FarTargets,
    weight_of,
)
from rhubarbhall.core.traffic.requests import Answered, Load, NotRun

TARGETS, SLOTS, WORK_S, HOP_S = 8, 3, 0.08, 0.04
#: Requests that a target takes, of which all but `SLOTS` wait.
ROOM = 2 * SLOTS
#: Requests a second that a region can serve.
CAPACITY = TARGETS * SLOTS / WORK_S
OVERLOADED = NotRun(ErrorKind.OVERLOADED)


class Regions:
    """Two regions. What the targets of one cannot take at once may go to the other."""

    def __init__(self, demand: Callable[[float, int], float], limited: bool = True):
        self.rng, self.limited = random.Random(4), limited
        self.running = Counter()
        self.far = [[FarTargets() for _ in range(TARGETS)] for _ in range(2)]
        self.counts, self.crossed_by_second = Counter(), Counter()
        self._queue, self._order = [], itertools.count()
        self._demand = demand

    def run(self, end: float) -> Counter:
        for region in range(2):
            self._arrive(0.0, region)
        while self._queue[0][0] < end:
            now, _, action = heapq.heappop(self._queue)
            action(now)
        return self.counts

    def _after(self, at: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._queue, (at, next(self._order), action))

    def _arrive(self, now: float, region: int) -> None:
        pause_s = self.rng.expovariate(max(1.0, self._demand(now, region)))
        self._after(now + pause_s, lambda later: self._arrive(later, region))
        self.counts["asked"] += 1
        free = [n for n in range(TARGETS) if self.running[region, n] < SLOTS]
        if free:
            self._start(now, region, self.rng.choice(free), lambda later: None)
            return
        far, name = self.rng.choice(self.far[region]), f"r{1 - region}"
        targets = [
            n
            for n in range(TARGETS)
            if not self.limited or far.may_send(now, name, str(n), 1.0)
        ]
        least = min(range(TARGETS), key=lambda n: self.running[region, n])
        if targets:
            self._cross(now, far, region, self.rng.choice(targets))
        elif self.running[region, least] < ROOM:
            self._start(now, region, least, lambda later: None)

    def _cross(self, now: float, far: FarTargets, region: int, target: int) -> None:
        ticket, other = next(self._order), 1 - region
        self.counts["crossed"] += 1
        self.crossed_by_second[int(now)] += 1
        far.record_sent(now, f"r{other}", str(target), ticket, 1.0)

        def answer(later: float, outcome) -> None:
            taken = self.running[other, target]
            load = Load(min(SLOTS, taken), max(0, taken - SLOTS), SLOTS)

            def receive(at: float) -> None:
                far.record_report(at, str(target), load)
                far.record_done(at, ticket, outcome)

            self._after(later + HOP_S, receive)

        def reach(later: float) -> None:
            if self.running[other, target] >= ROOM:
                self.counts["refused"] += 1
                answer(later, OVERLOADED)
                return
            served = Answered(200, (), b"")
            self._start(later, other, target, lambda done: answer(done, served))

        self._after(now + HOP_S, reach)

    def _start(self, now: float, region: int, target: int, on_done) -> None:
        self.running[region, target] += 1
        self.counts["served"] += 1
        slower = max(1.0, self.running[region, target] / SLOTS)

        def end(later: float) -> None:
            self.running[region, target] -= 1
            on_done(later)

        self._after(now + WORK_S * slower * self.rng.uniform(0.5, 1.5), end)


class LoadPatternTests(unittest.TestCase):
    def test_both_full_no_far_traffic_to_speak_of(self):
        # Over half of 15,492 requests that crossed were refused in the other region.
        counts = Regions(lambda now, region: 1.6 * CAPACITY).run(30.0)
        free = Regions(lambda now, region: 1.6 * CAPACITY, limited=False).run(30.0)
        self.assertLess(counts["crossed"], 0.02 * counts["asked"])
        self.assertLess(counts["crossed"], free["crossed"] / 10)
        self.assertGreater(counts["served"], 0.97 * free["served"])

    def test_one_full_one_empty_the_surplus_moves(self):
        def demand(now: float, region: int) -> float:
            return (1.5 if region == 0 else 0.2) * CAPACITY

        counts = Regions(demand).run(30.0)
        self.assertGreater(counts["served"], 0.95 * counts["asked"])
        self.assertLess(counts["refused"], 0.1 * counts["crossed"])

    def test_the_share_that_moves_does_not_oscillate(self):
        regions = Regions(lambda now, region: (1.5, 0.2)[region] * CAPACITY)
        regions.run(30.0)
        crossed = [regions.crossed_by_second[second] for second in range(5, 30)]
        mean = sum(crossed) / len(crossed)
        self.assertLess(max(crossed), 1.5 * mean)
        self.assertGreater(min(crossed), 0.5 * mean)

    def test_waves_that_run_round_the_regions(self):
        def demand(now: float, region: int) -> float:
            wave = math.sin(2 * math.pi * (now / 15.0 + region / 2))
            return CAPACITY * (0.85 + 0.55 * wave)

        counts = Regions(demand).run(60.0)
        free = Regions(demand, limited=False).run(60.0)
        self.assertGreater(counts["served"], 0.97 * free["served"])
        self.assertGreater(counts["crossed"], 0.8 * free["crossed"])
        self.assertLess(counts["refused"], 0.1 * counts["crossed"])


class WindowTests(unittest.TestCase):
    def setUp(self):
        self.far = FarTargets()
        self.tickets = itertools.count()

    def send(self, now: float, address: str = "a", weight: float = 1.0) -> int | None:
        if not self.far.may_send(now, "r2", address, weight):
            return None
        ticket = next(self.tickets)
        self.far.record_sent(now, "r2", address, ticket, weight)
        return ticket

    # A window narrowed in an overload was shown for good, as only replies widen it.
    def test_operators_are_not_shown_a_window_that_is_not_used_any_more(self):
        self.far.record_done(0.1, self.send(0.0), OVERLOADED)
        self.assertLess(self.far.smallest_window(1.0), INITIAL_WINDOW)
        self.assertEqual(self.far.smallest_window(60.0), INITIAL_WINDOW)

    def test_refusals_of_requests_under_way_together_count_once(self):
        tickets = [self.send(0.0, each) for each in "abc"]
        for ticket in tickets:
            if ticket is not None:
                self.far.record_done(0.1, ticket, OVERLOADED)
        self.assertGreaterEqual(self.far.window("r2"), INITIAL_WINDOW / 4)

    def test_a_region_that_always_refuses_gets_rare_single_requests(self):
        sent, now = 0, 0.0
        while now < 40.0:
            now += 0.05
            ticket = self.send(now)
            if ticket is not None:
                sent += 1
                self.far.record_done(now + 0.01, ticket, OVERLOADED)
        self.assertEqual(self.far.window("r2"), MIN_WINDOW)
        self.assertLess(sent, 40.0 * MIN_WINDOW / PROBE_INTERVAL_S + 10)

    def test_a_target_that_reported_no_room_is_left_out_until_the_report_is_old(self):
        self.far.record_report(0.0, "a", Load(3, 3, 3))
        self.assertIsNone(self.send(0.5, "a"))
        self.far.record_done(0.6, self.send(0.5, "b"))
        self.assertIsNotNone(self.send(REPORT_TIMEOUT_S + 0.1, "a"))

    def test_a_request_with_a_large_body_takes_more_of_the_window(self):
        self.far.record_report(0.0, "a", Load(0, 0, 9))
        self.assertIsNotNone(self.send(0.0, "a"))
        self.assertIsNone(self.send(0.0, "a", weight_of(1024 * 1024)))
        self.assertIsNotNone(self.send(0.0, "a"))

    def test_a_withdrawn_request_frees_its_part_of_the_window(self):
        while self.far.window("r2") > 1.0:
            now = float(next(self.tickets))
            self.far.record_done(now + 0.5, self.send(now), OVERLOADED)
        first, second = self.send(90.0, "a"), self.send(90.0, "b")
        self.assertIsNone(second)
        self.far.record_done(90.1, first)
        self.assertIsNotNone(self.send(90.2, "b"))
        self.assertEqual(self.far.window("r2"), 1.0)


if __name__ == "__main__":
    unittest.main()
