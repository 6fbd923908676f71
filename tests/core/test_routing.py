from __future__ import annotations

import unittest

from rhubarbhall.core import events
from rhubarbhall.core.directory import Directory
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.idempotency import mint_key
from rhubarbhall.core.requests import OWNER_HEADER, RETRY_HEADER
from rhubarbhall.core.retry import MAX_SAVED, MIN_RETRIES_PER_S, RetryBudget
from tests.fakes import INTENT, SERVICE, WALL_MS_AT_ZERO, Host, Mesh

REGIONS_AND_DOMAINS = [("r1", "a"), ("r1", "b"), ("r2", "c"), ("r2", "d")]


class RoutingTests(unittest.TestCase):
    def setUp(self):
        self.mesh = Mesh(REGIONS_AND_DOMAINS, seed=4)
        self.mesh.publish(INTENT, 0, "op/1")
        self.mesh.run_until(self.mesh.all_served)
        self.mesh.run(10.0)

    def owner_of(self, key: str) -> Host:
        directory: Directory = self.mesh.fold()
        ref = directory.slice_of(SERVICE, key)
        owner = directory.owner_of(ref.service, ref.index)
        return next(
            host for host in self.mesh.hosts if host.node.context.member_id == owner
        )

    def other_than(self, host: Host) -> Host:
        return next(each for each in self.mesh.hosts if each is not host)

    def execution_count(self, key: str) -> int:
        return sum(each.key == key for each in self.mesh.executions)

    def test_a_request_is_forwarded_once_and_the_answer_names_the_owner(self):
        owner = self.owner_of("k1")
        receiver = self.other_than(owner)
        request = self.mesh.call(receiver, "k1")
        self.mesh.run(0.5)
        headers = dict(receiver.answers[request].headers)
        self.assertEqual(headers[OWNER_HEADER], f"{owner.name}:1")
        self.assertEqual(receiver.node.router.forwarded, 1)
        self.assertEqual(owner.node.router.forwarded, 0)

    def test_a_get_whose_owner_is_lost_is_sent_again(self):
        owner = self.owner_of("k1")
        receiver = self.other_than(owner)
        owner.target.work_s = 5.0
        request = self.mesh.call(receiver, "k1", deadline_s=9.0)
        self.mesh.run(0.1)
        self.mesh.lose(owner)
        self.mesh.run(3.0)
        self.assertEqual(receiver.answers[request].status, 200)

    def test_a_post_whose_owner_is_lost_is_answered_with_answer_lost(self):
        owner = self.owner_of("k1")
        receiver = self.other_than(owner)
        owner.target.work_s = 5.0
        request = self.mesh.call(receiver, "k1", "POST", deadline_s=9.0)
        self.mesh.run(0.1)
        self.mesh.lose(owner)
        self.mesh.run(3.0)
        self.assertEqual(receiver.answers[request].kind.value, "answer_lost")
        self.assertEqual(self.execution_count("k1"), 0)

    def test_retry_after_of_callers_refused_together_is_spread(self):
        owner = self.owner_of("k1")
        owner.target.sheds = True
        requests = [self.mesh.call(owner, "k1") for _ in range(40)]
        self.mesh.run(1.0)
        values = {dict(owner.answers[each].headers)[RETRY_HEADER] for each in requests}
        self.assertEqual(values, {"1", "2", "3"})
        self.assertEqual(self.execution_count("k1"), 0)

    def test_an_order_is_cancelled_when_its_caller_disconnects(self):
        owner = self.owner_of("k1")
        owner.target.work_s = 0.5
        request = self.mesh.call(owner, "k1")
        self.mesh.run(0.1)
        self.mesh.deliver(owner, events.CallerGone(request), 0.0)
        self.mesh.run(1.0)
        self.assertEqual(self.execution_count("k1"), 0)
        self.assertNotIn(request, owner.answers)

    def test_limits_of_a_new_intent_apply_to_targets_in_use(self):
        owner = self.owner_of("k1")
        self.mesh.call(owner, "k1")
        self.mesh.run(0.5)
        admission = owner.node.order_dispatcher.admissions[SERVICE]
        self.assertEqual(admission.limit.maximum, 20)
        service = {**INTENT["services"][SERVICE], "slots": 1, "short_slots": 0}
        service |= {"queue": 2, "connections": 7}
        self.mesh.publish({"services": {SERVICE: service}}, 1, "op/limits")
        self.mesh.run(1.0)
        self.assertEqual(admission.limit.value, 1)
        self.assertEqual(owner.connection_limit, 7)
        owner.target.work_s = 0.5
        calls = [
            self.mesh.call(owner, "k1", caller=f"c{n}", deadline_s=9.0)
            for n in range(6)
        ]
        self.mesh.run(4.0)
        kinds = [owner.answers[each].kind for each in calls]
        self.assertEqual(kinds.count(ErrorKind.OVERLOADED), 3)
        self.assertEqual(kinds.count(None), 3)

    def test_a_post_whose_caller_disconnects_before_it_runs_may_be_repeated(self):
        owner = self.owner_of("k1")
        owner.target.work_s = 0.5
        for number in range(20):
            self.mesh.call(owner, "k1", caller=f"c{number}")
        idempotency_key = mint_key(
            WALL_MS_AT_ZERO + int(self.mesh.now * 1000), self.mesh.rng
        )
        request = self.mesh.call(owner, "k1", "POST", idempotency_key)
        self.mesh.run(0.1)
        self.mesh.deliver(owner, events.CallerGone(request), 0.0)
        self.mesh.run(2.0)
        again = self.mesh.call(owner, "k1", "POST", idempotency_key)
        self.mesh.run(1.0)
        self.assertEqual(owner.answers[again].status, 200)

    def test_a_post_with_an_idempotency_key_runs_on_when_its_caller_disconnects(self):
        owner = self.owner_of("k1")
        owner.target.work_s = 0.5
        idempotency_key = mint_key(
            WALL_MS_AT_ZERO + int(self.mesh.now * 1000), self.mesh.rng
        )
        request = self.mesh.call(owner, "k1", "POST", idempotency_key)
        self.mesh.run(0.1)
        self.mesh.deliver(owner, events.CallerGone(request), 0.0)
        self.mesh.run(1.0)
        again = self.mesh.call(owner, "k1", "POST", idempotency_key)
        self.mesh.run(1.0)
        self.assertEqual(owner.answers[again].status, 200)
        self.assertEqual(self.execution_count("k1"), 1)

    def call_past_its_deadline(
        self, work_s: float, answer_delay_s: float
    ) -> tuple[Host, str]:
        """Send a POST that has no answer by its deadline.

        Returns the owner and the idempotency key, for a repeat of the request.
        """
        owner = self.owner_of("k1")
        owner.target.work_s = work_s
        owner.target.answer_delay_s = answer_delay_s
        idempotency_key = mint_key(
            WALL_MS_AT_ZERO + int(self.mesh.now * 1000), self.mesh.rng
        )
        request = self.mesh.call(owner, "k1", "POST", idempotency_key, deadline_s=0.5)
        self.mesh.run(2.0)
        self.assertEqual(owner.answers[request].kind.value, "deadline_passed")
        owner.target.work_s = 0.01
        return owner, idempotency_key

    def repeat(self, owner: Host, idempotency_key: str):
        request = self.mesh.call(owner, "k1", "POST", idempotency_key)
        self.mesh.run(1.0)
        return owner.answers[request]

    def test_a_repeat_gets_the_answer_that_came_after_the_deadline(self):
        owner, idempotency_key = self.call_past_its_deadline(0.3, answer_delay_s=0.4)
        self.assertEqual(self.repeat(owner, idempotency_key).status, 200)
        self.assertEqual(self.execution_count("k1"), 1)

    def test_a_post_that_was_cancelled_before_it_ran_runs_when_repeated(self):
        owner, idempotency_key = self.call_past_its_deadline(0.8, answer_delay_s=0.1)
        self.assertEqual(self.execution_count("k1"), 0)
        self.assertEqual(self.repeat(owner, idempotency_key).status, 200)
        self.assertEqual(self.execution_count("k1"), 1)

    def test_a_request_past_its_deadline_is_refused_and_never_runs(self):
        owner = self.owner_of("k1")
        owner.target.work_s = 2.0
        request = self.mesh.call(owner, "k1", deadline_s=0.5)
        self.mesh.run(0.7)
        self.assertEqual(owner.answers[request].kind.value, "deadline_passed")
        self.mesh.run(3.0)
        self.assertEqual(self.execution_count("k1"), 0)


class RetryBudgetTests(unittest.TestCase):
    def test_retries_are_a_small_share_of_the_requests(self):
        budget = RetryBudget()
        while budget.take(0.0):
            pass
        for _ in range(1_000):
            budget.record_request()
        taken = 0
        while budget.take(0.0):
            taken += 1
        self.assertLessEqual(taken, MAX_SAVED)

    def test_some_retries_per_second_are_allowed_without_requests(self):
        budget = RetryBudget()
        while budget.take(0.0):
            pass
        taken = 0
        while budget.take(1.0):
            taken += 1
        self.assertEqual(taken, MIN_RETRIES_PER_S)
