"""Answers to heartbeats: what they wait for, and what happens after them."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.ownership.heartbeat import Heartbeat
from rhubarbhall.core.ownership.key_table import Claim, KeyTable
from rhubarbhall.core.ownership.records import TargetState
from rhubarbhall.core.ownership.target_keys import TargetKeys
from rhubarbhall.core.timers import TimerService
from rhubarbhall.core.traffic.admission_queue import AdmissionQueue
from rhubarbhall.core.traffic.lost_runs import LostRuns
from rhubarbhall.core.traffic.rate_limit import RateLimit
from rhubarbhall.core.traffic.requests import TargetNotice
from rhubarbhall.core.traffic.slowdown import ReportedSlowdown
from rhubarbhall.core.traffic.warmup import Warmup
from rhubarbhall.platform.heartbeats import ReceivedHeartbeat
from rhubarbhall.programs.router_suspects import SuspectHandlers
from rhubarbhall.programs.router_target import (
    GRANT_WAIT_S,
    TargetHandlers,
    UnansweredHeartbeat,
)

LOCAL, OTHER = "10.0.0.1:1", "10.0.0.2:1"
TARGET = "10.0.0.1:9"


class FakeQueue(SimpleNamespace):
    """The parts of the admission queue that these handlers use."""

    rate = AdmissionQueue.rate


class FakeDaemon(TargetHandlers, SuspectHandlers):
    """The parts of the routing daemon that handle heartbeats."""

    def __init__(self):
        self.timers = TimerService()
        self.now = 100.0
        self.events: list[str] = []
        self.logged: list[tuple[int, dict]] = []
        self.settings = SimpleNamespace(target_address=TARGET, service="s", drain_s=2.5)
        self.target_keys = TargetKeys(LOCAL, 0.0)
        self.target = SimpleNamespace(instance="")
        self.key_requests = SimpleNamespace(instance="")
        self.admission_queue = FakeQueue(
            open=lambda slots: None,
            on_keys_changed=lambda now: self.events.append("keys changed"),
        )
        self.admission_queue.rate_limit = RateLimit()
        self.admission_queue.warmup = Warmup()
        self.admission_queue.slowdown = ReportedSlowdown()
        self.admission_queue.record_slowdown = lambda now, ticket, slowdown: None
        self.admission_queue.lost_runs = LostRuns()
        self.admission_queue.record_stated_rate = lambda now, ticket, rate: (
            self.admission_queue.rate_limit.record_answer(now, now - 0.1, rate)
        )
        self.balancer = SimpleNamespace(slots=1, rate_limit=None)
        self.publisher = SimpleNamespace(by_key=True, write_due=self._write)
        self.local_address = LOCAL
        #: Whether the store takes the record that the target leaves.
        self.records_departures = True
        self.directory = SimpleNamespace(
            end=5,
            member_by_address={},
            is_written=lambda key: True,
            is_departure_written=lambda address, run: True,
        )
        self._unanswered_departures = []
        self.table = KeyTable.divided([Claim(LOCAL, "i@1"), Claim(OTHER, "j@1")])
        self._unanswered_heartbeat = None
        self.lease_s = 10.0

    def _advance_timers(self):
        self.timers.advance_to(self.now)
        return self.now

    def local_table(self):
        return self.table

    def lease_remaining_s(self, now):
        return self.lease_s

    def settled_end(self):
        return self.directory.end

    def local_member(self, now):
        return self.target_keys.member(now, "s", "d", "r")

    def _write(self, now, member):
        if member is None or (member.leaves and not self.records_departures):
            return
        self.directory.member_by_address[LOCAL] = member

    def log_event(self, event):
        self.logged.append((event.code, event.fields))


class StatedRateTests(unittest.TestCase):
    """The rate that the target states in its answers."""

    CHANGED = 218

    def setUp(self):
        self.daemon = FakeDaemon()
        self.beat(born=1)

    def beat(self, born: int):
        heartbeat = Heartbeat("i", born, 1, TargetState.READY, 8)
        received = ReceivedHeartbeat(TARGET, "s", heartbeat)
        self.daemon.on_heartbeat(received, lambda grant: None)

    def state_rate(self, rate: float | None):
        self.daemon.now += 0.2
        self.daemon._on_target_notice(1, TargetNotice(rate))

    def logged_rates(self) -> list[float | None]:
        return [
            fields["rate"]
            for code, fields in self.daemon.logged
            if code == self.CHANGED
        ]

    def test_keys_are_shared_by_the_rate_and_each_change_is_logged_once(self):
        for rate in (12.5, 12.5, 8.0):
            self.state_rate(rate)
            self.assertEqual(self.daemon.balancer.rate_limit, rate)
        self.state_rate(None)
        self.assertIsNone(self.daemon.balancer.rate_limit)
        self.assertEqual(self.logged_rates(), [12.5, 8.0, None])

    def test_another_run_of_the_target_has_no_limit(self):
        self.state_rate(12.5)
        self.beat(born=2)
        self.assertIsNone(self.daemon.admission_queue.rate_limit.rate)
        self.assertIsNone(self.daemon.balancer.rate_limit)
        self.assertEqual(self.logged_rates(), [12.5, None])


class WarmupTests(unittest.TestCase):
    """How the daemon learns that the target is cold."""

    COLD, WARM = 222, 223
    RATE = 6.5

    def setUp(self):
        self.daemon = FakeDaemon()
        self.daemon.admission_queue.warmup.configure(self.daemon.now, self.RATE)

    def beat(self, born: int, sequence: int, left_s: float = 0.0, seconds: float = 1.0):
        self.daemon.now += seconds
        heartbeat = Heartbeat("i", born, sequence, TargetState.READY, 8, left_s)
        received = ReceivedHeartbeat(TARGET, "s", heartbeat)
        self.daemon.on_heartbeat(received, lambda grant: None)

    def is_cold(self) -> bool:
        return self.daemon.admission_queue.warmup.is_cold(self.daemon.now)

    def changes(self) -> list[int]:
        return [code for code, _ in self.daemon.logged if code != 212]

    def test_at_the_first_start_of_all_nothing_stays_slow(self):
        self.assertTrue(self.is_cold())
        self.beat(born=1, sequence=1)
        self.assertFalse(self.is_cold())
        self.assertIsNone(self.daemon.balancer.rate_limit)
        self.assertEqual(self.changes(), [])

    def test_keys_are_shared_by_the_pace_and_each_change_is_logged_once(self):
        for sequence, left_s in enumerate((0.0, 3.0, 2.0, 0.0, 0.0)):
            self.beat(1, sequence, left_s)
            expected = self.RATE if left_s else None
            self.assertEqual(self.daemon.balancer.rate_limit, expected)
        self.assertEqual(self.changes(), [self.COLD, self.WARM])

    # Guards against: waiting requests that are sent to a run that has just begun, by
    # what was known of the one before it.
    def test_a_new_run_is_cold_before_any_request_is_sent_to_it(self):
        self.beat(born=1, sequence=1)
        seen = []
        self.daemon.admission_queue.on_keys_changed = lambda now: seen.append(
            self.is_cold()
        )
        self.daemon._unanswered_heartbeat = UnansweredHeartbeat(100.0, lambda g: None)
        self.beat(born=2, sequence=1, left_s=3.0)
        self.assertEqual(seen, [True, True])

    def test_refused_and_broken_connections_count_until_a_later_heartbeat(self):
        self.daemon.admission_queue.record_unreachable = lambda now: None
        for sequence, report in enumerate(
            (
                lambda: self.daemon._on_target_unreachable(refused=True),
                self.daemon._on_target_disconnected,
            )
        ):
            self.beat(1, 10 * sequence)
            report()
            self.assertTrue(self.is_cold())
            self.beat(1, 10 * sequence + 1, seconds=0.05)
            self.assertTrue(self.is_cold())
            self.beat(1, 10 * sequence + 2)
            self.assertFalse(self.is_cold())

    def test_a_late_heartbeat_of_an_earlier_run_changes_nothing(self):
        self.beat(born=1, sequence=1)
        self.beat(born=2, sequence=1, left_s=3.0)
        self.beat(born=1, sequence=2, seconds=0.1)
        self.assertTrue(self.is_cold())


class MissingLeaseTests(unittest.TestCase):
    """A heartbeat that comes shortly before the lease of a daemon that started."""

    def setUp(self):
        self.daemon = FakeDaemon()
        self.daemon.lease_s = 0.0
        self.answers: list = []
        heartbeat = Heartbeat("i", 1, 1, TargetState.READY, 8)
        self.daemon.table = self.daemon.table.with_runs({LOCAL: heartbeat.run})
        received = ReceivedHeartbeat(TARGET, "s", heartbeat)
        self.daemon.on_heartbeat(received, self.answers.append)

    # Keys had no holder until the next heartbeat, up to 0.9 s later.
    def test_it_is_answered_with_keys_once_the_lease_is_there(self):
        self.assertEqual(self.answers, [])
        self.daemon.now += 0.2
        self.daemon.lease_s = 3.0
        self.daemon._answer_heartbeat_if_free(self.daemon._advance_timers())
        self.assertEqual(len(self.answers[0].spans), 1)

    def test_it_is_answered_without_keys_if_the_lease_does_not_come(self):
        self.daemon.now += GRANT_WAIT_S
        for event in list(self.daemon.timers.due(self.daemon.now)):
            event.fire(self.daemon.now)
        self.assertEqual(self.answers[0].spans, ())


class LeavingTests(unittest.TestCase):
    """Targets that announce in their answers that they leave."""

    DRAIN_S = 2.5

    def setUp(self):
        self.daemon = FakeDaemon()
        self.closed: list[ErrorKind] = []
        self.daemon.admission_queue.close = self.closed.append
        self.sequence = 0
        self.beat()

    def beat(self, born: int = 1):
        self.sequence += 1
        heartbeat = Heartbeat("i", born, self.sequence, TargetState.READY, 8)
        received = ReceivedHeartbeat(TARGET, "s", heartbeat)
        self.daemon.on_heartbeat(received, lambda grant: None)

    def state(self) -> TargetState:
        return self.daemon.target_keys.state(self.daemon.now)

    def advance(self, seconds: float):
        self.daemon.now += seconds
        for event in list(self.daemon.timers.due(self.daemon.now)):
            event.fire(self.daemon.now)

    # Requests reached a target for longer than the drain period after an answer had
    # said that it leaves, as long as its heartbeats did not say so (DRAIN).
    def test_it_gets_no_more_requests_well_before_the_drain_period_has_passed(self):
        self.daemon._on_target_notice(1, TargetNotice(leaves=True))
        self.assertIs(self.state(), TargetState.LEAVING)
        self.advance(0.5)
        self.beat()
        self.assertIs(self.state(), TargetState.LEAVING)
        self.daemon._on_target_notice(2, TargetNotice(leaves=True))
        self.assertEqual(self.closed, [])
        self.advance(self.DRAIN_S - 1.0)
        self.assertEqual(self.closed, [ErrorKind.SHUTTING_DOWN])

    def test_an_answer_without_the_notice_does_not_take_it_back(self):
        self.daemon._on_target_notice(1, TargetNotice(leaves=True))
        self.daemon._on_target_notice(2, TargetNotice())
        self.assertIs(self.state(), TargetState.LEAVING)

    def test_the_next_run_of_the_target_is_ready(self):
        self.daemon._on_target_notice(1, TargetNotice(leaves=True))
        self.beat(born=2)
        self.assertIs(self.state(), TargetState.READY)
        self.advance(self.DRAIN_S)
        self.assertEqual(self.closed, [])


class HeartbeatAnswerTests(unittest.TestCase):
    def setUp(self):
        self.daemon = FakeDaemon()
        self.answers: list = []
        self.sequence = 0

    def beat(self):
        self.sequence += 1
        heartbeat = Heartbeat("i", 1, self.sequence, TargetState.READY, 8)

        def answer(grant):
            self.answers.append(grant)
            self.daemon.events.append("answered")

        received = ReceivedHeartbeat(TARGET, "s", heartbeat)
        self.daemon.on_heartbeat(received, answer)

    def granted_keys(self) -> int:
        return sum(span.size for span in self.answers[-1].spans)

    def fire_timers(self, now: float):
        self.daemon.now = now
        for event in list(self.daemon.timers.due(now)):
            event.fire(now)

    def move_to_local(self):
        moved = [((40000, 40099), Claim(LOCAL, "i@1"))]
        self.daemon.table = self.daemon.table.moved(moved)

    def release(self):
        table = self.daemon.table
        self.daemon.table = table.released(OTHER, [(40000, 40099)], {})
        self.daemon._answer_heartbeat_if_free(self.daemon.now)

    def test_a_heartbeat_is_answered_at_once_while_no_keys_are_on_their_way(self):
        self.beat()
        self.assertEqual(self.granted_keys(), 32768)

    def test_requests_are_sent_only_after_the_answer_that_grants_their_keys(self):
        self.beat()
        self.assertEqual(self.daemon.events, ["answered", "keys changed"])

    def test_the_answer_waits_for_keys_that_another_target_is_to_release(self):
        self.move_to_local()
        self.beat()
        self.assertEqual(self.answers, [])
        self.daemon.now += 0.2
        self.release()
        self.assertEqual(self.granted_keys(), 32768 + 100)

    def test_the_wait_ends_before_the_target_gives_up_on_the_answer(self):
        self.move_to_local()
        self.beat()
        self.fire_timers(100.0 + GRANT_WAIT_S + 0.01)
        self.assertEqual(self.granted_keys(), 32768)

    def test_each_heartbeat_gets_one_answer(self):
        self.move_to_local()
        self.beat()
        self.beat()
        self.assertEqual(len(self.answers), 1)
        self.release()
        self.fire_timers(100.0 + GRANT_WAIT_S + 0.01)
        self.assertEqual(len(self.answers), 2)

    def test_a_grant_counts_from_the_heartbeat_and_not_from_its_answer(self):
        self.move_to_local()
        self.beat()
        self.fire_timers(100.0 + GRANT_WAIT_S + 0.01)
        keys = self.daemon.target_keys
        self.assertTrue(keys.may_work_on(100.0 + 2.9, 5))
        self.assertFalse(keys.may_work_on(100.0 + 3.1, 5))

    def test_a_heartbeat_of_another_target_gets_no_keys(self):
        heartbeat = Heartbeat("x", 1, 1, TargetState.READY, 8)
        received = ReceivedHeartbeat("10.0.0.9:9", "s", heartbeat)
        self.daemon.on_heartbeat(received, self.answers.append)
        self.assertEqual(self.answers, [None])
