"""``rhubarb-ctl store`` against the stand-in for the store, which runs in a thread."""

from __future__ import annotations

import json
import tempfile
import threading
import time
import unittest
from pathlib import Path

from click.testing import CliRunner, Result

from rhubarbhall.adapters.loop import Loop
from rhubarbhall.core.ownership.key_table import Claim, KeyTable
from rhubarbhall.core.ownership.publisher import TOPIC
from rhubarbhall.core.ownership.records import (
    Member,
    TargetState,
    encode_member,
    encode_table,
    member_key,
    table_key,
)
from rhubarbhall.programs import ctl
from rhubarbhall.standins.platform_store import PlatformStore
from tests.adapters.test_daemon import free_base_port
from tests.platform.test_path import configuration

A, B = "10.0.0.1:1", "10.0.0.2:1"


class StoreViewTests(unittest.TestCase):
    def setUp(self):
        port = free_base_port()
        self.address = f"127.0.0.1:{port}"
        self.store = PlatformStore(("127.0.0.1", port))
        loop = Loop()
        loop.add(self.store.port)
        thread = threading.Thread(target=loop.manager.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, 5.0)
        self.addCleanup(loop.stop)
        while not loop.manager.running:
            time.sleep(0.01)

    def ctl(self, *arguments: str) -> Result:
        command = ["store", *arguments, "--store", self.address]
        return CliRunner().invoke(ctl.command, command, standalone_mode=False)

    def fill_store(self) -> None:
        for address in (A, B):
            member = Member("keyed", "d", "r", "i@1", 9, TargetState.READY)
            self.store.put(TOPIC, member_key(address), encode_member(member))
        table = KeyTable.divided([Claim(A, "i@1"), Claim(B, "i@1")])
        self.store.put(TOPIC, table_key("keyed"), encode_table(table))
        self.store.put("keyed.op", "config", configuration(4))

    def test_members_and_owners_are_shown(self):
        self.fill_store()
        members = self.ctl("members").output.splitlines()
        self.assertEqual([line.split()[0] for line in members], ["router", A, B])
        owners = self.ctl("owners").output
        self.assertIn("0-32767", owners)
        one = self.ctl("owners", "--key", "40000").output.splitlines()
        self.assertEqual(len(one), 2)
        self.assertIn(B, one[1])

    def test_the_configuration_in_force_is_shown(self):
        self.assertEqual(self.ctl("routes").return_value, ctl.EXIT_VOID)
        self.fill_store()
        shown = self.ctl("routes").output
        self.assertIn("version 4", shown)
        self.assertIn("/credit/", shown)

    def test_the_status_of_a_refusing_store_is_reported(self):
        self.store.faults.refuses = True
        self.assertIn("503", str(self.ctl("members").exception))

    def test_an_address_where_nothing_listens_is_reported(self):
        self.address = f"127.0.0.1:{free_base_port()}"
        self.assertIn(self.address, str(self.ctl("members").exception))

    def test_an_unreadable_configuration_is_reported(self):
        self.store.put("keyed.op", "config", b"{")
        self.assertIn("keyed.op", str(self.ctl("routes").exception))

    def test_a_file_is_checked_against_the_configuration_and_members_in_force(self):
        self.fill_store()
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "new.json"
            file.write_bytes(configuration(4, timeout="3s"))
            result = self.ctl("check", str(file), "--json")
            self.assertEqual(result.return_value, 1)
            report = json.loads(result.output)
            kinds = {each["kind"] for each in report["findings"]}
            self.assertIn("version_not_above", kinds)
            self.assertEqual(list(report["changes"]), ["timeouts"])
            file.write_bytes(configuration(5, timeout="3s"))
            self.assertEqual(self.ctl("check", str(file)).return_value, 0)
            self.store.faults.refuses = True
            self.assertIn("503", str(self.ctl("check", str(file)).exception))
