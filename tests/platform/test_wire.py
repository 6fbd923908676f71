"""Decoding of the platform's messages; malformed ones are rejected as a whole."""

from __future__ import annotations

import unittest
from pathlib import Path

import msgspec

from rhubarbhall.core.errors import ConfigurationError, ErrorKind
from rhubarbhall.core.ownership.key_table import Span
from rhubarbhall.core.ownership.records import TargetState
from rhubarbhall.core.ownership.target_keys import Grant
from rhubarbhall.core.requests import RawRequest
from rhubarbhall.core.traffic.requests import Answered, NotRun, Unknown
from rhubarbhall.platform.heartbeats import (
    MAX_ANSWER_BYTES,
    encode_grant,
    parse_heartbeat,
)
from rhubarbhall.platform.ingress import parse_request, render_outcome
from rhubarbhall.platform.names import parse_time
from rhubarbhall.platform.operator import parse_configuration
from rhubarbhall.platform.settings import parse_settings
from rhubarbhall.programs.router_store import (
    MAX_CALLER_CONNECTIONS,
    MIN_CALLER_CONNECTIONS,
    RESERVED_DESCRIPTORS,
    max_caller_connections,
)

ROOT = Path(__file__).parent.parent.parent
HEARTBEAT = {
    "address": "10.1.0.8:8301",
    "born": 1700000000000,
    "info": {"service": "s1", "version": "v1", "zone": "z", "slots": 18},
    "status": {"state": "ready", "sequence": 4, "warmup_left": "250ms"},
    "holds": [[0, 4095, 7]],
    "freed": [[4096, 8191, "tok"]],
}


def changed(message: dict, path: str, value: object) -> bytes:
    copy = msgspec.json.decode(msgspec.json.encode(message))
    *parents, name = path.split(".")
    inner = copy
    for parent in parents:
        inner = inner[parent]
    if value is None:
        del inner[name]
    else:
        inner[name] = value
    return msgspec.json.encode(copy)


class HeartbeatTests(unittest.TestCase):
    def test_a_heartbeat_is_decoded(self):
        announcement = parse_heartbeat("i-1", msgspec.json.encode(HEARTBEAT))
        heartbeat = announcement.heartbeat
        self.assertEqual(heartbeat.run, "i-1@1700000000000")
        self.assertEqual(heartbeat.state, TargetState.READY)
        self.assertEqual(heartbeat.holds, ((0, 4095, 7),))
        self.assertEqual(heartbeat.handed_over, {(4096, 8191): "tok"})
        self.assertAlmostEqual(heartbeat.warmup_left_s, 0.25)

    def test_a_malformed_heartbeat_is_an_error(self):
        bodies = [
            b"",
            b"{",
            b"\xff\xfe",
            b"[]",
            changed(HEARTBEAT, "address", None),
            changed(HEARTBEAT, "address", 5),
            changed(HEARTBEAT, "status.state", "odd"),
            changed(HEARTBEAT, "status.sequence", "x"),
            changed(HEARTBEAT, "status.warmup_left", "soon"),
            changed(HEARTBEAT, "info.slots", []),
            changed(HEARTBEAT, "holds", [[5, 1, 2]]),
            changed(HEARTBEAT, "holds", [[0, 70000, 2]]),
            changed(HEARTBEAT, "freed", [[0, 1, 2]]),
        ]
        for body in bodies:
            with self.subTest(body=body), self.assertRaises(ValueError):
                parse_heartbeat("i-1", body)

    def test_a_grant_lists_all_ranges_and_the_hold_time(self):
        span = Span(0, 9, "a:1", "r", 7, token="tok")
        answer = msgspec.json.decode(encode_grant(Grant((span,), 2.5)))
        self.assertEqual(answer, {"holds": [[0, 9, 7, "tok"]], "hold_time": "2500ms"})

    def test_without_a_lease_the_answer_does_not_mention_keys(self):
        self.assertEqual(encode_grant(Grant((), 0.0)), b"{}")

    def test_an_answer_is_no_longer_than_a_target_reads(self):
        spans = tuple(
            Span(i * 10, i * 10 + 9, "a:1", "r", i, token="0123456789abcdef")
            for i in range(300)
        )
        body = encode_grant(Grant(spans, 1.0))
        self.assertLessEqual(len(body), MAX_ANSWER_BYTES)
        self.assertGreater(len(msgspec.json.decode(body)["holds"]), 50)


class ConfigurationTests(unittest.TestCase):
    RESOURCES = [
        {
            "resource_type": "routes",
            "metadata": {"name": "r1"},
            "spec": {
                "hostname": "H.example",
                "path_prefix": "/a/",
                "type": "non_idempotent",
                "timeout": "1200ms",
                "target_latency": "0.5s",
                "priority": 1,
                "service": "s1",
                "max_attempts": 2,
            },
        },
        {
            "resource_type": "services",
            "metadata": {"name": "s1"},
            "spec": {
                "max_connections": 110,
                "sharded": True,
                "warmup": "3s",
                "warmup_per_s": 6.5,
            },
        },
        {
            "resource_type": "limits",
            "metadata": {},
            "spec": {"max_header_bytes": 1000, "idle_timeout": "9s"},
        },
        {"resource_type": "unheard-of", "metadata": {}, "spec": {"x": 1}},
    ]

    def parse(self, resources):
        body = msgspec.json.encode({"version": 7, "resources": resources})
        return parse_configuration(body)

    def test_routes_services_and_limits_are_decoded(self):
        table = self.parse(self.RESOURCES)
        route = table.match("h.example", "/a/b")
        self.assertEqual((table.version, route.name), (7, "r1"))
        self.assertFalse(route.idempotent)
        self.assertEqual((route.timeout_s, route.target_latency_s), (1.2, 0.5))
        self.assertTrue(table.services_by_name["s1"].by_key)
        self.assertEqual(
            (table.callers.max_head, table.callers.idle_timeout_s), (1000, 9)
        )

    def test_the_pace_of_cold_targets_is_decoded(self):
        rules = self.parse(self.RESOURCES).warmup_by_service()["s1"]
        self.assertEqual((rules.warmup_s, rules.warmup_per_s), (3.0, 6.5))
        for rate in ({}, {"warmup_per_s": 0}, {"warmup_per_s": None}):
            service = {**self.RESOURCES[1], "spec": {"warmup": "3s", **rate}}
            table = self.parse([service])
            self.assertIsNone(table.services_by_name["s1"].warmup_per_s)
            self.assertEqual(table.warmup_by_service(), {})
        for spec in ({"warmup_per_s": -1}, {"warmup": "soon"}, {"warmup_per_s": "x"}):
            with self.subTest(spec=spec), self.assertRaises(ValueError):
                self.parse([{**self.RESOURCES[1], "spec": spec}])

    def test_a_malformed_route_is_an_error(self):
        for spec in ({}, {**self.RESOURCES[0]["spec"], "timeout": "later"}):
            broken = {**self.RESOURCES[0], "spec": spec}
            with self.subTest(spec=spec), self.assertRaises(ValueError):
                self.parse([broken])


class SettingsTests(unittest.TestCase):
    SETTINGS = {
        "node_name": "n1",
        "zone": "z",
        "region": "r",
        "listen": {
            "inbound": "10.0.0.1:1",
            "outbound": "10.0.0.1:2",
            "ready": "10.0.0.1:3",
            "control": "10.0.0.1:4",
        },
        "app_addr": "10.0.0.1:5",
        "service": "s1",
        "platform": {"address": "10.0.0.9:6", "form": "log"},
        "bounds": ["retry_budget_ratio=0.3,budget_window=5s", "drain=2500ms"],
        "new": {"field": 1},
    }

    def test_settings_are_decoded(self):
        settings = parse_settings(msgspec.json.encode(self.SETTINGS))
        self.assertEqual(settings.peer_address, "10.0.0.1:1")
        self.assertEqual((settings.retry_ratio, settings.retry_window_s), (0.3, 5.0))
        self.assertEqual((settings.drain_s, settings.grace_s), (2.5, 6.0))
        self.assertEqual(settings.configuration_s, 2.5)

    def test_the_bound_on_requests_to_cold_targets_is_decoded(self):
        for bounds, expected in (
            ([], (1.5, 8)),
            (["cold_over=2,cold_slack=3"], (2, 3)),
        ):
            body = msgspec.json.encode({**self.SETTINGS, "bounds": bounds})
            settings = parse_settings(body)
            self.assertEqual((settings.cold_factor, settings.cold_slack), expected)

    # Silent connections of callers took all descriptors of a process.
    def test_descriptors_bound_the_connections_of_callers(self):
        for limits, expected in (
            ({}, MAX_CALLER_CONNECTIONS),
            ({"max_fds": 8192}, MAX_CALLER_CONNECTIONS),
            ({"max_fds": 1000}, 1000 - RESERVED_DESCRIPTORS),
            ({"max_fds": 100}, MIN_CALLER_CONNECTIONS),
        ):
            body = msgspec.json.encode({**self.SETTINGS, "limits": limits})
            descriptors = parse_settings(body).max_descriptors
            self.assertEqual(max_caller_connections(descriptors), expected)

    def test_the_way_of_granting_keys_is_decoded(self):
        for way, expected in (("request", True), ("heartbeat", False)):
            body = msgspec.json.encode({**self.SETTINGS, "grants": way})
            self.assertEqual(parse_settings(body).grants_by_request, expected)
        body = msgspec.json.encode({**self.SETTINGS, "grants": "push"})
        with self.assertRaisesRegex(ConfigurationError, "'push'; allowed: heartbeat"):
            parse_settings(body)

    def test_invalid_settings_are_an_error(self):
        for path, value in (
            ("listen.ready", None),
            ("bounds", ["drain=soon"]),
            ("bounds", ["cold_over=nan"]),
        ):
            body = changed(self.SETTINGS, path, value)
            with self.subTest(path=path), self.assertRaises(ConfigurationError):
                parse_settings(body)


class DurationTests(unittest.TestCase):
    def test_durations(self):
        self.assertEqual((parse_time("1500ms"), parse_time("2.5s")), (1.5, 2.5))
        for text in ("", "5", "5m", "-1s", "1 s", None, 5, "1e3s"):
            with self.subTest(text=text), self.assertRaises(ValueError):
                parse_time(text)


class CallerTests(unittest.TestCase):
    def parse(self, *headers):
        base = (("Host", "h"), ("Request-Id", "q1"), ("Timeout-Ms", "1500"))
        return parse_request(RawRequest("GET", "/a", (*base, *headers), b"", "p"))

    def test_platform_headers_are_decoded_and_not_forwarded(self):
        request = self.parse(
            ("Caller-Service", "liar"),
            ("Shard-Key", "77"),
            ("Connection", "close, X-Hop"),
            ("X-Hop", "1"),
            ("X-Kept", "2"),
        )
        self.assertEqual((request.id, request.timeout_s, request.key), ("q1", 1.5, 77))
        self.assertEqual(request.headers, (("X-Kept", "2"),))

    def test_a_malformed_or_too_large_key_counts_as_missing(self):
        for text in ("65536", "-1", "x", "", "1.0", "１"):
            with self.subTest(text=text):
                self.assertIsNone(self.parse(("Shard-Key", text)).key)

    def test_only_outcomes_that_did_not_run_get_a_status_that_means_so(self):
        for kind in ErrorKind:
            status = render_outcome("q1", Unknown(kind)).status
            if kind in (ErrorKind.ANSWER_LOST, ErrorKind.DEADLINE_PASSED):
                self.assertNotIn(status, (408, 421, 429, 503))
        response = render_outcome("q1", NotRun(ErrorKind.OVERLOADED, 0.25))
        self.assertEqual(response.status, 503)
        self.assertIn(("Retry-After", "0.250"), response.headers)

    def test_the_answer_of_the_target_is_unchanged(self):
        answer = Answered(201, (("Server-Signature", "s"),), b"body")
        response = render_outcome("q1", answer)
        self.assertEqual((response.status, response.body), (201, b"body"))
        self.assertIn(("Server-Signature", "s"), response.headers)


class BoundaryTests(unittest.TestCase):
    """The platform's names occur in its package only, and that takes no decisions."""

    NAMES = (
        "Shard-Key",
        "Expected-Instance",
        "Server-Signature",
        "Not-Executed",
        "Caller-Service",
        "Timeout-Ms",
        "Store-Era",
        "log-append",
        "log-newest",
        "log-read",
        "hold_time",
        "heartbeat_url",
        "traffic_split",
        "path_prefix",
        "sharded",
    )
    STANDINS = ("platform_store.py", "platform_target.py")
    #: Modules of the core that take decisions; the package must not import them.
    DECIDING_MODULES = (
        "reconciler",
        "publisher",
        "follower",
        "range_load_balancer",
        "admission_queue",
        "target_chooser",
    )

    def sources(self):
        for path in (ROOT / "rhubarbhall").rglob("*.py"):
            yield path, path.read_text(encoding="utf-8")

    def test_platform_names_occur_in_one_package(self):
        for path, text in self.sources():
            # The stand-ins implement the platform's side of the protocol.
            is_standin = path.parent.name == "standins" and path.name in self.STANDINS
            if "platform" in path.parts or is_standin:
                continue
            found = [name for name in self.NAMES if name in text]
            self.assertEqual(found, [], path.name)

    def test_the_package_imports_no_deciding_modules(self):
        for path, text in self.sources():
            if path.parent.name != "platform":
                continue
            for module in self.DECIDING_MODULES:
                self.assertNotIn(f".{module} import", text, path.name)
