"""Ownership while the store is restored from an older copy, on a virtual clock."""

from __future__ import annotations

import itertools
import random
import unittest
from collections.abc import Callable
from unittest import mock

from rhubarbhall.core.ownership import table_restore
from rhubarbhall.core.ownership.directory import KeyDirectory
from rhubarbhall.core.ownership.key_table import KEY_COUNT, KeyTable
from rhubarbhall.core.ownership.records import TargetState
from rhubarbhall.core.ownership.table_restore import TableRestore
from tests.core.ownership.mesh import (
    SERVICE,
    FakeDaemon,
    FaultPlan,
    OwnershipMesh,
    RestorePlan,
)

#: Virtual time of a run with random faults, in seconds. No fault begins after
#: `FAULTS_END_S`, and no restore after `RESTORES_END_S`.
RUN_S = 70.0
FAULTS_END_S = 35.0
RESTORES_END_S = 30.0
SEEDS = range(6)
#: The same for a restore at a change of the table.
CHANGE_RUN_S = 55.0
CHANGE_FAULTS_END_S = 20.0
#: Time after a restore without other faults in which the table can be written again and
#: every key has a holder, in seconds.
RECOVERY_S = 15.0
#: Time between two checks whether every key has a holder, in seconds.
CHECK_INTERVAL_S = 0.1


def simulate(seed: int, by_request: bool = False) -> tuple[OwnershipMesh, FaultPlan]:
    """Return a simulated mesh after random faults, restores and a time without any."""
    mesh = OwnershipMesh(seed, by_request=by_request)
    plan = FaultPlan(mesh)
    plan.schedule(10, 6.0, FAULTS_END_S)
    RestorePlan(plan).schedule(8.0, RESTORES_END_S)
    mesh.simulation.run_until(RUN_S)
    return mesh, plan


def simulate_change(
    seed: int, by_request: bool = False
) -> tuple[OwnershipMesh, FaultPlan]:
    """Return a simulated mesh after a restore when a table has just been written."""
    mesh = OwnershipMesh(seed, by_request=by_request)
    plan = FaultPlan(mesh)
    plan.schedule(6, 8.0, CHANGE_FAULTS_END_S)
    RestorePlan(plan).schedule_at_change(8.0 + seed % 8)
    mesh.simulation.run_until(CHANGE_RUN_S)
    return mesh, plan


def simulate_replacement(
    seed: int, by_request: bool = False
) -> tuple[OwnershipMesh, FaultPlan]:
    """Return a simulated mesh in which a replaced owner comes back after a restore.

    The owner is cut off until it is replaced. The store is restored at once from a copy
    without that, the only daemon that knows of it is disturbed, and the owner returns.
    """
    mesh = OwnershipMesh(seed, by_request=by_request)
    plan = FaultPlan(mesh)
    restores = RestorePlan(plan)
    rng = random.Random(f"replacement {seed}")
    mesh.simulation.run_until(15.0)
    owner = rng.choice(mesh.daemons)
    owner.is_cut_from_peers = owner.is_cut_from_store = True

    def return_owner() -> None:
        owner.is_cut_from_peers = owner.is_cut_from_store = False

    def on_table(writer: FakeDaemon) -> None:
        mesh.log.on_table = lambda writer: None
        restores.restore(rng.uniform(0.1, 0.6), 0.5)
        disturb = rng.choice([plan._cut_peers, plan._cut_all, plan._kill_daemon])
        duration_s = rng.uniform(0.5, 3.0)
        # A process that is killed has granted the keys before.
        delay_s = 1.2 if disturb == plan._kill_daemon else 0.0
        plan._cut(writer, delay_s + duration_s, "is_cut_from_peers")
        mesh.simulation.after(delay_s, lambda: disturb(writer, duration_s))
        mesh.simulation.after(rng.uniform(0.1, 1.5), return_owner)

    mesh.log.on_table = on_table
    mesh.simulation.run_until(15.0 + CHANGE_RUN_S)
    return mesh, plan


class RandomRestoreTests(unittest.TestCase):
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


class RandomRestoreByRequestTests(RandomRestoreTests):
    """The same for targets that take keys by requests, whose answers may be lost."""

    by_request = True


class RestoreAtChangeTests(unittest.TestCase):
    """A restore at the moment when a table has been written that few daemons know."""

    def test_no_key_has_two_holders_and_every_key_has_one_again(self):
        self.assert_sole_holders(simulate_change, range(4))

    def test_a_replaced_owner_that_comes_back_does_not_get_its_keys_beside_another(
        self,
    ):
        self.assert_sole_holders(simulate_replacement, range(5))

    def assert_sole_holders(
        self, simulate: Callable[..., tuple[OwnershipMesh, FaultPlan]], seeds: range
    ) -> None:
        for seed, by_request in itertools.product(seeds, (False, True)):
            mesh, plan = simulate(seed, by_request)
            with self.subTest(seed=seed, by_request=by_request):
                report = "\n".join(plan.injected)
                self.assertEqual(mesh.overlaps[:5], [], report)
                self.assertEqual(sum(mesh.owners().values()), KEY_COUNT, report)


class RestoreRulesMatterTests(unittest.TestCase):
    """Rules about restores, switched off, give a key two holders or an old fence."""

    def assert_breaks(
        self, simulate: Callable[..., tuple[OwnershipMesh, FaultPlan]], seed: int
    ) -> None:
        mesh, _ = simulate(seed)
        self.assertNotEqual(mesh.overlaps, [], f"seed {seed} without the rule")

    def test_waiting_until_no_daemon_can_act_on_a_newer_table(self):
        with mock.patch.object(TableRestore, "_is_clear", lambda *args: True):
            self.assert_breaks(simulate_replacement, 35)

    def test_waiting_for_every_lease_of_the_epochs_before(self):
        with mock.patch.object(table_restore, "takeover_wait_s", lambda: 0.0):
            self.assert_breaks(simulate_replacement, 35)

    def test_fences_above_those_of_the_epochs_before(self):
        with mock.patch.object(KeyTable, "in_epoch", lambda self, *args, **kw: self):
            self.assert_breaks(simulate_change, 4)

    def test_waiting_before_a_first_table_is_written(self):
        with mock.patch.object(TableRestore, "may_found", lambda *args: True):
            self.assert_breaks(simulate, 4)

    def test_taking_no_records_of_an_earlier_epoch(self):
        with mock.patch.object(KeyDirectory, "is_earlier", lambda *args: False):
            self.assert_breaks(simulate_change, 12)


class RestoreTests(unittest.TestCase):
    """A restore at 20 s, after changes of the table that the copy lacks."""

    seeds = range(2)
    by_request = False

    def start(self, seed: int) -> OwnershipMesh:
        """Return a mesh in which every target was restarted since the copy."""
        mesh = OwnershipMesh(seed, by_request=self.by_request)
        self.unheld: list[tuple[float, int]] = []
        for index, daemon in enumerate(mesh.daemons):
            self.run_until(mesh, 12.0 + 0.7 * index)
            mesh.new_target(daemon)
        self.run_until(mesh, 15.0)
        return mesh

    def run_until(self, mesh: OwnershipMesh, end: float, sampled: bool = False) -> None:
        if not sampled:
            mesh.simulation.run_until(end)
        while mesh.simulation.now < end:
            mesh.simulation.run_until(mesh.simulation.now + CHECK_INTERVAL_S)
            unheld = KEY_COUNT - sum(mesh.owners().values())
            if unheld:
                self.unheld.append((round(mesh.simulation.now, 1), unheld))

    def assert_sole(self, mesh: OwnershipMesh) -> None:
        self.assertEqual(mesh.overlaps, [], [str(each) for each in mesh.overlaps[:5]])

    def states(self, mesh: OwnershipMesh, address: str) -> list[TargetState]:
        """Return the state of a target as each daemon knows it."""
        directories = [each.directory for each in mesh.daemons if each.is_running]
        return [each.member_by_address[address].state for each in directories]

    def test_keys_are_held_throughout_a_restore_without_other_faults(self):
        for seed in self.seeds:
            with self.subTest(seed=seed):
                mesh = self.start(seed)
                self.run_until(mesh, 20.0)
                mesh.log.restore(2.5, 9.0)
                self.run_until(mesh, 22.5 + 2 * RECOVERY_S, sampled=True)
                self.assertEqual(self.unheld, [])
                self.assert_sole(mesh)

    def test_a_new_target_gets_keys_after_a_restore(self):
        for seed in self.seeds:
            with self.subTest(seed=seed):
                mesh = self.start(seed)
                self.run_until(mesh, 20.0)
                mesh.log.restore(2.0, 9.0)
                self.run_until(mesh, 22.0)
                daemon = mesh.add_daemon()
                self.run_until(mesh, 22.0 + RECOVERY_S)
                self.assertGreater(mesh.owners()[daemon.target.instance], 0)
                self.assert_sole(mesh)

    # A daemon that the store turns away has no lease after a restore, but was assigned
    # keys again and again, which then had no holder.
    def test_a_daemon_that_cannot_reach_the_store_is_assigned_no_keys(self):
        for seed in self.seeds:
            with self.subTest(seed=seed):
                mesh = self.start(seed)
                self.run_until(mesh, 20.0)
                mesh.daemons[1].is_cut_from_store = True
                mesh.log.restore(1.0, 3.0)
                self.run_until(mesh, 21.0 + RECOVERY_S)
                self.run_until(mesh, 21.0 + 2 * RECOVERY_S, sampled=True)
                self.assertEqual(self.unheld, [])
                self.assert_sole(mesh)

    def test_a_lost_target_is_replaced_after_a_restore(self):
        # A table that cannot be written any more leaves the keys without a holder.
        for seed in self.seeds:
            with self.subTest(seed=seed):
                mesh = self.start(seed)
                self.run_until(mesh, 20.0)
                mesh.log.restore(2.0, 9.0)
                self.run_until(mesh, 24.0)
                mesh.daemons[1].kill()
                mesh.daemons[1].target.is_up = False
                self.run_until(mesh, 24.0 + RECOVERY_S)
                self.assertEqual(sum(mesh.owners().values()), KEY_COUNT)
                self.assert_sole(mesh)

    def test_a_target_that_announced_leaving_before_the_restore_still_leaves(self):
        # A daemon that starts later reads only what the store holds then.
        for seed in self.seeds:
            with self.subTest(seed=seed):
                mesh = self.start(seed)
                leaving = mesh.daemons[1]
                self.run_until(mesh, 16.0)
                leaving.target.state = TargetState.LEAVING
                self.run_until(mesh, 20.0)
                mesh.log.restore(2.0, 9.0)
                self.run_until(mesh, 24.0)
                mesh.add_daemon()
                self.run_until(mesh, 22.0 + RECOVERY_S)
                states = self.states(mesh, leaving.local_address)
                self.assertEqual(set(states), {TargetState.LEAVING})
                self.assertEqual(mesh.owners()[leaving.target.instance], 0)
                self.assertEqual(sum(mesh.owners().values()), KEY_COUNT)
                self.assert_sole(mesh)

    def test_a_moved_key_does_not_go_back_to_its_former_owner(self):
        # The copy names an owner that was replaced in the records that it lacks.
        for seed in self.seeds:
            with self.subTest(seed=seed):
                mesh = self.start(seed)
                replaced = mesh.daemons[1]
                replaced.is_cut_from_peers = replaced.is_cut_from_store = True
                self.run_until(mesh, 20.0)
                mesh.log.restore(1.0, 9.0)
                self.run_until(mesh, 21.2)
                replaced.is_cut_from_peers = replaced.is_cut_from_store = False
                mesh.daemons[2].kill()
                self.run_until(mesh, 22.0)
                mesh.daemons[2].start()
                self.run_until(mesh, 22.0 + 2 * RECOVERY_S)
                self.assertEqual(sum(mesh.owners().values()), KEY_COUNT)
                self.assert_sole(mesh)

    def test_all_daemons_started_again_after_a_restore(self):
        # No daemon knows a table, and targets may still hold keys of the lost one.
        for seed in self.seeds:
            with self.subTest(seed=seed):
                mesh = self.start(seed)
                self.run_until(mesh, 20.0)
                mesh.log.restore(2.0, 9.0)
                self.run_until(mesh, 21.9)
                for daemon in mesh.daemons:
                    daemon.kill()
                    daemon.start()
                self.run_until(mesh, 22.0 + 2 * RECOVERY_S)
                tables = {each._table() is not None for each in mesh.daemons}
                self.assertEqual(tables, {True}, SERVICE)
                self.assertEqual(sum(mesh.owners().values()), KEY_COUNT)
                self.assert_sole(mesh)

    def test_keys_are_held_throughout_two_restores(self):
        for seed in self.seeds:
            with self.subTest(seed=seed):
                mesh = self.start(seed)
                self.run_until(mesh, 20.0)
                mesh.log.restore(2.5, 9.0)
                self.run_until(mesh, 28.0, sampled=True)
                mesh.log.restore(2.5, 3.0)
                self.run_until(mesh, 30.5 + RECOVERY_S, sampled=True)
                self.assertEqual(self.unheld, [])
                self.assert_sole(mesh)

    def test_a_restore_right_after_another(self):
        # Boot records of the first one are not written before the second one.
        for seed in self.seeds:
            with self.subTest(seed=seed):
                mesh = self.start(seed)
                self.run_until(mesh, 20.0)
                mesh.log.restore(1.0, 9.0)
                self.run_until(mesh, 21.2 + 0.1 * seed)
                mesh.log.restore(1.0, 3.0)
                daemon = mesh.add_daemon()
                self.run_until(mesh, mesh.simulation.now + 1.0 + RECOVERY_S)
                self.assertGreater(mesh.owners()[daemon.target.instance], 0)
                self.assertEqual(sum(mesh.owners().values()), KEY_COUNT)
                self.assert_sole(mesh)


class RestoreByRequestTests(RestoreTests):
    """The same for targets that take keys by requests."""

    by_request = True
