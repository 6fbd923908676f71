"""Requests over real sockets, with routers, targets and the store on one loop."""

from __future__ import annotations

import tempfile
import time
import unittest
from pathlib import Path

import msgspec

from rhubarbhall.adapters.client import SWEEP_INTERVAL_S, HttpClient
from rhubarbhall.adapters.clock import TimerRunner
from rhubarbhall.adapters.loop import Loop
from rhubarbhall.core.requests import Response
from rhubarbhall.core.timers import TimerCallback, TimerService
from rhubarbhall.platform.settings import read_settings
from rhubarbhall.programs.routing_daemon import RoutingDaemon
from rhubarbhall.settings import split_address
from rhubarbhall.standins.platform_store import PlatformStore
from rhubarbhall.standins.platform_target import PlatformTarget, TargetBehaviour

BASE_PORT = 27600
HOST = "127.0.0.1"
STORE = f"{HOST}:{BASE_PORT}"
SERVICES = {"keyed": True, "pay": False}
#: Service and region of each VM.
VMS = (("keyed", "r1"), ("keyed", "r2"), ("pay", "r1"), ("pay", "r2"))


class FakeLog:
    dropped = 0


def address(vm: int, port: int) -> str:
    return f"{HOST}:{BASE_PORT + 10 * (vm + 1) + port}"


def configuration(version: int, timeout: str = "2s") -> bytes:
    routes = [
        ("look", "/look/", "idempotent", "pay"),
        ("credit", "/credit/", "non_idempotent", "pay"),
        ("status", "/status/", "idempotent", "keyed"),
    ]
    resources = [
        {
            "resource_type": "routes",
            "metadata": {"name": name},
            "spec": {
                "hostname": "h.example",
                "path_prefix": prefix,
                "type": kind,
                "service": service,
                "timeout": timeout,
                "target_latency": "300ms",
                "max_attempts": 2,
            },
        }
        for name, prefix, kind, service in routes
    ]
    for name, by_key in SERVICES.items():
        spec = {"max_connections": 20, "sharded": by_key}
        resource = {"resource_type": "services", "metadata": {"name": name}}
        resources.append({**resource, "spec": spec})
    return msgspec.json.encode({"version": version, "resources": resources})


class RouterTestCase(unittest.TestCase):
    #: How targets take keys, as the settings file names it.
    GRANTS = "heartbeat"
    #: Time that the platform gives a stopping process, as the settings file names it.
    GRACE = "6s"

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.loop = Loop()
        self.addCleanup(self.close)
        self.timers = TimerService()
        self.client = HttpClient("test-client", 50)
        self.loop.add(self.client)
        self.loop.add(
            TimerRunner(self.timers, self.fire_due_timers, lambda: time.monotonic())
        )
        self.timers.every(
            SWEEP_INTERVAL_S, TimerCallback(lambda now: self.client.sweep())
        )
        self.store = PlatformStore(split_address(STORE))
        self.loop.add(self.store.port)
        self.store.put("keyed.op", "config", configuration(2))
        self.ended: list[int] = []
        self.targets: list[PlatformTarget] = []
        self.routers: list[RoutingDaemon] = []
        self.targets = [self.new_target(vm) for vm in range(len(VMS))]
        self.routers = [self.new_router(vm) for vm in range(len(VMS))]
        # Components can open connections only after some ticks of the loop.
        self.loop.manager._running = True
        for _ in range(20):
            self.loop.manager.tick(0.0)
        for target in self.targets:
            target.begin()
        self.tick_until(self.is_converged, 12.0)

    @staticmethod
    def close_router(router: RoutingDaemon) -> None:
        for port in (router.callers, router.sessions.acceptor, router.links.dialer):
            port.close()
        for port in (router._heartbeat_port, router._readiness_port, router.target):
            port.close()
        router.key_requests.close()
        for client in router._clients:
            client.close()

    def close(self):
        for router in self.routers:
            self.close_router(router)
        for target in self.targets:
            target.port.close()
        self.client.close()
        self.store.port.close()
        for _ in range(5):
            self.loop.manager.tick(0.0)

    def fire_due_timers(self):
        for event in list(self.timers.due(time.monotonic())):
            event.fire(time.monotonic())

    def new_target(self, vm: int, service: str = "") -> PlatformTarget:
        service = service or VMS[vm][0]
        target = PlatformTarget(
            address(vm, 5),
            service,
            address(vm, 4),
            SERVICES.get(service, False),
            self.timers,
            self.client,
            TargetBehaviour(grants_by_request=self.GRANTS == "request"),
        )
        self.loop.add(target.port)
        return target

    def new_router(self, vm: int, service: str = "") -> RoutingDaemon:
        region = VMS[vm][1]
        path = self.folder / f"{vm}.json"
        path.write_bytes(
            msgspec.json.encode(
                {
                    "node_name": f"vm-{vm}",
                    "zone": f"{region}-z",
                    "region": region,
                    "listen": {
                        "inbound": address(vm, 1),
                        "outbound": address(vm, 2),
                        "ready": address(vm, 3),
                        "control": address(vm, 4),
                    },
                    "app_addr": address(vm, 5),
                    "service": service or VMS[vm][0],
                    "platform": {"address": STORE},
                    "grants": self.GRANTS,
                    "bounds": [f"grace={self.GRACE}"],
                }
            )
        )
        router = RoutingDaemon(
            path, read_settings(path), lambda: self.ended.append(vm), FakeLog()
        )
        self.loop.add(router)
        router.begin()
        return router

    def route_by_address(self) -> None:
        """Put a configuration in force whose routes match the address as the host."""
        body = configuration(3).replace(b"h.example", HOST.encode())
        self.store.put("keyed.op", "config", body)
        self.tick_until(
            lambda: all(r.request_router.routing.version == 3 for r in self.routers),
            4.0,
        )

    def is_converged(self) -> bool:
        keyed = [target for target in self.targets if target.service == "keyed"]
        return all(target.held for target in keyed) and all(
            router.is_ready()
            and len(router.directory.member_by_address) == len(VMS)
            # A record pushed before a connection was open arrives a second later.
            and "keyed" in router.directory.table_by_service
            for router in self.routers
        )

    def tick_until(self, condition, limit_s: float) -> None:
        end = time.monotonic() + limit_s
        while not condition():
            self.assertLess(time.monotonic(), end, "condition not met in time")
            self.loop.manager.tick(0.01)

    def send_request(self, vm: int, path: str, method: str = "GET", **headers: str):
        results = []
        sent = {"Host": "h.example", "Request-Id": path, "Timeout-Ms": "2000"}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        sent.pop("Host")
        self.client.fetch(
            address(vm, 2), method, path, tuple(sent.items()), b"", 3.0, results.append
        )
        self.tick_until(lambda: results, 4.0)
        return results[0]

    def run_count(self, request: str) -> int:
        return sum(
            run.request == request for t in self.targets for run in t.executed_requests
        )


class RouterPathTests(RouterTestCase):
    def setUp(self):
        super().setUp()
        self.route_by_address()

    def test_every_key_reaches_its_owner_from_every_vm(self):
        for vm in range(len(VMS)):
            for key in (0, 32767, 32768, 65535):
                path = f"/status/{vm}-{key}"
                answer = self.send_request(vm, path, Shard_Key=str(key))
                self.assertEqual(answer.status, 200, answer)
                self.assertEqual(answer.body, b"done " + path.encode())
                self.assertEqual(self.run_count(path), 1)

    def test_the_target_gets_the_service_of_the_callers_vm_as_caller(self):
        self.send_request(0, "/look/caller", Caller_Service="liar")
        run = next(
            r
            for t in self.targets
            for r in t.executed_requests
            if r.request.endswith("ler")
        )
        self.assertEqual(run.caller, "keyed")
        self.assertLessEqual(run.timeout_ms, 2000)

    def test_an_answer_to_another_request_is_discarded(self):
        for target in self.targets:
            target.behaviour.garbled_answer = "extra"
        for number in range(4):
            answer = self.send_request(number, f"/look/extra{number}")
            self.assertEqual(answer.body, b"done /look/extra%d" % number)

    def test_a_truncated_answer_is_a_failure_and_credits_run_once(self):
        for target in self.targets:
            target.behaviour.garbled_answer = "cut"
        answer = self.send_request(0, "/credit/cut", "POST")
        self.assertEqual(answer.status, 502)
        self.assertEqual(self.run_count("/credit/cut"), 1)

    def test_a_request_that_a_target_refused_is_sent_to_another(self):
        self.targets[2].behaviour.sheds = True
        answer = self.send_request(0, "/credit/shed", "POST")
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.run_count("/credit/shed"), 1)

    def test_a_missing_route_or_key_is_an_error(self):
        self.assertEqual(self.send_request(0, "/nowhere/").status, 404)
        self.assertEqual(self.send_request(0, "/status/1").status, 400)

    def test_requests_are_answered_while_the_store_is_unavailable(self):
        self.store.faults.refuses = True
        end = time.monotonic() + 1.5
        self.tick_until(lambda: time.monotonic() > end, 3.0)
        answer = self.send_request(1, "/status/away", Shard_Key="5")
        self.assertEqual(answer.status, 200)

    def test_the_keys_of_a_crashed_target_move_to_another(self):
        crashed, other = self.targets[0], self.targets[1]
        crashed.crash()
        self.tick_until(
            lambda: sum(row.last - row.first + 1 for row in other.held) == 65536, 8.0
        )
        answer = self.send_request(2, "/status/moved", Shard_Key="5")
        self.assertEqual(answer.status, 200)

    def test_a_planned_stop_answers_pending_requests_and_exits(self):
        results: list = []
        self.targets[0].behaviour.work_s = 0.5
        headers = (("Request-Id", "/status/s"), ("Shard-Key", "5"))
        self.client.fetch(
            address(0, 2), "GET", "/status/s", headers, b"", 3.0, results.append
        )
        self.routers[0].request_stop()
        self.assertFalse(self.routers[0].is_ready())
        self.tick_until(lambda: self.ended == [0], 7.0)
        self.assertIsInstance(results[0], Response)
        self.assertEqual(results[0].status, 200)

    def test_metrics_and_dump_are_served(self):
        self.send_request(0, "/look/page")
        for path, expected in (
            ("/metrics", b"rhubarb_requests_total"),
            ("/dump", b"run"),
        ):
            results: list = []
            self.client.fetch(address(0, 3), "GET", path, (), b"", 2.0, results.append)
            self.tick_until(lambda found=results: found, 3.0)
            self.assertEqual(results[0].status, 200)
            self.assertIn(expected, results[0].body)


class TargetNoticeTests(RouterTestCase):
    """Targets that say in their answers what state they are in."""

    def setUp(self):
        super().setUp()
        self.route_by_address()

    def send_many(self, path: str, count: int, **headers: str) -> list[Response]:
        """Send requests from all VMs at the same time and return their answers."""
        results: list = []
        extra = tuple((name.replace("_", "-"), text) for name, text in headers.items())
        for number in range(count):
            id = f"{path}{number}"
            sent = (("Request-Id", id), ("Timeout-Ms", "1000"), *extra)
            vm = number % len(VMS)
            self.client.fetch(address(vm, 2), "GET", id, sent, b"", 3.0, results.append)
        self.tick_until(lambda: len(results) == count, 6.0)
        return results

    # A target that stated how many requests a second it takes got all that there were,
    # several times as many (LIMIT).
    def test_a_target_gets_no_more_requests_than_it_states(self):
        self.targets[0].behaviour.stated_rate = "0.5"
        self.send_request(0, "/status/first", Shard_Key="5")
        answers = self.send_many("/status/more", 24, Shard_Key="5")
        self.assertLessEqual(len(self.targets[0].executed_requests) - 1, 5)
        refused = [answer for answer in answers if answer.status != 200]
        self.assertGreaterEqual(len(refused), 19)
        for answer in refused:
            self.assertEqual(answer.status, 503)
            self.assertIn("Retry-After", dict(answer.headers))

    def test_requests_beyond_the_rate_go_to_another_target(self):
        limited, other = self.targets[2], self.targets[3]
        limited.behaviour.stated_rate = "0.5"
        while not limited.executed_requests:
            self.send_many("/look/first", 4)
        ran = len(limited.executed_requests)
        answers = self.send_many("/look/more", 16)
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertLessEqual(len(limited.executed_requests) - ran, 5)
        self.assertGreaterEqual(len(other.executed_requests), 11)

    def test_the_limit_ends_with_the_answers_that_state_it(self):
        target = self.targets[0]
        target.behaviour.stated_rate = "4"
        self.send_request(0, "/status/first", Shard_Key="5")
        target.behaviour.stated_rate = ""
        self.send_request(0, "/status/second", Shard_Key="5")
        answers = self.send_many("/status/more", 12, Shard_Key="5")
        self.assertEqual({answer.status for answer in answers}, {200})

    # A target that announced only in its answers that it leaves got requests until its
    # heartbeats said so too (DRAIN).
    def test_a_target_that_announces_its_leave_hands_its_keys_over(self):
        leaving, other = self.targets[0], self.targets[1]
        leaving.behaviour.announces_leaving = True
        self.send_request(0, "/status/first", Shard_Key="5")
        self.tick_until(
            lambda: sum(row.last - row.first + 1 for row in other.held) == 65536, 8.0
        )
        answer = self.send_request(0, "/status/second", Shard_Key="5")
        self.assertEqual(answer.status, 200)
        self.assertEqual(len(leaving.executed_requests), 1)
        closed = self.routers[0].admission_queue
        self.tick_until(lambda: closed.closed_reason is not None, 4.0)


class PlannedStopTests(RouterTestCase):
    GRACE = "3s"

    def setUp(self):
        super().setUp()
        body = configuration(3, timeout="20s").replace(b"h.example", HOST.encode())
        self.store.put("keyed.op", "config", body)
        self.tick_until(
            lambda: all(r.request_router.routing.version == 3 for r in self.routers),
            4.0,
        )

    # A daemon exited at the end of its grace period with requests that had no outcome
    # yet, and their callers' connections were closed without an answer.
    def test_callers_get_an_answer_if_their_requests_outlast_the_grace_period(self):
        results: dict[str, list] = {"/credit/works": [], "/credit/waits": []}
        for target in self.targets:
            target.behaviour.work_s = 9.0
        for router in self.routers:
            router.admission_queue.limit.resize(1)
        for path, answers in results.items():
            headers = (("Request-Id", path), ("Timeout-Ms", "15000"))
            self.client.fetch(
                address(0, 2), "POST", path, headers, b"", 15.0, answers.append
            )
        self.tick_until(lambda: self.run_count("/credit/works") == 1, 2.0)
        self.routers[0].request_stop()
        self.tick_until(lambda: self.ended == [0], 4.0)
        for path, answers in results.items():
            with self.subTest(path=path):
                self.assertIsInstance(answers[0], Response)
                self.assertEqual(answers[0].status, 502)

    # A daemon that exited reset connections on which requests or outcomes were still on
    # their way, and the senders could not tell whether their requests had run.
    def test_a_daemon_refuses_new_connections_of_peers_before_it_exits(self):
        stopping = self.routers[2]
        stopping.request_stop()
        self.tick_until(lambda: stopping.sessions.acceptor.host is None, 4.0)
        self.assertEqual(self.ended, [])
        self.tick_until(lambda: self.ended == [2], 2.0)


class GrantsByRequestTests(RouterPathTests):
    """The same for targets that take their keys by requests of their daemons."""

    GRANTS = "request"

    def test_keys_of_a_leaving_target_are_handed_over_with_their_tokens(self):
        leaving, other = self.targets[0], self.targets[1]
        leaving.state = "draining"
        self.tick_until(
            lambda: sum(row.last - row.first + 1 for row in other.held) == 65536, 8.0
        )
        table = self.routers[1].local_table()
        self.assertTrue(any(span.token for span in table.spans))
        answer = self.send_request(2, "/status/handed", Shard_Key="5")
        self.assertEqual(answer.status, 200)
