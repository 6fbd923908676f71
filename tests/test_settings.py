"""Parsers of settings, and the messages about wrong flags and variables."""

from __future__ import annotations

import unittest

from click.testing import CliRunner

from rhubarbhall.programs import daemon
from rhubarbhall.settings import (
    parse_address,
    parse_labels,
    parse_mesh_key,
    parse_region_or_domain,
)


class ParserTests(unittest.TestCase):
    def test_valid_values_are_parsed(self):
        self.assertEqual(parse_address("127.0.0.1:7100"), "127.0.0.1:7100")
        self.assertEqual(parse_labels("a=b, c=d"), {"a": "b", "c": "d"})
        self.assertEqual(parse_labels(""), {})
        self.assertEqual(parse_region_or_domain("idukki-1"), "idukki-1")
        self.assertEqual(len(parse_mesh_key("x" * 16)), 16)

    def test_errors_say_what_is_allowed(self):
        for parse, value in (
            (parse_address, "localhost:80"),
            (parse_address, "127.0.0.1"),
            (parse_address, "127.0.0.1:0"),
            (parse_address, "127.0.0.1:65536"),
            (parse_address, "256.0.0.1:80"),
            (parse_labels, "a"),
            (parse_labels, "a=b,a"),
            (parse_region_or_domain, "Idukki One"),
        ):
            with self.subTest(value=value), self.assertRaises(ValueError) as caught:
                parse(value)
            self.assertIn("allowed", str(caught.exception))

    def test_repeated_label_is_rejected(self):
        with self.assertRaisesRegex(ValueError, "twice"):
            parse_labels("a=b,a=c")

    def test_error_does_not_contain_the_mesh_key(self):
        with self.assertRaises(ValueError) as caught:
            parse_mesh_key("secret")
        self.assertNotIn("secret", str(caught.exception))


class DaemonFlagTests(unittest.TestCase):
    GOOD = (
        "--calls 127.0.0.1:1 --peers 127.0.0.1:2 --log 127.0.0.1:3 "
        "--target 127.0.0.1:4 --region a --domain b --mesh-key 0123456789abcdef"
    )

    def refuse(self, extra: str, env: dict[str, str] | None = None) -> str:
        result = CliRunner().invoke(
            daemon.command, f"{self.GOOD} {extra}".split(), env=env
        )
        self.assertEqual(result.exit_code, 2, result.output)
        return " ".join(result.output.split())

    def test_error_names_the_flag_its_value_and_what_is_allowed(self):
        output = self.refuse("--calls 127.0.0.1:99999")
        self.assertIn("--calls", output)
        self.assertIn("'127.0.0.1:99999'", output)
        self.assertIn("allowed", output)

    def test_error_names_the_environment_variable_and_its_value(self):
        output = self.refuse("", {"RHUBARB_LABELS": "nonsense"})
        self.assertIn("RHUBARB_LABELS", output)
        self.assertIn("'nonsense'", output)

    def test_error_names_the_wrong_address_among_several(self):
        output = self.refuse("--seeds 127.0.0.1:7201,nowhere")
        self.assertIn("--seeds", output)
        self.assertIn("'nowhere' is not an address", output)

    def test_inconsistent_settings_are_rejected(self):
        output = self.refuse("--lease-s 1.0 --heartbeat-s 0.8")
        self.assertIn("--heartbeat-s", output)
        self.assertIn("allowed: at most half of --lease-s (1.0)", output)
