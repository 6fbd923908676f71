from __future__ import annotations

import unittest

from rhubarbhall.core import events
from rhubarbhall.core.directory import Directory
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.idempotency import mint_key
from rhubarbhall.core.requests import OWNER_HEADER, RETRY_HEADER
from rhubarbhall.core.retry import MAX_SAVED, MIN_RETRIES_PER_S, RetryBudget
from tests.fakes import INTENT, SERVICE, WALL_MS_AT_ZERO, Host, Mesh

PLACES = [("r1", "a"), ("r1", "b"), ("r2", "c"), ("r2", "d")]


class RoutingTests(unittest.TestCase):
    def setUp(self):
        self.mesh = Mesh(PLACES, seed=4)
        self.mesh.publish(INTENT, 0, "op/1")
        self.mesh.run_until(self.mesh.all_served)
        self.mesh.run(10.0)

    def owner_of(self, key: str) -> Host:
        directory: Directory = self.mesh.fold()
        ref = directory.slice_of(SERVICE, key)
        owner = directory.owner_of(ref.service, ref.index)
        return next(h for h in self.mesh.hosts if h.node.context.me == owner)

    def other_than(self, host: Host) -> Host:
        return next(each for each in self.mesh.hosts if each is not host)

    def ran(self, key: str) -> int:
        return sum(each.key == key for each in self.mesh.executions)

    def test_a_request_hops_once_and_the_answer_names_the_owner(self):
        owner = self.owner_of("k1")
        entrance = self.other_than(owner)
        request = self.mesh.call(entrance, "k1")
        self.mesh.run(0.5)
        headers = dict(entrance.answers[request].headers)
        self.assertEqual(headers[OWNER_HEADER], f"{owner.name}:1")
        self.assertEqual(entrance.node.router.forwarded, 1)
        self.assertEqual(owner.node.router.forwarded, 0)

    def test_a_lookup_whose_owner_is_lost_is_sent_again(self):
        owner = self.owner_of("k1")
        entrance = self.other_than(owner)
        owner.target.work_s = 5.0
        request = self.mesh.call(entrance, "k1", deadline_s=9.0)
        self.mesh.run(0.1)
        self.mesh.lose(owner)
        self.mesh.run(3.0)
        self.assertEqual(entrance.answers[request].status, 200)

    def test_a_credit_whose_owner_is_lost_is_told_as_unknown(self):
        owner = self.owner_of("k1")
        entrance = self.other_than(owner)
        owner.target.work_s = 5.0
        request = self.mesh.call(entrance, "k1", "POST", deadline_s=9.0)
        self.mesh.run(0.1)
        self.mesh.lose(owner)
        self.mesh.run(3.0)
        self.assertEqual(entrance.answers[request].kind.value, "answer_lost")
        self.assertEqual(self.ran("k1"), 0)

    def test_repeats_of_refused_callers_are_spread(self):
        owner = self.owner_of("k1")
        owner.target.sheds = True
        requests = [self.mesh.call(owner, "k1") for _ in range(40)]
        self.mesh.run(1.0)
        values = {dict(owner.answers[each].headers)[RETRY_HEADER] for each in requests}
        self.assertEqual(values, {"1", "2", "3"})
        self.assertEqual(self.ran("k1"), 0)

    def test_a_caller_that_has_gone_cancels_its_order(self):
        owner = self.owner_of("k1")
        owner.target.work_s = 0.5
        request = self.mesh.call(owner, "k1")
        self.mesh.run(0.1)
        self.mesh.deliver(owner, events.CallerGone(request), 0.0)
        self.mesh.run(1.0)
        self.assertEqual(self.ran("k1"), 0)
        self.assertNotIn(request, owner.answers)

    def test_limits_of_a_new_intent_hold_for_targets_already_at_work(self):
        owner = self.owner_of("k1")
        self.mesh.call(owner, "k1")
        self.mesh.run(0.5)
        admission = owner.node.gate.admissions[SERVICE]
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

    def test_a_credit_whose_caller_went_before_it_ran_may_be_repeated(self):
        owner = self.owner_of("k1")
        owner.target.work_s = 0.5
        for number in range(20):
            self.mesh.call(owner, "k1", caller=f"c{number}")
        minted = mint_key(WALL_MS_AT_ZERO + int(self.mesh.now * 1000), self.mesh.rng)
        request = self.mesh.call(owner, "k1", "POST", minted)
        self.mesh.run(0.1)
        self.mesh.deliver(owner, events.CallerGone(request), 0.0)
        self.mesh.run(2.0)
        again = self.mesh.call(owner, "k1", "POST", minted)
        self.mesh.run(1.0)
        self.assertEqual(owner.answers[again].status, 200)

    def test_a_credit_goes_on_when_its_caller_has_gone(self):
        owner = self.owner_of("k1")
        owner.target.work_s = 0.5
        minted = mint_key(WALL_MS_AT_ZERO + int(self.mesh.now * 1000), self.mesh.rng)
        request = self.mesh.call(owner, "k1", "POST", minted)
        self.mesh.run(0.1)
        self.mesh.deliver(owner, events.CallerGone(request), 0.0)
        self.mesh.run(1.0)
        again = self.mesh.call(owner, "k1", "POST", minted)
        self.mesh.run(1.0)
        self.assertEqual(owner.answers[again].status, 200)
        self.assertEqual(self.ran("k1"), 1)

    def credit_that_ends_late(
        self, work_s: float, answer_delay_s: float
    ) -> tuple[Host, str]:
        """Send a credit whose answer comes after its deadline."""
        owner = self.owner_of("k1")
        owner.target.work_s = work_s
        owner.target.answer_delay_s = answer_delay_s
        minted = mint_key(WALL_MS_AT_ZERO + int(self.mesh.now * 1000), self.mesh.rng)
        request = self.mesh.call(owner, "k1", "POST", minted, deadline_s=0.5)
        self.mesh.run(2.0)
        self.assertEqual(owner.answers[request].kind.value, "deadline_passed")
        owner.target.work_s = 0.01
        return owner, minted

    def repeat(self, owner: Host, minted: str):
        request = self.mesh.call(owner, "k1", "POST", minted)
        self.mesh.run(1.0)
        return owner.answers[request]

    def test_an_answer_that_came_too_late_is_given_to_the_repeat(self):
        owner, minted = self.credit_that_ends_late(0.3, answer_delay_s=0.4)
        self.assertEqual(self.repeat(owner, minted).status, 200)
        self.assertEqual(self.ran("k1"), 1)

    def test_a_credit_that_was_cancelled_in_time_runs_when_repeated(self):
        owner, minted = self.credit_that_ends_late(0.8, answer_delay_s=0.1)
        self.assertEqual(self.ran("k1"), 0)
        self.assertEqual(self.repeat(owner, minted).status, 200)
        self.assertEqual(self.ran("k1"), 1)

    def test_a_deadline_that_passes_is_told_and_nothing_runs_later(self):
        owner = self.owner_of("k1")
        owner.target.work_s = 2.0
        request = self.mesh.call(owner, "k1", deadline_s=0.5)
        self.mesh.run(0.7)
        self.assertEqual(owner.answers[request].kind.value, "deadline_passed")
        self.mesh.run(3.0)
        self.assertEqual(self.ran("k1"), 0)


class RetryBudgetTests(unittest.TestCase):
    def test_retries_are_a_small_share_of_the_requests(self):
        budget = RetryBudget()
        while budget.take(0.0):
            pass
        for _ in range(1_000):
            budget.note_request()
        taken = 0
        while budget.take(0.0):
            taken += 1
        self.assertLessEqual(taken, MAX_SAVED)

    def test_a_few_retries_are_always_left(self):
        budget = RetryBudget()
        while budget.take(0.0):
            pass
        taken = 0
        while budget.take(1.0):
            taken += 1
        self.assertEqual(taken, MIN_RETRIES_PER_S)
