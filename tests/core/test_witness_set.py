from __future__ import annotations

import unittest

from rhubarbhall.core.records import Witnesses, open_envelope
from tests.fakes import INTENT, Mesh


class WitnessSetTests(unittest.TestCase):
    """Which witnesses members choose, and when they append the change to the log."""

    def stable_mesh(self, places: list[tuple[str, str]]) -> Mesh:
        mesh = Mesh(places, seed=9)
        mesh.publish(INTENT, 0, "op/1")
        mesh.run(12.0)
        return mesh

    def witness_records(self, mesh: Mesh, since: int) -> int:
        opened = (open_envelope(each.envelope) for each in mesh.log.stored[since:])
        return sum(isinstance(each, Witnesses) for each in opened)

    def test_one_witness_each_in_same_domain_same_region_and_other_region(self):
        places = [("r1", "a"), ("r1", "b"), ("r2", "c"), ("r2", "d")]
        mesh = self.stable_mesh(2 * places)
        for member in mesh.fold().member_by_id.values():
            joins = [mesh.fold().member_by_id[each].join for each in member.witnesses]
            self.assertEqual(len(joins), 3)
            self.assertEqual(len({each.domain for each in joins}), 3)
            regions = {each.region for each in joins}
            self.assertEqual(regions, {"r1", "r2"})

    def test_small_meshes_have_one_witness_each(self):
        for count in (2, 3):
            mesh = self.stable_mesh([("r1", f"d{n}") for n in range(count)])
            sets = [m.witnesses for m in mesh.fold().member_by_id.values()]
            self.assertEqual([len(each) for each in sets], [1] * count)

    def test_repairs_after_a_large_loss_are_spread_over_time(self):
        mesh = self.stable_mesh([("r1", f"d{n % 3}") for n in range(30)])
        self.assertTrue(all(m.witnesses for m in mesh.fold().member_by_id.values()))
        since = mesh.log.end
        for host in mesh.hosts:
            if host.domain == "d0":
                mesh.lose(host)
        mesh.run_until(mesh.all_served, limit_s=2.0)
        early = self.witness_records(mesh, since)
        mesh.run(10.0)
        total = self.witness_records(mesh, since)
        self.assertLess(early, total / 2)
        sets = [m.witnesses for m in mesh.fold().member_by_id.values()]
        self.assertEqual({len(each) for each in sets}, {3})
