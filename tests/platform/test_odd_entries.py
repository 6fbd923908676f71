"""Entries that another writer left: too deep, with large numbers or wrong addresses.

Each is rejected as a whole with a `ValueError`, whatever is wrong with it, and the
entries beside it stay in use.
"""

from __future__ import annotations

import struct
import unittest
import zlib
from collections.abc import Iterator

import msgspec

from rhubarbhall.adapters.peer_stream import FrameReader
from rhubarbhall.core.ownership.directory import KeyDirectory
from rhubarbhall.core.ownership.entries import Entry, Rejected
from rhubarbhall.core.ownership.key_table import Claim, KeyTable
from rhubarbhall.core.ownership.publisher import TOPIC
from rhubarbhall.core.ownership.records import (
    Member,
    TargetState,
    encode_member,
    encode_table,
    member_key,
    table_key,
)
from rhubarbhall.core.requests import Response
from rhubarbhall.platform.heartbeats import parse_heartbeat
from rhubarbhall.platform.names import parse_time
from rhubarbhall.platform.operator import parse_configuration, read_version
from tests.platform.test_path import RouterTestCase, address, configuration
from tests.platform.test_wire import HEARTBEAT, changed

DEPTH = 100_000
#: JSON and MessagePack of lists within lists.
NESTED = b"[" * DEPTH + b"]" * DEPTH
NESTED_PACKED = b"\x91" * DEPTH
HUGE = 10**30
WRONG_ADDRESSES = (
    "10.1.0.8:99999",
    "10.1.0.8:0",
    "10.1.0.8:-1",
    "10.1.0.8",
    "10.1.0.8:",
    "nowhere:80",
    "10.1.0.8:8301:8301",
    "",
)


def with_nested_field(message: bytes) -> bytes:
    """Return a JSON object with one more, deeply nested field in front."""
    return b'{"other":' + NESTED + b"," + message[1:]


def every_field(message: dict, *parents: str) -> Iterator[tuple[str, ...]]:
    """Yield the path of each field of a message, at all depths."""
    for name, value in message.items():
        yield (*parents, name)
        if isinstance(value, dict):
            yield from every_field(value, *parents, name)


def without(message: dict, *paths: tuple[str, ...]) -> bytes:
    """Return the JSON of a message that lacks some fields."""
    body = msgspec.json.decode(msgspec.json.encode(message))
    for path in paths:
        parent = body
        for name in path[:-1]:
            parent = parent[name]
        del parent[path[-1]]
    return msgspec.json.encode(body)


class HeartbeatTests(unittest.TestCase):
    def assert_rejected(self, body: bytes):
        with self.assertRaises(ValueError):
            parse_heartbeat("i-1", body)

    def test_deep_nesting(self):
        self.assert_rejected(NESTED)
        self.assert_rejected(with_nested_field(msgspec.json.encode(HEARTBEAT)))

    def test_large_numbers(self):
        for path in ("born", "info.slots", "status.sequence"):
            for value in (HUGE, 1 << 63, -HUGE):
                body = msgspec.json.encode(HEARTBEAT)
                known = HEARTBEAT
                for name in path.split("."):
                    known = known[name]
                name = path.rpartition(".")[2]
                body = body.replace(
                    f'"{name}":{known}'.encode(), f'"{name}":{value}'.encode()
                )
                with self.subTest(path=path, value=value):
                    self.assert_rejected(body)
        for holds in ([[0, 1, 1 << 63]], [[0, 65536, 7]], [[-1, 5, 7]]):
            with self.subTest(holds=holds):
                self.assert_rejected(changed(HEARTBEAT, "holds", holds))

    def test_addresses(self):
        for text in WRONG_ADDRESSES:
            with self.subTest(address=text):
                self.assert_rejected(changed(HEARTBEAT, "address", text))

    # Guards against: an absent field that counts as a statement of the target, so that
    # another writer ends the grants of a live one, or frees the keys that it holds.
    def test_absent_fields(self):
        for path in every_field(HEARTBEAT):
            with self.subTest(path=path):
                self.assert_rejected(without(HEARTBEAT, path))

    def test_targets_without_grants_by_heartbeat_list_no_keys(self):
        body = without(HEARTBEAT, ("holds",), ("freed",))
        heartbeat = parse_heartbeat("i-1", body, lists_keys=False).heartbeat
        self.assertEqual((heartbeat.holds, heartbeat.handed_over), ((), {}))
        for path in every_field(msgspec.json.decode(body)):
            with self.subTest(path=path), self.assertRaises(ValueError):
                parse_heartbeat("i-1", without(HEARTBEAT, path), lists_keys=False)

    def test_fields_without_a_value(self):
        for path in every_field(HEARTBEAT):
            body = msgspec.json.decode(msgspec.json.encode(HEARTBEAT))
            parent = body
            for name in path[:-1]:
                parent = parent[name]
            parent[path[-1]] = None
            with self.subTest(path=path):
                self.assert_rejected(msgspec.json.encode(body))

    def test_durations(self):
        for text in ("9" * 400 + "s", "9" * 13 + "s", "1." + "9" * 400 + "s"):
            with self.subTest(text=text[:20]), self.assertRaises(ValueError):
                parse_time(text)
        self.assertAlmostEqual(parse_time("12.499999999999998s"), 12.5)


class ConfigurationTests(unittest.TestCase):
    def test_deep_nesting(self):
        body = with_nested_field(configuration(3))
        for parse in (parse_configuration, read_version):
            for data in (body, NESTED):
                with self.subTest(parse=parse), self.assertRaises(ValueError):
                    parse(data)

    def test_large_numbers(self):
        for field in ("max_attempts", "priority"):
            for value in (HUGE, -HUGE):
                body = msgspec.json.decode(configuration(3))
                spec = body["resources"][0]["spec"]
                spec[field] = 77
                data = msgspec.json.encode(body)
                data = data.replace(
                    f'"{field}":77'.encode(), f'"{field}":{value}'.encode()
                )
                with self.subTest(field=field, value=value):
                    with self.assertRaises(ValueError):
                        parse_configuration(data)

    def test_large_weights(self):
        body = msgspec.json.decode(configuration(3))
        spec = body["resources"][0]["spec"]
        spec["traffic_split"] = [{"service": "pay", "weight": 77}]
        data = msgspec.json.encode(body).replace(b":77", f":{HUGE}".encode())
        with self.assertRaises(ValueError):
            parse_configuration(data)

    def test_large_durations(self):
        for field in ("timeout", "target_latency"):
            body = msgspec.json.decode(configuration(3))
            body["resources"][0]["spec"][field] = "9" * 400 + "s"
            with self.subTest(field=field), self.assertRaises(ValueError):
                parse_configuration(msgspec.json.encode(body))


class DirectoryTests(unittest.TestCase):
    def setUp(self):
        self.directory = KeyDirectory()
        self.member = Member("s", "d", "r", "i@1", 4, TargetState.READY)
        self.offset = 0
        self.apply(member_key("10.0.0.1:1"), encode_member(self.member))

    def apply(self, key: str, value: bytes) -> Rejected | None:
        self.offset += 1
        return self.directory.apply(Entry(self.offset, key, value))

    def test_members(self):
        nested = encode_member(self.member)[:-1] + NESTED_PACKED
        for value in (NESTED_PACKED, nested, b"", msgspec.msgpack.encode([HUGE >> 40])):
            with self.subTest(value=value[:20]):
                self.apply(member_key("10.0.0.2:1"), value)
                self.assertEqual(list(self.directory.member_by_address), ["10.0.0.1:1"])

    def test_members_with_too_many_slots(self):
        member = Member("s", "d", "r", "i@1", (1 << 64) - 1, TargetState.READY)
        rejected = self.apply(member_key("10.0.0.2:1"), encode_member(member))
        self.assertIsInstance(rejected, Rejected)

    def test_addresses_of_members(self):
        for text in WRONG_ADDRESSES:
            with self.subTest(address=text):
                rejected = self.apply(member_key(text), encode_member(self.member))
                self.assertIsInstance(rejected, Rejected)
                self.assertEqual(list(self.directory.member_by_address), ["10.0.0.1:1"])

    def test_tables(self):
        claims = [Claim("10.0.0.1:1", "i@1")]
        good = encode_table(KeyTable.divided(claims))
        self.assertIsNone(self.apply(table_key("s"), good))
        table = self.directory.table_by_service["s"]
        wrong_owner = encode_table(KeyTable.divided([Claim("10.0.0.1:99999", "i@1")]))
        large = msgspec.msgpack.decode(good)
        large[0] = (1 << 64) - 1
        for value in (NESTED_PACKED, wrong_owner, msgspec.msgpack.encode(large)):
            with self.subTest(value=value[:20]):
                self.assertIsInstance(self.apply(table_key("s"), value), Rejected)
                self.assertIs(self.directory.table_by_service["s"], table)


class FrameTests(unittest.TestCase):
    def test_deep_nesting(self):
        deflate = zlib.compressobj(wbits=-12)
        data = struct.pack(">I", DEPTH) + NESTED_PACKED
        stream = deflate.compress(data) + deflate.flush(zlib.Z_SYNC_FLUSH)
        with self.assertRaises(ValueError):
            list(FrameReader().feed(stream))


class RouterTests(RouterTestCase):
    """Routers that read such entries go on."""

    # Routers that read such an entry ended again and again, or followed the others no
    # longer.
    def test_routers_follow_the_entries_beside_odd_ones(self):
        member = encode_member(Member("pay", "d", "r1", "i@1", 4, TargetState.READY))
        for key, value in (
            ("member/127.0.0.1:99999", member),
            ("member/nowhere", member),
            ("member/127.0.0.9:1", NESTED_PACKED),
            ("keys/keyed", NESTED_PACKED),
        ):
            self.store.put(TOPIC, key, value)
        self.store.put("keyed.op", "config", NESTED)
        self.store.put("keyed.op", "config", with_nested_field(configuration(5)))
        self.store.put("keyed.op", "config", configuration(7))
        self.tick_until(
            lambda: all(r.request_router.routing.version == 7 for r in self.routers),
            6.0,
        )
        end = max(router.directory.end for router in self.routers) + 1
        self.store.put(TOPIC, "member/127.0.0.1:27699", member)
        self.tick_until(
            lambda: all(router.directory.end >= end for router in self.routers), 8.0
        )
        for router in self.routers:
            members = router.directory.member_by_address
            self.assertNotIn("127.0.0.1:99999", members)
            self.assertIn("127.0.0.1:27699", members)

    def test_an_odd_heartbeat_is_refused_and_the_next_one_counts(self):
        target = self.targets[0]
        results: list = []
        for body in (NESTED, with_nested_field(msgspec.json.encode(HEARTBEAT))):
            path = f"/instances/{target.instance}"
            self.client.fetch(address(0, 4), "PUT", path, (), body, 2.0, results.append)
        acknowledged = target.acknowledged_heartbeats
        self.tick_until(lambda: len(results) == 2, 4.0)
        for result in results:
            self.assertIsInstance(result, Response)
            self.assertEqual(result.status, 400)
        self.tick_until(lambda: target.acknowledged_heartbeats > acknowledged + 1, 4.0)
