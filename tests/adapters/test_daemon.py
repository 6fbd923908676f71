"""Tests of the ports of `Daemon` with real sockets on loopback."""

from __future__ import annotations

import random
import socket
import time
import unittest
from collections.abc import Callable

import eliot
import msgspec

from rhubarbhall.adapters.client import Failed, HttpClient
from rhubarbhall.adapters.clock import TimerRunner
from rhubarbhall.adapters.loop import Loop
from rhubarbhall.core.commands import Exit
from rhubarbhall.core.drain import Stage
from rhubarbhall.core.events import Event
from rhubarbhall.core.idempotency import mint_key
from rhubarbhall.core.requests import IDEMPOTENCY_HEADER, Response
from rhubarbhall.core.timers import TimerService
from rhubarbhall.core.timing import Timing
from rhubarbhall.standins.deployment import Deployment, VmLocation
from rhubarbhall.standins.faults import TargetFaults
from rhubarbhall.standins.target import TargetOptions
from rhubarbhall.testing import assert_at_most_once, assert_sole_owners

DOCUMENT = {
    "services": {
        "status": {
            "targets": "app=status",
            "slices": 8,
            "hold_ms": 8000,
            "max_body": 1000,
            "routes": [
                {"path": "/credit", "idempotency_key": "required"},
            ],
        },
        "accounts": {"targets": "app=status", "keyed": False},
    }
}
PLACES = [("idukki", "i1"), ("wayanad", "w1"), ("kottayam", "k1")]
#: Time after which a test that still waits for a condition fails; far beyond what any
#: step takes.
STEP_TIMEOUT_S = 30.0


def free_base_port() -> int:
    """Return a base port; it and the 44 ports after it are free on loopback."""
    for _ in range(50):
        base = random.SystemRandom().randrange(20_000, 60_000, 50)
        try:
            for port in range(base, base + 45):
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port))
            return base
        except OSError:
            continue
    raise OSError("no free ports")


class _CallbackDue(Event):
    """Timer event that wakes the loop at a regular interval."""

    __slots__ = ("action",)

    def __init__(self, action: Callable[[], None]) -> None:
        self.action = action


class DeploymentTestCase(unittest.TestCase):
    """Base class: a deployment of three VMs, whose event loop the test itself runs."""

    options = TargetOptions()

    @classmethod
    def setUpClass(cls):
        eliot.add_destinations(_drop)

    def setUp(self):
        self.loop = Loop()
        timers = TimerService()
        self.loop.add(TimerRunner(timers, lambda: list(timers.due(time.monotonic()))))
        timers.every(0.01, _CallbackDue(lambda: None), first=time.monotonic())
        self.client = HttpClient("test-callers")
        self.loop.add(self.client)
        self.deployment = Deployment(
            self.loop, free_base_port(), self.options, Timing(read_s=0.03)
        )
        self.addCleanup(self._close)
        for region, domain in PLACES:
            self.deployment.add_vm(VmLocation(region, domain, {"app": "status"}))
        self.loop.manager._running = True
        self.run_until(self._all_joined)
        self.deployment.publish("test/1", 0, DOCUMENT)
        self.run_until(
            lambda: sum(self.deployment.slices_by_vm("status").values()) == 8
        )
        self.run_until(self._all_witnessed)

    def _close(self):
        self.deployment.shut_down()
        self.client.close()
        for _ in range(5):
            self.loop.manager.tick(0.0)

    def _all_joined(self) -> bool:
        return all(
            vm.daemon.node.context.member is not None
            for vm in self.deployment.vm_by_name.values()
        )

    def _all_witnessed(self) -> bool:
        # The loss of a member that has no witnesses yet is not detected.
        return all(
            vm.daemon.node.context.member.witnesses
            for vm in self.deployment.vm_by_name.values()
        )

    def run_until(self, condition: Callable[[], bool]) -> None:
        started_at = time.monotonic()
        while not condition():
            self.loop.manager.tick(0.01)
            self.client.sweep()
            self.assertLess(
                time.monotonic() - started_at,
                STEP_TIMEOUT_S,
                "the condition that the test waits for did not hold in time",
            )

    def call(self, vm: str, method: str, path: str, body: bytes = b"", **headers: str):
        """Send a request and return its outcome."""
        outcomes: list[Response | Failed] = []
        fields = tuple((n.replace("_", "-"), v) for n, v in headers.items())
        address = self.deployment.vm_by_name[vm].calls
        self.client.fetch(address, method, path, fields, body, 9.0, outcomes.append)
        self.run_until(lambda: bool(outcomes))
        return outcomes[0]

    def raw(self, vm: str, data: bytes) -> bytes:
        """Send bytes and return everything up to the end of the connection."""
        host, _, port = self.deployment.vm_by_name[vm].calls.rpartition(":")
        with socket.create_connection((host, int(port))) as sock:
            sock.sendall(data)
            sock.setblocking(False)
            received = bytearray()
            ended: list[bool] = []

            def receive() -> bool:
                try:
                    part = sock.recv(65536)
                except BlockingIOError:
                    return False
                received.extend(part)
                if not part:
                    ended.append(True)
                return bool(ended)

            self.run_until(receive)
            return bytes(received)

    def executions(self):
        return self.deployment.executions()


def _drop(message: object) -> None:
    """Drop the log events of the daemons under test."""


class CallerTests(DeploymentTestCase):
    def test_any_daemon_answers_and_names_the_owner(self):
        for vm in ("vm1", "vm2", "vm3"):
            answer = self.call(vm, "GET", "/status/batch-7/look?x=1")
            self.assertEqual(answer.status, 200)
            echo = msgspec.json.decode(answer.body)
            self.assertEqual((echo["key"], echo["path"]), ("batch-7", "/look"))
            self.assertIn("Rhubarb-Owner", dict(answer.headers))
        assert_sole_owners(self.executions())

    def test_a_key_may_stand_in_a_header_and_be_percent_encoded(self):
        answer = self.call(
            "vm1",
            "GET",
            "/look",
            Rhubarb_Service="status",
            Rhubarb_Key="a%2Fb%20%C3%A9",
        )
        self.assertEqual(answer.status, 200)
        answer = self.call("vm2", "GET", "/status/a%2Fb%20%C3%A9/look")
        self.assertEqual(answer.status, 200)
        keys = {each.key for each in self.executions()}
        self.assertEqual(keys, {"a%2Fb%20%C3%A9"})

    def test_a_head_request_is_answered_by_headers_alone(self):
        answer = self.call("vm1", "HEAD", "/status/batch-7/look")
        self.assertEqual((answer.status, answer.body), (200, b""))
        self.assertEqual(self.call("vm2", "HEAD", "/status/batch-7/x").status, 200)
        self.assertEqual(len(self.executions()), 2)

    def test_each_request_to_a_service_without_keys_runs_once(self):
        for _ in range(30):
            self.assertEqual(self.call("vm1", "GET", "/accounts/7").status, 200)
        counts = [
            len(vm.target.executions) for vm in self.deployment.vm_by_name.values()
        ]
        self.assertEqual(sum(counts), 30)

    def assert_refused(self, answer: Response, status: int, kind: str, ran: str = "no"):
        problem = msgspec.json.decode(answer.body)
        self.assertEqual((answer.status, problem["kind"]), (status, kind))
        self.assertEqual(problem["ran"], ran)
        headers = dict(answer.headers)
        self.assertEqual(headers["Content-Type"], "application/problem+json")

    def test_invalid_requests_get_a_4xx_status_and_nothing_runs(self):
        call = self.call
        self.assert_refused(call("vm1", "GET", "/nope/x"), 404, "unknown_service")
        self.assert_refused(call("vm1", "GET", "/status"), 400, "key_missing")
        late = call("vm1", "GET", "/status/b", Rhubarb_Deadline_Ms="soon")
        self.assert_refused(late, 400, "bad_deadline")
        credit = call("vm1", "POST", "/status/b/credit")
        self.assert_refused(credit, 428, "idempotency_key_required")
        credit = call("vm1", "POST", "/status/b/credit", Idempotency_Key="7")
        self.assert_refused(credit, 400, "bad_idempotency_key")
        future = mint_key(int(time.time() * 1000) + 60_000, random.Random(1))
        credit = call("vm1", "POST", "/status/b/credit", Idempotency_Key=future)
        self.assert_refused(credit, 400, "bad_idempotency_key")
        large = call("vm1", "POST", "/status/b/x", b"y" * 1001)
        self.assert_refused(large, 413, "body_too_large")
        forged = call("vm1", "GET", "/status/b/x", Rhubarb_Hop="vm9/1")
        self.assert_refused(forged, 403, "forbidden_hop")
        self.assertEqual(self.executions(), [])

    def test_bytes_that_are_not_http_get_400_and_the_daemon_still_serves(self):
        for data in (
            b"\x16\x03\x01",
            b"GET / HTTP/1.1\r\nbad\r\n\r\n",
            b"nonsense\r\n",
        ):
            received = self.raw("vm1", data)
            self.assertTrue(received.startswith(b"HTTP/1.1 400"), received[:40])
        self.assertEqual(self.call("vm1", "GET", "/status/b/x").status, 200)

    def test_large_headers_are_refused(self):
        data = b"GET / HTTP/1.1\r\nX: " + b"y" * 20_000 + b"\r\n\r\n"
        self.assertTrue(self.raw("vm1", data).startswith(b"HTTP/1.1 431"))

    def test_pipelined_requests_are_answered_in_order(self):
        data = b"".join(
            b"GET /status/k%d/x HTTP/1.1\r\nHost: h\r\n%s\r\n"
            % (n, b"Connection: close\r\n" if n == 4 else b"")
            for n in range(5)
        )
        received = self.raw("vm1", data)
        positions = [received.index(b'"key":"k%d"' % n) for n in range(5)]
        self.assertEqual(positions, sorted(positions))

    def test_callers_cannot_set_the_headers_of_an_order(self):
        answer = self.call(
            "vm1", "GET", "/status/b/x", Rhubarb_Epoch="99", Rhubarb_Fence="me"
        )
        self.assertEqual(answer.status, 200)
        (execution,) = self.executions()
        self.assertLess(execution.epoch, 99)


class OutcomeTests(DeploymentTestCase):
    def credit(self, vm: str, key: str, minted: str):
        headers = {IDEMPOTENCY_HEADER.replace("-", "_"): minted}
        return self.call(vm, "POST", f"/status/{key}/credit", **headers)

    def test_a_repeated_credit_runs_once_and_gets_the_same_answer(self):
        minted = mint_key(int(time.time() * 1000), random.Random(2))
        answers = [self.credit(vm, "b", minted) for vm in ("vm1", "vm2", "vm3")]
        self.assertEqual({each.body for each in answers}, {answers[0].body})
        self.assertEqual(len(self.executions()), 1)
        assert_at_most_once(self.executions())

    def test_an_idempotency_key_from_a_clock_ahead_waits_for_its_time(self):
        ahead_ms = 400
        sent_ms = int(time.time() * 1000)
        minted = mint_key(sent_ms + ahead_ms, random.Random(4))
        answer = self.credit("vm1", "b", minted)
        self.assertEqual(answer.status, 200)
        self.assertGreaterEqual(int(time.time() * 1000), sent_ms + ahead_ms)
        self.assertEqual(len(self.executions()), 1)

    def test_a_repeat_in_a_service_without_keys_runs_once_too(self):
        minted = mint_key(int(time.time() * 1000), random.Random(3))
        headers = {IDEMPOTENCY_HEADER.replace("-", "_"): minted}
        answers = [
            self.call(vm, "POST", "/accounts/deposit", **headers)
            for vm in ("vm1", "vm2", "vm3", "vm1", "vm2")
        ]
        self.assertEqual({each.status for each in answers}, {200})
        self.assertEqual({each.body for each in answers}, {answers[0].body})
        self.assertEqual(len(self.executions()), 1)

    def test_a_refusal_by_the_target_is_reported_as_not_run(self):
        for vm in self.deployment.vm_by_name.values():
            vm.target.set_faults(TargetFaults(shed=True))
        answer = self.call("vm1", "GET", "/status/b/x")
        problem = msgspec.json.decode(answer.body)
        self.assertEqual((problem["kind"], problem["ran"]), ("target_refused", "no"))
        self.assertIn("Retry-After", dict(answer.headers))
        self.assertEqual(self.executions(), [])

    def test_a_frozen_target_is_reported_as_unknown_and_runs_nothing_late(self):
        for vm in self.deployment.vm_by_name.values():
            vm.target.set_faults(TargetFaults(frozen=True))
        answer = self.call("vm1", "GET", "/status/b/x", Rhubarb_Deadline_Ms="300")
        problem = msgspec.json.decode(answer.body)
        self.assertEqual(problem["kind"], "deadline_passed")
        self.assertEqual(problem["ran"], "unknown")
        for vm in self.deployment.vm_by_name.values():
            vm.target.set_faults(TargetFaults())
        self.assertEqual(self.call("vm1", "GET", "/status/b/y").status, 200)
        self.assertEqual([each.path for each in self.executions()], ["/y"])

    def test_the_keys_of_a_lost_vm_get_another_owner(self):
        owner = dict(self.call("vm1", "GET", "/status/b/x").headers)["Rhubarb-Owner"]
        lost = next(
            n for n, vm in self.deployment.vm_by_name.items() if vm.calls == owner
        )
        self.deployment.crash_vm(lost)
        vm = next(iter(self.deployment.vm_by_name))
        answer = self.call(vm, "GET", "/status/b/x", Rhubarb_Deadline_Ms="8000")
        self.assertEqual(answer.status, 200)
        assert_sole_owners(self.executions())


class OperationsTests(DeploymentTestCase):
    def fetch(self, vm: str, path: str) -> Response:
        outcomes: list[Response] = []
        address = self.deployment.vm_by_name[vm].peers
        self.client.fetch(address, "GET", path, (), b"", 9.0, outcomes.append)
        self.run_until(lambda: bool(outcomes))
        return outcomes[0]

    def test_state_metrics_and_health_are_served(self):
        dump = msgspec.json.decode(self.fetch("vm1", "/dump").body)
        self.assertTrue(dump["lease_held"])
        self.assertEqual(dump["intent_version"], 1)
        self.assertEqual(len(dump["members"]), 3)
        metrics = self.fetch("vm1", "/metrics").body.decode()
        self.assertIn("rhubarb_lease_held 1", metrics)
        self.assertEqual(self.fetch("vm1", "/healthz").status, 200)
        self.assertEqual(self.fetch("vm1", "/readyz").status, 200)

    def test_calls_of_other_daemons_need_a_signature(self):
        for path in ("/peer/records?from=0", "/peer/snapshot"):
            self.assertEqual(self.fetch("vm1", path).status, 403)

    def test_an_unknown_path_lists_the_known_ones(self):
        answer = self.fetch("vm1", "/nope")
        self.assertEqual(answer.status, 404)
        self.assertIn(b"/metrics", answer.body)

    def test_a_stop_answers_connections_that_are_not_accepted_yet(self):
        daemon = self.deployment.vm_by_name["vm2"].daemon
        host, _, port = daemon.settings.calls.rpartition(":")
        request = b"GET /status/b/x HTTP/1.1\r\nHost: h\r\n\r\n"
        ended: list[bool] = []
        daemon._on_exit = lambda: ended.append(True)
        daemon.request_stop()
        self.run_until(lambda: daemon.node.drain.stage is Stage.LEAVING)
        # The loop is not running, so these wait in the queue of the listening socket.
        waiting = [socket.create_connection((host, int(port))) for _ in range(5)]
        for sock in waiting:
            sock.sendall(request)
        daemon._do_exit(Exit())
        self.run_until(lambda: bool(ended))
        del self.deployment.vm_by_name["vm2"]
        for sock in waiting:
            sock.settimeout(STEP_TIMEOUT_S)
            self.assertTrue(sock.recv(65536).startswith(b"HTTP/1.1 200"))
            sock.close()

    def test_a_stop_drains_and_ends(self):
        ended: list[bool] = []
        daemon = self.deployment.vm_by_name["vm2"].daemon
        daemon._on_exit = lambda: ended.append(True)
        daemon.request_stop()
        daemon.request_stop()
        self.run_until(lambda: bool(ended))
        del self.deployment.vm_by_name["vm2"]
        # Slices may still be moving between the other VMs to balance them.
        self.run_until(
            lambda: sum(self.deployment.slices_by_vm("status").values()) == 8
        )
        self.assertEqual(self.call("vm1", "GET", "/status/b/x").status, 200)


if __name__ == "__main__":
    unittest.main()
