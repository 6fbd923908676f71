"""No key is ever held by two targets, whatever fails, on a virtual clock."""

from __future__ import annotations

import unittest
from unittest import mock

from rhubarbhall.core.ownership import guardian, keeper, target_holds
from rhubarbhall.core.ownership.guardian import GuardedLease
from rhubarbhall.core.ownership.key_table import KEY_COUNT
from rhubarbhall.core.ownership.target_holds import TargetHolds
from tests.core.ownership.mesh import FaultPlan, OwnershipMesh

#: Virtual time of a run, and the time without faults that it ends with.
RUN_S = 60.0
CALM_S = 25.0
SEEDS = range(40)


def simulate(seed: int, faults: int = 14) -> tuple[OwnershipMesh, FaultPlan]:
    """Return a mesh after random faults and a calm time."""
    mesh = OwnershipMesh(seed)
    plan = FaultPlan(mesh)
    plan.schedule(faults, 6.0, RUN_S - CALM_S)
    mesh.world.run_until(RUN_S)
    return mesh, plan


class SoleOwnerTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.simulated = {seed: simulate(seed) for seed in SEEDS}

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


class FormerFindingsTests(unittest.TestCase):
    """Seeds that broke a promise once, each with its cause."""

    def replay(self, seed: int, count: int) -> OwnershipMesh:
        mesh = OwnershipMesh(seed, count)
        plan = FaultPlan(mesh)
        plan.schedule(18, 6.0, RUN_S - CALM_S)
        mesh.world.run_until(RUN_S)
        self.assertEqual(mesh.overlaps, [], "\n".join(plan.injected))
        self.assertEqual(
            sum(mesh.owners().values()), KEY_COUNT, "\n".join(plan.injected)
        )
        return mesh

    def test_a_guardian_that_missed_being_replaced_and_named_again(self):
        # It believed its old knowledge of the owner and replaced it at once.
        self.replay(4114, 3)

    def test_a_lost_change_of_guardians_on_a_log_that_does_not_grow(self):
        # The owner believed no guardian until the log grew, and nobody wrote.
        self.replay(4144, 3)

    def test_a_leaving_target_that_never_took_its_keys(self):
        # Its daemon freed them for others, and granted them before that was written.
        self.replay(6008, 5)


class RulesMatterTests(unittest.TestCase):
    """Each rule of ownership, switched off, gives a key two holders."""

    def assert_breaks(self, seeds: range = range(120)) -> None:
        for seed in seeds:
            mesh, _ = simulate(seed, faults=18)
            if mesh.overlaps:
                return
        self.fail("no seed gave a key two holders without the rule")

    def test_waiting_for_the_lease_of_a_silent_daemon(self):
        with mock.patch.object(keeper, "takeover_wait_s", lambda: 0.0):
            self.assert_breaks()

    def test_granting_only_within_the_lease(self):
        def grant(self, now, table, lease_left_s, end):
            return real(self, now, table, 100.0, end)

        real = TargetHolds.grant
        with mock.patch.object(TargetHolds, "grant", grant):
            self.assert_breaks()

    def test_a_guardian_waiting_for_the_end_of_its_word(self):
        with mock.patch.object(guardian, "LAPSE_MARGIN_S", -2.9):
            self.assert_breaks()

    def test_granting_only_within_the_guardians_word(self):
        with mock.patch.object(GuardedLease, "left_s", lambda self, now: 100.0):
            self.assert_breaks()

    def test_a_majority_of_guardians(self):
        with mock.patch.object(guardian, "majority", lambda witnesses: 1):
            self.assert_breaks()

    def test_letting_go_only_when_the_target_has(self):
        with mock.patch.object(TargetHolds, "_has_relinquished", lambda *args: True):
            self.assert_breaks()

    def test_waiting_for_the_end_of_grants_to_a_lost_target(self):
        with mock.patch.object(target_holds, "_grant_end", lambda sent, hold: sent):
            self.assert_breaks()
