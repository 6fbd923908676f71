"""Bodies received in parts take little more memory than their bytes."""

from __future__ import annotations

import random
import tracemalloc
import unittest

from rhubarbhall.adapters.body_buffer import BLOCK_BYTES, BodyBuffer

BODY_BYTES = 4 << 20
#: Memory for each byte of a body, at most.
MAX_SHARE = 1.05


class BodyBufferTests(unittest.TestCase):
    def test_the_parts_are_joined_in_order(self):
        rng = random.Random(5)
        for _ in range(50):
            parts = [
                rng.randbytes(rng.choice([1, 7, 1000, BLOCK_BYTES, 3 * BLOCK_BYTES]))
                for _ in range(rng.randrange(40))
            ]
            buffer = BodyBuffer()
            for part in parts:
                buffer.append(part)
            self.assertEqual(buffer.size, sum(map(len, parts)))
            self.assertEqual(buffer.take(), b"".join(parts))
            self.assertEqual((buffer.size, buffer.take()), (0, b""))

    def test_a_body_of_one_part_is_not_copied(self):
        buffer, part = BodyBuffer(), bytes(BLOCK_BYTES)
        buffer.append(part)
        self.assertIs(buffer.take(), part)

    # One growing buffer took up to twice the bytes of a body whenever it was moved.
    def test_memory_follows_the_bytes_while_a_body_grows(self):
        for size in (1, 7, 1000, BLOCK_BYTES, 64 * 1024):
            with self.subTest(size):
                self.assertLess(self.peak(size), MAX_SHARE * BODY_BYTES)

    def peak(self, size: int) -> int:
        """Return the most memory that a body takes that grows by parts of a size."""
        tracemalloc.start()
        try:
            buffer = BodyBuffer()
            while buffer.size < BODY_BYTES:
                buffer.append(bytes(size))
            return tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()


if __name__ == "__main__":
    unittest.main()
