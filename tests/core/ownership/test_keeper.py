"""Duties of the keeper, each with what it answers."""

from __future__ import annotations

import unittest

from rhubarbhall.core.ownership.directory import Directory, Entry
from rhubarbhall.core.ownership.guardian import (
    CHANGE_S,
    GUARD_S,
    Guard,
    GuardedLease,
    LapseVotes,
)
from rhubarbhall.core.ownership.heat_balancer import HeatBalancer
from rhubarbhall.core.ownership.keeper import STUCK_S, TURN_S, Keeper
from rhubarbhall.core.ownership.key_heat import KeyHeat
from rhubarbhall.core.ownership.key_table import Claim, KeyTable
from rhubarbhall.core.ownership.liveness import Liveness
from rhubarbhall.core.ownership.read_lease import takeover_wait_s
from rhubarbhall.core.ownership.records import (
    Member,
    TargetState,
    encode_member,
    encode_table,
    member_key,
    table_key,
)
from rhubarbhall.core.ownership.target_holds import HOLD_S, Heartbeat, TargetHolds

ME, B, C = "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"


class KeeperCase(unittest.TestCase):
    def setUp(self):
        self.directory = Directory()
        self.directory.note_end(0)
        self.liveness = Liveness(0.0)
        self.holds = TargetHolds(ME, 0.0)
        balancer = HeatBalancer(ME, KeyHeat())
        self.guard = Guard(ME, 0.0)
        self.votes = LapseVotes(ME, self.guard)
        self.guarded_lease = GuardedLease(0.0)
        self.keeper = Keeper(
            ME,
            "s",
            "r",
            self.directory,
            self.holds,
            self.liveness,
            balancer,
            self.guard,
            self.votes,
            self.guarded_lease,
            0.0,
        )
        self.offset = 0
        for address in (ME, B, C):
            self.set_member(address)
        self.now = 5.0
        self.beat()
        claims = [Claim(ME, "i@1"), Claim(B, "i@1"), Claim(C, "i@1")]
        table = KeyTable.divided(claims)
        for owner, guardian in ((ME, B), (B, C), (C, B)):
            table = table.guarded(owner, (guardian,))
        self.set_table(table)
        self.guarded_lease.note_guardians(self.now, (B,))

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

    def beat(self, state=TargetState.READY, born=1, **fields) -> None:
        sequence = int(self.now * 1000)
        heartbeat = Heartbeat("i", born, sequence, state, 9, **fields)
        self.holds.note(self.now, heartbeat)

    def pass_time(self, seconds: float, heard=(B, C)) -> None:
        for _ in range(int(seconds * 10)):
            self.now += 0.1
            for address in heard:
                self.liveness.note_heard(self.now, address)
            if self.holds.heartbeat.state is TargetState.READY:
                self.beat()
            self.guarded_lease.confirm(self.now, B, self.now, self.offset)

    def propose(self) -> KeyTable | None:
        proposal = self.keeper.propose(self.now)
        return proposal.table if proposal else None

    def test_nothing_to_do(self):
        self.pass_time(10.0)
        self.assertIsNone(self.propose())

    def test_an_address_that_went_to_another_service_gives_its_keys_up(self):
        self.set_member(B, service="other")
        self.pass_time(1.0)
        self.propose()
        self.pass_time(TURN_S)
        changed = self.propose()
        self.assertNotIn(B, changed.size_by_owner())
        self.assertTrue(all(span.is_settled for span in changed.spans))

    def test_a_silent_daemon_is_noted_and_its_lease_is_waited_out(self):
        self.pass_time(4.0, heard=(C,))
        noted = self.propose()
        lost = [span for span in noted.spans if span.previous_lost]
        self.assertEqual({span.previous for span in lost}, {B})
        self.set_table(noted)
        self.assertIsNone(self.propose())
        self.pass_time(takeover_wait_s() - 1.0, heard=(C,))
        self.assertIsNone(self.propose())
        self.pass_time(2.0, heard=(C,))
        taken = self.propose()
        mine = [span for span in taken.owned_by(ME) if span.previous_lost]
        self.assertEqual(mine, [])

    def test_an_owner_without_guardians_was_granted_nothing(self):
        # It was given a share and lost before it took it.
        self.set_table(self.table.guarded(B, ()))
        self.pass_time(4.0, heard=(C,))
        replaced = self.propose()
        self.assertNotIn(B, replaced.size_by_owner())
        self.assertTrue(all(span.is_settled for span in replaced.spans))

    def test_a_daemon_that_was_never_heard_gets_no_share(self):
        # Its record is from before this daemon was started; it is gone.
        self.set_member("10.0.0.4:1")
        for _ in range(25):
            self.pass_time(0.1)
            self.assertIsNone(self.propose())

    def test_one_that_hears_nobody_judges_nobody(self):
        self.pass_time(8.0, heard=())
        self.assertIsNone(self.propose())

    def guarded_by_me(self) -> None:
        self.set_table(self.table.guarded(B, (ME,)))
        self.guard.boot_offset = 0
        self.guard.note_table(self.now, self.table)

    def test_a_guardian_replaces_an_owner_without_another_wait(self):
        self.guarded_by_me()
        self.assertTrue(self.guard.renews(self.now, B, self.offset))
        self.pass_time(GUARD_S - 0.5, heard=(C,))
        self.assertEqual(self.guard.lapsed(self.now), [])
        self.pass_time(1.0, heard=(C,))
        proposal = self.keeper.propose(self.now)
        self.assertEqual(proposal.replaced, (B,))
        self.assertNotIn(B, proposal.table.size_by_owner())
        self.assertTrue(all(span.is_settled for span in proposal.table.spans))

    def test_the_reasons_of_the_steps_stay_as_operators_know_them(self):
        reasons = [reason for reason, _ in self.keeper._steps]
        self.assertEqual(
            reasons,
            [
                "let_go",
                "renew_run",
                "leave",
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

    def test_a_replacement_by_witnesses_has_its_reason_and_names_the_owners(self):
        # Both rest on one text. If they parted, the witness that replaces an owner
        # would go on renewing its lease while the replacement may still be written.
        self.guarded_by_me()
        self.pass_time(GUARD_S + 0.5)
        proposal = self.keeper.propose(self.now)
        self.assertEqual(proposal.reason, "replace_unguarded")
        self.assertEqual(proposal.replaced, (B,))

    def test_changes_for_other_reasons_replace_nobody(self):
        self.pass_time(4.0, heard=(C,))
        proposal = self.keeper.propose(self.now)
        self.assertEqual(proposal.reason, "replace_silent")
        self.assertEqual(proposal.replaced, ())

    def test_a_first_table_has_its_reason(self):
        self.directory.table_by_service.clear()
        self.pass_time(1.0)
        proposal = self.keeper.propose(self.now)
        self.assertEqual(proposal.reason, "found")

    def test_no_word_while_a_replacement_may_still_be_written(self):
        self.guarded_by_me()
        self.pass_time(GUARD_S + 0.5)
        proposal = self.keeper.propose(self.now)
        self.keeper.note_writing(self.now, proposal, self.offset)
        self.assertFalse(self.guard.renews(self.now, B, self.offset))
        self.assertTrue(self.guard.renews(self.now, B, self.offset + 1))

    def test_no_word_before_the_log_has_grown_since_the_start(self):
        self.guarded_by_me()
        self.guard.boot_offset = None
        self.assertFalse(self.guard.renews(self.now, B, self.offset))
        self.guard.boot_offset = self.offset
        self.assertFalse(self.guard.renews(self.now, B, self.offset))
        self.assertTrue(self.guard.renews(self.now, B, self.offset + 1))

    def test_a_silent_guardian_is_changed_and_not_believed_meanwhile(self):
        self.pass_time(1.0)
        self.now += CHANGE_S + 0.1
        for address in (B, C):
            self.liveness.note_heard(self.now, address)
        self.beat()
        proposal = self.keeper.propose(self.now)
        self.assertTrue(proposal.changes_guardians)
        self.assertEqual(proposal.table.guardians_of(ME), (C,))
        self.keeper.note_writing(self.now, proposal, self.offset)
        before = self.guarded_lease.left_s(self.now)
        self.guarded_lease.confirm(self.now, B, self.now, self.offset)
        self.assertEqual(self.guarded_lease.left_s(self.now), before)
        self.guarded_lease.confirm(self.now, B, self.now, self.offset + 1)
        self.assertEqual(self.guarded_lease.left_s(self.now), GUARD_S)

    def test_an_owner_without_lease_makes_the_log_grow_once_in_a_while(self):
        self.assertFalse(self.keeper.is_stuck(self.now))
        self.assertFalse(self.keeper.is_stuck(self.now + STUCK_S - 0.1))
        self.assertTrue(self.keeper.is_stuck(self.now + STUCK_S))
        self.assertFalse(self.keeper.is_stuck(self.now + STUCK_S + 0.1))
        self.directory.note_end(self.offset + 9)
        self.assertFalse(self.keeper.is_stuck(self.now + 2 * STUCK_S))
        self.now += 3 * STUCK_S
        self.guarded_lease.confirm(self.now, B, self.now, self.offset + 9)
        self.assertFalse(self.keeper.is_stuck(self.now))

    def test_a_leaving_targets_keys_go_to_the_others(self):
        self.pass_time(1.0)
        self.holds.grant(self.now, self.table, 5.0, self.offset)
        self.beat(TargetState.LEAVING)
        changed = self.propose()
        self.assertNotIn(ME, changed.size_by_owner())
        given = sum(span.size for span in changed.leaving(ME))
        self.assertEqual(given, self.table.size_by_owner()[ME])

    def test_a_lost_targets_keys_move_once_its_grants_have_ended(self):
        self.pass_time(1.0)
        self.holds.grant(self.now, self.table, 5.0, self.offset)
        self.now += HOLD_S - 0.1
        self.guarded_lease.confirm(self.now, B, self.now, self.offset)
        for address in (B, C):
            self.liveness.note_heard(self.now, address)
        self.assertIsNone(self.propose())
        self.now += 0.5
        changed = self.propose()
        self.assertNotIn(ME, changed.size_by_owner())
        self.assertEqual(changed.leaving(ME), [])

    def test_keys_that_a_leaving_target_never_took_are_not_granted_meanwhile(self):
        self.pass_time(1.0)
        self.beat(TargetState.LEAVING)
        proposal = self.keeper.propose(self.now)
        self.assertEqual(proposal.table.leaving(ME), [])
        self.keeper.note_writing(self.now, proposal, self.offset)
        grant = self.holds.grant(self.now, self.table, 5.0, self.offset)
        self.assertEqual(grant.spans, ())
        # A second write does not undo the first, which may be carried out late.
        self.holds.note_freeing((), self.offset)
        grant = self.holds.grant(self.now, self.table, 5.0, self.offset)
        self.assertEqual(grant.spans, ())
        # Another record came first.
        grant = self.holds.grant(self.now, self.table, 5.0, self.offset + 1)
        self.assertEqual(list(grant.spans), self.table.owned_by(ME))

    def test_nothing_is_sent_on_the_word_of_a_heartbeat(self):
        # Load pattern: a lease has lapsed, and callers ask for the keys all the while.
        # The target's last heartbeat still names them; it turns each request away.
        again = TargetHolds(ME, self.now)
        held = ((0, 99, 1),)
        again.note(self.now, Heartbeat("i", 1, 9, TargetState.READY, 9, holds=held))
        self.assertFalse(again.may_work_on(self.now, 5))
        again.grant(self.now, self.table, 5.0, 0)
        self.assertTrue(again.may_work_on(self.now, 5))
        self.assertFalse(again.may_work_on(self.now + HOLD_S, 5))

    def test_a_new_run_gets_new_fences_at_once(self):
        self.pass_time(1.0)
        before = self.table.owned_by(ME)[0].fence
        self.beat(born=2)
        changed = self.propose()
        self.assertEqual(changed.owned_by(ME)[0].run, "i@2")
        self.assertGreater(changed.owned_by(ME)[0].fence, before)

    def test_a_newcomer_gets_an_even_share(self):
        self.set_member("10.0.0.4:1")
        for _ in range(12):
            self.pass_time(0.1, heard=(B, C, "10.0.0.4:1"))
            changed = self.propose()
        self.assertAlmostEqual(
            changed.size_by_owner()["10.0.0.4:1"], 65536 / 4, delta=65536 / 50
        )

    def test_a_table_is_founded_only_when_others_had_time_to_show(self):
        directory = Directory()
        directory.note_end(0)
        balancer = HeatBalancer(ME, KeyHeat())
        keeper = Keeper(
            ME,
            "s",
            "r",
            directory,
            self.holds,
            self.liveness,
            balancer,
            self.guard,
            self.votes,
            self.guarded_lease,
            5.0,
        )
        self.assertIsNone(keeper.propose(5.5))
        self.pass_time(4.0)
        for entry in self.directory.entries_from(0):
            if entry.key.startswith("member/"):
                directory.apply(entry)
        proposal = keeper.propose(self.now)
        self.assertEqual(len(proposal.table.size_by_owner()), 3)
