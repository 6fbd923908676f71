from __future__ import annotations

import unittest

from rhubarbhall.adapters.datagrams import DatagramCodec
from rhubarbhall.core.peer_messages import (
    Heartbeat,
    HeartbeatAnswer,
    LogHint,
    Promise,
    PromiseRequest,
    Suspicion,
)

KEY = b"0123456789abcdef"
MESSAGES = [
    Heartbeat(1.5, "w"),
    HeartbeatAnswer(1.5, "m", True, 7),
    Suspicion("m", 3),
    PromiseRequest("m", 3),
    Promise("m", 3),
    LogHint(9),
]


class DatagramCodecTests(unittest.TestCase):
    def setUp(self):
        self.codec = DatagramCodec(KEY)

    def test_every_message_is_decoded_as_it_was_encoded(self):
        for message in MESSAGES:
            with self.subTest(message=message):
                data = self.codec.encode("sender", message)
                self.assertEqual(self.codec.decode(data), ("sender", message))

    def test_a_changed_bit_is_rejected(self):
        data = self.codec.encode("sender", MESSAGES[0])
        for position in range(len(data)):
            changed = bytearray(data)
            changed[position] ^= 1
            self.assertIsNone(self.codec.decode(bytes(changed)))

    def test_a_datagram_signed_with_another_key_is_rejected(self):
        data = DatagramCodec(b"another-key-16-b").encode("sender", MESSAGES[0])
        self.assertIsNone(self.codec.decode(data))

    def test_malformed_datagrams_are_rejected(self):
        for data in (b"", b"short", b"x" * 200):
            self.assertIsNone(self.codec.decode(data))
