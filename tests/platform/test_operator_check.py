"""Each finding of the check of an operators' configuration."""

from __future__ import annotations

import copy
import json
import sys
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from rhubarbhall.core.traffic.configuration_check import CheckContext, FindingKind
from rhubarbhall.platform.operator import parse_configuration
from rhubarbhall.platform.operator_check import CheckReport, check_configuration
from rhubarbhall.programs import ctl

MEMORY = 200 * (1 << 20)
ROUTE = {"hostname": "h", "path_prefix": "/a/", "type": "idempotent", "service": "s"}


def entry(kind: str, name: str, **spec: object) -> dict:
    return {"resource_type": kind, "metadata": {"name": name}, "spec": spec}


def document(*more: dict, version: int = 2, **route: object) -> bytes:
    resources = [entry("routes", "r", **{**ROUTE, **route}), entry("services", "s")]
    return json.dumps({"version": version, "resources": [*resources, *more]}).encode()


def check(data: bytes, in_force: bytes | None = None, **context: object) -> CheckReport:
    table = None if in_force is None else parse_configuration(in_force)
    return check_configuration(data, CheckContext(MEMORY, **context), table)


class FindingTests(unittest.TestCase):
    def assert_found(self, data: bytes, *expected: tuple, **context: object) -> None:
        found = check(data, **context).findings
        places = [(f.kind.value, f.severity.value, f.type, f.field) for f in found]
        self.assertEqual(places, list(expected))

    def test_a_proper_file_has_no_findings(self):
        self.assert_found(document())

    def test_all_errors_of_entries_are_reported_with_the_value(self):
        data = document(
            entry("services", "t", warmup="soon"),
            entry("routes", "q", **{**ROUTE, "max_attempts": "two"}),
            {"metadata": {"name": "n"}},
            entry("odd", "o"),
        )
        found = check(data).findings
        self.assertEqual(
            [(f.kind.value, f.name, f.field) for f in found],
            [
                ("invalid_entry", "t", "warmup"),
                ("invalid_entry", "q", "max_attempts"),
                ("invalid_entry", "n", "resource_type"),
                ("unknown_type", "o", "resource_type"),
            ],
        )
        self.assertIn("'soon'", found[0].message)
        self.assertIn("'two'", found[1].message)

    def test_a_file_that_is_no_configuration_is_an_error(self):
        for data in (b"{", b"[]", b'{"resources": []}', b"[" * 100_000):
            with self.subTest(data=data[:20]):
                self.assertTrue(check(data).has_errors)

    def test_a_wrong_value_outside_of_a_spec_is_quoted(self):
        wrong = entry("routes", "q")
        (found,) = check(document({**wrong, "spec": "none"})).findings
        self.assertEqual((found.type, found.name, found.field), ("routes", "q", "spec"))
        self.assertIn("'none'", found.message)
        (found,) = check(document(version=-7)).findings
        self.assertEqual(found.field, "version")
        self.assertIn("-7", found.message)

    def test_findings_of_routes(self):
        routes, error, warning = "routes", "error", "warning"
        twin = entry("routes", "twin", **ROUTE)
        self.assert_found(
            document(twin), ("shadowed_route", error, routes, "path_prefix")
        )
        split = [{"service": "s", "weight": 0}, {"service": "s", "weight": -1}]
        mixed = [{"service": "s", "weight": 1}, {"service": "s", "weight": -1}]
        for fields, kind, severity, field in (
            ({"path_prefix": "a/"}, "bad_prefix", error, "path_prefix"),
            ({"path_prefix": "/a"}, "bad_prefix", error, "path_prefix"),
            ({"hostname": "h:80"}, "bad_host", error, "hostname"),
            ({"timeout": "0.5s"}, "latency_beyond_timeout", warning, "target_latency"),
            ({"traffic_split": split}, "no_positive_weight", error, "traffic_split"),
            ({"traffic_split": mixed}, "negative_weight", warning, "traffic_split"),
            ({"max_attempts": 0}, "no_attempt", error, "max_attempts"),
            ({"max_attempts": 2}, "attempts_beyond_budget", warning, "max_attempts"),
        ):
            with self.subTest(fields=fields):
                self.assert_found(document(**fields), (kind, severity, routes, field))

    def test_services(self):
        unknown = document(entry("routes", "q", **{**ROUTE, "hostname": "i"}))
        unknown = unknown.replace(b'"service": "s"', b'"service": "x"', 1)
        place = ("routes", "traffic_split")
        self.assert_found(unknown, ("unknown_service", "warning", *place))
        regions = {"s": frozenset({"r1"})}
        self.assert_found(
            unknown, ("unknown_service", "error", *place), regions_by_service=regions
        )
        regions["x"] = regions["s"]
        self.assert_found(unknown, regions_by_service=regions)
        unused = document(entry("services", "t"))
        self.assert_found(unused, ("unused_service", "warning", "services", ""))
        for spec, field in (
            ({"warmup": "3s"}, "warmup_per_s"),
            ({"warmup_per_s": 6.5}, "warmup"),
        ):
            route = entry("routes", "q", **{**ROUTE, "hostname": "i", "service": "t"})
            data = document(route, entry("services", "t", **spec))
            place = ("services", field)
            self.assert_found(data, ("warmup_incomplete", "warning", *place))

    def test_names_that_are_not_unique(self):
        split = [{"service": "s", "weight": 1}, {"service": "s", "weight": 2}]
        for parts in (split[:1], [*split, *split]):
            route = {**ROUTE, "path_prefix": "/b/", "traffic_split": parts}
            data = document(entry("routes", "r", **route), traffic_split=split)
            self.assert_found(data, ("duplicate_name", "warning", "routes", ""))
        data = document(
            entry("services", "s"), entry("limits", ""), entry("limits", "")
        )
        self.assert_found(
            data,
            ("duplicate_name", "warning", "services", ""),
            ("duplicate_name", "warning", "limits", ""),
        )

    def test_limits(self):
        for spec, kind, severity in (
            ({"max_body_bytes": 70_000_000}, "body_beyond_memory", "error"),
            ({"max_header_bytes": 0}, "bad_header_limit", "error"),
            ({"max_header_bytes": 70_000_000}, "bad_header_limit", "error"),
            ({"header_timeout": "0s"}, "bad_header_limit", "error"),
            ({"idle_timeout": "1s"}, "idle_below_timeout", "warning"),
        ):
            with self.subTest(spec=spec):
                (field,) = spec
                data = document(entry("limits", "", **spec), timeout="2s")
                self.assert_found(data, (kind, severity, "limits", field))

    def test_regions(self):
        regions = {"s": frozenset({"r1"})}
        for allowed, severity in ((["r2"], "error"), (["r1", "r2"], "warning")):
            self.assert_found(
                document(allowed_regions=allowed),
                ("region_without_target", severity, "routes", "allowed_regions"),
                regions_by_service=regions,
            )
        data = document(allowed_regions=["r1", "R1"])
        self.assert_found(
            data, ("region_spellings", "warning", "routes", "allowed_regions")
        )

    def test_every_kind_is_in_the_list_of_outer_names(self):
        names = Path(__file__).parents[2] / "docs" / "outer-names.txt"
        listed = names.read_text().splitlines()
        self.assertEqual([kind for kind in FindingKind if kind not in listed], [])


class ChangeTests(unittest.TestCase):
    def test_differences_are_grouped_and_the_version_has_to_grow(self):
        report = check(document(), document())
        self.assertEqual(report.findings[0].kind, FindingKind.VERSION_NOT_ABOVE)
        self.assertEqual(report.changes, {})
        split = [{"service": "s", "weight": 1}, {"service": "t", "weight": 3}]
        limits = entry("limits", "", max_body_bytes=9)
        for data, group in (
            (document(limits, version=3), "caller_limits"),
            (document(entry("services", "t"), version=3), "services"),
            (document(version=3, service="t"), "moved_to_services"),
            (document(version=3, traffic_split=split), "moved_to_services"),
            (document(version=3, timeout="9s"), "timeouts"),
            (document(version=3, target_latency="9s"), "latency_targets"),
            (document(version=3, max_attempts=3), "attempts"),
            (document(version=3, priority=3), "priorities"),
            (document(version=3, type="other"), "idempotency"),
            (document(version=3, allowed_regions=["x"]), "regions"),
        ):
            with self.subTest(group=group):
                self.assertEqual(list(check(data, document()).changes), [group])
        other = copy.deepcopy(split)
        other[0]["weight"] = 2
        changes = check(
            document(version=3, traffic_split=other), document(traffic_split=split)
        ).changes
        self.assertEqual(list(changes), ["split_shares"])

    def test_removed_routes_tell_what_callers_get(self):
        changes = check(document(version=3, path_prefix="/b/"), document()).changes
        self.assertEqual(changes["routes_added"], ["r (h/b/)"])
        self.assertEqual(changes["routes_removed"], ["r (h/a/): callers get 404"])
        changes = check(document(version=3, path_prefix="/"), document()).changes
        self.assertEqual(changes["routes_removed"], ["r (h/a/): served by r"])


class CommandTests(unittest.TestCase):
    def test_exit_codes_and_json(self):
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "c.json"

            def run(*arguments: str):
                runner = CliRunner()
                return runner.invoke(ctl.command, arguments, standalone_mode=False)

            file.write_bytes(document())
            self.assertEqual(run("check", str(file)).return_value, 0)
            file.write_bytes(document(max_attempts=0))
            self.assertEqual(run("check", str(file)).return_value, 1)
            result = run("store", "check", str(file), "--json")
            (found,) = json.loads(result.output)["findings"]
            self.assertEqual((found["kind"], found["name"]), ("no_attempt", "r"))
            (Path(folder) / "old").write_bytes(b"{")
            result = run("store", "check", str(file), "--against", f"{folder}/old")
            self.assertIsNotNone(result.exception)


class SizeTests(unittest.TestCase):
    def test_the_number_of_calls_grows_with_the_number_of_routes_only(self):
        # Guards against comparing each route with each other one.
        calls = 0

        def count(frame: object, event: str, argument: object) -> None:
            nonlocal calls
            calls += event == "call"

        more = [
            entry("routes", f"r{i}", **{**ROUTE, "path_prefix": f"/{i}/"})
            for i in range(1_400)
        ]
        old, new = document(*more), document(*more, version=3)
        sys.setprofile(count)
        try:
            report = check(new, old)
        finally:
            sys.setprofile(None)
        self.assertEqual(report.findings, ())
        self.assertLess(calls, 200 * len(more))
