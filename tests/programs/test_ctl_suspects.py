"""Commands of ``rhubarb-ctl`` on requests under which targets have ended."""

from __future__ import annotations

import unittest
from unittest import mock

import msgspec
from click.testing import CliRunner, Result

from rhubarbhall.programs import ctl
from rhubarbhall.programs.mesh_client import MeshError

READY = "10.0.0.1:8302"
MARK = "5c0e7a21d94b36f85c0e7a21d94b36f8"
SUSPECT = {
    "fingerprint": MARK,
    "standing": "rejected",
    "ended_runs": 2,
    "age_s": 1.5,
}


class SuspectsCommandTests(unittest.TestCase):
    def run_command(self, answer, *arguments: str) -> tuple[Result, list[tuple]]:
        """Run a command whose calls to the router get an answer or an error."""
        calls: list[tuple] = []

        def fetch(*call):
            calls.append(call)
            if isinstance(answer, Exception):
                raise answer
            return answer

        with mock.patch.object(ctl, "fetch", fetch):
            result = CliRunner().invoke(ctl.command, ["suspects", *arguments])
        return result, calls

    def test_list_shows_what_the_dump_holds(self):
        dump = msgspec.json.encode({"vm": "vm-1", "crash_suspects": [SUSPECT]})
        result, calls = self.run_command(dump, "list", "--ready", READY)
        self.assertEqual(calls, [(READY, "GET", "/dump")])
        for word in ("standing", MARK, "rejected", "1.5"):
            self.assertIn(word, result.output)

    def test_clear_names_the_fingerprint(self):
        result, calls = self.run_command(b"", "clear", "--ready", READY, MARK)
        self.assertEqual(calls, [(READY, "DELETE", f"/suspects/{MARK}")])
        self.assertIn(f"{MARK} is cleared", result.output)

    # Guards against: a mistyped fingerprint reported as cleared.
    def test_an_unknown_fingerprint_is_an_error(self):
        error = MeshError(f"{READY}/suspects/none: status 404: ")
        result, _ = self.run_command(error, "clear", "--ready", READY, "none")
        self.assertNotEqual(result.exit_code, 0)
        self.assertNotIn("is cleared", result.output)
