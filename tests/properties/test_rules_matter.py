"""Checks that each safety rule is needed: without it a guarantee is violated.

The guarantees are that a slice has one serving owner at a time and that orders of
successive owners do not overlap.
"""

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

MUTATION_SETTINGS = settings(
    SETTINGS, max_examples=80, stateful_step_count=30, phases=[Phase.generate]
)


def stable_mesh(timing: Timing = TIMING, **options) -> Mesh:
    mesh = Mesh(SIX_PLACES, seed=3, timing=timing, **options)
    mesh.publish(INTENT, 0, "op/first")
    mesh.run_until(mesh.all_served)
    mesh.run(8.0)
    return mesh


def run_checked(mesh: Mesh, seconds: float) -> None:
    mesh.run(seconds, mesh.assert_sole_owners)


def assert_no_double_owners(mesh: Mesh) -> None:
    problems = audit.find_double_owners(map(as_execution, mesh.executions))
    assert not problems, problems


def host_with_member(mesh: Mesh, member: str) -> Host:
    return next(host for host in mesh.hosts if host.node.context.member_id == member)


def cut_from_all_but(mesh: Mesh, host: Host, reachable: list[Host]) -> None:
    for other in mesh.hosts:
        if other not in reachable and other is not host:
            mesh.cut(host, other)


def cut_from_log(mesh: Mesh, host: Host) -> None:
    mesh.cuts.add((host.name, "log"))


def key_of(mesh: Mesh, host: Host) -> str:
    """Return a key whose slice `host` serves."""
    count = INTENT["services"][SERVICE]["slices"]
    owned = {ref.index for ref in host.node.ownership.served}
    return next(f"k{n}" for n in range(999) if slice_of_key(f"k{n}", count) in owned)


# Scenarios. Each one must keep the guarantees as long as all rules are on.


def verdict_while_the_link_heals() -> None:
    """The links of a member heal between the promises and the failover record."""
    mesh = stable_mesh()
    member = mesh.hosts[0]
    cut_from_all_but(mesh, member, [])
    cut_from_log(mesh, member)
    run_checked(mesh, 1.1)
    mesh.log.delay_s = 0.6
    run_checked(mesh, 0.4)
    mesh.heal()
    cut_from_log(mesh, member)
    run_checked(mesh, 4.0)


def clocks_at_both_ends_of_the_drift_bound() -> None:
    """The clock of the owner is slow, and the clocks of its witnesses are fast."""
    timing = Timing(lease_s=10.0, heartbeat_s=0.25, collect_s=0.0)
    rates = [0.976, 1.024, 1.024, 1.024, 1.024, 1.024]
    mesh = Mesh(SIX_PLACES, seed=3, timing=timing, rates=rates)
    mesh.publish(INTENT, 0, "op/first")
    mesh.run_until(mesh.all_served)
    mesh.run(8.0)
    cut_from_all_but(mesh, mesh.hosts[0], [])
    cut_from_log(mesh, mesh.hosts[0])
    run_checked(mesh, 14.0)


def renewals_that_arrive_late() -> None:
    """Answers to heartbeats are in transit when the member is cut off."""
    mesh = stable_mesh()
    member = mesh.hosts[0]
    mesh.renewal_delay_s = 0.7
    run_checked(mesh, 3.0)
    for other in mesh.hosts:
        mesh.cut(member, other, both_ways=False)
    cut_from_log(mesh, member)
    run_checked(mesh, 4.0)


def isolate_with_two_witnesses(mesh: Mesh, member: Host) -> list[Host]:
    """Cut a member and two of its witnesses off from the log and all others."""
    witnesses = member.node.context.member.witnesses[:2]
    island = [member, *(host_with_member(mesh, each) for each in witnesses)]
    for host in island:
        cut_from_all_but(mesh, host, island)
        cut_from_log(mesh, host)
    return island


def witnesses_unaware_that_they_were_ended() -> None:
    """A member and two witnesses are cut off; the third receives no heartbeats.

    The members outside end the two witnesses, which cannot read that record.
    """
    mesh = stable_mesh()
    isolate_with_two_witnesses(mesh, mesh.hosts[0])
    run_checked(mesh, TIMING.replacement_delay_s + 8.0)


def order_that_waited_past_the_lease() -> None:
    """Requests wait behind slow ones until the lease has lapsed."""
    mesh = stable_mesh(checks_grants=False)
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
    assert_no_double_owners(mesh)


def order_still_running_when_its_slice_moves() -> None:
    """A slice is moved while its former owner works on a request for it."""
    mesh = stable_mesh()
    source, destination = mesh.hosts[0], mesh.hosts[3]
    key = key_of(mesh, source)
    source.target.work_s = 1.5
    mesh.call(source, key, "POST")
    mesh.run(0.1)
    directory = source.node.context.directory
    index = slice_of_key(key, 12)
    epoch = directory.epoch_of(SERVICE, index)
    move = Move(
        SERVICE,
        source.node.context.member_id,
        ((index, epoch, destination.node.context.member_id),),
        True,
    )
    mesh._step(
        source, events.AppendRequested(source.node.context.new_record_id(), move)
    )
    for _ in range(8):
        mesh.run(0.3)
        mesh.call(destination, key, "POST")
    mesh.run(2.0)
    assert_no_double_owners(mesh)


def order_still_running_when_its_key_is_split_out() -> None:
    """A hot key gets its own slice, which is moved while a request for it runs."""
    mesh = stable_mesh()
    source, destination = mesh.hosts[0], mesh.hosts[3]
    key = key_of(mesh, source)
    source.target.work_s = 1.5
    mesh.call(source, key, "POST")
    mesh.run(0.1)
    node = source.node
    directory = node.context.directory
    epoch = node.ownership.epoch(directory.slice_of(SERVICE, key))
    split = Split(SERVICE, key, node.context.member_id, epoch)
    mesh._step(source, events.AppendRequested(node.context.new_record_id(), split))
    mesh.run(0.2)
    ref = directory.slice_of(SERVICE, key)
    slices = (
        (
            ref.index,
            directory.epoch_of(SERVICE, ref.index),
            destination.node.context.member_id,
        ),
    )
    move = Move(SERVICE, node.context.member_id, slices, True)
    mesh._step(source, events.AppendRequested(node.context.new_record_id(), move))
    for _ in range(8):
        mesh.run(0.2)
        mesh.call(destination, key, "POST")
    mesh.run(2.0)
    assert len(mesh.executions) == 9, len(mesh.executions)
    first, *others = sorted(mesh.executions, key=lambda each: each.started_at)
    overlapping = [each for each in others if each.started_at < first.ended_at]
    assert not overlapping, overlapping


def whole_set_replaced_in_one_record() -> None:
    """A member and its old witnesses have not read that the set was replaced."""
    mesh = stable_mesh()
    member = mesh.hosts[0]
    known = member.node.context.member
    island = isolate_with_two_witnesses(mesh, member)
    others = [
        host.node.context.member_id
        for host in mesh.hosts
        if host not in island and host.node.context.member_id not in known.witnesses
    ]
    record = Witnesses(known.id, tuple(others), known.witness_version)
    mesh.append("test/exchange", record)
    run_checked(mesh, TIMING.replacement_delay_s + 8.0)


def verdict_on_an_earlier_set() -> None:
    """Promises that were given before a resume reach the log after it."""
    mesh = stable_mesh()
    member = mesh.hosts[0]
    known = member.node.context.member
    stale = Verdict(known.id, known.witness_version, known.witnesses)
    mesh._step(
        member,
        events.AppendRequested(member.node.context.new_record_id(), Resume(known.id)),
    )
    mesh.run(0.2)
    cut_from_log(mesh, member)
    mesh.append("test/stale", Failover((stale,)))
    run_checked(mesh, 2.0)


def first_of_two_former_owners_still_works() -> None:
    """A slice is moved a second time before its first owner has released it."""
    mesh = stable_mesh()
    first, second, third = mesh.hosts[0], mesh.hosts[2], mesh.hosts[4]
    cut_from_log(mesh, first)
    ref = sorted(first.node.ownership.served, key=str)[0]
    epoch = first.node.context.directory.epoch_of(SERVICE, ref.index)
    names = [each.node.context.member_id for each in (first, second, third)]
    first_move = Move(SERVICE, names[0], ((ref.index, epoch, names[1]),), True)
    second_move = Move(SERVICE, names[1], ((ref.index, epoch + 1, names[2]),), False)
    mesh.append("test/away", first_move)
    mesh.append("test/onward", second_move)
    run_checked(mesh, 3.0)


class DirectedTests(unittest.TestCase):
    """Mutations that need a scenario of their own to show a violation."""

    def assert_rule_matters(
        self,
        scenario: Callable[[], None],
        mutation: Callable[[], AbstractContextManager],
    ) -> None:
        scenario()
        with mutation(), self.assertRaises(AssertionError):
            scenario()

    def test_permanence_of_promises(self):
        self.assert_rule_matters(
            verdict_while_the_link_heals, mutations.without_permanent_promises
        )

    def test_drift_margin(self):
        self.assert_rule_matters(
            clocks_at_both_ends_of_the_drift_bound, mutations.without_drift_margin
        )

    def test_lease_counted_from_the_send_time(self):
        self.assert_rule_matters(renewals_that_arrive_late, mutations.without_send_time)

    def test_tenure(self):
        self.assert_rule_matters(
            witnesses_unaware_that_they_were_ended, mutations.without_tenure
        )

    def test_delay_before_an_ended_witness_counts_as_a_vote(self):
        self.assert_rule_matters(
            witnesses_unaware_that_they_were_ended,
            mutations.without_ended_witness_delay,
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
            first_of_two_former_owners_still_works, mutations.without_predecessors
        )


class RandomTests(unittest.TestCase):
    """Mutations whose violations the state machine finds without a scenario."""

    def assert_violation_found(self, machine: type, mutation: Callable) -> None:
        with mutation(), self.assertRaises(AssertionError):
            run_state_machine_as_test(machine, settings=MUTATION_SETTINGS)

    def test_majority(self):
        self.assert_violation_found(OwnershipMachine, mutations.without_majority)

    def test_chain_of_predecessors(self):
        self.assert_violation_found(OwnershipMachine, mutations.without_predecessors)

    def test_time_without_contact_counted_from_the_record(self):
        self.assert_violation_found(OwnershipMachine, mutations.without_contact_reset)


if __name__ == "__main__":
    unittest.main()
