"""Tests of ``rhubarb-ctl`` against a real log service and real daemons."""

from __future__ import annotations

import json
import tempfile
import threading
import time
import unittest
from pathlib import Path

import eliot
import tomli_w
from click.testing import CliRunner, Result

from rhubarbhall.adapters.loop import Loop
from rhubarbhall.core.records import DeclareLost, IntentRecord, make_envelope
from rhubarbhall.programs import ctl
from rhubarbhall.programs.mesh_client import MeshError, publish
from rhubarbhall.standins.deployment import Deployment, VmLocation
from rhubarbhall.standins.faults import LogFaults
from tests.adapters.test_daemon import DOCUMENT, free_base_port

PLACES = [("idukki", "i1"), ("wayanad", "w1")]


class CtlTests(unittest.TestCase):
    """Runs the commands in this thread, and the deployment on a loop in another one."""

    @classmethod
    def setUpClass(cls):
        eliot.add_destinations(_drop)

    def setUp(self):
        self.loop = Loop()
        self.deployment = Deployment(self.loop, free_base_port())
        for region, domain in PLACES:
            self.deployment.add_vm(VmLocation(region, domain, {"app": "status"}))
        self.thread = threading.Thread(target=self.loop.manager.run, daemon=True)
        self.thread.start()
        self.addCleanup(self._stop)
        while not self._all_joined():
            time.sleep(0.02)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "intent.toml"
        self.write(DOCUMENT)

    def _all_joined(self) -> bool:
        return all(
            vm.daemon.node.context.member is not None
            for vm in self.deployment.vm_by_name.values()
        )

    def _stop(self):
        self.loop.stop()
        self.thread.join(10.0)
        self.deployment.shut_down()

    def write(self, document: dict) -> None:
        self.file.write_text(tomli_w.dumps(document), encoding="utf-8")

    def ctl(self, *arguments: str) -> Result:
        return CliRunner().invoke(ctl.command, arguments, standalone_mode=False)

    def apply(self, *arguments: str) -> Result:
        log = self.deployment.log_address
        return self.ctl("apply", str(self.file), "--log", log, *arguments)

    def test_apply_get_and_diff_and_a_repeated_apply_changes_nothing(self):
        result = self.apply("--wait-s", "20")
        self.assertIn("version 1 is in force everywhere", result.output)
        self.assertEqual(result.return_value, 0)
        self.assertIn("in force already", self.apply().output)
        shown = self.ctl("get", "--log", self.deployment.log_address).output
        self.assertIn("[services.status]", shown)
        diff = self.ctl("diff", str(self.file), "--log", self.deployment.log_address)
        self.assertEqual(diff.output, "")

    def test_a_lost_race_applies_nothing_and_names_the_winning_record(self):
        self.apply("--wait-s", "20")
        changed = dict(DOCUMENT, preferences={"regions": ["wayanad"]})
        rival = make_envelope("rival/1", IntentRecord(1, changed))
        self.deployment.log.store.append(rival)
        result = self.apply("--replaces", "1")
        self.assertEqual(result.return_value, ctl.EXIT_VOID)
        self.assertIn("intent is at version 2, not 1", result.output)
        self.assertIn("rival/1 came first", result.output)

    def test_an_append_without_an_answer_is_resolved_by_reading_the_log(self):
        self.deployment.log.faults = LogFaults(mode="lose_answers")
        result = self.apply("--wait-s", "20")
        self.assertIn("version 1 is in force everywhere", result.output)
        record_ids = [each.envelope.id for each in self.deployment.log.store._records]
        published_ids = [each for each in record_ids if each.startswith("ctl/")]
        self.assertEqual(len(set(published_ids)), 1)

    def test_publish_raises_an_error_if_the_log_is_down(self):
        self.deployment.log.faults = LogFaults(mode="down")
        with self.assertRaisesRegex(MeshError, "may still take effect"):
            publish(self.deployment.log_address, DeclareLost(("x",)), 0.5)

    def test_check_reports_an_invalid_file(self):
        self.write({"services": {"x": {"slices": 0}}})
        result = self.ctl("check", str(self.file))
        self.assertIn("services.x.slices", str(result.exception))

    def test_status_dump_and_drain(self):
        self.apply("--wait-s", "20")
        log = self.deployment.log_address
        status = json.loads(self.ctl("status", "--log", log, "--json").output)
        self.assertEqual(status["intent_version"], 1)
        self.assertEqual(len(status["members"]), 2)
        table = self.ctl("status", "--log", log).output
        self.assertIn("IMBALANCE", table)
        vm = self.deployment.vm_by_name["vm1"]
        dump = json.loads(self.ctl("dump", vm.peers).output)
        self.assertEqual(dump["calls"], vm.calls)
        drained = self.ctl("drain", "vm=vm1", "--log", log, "--wait-s", "20")
        self.assertIn("version 2 is in force", drained.output)
        undone = self.ctl("drain", "vm=vm1", "--undo", "--log", log, "--wait-s", "20")
        self.assertIn("version 3 is in force", undone.output)


def _drop(message: object) -> None:
    """Discard the log events of the daemons, so that they are not printed."""


if __name__ == "__main__":
    unittest.main()
