from __future__ import annotations

import unittest

import msgspec

from rhubarbhall.core.directory import Directory
from rhubarbhall.core.members import EndReason
from rhubarbhall.core.records import (
    SCHEMA,
    DeclareLost,
    Envelope,
    Failover,
    IntentRecord,
    Join,
    Leave,
    Move,
    Resume,
    Retire,
    StoredRecord,
    Verdict,
    Witnesses,
    make_envelope,
)
from rhubarbhall.core.snapshots import (
    SnapshotScan,
    encode_directory,
    restore_directory,
    split_snapshot,
)

DOCUMENT = {"services": {"s": {"targets": "app=s", "slices": 16}}}


class Log:
    """A log whose records are applied to a directory as they are added."""

    def __init__(self) -> None:
        self.directory = Directory()
        self.stored: list[StoredRecord] = []

    def add(self, record, record_id: str | None = None):
        name = record_id or f"r{len(self.stored)}"
        return self.add_envelope(make_envelope(name, record))

    def add_envelope(self, envelope: Envelope):
        stored = StoredRecord(len(self.stored), envelope)
        self.stored.append(stored)
        return self.directory.apply(stored)

    def join(self, name: str, **changes):
        join = Join(name, f"{name}:1", f"{name}:2", "r", f"d-{name}", {"app": "s"})
        return self.add(msgspec.structs.replace(join, **changes))

    def owners(self) -> set[str | None]:
        return {self.directory.owner_of("s", index) for index in range(16)}


class DirectoryTests(unittest.TestCase):
    def setUp(self):
        self.log = Log()
        for name in "abc":
            self.log.join(name)
        self.log.add(IntentRecord(0, DOCUMENT))

    def set_witnesses(self, member: str, *witnesses: str):
        """Give a member its witnesses one at a time."""
        directory = self.log.directory
        for count in range(1, len(witnesses) + 1):
            version = directory.member_by_id[member].witness_version
            applied = self.log.add(Witnesses(member, witnesses[:count], version))
            self.assertIsNone(applied.void)

    def test_new_slices_get_owners_at_once(self):
        self.assertNotIn(None, self.log.owners())

    def test_a_repeated_append_has_no_second_effect(self):
        envelope = make_envelope("once", IntentRecord(1, DOCUMENT))
        self.assertIsNone(self.log.add_envelope(envelope).void)
        self.assertEqual(self.log.add_envelope(envelope).void, "repeated append")
        self.assertEqual(self.log.directory.intent_version, 2)

    def test_the_first_of_two_racing_intents_takes_effect(self):
        self.assertIsNone(self.log.add(IntentRecord(1, DOCUMENT)).void)
        void = self.log.add(IntentRecord(1, {"services": {}})).void
        self.assertIn("intent is at version 2, not 1", void)
        self.assertIn("s", self.log.directory.intent.services)

    def test_an_invalid_intent_changes_nothing(self):
        bad = {"services": {"s": {"targets": "app=s", "slices": 0}}}
        self.assertIn("not valid", self.log.add(IntentRecord(1, bad)).void)
        self.assertEqual(self.log.directory.intent_version, 1)

    def test_the_slice_count_of_a_service_cannot_change(self):
        other = {"services": {"s": {"targets": "app=s", "slices": 8}}}
        self.assertIn("cannot change", self.log.add(IntentRecord(1, other)).void)

    def test_a_service_that_is_added_again_keeps_its_owners(self):
        before = [self.log.directory.owner_of("s", n) for n in range(16)]
        self.log.add(IntentRecord(1, {}))
        self.assertNotIn("s", self.log.directory.table_by_service)
        departed = before[0]
        self.log.add(Leave(departed))
        self.log.add(IntentRecord(2, DOCUMENT))
        for index, owner in enumerate(before):
            now = self.log.directory.owner_of("s", index)
            if owner == departed:
                self.assertNotIn(now, (None, departed))
            else:
                self.assertEqual(now, owner)

    def test_an_unknown_kind_is_kept_and_has_no_effect(self):
        unknown = Envelope("x", SCHEMA, msgspec.Raw(b'{"kind":"parade","of":"ants"}'))
        self.assertIsNone(self.log.add_envelope(unknown).void)
        self.assertEqual(self.log.directory.next_offset, 5)

    def test_a_newer_schema_is_recorded(self):
        newer = Envelope("x", SCHEMA + 1, msgspec.Raw(b'{"kind":"join"}'))
        self.log.add_envelope(newer)
        self.assertEqual(self.log.directory.newest_schema, SCHEMA + 1)

    def test_records_apply_only_in_order(self):
        with self.assertRaises(ValueError):
            self.log.directory.apply(StoredRecord(99, make_envelope("x", Leave("a"))))

    def test_a_leave_gives_the_slices_to_others(self):
        applied = self.log.add(Leave("a"))
        self.assertEqual(applied.closed, ("a",))
        self.assertEqual(self.log.owners(), {"b", "c"})

    def test_a_retiring_member_gets_no_new_slices(self):
        self.log.add(Retire("b"))
        self.log.add(Leave("a"))
        owners = [self.log.directory.owner_of("s", n) for n in range(16)]
        moved = [n for n in range(16) if self.log.directory.epoch_of("s", n) == 2]
        self.assertTrue(moved)
        self.assertEqual({owners[n] for n in moved}, {"c"})

    def test_a_failover_needs_a_majority_of_the_current_witness_set(self):
        self.set_witnesses("a", "b", "c")
        directory = self.log.directory
        version = directory.member_by_id["a"].witness_version
        for verdict in (
            Verdict("a", version, ("b",)),
            Verdict("a", version - 1, ("b", "c")),
            Verdict("a", version, ("b", "stranger")),
            Verdict("b", 0, ()),
        ):
            with self.subTest(verdict=verdict):
                void = self.log.add(Failover((verdict,))).void
                self.assertEqual(void, "no verdict in it holds good")
        good = Failover((Verdict("a", version, ("b", "c")), Verdict("b", 9, ("c",))))
        self.assertEqual(self.log.add(good).closed, ("a",))
        self.assertIs(directory.closed_by_id["a"].reason, EndReason.FAILED_OVER)

    def test_a_resume_voids_the_promises_before_it(self):
        self.set_witnesses("a", "b")
        version = self.log.directory.member_by_id["a"].witness_version
        self.assertIsNone(self.log.add(Resume("a")).void)
        stale = Failover((Verdict("a", version, ("b",)),))
        self.assertIsNotNone(self.log.add(stale).void)

    def test_a_closed_member_cannot_resume(self):
        self.log.add(Leave("a"))
        self.assertIn("not live", self.log.add(Resume("a")).void)

    def test_a_witness_set_changes_by_one_at_a_time(self):
        void = self.log.add(Witnesses("a", ("b", "c"), 0)).void
        self.assertIn("one witness at a time", void)
        self.set_witnesses("a", "b", "c")
        self.assertIn("at version 2", self.log.add(Witnesses("a", ("b",), 0)).void)
        swapped = self.log.add(Witnesses("a", ("b", "d"), 2))
        self.assertIn("one witness at a time", swapped.void)
        self.assertIsNone(self.log.add(Witnesses("a", ("b",), 2)).void)
        self.log.add(Leave("c"))
        self.assertIn("not live", self.log.add(Witnesses("a", ("b", "c"), 3)).void)

    def test_a_member_cannot_be_its_own_witness(self):
        self.assertIsNotNone(self.log.add(Witnesses("a", ("a",), 0)).void)

    def test_a_restart_closes_the_earlier_run_and_a_late_join_is_void(self):
        slot = {"calls": "vm9:1", "boot": "boot-9"}
        self.log.join("first", started_at=10.0, **slot)
        applied = self.log.join("second", started_at=20.0, **slot)
        self.assertEqual(applied.closed, ("first",))
        late = self.log.join("between", started_at=15.0, **slot)
        self.assertIn("second is a later run", late.void)
        other_boot = self.log.join("other", calls="vm9:1", boot="boot-10")
        self.assertEqual(other_boot.closed, ())
        unknown_boot = self.log.join("unknown", calls="vm9:1", boot="")
        self.assertEqual(unknown_boot.closed, ())
        self.assertIn("joined before", self.log.join("a").void)

    def test_a_move_keeps_owners_that_may_not_have_stopped(self):
        index = next(n for n in range(16) if self.log.directory.owner_of("s", n) == "a")
        directory = self.log.directory
        self.log.add(Move("s", "a", ((index, 1, "b"),), True))
        self.log.add(Move("s", "b", ((index, 2, "c"),), False))
        self.assertEqual(directory.owner_of("s", index), "c")
        self.assertEqual(directory.predecessors_of("s", index), ("a", "b"))
        self.log.add(DeclareLost(("a",)))
        self.assertEqual(directory.predecessors_of("s", index), ("b",))
        self.log.add(Move("s", "c", ((index, 3, "b"),), True))
        self.assertEqual(directory.predecessors_of("s", index), ("c",))

    def test_a_move_with_a_wrong_owner_epoch_target_or_slice_is_void(self):
        index = next(n for n in range(16) if self.log.directory.owner_of("s", n) == "a")
        for move in (
            Move("s", "b", ((index, 1, "c"),), True),
            Move("s", "a", ((index, 7, "c"),), True),
            Move("s", "a", ((index, 1, "nobody"),), True),
            Move("t", "a", ((index, 1, "c"),), True),
            Move("s", "a", ((99, 1, "c"),), True),
        ):
            with self.subTest(move=move):
                self.assertIsNotNone(self.log.add(move).void)

    def test_the_last_member_leaves_its_slices_unowned_until_a_join(self):
        for name in "abc":
            self.log.add(Leave(name))
        self.assertEqual(self.log.owners(), {None})
        self.log.join("d")
        self.assertEqual(self.log.owners(), {"d"})


class SnapshotTests(unittest.TestCase):
    def setUp(self):
        self.log = Log()
        for name in "abc":
            self.log.join(name)
        self.log.add(IntentRecord(0, DOCUMENT))
        self.log.add(Witnesses("a", ("b",), 0))
        self.log.add(Leave("c"))

    def test_a_snapshot_and_later_records_equal_the_whole_log(self):
        restored = Directory()
        self.assertTrue(
            restore_directory(restored, encode_directory(self.log.directory))
        )
        for record in (Retire("b"), Leave("a"), IntentRecord(1, DOCUMENT)):
            self.log.add(record)
            restored.apply(self.log.stored[-1])
        self.assertEqual(
            encode_directory(restored), encode_directory(self.log.directory)
        )

    def test_an_older_snapshot_is_not_restored(self):
        old = encode_directory(self.log.directory)
        self.log.add(Retire("b"))
        self.assertFalse(restore_directory(self.log.directory, old))
        self.assertTrue(self.log.directory.member_by_id["b"].retiring)

    def test_invalid_snapshot_data_is_rejected(self):
        with self.assertRaises(ValueError):
            restore_directory(Directory(), b"nonsense")

    def test_a_snapshot_is_found_after_the_log_was_trimmed(self):
        covers = self.log.directory.next_offset
        for chunk in split_snapshot(self.log.directory):
            self.log.add(chunk)
        self.log.add(Retire("b"))
        kept = self.log.stored[covers:]
        scan = SnapshotScan(covers)
        snapshot = scan.take(tuple(kept))
        restored = Directory()
        self.assertTrue(restore_directory(restored, snapshot))
        self.assertEqual(restored.next_offset, covers)

    def test_a_snapshot_without_all_later_records_is_skipped(self):
        chunks = split_snapshot(self.log.directory)
        self.log.add(Retire("b"))
        first = len(self.log.stored)
        for chunk in chunks:
            self.log.add(chunk)
        self.assertIsNone(SnapshotScan(first).take(tuple(self.log.stored[first:])))
