"""When a daemon asks a peer for records that it lacks."""

from __future__ import annotations

import unittest

from rhubarbhall.programs.router_peers import PUSH_GRACE_S, RecordGap


class RecordGapTests(unittest.TestCase):
    def test_a_record_on_its_way_is_not_asked_for(self):
        gap = RecordGap()
        self.assertFalse(gap.lasts(10.0, 5, 6))
        self.assertFalse(gap.lasts(10.1, 6, 6))

    def test_a_record_that_does_not_come_is_asked_for(self):
        gap = RecordGap()
        gap.lasts(10.0, 5, 6)
        self.assertTrue(gap.lasts(10.0 + PUSH_GRACE_S + 0.01, 5, 6))

    def test_progress_begins_the_wait_anew(self):
        gap = RecordGap()
        gap.lasts(10.0, 5, 9)
        self.assertFalse(gap.lasts(10.4, 6, 9))

    def test_progress_of_the_directory_does_not_hide_a_missing_configuration(self):
        directory, configuration = RecordGap(), RecordGap()
        answers = []
        for step in range(10):
            now = 10.0 + step / 10
            directory.lasts(now, 100 + step, 101 + step)
            answers.append(configuration.lasts(now, 3, 4))
        self.assertTrue(answers[-1])
