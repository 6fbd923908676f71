"""No key is ever held by two targets under random faults, on a virtual clock."""

from __future__ import annotations

import functools
import unittest
from unittest import mock

from rhubarbhall.core.ownership import range_witness, reconciler, target_keys
from rhubarbhall.core.ownership.key_table import KEY_COUNT
from rhubarbhall.core.ownership.range_witness import WitnessedLease
from rhubarbhall.core.ownership.requested_holdings import RequestedHoldings
from rhubarbhall.core.ownership.target_keys import TargetKeys
from tests.core.ownership.mesh import FaultPlan, OwnershipMesh

#: Virtual time of a run, in seconds, and the time without new faults at its end.
RUN_S = 60.0
CALM_S = 25.0
SEEDS = range(40)


def simulate(
    seed: int, faults: int = 14, by_request: bool = False
) -> tuple[OwnershipMesh, FaultPlan]:
    """Return a simulated mesh after random faults and a time without new ones."""
    mesh = OwnershipMesh(seed, by_request=by_request)
    plan = FaultPlan(mesh)
    plan.schedule(faults, 6.0, RUN_S - CALM_S)
    mesh.simulation.run_until(RUN_S)
    return mesh, plan


class SoleOwnerTests(unittest.TestCase):
    by_request = False

    @classmethod
    def setUpClass(cls):
        cls.simulated = {
            seed: simulate(seed, by_request=cls.by_request) for seed in SEEDS
        }

    def test_no_key_has_two_holders_and_fences_rise(self):
        for seed, (mesh, plan) in self.simulated.items():
            with self.subTest(seed=seed):
                report = "\n".join(
                    plan.injected + [str(each) for each in mesh.overlaps[:5]]
                )
                self.assertEqual(mesh.overlaps, [], report)

    def test_every_key_has_a_holder_again_after_the_faults(self):
        for seed, (mesh, plan) in self.simulated.items():
            with self.subTest(seed=seed):
                held = sum(mesh.owners().values())
                self.assertEqual(held, KEY_COUNT, "\n".join(plan.injected))


class SoleOwnerByRequestTests(SoleOwnerTests):
    """The same for targets that take keys by requests, whose answers may be lost."""

    by_request = True


class ReusedIdTests(unittest.TestCase):
    def test_a_restarted_target_with_its_former_id_gets_its_keys_with_new_fences(self):
        for seed in range(10):
            mesh = OwnershipMesh(seed, by_request=True, reuses_ids=True)
            plan = FaultPlan(mesh)
            for daemon in mesh.daemons:
                at = mesh.simulation.rng.uniform(10.0, 12.0)
                restart = functools.partial(plan._restart_target, daemon, 0.0)
                mesh.simulation.after(at, restart)
            mesh.simulation.run_until(20.0)
            with self.subTest(seed=seed):
                self.assertEqual(mesh.overlaps, [])
                self.assertEqual(sum(mesh.owners().values()), KEY_COUNT)


class FormerHeartbeatTests(unittest.TestCase):
    """Late heartbeats of former runs, some of which seem to have started later.

    Guards against: keys of a live target that are freed, or not granted any more, by
    the heartbeats of a run that has ended.
    """

    def test_no_key_has_two_holders_and_each_has_one_again(self):
        for seed in range(15):
            mesh = OwnershipMesh(seed, delivers_former_heartbeats=True)
            plan = FaultPlan(mesh)
            plan.schedule(14, 6.0, RUN_S - CALM_S)
            self.schedule_restarts(mesh, plan)
            mesh.simulation.run_until(RUN_S)
            with self.subTest(seed=seed):
                self.assertEqual(mesh.overlaps, [], "\n".join(plan.injected))
                self.assertEqual(sum(mesh.owners().values()), KEY_COUNT)

    @staticmethod
    def schedule_restarts(mesh: OwnershipMesh, plan: FaultPlan) -> None:
        """Restart each daemon and each target while half of the heartbeats are late."""
        rng = mesh.simulation.rng
        restart, kill = plan._restart_target, plan._kill_daemon
        for daemon in mesh.daemons:
            for step in (restart, kill, restart, plan._leave):
                action = functools.partial(step, daemon, 0.4)
                mesh.simulation.after(rng.uniform(8.0, 30.0), action)
        for second in range(8, 36):
            share = 0.5 if second < 35 else 0.0
            delay = functools.partial(setattr, mesh, "late_heartbeats", share)
            mesh.simulation.after(float(second), delay)


class FormerFindingsTests(unittest.TestCase):
    """Seeds of runs that once gave a key two holders or none, each with its cause."""

    def replay(self, seed: int, count: int) -> OwnershipMesh:
        mesh = OwnershipMesh(seed, count)
        plan = FaultPlan(mesh)
        plan.schedule(18, 6.0, RUN_S - CALM_S)
        mesh.simulation.run_until(RUN_S)
        self.assertEqual(mesh.overlaps, [], "\n".join(plan.injected))
        self.assertEqual(
            sum(mesh.owners().values()), KEY_COUNT, "\n".join(plan.injected)
        )
        return mesh

    def test_a_witness_that_missed_being_replaced_and_named_again(self):
        # The witness relied on its old renewal times and replaced the owner at once.
        self.replay(4114, 3)

    def test_a_lost_change_of_witnesses_on_a_log_that_does_not_grow(self):
        # The owner counted no renewal until the log grew, and no daemon wrote to it.
        self.replay(4144, 3)

    def test_a_leaving_target_that_never_took_its_keys(self):
        # Its daemon freed the keys for other targets, and granted them to the leaving
        # target before that record was written.
        self.replay(6008, 5)


class RulesMatterTests(unittest.TestCase):
    """Each rule of ownership, switched off, gives a key two holders."""

    by_request = False

    def assert_breaks(self, seeds: range = range(120)) -> None:
        for seed in seeds:
            mesh, _ = simulate(seed, 18, self.by_request)
            if mesh.overlaps:
                return
        self.fail("no seed gave a key two holders without the rule")

    def test_waiting_for_the_lease_of_an_unresponsive_daemon(self):
        with mock.patch.object(reconciler, "takeover_wait_s", lambda: 0.0):
            self.assert_breaks()

    def test_granting_only_within_the_lease(self):
        def grant(self, now, table, lease_remaining_s, end):
            return real(self, now, table, 100.0, end)

        real = TargetKeys.grant
        with mock.patch.object(TargetKeys, "grant", grant):
            self.assert_breaks()

    def test_a_witness_waiting_for_the_end_of_its_renewals(self):
        with mock.patch.object(range_witness, "LAPSE_MARGIN_S", -2.9):
            self.assert_breaks()

    def test_granting_only_within_the_lease_from_the_witnesses(self):
        with mock.patch.object(WitnessedLease, "remaining_s", lambda self, now: 100.0):
            self.assert_breaks()

    def test_a_majority_of_witnesses(self):
        with mock.patch.object(range_witness, "majority", lambda witnesses: 1):
            self.assert_breaks()

    def test_releasing_only_what_the_target_no_longer_holds(self):
        with mock.patch.object(TargetKeys, "_has_relinquished", lambda *args: True):
            self.assert_breaks()

    def test_waiting_for_the_end_of_grants_to_a_lost_target(self):
        with mock.patch.object(target_keys, "grant_end", lambda sent, hold: sent):
            self.assert_breaks()


class RulesMatterByRequestTests(RulesMatterTests):
    """The same for targets that take keys by requests, and the rules of that way."""

    by_request = True

    def test_granting_only_within_the_lease(self):
        def due(self, now, table, lease_remaining_s, end):
            return real(self, now, table, 100.0, end)

        real = TargetKeys.due_requests
        with mock.patch.object(TargetKeys, "due_requests", due):
            self.assert_breaks()

    def test_counting_a_grant_without_an_answer_as_held(self):
        def may_hold(self, now, span, heartbeat):
            answered = [grant for grant in self._grants if grant.is_answered]
            with mock.patch.object(self, "_grants", answered):
                return real(self, now, span, heartbeat)

        real = RequestedHoldings.may_hold
        with mock.patch.object(RequestedHoldings, "may_hold", may_hold):
            self.assert_breaks()

    def test_waiting_for_a_heartbeat_after_a_connection_has_ended(self):
        for seed in range(120):
            mesh = OwnershipMesh(seed, by_request=True, reuses_ids=True)
            plan = FaultPlan(mesh)
            for daemon in mesh.daemons:
                at = mesh.simulation.rng.uniform(10.0, 12.0)
                restart = functools.partial(plan._restart_target, daemon, 0.0)
                mesh.simulation.after(at, restart)
            with mock.patch.object(RequestedHoldings, "record_connection_lost"):
                mesh.simulation.run_until(15.0)
            if mesh.overlaps:
                return
        self.fail("no seed gave two runs of a target a key under one fence")

    def test_counting_the_grants_of_an_earlier_process_as_held(self):
        def initialize(self, unknown_until):
            real(self, float("-inf"))

        real = RequestedHoldings.__init__
        with mock.patch.object(RequestedHoldings, "__init__", initialize):
            self.assert_breaks()
