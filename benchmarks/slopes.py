"""Costs per member, slice and request, from which docs/CAPACITY.md extrapolates.

They are processor time, bytes on the wire or in the log, and memory.
"""

from __future__ import annotations

import random
import time
import tracemalloc

import msgspec

from benchmarks.report import Table
from rhubarbhall.adapters.datagrams import DatagramCodec
from rhubarbhall.adapters.http_encoding import encode_request, encode_response
from rhubarbhall.adapters.http_wire import RequestReader, ResponseReader
from rhubarbhall.adapters.log_port import RecordsPage
from rhubarbhall.core import commands, events
from rhubarbhall.core.context import Context
from rhubarbhall.core.directory import Directory
from rhubarbhall.core.intent import DEFAULT_ROUTE
from rhubarbhall.core.node import Node
from rhubarbhall.core.peer_messages import Heartbeat, HeartbeatAnswer
from rhubarbhall.core.records import (
    Failover,
    IntentRecord,
    Join,
    StoredRecord,
    Verdict,
    Witnesses,
    make_envelope,
)
from rhubarbhall.core.requests import Request, Response
from rhubarbhall.core.slices import SliceRef, slice_of_key
from rhubarbhall.core.snapshots import encode_directory, restore_directory
from rhubarbhall.core.timing import Timing

REGIONS = 11
#: Failure domains, which are spread over the regions in turn.
DOMAINS = 32
#: Members that a mesh is designed for.
DESIGN_MEMBERS = 20_000
#: Processor time that control may take in a daemon, in ms per second.
BUDGET_MS_PER_S = 25.0
#: Slices that a mesh is designed for.
DESIGN_SLICES = 320_000


def _join(number: int) -> Join:
    """Return the record by which the member with this number joins the mesh."""
    domain = number % DOMAINS
    return Join(
        member=f"10.1.{number >> 8}.{number & 255}:7100/{number:08x}",
        calls=f"10.1.{number >> 8}.{number & 255}:7100",
        peers=f"10.1.{number >> 8}.{number & 255}:7200",
        region=f"region-{domain % REGIONS}",
        domain=f"domain-{domain}",
        labels={"app": "status", "vm": f"vm{number}"},
        boot="0f0f0f0f-0f0f-0f0f-0f0f-0f0f0f0f0f0f",
    )


class _Fold:
    """A directory to which records are applied one by one.

    `bytes` is the size of all these records in the log.
    """

    def __init__(self) -> None:
        self.directory = Directory()
        self.bytes = 0

    def add(self, record) -> None:
        offset = self.directory.next_offset
        envelope = make_envelope(f"r/{offset}", record)
        self.bytes += len(msgspec.json.encode(envelope))
        self.directory.apply(StoredRecord(offset, envelope))


def _cpu_time_s(function, *arguments) -> float:
    """Return the processor time of one call, in seconds."""
    started_at = time.process_time()
    function(*arguments)
    return time.process_time() - started_at


def _build(members: int, slices: int) -> tuple[_Fold, dict[str, float]]:
    """Return a directory of this size and the costs of building it."""
    fold = _Fold()
    costs: dict[str, float] = {}

    def join_all() -> None:
        for number in range(members):
            fold.add(_join(number))

    def witness_all() -> None:
        ids = list(fold.directory.member_by_id)
        for number, member in enumerate(ids):
            chosen = tuple(ids[(number + step) % members] for step in (1, 2, 3))
            for count in (1, 2, 3):
                fold.add(Witnesses(member, chosen[:count], count - 1))

    tracemalloc.start()
    costs["join us"] = 1e6 * _cpu_time_s(join_all) / members
    costs["bytes per member"] = tracemalloc.get_traced_memory()[0] / members
    tracemalloc.stop()
    costs["witnesses us"] = 1e6 * _cpu_time_s(witness_all) / (3 * members)
    document = {"services": {"s": {"targets": "app=status", "slices": slices}}}
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    costs["assign us per slice"] = (
        1e6 * _cpu_time_s(fold.add, IntentRecord(0, document)) / slices
    )
    costs["bytes per slice"] = (tracemalloc.get_traced_memory()[0] - before) / slices
    tracemalloc.stop()
    return fold, costs


def _lose_domain(fold: _Fold) -> tuple[int, float, int]:
    """Apply the loss of one failure domain.

    Returns
    -------
    int
        Number of lost members.
    float
        Processor time of applying the record, in seconds.
    int
        Size of the record in the log, in bytes.
    """
    directory = fold.directory
    lost = [m for m in directory.member_by_id.values() if m.join.domain == "domain-3"]
    verdicts = tuple(Verdict(m.id, m.witness_version, m.witnesses[:2]) for m in lost)
    before = fold.bytes
    took = _cpu_time_s(fold.add, Failover(verdicts))
    return len(lost), took, fold.bytes - before


def measure_fold() -> list[Table]:
    table = Table(
        "Applying records to the directory (the fold)",
        (
            "members",
            "slices",
            "join us",
            "witnesses us",
            "assign us per slice",
            "bytes per member",
            "bytes per slice",
            "snapshot KB",
            "write s",
            "load s",
        ),
    )
    lost = Table(
        "A domain lost at once",
        ("members", "slices", "lost", "records", "record KB", "fold ms"),
    )
    for members, slices in ((1_000, 16_000), (DESIGN_MEMBERS, DESIGN_SLICES)):
        fold, costs = _build(members, slices)
        started_at = time.process_time()
        snapshot = encode_directory(fold.directory)
        written = time.process_time() - started_at
        loaded = _cpu_time_s(restore_directory, Directory(), snapshot)
        table.add(
            members,
            slices,
            costs["join us"],
            costs["witnesses us"],
            costs["assign us per slice"],
            costs["bytes per member"],
            costs["bytes per slice"],
            round(len(snapshot) / 1024),
            written,
            loaded,
        )
        count, took, size = _lose_domain(fold)
        lost.add(members, slices, count, 1, size / 1024, 1000 * took)
    return [table, lost]


def single_node(service: dict) -> Node:
    """Return the core of the only member of a mesh, which owns all slices of `service`.

    Parameters
    ----------
    service : dict
        Table of the service in the intent.
    """
    return _node(1, service)


def _node(members: int, service: dict) -> Node:
    """Return the core of a member that holds its lease, in a mesh of `members` members.

    It owns every slice if the targets of `service` are this member alone.
    """
    join = _join(0)
    context = Context(join, Timing(), random.Random(1), lambda: 0)
    node = Node(context, lambda: "never")
    list(node.start(0.0))
    list(node.step(0.0, events.TargetFenced()))
    records = [join, *map(_join, range(1, members))]
    document = {"services": {"s": service}}
    stored = [make_envelope(f"r/{n}", r) for n, r in enumerate(records)]
    stored.append(make_envelope("r/intent", IntentRecord(0, document)))
    page = tuple(StoredRecord(n, each) for n, each in enumerate(stored))
    list(node.step(0.0, events.RecordsRead(0.0, 0, page, True, 0.0, True)))
    return node


def measure_routing() -> list[Table]:
    table = Table(
        "Routing and order dispatch, core only, one request",
        ("slices", "us", "over the first"),
    )
    first = None
    for slices in (100, 10_000, DESIGN_SLICES):
        node = single_node({"targets": "vm=vm0", "slices": slices})
        service = node.context.directory.intent.services["s"]
        count = 6_000

        def run_requests(node=node, service=service, count=count, slices=slices):
            for number in range(count):
                key = f"batch-{number}"
                ref = SliceRef("s", slice_of_key(key, slices))
                request = Request(
                    number, service, DEFAULT_ROUTE, key, ref, "GET", "/look", (),
                    b"", "caller", 0.1, 0.9,
                )  # fmt: skip
                list(node.step(0.1, events.RequestArrived(request)))
                answered = events.OrderAnswered(number, Response(200))
                list(node.step(0.1, answered))

        cost = 1e6 * _cpu_time_s(run_requests) / count
        first = first or cost
        assert node.router.outcomes_by_kind == {"answered": count}
        table.add(slices, cost, cost / first)
    return [table]


def measure_balancing() -> list[Table]:
    """Measure the choice of a target for a request without a key."""
    table = Table("Balancing, one choice", ("members", "us", "over the first"))
    first = None
    for members in (100, DESIGN_MEMBERS):
        service = {"targets": "app=status", "keyed": False, "slices": 1}
        node = _node(members, service)
        keyless_service = node.context.directory.intent.services["s"]
        excluded: frozenset[str] = frozenset()
        node.balancer.choose(1.0, keyless_service, excluded)
        count = 3_000

        def choose(
            node=node, keyless_service=keyless_service, count=count, excluded=excluded
        ) -> None:
            for _ in range(count):
                node.balancer.choose(1.0, keyless_service, excluded)

        cost = 1e6 * _cpu_time_s(choose) / count
        first = first or cost
        table.add(members, cost, cost / first)
    return [table]


def measure_heartbeat() -> list[Table]:
    table = Table(
        "One heartbeat and its answer, both ends, without the sockets",
        ("transport", "us", "bytes on the wire"),
    )
    codec = DatagramCodec(b"0123456789abcdef")
    member, witness = _join(1).member, _join(2).member
    heartbeat = Heartbeat(123456.789, witness)
    answer = HeartbeatAnswer(123456.789, member, True, 1_000_000)
    count = 20_000

    def by_datagram() -> None:
        for _ in range(count):
            codec.decode(codec.encode(member, heartbeat))
            codec.decode(codec.encode(witness, answer))

    sizes = len(codec.encode(member, heartbeat)) + len(codec.encode(witness, answer))
    cost = 1e6 * _cpu_time_s(by_datagram) / count
    # Two datagrams, each with 28 bytes of IPv4 and UDP headers.
    table.add("MessagePack datagram, keyed digest", cost, sizes + 2 * 28)

    def by_http() -> int:
        body = msgspec.json.encode(heartbeat)
        call = encode_request("POST", "/heartbeat", "10.1.1.1:7200", (), body)
        RequestReader(4096, 4096).feed(call)
        reply = encode_response(Response(200, (), msgspec.json.encode(answer)), True)
        reader = ResponseReader(4096)
        reader.expect(4096)
        reader.feed(reply)
        return len(call) + len(reply)

    size = by_http()

    def many_by_http() -> None:
        for _ in range(count):
            by_http()

    cost = 1e6 * _cpu_time_s(many_by_http) / count
    # Four segments, each with 40 bytes of IPv4 and TCP headers.
    table.add("HTTP with JSON, no digest, keep-alive connection", cost, size + 4 * 40)
    return [table, _measure_idle_core()]


def _measure_idle_core() -> Table:
    """Measure the control work of a core in a mesh in which nothing changes."""
    table = Table(
        "Control in the core of one daemon, three witnesses, three watched, no changes",
        ("members", "ms/s", "of the budget"),
    )
    for members in (4, DESIGN_MEMBERS):
        cost = _idle_core_ms_per_s(members)
        table.add(members, cost, cost / BUDGET_MS_PER_S)
    return table


def _idle_core_ms_per_s(members: int) -> float:
    """Return the processor time of the core in a mesh without changes, in ms per s.

    The member has three witnesses and is itself a witness of three members.
    """
    node = _node(members, {"targets": "vm=vm0", "slices": 16})
    directory = node.context.directory
    peer_ids = [m for m in directory.member_by_id if m != node.context.member_id][:3]
    offset = directory.next_offset
    stored = []
    for count in (1, 2, 3):
        record = Witnesses(node.context.member_id, tuple(peer_ids[:count]), count - 1)
        stored.append(StoredRecord(offset, make_envelope(f"w/{count}", record)))
        offset += 1
    for peer_id in peer_ids:
        peer_witnesses = Witnesses(peer_id, (node.context.member_id,), 0)
        stored.append(
            StoredRecord(offset, make_envelope(f"w/{peer_id}", peer_witnesses))
        )
        offset += 1
    read = events.RecordsRead(0.0, 0, tuple(stored), True, 0.0, True)
    list(node.step(0.0, read))
    seconds = 30.0
    now = 1.0

    def run_idle() -> None:
        nonlocal now
        while now < seconds:
            now += 0.01
            for command in list(node.step_timers(now)):
                if isinstance(command, commands.ReadLog):
                    empty = events.RecordsRead(now, 0, (), True, 0.0, True)
                    list(node.step(now, empty))
                elif isinstance(command, commands.SendPeer):
                    message = command.message
                    if isinstance(message, Heartbeat):
                        answer = HeartbeatAnswer(
                            now, node.context.member_id, True, offset
                        )
                        received = events.PeerMessageReceived(message.witness, answer)
                        list(node.step(now, received))
                        beat = Heartbeat(now, node.context.member_id)
                        received = events.PeerMessageReceived(message.witness, beat)
                        list(node.step(now, received))

    return 1000 * _cpu_time_s(run_idle) / (seconds - 1.0)


def measure_reading() -> list[Table]:
    """Measure the encoding and decoding of a page of records between daemons."""
    table = Table("A page of records, encode and decode", ("records", "us", "bytes"))
    for count in (0, 1, 100):
        records = tuple(
            StoredRecord(
                n, make_envelope(f"r/{n}", Witnesses(_join(n).member, ("a",) * 3, 1))
            )
            for n in range(count)
        )
        page = RecordsPage(0, count, records)
        repeats = 2_000

        def exchange(page=page, repeats=repeats) -> None:
            for _ in range(repeats):
                msgspec.json.decode(msgspec.json.encode(page), type=RecordsPage)

        cost = 1e6 * _cpu_time_s(exchange) / repeats
        table.add(count, cost, len(msgspec.json.encode(page)))
    return [table]


def run() -> list[Table]:
    return [
        *measure_fold(),
        *measure_routing(),
        *measure_balancing(),
        *measure_heartbeat(),
        *measure_reading(),
    ]
