from __future__ import annotations

import unittest

import msgspec

from rhubarbhall.core.follower import READERS_PER_DOMAIN
from rhubarbhall.core.records import SCHEMA, Envelope, SnapshotChunk, open_envelope
from rhubarbhall.core.snapshots import encode_directory
from tests.fakes import INTENT, SERVICE, Host, Mesh

#: Region and domain of each VM.
PLACES = [("r1", "a"), ("r1", "b"), ("r2", "c"), ("r2", "d")]


class FollowerTests(unittest.TestCase):
    def stable_mesh(self, places=PLACES, **options) -> Mesh:
        """Return a mesh in which every slice has been served for some seconds."""
        mesh = Mesh(places, seed=6, **options)
        mesh.publish(INTENT, 0, "op/1")
        mesh.run_until(mesh.all_served)
        mesh.run(12.0)
        return mesh

    def same_directory(self, one: Host, other: Host) -> bool:
        states = [encode_directory(h.node.context.directory) for h in (one, other)]
        return states[0] == states[1]

    def snapshot_offsets(self, mesh: Mesh) -> list[int]:
        return [
            each.offset
            for each in mesh.log.stored
            if isinstance(open_envelope(each.envelope), SnapshotChunk)
        ]

    def test_only_one_member_writes_snapshots(self):
        mesh = self.stable_mesh(snapshot_every=10)
        authors = {
            mesh.log.stored[offset].envelope.id.partition("/")[0]
            for offset in self.snapshot_offsets(mesh)
        }
        self.assertEqual(len(authors), 1)

    def test_the_next_member_in_rank_stands_in_for_a_lost_writer(self):
        mesh = self.stable_mesh(snapshot_every=10)
        first = self.snapshot_offsets(mesh)
        author = mesh.log.stored[first[0]].envelope.id.partition("/")[0]
        mesh.lose(next(h for h in mesh.hosts if h.node.context.member_id == author))
        for _ in range(2):
            mesh.add_host("r1", "a")
            mesh.run(20.0)
        self.assertGreater(len(self.snapshot_offsets(mesh)), len(first))

    def test_a_start_after_the_log_was_trimmed_uses_the_snapshot(self):
        mesh = self.stable_mesh(snapshot_every=10)
        mesh.log.trim(self.snapshot_offsets(mesh)[0])
        new_host = mesh.add_host("r1", "a")
        mesh.run(3.0)
        self.assertIsNotNone(new_host.node.context.member)
        self.assertTrue(self.same_directory(new_host, mesh.hosts[0]))

    def test_a_start_succeeds_while_the_log_is_trimmed(self):
        mesh = self.stable_mesh(snapshot_every=10)
        mesh.log.delay_s = 0.1
        mesh.log.trim(self.snapshot_offsets(mesh)[0])
        new_host = mesh.add_host("r1", "a")
        mesh.run(0.15)
        mesh.log.trim(mesh.log.first_offset + 1)
        mesh.run(10.0)
        self.assertIsNotNone(new_host.node.context.member)
        self.assertTrue(self.same_directory(new_host, mesh.hosts[0]))

    def test_a_peer_sends_its_snapshot_if_the_log_has_none(self):
        mesh = self.stable_mesh()
        mesh.log.trim(3)
        new_host = mesh.add_host("r1", "a")
        mesh.run(5.0)
        self.assertIsNotNone(new_host.node.context.member)
        self.assertTrue(self.same_directory(new_host, mesh.hosts[0]))

    def test_a_start_during_a_log_outage_reads_from_peers_and_joins_later(self):
        mesh = self.stable_mesh()
        mesh.log.up = False
        new_host = mesh.add_host("r1", "a")
        mesh.run(5.0)
        self.assertTrue(self.same_directory(new_host, mesh.hosts[0]))
        self.assertIsNone(new_host.node.context.member)
        request = mesh.call(new_host, "k1")
        mesh.run(1.0)
        self.assertEqual(new_host.answers[request].status, 200)
        mesh.log.up = True
        mesh.run(3.0)
        self.assertIsNotNone(new_host.node.context.member)

    def test_few_members_of_a_domain_read_the_log_and_all_stay_current(self):
        mesh = self.stable_mesh([("r1", "a")] * 12)
        mesh.run(6.0)
        mesh.log_reads_by_name.clear()
        mesh.publish(INTENT, 1, "op/2")
        mesh.run(9.0)
        readers = [name for name, reads in mesh.log_reads_by_name.items() if reads > 10]
        self.assertEqual(len(readers), READERS_PER_DOMAIN)
        for host in mesh.hosts:
            self.assertEqual(host.node.context.directory.intent_version, 2)

    def test_a_record_of_a_newer_schema_stops_new_ownership_and_is_logged(self):
        mesh = self.stable_mesh()
        newer = Envelope("x", SCHEMA + 1, msgspec.Raw(b'{"kind":"parade"}'))
        mesh.log.append(newer)
        mesh.run(1.0)
        served = {host.name: host.node.ownership.served for host in mesh.hosts}
        mesh.lose(mesh.hosts[0])
        mesh.run(4.0)
        for host in mesh.hosts[1:]:
            self.assertIn(105, [log_event.code for log_event in host.log_events])
            self.assertEqual(host.node.ownership.served, served[host.name])
        self.assertIn(SERVICE, mesh.hosts[1].node.context.directory.table_by_service)
