"""Each safety rule is needed: with it switched off a promise breaks."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from contextlib import AbstractContextManager

from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from rhubarbhall import audit
from rhubarbhall.core import events
from rhubarbhall.core.records import (
    Failover,
    Move,
    Resume,
    Split,
    Verdict,
    Witnesses,
)
from rhubarbhall.core.slices import slice_of_key
from rhubarbhall.core.timing import Timing
from tests.fakes import INTENT, SERVICE, SIX_PLACES, Host, Mesh
from tests.properties import mutations
from tests.properties.machine import TIMING, OwnershipMachine, as_execution
from tests.properties.test_ownership import SETTINGS

BITE = settings(
    SETTINGS, max_examples=80, stateful_step_count=30, phases=[Phase.generate]
)


def settled_mesh(timing: Timing = TIMING, **options) -> Mesh:
    mesh = Mesh(SIX_PLACES, seed=3, timing=timing, **options)
    mesh.publish(INTENT, 0, "op/first")
    mesh.run_until(mesh.all_served)
    mesh.run(8.0)
    return mesh


def watch(mesh: Mesh, seconds: float) -> None:
    mesh.run(seconds, mesh.assert_sole_owners)


def assert_executions_in_order(mesh: Mesh) -> None:
    problems = audit.find_double_owners(map(as_execution, mesh.executions))
    assert not problems, problems


def host_of(mesh: Mesh, member: str) -> Host:
    return next(h for h in mesh.hosts if h.node.context.me == member)


def cut_from_all_but(mesh: Mesh, host: Host, kept: list[Host]) -> None:
    for other in mesh.hosts:
        if other not in kept and other is not host:
            mesh.cut(host, other)


def cut_from_log(mesh: Mesh, host: Host) -> None:
    mesh.cuts.add((host.name, "log"))


def key_of(mesh: Mesh, host: Host) -> str:
    """Return a key that `host` owns."""
    count = INTENT["services"][SERVICE]["slices"]
    owned = {ref.index for ref in host.node.ownership.served}
    return next(f"k{n}" for n in range(999) if slice_of_key(f"k{n}", count) in owned)


# The interleavings. Each one must keep the promises with all rules on.


def verdict_while_the_member_comes_back() -> None:
    """The link heals between the promises and the failover record."""
    mesh = settled_mesh()
    member = mesh.hosts[0]
    cut_from_all_but(mesh, member, [])
    cut_from_log(mesh, member)
    watch(mesh, 1.1)
    mesh.log.delay_s = 0.6
    watch(mesh, 0.4)
    mesh.heal()
    cut_from_log(mesh, member)
    watch(mesh, 4.0)


def clocks_at_both_ends_of_the_bound() -> None:
    """The member's clock is slow, those of its witnesses are fast."""
    timing = Timing(lease_s=10.0, heartbeat_s=0.25, collect_s=0.0)
    rates = [0.976, 1.024, 1.024, 1.024, 1.024, 1.024]
    mesh = Mesh(SIX_PLACES, seed=3, timing=timing, rates=rates)
    mesh.publish(INTENT, 0, "op/first")
    mesh.run_until(mesh.all_served)
    mesh.run(8.0)
    cut_from_all_but(mesh, mesh.hosts[0], [])
    cut_from_log(mesh, mesh.hosts[0])
    watch(mesh, 14.0)


def renewals_that_come_late() -> None:
    """Answers to heartbeats are on their way when the member is cut off."""
    mesh = settled_mesh()
    member = mesh.hosts[0]
    mesh.renewal_delay_s = 0.7
    watch(mesh, 3.0)
    for other in mesh.hosts:
        mesh.cut(member, other, both_ways=False)
    cut_from_log(mesh, member)
    watch(mesh, 4.0)


def part_island(mesh: Mesh, member: Host) -> list[Host]:
    """Part a member and two of its witnesses from the log and all others."""
    witnesses = member.node.context.member.witnesses[:2]
    island = [member, *(host_of(mesh, each) for each in witnesses)]
    for host in island:
        cut_from_all_but(mesh, host, island)
        cut_from_log(mesh, host)
    return island


def witnesses_that_were_voted_out_unaware() -> None:
    """A member and two witnesses are parted; the third hears nothing."""
    mesh = settled_mesh()
    part_island(mesh, mesh.hosts[0])
    watch(mesh, TIMING.replaceable_s + 8.0)


def order_that_waited_past_the_lease() -> None:
    """Requests queue behind slow ones until the lease has lapsed."""
    mesh = settled_mesh(checks_grants=False)
    member = mesh.hosts[0]
    key = key_of(mesh, member)
    member.target.work_s = 1.9
    for number in range(60):
        mesh.call(member, key, "POST", deadline_s=20.0, caller=f"c{number}")
    mesh.run(0.1)
    cut_from_all_but(mesh, member, [])
    cut_from_log(mesh, member)
    for _ in range(16):
        mesh.run(0.5)
        mesh.call(mesh.hosts[3], key, "POST", deadline_s=3.0)
    assert_executions_in_order(mesh)


def order_still_running_when_its_slice_moves() -> None:
    """A slice is moved while the old owner works on a request of it."""
    mesh = settled_mesh()
    giver, taker = mesh.hosts[0], mesh.hosts[3]
    key = key_of(mesh, giver)
    giver.target.work_s = 1.5
    mesh.call(giver, key, "POST")
    mesh.run(0.1)
    directory = giver.node.context.directory
    index = slice_of_key(key, 12)
    epoch = directory.epoch_of(SERVICE, index)
    move = Move(
        SERVICE,
        giver.node.context.me,
        ((index, epoch, taker.node.context.me),),
        True,
    )
    mesh._step(giver, events.Submit(giver.node.context.new_record_id(), move))
    for _ in range(8):
        mesh.run(0.3)
        mesh.call(taker, key, "POST")
    mesh.run(2.0)
    assert_executions_in_order(mesh)


def order_still_running_when_its_key_is_split_out() -> None:
    """A hot key gets its own slice and is moved while a request of it runs."""
    mesh = settled_mesh()
    giver, taker = mesh.hosts[0], mesh.hosts[3]
    key = key_of(mesh, giver)
    giver.target.work_s = 1.5
    mesh.call(giver, key, "POST")
    mesh.run(0.1)
    node = giver.node
    directory = node.context.directory
    epoch = node.ownership.epoch(directory.slice_of(SERVICE, key))
    split = Split(SERVICE, key, node.context.me, epoch)
    mesh._step(giver, events.Submit(node.context.new_record_id(), split))
    mesh.run(0.2)
    ref = directory.slice_of(SERVICE, key)
    slices = (
        (ref.index, directory.epoch_of(SERVICE, ref.index), taker.node.context.me),
    )
    move = Move(SERVICE, node.context.me, slices, True)
    mesh._step(giver, events.Submit(node.context.new_record_id(), move))
    for _ in range(8):
        mesh.run(0.2)
        mesh.call(taker, key, "POST")
    mesh.run(2.0)
    assert len(mesh.executions) == 9, len(mesh.executions)
    first, *others = sorted(mesh.executions, key=lambda each: each.started_at)
    late = [each for each in others if each.started_at < first.ended_at]
    assert not late, late


def whole_set_replaced_in_one_record() -> None:
    """A member and its old witnesses have not read that all were exchanged."""
    mesh = settled_mesh()
    member = mesh.hosts[0]
    known = member.node.context.member
    island = part_island(mesh, member)
    others = [
        h.node.context.me
        for h in mesh.hosts
        if h not in island and h.node.context.me not in known.witnesses
    ]
    record = Witnesses(known.id, tuple(others), known.witness_version)
    mesh.append("test/exchange", record)
    watch(mesh, TIMING.replaceable_s + 8.0)


def verdict_on_an_earlier_set() -> None:
    """Promises from before a resume reach the log after it."""
    mesh = settled_mesh()
    member = mesh.hosts[0]
    known = member.node.context.member
    stale = Verdict(known.id, known.witness_version, known.witnesses)
    mesh._step(
        member,
        events.Submit(member.node.context.new_record_id(), Resume(known.id)),
    )
    mesh.run(0.2)
    cut_from_log(mesh, member)
    mesh.append("test/stale", Failover((stale,)))
    watch(mesh, 2.0)


def owner_before_last_still_works() -> None:
    """A slice moves on before its first owner has released it."""
    mesh = settled_mesh()
    first, second, third = mesh.hosts[0], mesh.hosts[2], mesh.hosts[4]
    cut_from_log(mesh, first)
    ref = sorted(first.node.ownership.served, key=str)[0]
    epoch = first.node.context.directory.epoch_of(SERVICE, ref.index)
    names = [each.node.context.me for each in (first, second, third)]
    away = Move(SERVICE, names[0], ((ref.index, epoch, names[1]),), True)
    onward = Move(SERVICE, names[1], ((ref.index, epoch + 1, names[2]),), False)
    mesh.append("test/away", away)
    mesh.append("test/onward", onward)
    watch(mesh, 3.0)


class DirectedTests(unittest.TestCase):
    def assert_rule_matters(
        self,
        interleaving: Callable[[], None],
        mutation: Callable[[], AbstractContextManager],
    ) -> None:
        interleaving()
        with mutation(), self.assertRaises(AssertionError):
            interleaving()

    def test_permanence_of_promises(self):
        self.assert_rule_matters(
            verdict_while_the_member_comes_back, mutations.without_permanence
        )

    def test_drift_margin(self):
        self.assert_rule_matters(
            clocks_at_both_ends_of_the_bound, mutations.without_drift_margin
        )

    def test_lease_counted_from_the_send_time(self):
        self.assert_rule_matters(renewals_that_come_late, mutations.without_send_time)

    def test_tenure(self):
        self.assert_rule_matters(
            witnesses_that_were_voted_out_unaware, mutations.without_tenure
        )

    def test_age_of_a_closing_before_it_counts_as_a_vote(self):
        self.assert_rule_matters(
            witnesses_that_were_voted_out_unaware, mutations.without_closing_age
        )

    def test_check_before_each_order(self):
        self.assert_rule_matters(
            order_that_waited_past_the_lease, mutations.without_check_before_order
        )

    def test_release_waits_for_running_orders(self):
        self.assert_rule_matters(
            order_still_running_when_its_slice_moves, mutations.without_drain_wait
        )

    def test_orders_follow_a_key_that_is_split_out(self):
        self.assert_rule_matters(
            order_still_running_when_its_key_is_split_out,
            mutations.without_relabelling,
        )

    def test_witness_sets_change_by_one(self):
        self.assert_rule_matters(
            whole_set_replaced_in_one_record, mutations.without_single_steps
        )

    def test_version_of_the_set_in_a_verdict(self):
        self.assert_rule_matters(
            verdict_on_an_earlier_set, mutations.without_set_version
        )

    def test_chain_of_predecessors(self):
        self.assert_rule_matters(
            owner_before_last_still_works, mutations.without_predecessors
        )


class RandomTests(unittest.TestCase):
    """The state machine itself finds these."""

    def assert_found(self, machine: type, mutation: Callable) -> None:
        with mutation(), self.assertRaises(AssertionError):
            run_state_machine_as_test(machine, settings=BITE)

    def test_majority(self):
        self.assert_found(OwnershipMachine, mutations.without_majority)

    def test_chain_of_predecessors(self):
        self.assert_found(OwnershipMachine, mutations.without_predecessors)

    def test_silence_counted_from_the_record(self):
        self.assert_found(OwnershipMachine, mutations.without_silence_from_record)


if __name__ == "__main__":
    unittest.main()
