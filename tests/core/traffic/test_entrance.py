"""The entrance: where requests are brought, repeats, deadlines and refusals."""

from __future__ import annotations

import unittest

from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.ownership.directory import Directory, Entry
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
from rhubarbhall.core.traffic.choosing import TargetChooser
from rhubarbhall.core.traffic.entrance import Entrance
from rhubarbhall.core.traffic.gate import Gate
from rhubarbhall.core.traffic.journeys import CallerRequest
from rhubarbhall.core.traffic.requests import Answered, NotRun, Unknown
from rhubarbhall.core.traffic.retry_budget import RetryBudget
from rhubarbhall.core.traffic.routes import (
    HostRoute,
    RoutePart,
    RoutingTable,
    ServiceRules,
)
from tests.core.traffic.test_gate import FakeKeys, FakeTarget

ME, NEAR, FAR = "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"
ANSWER = Answered(200, (("X", "y"),), b"ok")
FAILED = Answered(500, (), b"")


class FakePeers:
    def __init__(self):
        self.sent: list[tuple[str, int]] = []
        self.cancelled: list[tuple[str, int]] = []
        self.down: set[str] = set()
        self.opening: set[str] = set()

    def forward(self, now, address, ticket, request):
        if address in self.down:
            return False
        self.sent.append((address, ticket))
        return True

    def opens_soon(self, now, address):
        return address in self.opening

    def cancel(self, address, ticket):
        self.cancelled.append((address, ticket))


class SilentJournal:
    def sent(self, now, journey):
        pass

    def ended(self, now, journey, outcome):
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


class EntranceCase(unittest.TestCase):
    def setUp(self):
        self.timers = TimerService()
        self.directory = Directory()
        self.peers = FakePeers()
        self.add_member(NEAR, "pay", "r1")
        self.add_member(FAR, "pay", "r2")
        liveness = Liveness(0.0)
        for address in (NEAR, FAR):
            liveness.note_heard(0.0, address)
        chooser = TargetChooser(ME, "d1", "r1", self.directory, liveness)
        self.gate = Gate(FakeTarget(), FakeKeys())
        self.budget = RetryBudget(0.2, 10.0)
        self.entrance = Entrance(
            ME,
            "own",
            self.directory,
            chooser,
            self.gate,
            self.peers,
            self.timers,
            lambda: self.budget,
            SilentJournal(),
        )
        self.entrance.routing = routing()
        self.replies: list = []

    def add_member(self, address: str, service: str, region: str) -> None:
        member = Member(service, "d1", region, "r", 9, TargetState.READY)
        offset = len(self.directory.member_by_address)
        entry = Entry(offset, member_key(address), encode_member(member))
        self.directory.apply(entry)

    def set_table(self, table: KeyTable, offset: int) -> None:
        entry = Entry(offset, table_key("keyed"), encode_table(table))
        self.directory.apply(entry)

    def ask(self, path: str, now: float = 0.0, **changes) -> int | None:
        fields = {"timeout_s": 1.0, **changes}
        asked = CallerRequest("q1", "GET", path, "H.example:80", (), b"", **fields)
        return self.entrance.submit(now, asked, self.replies.append)

    def outcome(self, now: float, outcome) -> None:
        address, ticket = self.peers.sent[-1]
        self.entrance.on_outcome(now, ticket, address, outcome, None)

    def ring(self, now: float) -> None:
        for event in list(self.timers.due(now)):
            event.ring(now)


class RoutingTests(EntranceCase):
    def test_without_a_configuration_it_says_so(self):
        self.entrance.routing = None
        self.ask("/look/1")
        self.assertEqual(self.replies[0].kind, ErrorKind.NO_CONFIGURATION)

    def test_no_route(self):
        for path in ("/other/", "/look", "/loo/k/"):
            self.ask(path)
        self.assertEqual({r.kind for r in self.replies}, {ErrorKind.NO_ROUTE})

    def test_the_own_region_goes_first(self):
        self.ask("/look/1")
        self.assertEqual(self.peers.sent[0][0], NEAR)

    def test_an_answer_reaches_the_caller_unchanged(self):
        self.ask("/look/1")
        self.outcome(0.1, ANSWER)
        self.assertEqual(self.replies, [ANSWER])
        self.outcome(0.2, ANSWER)
        self.assertEqual(self.replies, [ANSWER])

    def test_a_daemon_without_a_connection_is_passed_over(self):
        self.peers.down.add(NEAR)
        self.ask("/look/1")
        self.assertEqual(self.peers.sent[0][0], FAR)

    def test_a_first_connection_is_waited_for_a_moment(self):
        # Load pattern: all daemons were started at once, and callers are there already.
        self.peers.opening = {NEAR, FAR}
        self.ask("/look/1")
        self.assertEqual((self.peers.sent, self.replies), ([], []))
        self.peers.opening = set()
        self.ring(0.06)
        self.assertEqual([address for address, _ in self.peers.sent], [NEAR])

    def test_a_first_connection_that_is_not_made_is_waited_for_no_longer(self):
        self.peers.opening = {NEAR, FAR}
        self.ask("/look/1")
        for hundredth in range(1, 60):
            self.ring(hundredth / 100)
        self.assertEqual(self.replies[0].kind, ErrorKind.NO_OWNER)

    def test_with_nobody_left_the_refusal_is_truthful(self):
        self.peers.down |= {NEAR, FAR}
        self.ask("/credit/1")
        self.assertIsInstance(self.replies[0], NotRun)


class RepeatTests(EntranceCase):
    def test_what_may_not_repeat_is_sent_once(self):
        self.ask("/credit/1")
        self.outcome(0.1, Unknown(ErrorKind.ANSWER_LOST))
        self.assertEqual(len(self.peers.sent), 1)
        self.assertIsInstance(self.replies[0], Unknown)

    def test_what_surely_has_not_run_goes_to_another_target(self):
        self.ask("/credit/1")
        self.outcome(0.1, NotRun(ErrorKind.OVERLOADED))
        self.assertEqual([a for a, _ in self.peers.sent], [NEAR, FAR])

    def test_a_repeat_draws_on_the_budget(self):
        self.ask("/look/1")
        self.outcome(0.1, FAILED)
        self.assertEqual(len(self.peers.sent), 2)
        self.outcome(0.2, FAILED)
        self.assertEqual(self.replies, [FAILED])

    def test_without_budget_nothing_is_repeated(self):
        while self.budget.take(0.0):
            pass
        self.ask("/look/1")
        self.outcome(0.1, FAILED)
        self.assertEqual(len(self.peers.sent), 1)
        self.assertEqual(self.replies, [FAILED])

    def test_a_refusal_after_an_attempt_that_may_have_run_is_not_denied(self):
        self.ask("/look/1")
        self.outcome(0.1, Unknown(ErrorKind.ANSWER_LOST))
        self.outcome(0.2, NotRun(ErrorKind.OVERLOADED))
        self.assertIsInstance(self.replies[0], Unknown)

    def test_storms_of_refusals_stay_within_the_users_bound(self):
        """Pattern: all targets of a service refuse half of what they get."""
        ratio, window_s, daemons, slack = 0.2, 10.0, 18, 56
        budgets = [RetryBudget(ratio, window_s) for _ in range(daemons)]
        requests = repeats = 0
        for tick in range(1000):
            for budget in budgets:
                requests += 1
                budget.note_request(tick / 100)
                repeats += budget.take(tick / 100)
        self.assertLessEqual(repeats, ratio * requests + slack)


class DeadlineTests(EntranceCase):
    def test_a_late_request_is_called_off_and_may_have_run(self):
        self.ask("/credit/1")
        self.ring(0.995)
        self.assertEqual(self.replies, [Unknown(ErrorKind.DEADLINE_PASSED)])
        self.assertEqual(self.peers.cancelled, self.peers.sent)

    def test_the_routes_own_time_counts_if_shorter(self):
        self.set_table(KeyTable.divided([Claim(NEAR, "r")]), 10)
        self.ask("/status/1", key=5, timeout_s=3.0)
        self.ring(0.51)
        self.assertEqual(len(self.replies), 1)

    def test_what_cannot_be_back_in_time_is_refused_and_not_sent(self):
        # Load pattern: callers come back with little of their time left.
        self.set_table(KeyTable.divided([Claim(FAR, "r")]), 10)
        self.ask("/status/1", key=5, timeout_s=0.05)
        self.assertEqual(self.peers.sent, [])
        self.assertEqual(self.replies, [NotRun(ErrorKind.DEADLINE_UNREACHABLE)])

    def test_what_was_seen_to_take_longer_is_not_tried(self):
        for _ in range(5):
            self.ask("/look/1")
            self.outcome(0.5, ANSWER)
        sent = len(self.peers.sent)
        self.ask("/look/1", timeout_s=0.15)
        self.ask("/look/1", timeout_s=0.6)
        self.assertEqual(len(self.peers.sent), sent + 1)

    def test_a_caller_that_leaves_is_called_off(self):
        ticket = self.ask("/look/1")
        self.entrance.caller_gone(0.1, ticket)
        self.assertEqual(self.peers.cancelled, self.peers.sent)
        self.assertEqual(self.entrance.in_flight, 0)


class KeyedTests(EntranceCase):
    def setUp(self):
        super().setUp()
        self.table = KeyTable.divided([Claim(NEAR, "r"), Claim(FAR, "r")])
        self.set_table(self.table, 10)

    def test_a_key_goes_to_its_owner(self):
        self.ask("/status/1", key=5)
        self.ask("/status/1", key=60000)
        self.assertEqual([a for a, _ in self.peers.sent], [NEAR, FAR])

    def test_a_key_on_its_way_is_still_served_by_the_former_owner(self):
        self.set_table(self.table.moved([((0, 99), Claim(FAR, "r"))]), 11)
        self.ask("/status/1", key=5)
        self.assertEqual(self.peers.sent[-1][0], NEAR)
        self.outcome(0.05, NotRun(ErrorKind.NOT_OWNER))
        self.assertEqual(self.peers.sent[-1][0], FAR)

    def test_it_waits_for_the_table_and_then_says_when_to_come_back(self):
        self.ask("/status/1", key=5)
        now = 0.0
        while not self.replies:
            now += 0.01
            self.ring(now)
            if len(self.peers.sent) and self.entrance.in_flight:
                self.outcome(now, NotRun(ErrorKind.NOT_OWNER))
        self.assertEqual(self.replies[0].kind, ErrorKind.NO_OWNER)
        self.assertGreater(self.replies[0].retry_after_s, 0)
        self.assertLess(now, 0.5)

    def test_a_key_whose_owner_is_lost_is_refused_at_once(self):
        # Load pattern: an owner is lost, and its keys are asked for until the takeover.
        table = self.table.lost(NEAR).moved([((0, 99), Claim(FAR, "r"))])
        self.set_table(table, 11)
        self.ask("/status/1", key=5)
        self.assertEqual(self.peers.sent, [])
        self.assertEqual(self.replies[0].kind, ErrorKind.NO_OWNER)
        self.assertGreater(self.replies[0].retry_after_s, 0.3)

    def test_a_request_without_a_key_is_refused(self):
        self.ask("/status/1")
        self.assertEqual(self.replies[0].kind, ErrorKind.KEY_MISSING)


class PartTests(unittest.TestCase):
    def test_each_part_of_a_split_gets_its_weight_in_every_round(self):
        parts = (RoutePart("a", 90), RoutePart("b", 10))
        route = HostRoute("r", "h", "/", parts, True)
        table = RoutingTable(1, (route,), {})
        chosen = [table.choose_part(route) for _ in range(300)]
        self.assertEqual(chosen.count("b"), 30)
        self.assertIn("b", chosen[:12])

    def test_the_longest_prefix_wins(self):
        part = (RoutePart("a", 1),)
        short = HostRoute("s", "h", "/a/", part, True)
        long = HostRoute("l", "h", "/a/b/", part, True)
        table = RoutingTable(1, (short, long), {})
        self.assertIs(table.match("H:8080", "/a/b/c?x=/a/"), long)
        self.assertIs(table.match("h", "/a/bc"), short)
        self.assertIsNone(table.match("other", "/a/b/"))
