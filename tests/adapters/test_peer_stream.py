from __future__ import annotations

import random
import tracemalloc
import unittest
import zlib

from rhubarbhall.adapters.peer_frames import Cancel, Ping, Reply, RequestFailed
from rhubarbhall.adapters.peer_stream import (
    MAX_FRAME_BYTES,
    STORED_BLOCK_BYTES,
    STORED_BODY_BYTES,
    WINDOW_BITS,
    FrameReader,
    FrameWriter,
)


def deflate_bytes(data: bytes) -> bytes:
    deflate = zlib.compressobj(wbits=WINDOW_BITS)
    return deflate.compress(data) + deflate.flush(zlib.Z_SYNC_FLUSH)


class PeerStreamTests(unittest.TestCase):
    FRAMES = (Ping(3), Cancel(9), RequestFailed(7, "overloaded", True, 20, 1, 2, 3))

    def test_frames_are_decoded_however_the_bytes_are_split(self):
        writer = FrameWriter()
        data = b"".join(writer.encode(frame) for frame in self.FRAMES)
        rng = random.Random(3)
        for _ in range(50):
            reader, frames, position = FrameReader(), [], 0
            while position < len(data):
                size = rng.randint(1, 7)
                frames += reader.feed(data[position : position + size])
                position += size
            self.assertEqual(tuple(frames), self.FRAMES)

    # A large body kept a router from all other work while it was compressed.
    def test_large_bodies_are_stored_between_compressed_frames(self):
        rng = random.Random(5)
        for size in (STORED_BODY_BYTES, STORED_BLOCK_BYTES * 4, 1_000_003):
            writer, reader = FrameWriter(), FrameReader()
            large = Reply(1, 200, ["A", "b"], bytes(size), 1, 2, 3)
            small = Reply(2, 200, ["A", "b"], rng.randbytes(3000), 1, 2, 3)
            frames = (small, Ping(3), large, small, small, large, large, Ping(4), small)
            data = b""
            for frame in frames:
                encoded = writer.encode(frame)
                if frame is large:
                    self.assertGreater(len(encoded), size)
                data += encoded
            decoded = []
            for start in range(0, len(data), 50_000):
                decoded += reader.feed(data[start : start + 50_000])
            self.assertEqual(tuple(decoded), frames)
            self.assertFalse(reader.is_within_frame)

    # A body of 60 MB was held three times while it was encoded, and ended the router.
    def test_a_large_body_is_not_copied_when_it_is_encoded(self):
        reply = Reply(1, 200, ["A", "b"], bytes(8 << 20), 1, 2, 3)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        parts = FrameWriter().encode_parts(reply)
        _, peak = tracemalloc.get_traced_memory()
        self.assertLess(peak, 1 << 20)
        self.assertEqual(list(FrameReader().feed(b"".join(parts))), [reply])

    # A few bytes that inflate to many frames were inflated all at once.
    def test_frames_are_decoded_before_the_rest_is_inflated(self):
        writer, reader = FrameWriter(), FrameReader()
        frame = Reply(1, 200, [], bytes(STORED_BODY_BYTES - 1), 1, 2, 3)
        data = b"".join(writer.encode(frame) for _ in range(100))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        self.assertEqual(sum(1 for _ in reader.feed(data)), 100)
        _, peak = tracemalloc.get_traced_memory()
        self.assertLess(peak, 2 << 20)

    def test_bytes_that_are_no_frame_are_an_error(self):
        too_long = (MAX_FRAME_BYTES + 1).to_bytes(4, "big")
        invalid = (b"\x00\x00\x00\x02\x91\x63", b"\x00\x00\x00\x01\xc1", too_long)
        for data in invalid:
            with self.subTest(data=data), self.assertRaises(ValueError):
                list(FrameReader().feed(deflate_bytes(data)))

    def test_bytes_that_are_not_compressed_are_an_error(self):
        with self.assertRaises(ValueError):
            list(FrameReader().feed(b"GET / HTTP/1.1\r\n\r\n" * 4))

    def test_a_stream_that_ends_is_an_error(self):
        deflate = zlib.compressobj(wbits=WINDOW_BITS)
        with self.assertRaises(ValueError):
            list(FrameReader().feed(deflate.compress(b"x") + deflate.flush()))

    def test_inflated_bytes_are_bounded(self):
        deflate = zlib.compressobj(9, wbits=WINDOW_BITS)
        data = deflate.compress(bytes(2 * MAX_FRAME_BYTES))
        with self.assertRaises(ValueError):
            list(FrameReader().feed(data + deflate.flush(zlib.Z_SYNC_FLUSH)))

    def test_repeated_headers_compress_to_few_bytes(self):
        rng, writer = random.Random(7), FrameWriter()
        sizes = []
        for ticket in range(20):
            signature = f"{rng.getrandbits(32):08x}"
            headers = ["Content-Type", "application/json", "X-Signature", signature]
            reply = Reply(ticket, 200, headers, rng.randbytes(400), 3, 0, 18)
            sizes.append(len(writer.encode(reply)))
        self.assertLess(max(sizes[1:]), 400 + 50)

    def test_random_bytes_raise_nothing_but_value_error(self):
        rng = random.Random(5)
        for _ in range(500):
            reader = FrameReader()
            size = rng.randint(1, 30)
            data = deflate_bytes(bytes([0, 0, 0, size]) + rng.randbytes(size))
            try:
                list(reader.feed(data))
            except ValueError:
                continue
