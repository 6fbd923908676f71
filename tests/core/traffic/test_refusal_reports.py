"""Requests refused where they enter, as another daemon has no room for them."""

from __future__ import annotations

import unittest
from dataclasses import replace

from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.ownership.key_table import Claim, KeyTable
from rhubarbhall.core.traffic.load_shedding import RefusalStage
from rhubarbhall.core.traffic.refusal_reports import (
    MAX_DAEMONS,
    MAX_KINDS,
    MAX_REPORT_AGE_S,
    PROBE_SHARE,
    RefusalReports,
)
from rhubarbhall.core.traffic.requests import Load, NotRun
from tests.core.traffic.test_admission_queue import REQUEST, AdmissionQueueCase
from tests.core.traffic.test_request_router import FAR, NEAR, RequestRouterCase

OWNER = "10.0.0.9:1"


def request(now: float, left_s: float = 1.0, **changes):
    latency = now + min(0.4, left_s)
    return replace(
        REQUEST, deadline=now + left_s, target_latency_deadline=latency, **changes
    )


def refusal(needed_s: float) -> NotRun:
    return NotRun(ErrorKind.OVERLOADED, 0.3, needed_s)


class RefusalReportsTests(unittest.TestCase):
    def setUp(self):
        self.reports = RefusalReports()
        self.reports.record_refusal(5.0, OWNER, request(5.0), refusal(1.5))

    def test_only_requests_that_would_be_refused_as_well_are_refused(self):
        refuses = self.reports.refuses
        self.assertTrue(refuses(5.01, OWNER, request(5.01), 0.0))
        self.assertFalse(refuses(5.01, OWNER, request(5.01, left_s=1.6), 0.0))
        self.assertFalse(refuses(5.01, "10.0.0.8:1", request(5.01), 0.0))
        for other in ({"route": "x"}, {"is_retry": True}):
            self.assertFalse(refuses(5.01, OWNER, request(5.01, **other), 0.0))

    def test_the_round_trip_is_not_available_to_the_daemon(self):
        here = request(5.01, left_s=1.55)
        self.assertFalse(self.reports.refuses(5.01, OWNER, here, 0.03))
        self.assertTrue(self.reports.refuses(5.01, OWNER, here, 0.06))

    def test_a_report_counts_for_a_short_time(self):
        later = 5.0 + MAX_REPORT_AGE_S - 0.001
        self.reports.refuses(later, OWNER, request(later), 0.0)
        self.assertTrue(self.reports.refuses(later, OWNER, request(later), 0.0))
        later += 0.002
        self.assertFalse(self.reports.refuses(later, OWNER, request(later), 0.0))

    def test_a_report_counts_no_longer_than_the_target_is_busy(self):
        self.reports.record_refusal(5.0, OWNER, request(5.0), refusal(0.1))
        self.assertTrue(self.reports.refuses(5.03, OWNER, request(5.03, 0.09), 0.0))
        self.assertFalse(self.reports.refuses(5.05, OWNER, request(5.05, 0.09), 0.0))

    def test_a_free_slot_ends_the_refusals(self):
        self.reports.record_load(OWNER, Load(2, 1, 2))
        self.assertTrue(self.reports.refuses(5.01, OWNER, request(5.01), 0.0))
        self.reports.record_load(OWNER, Load(1, 0, 2))
        self.assertFalse(self.reports.refuses(5.01, OWNER, request(5.01), 0.0))

    def test_a_refusal_by_a_daemon_of_an_earlier_version_tells_nothing(self):
        self.reports.record_refusal(5.0, NEAR, request(5.0), refusal(0.0))
        self.assertFalse(self.reports.refuses(5.01, NEAR, request(5.01), 0.0))

    def test_reports_of_many_daemons_and_routes_are_bounded(self):
        for daemon in range(2 * MAX_DAEMONS):
            for route in range(2 * MAX_KINDS):
                here = request(6.0, route=str(route))
                self.reports.record_refusal(6.0, str(daemon), here, refusal(1.5))
        self.assertEqual(len(self.reports), MAX_DAEMONS * MAX_KINDS)
        self.assertTrue(self.reports.refuses(6.01, str(daemon), here, 0.0))


class HotRangeTests(AdmissionQueueCase):
    """Load pattern: a hot range of keys is asked for five times as often as its owner
    can serve it.

    Guards against: refusals that each cost the link and the owner, and an owner that is
    idle while callers are refused.
    """

    SLOTS, WORK_S, HOP_S, END_S = 2, 0.1, 0.03, 10.0

    def test_the_owner_stays_busy_and_few_requests_cross_to_be_refused(self):
        self.learn("r", self.WORK_S)
        reports = RefusalReports()
        crossing, back, done_at = [], [], {}
        served, refused_there, number = 0, 0, 0
        for step in range(int(self.END_S * 1000)):
            now = step / 1000
            if step % 10 == 0:
                number += 1
                here = request(now, 0.6, id=str(number))
                if not reports.refuses(now, OWNER, here, 2 * self.HOP_S):
                    arrives_at = now + self.HOP_S
                    here = replace(here, deadline=here.deadline - self.HOP_S)
                    crossing.append((arrives_at, here))
            while crossing and crossing[0][0] <= now:
                here = crossing.pop(0)[1]
                self.queue.submit(
                    now,
                    here,
                    lambda outcome, here=here, now=now: back.append(
                        (now + self.HOP_S, here, outcome, self.queue.load)
                    ),
                )
            for here in list(self.target.sent.values()):
                if now >= done_at.setdefault(here.id, now + self.WORK_S):
                    self.finish(now, here.id)
                    served += 1
            if step % 100 == 0:
                self.queue.expire(now)
            for each in [each for each in back if each[0] <= now]:
                back.remove(each)
                _, here, outcome, load = each
                reports.record_load(OWNER, load)
                if isinstance(outcome, NotRun):
                    refused_there += 1
                    reports.record_refusal(now, OWNER, here, outcome)
        self.assertGreater(served, 0.93 * self.SLOTS * self.END_S / self.WORK_S)
        self.assertLess(refused_there, 0.3 * (number - served))


class EntranceTests(RequestRouterCase):
    def test_requests_of_a_full_owner_are_refused_at_once_except_a_small_share(self):
        self.set_table(KeyTable.divided([Claim(NEAR, "r")]), 10)
        self.submit("/status/1", key=5)
        self.outcome(0.0, refusal(0.9))
        sent, count = len(self.peers.sent), 4 * PROBE_SHARE
        for _ in range(count):
            self.submit("/status/1", key=5, now=0.01)
        self.assertEqual(len(self.peers.sent) - sent, count / PROBE_SHARE)
        refused = self.replies[1:]
        self.assertEqual({each.kind for each in refused}, {ErrorKind.OVERLOADED})
        self.assertTrue(all(each.retry_after_s > 0 for each in refused))
        self.assertEqual(self.router.refusals[RefusalStage.SENDER], len(refused))

    def test_a_service_whose_targets_are_all_full_gets_no_requests(self):
        # Guards against: requests that cross between regions to be refused there.
        self.submit("/look/1")
        self.outcome(0.0, refusal(1.5))
        self.assertEqual([address for address, _ in self.peers.sent], [NEAR, FAR])
        self.outcome(0.0, refusal(1.5))
        self.submit("/look/2", now=0.01)
        self.assertEqual(len(self.peers.sent), 2)
        self.assertEqual(self.replies[1].kind, ErrorKind.OVERLOADED)
        self.assertGreater(self.replies[1].retry_after_s, 0)

    def test_a_full_target_is_left_out_while_another_one_has_room(self):
        self.submit("/look/1")
        self.outcome(0.0, refusal(1.5))
        self.submit("/look/2", now=0.01)
        self.assertEqual([address for address, _ in self.peers.sent], [NEAR, FAR, FAR])
