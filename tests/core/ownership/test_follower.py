"""Reading a topic of the store, and the directory built from its records."""

from __future__ import annotations

import random
import unittest

from rhubarbhall.core.ownership.directory import KeyDirectory
from rhubarbhall.core.ownership.entries import Entry
from rhubarbhall.core.ownership.follower import MAX_BACKOFF_S, TopicFollower
from rhubarbhall.core.ownership.store_port import (
    NO_WAIT,
    LongPoll,
    NewestPage,
    Tail,
    Trimmed,
    Unavailable,
)
from rhubarbhall.core.timers import TimerService


class FakeStore:
    def __init__(self):
        self.calls: list[tuple] = []
        self.topics: list[str] = []

    def read_newest(self, topic, after, on_done):
        self.topics.append(topic)
        self.calls.append(("newest", after, on_done))

    def read_tail(self, topic, offset, poll, on_done):
        self.calls.append(("tail", offset, on_done))

    def answer(self, result) -> None:
        self.calls[-1][2](result)


class FollowerTests(unittest.TestCase):
    def setUp(self):
        self.store = FakeStore()
        self.timers = TimerService()
        self.entries: list[Entry] = []
        self.complete: list[tuple] = []
        self.contact: list[bool] = []
        self.follower = TopicFollower(
            self.store,
            "t",
            self.timers,
            lambda now: NO_WAIT,
            2.0,
            lambda now, entries: self.entries.extend(entries),
            lambda now, sent_at, end: self.complete.append((sent_at, end)),
            lambda reachable, reason: self.contact.append(reachable),
            random.Random(1),
        )
        self.follower.start(0.0)

    def restart_later(self) -> None:
        """Restart a loaded follower that needs no read now."""
        self.load_directory()
        self.needed = False
        self.follower._needs_read = lambda now: self.needed
        self.follower.restart(1.0, "t.1", at_once=False)

    # After a restore all daemons read the whole configuration at the same moment,
    # although a few read it for the others.
    def test_a_restart_that_can_wait_reads_only_once_a_read_is_needed(self):
        self.restart_later()
        calls = len(self.store.calls)
        self.fire_timers(4.0)
        self.assertEqual(len(self.store.calls), calls)
        self.needed = True
        self.fire_timers(5.0)
        self.assertEqual(self.store.calls[calls:][0][:2], ("newest", None))
        self.assertEqual(self.store.topics[-1], "t.1")

    def test_the_answer_to_a_read_before_such_a_restart_is_ignored(self):
        self.store.answer(NewestPage((Entry(3, "k", b"v"),), None, 5))
        on_tail = self.store.calls[-1][2]
        self.follower.restart(1.0, "t.1", at_once=False)
        on_tail(Tail((Entry(5, "late", b""),), 6, 6))
        self.assertEqual([entry.key for entry in self.entries], ["k"])

    def fire_timers(self, now: float) -> None:
        for event in list(self.timers.due(now)):
            event.fire(now)

    def load_directory(self) -> None:
        self.store.answer(NewestPage((Entry(3, "k", b"v"),), None, 5))
        self.store.answer(Tail((), 5, 5))

    def test_pages_then_the_tail_from_the_end_of_the_first_page(self):
        self.store.answer(NewestPage((Entry(3, "a", b""),), "a", 5))
        self.assertEqual(self.store.calls[-1][:2], ("newest", "a"))
        self.store.answer(NewestPage((Entry(7, "b", b""),), None, 8))
        self.assertEqual(self.store.calls[-1][:2], ("tail", 5))

    def test_it_is_complete_only_at_the_end_of_the_log(self):
        self.store.answer(NewestPage((), None, 5))
        self.store.answer(Tail((Entry(5, "a", b""),), 6, 7))
        self.assertEqual(self.complete, [])
        self.store.answer(Tail((Entry(6, "b", b""),), 7, 7))
        self.assertEqual([end for _, end in self.complete], [7])

    # 336 reads of 40 KB in a day with faults: nearly all records were known by pushes.
    def test_a_read_begins_after_the_records_that_peers_have_pushed(self):
        self.load_directory()
        known_end = 9
        self.follower._known_end = lambda: known_end
        self.fire_timers(2.0)
        self.assertEqual(self.store.calls[-1][:2], ("tail", 9))
        self.store.answer(Tail((Entry(9, "a", b""),), 10, 10))
        self.assertEqual(self.complete[-1], (2.0, 10))

    def test_a_read_begins_at_a_gap_before_records_that_peers_have_pushed(self):
        self.load_directory()
        directory = KeyDirectory()
        directory.advance_end(5)
        self.follower._known_end = lambda: directory.end
        directory.apply_next(Entry(6, "other", b""))
        self.fire_timers(2.0)
        self.assertEqual(self.store.calls[-1][:2], ("tail", 5))

    def test_a_lease_counts_from_when_the_read_was_sent(self):
        self.load_directory()
        self.fire_timers(2.0)
        self.timers.advance_to(2.9)
        self.store.answer(Tail((), 5, 5))
        self.assertEqual(self.complete[-1], (2.0, 5))

    def test_a_restart_reads_another_topic_from_its_newest_records(self):
        # Guards against: a read goes on from an offset of a log that is gone.
        self.load_directory()
        self.fire_timers(2.0)
        late = self.store.calls[-1][2]
        self.follower.restart(2.1, "t.1")
        self.assertEqual(self.store.calls[-1][:2], ("newest", None))
        self.assertEqual(self.store.topics[-1], "t.1")
        late(Tail((Entry(5, "a", b""),), 6, 6))
        self.assertEqual(len(self.complete), 1)
        self.store.answer(NewestPage((), None, 1))
        self.assertEqual(self.store.calls[-1][:2], ("tail", 1))

    def test_after_records_were_deleted_the_newest_are_read_again(self):
        self.load_directory()
        self.fire_timers(2.0)
        self.store.answer(Trimmed())
        self.assertEqual(self.store.calls[-1][0], "newest")

    def test_failed_reads_are_retried_with_growing_pauses(self):
        self.load_directory()
        now = 2.0
        self.fire_timers(now)
        for _ in range(8):
            calls = len(self.store.calls)
            self.store.answer(Unavailable("down"))
            now += 1.3 * MAX_BACKOFF_S
            self.fire_timers(now)
            self.assertEqual(len(self.store.calls), calls + 1)
        self.assertEqual(self.contact, [True, False])

    # Guards against: a store read by nobody any more after an outage of 17 minutes, as
    # the pause became a number that is too large.
    def test_reads_go_on_after_any_number_of_failures(self):
        self.load_directory()
        self.fire_timers(2.0)
        now = 2.0
        for _ in range(1100):
            self.store.answer(Unavailable("down"))
            now += 1.3 * MAX_BACKOFF_S
            self.fire_timers(now)
        self.store.answer(Tail((), 5, 5))
        self.assertEqual(self.contact, [True, False, True])

    # Guards against: a store that answers slowly for a while never read, as each read
    # is given the same short time.
    def test_a_read_after_a_failure_has_more_time_for_its_answer(self):
        polls = []
        self.store.read_tail = lambda topic, offset, poll, on_done: (
            polls.append(poll),
            self.store.calls.append(("tail", offset, on_done)),
        )
        self.follower._poll = lambda now: LongPoll(1.0, 0.5)
        self.load_directory()
        self.fire_timers(2.0)
        now = 2.0
        for _ in range(4):
            self.store.answer(Unavailable("slow"))
            now += 1.3 * MAX_BACKOFF_S
            self.fire_timers(now)
        timeouts = [poll.answer_timeout_s for poll in polls]
        self.assertEqual(timeouts, [0.5, 0.5, 0.5, 1.0, 2.0, 2.5])
        self.assertEqual(
            [poll.hold_s for poll in polls], [0.0, 1.0, 0.0, 0.0, 0.0, 0.0]
        )

    def test_the_answer_to_an_abandoned_read_changes_nothing(self):
        self.load_directory()
        self.fire_timers(2.0)
        old = self.store.calls[-1]
        self.follower.start(2.1)
        old[2](Tail((Entry(9, "x", b""),), 10, 10))
        self.assertEqual([entry.offset for entry in self.entries], [3])

    def test_records_that_are_known_from_elsewhere_are_not_read_again(self):
        fresh = True
        follower = TopicFollower(
            self.store,
            "t",
            self.timers,
            lambda now: NO_WAIT,
            2.0,
            lambda now, entries: None,
            lambda now, sent_at, end: None,
            lambda reachable, reason: None,
            random.Random(1),
            lambda now: not fresh,
        )
        follower.start(0.0)
        self.load_directory()
        calls = len(self.store.calls)
        for half in range(4, 20):
            self.fire_timers(half / 2)
        self.assertEqual(len(self.store.calls), calls)
        fresh = False
        self.fire_timers(10.5)
        self.assertEqual(self.store.calls[-1][:2], ("tail", 5))


class DirectoryTests(unittest.TestCase):
    def test_an_older_record_changes_nothing(self):
        directory = KeyDirectory()
        self.assertIsNone(directory.apply(Entry(5, "boot/x", b"new")))
        directory.apply(Entry(4, "boot/x", b"old"))
        self.assertEqual(directory.entries_from(0)[0].value, b"new")

    def test_an_invalid_record_is_reported_and_the_value_before_it_stays(self):
        directory = KeyDirectory()
        for key in ("member/10.0.0.1:1", "keys/s"):
            rejected = directory.apply(Entry(1, key, b"\xc1nonsense"))
            self.assertIsNotNone(rejected)
        self.assertEqual(directory.table_by_service, {})
        self.assertEqual(directory.member_by_address, {})

    def test_a_record_from_a_peer_advances_the_end_only_without_a_gap(self):
        directory = KeyDirectory()
        directory.advance_end(5)
        directory.apply_next(Entry(7, "boot/x", b"1"))
        self.assertEqual(directory.end, 5)
        directory.apply_next(Entry(5, "boot/y", b"1"))
        self.assertEqual(directory.end, 6)
        directory.apply_next(Entry(6, "boot/z", b"1"))
        self.assertEqual(directory.end, 8)
