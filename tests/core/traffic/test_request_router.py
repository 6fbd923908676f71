"""Request router: choice of the daemon, repeats, deadlines and refusals."""

from __future__ import annotations

import unittest
from unittest import mock

from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.ownership.directory import KeyDirectory
from rhubarbhall.core.ownership.entries import Entry
from rhubarbhall.core.ownership.key_table import Claim, KeyTable
from rhubarbhall.core.ownership.liveness import Liveness
from rhubarbhall.core.ownership.records import (
    Member,
    TargetState,
    encode_member,
    encode_table,
    member_key,
    table_key,
)
from rhubarbhall.core.timers import TimerService
from rhubarbhall.core.traffic.admission_queue import AdmissionQueue
from rhubarbhall.core.traffic.crash_suspects import CrashSuspects
from rhubarbhall.core.traffic.eligibility import LocalPlace, PlacementRules
from rhubarbhall.core.traffic.pending_requests import CallerRequest
from rhubarbhall.core.traffic.request_router import (
    LOST_OWNER_RETRY_AFTER_S,
    RequestRouter,
)
from rhubarbhall.core.traffic.requests import Answered, NotRun, Unknown
from rhubarbhall.core.traffic.retry_budget import ServiceRetryBudget
from rhubarbhall.core.traffic.routes import (
    HostRoute,
    RoutePart,
    RoutingTable,
    ServiceRules,
)
from rhubarbhall.core.traffic.target_chooser import TargetChooser
from tests.core.traffic.test_admission_queue import FakeKeys, FakeTarget
from tests.core.traffic.test_target_chooser import FakeLocalTarget

LOCAL, NEAR, FAR = "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"
ANSWER = Answered(200, (("X", "y"),), b"ok")
FAILED = Answered(500, (), b"")


class FakePeerClient:
    def __init__(self):
        self.sent: list[tuple[str, int]] = []
        self.cancelled: list[tuple[str, int]] = []
        self.withdrawn: list[tuple[str, int]] = []
        self.down: set[str] = set()
        self.opening: set[str] = set()

    def forward(self, now, address, ticket, request):
        if address in self.down:
            return False
        self.sent.append((address, ticket))
        return True

    def opens_soon(self, now, address):
        return address in self.opening

    def round_trip_s(self, address):
        return 0.06

    def withdraw(self, address, ticket):
        self.withdrawn.append((address, ticket))

    def cancel(self, address, ticket):
        self.cancelled.append((address, ticket))


class NullRequestLog:
    def sent(self, now, pending):
        pass

    def ended(self, now, pending, outcome):
        pass


def routing(version: int = 1) -> RoutingTable:
    plain = (RoutePart("pay", 1),)
    return RoutingTable(
        version,
        (
            HostRoute("look", "h.example", "/look/", plain, True, max_attempts=2),
            HostRoute("credit", "h.example", "/credit/", plain, False, max_attempts=2),
            HostRoute(
                "status",
                "h.example",
                "/status/",
                (RoutePart("keyed", 1),),
                True,
                timeout_s=0.5,
                max_attempts=2,
            ),
        ),
        {"pay": ServiceRules("pay"), "keyed": ServiceRules("keyed", by_key=True)},
    )


class RequestRouterCase(unittest.TestCase):
    def setUp(self):
        self.timers = TimerService()
        self.directory = KeyDirectory()
        self.peers = FakePeerClient()
        self.add_member(NEAR, "pay", "r1")
        self.add_member(FAR, "pay", "r2")
        liveness = Liveness(0.0)
        for address in (NEAR, FAR):
            liveness.record_contact(0.0, address)
        self.local_target = FakeLocalTarget("own")
        chooser = TargetChooser(
            LOCAL, "r1", self.directory, liveness, self.local_target
        )
        self.suspects = CrashSuspects()
        self.target, self.keys = FakeTarget(), FakeKeys()
        self.rules = PlacementRules(LocalPlace("r1"))
        self.queue = AdmissionQueue(
            "own",
            self.target,
            self.keys,
            self.suspects,
            local_refusal=self.rules.local_refusal,
        )
        self.budget = ServiceRetryBudget(0.2, 10.0)
        self.router = RequestRouter(
            LOCAL,
            "own",
            self.directory,
            chooser,
            self.queue,
            self.peers,
            self.timers,
            lambda: self.budget,
            self.suspects,
            NullRequestLog(),
            self.rules,
        )
        self.router.routing = routing()
        self.replies: list = []

    def add_member(self, address: str, service: str, region: str) -> None:
        member = Member(service, "d1", region, "r", 9, TargetState.READY)
        offset = len(self.directory.member_by_address)
        entry = Entry(offset, member_key(address), encode_member(member))
        self.directory.apply(entry)

    def set_table(self, table: KeyTable, offset: int) -> None:
        entry = Entry(offset, table_key("keyed"), encode_table(table))
        self.directory.apply(entry)

    def submit(self, path: str, now: float = 0.0, **changes) -> int | None:
        fields = {"timeout_s": 1.0, **changes}
        caller_request = CallerRequest(
            "q1", "GET", path, "H.example:80", (), b"", **fields
        )
        return self.router.submit(now, caller_request, self.replies.append)

    def outcome(self, now: float, outcome) -> None:
        address, ticket = self.peers.sent[-1]
        self.router.on_outcome(now, ticket, address, outcome, None)

    def fire_timers(self, now: float) -> None:
        for event in list(self.timers.due(now)):
            event.fire(now)


class RoutingTests(RequestRouterCase):
    def test_requests_are_refused_without_a_configuration(self):
        self.router.routing = None
        self.submit("/look/1")
        self.assertEqual(self.replies[0].kind, ErrorKind.NO_CONFIGURATION)

    def test_requests_without_a_route_are_refused(self):
        for path in ("/other/", "/look", "/loo/k/"):
            self.submit(path)
        self.assertEqual({r.kind for r in self.replies}, {ErrorKind.NO_ROUTE})

    # Guards against: tickets of requests that have ended, which their holders keep for
    # good, as nothing more is reported of them.
    def test_a_request_that_is_refused_at_once_has_no_ticket(self):
        self.peers.down |= {NEAR, FAR}
        self.assertIsNone(self.submit("/look/1"))
        self.assertEqual(len(self.replies), 1)
        self.peers.down.clear()
        self.assertIsNotNone(self.submit("/look/1"))

    def test_target_in_the_local_region_is_preferred(self):
        self.submit("/look/1")
        self.assertEqual(self.peers.sent[0][0], NEAR)

    def test_caller_gets_the_answer_unchanged_and_once(self):
        self.submit("/look/1")
        self.outcome(0.1, ANSWER)
        self.assertEqual(self.replies, [ANSWER])
        self.outcome(0.2, ANSWER)
        self.assertEqual(self.replies, [ANSWER])

    def test_daemon_without_a_connection_is_skipped(self):
        self.peers.down.add(NEAR)
        self.submit("/look/1")
        self.assertEqual(self.peers.sent[0][0], FAR)

    def test_request_waits_for_a_first_connection(self):
        # Load pattern: all daemons start at once while callers already send requests.
        self.peers.opening = {NEAR, FAR}
        self.submit("/look/1")
        self.assertEqual((self.peers.sent, self.replies), ([], []))
        self.peers.opening = set()
        self.fire_timers(0.06)
        self.assertEqual([address for address, _ in self.peers.sent], [NEAR])

    def test_wait_for_a_first_connection_that_is_not_opened_is_limited(self):
        self.peers.opening = {NEAR, FAR}
        self.submit("/look/1")
        for hundredth in range(1, 60):
            self.fire_timers(hundredth / 100)
        self.assertEqual(self.replies[0].kind, ErrorKind.NO_OWNER)

    def test_request_that_no_daemon_takes_is_refused_as_not_run(self):
        self.peers.down |= {NEAR, FAR}
        self.submit("/credit/1")
        self.assertIsInstance(self.replies[0], NotRun)


class RepeatTests(RequestRouterCase):
    def test_request_that_is_not_idempotent_is_sent_once(self):
        self.submit("/credit/1")
        self.outcome(0.1, Unknown(ErrorKind.ANSWER_LOST))
        self.assertEqual(len(self.peers.sent), 1)
        self.assertIsInstance(self.replies[0], Unknown)

    def test_request_that_has_not_run_is_sent_to_another_target(self):
        self.submit("/credit/1")
        self.outcome(0.1, NotRun(ErrorKind.OVERLOADED))
        self.assertEqual([a for a, _ in self.peers.sent], [NEAR, FAR])

    def test_repeat_uses_the_retry_budget(self):
        self.submit("/look/1")
        self.outcome(0.1, FAILED)
        self.assertEqual(len(self.peers.sent), 2)
        self.outcome(0.2, FAILED)
        self.assertEqual(self.replies, [FAILED])

    def test_request_is_not_repeated_without_retry_budget(self):
        while self.budget.take(0.0):
            pass
        self.submit("/look/1")
        self.outcome(0.1, FAILED)
        self.assertEqual(len(self.peers.sent), 1)
        self.assertEqual(self.replies, [FAILED])

    def test_refusal_after_an_attempt_that_may_have_run_is_unknown(self):
        self.submit("/look/1")
        self.outcome(0.1, Unknown(ErrorKind.ANSWER_LOST))
        self.outcome(0.2, NotRun(ErrorKind.OVERLOADED))
        self.assertIsInstance(self.replies[0], Unknown)

    def test_repeats_stay_within_the_users_bound_under_mass_refusals(self):
        """Load pattern: all targets of a service refuse half of their requests."""
        ratio, window_s, daemons, slack = 0.2, 10.0, 18, 56
        budgets = [ServiceRetryBudget(ratio, window_s) for _ in range(daemons)]
        requests = repeats = 0
        for tick in range(1000):
            for budget in budgets:
                requests += 1
                budget.record_request(tick / 100)
                repeats += budget.take(tick / 100)
        self.assertLessEqual(repeats, ratio * requests + slack)

    # A repeat that was refused made the request count as not run, although a target
    # had answered it with a server error.
    def test_a_refused_repeat_does_not_hide_that_the_request_has_run(self):
        self.submit("/look/1")
        self.outcome(0.1, FAILED)
        self.assertEqual(self.replies, [])
        self.outcome(0.2, NotRun(ErrorKind.OVERLOADED, 0.1))
        self.assertEqual(self.replies, [FAILED])


class DeadlineTests(RequestRouterCase):
    def test_request_past_its_deadline_is_cancelled_and_may_have_run(self):
        self.submit("/credit/1")
        self.fire_timers(0.995)
        self.assertEqual(self.replies, [Unknown(ErrorKind.DEADLINE_PASSED)])
        self.assertEqual(self.peers.cancelled, self.peers.sent)

    def test_shorter_timeout_of_the_route_applies(self):
        self.set_table(KeyTable.divided([Claim(NEAR, "r")]), 10)
        self.submit("/status/1", key=5, timeout_s=3.0)
        self.fire_timers(0.51)
        self.assertEqual(len(self.replies), 1)

    def test_request_that_cannot_be_answered_in_time_is_not_sent(self):
        # Load pattern: callers retry with little of their time remaining.
        self.set_table(KeyTable.divided([Claim(FAR, "r")]), 10)
        self.submit("/status/1", key=5, timeout_s=0.05)
        self.assertEqual(self.peers.sent, [])
        self.assertEqual(self.replies, [NotRun(ErrorKind.DEADLINE_UNREACHABLE)])

    def test_request_of_a_route_known_to_take_longer_is_not_sent(self):
        for _ in range(5):
            self.submit("/look/1")
            self.outcome(0.5, ANSWER)
        sent = len(self.peers.sent)
        self.submit("/look/1", timeout_s=0.15)
        self.submit("/look/1", timeout_s=0.6)
        self.assertEqual(len(self.peers.sent), sent + 1)

    def test_request_of_a_disconnected_caller_is_cancelled(self):
        ticket = self.submit("/look/1")
        self.router.caller_gone(0.1, ticket)
        self.assertEqual(self.peers.cancelled, self.peers.sent)
        self.assertEqual(self.router.in_flight, 0)


class WithdrawalTests(RequestRouterCase):
    """Requests that still wait at another daemon when their deadline comes near.

    Guards against: a caller that may not repeat its request, although it never ran.
    """

    WITHDRAWN_AT = 0.95

    def setUp(self):
        super().setUp()
        self.submit("/credit/1")

    def test_a_request_that_waited_is_refused_as_not_run_and_not_sent_again(self):
        self.fire_timers(0.85)
        self.assertEqual(self.peers.withdrawn, [])
        self.fire_timers(self.WITHDRAWN_AT)
        self.assertEqual(self.peers.withdrawn, self.peers.sent)
        refusal = NotRun(ErrorKind.DEADLINE_UNREACHABLE, 0.01)
        self.outcome(0.953, refusal)
        self.assertEqual(self.replies, [refusal])
        self.assertEqual((len(self.peers.sent), self.peers.cancelled), (1, []))

    def test_a_request_that_runs_gets_its_answer(self):
        self.fire_timers(self.WITHDRAWN_AT)
        self.outcome(0.97, ANSWER)
        self.assertEqual(self.replies, [ANSWER])

    def test_a_request_with_little_time_left_may_begin_before_it_is_withdrawn(self):
        self.submit("/look/1", now=0.1, timeout_s=0.1)
        self.fire_timers(0.11)
        self.assertEqual(self.peers.withdrawn, [])
        self.fire_timers(0.121)
        self.assertEqual(self.peers.withdrawn, self.peers.sent[1:])

    def test_without_an_answer_of_the_daemon_the_outcome_is_unknown(self):
        self.fire_timers(self.WITHDRAWN_AT)
        self.fire_timers(0.995)
        self.assertEqual(self.replies, [Unknown(ErrorKind.DEADLINE_PASSED)])

    def test_a_request_is_withdrawn_before_this_process_exits(self):
        self.router.drain(0.5)
        self.fire_timers(0.45)
        self.assertEqual(self.peers.withdrawn, self.peers.sent)

    def test_an_attempt_that_may_have_run_is_not_denied(self):
        self.submit("/look/1", now=0.1, timeout_s=0.8)
        self.outcome(0.2, Unknown(ErrorKind.ANSWER_LOST))
        self.fire_timers(0.85)
        self.outcome(0.86, NotRun(ErrorKind.DEADLINE_UNREACHABLE))
        self.assertIsInstance(self.replies[0], Unknown)


class KeyedTests(RequestRouterCase):
    def setUp(self):
        super().setUp()
        self.table = KeyTable.divided([Claim(NEAR, "r"), Claim(FAR, "r")])
        self.set_table(self.table, 10)

    def test_key_is_sent_to_its_owner(self):
        self.submit("/status/1", key=5)
        self.submit("/status/1", key=60000)
        self.assertEqual([a for a, _ in self.peers.sent], [NEAR, FAR])

    def test_moving_key_is_served_by_the_previous_owner(self):
        self.set_table(self.table.moved([((0, 99), Claim(FAR, "r"))]), 11)
        self.submit("/status/1", key=5)
        self.assertEqual(self.peers.sent[-1][0], NEAR)
        self.outcome(0.05, NotRun(ErrorKind.NOT_OWNER))
        self.assertEqual(self.peers.sent[-1][0], FAR)

    def test_request_waits_for_the_table_and_is_then_refused_with_retry_after(self):
        self.submit("/status/1", key=5)
        now = 0.0
        while not self.replies:
            now += 0.01
            self.fire_timers(now)
            if len(self.peers.sent) and self.router.in_flight:
                self.outcome(now, NotRun(ErrorKind.NOT_OWNER))
        self.assertEqual(self.replies[0].kind, ErrorKind.NO_OWNER)
        self.assertGreater(self.replies[0].retry_after_s, 0)
        self.assertLess(now, 0.5)

    def test_key_whose_owner_is_lost_is_refused_at_once(self):
        # Load pattern: an owner is lost, and its keys are requested until the takeover.
        table = self.table.with_owner_lost(NEAR).moved([((0, 99), Claim(FAR, "r"))])
        self.set_table(table, 11)
        self.submit("/status/1", key=5)
        self.assertEqual(self.peers.sent, [])
        self.assertEqual(self.replies[0].kind, ErrorKind.NO_OWNER)
        self.assertGreater(self.replies[0].retry_after_s, 0.3)

    def test_a_target_that_rejects_every_key_uses_no_more_than_the_retry_budget(self):
        """Load pattern: a target answers each request that it does not hold the key."""
        rejected, count = NotRun(ErrorKind.TARGET_REFUSED, 1.0), 200
        for index in range(count):
            self.submit("/status/1", now=index / 100, key=5)
            while self.router.in_flight:
                self.outcome(index / 100, rejected)
        self.assertEqual(len(self.replies), count)
        self.assertTrue(all(reply.retry_after_s > 0 for reply in self.replies))
        repeats = len(self.peers.sent) - count
        self.assertLessEqual(repeats, 0.2 * count)

    # Guards against: a caller that is not told when to come back, or a request that
    # waits, while the address of the owner belongs to another service.
    def test_a_key_whose_owner_address_is_used_by_another_service(self):
        refused = NotRun(ErrorKind.NO_OWNER, LOST_OWNER_RETRY_AFTER_S)
        for number, owner in enumerate((NEAR, LOCAL)):
            with self.subTest(owner=owner):
                self.set_table(KeyTable.divided([Claim(owner, "i@1")]), 40 + number)
                self.keys.held.add(7)
                self.submit(f"/status/{number}", key=7)
                if owner == NEAR:
                    self.outcome(0.0, NotRun(ErrorKind.NO_TARGET))
                self.assertEqual(self.replies, [refused] * (number + 1))
        self.assertEqual(self.target.sent, {})

    def test_request_without_a_key_is_refused(self):
        self.submit("/status/1")
        self.assertEqual(self.replies[0].kind, ErrorKind.KEY_MISSING)


class RoutingTableTests(unittest.TestCase):
    # Requests of the route with more parts ended with an IndexError.
    def test_two_split_routes_may_have_the_same_name(self):
        two, three = (
            tuple(RoutePart(service, 1) for service in services)
            for services in ("ab", "abc")
        )
        routes = (
            HostRoute("split", "h", "/two/", two, True),
            HostRoute("split", "h", "/three/", three, True),
        )
        table = RoutingTable(1, routes, {})
        chosen = {table.choose_part(route) for route in (*routes, *routes, *routes)}
        self.assertEqual(chosen, {"a", "b", "c"})

    def test_each_part_gets_its_weight_in_every_round(self):
        parts = (RoutePart("a", 90), RoutePart("b", 10))
        route = HostRoute("r", "h", "/", parts, True)
        table = RoutingTable(1, (route,), {})
        chosen = [table.choose_part(route) for _ in range(300)]
        self.assertEqual(chosen.count("b"), 30)
        self.assertIn("b", chosen[:12])

    def test_longest_prefix_matches(self):
        part = (RoutePart("a", 1),)
        short = HostRoute("s", "h", "/a/", part, True)
        long = HostRoute("l", "h", "/a/b/", part, True)
        table = RoutingTable(1, (short, long), {})
        self.assertIs(table.match("H:8080", "/a/b/c?x=/a/"), long)
        self.assertIs(table.match("h", "/a/bc"), short)
        self.assertIsNone(table.match("other", "/a/b/"))

    def test_match_takes_no_longer_with_many_routes(self):
        """Load pattern: the configuration grows by many routes of one host."""
        part = (RoutePart("pay", 1),)
        routes = tuple(
            HostRoute(f"r{n}", "h", f"/a{n}/", part, True) for n in range(2000)
        )
        table = RoutingTable(1, routes, {})
        self.assertEqual(table.match("h", "/a1999/" + "x/" * 5000).name, "r1999")
        self.assertIsNone(table.match("h", "/b/" + "/" * 8000))
        lookups = mock.Mock(wraps=table._routes_by_host["h"])
        table._routes_by_host["h"] = lookups
        table.match("h", "/b/c/" + "x/" * 5000)
        self.assertLessEqual(lookups.get.call_count, len("/a1999/"))
