from __future__ import annotations

import random
import unittest

from rhubarbhall.core.admission import (
    MAX_UNKNOWN_RUNNING,
    AdmissionController,
    ConcurrencyLimit,
)
from rhubarbhall.core.intent import DEFAULT_ROUTE, Route, intent_from_document
from rhubarbhall.core.requests import Request
from rhubarbhall.core.slices import SliceRef

SHORT = Route(work="short")
LONG = Route(work="long")


def new_admission(**changes) -> AdmissionController:
    table = {"targets": "a=b", "slots": 10, "short_slots": 3, "queue": 8, **changes}
    return AdmissionController(
        intent_from_document({"services": {"s": table}}).services["s"]
    )


_numbers = iter(range(1, 1_000_000))


def request(
    admission: AdmissionController, route=SHORT, caller="c", path="/look"
) -> Request:
    return Request(
        next(_numbers), admission._service, route, "k", SliceRef("s", 0), "GET", path,
        (), b"", caller, 0.0, 1.0,
    )  # fmt: skip


class AdmissionTests(unittest.TestCase):
    def setUp(self):
        self.admission = new_admission()

    def start(self, count: int, route: Route, **changes) -> list[Request]:
        """Push requests one by one and return those that may run."""
        running = []
        for _ in range(count):
            self.admission.push(request(self.admission, route, **changes))
            running += self.admission.next_requests()
        return running

    def test_long_work_leaves_the_reserved_slots_free(self):
        self.assertEqual(len(self.start(20, LONG, caller="planner")), 7)
        self.assertEqual(len(self.start(3, SHORT)), 3)

    def test_slots_that_short_work_needed_recently_are_reserved_too(self):
        short = self.start(8, SHORT)
        for each in short:
            self.admission.finish(each.id)
        self.assertEqual(len(self.start(9, LONG)), 2)

    def test_the_peak_demand_of_short_work_decays(self):
        short = self.start(8, SHORT)
        for step, each in enumerate(short):
            self.admission.record_answer(60.0 * step, each, 0.02)
            self.admission.finish(each.id)
        self.assertEqual(len(self.start(9, LONG)), 7)

    def test_long_work_is_never_starved(self):
        self.start(10, SHORT)
        self.admission.push(request(self.admission, LONG))
        started = []
        for _ in range(40):
            oldest = next(iter(self.admission._queue_by_running))
            self.admission.finish(oldest)
            self.admission.push(request(self.admission, SHORT))
            started += self.admission.next_requests()
        self.assertIn(LONG, [each.route for each in started])

    def test_few_requests_of_an_unknown_route_run_at_a_time(self):
        running = self.start(6, DEFAULT_ROUTE, path="/new")
        self.assertEqual(len(running), MAX_UNKNOWN_RUNNING)
        self.admission.record_answer(0.1, running[0], 0.02)
        self.admission.finish(running[0].id)
        self.assertEqual(len(list(self.admission.next_requests())), 4)

    def test_a_long_running_request_counts_as_long_work_before_it_ends(self):
        first, _ = self.start(2, DEFAULT_ROUTE, path="/pull")
        self.admission.record_long_running(first, 0.3)
        self.assertEqual(self.admission.long_running, 1)
        self.assertEqual(len(self.start(10, DEFAULT_ROUTE, path="/pull")), 5)

    def test_a_full_queue_evicts_from_the_caller_with_most_waiting(self):
        self.start(10, SHORT)
        for _ in range(8):
            self.admission.push(request(self.admission, caller="greedy"))
        evicted = self.admission.push(request(self.admission, caller="modest"))
        self.assertEqual(evicted.caller, "greedy")
        evicted_again = self.admission.push(request(self.admission, caller="greedy"))
        self.assertEqual(evicted_again.caller, "greedy")

    def test_callers_are_served_round_robin(self):
        self.start(10, SHORT)
        for caller in ("a", "a", "a", "b"):
            self.admission.push(request(self.admission, caller=caller))
        for running in list(self.admission._queue_by_running)[:2]:
            self.admission.finish(running)
        served = [each.caller for each in self.admission.next_requests()]
        self.assertEqual(served, ["a", "b"])

    def test_the_expected_wait_grows_with_the_queue(self):
        (first,) = self.start(1, SHORT)
        self.admission.record_answer(0.0, first, 0.1)
        self.start(10, SHORT)
        waits = []
        for _ in range(4):
            waits.append(self.admission.expected_wait_s(request(self.admission)))
            self.admission.push(request(self.admission))
        self.assertEqual(waits, sorted(waits))
        self.assertGreater(waits[-1], waits[0])


class LimitTests(unittest.TestCase):
    def test_ordinary_variation_of_durations_is_no_overload(self):
        admission = new_admission(short_slots=0)
        rng = random.Random(6)
        for step in range(3_000):
            admission.push(request(admission))
            list(admission.next_requests())
            if admission.running == 10:
                oldest = next(iter(admission._queue_by_running))
                duration_s = rng.expovariate(50.0)
                admission.record_answer(0.01 * step, request(admission), duration_s)
                admission.finish(oldest)
        self.assertGreaterEqual(admission.limit.value, 8)

    def test_the_limit_of_an_overloaded_target_shrinks(self):
        admission = new_admission(short_slots=0, slots=20)
        for step in range(60):
            (each,) = self._start(admission, 1)
            admission.record_answer(0.01 * step, each, 0.02)
            admission.finish(each.id)
        running = self._start(admission, 20)
        for step in range(200):
            each = running.pop(0)
            admission.record_answer(1.0 + 0.1 * step, each, 0.02 * len(running) / 4)
            admission.finish(each.id)
            running += self._start(admission, 1)
        self.assertLess(admission.limit.value, 12)
        self.assertGreaterEqual(admission.limit.value, 1)

    def _start(self, admission: AdmissionController, count: int) -> list[Request]:
        running = []
        for _ in range(count):
            admission.push(request(admission))
            running += admission.next_requests()
        return running

    def test_the_limit_recovers_after_overload(self):
        limit = ConcurrencyLimit(10)
        for step in range(20):
            limit.record_overload(float(step))
        self.assertEqual(limit.value, 1)
        for _ in range(200):
            limit.record_success()
        self.assertEqual(limit.value, 10)
