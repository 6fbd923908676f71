"""The admission queue keeps requests apart under which targets have ended."""

from __future__ import annotations

from dataclasses import replace

from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.traffic.admission_queue import PROBE_TIMEOUT_S
from rhubarbhall.core.traffic.crash_suspects import fingerprint_of
from rhubarbhall.core.traffic.requests import NotRun, Unknown
from rhubarbhall.core.traffic.suspect_runs import MAX_ISOLATION_WAIT_S
from tests.core.traffic.test_admission_queue import ANSWER, REQUEST, AdmissionQueueCase


class SuspectRunsTests(AdmissionQueueCase):
    SLOTS = 3

    def suspect(self, path: str, ends: int, rejected: bool = False) -> None:
        """Record that targets have ended under the requests to a path."""
        mark = fingerprint_of(replace(REQUEST, path=path))
        for number in range(ends):
            self.suspects.record_end(0.0, mark, f"i-{number}@1", False)
        if rejected:
            self.suspects.record_end(0.0, mark, "i-last@1", True)

    def sent_paths(self) -> list[str]:
        return [request.path for request in self.target.sent.values()]

    def answer(self, now: float, index: int) -> None:
        self.queue.finish(now, list(self.target.sent)[index], ANSWER)

    # Guards against: two suspects on one target, so that its end does not tell which of
    # them is the cause.
    def test_one_suspect_runs_at_a_time_beside_other_requests(self):
        self.suspect("/a", 1)
        self.suspect("/b", 1)
        for id, path in enumerate(("/a", "/b", "/c")):
            self.submit(0.0, str(id), path=path)
        self.assertEqual(self.sent_paths(), ["/a", "/c"])
        self.answer(0.1, 0)
        self.assertEqual(self.sent_paths(), ["/a", "/c", "/b"])

    def test_after_two_ends_a_request_runs_alone(self):
        self.suspect("/a", 2)
        self.submit(0.0, "0", path="/c")
        self.submit(0.0, "1", path="/a")
        self.submit(0.0, "2", path="/d")
        self.assertEqual(self.sent_paths(), ["/c"])
        self.answer(0.1, 0)
        self.assertEqual(self.sent_paths(), ["/c", "/a"])
        self.answer(0.2, 1)
        self.assertEqual(self.sent_paths(), ["/c", "/a", "/d"])

    # Guards against: other requests held up for as long as one runs.
    def test_a_request_that_cannot_run_alone_soon_is_refused(self):
        self.suspect("/a", 2)
        self.submit(0.0, "0", path="/c", deadline=9.0)
        self.submit(0.0, "1", path="/a", deadline=9.0)
        self.submit(0.0, "2", path="/d", deadline=9.0)
        self.queue.expire(MAX_ISOLATION_WAIT_S + 0.1)
        self.assertEqual(self.outcomes["1"].kind, ErrorKind.OVERLOADED)
        self.assertEqual(self.sent_paths(), ["/c", "/d"])

    def test_a_rejected_request_is_refused_also_while_it_waits(self):
        self.suspect("/a", 1)
        self.suspect("/b", 1)
        self.submit(0.0, "0", path="/a")
        self.submit(0.0, "1", path="/b")
        self.suspect("/b", 2, rejected=True)
        self.queue.on_suspects_changed(0.1)
        self.assertEqual(self.outcomes["1"], NotRun(ErrorKind.CRASHES_TARGETS))
        self.submit(0.2, "2", path="/b")
        self.assertEqual(self.outcomes["2"], NotRun(ErrorKind.CRASHES_TARGETS))
        self.assertEqual(self.sent_paths(), ["/a"])

    def test_a_repeat_after_a_lost_answer_runs_apart_from_other_suspects(self):
        self.suspect("/a", 1)
        self.submit(0.0, "0", path="/a")
        self.submit(0.0, "1", path="/b", is_suspected=True)
        self.assertEqual(self.sent_paths(), ["/a"])

    # Guards against: waiting requests lost on connections to a target that has ended.
    def test_after_a_lost_answer_nothing_is_sent_until_the_target_was_probed(self):
        self.submit(0.0, "0", path="/a")
        self.queue.limit.resize(1)
        self.submit(0.0, "1", path="/b")
        lost = Unknown(ErrorKind.ANSWER_LOST)
        self.queue.finish(0.1, next(iter(self.target.sent)), lost)
        self.queue.expire(0.2)
        self.assertEqual(self.sent_paths(), ["/a"])
        self.queue.resume(0.2)
        self.assertEqual(self.sent_paths(), ["/a", "/b"])

    def test_a_probe_without_result_holds_requests_up_for_a_short_time(self):
        self.submit(0.0, "0", path="/a")
        lost = Unknown(ErrorKind.ANSWER_LOST)
        self.queue.finish(0.1, next(iter(self.target.sent)), lost)
        self.submit(0.2, "1", path="/b")
        self.queue.expire(0.1 + PROBE_TIMEOUT_S)
        self.assertEqual(self.sent_paths(), ["/a", "/b"])

    # Guards against: a request that crashes targets not suspected, as its callers leave
    # or its deadline passes before the target ends.
    def test_a_request_that_was_given_up_is_suspected_as_well(self):
        ticket = self.submit(0.0, "0", path="/a")
        self.submit(0.0, "1", path="/b", deadline=0.5)
        self.submit(0.0, "2", path="/c", idempotent=False)
        self.queue.cancel(0.1, ticket)
        self.queue.expire(0.8)
        lost = self.queue.lost_runs.take(0.9)
        self.assertEqual([run.path for run in lost], ["/a", "/b"])
        self.assertFalse(any(run.was_alone for run in lost))

    def test_lost_answers_are_kept_until_the_target_answers_again(self):
        self.suspect("/a", 2)
        self.submit(0.0, "0", path="/a")
        lost = Unknown(ErrorKind.ANSWER_LOST)
        self.queue.finish(0.1, next(iter(self.target.sent)), lost)
        (run,) = self.queue.lost_runs.take(0.2)
        self.assertTrue(run.was_alone)
        self.assertEqual(run.path, "/a")
