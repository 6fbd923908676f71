"""The parts that follow a restore of the store from an older copy, one by one."""

from __future__ import annotations

import random
import unittest
from types import SimpleNamespace

from rhubarbhall.core.ownership.directory import KeyDirectory
from rhubarbhall.core.ownership.entries import Entry
from rhubarbhall.core.ownership.key_table import FENCE_BITS, Claim, KeyTable
from rhubarbhall.core.ownership.publisher import (
    BOOT_READ_DELAY_S,
    TOPIC,
    RecordPublisher,
    directory_topic,
)
from rhubarbhall.core.ownership.range_witness import RangeWitness, WitnessedLease
from rhubarbhall.core.ownership.read_lease import ReadLease, takeover_wait_s
from rhubarbhall.core.ownership.records import (
    Member,
    MemberVersion,
    TargetState,
    boot_key,
    decode_member,
    encode_known_table,
    encode_member,
    encode_table,
    lost_key,
    member_key,
    table_key,
)
from rhubarbhall.core.ownership.store_port import (
    Appended,
    Conflict,
    epoch_of,
    offset_of,
    position,
)
from rhubarbhall.core.ownership.table_restore import RESTORE_SETTLE_S, TableRestore
from rhubarbhall.core.timers import TimerService

A, B, C, D = (f"10.0.0.{number}:1" for number in range(1, 5))
MEMBER = Member("s", "d", "r", "i@1", 9, TargetState.READY)


class PositionTests(unittest.TestCase):
    def test_a_position_equals_the_offset_while_the_store_was_never_restored(self):
        self.assertEqual(position(0, 7), 7)

    def test_a_position_contains_epoch_and_offset_and_only_grows(self):
        at = position(3, 7)
        self.assertEqual((epoch_of(at), offset_of(at)), (3, 7))
        self.assertEqual(at + 1, position(3, 8))
        self.assertLess(position(2, 1 << 39), position(3, 0))
        self.assertEqual(epoch_of(-1), 0)


class DirectoryEpochTests(unittest.TestCase):
    def setUp(self):
        self.directory = KeyDirectory()
        table = KeyTable.divided([Claim(A, "i@1")])
        self.directory.apply(Entry(3, table_key("s"), encode_table(table)))
        self.directory.apply(Entry(5, member_key(A), encode_member(MEMBER)))
        self.directory.advance_end(9)
        self.directory.begin_epoch(1)

    def test_known_records_stay_in_use(self):
        self.assertIn("s", self.directory.table_by_service)
        self.assertIn(A, self.directory.member_by_address)
        self.assertTrue(self.directory.is_restoring("s"))
        self.assertFalse(self.directory.is_written(member_key(A)))

    def test_records_of_an_earlier_epoch_are_not_taken_any_more(self):
        gone = Member("s", "d", "r", "i@1", 9, TargetState.GONE)
        for take in (self.directory.apply, self.directory.apply_next):
            take(Entry(9, member_key(A), encode_member(gone)))
        self.directory.advance_end(12)
        self.assertEqual(self.directory.member_by_address[A], MEMBER)
        self.assertEqual(self.directory.end, 9)
        self.assertFalse(self.directory.is_current)

    def test_it_is_current_once_the_new_log_was_read_to_its_end(self):
        self.directory.apply_next(Entry(position(1, 0), lost_key(B), b"1"))
        self.assertFalse(self.directory.is_current)
        self.directory.advance_end(position(1, 0))
        self.assertTrue(self.directory.is_current)
        self.assertEqual(self.directory.end, position(1, 1))

    def test_the_outcome_of_earlier_writes_is_open_until_the_table_is_written(self):
        self.directory.advance_end(position(1, 4))
        self.assertEqual(self.directory.settled_end("s"), 9)
        table = encode_table(self.directory.table_by_service["s"])
        self.directory.apply_next(Entry(position(1, 4), table_key("s"), table))
        self.assertEqual(self.directory.settled_end("s"), position(1, 5))
        self.assertFalse(self.directory.is_restoring("s"))

    def test_a_record_that_names_no_table_counts_as_none(self):
        for value, expected in ((b"17", 17), (b"-1", -1), (b"x", -1)):
            offset = self.directory.end + (1 << 41)
            self.directory.advance_end(offset)
            self.directory.apply(Entry(offset, boot_key(B), value))
            self.assertEqual(self.directory.known_table_of(B), expected)
        self.assertEqual(self.directory.known_table_of(A), -1)


class ReadLeaseTests(unittest.TestCase):
    def test_it_is_not_renewed_while_the_table_is_not_in_the_store(self):
        # Guards against: a copy without the record that marks this owner as lost
        # renewed its lease.
        is_restoring = False
        lease = ReadLease(lambda: not is_restoring)
        lease.confirm(5.0)
        is_restoring = True
        lease.confirm(9.0)
        self.assertEqual(lease.age_s(9.0), 4.0)


class WitnessTests(unittest.TestCase):
    def test_a_vote_binds_until_its_outcome_is_known_across_a_restore(self):
        # Guards against: a witness renewed an owner that its vote had replaced, because
        # the log of the new epoch was beyond the vote.
        witness = RangeWitness(B, 0.0)
        witness.boot_offset = 2
        table = KeyTable.divided([Claim(A, "i@1")]).with_witnesses(A, (B,))
        witness.update_from_table(0.0, table)
        self.assertTrue(witness.vote_to_replace(9.0, A, 7))
        witness.begin_epoch()
        self.assertFalse(witness.has_boot_record(position(1, 3)))
        witness.boot_offset = position(1, 2)
        end = position(1, 3)
        self.assertFalse(witness.try_renew(9.1, A, end, 7))
        self.assertTrue(witness.try_renew(9.2, A, end, end))

    def test_witnesses_that_could_not_answer_are_not_dropped(self):
        lease = WitnessedLease(0.0)
        lease.set_witnesses(0.0, (B,))
        self.assertEqual(lease.unresponsive(2.0, 1.0), [B])
        lease.excuse_witnesses(2.0)
        self.assertEqual(lease.unresponsive(2.5, 1.0), [])


class TableRestoreTests(unittest.TestCase):
    """When the table is due again; A is the local daemon, D has no keys."""

    def setUp(self):
        self.directory = KeyDirectory()
        self.restore = TableRestore("s", self.directory)
        table = KeyTable.divided([Claim(each, "i@1") for each in (A, B, C)])
        for owner in (A, B, C):
            others = tuple(each for each in (A, B, C) if each != owner)
            table = table.with_witnesses(owner, (*others, D))
        for offset, address in enumerate((A, B, C, D)):
            self.put(offset, member_key(address), encode_member(MEMBER))
        self.put(8, table_key("s"), encode_table(table))
        self.directory.advance_end(9)
        self.assertIsNone(self.due(0.0, restoring=False))
        self.directory.begin_epoch(1)
        self.offset = 0

    def put(self, offset: int, key: str, value: bytes) -> None:
        self.directory.apply(Entry(offset, key, value))

    @property
    def table(self) -> KeyTable:
        return self.directory.table_by_service["s"]

    def due(self, now: float, restoring: bool = True) -> KeyTable | None:
        self.assertEqual(self.directory.is_restoring("s"), restoring)
        return self.restore.due(now, self.table) if restoring else None

    def boot(self, *addresses: str, known: int = 8) -> None:
        for address in addresses:
            at = position(1, self.offset)
            self.put(at, boot_key(address), encode_known_table(known))
            self.offset += 1

    def test_it_is_due_at_once_when_all_have_named_a_table(self):
        self.assertIsNone(self.due(10.0))
        self.boot(A, B, C)
        self.assertIsNone(self.due(10.1))
        self.boot(D, known=4)
        restored = self.due(10.2)
        self.assertEqual(restored.spans, self.table.spans)
        self.assertEqual(restored.next_fence, self.table.next_fence | 1 << FENCE_BITS)

    def test_a_newer_table_than_the_local_one_prevents_it(self):
        # Guards against: the key of a lost table change goes back to its former owner.
        self.boot(A, B, C)
        self.boot(D, known=9)
        self.assertIsNone(self.due(10.0))
        self.assertIsNone(self.due(10.0 + RESTORE_SETTLE_S + 0.1))

    def test_a_restarted_daemon_has_to_outwait_what_it_granted_before(self):
        # Guards against: a target holds keys by the grant of a process that is gone.
        self.boot(A, B, C)
        self.boot(D, known=-1)
        self.assertIsNone(self.due(10.0))
        self.assertIsNone(self.due(10.0 + RESTORE_SETTLE_S - 0.1))
        restored = self.due(10.01 + RESTORE_SETTLE_S)
        fences = [span.fence >> FENCE_BITS for span in restored.spans]
        self.assertEqual(fences, [1, 1, 1])

    def test_a_silent_owner_has_no_lease_once_its_witnesses_have_booted(self):
        self.assertIsNone(self.due(10.0))
        self.boot(A, C)
        self.assertIsNone(self.due(11.0))
        self.assertIsNone(self.due(10.0 + RESTORE_SETTLE_S + 0.1))
        restored = self.due(11.01 + RESTORE_SETTLE_S)
        self.assertEqual([each.owner for each in restored.spans], [A, B, C])
        self.assertGreater(restored.spans[0].fence, self.table.next_fence)

    def test_a_silent_owner_with_silent_witnesses_keeps_its_keys_for_a_lease(self):
        # Guards against: an owner cut off with its witnesses holds keys of a new one.
        self.assertIsNone(self.due(10.0))
        self.boot(A)
        self.assertIsNone(self.due(10.0 + takeover_wait_s() - 0.1))
        self.assertIsNotNone(self.due(10.01 + takeover_wait_s()))

    def test_a_member_that_is_gone_is_not_waited_for_but_renews_the_fences(self):
        gone = Member("s", "d", "r", "", 1, TargetState.GONE)
        self.put(position(1, 50), member_key("10.0.0.9:1"), encode_member(gone))
        self.boot(A, B, C, D)
        restored = self.due(10.0)
        self.assertGreater(restored.spans[0].fence, self.table.next_fence)

    def test_new_fences_keep_spans_apart_and_in_order(self):
        restored = self.table.in_epoch(1, renews_fences=True)
        before = [(each.first, each.last, each.fence) for each in self.table.spans]
        after = [
            (each.first, each.last, each.fence - (1 << FENCE_BITS))
            for each in restored.spans
        ]
        self.assertEqual(after, before)
        again = restored.in_epoch(2, renews_fences=True)
        self.assertEqual(again.spans[0].fence >> FENCE_BITS, 2)

    def test_a_first_table_waits_for_every_lease_that_could_exist(self):
        # Guards against: a restarted daemon founds a table beside one that it lacks.
        self.assertFalse(self.restore.may_found(10.0))
        wait_s = takeover_wait_s() + RESTORE_SETTLE_S
        self.assertFalse(self.restore.may_found(10.0 + wait_s - 0.1))
        self.assertTrue(self.restore.may_found(10.01 + wait_s))

    # A service that was divided by key long after a restore had no owners for 16 s.
    def test_the_wait_counts_from_when_the_epoch_was_learned_of(self):
        directory = KeyDirectory()
        directory.begin_epoch(1)
        restore = TableRestore("new", directory)
        restore.begin_epoch(10.0)
        wait_s = takeover_wait_s() + RESTORE_SETTLE_S
        self.assertFalse(restore.may_found(10.0 + 0.9 * wait_s))
        self.assertTrue(restore.may_found(11.0 + wait_s))

    def test_a_first_table_needs_no_wait_if_the_store_was_never_restored(self):
        restore = TableRestore("s", KeyDirectory())
        self.assertTrue(restore.may_found(0.0))


class FakeStore:
    def __init__(self):
        self.appends: list[tuple] = []

    def append(self, topic, key, value, at, on_done):
        self.appends.append((topic, key, value, at, on_done))


class PublisherTests(unittest.TestCase):
    """A daemon whose member record and boot record are in the log of epoch 0."""

    def setUp(self):
        self.store = FakeStore()
        self.directory = KeyDirectory()
        self.directory.apply(Entry(0, member_key(A), encode_member(MEMBER)))
        table = KeyTable.divided([Claim(A, "i@1")])
        self.directory.apply(Entry(6, table_key("s"), encode_table(table)))
        self.directory.advance_end(9)
        self.range_witness = RangeWitness(A, 0.0)
        self.range_witness.boot_offset = 3
        self.change = None
        reconciler = SimpleNamespace(
            is_blocked=lambda now: False,
            propose=lambda now: self.change,
            record_pending_write=lambda now, change, at: None,
        )
        self.timers = TimerService()
        self.written: list[Entry] = []
        self.reads: list[float] = []
        self.publisher = RecordPublisher(
            A,
            "s",
            self.store,
            self.directory,
            reconciler,
            SimpleNamespace(due=lambda now: None),
            ReadLease(),
            self.range_witness,
            self.timers,
            random.Random(1),
            lambda now, entry, reason: self.written.append(entry),
            self.reads.append,
        )
        self.publisher.by_key = True

    def begin_epoch(self) -> None:
        self.directory.begin_epoch(1)
        self.range_witness.begin_epoch()

    def write(self, now: float) -> tuple:
        count = len(self.store.appends)
        self.publisher.write_due(now, MEMBER)
        self.assertEqual(len(self.store.appends), count + 1)
        return self.store.appends[-1]

    def write_own_records(self) -> None:
        for offset in (0, 1):
            self.timers.advance_to(10.0)
            *_, on_done = self.write(10.0)
            on_done(Appended(position(1, offset)))

    # Guards against: daemons that start and take the late record of another process for
    # this one, as they get the newest record of each key.
    def test_a_member_record_that_a_late_one_follows_is_written_again(self):
        former = Member("former", "d", "r", "h@1", 9, TargetState.READY)
        late = encode_member(former, MemberVersion(2, 8))
        own = encode_member(MEMBER, MemberVersion(9, 1))
        self.directory.apply_next(Entry(9, member_key(A), own))
        self.publisher.write_due(9.0, MEMBER)
        self.assertEqual(self.store.appends, [])
        self.directory.apply_next(Entry(10, member_key(A), late))
        *_, value, _, on_done = self.write(9.0)
        self.assertEqual(decode_member(value).version, MemberVersion(11, 1))
        on_done(Appended(11))
        self.publisher.write_due(9.5, MEMBER)
        self.assertEqual(len(self.store.appends), 1)

    def test_each_member_record_has_a_higher_version(self):
        # Also above that of a process that knew as much of the log, or says so.
        self.directory.apply(Entry(8, member_key(A), b""))
        *_, on_done = self.write(9.0)
        on_done(Appended(9))
        for known in (MemberVersion(9, 70), MemberVersion(1 << 50, 3)):
            with self.subTest(known=known):
                gone = Member("s", "d", "r", "i@1", 9, TargetState.GONE)
                offset = self.directory.end
                entry = Entry(offset, member_key(A), encode_member(gone, known))
                self.directory.apply_next(entry)
                *_, value, _, on_done = self.write(9.0)
                self.assertEqual(decode_member(value).version, known.next)
                on_done(Appended(offset + 1))
                self.assertEqual(self.directory.member_by_address[A], MEMBER)

    def test_each_epoch_has_a_topic_of_its_own(self):
        self.assertEqual(directory_topic(0), TOPIC)
        self.assertEqual(directory_topic(2), f"{TOPIC}.2")

    def test_member_and_boot_record_are_written_again_once(self):
        self.publisher.write_due(9.0, MEMBER)
        self.assertEqual(self.store.appends, [])
        self.begin_epoch()
        self.write_own_records()
        topics = {topic for topic, *_ in self.store.appends}
        records = [(key, value, at) for _, key, value, at, _ in self.store.appends]
        self.assertEqual(topics, {directory_topic(1)})
        value = encode_member(MEMBER, MemberVersion(9, 1))
        member = (member_key(A), value, None)
        self.assertEqual(records, [member, (boot_key(A), b"6", None)])
        self.publisher.write_due(10.0, MEMBER)
        self.assertEqual(len(self.store.appends), 2)

    def test_an_answer_that_comes_after_a_restore_counts_for_nothing(self):
        # Guards against: a record in a log that is not followed counts as written.
        leaving = Member("s", "d", "r", "i@1", 9, TargetState.LEAVING)
        for result in (Appended(9), Conflict()):
            self.publisher.write_due(9.0, leaving)
            *_, on_done = self.store.appends[-1]
            self.begin_epoch()
            on_done(result)
            self.assertEqual((self.written, self.reads), ([], []))
            self.publisher.write_due(9.0, leaving)
            self.assertEqual(self.store.appends[-1][0], directory_topic(1))
            self.setUp()

    # An append left without an answer when the store went away held up the boot
    # record, without which a daemon has no lease.
    def test_a_write_to_the_log_before_the_restore_holds_up_nothing(self):
        leaving = Member("s", "d", "r", "i@1", 9, TargetState.LEAVING)
        self.publisher.write_due(9.0, leaving)
        *_, late_answer = self.store.appends[-1]
        self.begin_epoch()
        self.publisher.write_due(9.1, leaving)
        self.assertEqual(len(self.store.appends), 2)
        late_answer(Appended(9))
        self.publisher.write_due(9.2, leaving)
        self.assertEqual(len(self.store.appends), 2)

    def test_no_table_is_written_before_the_new_log_was_read_to_its_end(self):
        self.begin_epoch()
        self.write_own_records()
        self.change = SimpleNamespace(
            table=self.directory.table_by_service["s"], reason="restore"
        )
        self.publisher.write_due(10.0, MEMBER)
        self.assertEqual(len(self.store.appends), 2)
        self.directory.advance_end(position(1, 2))
        _, key, _, at, _ = self.write(10.0)
        self.assertEqual((key, at), (table_key("s"), position(1, 2)))

    def test_the_log_is_read_if_records_before_the_boot_record_are_missing(self):
        self.begin_epoch()
        self.write_own_records()
        self.publisher.write_due(10.1, MEMBER)
        self.assertEqual(self.reads, [])
        self.publisher.write_due(10.1 + BOOT_READ_DELAY_S, MEMBER)
        self.assertEqual(len(self.reads), 1)

    def test_the_log_is_not_read_if_all_records_have_arrived(self):
        self.begin_epoch()
        self.write_own_records()
        self.directory.advance_end(position(1, 2))
        self.publisher.write_due(10.1 + BOOT_READ_DELAY_S, MEMBER)
        self.assertEqual(self.reads, [])

    # After the loss of all daemons, most of what they push is lost: the gap was closed
    # only by the next read, 2 to 4 s later.
    def test_the_log_is_read_after_a_start_too(self):
        self.publisher._range_witness.boot_offset = None
        self.publisher._write_boot_record(9.0, "started")
        self.store.appends[-1][-1](Appended(self.directory.end + 3))
        self.publisher.write_due(9.0 + BOOT_READ_DELAY_S, MEMBER)
        self.assertEqual(len(self.reads), 1)
        self.publisher.write_due(9.0 + 3 * BOOT_READ_DELAY_S, MEMBER)
        self.assertEqual(len(self.reads), 2)
