from __future__ import annotations

import random
import unittest

from rhubarbhall.adapters.peer_frames import (
    MAX_FRAME_BYTES,
    Cancel,
    FrameReader,
    Ping,
    Refused,
    encode_frame,
)


class FrameTests(unittest.TestCase):
    FRAMES = (Ping(3), Cancel(9), Refused(7, "overloaded", True, 20, 1, 2, 3))

    def test_frames_come_out_however_the_bytes_are_cut(self):
        data = b"".join(encode_frame(frame) for frame in self.FRAMES)
        rng = random.Random(3)
        for _ in range(50):
            reader, found, position = FrameReader(), [], 0
            while position < len(data):
                size = rng.randint(1, 7)
                found += reader.feed(data[position : position + size])
                position += size
            self.assertEqual(tuple(found), self.FRAMES)

    def test_what_is_no_frame_is_an_error(self):
        too_long = (MAX_FRAME_BYTES + 1).to_bytes(4, "big")
        wrong = (b"\x00\x00\x00\x02\x91\x63", b"\x00\x00\x00\x01\xc1", too_long)
        for data in wrong:
            with self.subTest(data=data), self.assertRaises(ValueError):
                list(FrameReader().feed(data))

    def test_random_bytes_never_do_anything_else(self):
        rng = random.Random(5)
        for _ in range(500):
            reader = FrameReader()
            size = rng.randint(1, 30)
            data = bytes([0, 0, 0, size]) + rng.randbytes(size)
            try:
                list(reader.feed(data))
            except ValueError:
                continue
