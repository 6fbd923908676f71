from __future__ import annotations

import os
import unittest

import msgspec

from rhubarbhall.adapters.log_output import (
    LINES_PER_S,
    MAX_BUFFERED_BYTES,
    MAX_BURST_LINES,
    RESERVED_LINES,
    LogOutput,
)


class LogOutputTests(unittest.TestCase):
    def setUp(self):
        self.reading, writing = os.pipe()
        self.addCleanup(os.close, self.reading)
        self.addCleanup(os.close, writing)
        os.set_blocking(self.reading, False)
        self.now = 0.0
        self.log = LogOutput(writing, lambda: self.now)

    def lines(self) -> list[dict]:
        data = b""
        while True:
            try:
                data += os.read(self.reading, 1 << 16)
            except BlockingIOError:
                break
            self.log.flush()
        return [msgspec.json.decode(line) for line in data.splitlines()]

    def test_a_line_for_each_message(self):
        self.log({"code": 1})
        self.assertEqual(self.lines(), [{"code": 1}])

    def test_ordinary_messages_are_dropped_first(self):
        for number in range(int(MAX_BURST_LINES)):
            self.log({"number": number, "ordinary": True})
        self.assertAlmostEqual(
            len(self.lines()), MAX_BURST_LINES - RESERVED_LINES, delta=2
        )
        self.log({"failure": True})
        lines_after = self.lines()
        self.assertIn({"failure": True}, lines_after)
        self.assertIn("count", lines_after[0])

    def test_the_rate_is_limited(self):
        for number in range(5000):
            self.log({"number": number})
        self.now += 2.0
        for number in range(5000):
            self.log({"number": number})
        self.assertLess(len(self.lines()), MAX_BURST_LINES + 2 * LINES_PER_S + 5)

    def test_a_reader_that_takes_nothing_does_not_block(self):
        text = "x" * 4000
        for _ in range(1000):
            self.now += 1.0
            self.log({"text": text})
        self.assertGreater(self.log.dropped, 500)
        self.assertLessEqual(self.log._buffered_bytes, MAX_BUFFERED_BYTES + 5000)

    def test_a_reader_that_has_closed_its_end_raises_nothing(self):
        reading, writing = os.pipe()
        self.addCleanup(os.close, writing)
        log = LogOutput(writing, lambda: 0.0)
        os.close(reading)
        log({"code": 1})
        self.assertEqual(log.dropped, 1)
