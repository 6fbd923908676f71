"""Witnesses: renewals of an owner's lease, and the votes that replace the owner."""

from __future__ import annotations

import unittest

from rhubarbhall.core.ownership.key_table import KEY_COUNT, Claim, KeyTable
from rhubarbhall.core.ownership.range_witness import (
    MAX_WITNESSES,
    VOTE_RANK_DELAY_S,
    VOTE_REQUEST_INTERVAL_S,
    WITNESS_LEASE_S,
    RangeWitness,
    ReplacementVotes,
    WitnessedLease,
    majority,
    witness_count,
)
from tests.core.ownership.mesh import OwnershipMesh

OWNER = "10.0.0.1:1"
WITNESSES = ("10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1")
LOCAL = WITNESSES[0]
END = 7


class WitnessCountTests(unittest.TestCase):
    def test_the_largest_odd_number_of_available_daemons(self):
        counts = {0: 0, 1: 1, 2: 1, 3: 3, 4: 3, 5: 5, 17: MAX_WITNESSES}
        for available, count in counts.items():
            with self.subTest(available=available):
                self.assertEqual(witness_count(available), count)

    def test_a_majority_is_more_than_half(self):
        self.assertEqual([majority("a"), majority("abc"), majority("abcde")], [1, 2, 3])


class WitnessedLeaseTests(unittest.TestCase):
    def setUp(self):
        self.lease = WitnessedLease(0.0)
        self.lease.set_witnesses(0.0, WITNESSES)

    def test_it_holds_while_a_majority_renewed_it(self):
        self.lease.confirm(1.0, WITNESSES[0], 1.0, END)
        self.assertLess(self.lease.remaining_s(1.0), 0)
        self.lease.confirm(1.4, WITNESSES[1], 1.2, END)
        self.assertAlmostEqual(self.lease.remaining_s(1.4), WITNESS_LEASE_S - 0.4)
        self.lease.confirm(1.5, WITNESSES[2], 1.5, END)
        self.assertAlmostEqual(self.lease.remaining_s(1.5), WITNESS_LEASE_S - 0.3)

    def test_renewals_by_other_daemons_count_for_nothing(self):
        for stranger in ("10.0.0.8:1", "10.0.0.9:1"):
            self.lease.confirm(1.0, stranger, 1.0, END)
        self.assertLess(self.lease.remaining_s(1.0), 0)

    def test_former_witnesses_no_longer_count(self):
        for witness in WITNESSES[:2]:
            self.lease.confirm(1.0, witness, 1.0, END)
        self.lease.set_witnesses(1.1, ("10.0.0.8:1", WITNESSES[0], "10.0.0.9:1"))
        self.assertLess(self.lease.remaining_s(1.1), 0)

    def test_no_renewal_counts_while_a_change_may_still_be_written(self):
        for witness in WITNESSES:
            self.lease.confirm(1.0, witness, 1.0, END)
        self.lease.record_change(1.1, END)
        for witness in WITNESSES:
            self.lease.confirm(2.0, witness, 2.0, END)
        self.assertAlmostEqual(self.lease.remaining_s(2.0), WITNESS_LEASE_S - 1.0)
        self.lease.confirm(2.5, WITNESSES[0], 2.5, END + 1)
        self.lease.confirm(2.5, WITNESSES[1], 2.5, END + 1)
        self.assertAlmostEqual(self.lease.remaining_s(2.5), WITNESS_LEASE_S)

    def test_unresponsive_witnesses_are_returned(self):
        self.lease.confirm(1.0, WITNESSES[1], 1.0, END)
        self.assertEqual(
            self.lease.unresponsive(1.5, 1.0), [WITNESSES[0], WITNESSES[2]]
        )


class ReplacementVotesTests(unittest.TestCase):
    def setUp(self):
        claims = [Claim(OWNER, "i@1"), *(Claim(each, "i@1") for each in WITNESSES)]
        self.table = KeyTable.divided(claims).with_witnesses(OWNER, WITNESSES)
        self.range_witness = RangeWitness(LOCAL, 0.0)
        self.range_witness.boot_offset = 0
        self.range_witness.update_from_table(0.0, self.table)
        self.votes = ReplacementVotes(LOCAL, self.range_witness)
        self.assertTrue(self.range_witness.try_renew(1.0, OWNER, END))
        self.lapsed = 1.0 + WITNESS_LEASE_S * 1.02 + 0.2

    def test_an_owner_that_was_renewed_is_not_replaced(self):
        self.assertFalse(
            self.range_witness.vote_to_replace(1.0 + WITNESS_LEASE_S, OWNER, END)
        )
        for witness in WITNESSES:
            self.votes.record_vote(witness, OWNER, END)
        self.assertEqual(self.votes.replaceable(2.0, self.table, END), [])

    def test_the_local_vote_alone_is_no_majority(self):
        self.assertEqual(self.votes.replaceable(self.lapsed, self.table, END), [])
        self.votes.record_vote(WITNESSES[1], OWNER, END)
        replaceable = self.votes.replaceable(self.lapsed, self.table, END)
        self.assertEqual(replaceable, [OWNER])

    def test_votes_count_for_one_offset_only(self):
        self.votes.record_vote(WITNESSES[1], OWNER, END)
        self.assertEqual(self.votes.replaceable(self.lapsed, self.table, END + 1), [])

    def test_votes_of_daemons_that_are_no_witnesses_count_for_nothing(self):
        self.votes.record_vote("10.0.0.9:1", OWNER, END)
        self.assertEqual(self.votes.replaceable(self.lapsed, self.table, END), [])

    def test_a_witness_that_voted_does_not_renew_before_the_log_grows(self):
        self.assertTrue(self.range_witness.vote_to_replace(self.lapsed, OWNER, END))
        self.assertFalse(self.range_witness.try_renew(self.lapsed, OWNER, END))
        self.assertTrue(self.range_witness.try_renew(self.lapsed, OWNER, END + 1))

    def test_a_daemon_renews_once_its_own_record_is_in_the_log(self):
        range_witness = RangeWitness(LOCAL, 0.0)
        self.assertFalse(range_witness.has_boot_record(END))
        range_witness.boot_offset = END
        self.assertFalse(range_witness.has_boot_record(END))
        self.assertTrue(range_witness.has_boot_record(END + 1))

    def test_a_vote_for_an_older_offset_does_not_replace_a_newer_one(self):
        self.range_witness.vote_to_replace(self.lapsed, OWNER, END)
        self.range_witness.vote_to_replace(self.lapsed, OWNER, END - 3)
        self.assertFalse(self.range_witness.try_renew(self.lapsed, OWNER, END))

    def test_witnesses_that_are_named_again_wait_as_if_they_were_new(self):
        # This daemon has not read that others were the witnesses in between.
        others = self.table.with_witnesses(OWNER, ("10.0.0.9:1",))
        self.range_witness.update_from_table(
            self.lapsed, others.with_witnesses(OWNER, WITNESSES)
        )
        self.assertFalse(
            self.range_witness.vote_to_replace(self.lapsed + 1.0, OWNER, END)
        )
        self.assertTrue(self.range_witness.vote_to_replace(2 * self.lapsed, OWNER, END))

    def test_votes_are_requested_again_but_not_at_once(self):
        requested = list(self.votes.vote_requests(self.lapsed, self.table, END))
        self.assertEqual(requested, [(each, OWNER) for each in WITNESSES[1:]])
        self.assertEqual(
            list(self.votes.vote_requests(self.lapsed, self.table, END)), []
        )
        self.votes.record_vote(WITNESSES[1], OWNER, END)
        repeated = list(
            self.votes.vote_requests(
                self.lapsed + VOTE_REQUEST_INTERVAL_S, self.table, END
            )
        )
        self.assertEqual(repeated, [(WITNESSES[2], OWNER)])

    def test_later_witnesses_request_votes_later(self):
        last = WITNESSES[2]
        range_witness = RangeWitness(last, 0.0)
        range_witness.update_from_table(0.0, self.table)
        votes = ReplacementVotes(last, range_witness)
        just_lapsed = WITNESS_LEASE_S * 1.02 + 0.1 + VOTE_RANK_DELAY_S
        self.assertEqual(list(votes.vote_requests(just_lapsed, self.table, END)), [])
        later = just_lapsed + 2 * VOTE_RANK_DELAY_S
        self.assertEqual(len(list(votes.vote_requests(later, self.table, END))), 2)


class LostTogetherTests(unittest.TestCase):
    """VMs that are lost at the same time and are witnesses of each other."""

    #: Bound on the time without a holder, in seconds: the lease from the witnesses, a
    #: check of it by each of three witnesses, two round trips to the store, and a
    #: heartbeat of the next holder.
    MOST_S = 6.0

    def test_two_of_six_are_replaced_without_the_takeover_wait(self):
        for first in range(6):
            for second in range(first + 1, 6):
                with self.subTest(lost=(first, second)):
                    self.assert_replaced((first, second))

    def assert_replaced(self, lost: tuple[int, ...]) -> None:
        mesh = OwnershipMesh(seed=sum(lost), count=6)
        mesh.simulation.run_until(14.0)
        self.assertEqual(sum(mesh.owners().values()), KEY_COUNT)
        for number in lost:
            mesh.daemons[number].kill()
            mesh.daemons[number].target.is_up = False
        mesh.simulation.run_until(14.0 + self.MOST_S)
        self.assertEqual(sum(mesh.owners().values()), KEY_COUNT)
        self.assertEqual(mesh.overlaps, [])
