from __future__ import annotations

import unittest

from rhubarbhall.core.errors import ConfigurationError
from rhubarbhall.core.intent import intent_from_toml

GOOD = """
[preferences]
regions = ["south"]

[[leaving]]
targets = "vm=vm2"

[services.board]
targets = "app=board"
slices = 32

[[services.board.routes]]
path = "/deposit"
methods = ["POST"]
work = "short"
idempotency_key = "required"

[services.desk]
targets = "app=desk"
keyed = false
"""

BAD = """
colour = "red"

[preferences]
regions = "south"

[[leaving]]
targets = ""

[services.Board]
targets = "app="
slices = 0
slots = 4
short_slots = 4
deadline_ms = 10
max_deadline_ms = 5
speed = 1

[[services.Board.routes]]
path = "deposit"
work = "brief"

[services.desk]
keyed = "no"
"""


class IntentTests(unittest.TestCase):
    def test_a_valid_intent_is_read(self):
        intent = intent_from_toml(GOOD)
        board = intent.services["board"]
        self.assertEqual(board.slices, 32)
        self.assertEqual(board.route_for("POST", "/deposit").work, "short")
        self.assertEqual(board.route_for("GET", "/deposit").work, "learned")
        self.assertFalse(intent.services["desk"].keyed)
        self.assertTrue(intent.is_leaving({"vm": "vm2"}))
        self.assertEqual(intent.regions, ("south",))

    def test_all_mistakes_are_reported_with_file_and_field(self):
        with self.assertRaises(ConfigurationError) as caught:
            intent_from_toml(BAD, "bad.toml")
        problems = "\n".join(caught.exception.problems)
        for expected in (
            "bad.toml: top level.colour: unknown field; allowed: services",
            "bad.toml: preferences.regions: must be a list",
            "bad.toml: leaving[0].targets: must name at least one label",
            "bad.toml: services.Board: invalid name; allowed: one or more of",
            "bad.toml: services.Board.targets: cannot parse 'app='",
            "bad.toml: services.Board.slices: 0 is out of range; allowed: 1 to",
            "bad.toml: services.Board.speed: unknown field; allowed: targets",
            "services.Board.routes[0].path: 'deposit' must start with '/'",
            "services.Board.routes[0].work: 'brief'",
            "services.Board.short_slots: 4 must be less than slots (4)",
            "services.Board.deadline_ms: 10 must not exceed max_deadline_ms (5)",
            "bad.toml: services.desk.targets: is missing",
            "bad.toml: services.desk.keyed: 'no'",
        ):
            with self.subTest(expected=expected):
                self.assertIn(expected, problems)

    def test_a_toml_syntax_error_is_reported_with_its_file(self):
        with self.assertRaises(ConfigurationError) as caught:
            intent_from_toml("a = ", "torn.toml")
        self.assertIn("torn.toml: not valid TOML", caught.exception.problems[0])

    def test_the_method_decides_idempotence_unless_the_route_does(self):
        service = intent_from_toml(GOOD).services["board"]
        route = service.route_for("GET", "/look")
        self.assertTrue(route.is_idempotent("GET"))
        self.assertFalse(route.is_idempotent("POST"))
