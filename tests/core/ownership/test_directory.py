"""Which member record of an address counts, in whatever order records are written."""

from __future__ import annotations

import itertools
import unittest

import msgspec

from rhubarbhall.core.ownership.directory import KeyDirectory
from rhubarbhall.core.ownership.entries import Entry
from rhubarbhall.core.ownership.records import (
    Member,
    MemberVersion,
    TargetState,
    decode_member,
    encode_member,
    member_key,
)

A = "10.0.0.1:1"
READY = Member("s", "d", "r", "i@1", 9, TargetState.READY)
LEAVING = Member("s", "d", "r", "i@1", 9, TargetState.LEAVING, True)
OTHER_SERVICE = Member("former", "d", "r", "h@1", 9, TargetState.READY)


def record(
    offset: int, member: Member, version: tuple[int, int] | None = None, key: str = A
) -> Entry:
    known = None if version is None else MemberVersion(*version)
    return Entry(offset, member_key(key), encode_member(member, known))


class EarlierMember(msgspec.Struct, frozen=True, array_like=True):
    """A member record as builds without versions read it."""

    service: str
    domain: str
    region: str
    run: str = ""
    slots: int = 1
    state: TargetState = TargetState.GONE
    leaves: bool = False


class MemberOrderTests(unittest.TestCase):
    def known(self, *entries: Entry) -> Member | None:
        """Return the member that counts once the entries have arrived."""
        self.directory = KeyDirectory()
        for entry in entries:
            self.directory.apply(entry)
        return self.directory.member_by_address.get(A)

    # Guards against: a record of a process that has ended, written late, that counts
    # for the process which uses the address now.
    def test_a_late_record_of_an_earlier_process_does_not_count(self):
        former = record(3, OTHER_SERVICE, (10, 4))
        present = record(20, READY, (15, 1))
        late = record(21, OTHER_SERVICE, (10, 5))
        self.assertEqual(self.known(former, present, late), READY)
        self.assertTrue(self.directory.is_overwritten(A))

    # Guards against: a target in use again, as the record from before it left was
    # written late.
    def test_a_late_record_of_the_same_process_does_not_count(self):
        leaving, late = record(20, LEAVING, (15, 2)), record(21, READY, (15, 1))
        self.assertEqual(self.known(leaving, late), LEAVING)

    def test_the_order_of_arrival_makes_no_difference(self):
        entries = (
            record(5, OTHER_SERVICE, (1, 1)),
            record(20, READY, (15, 1)),
            record(21, LEAVING, (15, 2)),
            record(24, OTHER_SERVICE, (1, 2)),
        )
        for arrived in itertools.permutations(entries):
            self.assertEqual(self.known(*arrived), LEAVING)
            self.assertTrue(self.directory.is_overwritten(A))

    # Guards against: daemons that started while a late record was the newest one, and
    # keep it although the process at the address writes again.
    def test_a_daemon_that_knows_only_the_late_record_takes_the_next_one(self):
        late, again = record(21, OTHER_SERVICE, (10, 5)), record(22, READY, (15, 2))
        self.assertEqual(self.known(late, again), READY)
        self.assertFalse(self.directory.is_overwritten(A))

    def test_a_peer_is_given_the_record_that_counts_beside_a_late_one(self):
        self.known(record(20, READY, (15, 1)), record(21, OTHER_SERVICE, (10, 5)))
        given = self.directory.entries_from(20)
        self.assertEqual([entry.offset for entry in given], [20, 21])
        self.assertEqual(self.known(*given), READY)

    def test_a_record_that_cannot_be_read_counts_as_overwriting(self):
        entry = Entry(21, member_key(A), b"nonsense")
        self.assertEqual(self.known(record(20, READY, (15, 1)), entry), READY)
        self.assertTrue(self.directory.is_overwritten(A))

    def test_versions_that_no_process_writes_are_refused(self):
        fields = msgspec.msgpack.decode(encode_member(READY, MemberVersion(1, 1)))
        for version in ([-1, 1], [1, -1], [1 << 63, 1], ["1", 1]):
            data = msgspec.msgpack.encode([*fields[:-2], *version])
            with self.subTest(version=version), self.assertRaises(ValueError):
                decode_member(data)


class EarlierBuildTests(unittest.TestCase):
    """Daemons with and without versions in their records run beside each other."""

    def setUp(self):
        self.directory = KeyDirectory()

    def assert_counts(self, member: Member, entry: Entry) -> None:
        self.directory.apply(entry)
        self.assertEqual(self.directory.member_by_address[A], member)
        self.assertFalse(self.directory.is_overwritten(A))

    def test_an_address_that_is_upgraded_set_back_and_upgraded_again(self):
        self.assert_counts(READY, record(1, READY))
        self.assert_counts(LEAVING, record(2, LEAVING))
        self.assert_counts(READY, record(3, READY, (3, 1)))
        self.assert_counts(LEAVING, record(4, LEAVING, (3, 2)))
        self.assert_counts(READY, record(5, READY))
        self.assert_counts(LEAVING, record(6, LEAVING, (5, 1)))

    def test_earlier_builds_read_records_with_versions(self):
        data = encode_member(LEAVING, MemberVersion(1 << 41, 7))
        earlier = msgspec.msgpack.decode(data, type=EarlierMember)
        self.assertEqual(
            msgspec.structs.astuple(earlier), msgspec.structs.astuple(LEAVING)
        )

    def test_records_without_versions_are_as_they_were(self):
        fields = msgspec.structs.astuple(LEAVING)
        self.assertEqual(encode_member(LEAVING), msgspec.msgpack.encode(fields))
        self.assertEqual(decode_member(encode_member(LEAVING)).member, LEAVING)
