"""Keys leave evacuated failure domains by handover, within the users' bound."""

from __future__ import annotations

import unittest

from rhubarbhall.core.ownership.key_table import KEY_COUNT
from rhubarbhall.core.ownership.publisher import TOPIC
from rhubarbhall.core.ownership.records import TABLE_PREFIX
from tests.core.ownership.mesh import FaultPlan, OwnershipMesh

SEEDS = range(3)
#: Seeds, each with both ways in which targets take keys.
CASES = [(seed, by_request) for seed in SEEDS for by_request in (False, True)]
#: When a domain is evacuated: every key has a holder by then, in seconds.
BEGIN = 10.0
#: Time after which an evacuation is complete, by the users' rules, in seconds.
BOUND_S = 5.0
#: Time for all keys to be granted again afterwards, in seconds.
GRANT_S = 3.0


class EvacuatedKeysTests(unittest.TestCase):
    def mesh(self, seed: int, by_request: bool = False) -> OwnershipMesh:
        """Return a mesh of two daemons in each of three domains, with owners."""
        mesh = OwnershipMesh(seed, 6, by_request)
        for index, daemon in enumerate(mesh.daemons):
            daemon.domain = f"d{index // 2}"
        mesh.simulation.run_until(BEGIN)
        return mesh

    def held_in(self, mesh: OwnershipMesh, *domains: str) -> int:
        owners = mesh.owners()
        return sum(
            owners.get(daemon.target.instance, 0)
            for daemon in mesh.daemons
            if daemon.domain in domains
        )

    def play(self, mesh: OwnershipMesh, until: float) -> None:
        mesh.simulation.run_until(until)
        self.assertEqual(mesh.overlaps, [])

    def tables_written(self, mesh: OwnershipMesh) -> int:
        keys = [key for key, _ in mesh.log.records(TOPIC)]
        return sum(key.startswith(TABLE_PREFIX) for key in keys)

    # Guards against: requests for keys that reach a target of an evacuated domain.
    def test_no_key_is_left_in_the_domain_at_the_bound(self):
        for case in CASES:
            with self.subTest(case=case):
                mesh = self.mesh(*case)
                self.assertGreater(self.held_in(mesh, "d0"), 0)
                mesh.evacuate("d0")
                self.play(mesh, BEGIN + BOUND_S)
                self.assertEqual(self.held_in(mesh, "d0"), 0)
                self.play(mesh, BEGIN + BOUND_S + GRANT_S)
                self.assertEqual(self.held_in(mesh, "d1", "d2"), KEY_COUNT)

    def test_two_domains_at_once(self):
        for case in CASES:
            with self.subTest(case=case):
                mesh = self.mesh(*case)
                mesh.evacuate("d0", "d2")
                self.play(mesh, BEGIN + BOUND_S)
                self.assertEqual(self.held_in(mesh, "d0", "d2"), 0)
                self.play(mesh, BEGIN + BOUND_S + GRANT_S)
                self.assertEqual(self.held_in(mesh, "d1"), KEY_COUNT)

    # Guards against: a table that is written again and again when no target may get the
    # keys, and keys without an owner when the domains are taken back.
    def test_keys_stay_if_all_domains_are_evacuated(self):
        for case in CASES:
            with self.subTest(case=case):
                mesh = self.mesh(*case)
                mesh.evacuate("d0", "d1", "d2")
                self.play(mesh, BEGIN + 1.0)
                before = self.tables_written(mesh)
                self.play(mesh, BEGIN + 2 * BOUND_S)
                self.assertEqual(self.tables_written(mesh), before)
                self.assertEqual(self.held_in(mesh, "d0", "d1", "d2"), KEY_COUNT)

    def test_a_domain_that_is_taken_back_gets_keys_again(self):
        for case in CASES:
            with self.subTest(case=case):
                mesh = self.mesh(*case)
                mesh.evacuate("d0")
                self.play(mesh, BEGIN + 3 * BOUND_S)
                self.assertEqual(self.held_in(mesh, "d0"), 0)
                mesh.evacuate()
                self.play(mesh, BEGIN + 5 * BOUND_S)
                self.assertGreater(self.held_in(mesh, "d0"), 0)
                self.assertEqual(self.held_in(mesh, "d0", "d1", "d2"), KEY_COUNT)

    def test_a_daemon_that_restarts_during_the_evacuation_gets_no_key(self):
        for case in CASES:
            with self.subTest(case=case):
                mesh = self.mesh(*case)
                mesh.evacuate("d0")
                mesh.simulation.run_until(BEGIN + 0.3)
                mesh.daemons[0].kill()
                mesh.simulation.run_until(BEGIN + 1.0)
                mesh.daemons[0].start()
                mesh.new_target(mesh.daemons[0])
                self.play(mesh, BEGIN + 3 * BOUND_S)
                self.assertEqual(self.held_in(mesh, "d0"), 0)
                self.assertEqual(self.held_in(mesh, "d1", "d2"), KEY_COUNT)

    def test_keys_leave_once_a_store_that_is_away_is_back(self):
        for case in CASES:
            with self.subTest(case=case):
                mesh = self.mesh(*case)
                mesh.log.down = True
                mesh.evacuate("d0")
                self.play(mesh, BEGIN + 4.0)
                self.assertGreater(self.held_in(mesh, "d0"), 0)
                mesh.log.down = False
                self.play(mesh, BEGIN + 4.0 + 2 * BOUND_S)
                self.assertEqual(self.held_in(mesh, "d0"), 0)

    # Guards against: two holders of a key, when faults meet an evacuation.
    def test_faults_during_evacuations(self):
        for seed in range(8):
            with self.subTest(seed=seed):
                mesh = self.mesh(seed, by_request=seed % 2 == 1)
                FaultPlan(mesh).schedule(8, 0.0, 12.0)
                mesh.evacuate("d0")
                mesh.simulation.run_until(BEGIN + 8.0)
                mesh.evacuate("d1")
                self.play(mesh, BEGIN + 60.0)
                self.assertEqual(self.held_in(mesh, "d1"), 0)
                self.assertEqual(self.held_in(mesh, "d0", "d2"), KEY_COUNT)
