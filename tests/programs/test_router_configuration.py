"""Operators' configurations are ordered by version, whichever way they arrive."""

from __future__ import annotations

import random
import unittest
from types import SimpleNamespace

from rhubarbhall.adapters.peer_frames import (
    ConfigurationPush,
    Pong,
    SyncConfiguration,
    SyncRequest,
    SyncResponse,
)
from rhubarbhall.adapters.peer_stream import deflate_value, inflate_value
from rhubarbhall.core.commands import LogEvent
from rhubarbhall.core.ownership.directory import KeyDirectory
from rhubarbhall.core.ownership.entries import Entry
from rhubarbhall.core.ownership.evacuations import Evacuations
from rhubarbhall.core.ownership.follower import TopicFollower
from rhubarbhall.core.ownership.peer_selection import RelayedLimits
from rhubarbhall.core.ownership.read_lease import ReadLease
from rhubarbhall.core.ownership.store_port import (
    LongPoll,
    NewestPage,
    Tail,
    Trimmed,
    position,
)
from rhubarbhall.core.timers import TimerService
from rhubarbhall.core.traffic.warmup import Warmup
from rhubarbhall.platform.names import CONFIGURATION_KEY
from rhubarbhall.programs.router_peers import PUSH_GRACE_S, PeerHandlers, RecordGap
from rhubarbhall.programs.router_store import COMPARISON_TIMEOUT_S, StoreHandlers
from tests.platform.test_path import configuration

LOCAL, PEER, BEYOND = "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"
IN_FORCE, UNREADABLE, IGNORED = 411, 412, 413


class FakeLinks:
    """Keeps what would be sent to peers."""

    def __init__(self):
        self.relayed: list[ConfigurationPush] = []
        self.asked: list[tuple[str, int]] = []

    def relay_configuration(self, push: ConfigurationPush) -> None:
        self.relayed.append(push)

    def request_sync(
        self, address: str, offset: int, configuration: int, evacuations: int
    ) -> None:
        self.asked.append((address, configuration))


class FakeDaemon(StoreHandlers, PeerHandlers):
    """The parts of the routing daemon that handle configurations."""

    def __init__(self):
        self.timers = TimerService()
        self.now = 100.0
        self.events: list[LogEvent] = []
        self.settings = SimpleNamespace(service="keyed")
        self.local_address = LOCAL
        self.directory = KeyDirectory()
        self.directory.advance_end(0)
        self.read_lease = ReadLease()
        self.request_router = SimpleNamespace(routing=None)
        self.publisher = SimpleNamespace(by_key=False)
        self.admission_queue = SimpleNamespace(
            on_placement_changed=lambda now: None, warmup=Warmup()
        )
        self.chooser = SimpleNamespace(warmup_by_service={})
        self.reconciler = SimpleNamespace(warmup_s=0.0)
        self.callers = SimpleNamespace(limit=lambda limits: None)
        load = SimpleNamespace(utilization=0.0, cost=0.0)
        self.balancer = SimpleNamespace(
            record_load=lambda now, address, load: None, local_load=lambda now: load
        )
        self.relayed = RelayedLimits(LOCAL)
        self.links = FakeLinks()
        self._directory_gap = RecordGap()
        self._configuration_gap = RecordGap()
        self.evacuations = Evacuations()
        self._evacuation_gap = RecordGap()
        self.placement_rules = SimpleNamespace(evacuated_domains=None)
        self._configuration_value = b""
        self._started_at = self.now
        self._is_configuration_compared = False

    def _advance_timers(self) -> float:
        self.timers.advance_to(self.now)
        return self.now

    def _on_directory_changed(self, now: float) -> None:
        pass

    def log_event(self, event: LogEvent) -> None:
        self.events.append(event)

    @property
    def version(self) -> int:
        return self.pong(1).configuration


class WarmupTests(unittest.TestCase):
    """The pace of cold targets that a configuration states, and takes back."""

    def test_it_takes_effect_with_the_configuration(self):
        daemon, stated = FakeDaemon(), b'"max_connections":20'
        pace = stated + b',"warmup":"3s","warmup_per_s":6.5'
        daemon._apply_configuration(configuration(1).replace(stated, pace))
        self.assertEqual(daemon.admission_queue.warmup.rate, 6.5)
        self.assertEqual(set(daemon.chooser.warmup_by_service), {"keyed", "pay"})
        self.assertEqual(daemon.reconciler.warmup_s, 3.0)
        daemon._apply_configuration(configuration(2))
        self.assertIsNone(daemon.admission_queue.warmup.rate)
        self.assertEqual(daemon.chooser.warmup_by_service, {})
        self.assertEqual(daemon.reconciler.warmup_s, 0.0)


class ConfigurationTestCase(unittest.TestCase):
    def setUp(self):
        self.daemon = FakeDaemon()

    def read(self, offset: int, value: bytes) -> None:
        """Read a record from the store."""
        entry = Entry(offset, CONFIGURATION_KEY, value)
        self.daemon._on_operator_entries(self.daemon.now, (entry,))

    def push(self, version: int, value: bytes | None = None, limit: str = PEER) -> None:
        deflated = deflate_value(configuration(version) if value is None else value)
        push = ConfigurationPush(version, CONFIGURATION_KEY, deflated, limit)
        self.daemon.on_configuration_push(push)

    def sync(self, version: int, value: bytes) -> None:
        sent = SyncConfiguration(version, CONFIGURATION_KEY, value)
        tell = SyncResponse([], 0, 0, sent)
        self.daemon.on_sync_response(PEER, self.daemon.now, tell)

    def relayed_versions(self) -> list[int]:
        return [push.version for push in self.daemon.links.relayed]

    def logged(self, code: int) -> list[dict]:
        return [dict(each.fields) for each in self.daemon.events if each.code == code]


class StoredConfigurationTests(ConfigurationTestCase):
    # Guards against: a store restored from an older copy gives offsets out again, and a
    # newer version at a lower offset was ignored for good.
    def test_a_newer_version_at_a_lower_offset_takes_force_and_is_passed_on(self):
        self.read(5, configuration(3))
        self.read(2, configuration(7))
        self.assertEqual(self.daemon.version, 7)
        self.assertEqual(self.relayed_versions(), [7])

    # Guards against: the restored copy's version counted as newer by its offset.
    def test_an_older_version_at_a_higher_offset_has_no_effect_and_goes_nowhere(self):
        self.read(1, configuration(3))
        self.read(2, configuration(7))
        self.read(9, configuration(3))
        self.assertEqual(self.daemon.version, 7)
        self.assertEqual(self.relayed_versions(), [7])
        self.assertEqual(self.logged(IGNORED), [{"version": 3, "configuration": 7}])

    def test_the_version_in_force_at_another_offset_changes_nothing(self):
        self.read(1, configuration(3))
        routing = self.daemon.request_router.routing
        self.read(0, configuration(3))
        self.read(8, configuration(3, timeout="9s"))
        self.assertIs(self.daemon.request_router.routing, routing)
        self.assertEqual(self.relayed_versions(), [])
        self.assertEqual([each.code for each in self.daemon.events], [IN_FORCE])

    def test_the_first_version_is_not_passed_on(self):
        self.read(4, configuration(3))
        self.assertEqual(self.relayed_versions(), [])

    # Guards against: a record that cannot be read taking the place of those after it.
    def test_an_unreadable_record_changes_nothing_and_hides_no_later_version(self):
        self.read(1, configuration(3))
        broken = configuration(900).replace(b'"timeout":"2s"', b'"timeout":"later"')
        versions = (b"{", b"[]", b'{"version":"8"}', b'{"version":-1,"resources":[]}')
        too_large = b'{"version":9223372036854775808,"resources":[]}'
        for offset, value in enumerate((broken, *versions, too_large), 2):
            with self.subTest(value=value[:40]):
                self.read(offset, value)
                self.assertEqual(self.daemon.version, 3)
                self.assertEqual(self.relayed_versions(), [])
        logged = self.logged(UNREADABLE)
        self.assertEqual([each["offset"] for each in logged], [2, 3, 4, 5, 6, 7])
        self.assertEqual([each["version"] for each in logged], [900] + [None] * 5)
        self.read(8, configuration(4))
        self.assertEqual(self.daemon.version, 4)
        self.assertEqual(self.relayed_versions(), [4])

    def test_a_key_without_a_value_and_other_keys_are_skipped(self):
        self.read(1, b"")
        entry = Entry(2, "other", configuration(9))
        self.daemon._on_operator_entries(self.daemon.now, (entry,))
        self.assertEqual((self.daemon.version, self.daemon.events), (-1, []))

    # Guards against: after a restore the log ends before the follower's position.
    def test_a_follower_that_reads_all_again_after_a_restore_keeps_the_order(self):
        daemon = self.daemon
        records = {n: configuration(n) for n in (2, 3, 4)}
        newest = {
            offset: (Entry(offset, CONFIGURATION_KEY, records[version]),)
            for offset, version in ((9, 3), (1, 2))
        }
        answers = iter(
            (
                NewestPage(newest[9], None, 10),
                Tail((), 10, 10),
                Trimmed(),
                NewestPage(newest[1], None, 2),
                Tail((Entry(2, CONFIGURATION_KEY, records[4]),), 3, 3),
            )
        )
        store = SimpleNamespace(
            read_newest=lambda topic, after, on_done: on_done(next(answers)),
            read_tail=lambda topic, offset, poll, on_done: on_done(next(answers)),
        )
        seen: list[int] = []

        def on_entries(now: float, entries: tuple[Entry, ...]) -> None:
            daemon._on_operator_entries(now, entries)
            seen.append(daemon.version)

        follower = TopicFollower(
            store,
            "t",
            daemon.timers,
            lambda now: LongPoll(8.0, 2.5),
            0.1,
            on_entries,
            lambda now, sent_at, end: None,
            lambda reachable, reason: None,
            random.Random(1),
        )
        follower.start(daemon.now)
        for event in list(daemon.timers.due(daemon.now + 1.0)):
            event.fire(daemon.timers.now())
        self.assertEqual(seen, [3, 3, 3, 4])


class PushedConfigurationTests(ConfigurationTestCase):
    """A daemon that cannot read the store gets versions from its peers alone."""

    def test_pushes_alone_are_followed_and_passed_on(self):
        for version in (2, 5, 11):
            self.push(version)
            self.assertEqual(self.daemon.version, version)
        self.assertEqual(self.relayed_versions(), [2, 5, 11])
        last = self.daemon.links.relayed[-1]
        self.assertEqual(inflate_value(last.deflated), configuration(11))
        self.assertEqual(last.limit, PEER)

    def test_an_older_version_is_neither_applied_nor_passed_on(self):
        self.push(5)
        self.push(4, limit=LOCAL)
        self.assertEqual((self.daemon.version, self.relayed_versions()), (5, [5]))
        self.assertEqual(self.logged(IGNORED), [{"version": 4, "configuration": 5}])

    def test_a_known_version_is_passed_on_only_for_more_of_the_ring(self):
        for limit in (PEER, PEER, BEYOND, PEER, LOCAL):
            self.push(5, limit=limit)
        limits = [push.limit for push in self.daemon.links.relayed]
        self.assertEqual(limits, [PEER, BEYOND, LOCAL])
        self.assertEqual(len(self.daemon.events), 1)

    def test_a_known_version_is_not_parsed_again(self):
        self.push(5)
        self.push(5, value=b"not parsed", limit=PEER)
        self.push(4, value=b"not parsed", limit=PEER)
        self.assertEqual(self.logged(UNREADABLE), [])

    # Guards against: a bad document with a high version passed on, or kept as known.
    def test_an_unreadable_version_is_not_passed_on_and_hides_no_later_one(self):
        self.push(5)
        broken = configuration(900).replace(b'"timeout":"2s"', b'"timeout":"later"')
        self.push(900, value=broken)
        self.sync(900, broken)
        self.assertEqual((self.daemon.version, self.relayed_versions()), (5, [5]))
        self.push(6)
        self.assertEqual((self.daemon.version, self.relayed_versions()), (6, [5, 6]))

    # Guards against: the number in the frame counted instead of the document's version.
    def test_the_version_in_the_document_counts(self):
        self.push(900, value=configuration(5))
        self.assertEqual((self.daemon.version, self.relayed_versions()), (5, []))
        self.push(901, value=configuration(4))
        self.assertEqual((self.daemon.version, self.relayed_versions()), (5, []))
        self.push(6)
        self.assertEqual((self.daemon.version, self.relayed_versions()), (6, [6]))


class SyncedConfigurationTests(ConfigurationTestCase):
    def on_pong(self, version: int) -> None:
        pong = Pong(1, 0, 0, version, 0, 0)
        self.daemon.on_pong(PEER, self.daemon.now, pong)

    def wait_for_pong(self, version: int) -> list[tuple[str, int]]:
        """Return what is asked for after two pongs with a version."""
        self.on_pong(version)
        self.daemon.now += PUSH_GRACE_S + 0.01
        self.on_pong(version)
        return self.daemon.links.asked

    # Guards against: a daemon that starts on the older copy staying there, since its
    # record has a higher offset than the newer version that its peer knows.
    def test_a_daemon_started_on_the_older_copy_asks_a_peer_for_the_newer_version(self):
        self.read(40, configuration(2))
        self.assertEqual(self.wait_for_pong(3), [(PEER, 2)])
        self.sync(3, configuration(3))
        self.assertEqual(self.daemon.version, 3)
        self.read(41, configuration(2))
        self.assertEqual(self.daemon.version, 3)

    # Guards against: a daemon that starts just after a restore ready with the older
    # version of the copy.
    def test_after_a_restore_a_started_daemon_compares_its_version_first(self):
        self.daemon.directory.begin_epoch(1)
        self.daemon.directory.advance_end(position(1, 0))
        self.read(40, configuration(2))
        self.assertTrue(self.daemon._may_be_outdated())
        self.on_pong(3)
        self.assertTrue(self.daemon._may_be_outdated())
        self.assertEqual(self.daemon.links.asked, [(PEER, 2)])
        self.sync(3, configuration(3))
        self.assertFalse(self.daemon._may_be_outdated())

    def test_a_daemon_without_peers_waits_for_a_comparison_only_so_long(self):
        self.daemon.directory.begin_epoch(1)
        self.read(40, configuration(2))
        self.daemon.now += COMPARISON_TIMEOUT_S
        self.assertFalse(self.daemon._may_be_outdated())

    def test_no_comparison_is_needed_if_the_store_was_never_restored(self):
        self.read(40, configuration(2))
        self.assertFalse(self.daemon._may_be_outdated())

    def test_a_peer_with_an_older_version_is_asked_for_nothing(self):
        self.read(1, configuration(7))
        self.assertEqual(self.wait_for_pong(6) + self.wait_for_pong(7), [])

    def test_a_peer_is_sent_only_a_newer_version(self):
        self.read(1, configuration(7))
        for known, expected in ((-1, 7), (6, 7), (7, None), (9, None)):
            with self.subTest(known=known):
                tell = self.daemon.on_sync_request(SyncRequest(0, known))
                sent = tell.configuration
                self.assertEqual(sent and sent.version, expected)
                if sent is not None:
                    self.assertEqual(sent.value, configuration(7))

    def test_a_daemon_without_a_configuration_sends_none(self):
        self.assertEqual(self.daemon.version, -1)
        self.assertIsNone(self.daemon.on_sync_request(SyncRequest(0, -1)).configuration)

    def test_an_older_version_in_a_late_answer_has_no_effect(self):
        self.read(1, configuration(7))
        self.sync(6, configuration(6))
        self.assertEqual(self.daemon.version, 7)
        self.assertEqual(self.logged(IGNORED), [{"version": 6, "configuration": 7}])


class OrderTests(ConfigurationTestCase):
    # Guards against: any order of ways by which versions arrive that takes one back.
    def test_versions_by_any_way_in_any_order_never_go_back(self):
        for seed in range(200):
            rng = random.Random(seed)
            self.daemon = FakeDaemon()
            highest = -1
            for offset in range(40):
                version = rng.randrange(30)
                value = configuration(version)
                is_valid = rng.random() < 0.8
                if not is_valid:
                    value = value.replace(b'"timeout":"2s"', b'"timeout":"later"')
                way = rng.choice(("read", "push", "sync"))
                if way == "read":
                    self.read(rng.randrange(offset + 1), value)
                elif way == "push":
                    self.push(version, value, rng.choice((LOCAL, PEER, BEYOND)))
                else:
                    self.sync(version, value)
                highest = max(highest, version if is_valid else -1)
                with self.subTest(seed=seed, step=offset):
                    self.assertEqual(self.daemon.version, highest)
            versions = self.relayed_versions()
            with self.subTest(seed=seed):
                self.assertEqual(versions, sorted(versions))
