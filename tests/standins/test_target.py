"""Tests the stand-in for a target over HTTP, as a daemon uses it."""

from __future__ import annotations

import time
import unittest

import msgspec

from rhubarbhall.adapters.client import HttpClient
from rhubarbhall.adapters.loop import Loop
from rhubarbhall.adapters.target_port import (
    CANCEL_PATH,
    FENCE_HEADER,
    FENCE_PATH,
    GRANT_HEADER,
    ORDER_DEADLINE_HEADER,
    ORDER_HEADER,
)
from rhubarbhall.standins.faults import TargetFaults
from rhubarbhall.standins.target import (
    NOT_RUN_HEADER,
    WORK_HEADER,
    TargetOptions,
    TargetService,
)
from tests.adapters.test_daemon import STEP_TIMEOUT_S, free_base_port


class TargetTests(unittest.TestCase):
    options = TargetOptions(slots=2, work_ms=1.0)

    def setUp(self):
        self.loop = Loop()
        self.loop.manager._running = True
        port = free_base_port()
        self.address = f"127.0.0.1:{port}"
        self.target = TargetService(("127.0.0.1", port), self.options)
        self.client = HttpClient("test-target")
        self.loop.add(self.target)
        self.loop.add(self.client)
        self.addCleanup(self._close)
        # The components register with the poller in the first rounds of the loop.
        self.run_loop(5)
        self.post(FENCE_PATH, b'{"fence":"run-1"}')

    def _close(self):
        self.target.shut_down()
        self.client.close()
        self.run_loop(5)

    def run_loop(self, rounds: int) -> None:
        for _ in range(rounds):
            self.loop.manager.tick(0.005)

    def send(self, path: str, method: str = "GET", body: bytes = b"", **headers: str):
        """Send a request and return the list that its outcome is appended to."""
        outcomes: list = []
        named = tuple((name.replace("_", "-"), v) for name, v in headers.items())
        self.client.fetch(self.address, method, path, named, body, 9.0, outcomes.append)
        return outcomes

    def wait_for(self, outcomes: list):
        started_at = time.monotonic()
        while not outcomes:
            self.run_loop(1)
            self.assertLess(time.monotonic() - started_at, STEP_TIMEOUT_S)
        return outcomes[0]

    def post(self, path: str, body: bytes):
        return self.wait_for(self.send(path, "POST", body))

    def send_order(self, number: str = "1", **changes: str) -> list:
        header_values = {
            FENCE_HEADER: "run-1",
            GRANT_HEADER: f"{time.monotonic() + 60:.6f}",
            ORDER_HEADER: number,
            **{name.replace("_", "-"): value for name, value in changes.items()},
        }
        named = {name.replace("-", "_"): value for name, value in header_values.items()}
        return self.send("/look", **named)

    def assert_not_run(self, outcomes: list, reason: str) -> None:
        response = self.wait_for(outcomes)
        self.assertEqual(dict(response.headers)[NOT_RUN_HEADER], reason)
        self.assertEqual(self.target.executions, [])

    def test_an_order_within_a_grant_runs_and_is_recorded(self):
        self.assertEqual(self.wait_for(self.send_order()).status, 200)
        (execution,) = self.target.executions
        self.assertEqual((execution.fence, execution.path), ("run-1", "/look"))

    def test_orders_of_another_run_or_without_a_grant_are_refused(self):
        self.assert_not_run(self.send_order(**{FENCE_HEADER: "run-0"}), "fenced")
        self.assert_not_run(self.send_order(**{GRANT_HEADER: "1.0"}), "no grant")

    def test_a_new_fence_cancels_the_running_orders(self):
        running = self.send_order(**{WORK_HEADER: "80"})
        self.run_loop(4)
        self.post(FENCE_PATH, b'{"fence":"run-2"}')
        self.assert_not_run(running, "cancelled")

    def test_a_cancelled_order_ends_at_once(self):
        running = self.send_order("run-1/7", **{WORK_HEADER: "600000"})
        self.run_loop(4)
        self.post(CANCEL_PATH, b'{"order":"run-1/7"}')
        self.assert_not_run(running, "cancelled")

    def test_an_order_past_its_deadline_has_no_effect(self):
        late = self.send_order(**{ORDER_DEADLINE_HEADER: f"{time.monotonic():.6f}"})
        self.assert_not_run(late, "cancelled")

    def test_an_order_without_a_free_slot_is_refused(self):
        for number in range(2):
            self.send_order(str(number), **{WORK_HEADER: "600000"})
        self.run_loop(10)
        self.assert_not_run(self.send_order("3"), "no slot")

    def test_a_frozen_target_answers_only_after_the_freeze(self):
        self.target.set_faults(TargetFaults(frozen=True))
        waiting = self.send_order()
        self.run_loop(10)
        self.assertEqual(waiting, [])
        self.target.set_faults(TargetFaults())
        self.assertEqual(self.wait_for(waiting).status, 200)

    def test_a_load_report_lies_or_lags_as_its_fault_says(self):
        self.send_order(**{WORK_HEADER: "600000"})
        self.run_loop(10)
        self.assertEqual(self.target.load().running, 1)
        for report in ("lie", "lag"):
            self.target.set_faults(TargetFaults(report=report))
            self.assertEqual(self.target.load().running, 0)

    def test_a_draining_target_refuses_orders_and_is_unhealthy(self):
        self.post("/-/drain", b"{}")
        self.assert_not_run(self.send_order(), "draining")
        health = self.wait_for(self.send("/-/health"))
        self.assertEqual(msgspec.json.decode(health.body), {"healthy": False})
