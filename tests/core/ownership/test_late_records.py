"""Records that the store writes late, after newer ones, in the simulated mesh."""

from __future__ import annotations

import functools
import itertools
import random
import unittest
from unittest import mock

from rhubarbhall.core.ownership.key_table import KEY_COUNT, Span
from rhubarbhall.core.ownership.publisher import TOPIC, RecordPublisher
from rhubarbhall.core.ownership.records import (
    Member,
    MemberVersion,
    TargetState,
    encode_loss,
    encode_member,
    lost_key,
    member_key,
)
from rhubarbhall.types import Offset
from tests.core.ownership.mesh import SERVICE, FakeDaemon, FaultPlan, OwnershipMesh

#: Times of the late records, in seconds: when all keys have holders, and as some move.
SETTLED_S, MOVING_S = 14.0, 14.7
#: Time after which every key has a holder again although a record was late, in seconds.
SERVED_AGAIN_S = 6.0


def put_late(
    mesh: OwnershipMesh,
    daemon: FakeDaemon,
    version: MemberVersion | None = None,
    **changes: object,
) -> None:
    """Write a member record of an earlier process at the address of a daemon.

    Without a version it is one of an earlier build, which counts as the newest.
    """
    fields = {"service": SERVICE, "run": "i-earlier@1", "state": TargetState.READY}
    fields |= changes
    member = Member(domain="d", region=daemon.region, slots=18, **fields)
    key = member_key(daemon.local_address)
    mesh.log.append(TOPIC, key, encode_member(member, version), None)


def spans(mesh: OwnershipMesh) -> set[tuple[Span, ...]]:
    """Return the ranges of the key table as each daemon knows them."""
    tables = (each.directory.table_by_service[SERVICE] for each in mesh.daemons)
    return {table.spans for table in tables}


class LateRecordTests(unittest.TestCase):
    by_request = False

    def play(self, seed: int, at_s: float, **changes: object) -> OwnershipMesh:
        """Simulate a mesh with late records of all but one daemon, which joins late."""
        mesh = OwnershipMesh(seed, by_request=self.by_request)
        mesh.simulation.after(14.0, mesh.add_daemon)
        for daemon in mesh.daemons:
            mesh.simulation.after(at_s, lambda d=daemon: put_late(mesh, d, **changes))
        mesh.simulation.run_until(at_s + SERVED_AGAIN_S)
        return mesh

    def assert_sole_holders(self, at_s: float, **changes: object) -> None:
        for seed in range(50):
            with self.subTest(seed=seed):
                mesh = self.play(seed, at_s, **changes)
                self.assertEqual(mesh.overlaps, [])
                self.assertEqual(sum(mesh.owners().values()), KEY_COUNT)

    # Guards against: keys that are freed by a record of the service that an address had
    # before, while the target of the present one holds them.
    def test_a_record_of_the_former_service_of_an_address(self):
        self.assert_sole_holders(SETTLED_S, service="former")

    # Guards against: keys that are freed while the present run of a target still has to
    # release them, as a record named an earlier run.
    def test_a_record_of_an_earlier_run_while_keys_move(self):
        self.assert_sole_holders(MOVING_S)

    # Guards against: keys that change hands, and requests that go astray, by a record
    # of a process that has ended.
    def test_a_record_of_an_earlier_process_changes_nothing(self):
        for seed, state in itertools.product(range(5), TargetState):
            mesh = OwnershipMesh(seed, by_request=self.by_request)
            mesh.simulation.run_until(SETTLED_S)
            before = spans(mesh)
            for daemon in mesh.daemons:
                version = MemberVersion(0, 0)
                put_late(mesh, daemon, version, service="former", state=state)
            mesh.simulation.run_until(SETTLED_S + SERVED_AGAIN_S)
            with self.subTest(seed=seed, state=state):
                self.assertEqual(spans(mesh), before)
                for daemon in mesh.daemons:
                    members = daemon.directory.member_by_address.values()
                    self.assertEqual({each.service for each in members}, {SERVICE})

    def test_a_report_on_an_earlier_process_changes_nothing(self):
        for seed in range(5):
            mesh = OwnershipMesh(seed, by_request=self.by_request)
            mesh.simulation.run_until(SETTLED_S)
            before = spans(mesh)
            records = len(mesh.log.records(TOPIC))
            for daemon in mesh.daemons:
                address = daemon.local_address
                position = daemon.directory.member_position(address)
                # The first record of the log has none before it.
                value = encode_loss(position - 1) if position else b""
                mesh.log.append(TOPIC, lost_key(address), value, None)
            mesh.simulation.run_until(SETTLED_S + SERVED_AGAIN_S)
            with self.subTest(seed=seed):
                self.assertEqual(spans(mesh), before)
                written = len(mesh.log.records(TOPIC)) - records
                self.assertEqual(written, len(mesh.daemons))

    def test_a_daemon_that_starts_with_a_late_record_learns_the_present_one(self):
        mesh = OwnershipMesh(1, by_request=self.by_request)
        mesh.simulation.run_until(SETTLED_S)
        first = mesh.daemons[0]
        put_late(mesh, first, MemberVersion(0, 0), service="former")
        joined = mesh.add_daemon()
        mesh.simulation.run_until(SETTLED_S + SERVED_AGAIN_S)
        known = joined.directory.member_by_address[first.local_address]
        self.assertEqual(known.service, SERVICE)
        self.assertEqual(known.run, first.target_keys.run)


class LateRecordByRequestTests(LateRecordTests):
    """The same for targets that take keys by requests."""

    by_request = True


class TwoBuildsTests(unittest.TestCase):
    """An upgrade: daemons whose member records have no versions beside others."""

    def test_no_key_has_two_holders_and_every_key_has_one(self):
        for seed in range(12):
            mesh = OwnershipMesh(seed)
            plan = FaultPlan(mesh)
            plan.schedule(12, 6.0, 30.0)
            earlier = {daemon.local_address for daemon in mesh.daemons[:2]}
            real = RecordPublisher._next_version

            def next_version(publisher, real=real, earlier=earlier):
                is_earlier = publisher._local_address in earlier
                return None if is_earlier else real(publisher)

            with mock.patch.object(RecordPublisher, "_next_version", next_version):
                mesh.simulation.run_until(55.0)
            with self.subTest(seed=seed):
                self.assertEqual(mesh.overlaps, [], "\n".join(plan.injected))
                self.assertEqual(sum(mesh.owners().values()), KEY_COUNT)


class LateRecordPlan:
    """Writes half of the unconditional records once more, late, and some foreign ones.

    Its random numbers are its own, so that the faults of a seed stay as they are.
    """

    #: Times after which a record is written once more, in seconds.
    DELAYS_S = (0.5, 2.0, 6.0)
    #: Number of member records of other processes, and the time in which they come.
    FOREIGN_RECORDS = 4
    FOREIGN_PERIOD_S = (8.0, 35.0)

    def __init__(self, mesh: OwnershipMesh) -> None:
        self._mesh = mesh
        self._rng = random.Random(f"late records {mesh.seed}")
        self._append = mesh.log.append
        mesh.log.append = self.append
        for _ in range(self.FOREIGN_RECORDS):
            at_s = self._rng.uniform(*self.FOREIGN_PERIOD_S)
            mesh.simulation.after(at_s, self.put_foreign)

    def append(
        self, topic: str, key: str, value: bytes, at: int | None
    ) -> Offset | None:
        offset = self._append(topic, key, value, at)
        if offset is not None and at is None and self._rng.random() < 0.5:
            delay_s = self._rng.choice(self.DELAYS_S)
            repeat = functools.partial(self._append, topic, key, value, None)
            self._mesh.simulation.after(delay_s, repeat)
        return offset

    def put_foreign(self) -> None:
        daemon = self._rng.choice(self._mesh.daemons)
        version = self._rng.choice([None, MemberVersion(0, 1)])
        state = self._rng.choice(list(TargetState))
        put_late(self._mesh, daemon, version, service="former", state=state)


class RandomLateRecordTests(unittest.TestCase):
    """Late records of all kinds beside random faults.

    Guards against: a step that acts on a record as if nothing newer had been written.
    """

    def test_no_key_has_two_holders_and_every_key_has_one_again(self):
        for seed in range(20):
            mesh = OwnershipMesh(seed, 3 + seed % 3, by_request=seed % 2 == 1)
            plan = FaultPlan(mesh)
            plan.schedule(12, 6.0, 35.0)
            LateRecordPlan(mesh)
            mesh.simulation.run_until(65.0)
            with self.subTest(seed=seed):
                self.assertEqual(mesh.overlaps, [], "\n".join(plan.injected))
                self.assertEqual(sum(mesh.owners().values()), KEY_COUNT)
