"""Evacuations reach every daemon, whichever way, and never go back."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

import msgspec

from rhubarbhall.adapters.peer_frames import (
    ConfigurationPush,
    Evacuated,
    Pong,
    SyncRequest,
    SyncResponse,
)
from rhubarbhall.core.ownership.entries import Entry
from rhubarbhall.platform.names import EVACUATION_PREFIX
from rhubarbhall.programs.router_peers import PUSH_GRACE_S
from tests.platform.test_path import configuration
from tests.programs.test_router_configuration import LOCAL, PEER, FakeDaemon

KNOWN, ENDED, IGNORED = 421, 422, 413


class EvacuationDaemon(FakeDaemon):
    """The parts of the routing daemon that handle evacuations."""

    def __init__(self):
        super().__init__()
        self.reconciler = SimpleNamespace(evacuated_domains=frozenset())
        self.key_changes_due = 0
        self.publisher.write_due = self.write_due

    def write_due(self, now, member) -> None:
        self.key_changes_due += 1

    def local_member(self, now):
        return None

    @property
    def in_force(self) -> set[str] | None:
        """Domains as both the choice of targets and the key table have them."""
        domains = self.placement_rules.evacuated_domains
        if domains is not None:
            assert domains == self.reconciler.evacuated_domains
        return None if domains is None else set(domains)


class EvacuationTestCase(unittest.TestCase):
    def setUp(self):
        self.daemon = EvacuationDaemon()

    def read(self, end: int, *records: tuple[int, str, bytes]) -> None:
        """Read records of the operators' topic up to its end."""
        now = self.daemon.now
        entries = tuple(
            Entry(offset, EVACUATION_PREFIX + domain, value)
            for offset, domain, value in records
        )
        self.daemon._on_operator_entries(now, entries)
        self.daemon._on_operator_topic_read(now, now, end)

    def push(self, position: int, *domains: str, limit: str = LOCAL) -> None:
        evacuated = Evacuated(position, list(domains))
        push = ConfigurationPush(-1, EVACUATION_PREFIX, b"", limit, evacuated)
        self.daemon.on_configuration_push(push)

    def logged(self, code: int) -> list[str]:
        events = self.daemon.events
        return [each.fields["domain"] for each in events if each.code == code]

    def relayed(self) -> list[Evacuated]:
        return [push.evacuated for push in self.daemon.links.relayed]


class InForceTests(EvacuationTestCase):
    def test_a_daemon_that_starts_knows_nothing_until_it_has_read_the_topic(self):
        self.assertIsNone(self.daemon.in_force)
        self.read(1, (0, "d1", b"{}"))
        self.assertEqual(self.daemon.in_force, {"d1"})
        self.assertEqual(self.relayed(), [])

    # Guards against: keys that stay in the domain until the next periodic check.
    def test_keys_are_moved_as_soon_as_an_evacuation_is_known(self):
        self.read(0)
        due = self.daemon.key_changes_due
        self.read(1, (0, "d1", b"{}"))
        self.assertEqual(self.daemon.key_changes_due, due + 1)

    def test_begin_and_end_are_logged_and_passed_on(self):
        self.read(0)
        self.read(1, (0, "d1", b"{}"))
        self.read(2, (1, "d1", b""))
        self.assertEqual((self.logged(KNOWN), self.logged(ENDED)), (["d1"], ["d1"]))
        self.assertEqual(self.relayed(), [Evacuated(1, ["d1"]), Evacuated(2, [])])

    def test_reading_on_without_a_change_passes_nothing_on(self):
        self.read(1, (0, "d1", b"{}"))
        for end in (1, 1, 5):
            self.read(end)
        self.assertEqual((self.relayed(), self.logged(KNOWN)), ([], ["d1"]))

    def test_the_state_stays_while_the_store_does_not_answer(self):
        self.read(1, (0, "d1", b"{}"))
        self.daemon.evacuations.begin_snapshot()
        self.assertEqual(self.daemon.in_force, {"d1"})


class PushTests(EvacuationTestCase):
    def test_a_push_takes_force_and_is_passed_on_once(self):
        self.push(3, "d1", "d2")
        self.push(3, "d1", "d2")
        self.assertEqual(self.daemon.in_force, {"d1", "d2"})
        self.assertEqual(len(self.relayed()), 1)

    # Guards against: an evacuation that ends, or begins again, by a push that is late.
    def test_a_late_push_has_no_effect_and_goes_no_further(self):
        self.push(5)
        self.push(4, "d1")
        self.assertEqual(self.daemon.in_force, set())
        self.assertEqual(len(self.relayed()), 1)

    def test_a_push_after_the_same_state_was_read_is_still_passed_on(self):
        self.read(0)
        self.daemon.links.relayed.clear()
        self.push(0, limit=LOCAL)
        self.assertEqual(len(self.relayed()), 1)

    # Guards against: daemons of earlier builds that close the connection or put another
    # configuration in force, by a push that has no configuration.
    def test_earlier_builds_ignore_the_push(self):
        self.daemon._apply_configuration(configuration(7))
        push = ConfigurationPush(-1, EVACUATION_PREFIX, b"", LOCAL, Evacuated(3, ["d"]))
        as_decoded_by_them = msgspec.structs.replace(push, evacuated=None)
        self.daemon.on_configuration_push(as_decoded_by_them)
        self.assertEqual(self.daemon.version, 7)
        self.assertEqual(self.relayed(), [])


class GapTests(EvacuationTestCase):
    def pong(self, position: int) -> Pong:
        return Pong(1, 0, 0, -1, 0, 0, position)

    def test_a_gap_to_a_peer_is_closed_by_a_sync(self):
        self.read(1, (0, "d1", b"{}"))
        self.daemon.on_pong(PEER, self.daemon.now, self.pong(4))
        self.assertEqual(self.daemon.links.asked, [])
        self.daemon.now += 2 * PUSH_GRACE_S
        self.daemon.on_pong(PEER, self.daemon.now, self.pong(4))
        self.assertEqual(self.daemon.links.asked, [(PEER, -1)])

    def test_a_peer_that_knows_no_more_is_asked_for_nothing(self):
        self.read(4, (0, "d1", b"{}"))
        self.daemon.on_pong(PEER, self.daemon.now, self.pong(1))
        self.daemon.now += 2 * PUSH_GRACE_S
        self.daemon.on_pong(PEER, self.daemon.now, self.pong(4))
        self.assertEqual(self.daemon.links.asked, [])

    def test_a_sync_brings_the_state_to_whom_lacks_it_only(self):
        self.read(1, (0, "d1", b"{}"))
        told = self.daemon.on_sync_request(SyncRequest(0, -1, 0))
        self.assertEqual(told.evacuated, Evacuated(1, ["d1"]))
        again = self.daemon.on_sync_request(SyncRequest(0, -1, 1))
        self.assertIsNone(again.evacuated)

    def test_a_daemon_that_was_cut_off_learns_that_a_domain_is_taken_back(self):
        self.read(1, (0, "d1", b"{}"))
        told = SyncResponse([], 0, 0, None, Evacuated(6, []))
        self.daemon.on_sync_response(PEER, self.daemon.now, told)
        self.assertEqual((self.daemon.in_force, self.logged(ENDED)), (set(), ["d1"]))

    # Guards against: a region that has lost the store and learns of an evacuation one
    # daemon at a time, after the bound.
    def test_a_change_that_a_sync_brings_is_passed_on_within_the_region(self):
        self.read(1, (0, "d1", b"{}"))
        for position in (6, 9):
            told = SyncResponse([], 0, 0, None, Evacuated(position, ["d2"]))
            self.daemon.on_sync_response(PEER, self.daemon.now, told)
        self.assertEqual(self.relayed(), [Evacuated(6, ["d2"])])

    def test_frames_of_earlier_builds_have_no_state(self):
        for frame in (Pong(1, 0, 0, -1, 0, 0), SyncRequest(0, -1)):
            fields = msgspec.structs.astuple(frame)[:-1]
            decoded = msgspec.convert(
                [frame.__struct_config__.tag, *fields], type(frame)
            )
            self.assertEqual(decoded.evacuations, -1)
