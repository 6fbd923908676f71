"""The steps of the table reconciler, and the changes that they propose."""

from __future__ import annotations

import unittest

from rhubarbhall.core.ownership.directory import KeyDirectory
from rhubarbhall.core.ownership.entries import Entry
from rhubarbhall.core.ownership.heartbeat import FIRST_SEQUENCE, Heartbeat
from rhubarbhall.core.ownership.key_load import KeyLoadSampler
from rhubarbhall.core.ownership.key_table import Claim, KeyTable
from rhubarbhall.core.ownership.liveness import Liveness
from rhubarbhall.core.ownership.range_load_balancer import RangeLoadBalancer
from rhubarbhall.core.ownership.range_witness import (
    LAST_WITNESS_TIMEOUT_S,
    WITNESS_LEASE_S,
    WITNESS_TIMEOUT_S,
    RangeWitness,
    ReplacementVotes,
    WitnessedLease,
)
from rhubarbhall.core.ownership.read_lease import takeover_wait_s
from rhubarbhall.core.ownership.reconciler import (
    LOG_GROWTH_TIMEOUT_S,
    RANK_DELAY_S,
    RETURN_CONTACT_S,
    TableReconciler,
)
from rhubarbhall.core.ownership.records import (
    Member,
    TargetState,
    encode_loss,
    encode_member,
    encode_table,
    lost_key,
    member_key,
    table_key,
)
from rhubarbhall.core.ownership.target_keys import MAX_HOLD_S, TargetKeys

LOCAL, B, C = "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"


class ReconcilerTests(unittest.TestCase):
    def setUp(self):
        self.directory = KeyDirectory()
        self.directory.advance_end(0)
        self.liveness = Liveness(0.0)
        self.liveness.watch(0.0, (B, C))
        self.target_keys = TargetKeys(LOCAL, 0.0)
        balancer = RangeLoadBalancer(LOCAL, KeyLoadSampler())
        self.range_witness = RangeWitness(LOCAL, 0.0)
        self.votes = ReplacementVotes(LOCAL, self.range_witness)
        self.witnessed_lease = WitnessedLease(0.0)
        self.reconciler = TableReconciler(
            LOCAL,
            "s",
            "r",
            self.directory,
            self.target_keys,
            self.liveness,
            balancer,
            self.range_witness,
            self.votes,
            self.witnessed_lease,
            0.0,
        )
        self.offset = 0
        for address in (LOCAL, B, C):
            self.set_member(address)
        self.now = 5.0
        self.send_heartbeat()
        claims = [Claim(LOCAL, "i@1"), Claim(B, "i@1"), Claim(C, "i@1")]
        table = KeyTable.divided(claims)
        for owner, witness in ((LOCAL, B), (B, C), (C, B)):
            table = table.with_witnesses(owner, (witness,))
        self.set_table(table)
        self.witnessed_lease.set_witnesses(self.now, (B,))

    def put(self, key: str, value: bytes) -> None:
        self.offset += 1
        self.directory.apply(Entry(self.offset, key, value))

    def set_member(self, address, service="s", state=TargetState.READY) -> None:
        member = Member(service, "d", "r", "i@1", 9, state)
        self.put(member_key(address), encode_member(member))

    def set_table(self, table: KeyTable) -> None:
        self.put(table_key("s"), encode_table(table))

    @property
    def table(self) -> KeyTable:
        return self.directory.table_by_service["s"]

    def send_heartbeat(self, state=TargetState.READY, born=1, **fields) -> None:
        # The sequences of a run start anew.
        known = self.target_keys.heartbeat
        is_new_run = known is not None and known.born != born
        sequence = FIRST_SEQUENCE if is_new_run else int(self.now * 1000)
        heartbeat = Heartbeat("i", born, sequence, state, 9, **fields)
        self.target_keys.record_heartbeat(self.now, heartbeat)

    def pass_time(self, seconds: float, contacted=(B, C)) -> None:
        for _ in range(int(seconds * 10)):
            self.now += 0.1
            for address in contacted:
                self.liveness.record_contact(self.now, address)
            if self.target_keys.heartbeat.state is TargetState.READY:
                self.send_heartbeat()
            self.witnessed_lease.confirm(self.now, B, self.now, self.offset)

    def propose(self) -> KeyTable | None:
        change = self.reconciler.propose(self.now)
        return change.table if change else None

    def test_nothing_to_do(self):
        self.pass_time(10.0)
        self.assertIsNone(self.propose())

    def reuse_address(self) -> KeyTable:
        """Let a record name another service for an owner; return the table then."""
        self.set_member(B, service="other")
        self.pass_time(1.0)
        self.propose()
        self.pass_time(RANK_DELAY_S)
        changed = self.propose()
        self.set_table(changed)
        self.propose()
        return changed

    # Guards against: keys that are granted while the former owner still holds them, as
    # a late record of the former service of its address counted as its end.
    def test_keys_of_an_address_that_went_to_another_service_wait_for_its_lease(self):
        size = self.table.size_by_owner()[B]
        changed = self.reuse_address()
        self.assertNotIn(B, changed.size_by_owner())
        waiting = changed.unreleased_by(B)
        self.assertEqual(sum(span.size for span in waiting), size)
        self.assertTrue(all(span.previous_lost for span in waiting))
        self.pass_time(takeover_wait_s() - 0.2)
        self.assertIsNone(self.propose())
        self.pass_time(0.4)
        freed = self.propose()
        self.assertTrue(all(span.is_free for span in freed.owned_by(LOCAL)))

    # Guards against: a daemon that gives its own keys away, as a late record of an
    # earlier process names another service for its address.
    def test_a_record_of_another_service_for_the_local_address_moves_no_key(self):
        self.set_member(LOCAL, service="other")
        self.pass_time(10 * RANK_DELAY_S)
        self.assertIsNone(self.propose())
        self.pass_time(10 * RANK_DELAY_S)
        self.assertIsNone(self.propose())

    def test_its_witnesses_free_them_once_they_let_its_lease_lapse(self):
        self.set_table(self.table.with_witnesses(B, (LOCAL,)))
        changed = self.reuse_address()
        self.assertEqual(changed.witnesses_of(B), (LOCAL,))
        self.assertFalse(all(span.is_free for span in changed.spans))
        self.pass_time(WITNESS_LEASE_S)
        freed = self.propose()
        self.assertTrue(all(span.is_free for span in freed.spans))
        self.assertEqual(freed.witnesses_of(B), ())

    def test_a_living_owner_at_a_wrongly_named_address_releases_its_keys_itself(self):
        self.set_table(
            self.table.with_owner_lost(LOCAL).moved([((0, 9), Claim(B, "i@1"))])
        )
        self.target_keys.grant(self.now, self.table, 5.0, self.offset)
        self.pass_time(0.3)
        self.assertTrue(self.propose().find(5).is_free)

    def lose_others(self) -> None:
        """Let the local target own all keys; the others have no target any more."""
        self.set_table(
            KeyTable.divided([Claim(LOCAL, "i@1")]).with_witnesses(LOCAL, (B,))
        )
        self.set_member(C, state=TargetState.GONE)

    # The last target of a service was never granted a key again, as it waited for a
    # witness that did not exist.
    def test_the_last_owner_is_its_own_witness_once_a_living_one_would_replace_it(self):
        self.lose_others()
        for _ in range(int(LAST_WITNESS_TIMEOUT_S * 10) - 1):
            self.now += 0.1
            self.send_heartbeat()
            self.assertIsNone(self.propose())
        self.now += 0.3
        self.assertEqual(self.propose().witnesses_of(LOCAL), (LOCAL,))

    def test_a_change_that_was_tried_does_not_begin_the_wait_of_the_last_owner_anew(
        self,
    ):
        self.lose_others()
        self.now += LAST_WITNESS_TIMEOUT_S + 0.1
        self.send_heartbeat()
        for _ in range(3):
            change = self.reconciler.propose(self.now)
            self.assertEqual(change.table.witnesses_of(LOCAL), (LOCAL,))
            self.reconciler.record_pending_write(self.now, change, self.offset)
            self.now += 0.1

    def test_the_last_owner_does_not_wait_for_witnesses_whose_targets_have_left(self):
        self.lose_others()
        self.set_member(B, state=TargetState.LEAVING)
        self.pass_time(0.1)
        changed = self.propose()
        self.assertEqual(changed.witnesses_of(LOCAL), (LOCAL,))
        self.set_table(changed)
        self.assertIsNone(self.propose())
        self.set_member(B)
        self.pass_time(0.1)
        self.assertEqual(self.propose().witnesses_of(LOCAL), (B,))

    def test_an_unresponsive_daemon_is_marked_lost_and_its_lease_is_waited_out(self):
        self.pass_time(4.0, contacted=(C,))
        lost_table = self.propose()
        lost = [span for span in lost_table.spans if span.previous_lost]
        self.assertEqual({span.previous for span in lost}, {B})
        self.set_table(lost_table)
        self.assertIsNone(self.propose())
        self.pass_time(takeover_wait_s() - 1.0, contacted=(C,))
        self.assertIsNone(self.propose())
        self.pass_time(2.0, contacted=(C,))
        taken_over = self.propose()
        still_lost = [span for span in taken_over.owned_by(LOCAL) if span.previous_lost]
        self.assertEqual(still_lost, [])

    # After the loss of all processes, one that returned late lost all its keys although
    # it ran again: 17 writes of the table in place of 9, and 2 s without holders.
    def test_a_daemon_that_runs_again_keeps_its_keys_although_reported_as_lost(self):
        self.put(lost_key(B), encode_loss(self.directory.member_position(B)))
        self.pass_time(RANK_DELAY_S, contacted=(B, C))
        self.assertIsNone(self.propose())
        self.pass_time(RETURN_CONTACT_S + RANK_DELAY_S, contacted=(C,))
        self.propose()
        self.pass_time(RANK_DELAY_S, contacted=(C,))
        self.assertNotIn(B, self.propose().size_by_owner())

    def test_an_owner_without_witnesses_was_granted_nothing(self):
        # It was assigned a share of the keys and was lost before it took them.
        self.set_table(self.table.with_witnesses(B, ()))
        self.pass_time(4.0, contacted=(C,))
        replaced = self.propose()
        self.assertNotIn(B, replaced.size_by_owner())
        self.assertTrue(all(span.is_free for span in replaced.spans))

    def test_a_daemon_that_was_never_contacted_gets_no_share(self):
        # Its record is older than the start of this daemon; the other daemon is gone.
        self.set_member("10.0.0.4:1")
        self.liveness.watch(self.now, (B, C, "10.0.0.4:1"))
        for _ in range(25):
            self.pass_time(0.1)
            self.assertIsNone(self.propose())

    def test_a_daemon_without_any_contact_declares_no_peer_lost(self):
        self.pass_time(8.0, contacted=())
        self.assertIsNone(self.propose())

    def make_local_witness(self) -> None:
        self.set_table(self.table.with_witnesses(B, (LOCAL,)))
        self.range_witness.boot_offset = 0
        self.range_witness.update_from_table(self.now, self.table)

    def test_a_witness_replaces_an_owner_without_another_wait(self):
        self.make_local_witness()
        self.assertTrue(self.range_witness.try_renew(self.now, B, self.offset))
        self.pass_time(WITNESS_LEASE_S - 0.5, contacted=(C,))
        self.assertEqual(self.range_witness.lapsed_owners(self.now), [])
        self.pass_time(1.0, contacted=(C,))
        change = self.reconciler.propose(self.now)
        self.assertEqual(change.replaced, (B,))
        self.assertNotIn(B, change.table.size_by_owner())
        self.assertTrue(all(span.is_free for span in change.table.spans))

    def test_the_reasons_of_the_steps_stay_as_operators_know_them(self):
        reasons = [reason for reason, _ in self.reconciler._steps]
        self.assertEqual(
            reasons,
            [
                "let_go",
                "renew_run",
                "renew_fence",
                "renew_runs",
                "leave",
                "evacuate",
                "take_over",
                "replace_reused",
                "choose_guardians",
                "replace_unguarded",
                "replace_silent",
                "replace_left",
                "welcome",
                "cool_down",
            ],
        )

    def test_the_runs_of_other_restarted_targets_are_renewed_in_one_change(self):
        # Load pattern: all targets lose power and start again at the same time.
        for address in (B, C):
            member = Member("s", "d", "r", "i@2", 9, TargetState.READY)
            self.put(member_key(address), encode_member(member))
        before = {span.owner: span.fence for span in self.table.spans}
        self.propose()
        self.pass_time(RANK_DELAY_S + 0.1)
        changed = self.propose()
        for span in changed.spans:
            if span.owner != LOCAL:
                self.assertEqual(span.run, "i@2")
                self.assertGreater(span.fence, max(before.values()))

    def test_the_record_of_an_earlier_run_changes_nothing_without_a_new_one(self):
        self.pass_time(5.0)
        self.assertIsNone(self.propose())

    def test_a_replacement_by_witnesses_has_its_reason_and_names_the_owners(self):
        # The reason decides whether the change names the replaced owners. If it did not
        # match, the witness that replaces an owner would go on renewing its lease while
        # the replacement may still be written.
        self.make_local_witness()
        self.pass_time(WITNESS_LEASE_S + 0.5)
        change = self.reconciler.propose(self.now)
        self.assertEqual(change.reason, "replace_unguarded")
        self.assertEqual(change.replaced, (B,))

    def test_changes_for_other_reasons_replace_nobody(self):
        self.pass_time(4.0, contacted=(C,))
        change = self.reconciler.propose(self.now)
        self.assertEqual(change.reason, "replace_silent")
        self.assertEqual(change.replaced, ())

    def test_a_first_table_has_its_reason(self):
        self.directory.table_by_service.clear()
        self.pass_time(1.0)
        change = self.reconciler.propose(self.now)
        self.assertEqual(change.reason, "found")

    def test_no_renewal_while_a_replacement_may_still_be_written(self):
        self.make_local_witness()
        self.pass_time(WITNESS_LEASE_S + 0.5)
        change = self.reconciler.propose(self.now)
        self.reconciler.record_pending_write(self.now, change, self.offset)
        self.assertFalse(self.range_witness.try_renew(self.now, B, self.offset))
        self.assertTrue(self.range_witness.try_renew(self.now, B, self.offset + 1))

    def test_no_renewal_before_the_log_has_grown_since_the_start(self):
        self.make_local_witness()
        self.range_witness.boot_offset = None
        self.assertFalse(self.range_witness.try_renew(self.now, B, self.offset))
        self.range_witness.boot_offset = self.offset
        self.assertFalse(self.range_witness.try_renew(self.now, B, self.offset))
        self.assertTrue(self.range_witness.try_renew(self.now, B, self.offset + 1))

    def test_an_unresponsive_witness_is_replaced_and_not_counted_meanwhile(self):
        self.pass_time(1.0)
        self.now += WITNESS_TIMEOUT_S + 0.1
        for address in (B, C):
            self.liveness.record_contact(self.now, address)
        self.send_heartbeat()
        change = self.reconciler.propose(self.now)
        self.assertTrue(change.changes_witnesses)
        self.assertEqual(change.table.witnesses_of(LOCAL), (C,))
        self.reconciler.record_pending_write(self.now, change, self.offset)
        before = self.witnessed_lease.remaining_s(self.now)
        self.witnessed_lease.confirm(self.now, B, self.now, self.offset)
        self.assertEqual(self.witnessed_lease.remaining_s(self.now), before)
        self.witnessed_lease.confirm(self.now, B, self.now, self.offset + 1)
        self.assertEqual(self.witnessed_lease.remaining_s(self.now), WITNESS_LEASE_S)

    def test_an_owner_without_lease_makes_the_log_grow_at_intervals(self):
        self.assertFalse(self.reconciler.is_blocked(self.now))
        self.assertFalse(
            self.reconciler.is_blocked(self.now + LOG_GROWTH_TIMEOUT_S - 0.1)
        )
        self.assertTrue(self.reconciler.is_blocked(self.now + LOG_GROWTH_TIMEOUT_S))
        self.assertFalse(
            self.reconciler.is_blocked(self.now + LOG_GROWTH_TIMEOUT_S + 0.1)
        )
        self.directory.advance_end(self.offset + 9)
        self.assertFalse(
            self.reconciler.is_blocked(self.now + 2 * LOG_GROWTH_TIMEOUT_S)
        )
        self.now += 3 * LOG_GROWTH_TIMEOUT_S
        self.witnessed_lease.confirm(self.now, B, self.now, self.offset + 9)
        self.assertFalse(self.reconciler.is_blocked(self.now))

    def move_local_keys(self, run: str) -> None:
        """Let the local target release some keys; the table names a run of the rest."""
        table = self.table.moved([((0, 9), Claim(B, "i@1"))])
        self.set_table(table.with_runs({LOCAL: run}))
        self.hear_from_peers()

    def hear_from_peers(self) -> None:
        for address in (B, C):
            self.liveness.record_contact(self.now, address)

    def test_a_new_run_of_the_local_target_has_released_what_the_last_one_held(self):
        self.move_local_keys("i@1")
        self.target_keys.grant(self.now, self.table, 5.0, self.offset)
        self.now += 0.5
        self.send_heartbeat(born=2)
        self.now += 0.01
        changed = self.propose()
        self.assertTrue(changed.find(5).is_free)
        self.assertEqual({span.run for span in changed.owned_by(LOCAL)}, {"i@2"})

    # Guards against: keys that are free while the present run holds them, as a record
    # of an earlier run, written late, had changed the run in the table.
    def test_an_earlier_run_in_the_table_frees_nothing_that_the_present_one_holds(self):
        self.target_keys.grant(self.now, self.table, 5.0, self.offset)
        self.move_local_keys("i@0")
        self.now += 0.1
        self.send_heartbeat(holds=((0, 99, 1),))
        changed = self.propose()
        self.assertEqual(changed.find(5).previous, LOCAL)
        self.assertEqual({span.run for span in changed.owned_by(LOCAL)}, {"i@1"})

    def test_a_restarted_daemon_frees_nothing_before_earlier_grants_have_ended(self):
        self.now = MAX_HOLD_S - 0.1
        self.move_local_keys("i@0")
        self.send_heartbeat()
        self.assertEqual(self.propose().find(5).previous, LOCAL)
        self.now += 0.5
        self.hear_from_peers()
        self.send_heartbeat()
        self.assertTrue(self.propose().find(5).is_free)

    def test_a_leaving_targets_keys_go_to_the_others(self):
        self.pass_time(1.0)
        self.target_keys.grant(self.now, self.table, 5.0, self.offset)
        self.send_heartbeat(TargetState.LEAVING)
        changed = self.propose()
        self.assertNotIn(LOCAL, changed.size_by_owner())
        given = sum(span.size for span in changed.unreleased_by(LOCAL))
        self.assertEqual(given, self.table.size_by_owner()[LOCAL])

    def test_a_lost_targets_keys_move_once_its_grants_have_ended(self):
        self.pass_time(1.0)
        self.target_keys.grant(self.now, self.table, 5.0, self.offset)
        self.now += MAX_HOLD_S - 0.1
        self.witnessed_lease.confirm(self.now, B, self.now, self.offset)
        for address in (B, C):
            self.liveness.record_contact(self.now, address)
        self.assertIsNone(self.propose())
        self.now += 0.5
        changed = self.propose()
        self.assertNotIn(LOCAL, changed.size_by_owner())
        self.assertEqual(changed.unreleased_by(LOCAL), [])

    def test_keys_that_a_leaving_target_never_took_are_not_granted_meanwhile(self):
        self.pass_time(1.0)
        self.send_heartbeat(TargetState.LEAVING)
        change = self.reconciler.propose(self.now)
        self.assertEqual(change.table.unreleased_by(LOCAL), [])
        self.reconciler.record_pending_write(self.now, change, self.offset)
        grant = self.target_keys.grant(self.now, self.table, 5.0, self.offset)
        self.assertEqual(grant.spans, ())
        # A second write at the same offset does not cancel the first, which may still
        # be carried out.
        self.target_keys.record_pending_release((), self.offset)
        grant = self.target_keys.grant(self.now, self.table, 5.0, self.offset)
        self.assertEqual(grant.spans, ())
        # The log has grown by another record, so the first write cannot be carried out.
        grant = self.target_keys.grant(self.now, self.table, 5.0, self.offset + 1)
        self.assertEqual(list(grant.spans), self.table.owned_by(LOCAL))

    def test_nothing_is_sent_because_of_a_heartbeat_alone(self):
        # Load pattern: a lease has lapsed while callers keep requesting the keys. The
        # last heartbeat of the target still names them, but it refuses each request.
        restarted = TargetKeys(LOCAL, self.now)
        held = ((0, 99, 1),)
        restarted.record_heartbeat(
            self.now, Heartbeat("i", 1, 9, TargetState.READY, 9, holds=held)
        )
        self.assertFalse(restarted.may_work_on(self.now, 5))
        restarted.grant(self.now, self.table, 5.0, 0)
        self.assertTrue(restarted.may_work_on(self.now, 5))
        self.assertFalse(restarted.may_work_on(self.now + MAX_HOLD_S, 5))

    def test_a_new_run_gets_new_fences_at_once(self):
        self.pass_time(1.0)
        before = self.table.owned_by(LOCAL)[0].fence
        self.send_heartbeat(born=2)
        changed = self.propose()
        self.assertEqual(changed.owned_by(LOCAL)[0].run, "i@2")
        self.assertGreater(changed.owned_by(LOCAL)[0].fence, before)

    def test_a_new_target_gets_an_even_share(self):
        self.set_member("10.0.0.4:1")
        for _ in range(12):
            self.pass_time(0.1, contacted=(B, C, "10.0.0.4:1"))
            changed = self.propose()
        self.assertAlmostEqual(
            changed.size_by_owner()["10.0.0.4:1"], 65536 / 4, delta=65536 / 50
        )

    # Guards against: requests for the keys of a target that has come back, which it
    # cannot serve before it is warm.
    def test_a_target_that_comes_back_during_traffic_gets_its_share_once_warm(self):
        self.reconciler.warmup_s = 3.0
        self.pass_time(10.0)
        came_back_at = self.now
        self.set_member("10.0.0.4:1")
        owners = self.table.size_by_owner()
        while "10.0.0.4:1" not in owners and self.now < came_back_at + 9.0:
            self.pass_time(0.1, contacted=(B, C, "10.0.0.4:1"))
            owners = (self.propose() or self.table).size_by_owner()
        self.assertAlmostEqual(self.now - came_back_at, 3.0, delta=0.8)

    def test_at_the_first_start_of_a_deployment_no_share_waits_for_a_warm_up(self):
        self.reconciler.warmup_s = 3.0
        self.test_a_new_target_gets_an_even_share()

    def test_a_first_table_is_created_only_after_the_discovery_period(self):
        directory = KeyDirectory()
        directory.advance_end(0)
        balancer = RangeLoadBalancer(LOCAL, KeyLoadSampler())
        reconciler = TableReconciler(
            LOCAL,
            "s",
            "r",
            directory,
            self.target_keys,
            self.liveness,
            balancer,
            self.range_witness,
            self.votes,
            self.witnessed_lease,
            5.0,
        )
        self.assertIsNone(reconciler.propose(5.5))
        self.pass_time(4.0)
        for entry in self.directory.entries_from(0):
            if entry.key.startswith("member/"):
                directory.apply(entry)
        change = reconciler.propose(self.now)
        self.assertEqual(len(change.table.size_by_owner()), 3)
