"""The state of evacuations is ordered by position, whichever way it arrives."""

from __future__ import annotations

import random
import unittest

from rhubarbhall.core.ownership.evacuations import Evacuations, EvacuationState
from rhubarbhall.core.ownership.store_port import position


class EvacuationsCase(unittest.TestCase):
    def setUp(self):
        self.evacuations = Evacuations()

    @property
    def domains(self) -> set[str]:
        return set(self.evacuations.state.domains)

    def read(self, end: int, *records: tuple[int, str, bool]) -> bool:
        for record in records:
            self.evacuations.record(*record)
        return self.evacuations.complete(end)

    def read_snapshot(self, end: int, *records: tuple[int, str, bool]) -> bool:
        self.evacuations.begin_snapshot()
        return self.read(end, *records)

    def take(self, at: int, *domains: str) -> bool:
        return self.evacuations.take(EvacuationState(at, frozenset(domains)))


class ReadTests(EvacuationsCase):
    def test_nothing_is_known_before_the_end_of_the_topic_is_reached(self):
        self.evacuations.record(2, "d1", True)
        self.assertFalse(self.evacuations.is_known)
        self.evacuations.complete(3)
        self.assertTrue(self.evacuations.is_known)
        self.assertEqual(self.domains, {"d1"})

    def test_an_empty_topic_is_a_known_state(self):
        self.assertFalse(self.read_snapshot(0))
        self.assertTrue(self.evacuations.is_known)

    def test_two_domains_end_one_by_one(self):
        self.read_snapshot(2, (0, "d1", True), (1, "d2", True))
        self.assertTrue(self.read(3, (2, "d1", False)))
        self.assertEqual(self.domains, {"d2"})

    # Guards against: an evacuation without an end, as its record was deleted while this
    # daemon did not read.
    def test_a_domain_that_is_absent_from_the_newest_records_is_taken_back(self):
        self.read_snapshot(1, (0, "d1", True))
        self.assertTrue(self.read_snapshot(9))
        self.assertEqual(self.domains, set())

    # Guards against: an evacuation that pauses while its topic is read again, for which
    # the store may be away.
    def test_the_state_stays_in_force_while_the_topic_is_read_again(self):
        self.read_snapshot(1, (0, "d1", True))
        self.evacuations.begin_snapshot()
        self.assertEqual(self.domains, {"d1"})

    def test_records_of_other_kinds_change_no_position(self):
        self.read_snapshot(1, (0, "d1", True))
        before = self.evacuations.state
        self.assertFalse(self.read(8))
        self.assertEqual(self.evacuations.state, before)


class PeerTests(EvacuationsCase):
    def test_a_late_state_of_a_peer_changes_nothing(self):
        self.read_snapshot(4, (0, "d1", True), (3, "d1", False))
        self.assertFalse(self.take(1, "d1"))
        self.assertEqual(self.domains, set())

    # Guards against: an evacuation that begins again, as a daemon that read only the
    # newest records knows no record of its end.
    def test_a_late_state_changes_nothing_after_a_snapshot_without_its_end(self):
        self.read_snapshot(9)
        self.assertFalse(self.take(4, "d1"))
        self.assertEqual(self.domains, set())

    def test_a_reader_that_lags_behind_a_peer_changes_nothing(self):
        self.read_snapshot(1, (0, "d1", True))
        self.assertTrue(self.take(6, "d2"))
        self.assertFalse(self.read(3, (2, "d3", True)))
        self.assertEqual(self.domains, {"d2"})
        self.assertFalse(
            self.read(6, (3, "d3", False), (4, "d1", False), (5, "d2", True))
        )
        self.assertEqual(self.domains, {"d2"})

    def test_a_state_of_a_restored_store_counts_as_newer(self):
        self.read_snapshot(70, (0, "d1", True))
        self.assertTrue(self.take(position(1, 2), "d2"))
        self.assertFalse(self.take(80, "d1"))
        self.assertEqual(self.domains, {"d2"})


class OrderTests(unittest.TestCase):
    # Guards against: any order in which readers read and states arrive that leaves a
    # daemon with an older state than it has been told of.
    def test_daemons_agree_in_any_order(self):
        for seed in range(300):
            rng = random.Random(seed)
            log = [
                (rng.choice(("d1", "d2", "d3", "")), rng.random() < 0.6)
                for _ in range(12)
            ]
            daemons = [Reader(log) for _ in range(3)]
            for end in range(len(log) + 1):
                for _ in range(4):
                    self.step(rng, daemons, end)
            daemons[0].read(len(log), False)
            for other in daemons[1:]:
                other.take_from(daemons[0])
                with self.subTest(seed=seed):
                    self.assertEqual(
                        other.evacuations.state.domains, daemons[0].truth(len(log))
                    )

    def step(self, rng: random.Random, daemons: list[Reader], end: int) -> None:
        daemon, peer = rng.sample(daemons, 2)
        way = rng.choice(("read", "snapshot", "send", "late"))
        if way in ("read", "snapshot"):
            daemon.read(end, way == "snapshot")
        elif way == "send":
            daemon.take_from(peer)
        elif peer.sent:
            daemon.evacuations.take(rng.choice(peer.sent))
        known = daemon.evacuations
        if known.is_known:
            self.assertEqual(known.state.domains, daemon.truth(known.known_end))


class Reader:
    """A daemon that reads a log of evacuations and their ends; "" is another record."""

    def __init__(self, log: list[tuple[str, bool]]) -> None:
        self.log = log
        self.evacuations = Evacuations()
        self.sent: list[EvacuationState] = []
        self.position: int | None = None

    def truth(self, end: int) -> set[str]:
        newest = dict(self.log[:end])
        return {domain for domain, is_evacuated in newest.items() if is_evacuated} - {
            ""
        }

    def read(self, end: int, anew: bool) -> None:
        if anew or self.position is None:
            self.evacuations.begin_snapshot()
            for domain in self.truth(end):
                offset = max(i for i in range(end) if self.log[i][0] == domain)
                self.evacuations.record(offset, domain, True)
        else:
            for offset, (domain, is_evacuated) in enumerate(self.log[:end]):
                if offset >= self.position and domain:
                    self.evacuations.record(offset, domain, is_evacuated)
        self.position = end
        self.evacuations.complete(end)

    def take_from(self, peer: Reader) -> None:
        if peer.evacuations.is_known:
            peer.sent.append(peer.evacuations.state)
            self.evacuations.take(peer.evacuations.state)
