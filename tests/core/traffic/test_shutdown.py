"""Requests at a router that stops: each gets an outcome before the process exits."""

from __future__ import annotations

import unittest

from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.traffic.requests import NotRun, Unknown
from rhubarbhall.core.traffic.shutdown import LINGER_S, Shutdown
from tests.core.traffic.test_admission_queue import ANSWER, AdmissionQueueCase
from tests.core.traffic.test_request_router import NEAR, RequestRouterCase

GRACE_S = 6.0
#: End of the work of a router whose stop is requested at 0.
END = Shutdown(0.0, GRACE_S).last_outcomes_at


class ShutdownTests(unittest.TestCase):
    # With a grace period of 3 s or less, the process was killed before the callers got
    # their outcomes.
    def test_every_step_comes_in_order_and_before_the_kill(self):
        for grace_s in (2.0, 3.0, GRACE_S, 10.0):
            with self.subTest(grace_s=grace_s):
                shutdown = Shutdown(10.0, grace_s)
                steps = [
                    10.0,
                    shutdown.notice_at,
                    shutdown.accepting_until,
                    shutdown.last_outcomes_at,
                    shutdown.exit_at,
                    10.0 + grace_s,
                ]
                self.assertEqual(steps, sorted(set(steps)))

    # A daemon that exited at once reset connections with requests still on their way.
    def test_the_process_lingers_before_it_exits(self):
        shutdown = Shutdown(0.0, GRACE_S)
        self.assertFalse(shutdown.may_close_to_peers(3.0, has_work=True))
        self.assertTrue(shutdown.may_close_to_peers(3.0, has_work=False))
        self.assertFalse(shutdown.may_exit(3.0))
        shutdown.lingers_since = 3.0
        self.assertFalse(shutdown.may_exit(3.0 + 0.9 * LINGER_S))
        self.assertTrue(shutdown.may_exit(3.0 + LINGER_S))

    def test_work_that_does_not_end_delays_the_exit_no_further(self):
        shutdown = Shutdown(0.0, GRACE_S)
        self.assertTrue(
            shutdown.may_close_to_peers(shutdown.exit_at - LINGER_S, has_work=True)
        )
        shutdown.lingers_since = shutdown.exit_at - 0.1
        self.assertTrue(shutdown.may_exit(shutdown.exit_at))


# Requests that waited for a slot when the daemon exited were cut without an answer.
class DrainingQueueTests(AdmissionQueueCase):
    SLOTS = 1

    def test_a_request_that_would_outlast_the_drain_is_refused_at_once(self):
        self.learn("long", 4.0)
        self.queue.drain(END)
        self.submit(2.0, "late", route="long", deadline=20.0)
        self.assertEqual(self.outcomes["late"].kind, ErrorKind.SHUTTING_DOWN)
        self.assertAlmostEqual(self.outcomes["late"].retry_after_s, END - 2.0)

    def test_a_request_that_ends_before_is_served(self):
        self.learn("short", 0.5)
        self.queue.drain(END)
        self.submit(2.0, "q", route="short", deadline=20.0)
        self.finish(2.5, "q")
        self.assertEqual(self.outcomes["q"], ANSWER)

    def test_a_waiting_request_is_refused_once_its_work_would_end_too_late(self):
        self.learn("r", 1.0)
        self.submit(0.0, "works", deadline=20.0, target_latency_deadline=20.0)
        self.submit(0.0, "waits", deadline=20.0, target_latency_deadline=20.0)
        self.queue.drain(END)
        self.queue.expire(END - 2.0)
        self.assertNotIn("waits", self.outcomes)
        self.queue.expire(END - 0.7)
        self.assertEqual(self.outcomes["waits"].kind, ErrorKind.SHUTTING_DOWN)
        self.assertNotIn("works", self.outcomes)
        self.finish(END - 0.1, "works")
        self.assertEqual(self.outcomes["works"], ANSWER)
        self.assertEqual(self.sent_ids(), [])

    # A stopping daemon began work of a route whose requests mostly end in time, and cut
    # the ones that did not.
    def test_work_that_might_outlast_the_drain_is_not_begun(self):
        self.learn("report", 4.0)
        self.learn("report", 1.0)
        self.queue.drain(END)
        self.submit(END - 2.0, "q", route="report", deadline=20.0)
        self.assertEqual(self.outcomes["q"].kind, ErrorKind.SHUTTING_DOWN)
        self.submit(END - 2.0, "short", route="report", deadline=END - 0.5)
        self.assertEqual(self.sent_ids(), ["short"])

    def test_work_of_unknown_length_is_begun_only_if_its_deadline_is_earlier(self):
        self.queue.drain(END)
        self.submit(0.0, "q", route="new", deadline=END + 0.1)
        self.assertEqual(self.outcomes["q"].kind, ErrorKind.SHUTTING_DOWN)
        self.submit(0.0, "early", route="new", deadline=END - 0.1)
        self.assertEqual(self.sent_ids(), ["early"])

    def test_work_that_was_given_up_counts_with_the_time_that_it_took(self):
        self.learn("report", 1.0)
        self.submit(0.0, "slow", route="report", deadline=3.0)
        self.queue.expire(3.3)
        self.assertGreater(self.queue.durations.longest_s("report"), 3.0)

    def test_a_request_that_waits_for_its_key_is_refused_in_time(self):
        self.keys.awaited = {5}
        self.queue.drain(END)
        self.submit(END - 0.3, "keyed", key=5, deadline=20.0)
        self.queue.expire(END - 0.05)
        self.assertEqual(self.outcomes["keyed"].kind, ErrorKind.SHUTTING_DOWN)

    def test_an_earlier_deadline_is_named_as_the_reason(self):
        self.learn("r", 1.0)
        self.submit(0.0, "works", deadline=20.0, target_latency_deadline=20.0)
        self.submit(0.0, "waits", deadline=3.0, target_latency_deadline=3.0)
        self.queue.drain(END)
        self.queue.expire(2.5)
        self.assertEqual(self.outcomes["waits"], NotRun(ErrorKind.DEADLINE_UNREACHABLE))


# Callers whose requests outlasted the grace period got no answer at all.
class DrainingRouterTests(RequestRouterCase):
    def test_a_request_at_another_daemon_ends_as_unknown(self):
        self.submit("/credit/1", timeout_s=20.0)
        self.router.drain(END)
        self.router.end_pending(END)
        self.assertEqual(self.replies, [Unknown(ErrorKind.ANSWER_LOST)])
        self.assertEqual(self.peers.cancelled, self.peers.sent)
        self.assertEqual(self.router.in_flight, 0)

    def test_a_request_that_was_not_sent_is_refused_as_not_run(self):
        self.peers.opening = {NEAR}
        self.submit("/look/1", timeout_s=20.0)
        self.assertEqual(self.peers.sent, [])
        self.router.end_pending(0.1)
        self.assertIsInstance(self.replies[0], NotRun)
        self.assertEqual(self.replies[0].kind, ErrorKind.SHUTTING_DOWN)

    # A request accepted before the stop was sent on to a target with its whole deadline
    # although nobody would wait that long, and its outcome became unknown.
    def test_a_request_is_not_sent_again_just_before_the_exit(self):
        self.submit("/credit/1", timeout_s=20.0)
        self.router.drain(END)
        refusal = NotRun(ErrorKind.SHUTTING_DOWN)
        self.outcome(END - 0.01, refusal)
        self.assertEqual(self.replies, [refusal])
        self.assertEqual(len(self.peers.sent), 1)

    def learn(self, path: str, took_s: float) -> None:
        """Have a request of a route answered after some time."""
        self.submit(path, timeout_s=20.0)
        self.outcome(took_s, ANSWER)
        self.replies.clear()

    # Guards against: a request that comes late in the grace period passed on, and cut
    # while its target works on it.
    def test_a_late_request_that_could_outlast_the_stop_is_refused_at_once(self):
        self.learn("/credit/1", took_s=1.0)
        self.router.drain(END)
        self.submit("/credit/2", now=END - 0.9, timeout_s=20.0)
        (refusal,) = self.replies
        self.assertIsInstance(refusal, NotRun)
        self.assertEqual(refusal.kind, ErrorKind.SHUTTING_DOWN)
        self.assertAlmostEqual(refusal.retry_after_s, 0.9)
        self.assertEqual(len(self.peers.sent), 1)

    def test_a_late_request_that_ends_before_the_stop_is_passed_on(self):
        self.learn("/credit/1", took_s=1.0)
        self.router.drain(END)
        self.submit("/credit/2", now=END - 1.1, timeout_s=20.0)
        self.submit("/credit/3", now=END - 0.9, timeout_s=0.5)
        self.assertEqual(self.replies, [])
        self.assertEqual(len(self.peers.sent), 3)

    def test_a_request_sent_again_during_a_stop_ends_with_it(self):
        self.submit("/credit/1", timeout_s=20.0)
        self.router.drain(END)
        self.outcome(2.0, NotRun(ErrorKind.SHUTTING_DOWN))
        self.assertEqual(len(self.peers.sent), 2)
        (pending,) = self.router._pending_by_ticket.values()
        self.assertEqual(pending.request.deadline, END)

    def test_a_late_outcome_changes_nothing(self):
        self.submit("/credit/1", timeout_s=20.0)
        self.router.end_pending(END)
        self.outcome(END + 0.1, ANSWER)
        self.assertEqual(len(self.replies), 1)

    def test_requests_accepted_during_a_stop_end_with_it(self):
        self.router.drain(END)
        self.submit("/look/1", now=2.0, timeout_s=20.0)
        (pending,) = self.router._pending_by_ticket.values()
        self.assertEqual(pending.request.deadline, END)
