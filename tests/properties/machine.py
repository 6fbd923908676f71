"""A state machine that injects random faults into a few members and checks them.

After every fault no slice may have two owners that serve, no order may run twice, and
offsets and the intent may not go back.

Hypothesis derives the seed of these tests from the source code of `OwnershipMachine`
and of its subclass, without their comments. If a name or a docstring in them changes,
the tests draw other examples.
"""

from __future__ import annotations

import msgspec
from hypothesis import seed, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from rhubarbhall import audit
from rhubarbhall.core import events
from rhubarbhall.core.idempotency import mint_key
from rhubarbhall.core.node import Node
from rhubarbhall.core.records import Merge, Move, Split
from rhubarbhall.core.slices import SliceRef
from rhubarbhall.core.timing import Timing
from rhubarbhall.standins.target import Execution
from tests.fakes import INTENT, SERVICE, WALL_MS_AT_ZERO, Host, Mesh

#: Region and failure domain of each VM.
PLACES = [
    ("idukki", "i1"),
    ("idukki", "i2"),
    ("wayanad", "w1"),
    ("wayanad", "w1"),
    ("kottayam", "k1"),
    ("kottayam", "k2"),
    ("idukki", "i1"),
]
#: Rates of the clocks. They deviate from 1 by less than half of the drift bound, so
#: that no two clocks differ by more than the bound.
RATES = [1.0, 0.976, 1.024, 1.0, 0.98, 1.02, 0.976]
TIMING = Timing(tenure_s=6.0)
#: Time within which every slice is served once all faults have ended, in seconds. It
#: allows for the waits that the tenure requires, a resume, a join and its records, one
#: after the other.
SETTLE_S = 2 * TIMING.replacement_delay_s + 15.0

hosts = st.integers(0, len(PLACES) - 1)


#: Seed of the examples that are drawn from `OwnershipMachine`. Without it, hypothesis
#: derives a seed from the source text of the class, so that a change of wording draws
#: other examples. The searches for violations of switched-off rules depend on the seed.
OWNERSHIP_SEED = int(
    "79de323633075de09dedd5c19080a48be6c48234477f1a72"
    "934311db317e148d6a452d9b78ac9137de5aecc3c6a14635",
    16,
)


@seed(OWNERSHIP_SEED)
class OwnershipMachine(RuleBasedStateMachine):
    """Rules are faults; after each, time passes and the guarantees are checked."""

    checks_grants = True

    def __init__(self) -> None:
        super().__init__()
        self.mesh: Mesh | None = None
        self._offset_by_node: dict[Node, int] = {}
        self._version_by_node: dict[Node, int] = {}
        self._calls: list[tuple[Host, int, str]] = []
        self._publishes = 0

    @initialize(count=st.integers(3, len(PLACES)), seed=st.integers(0, 1 << 16))
    def begin(self, count: int, seed: int) -> None:
        self.mesh = Mesh(
            PLACES[:count],
            seed=seed,
            timing=TIMING,
            rates=RATES[:count],
            checks_grants=self.checks_grants,
        )
        self.mesh.publish(INTENT, 0, "op/first")
        self._run(4.0)

    def _host(self, number: int) -> Host:
        return self.mesh.hosts[number % len(self.mesh.hosts)]

    def _run(self, seconds: float) -> None:
        self.mesh.run(seconds, self._watch)

    def _watch(self) -> None:
        self.mesh.assert_sole_owners()
        for host in self.mesh.hosts:
            if host.lost or host.exited:
                continue
            node, directory = host.node, host.node.context.directory
            offset = self._offset_by_node.get(node, 0)
            assert directory.next_offset >= offset, "an applied offset went back"
            version = self._version_by_node.get(node, 0)
            assert directory.intent_version >= version, "the intent reverted"
            self._offset_by_node[node] = directory.next_offset
            self._version_by_node[node] = directory.intent_version

    # Faults

    @rule(seconds=st.sampled_from([0.05, 0.3, 0.7, 1.0, 1.3, 2.0, 4.0]))
    def let_time_go_by(self, seconds: float) -> None:
        self._run(seconds)

    @rule(number=hosts, seconds=st.sampled_from([0.2, 0.5, 0.9, 1.2, 2.0, 3.0, 9.0]))
    def pause_for(self, number: int, seconds: float) -> None:
        host = self._host(number)
        if host.runs:
            self.mesh.pause(host)
            self._run(seconds)
            self._resume(host)

    @rule(number=hosts)
    def pause(self, number: int) -> None:
        if self._host(number).runs:
            self.mesh.pause(self._host(number))

    @rule(number=hosts)
    def resume(self, number: int) -> None:
        self._resume(self._host(number))

    def _resume(self, host: Host) -> None:
        if host.paused and not host.lost:
            # A process can be asked for its state after a pause before it has
            # handled its first event, so it is checked before that too.
            self._watch()
            self.mesh.resume(host)

    @rule(one=hosts, other=hosts, both_ways=st.booleans())
    def cut(self, one: int, other: int, both_ways: bool) -> None:
        self.mesh.cut(self._host(one), self._host(other), both_ways)

    @rule(number=hosts)
    def cut_off(self, number: int) -> None:
        for other in self.mesh.hosts:
            self.mesh.cut(self._host(number), other)

    @rule(number=hosts)
    def cut_from_log(self, number: int) -> None:
        self.mesh.cuts.add((self._host(number).name, "log"))

    @rule()
    def heal(self) -> None:
        self.mesh.heal()

    @rule(loss=st.sampled_from([0.0, 0.1, 0.4]))
    def lose_messages(self, loss: float) -> None:
        self.mesh.loss = loss

    @rule(delay=st.sampled_from([0.002, 0.05, 0.4]))
    def delay_messages(self, delay: float) -> None:
        self.mesh.link_delay_s = delay

    @rule(up=st.booleans(), loses=st.booleans(), delay=st.sampled_from([0.005, 0.5]))
    def change_log(self, up: bool, loses: bool, delay: float) -> None:
        self.mesh.log.up = up
        self.mesh.log.loses_answers = loses
        self.mesh.log.delay_s = delay

    @rule(number=hosts)
    def lose(self, number: int) -> None:
        self.mesh.lose(self._host(number))

    @rule(number=hosts)
    def restart(self, number: int) -> None:
        host = self._host(number)
        if host.lost or host.exited or not host.paused:
            self.mesh.lose(host)
            self.mesh.start(host)

    @rule(number=hosts)
    def stop(self, number: int) -> None:
        host = self._host(number)
        if host.runs:
            self.mesh._step(host, events.StopRequested())

    @rule(giving=hosts, taking=hosts)
    def move(self, giving: int, taking: int) -> None:
        giver, taker = self._host(giving), self._host(taking)
        if not giver.runs or giver is taker:
            return
        node = giver.node
        served = sorted(node.ownership.served, key=str)[:3]
        if not served or not node.lease.is_held(giver.local(self.mesh.now)):
            return
        directory = node.context.directory
        slices = tuple(
            (
                ref.index,
                directory.epoch_of(SERVICE, ref.index),
                taker.node.context.member_id,
            )
            for ref in served
        )
        record = Move(SERVICE, node.context.member_id, slices, True)
        self.mesh._step(
            giver, events.AppendRequested(node.context.new_record_id(), record)
        )

    @rule(number=hosts, key=st.integers(0, 30))
    def split(self, number: int, key: int) -> None:
        host, name = self._host(number), f"batch-{key}"
        node = host.node
        directory = node.context.directory
        if not host.runs or SERVICE not in directory.table_by_service:
            return
        ref = directory.slice_of(SERVICE, name)
        if ref in node.ownership.served:
            epoch = node.ownership.epoch(ref)
            record = Split(SERVICE, name, node.context.member_id, epoch)
            submit = events.AppendRequested(node.context.new_record_id(), record)
            self.mesh._step(host, submit)

    @rule(number=hosts)
    def merge(self, number: int) -> None:
        host = self._host(number)
        node = host.node
        table = node.context.directory.table_by_service.get(SERVICE)
        if not host.runs or table is None:
            return
        for name, index in list(table.index_by_hot_key.items()):
            if SliceRef(SERVICE, index) in node.ownership.served:
                record = Merge(SERVICE, name, node.context.member_id)
                submit = events.AppendRequested(node.context.new_record_id(), record)
                self.mesh._step(host, submit)

    @rule(first=st.integers(1, 4), second=st.integers(1, 4))
    def race_operators(self, first: int, second: int) -> None:
        version = self.mesh.fold().intent_version
        for hold in (first, second):
            self._publishes += 1
            document = msgspec.json.decode(msgspec.json.encode(INTENT))
            document["services"][SERVICE]["hold_ms"] = 1000 * hold
            self.mesh.publish(document, version, f"op/{self._publishes}")

    @rule(number=hosts, key=st.integers(0, 30), again=st.integers(0, 30))
    def call(self, number: int, key: int, again: int) -> None:
        host = self._host(number)
        if not host.runs or SERVICE not in host.node.context.directory.intent.services:
            return
        name = f"batch-{key}"
        self._note(host, self.mesh.call(host, name), name)
        wall_ms = WALL_MS_AT_ZERO + int(self.mesh.now * 1000)
        credit = mint_key(wall_ms, self.mesh.rng)
        for receiver in (host, self._host(again)):
            known = receiver.node.context.directory.intent.services
            if receiver.runs and SERVICE in known:
                request = self.mesh.call(receiver, name, "POST", credit)
                self._note(receiver, request, name)

    def _note(self, host: Host, request_id: int, key: str) -> None:
        self._calls.append((host, request_id, key))

    # Checks

    @invariant()
    def promises_hold(self) -> None:
        if self.mesh is None:
            return
        self._run(0.03)
        executions = [as_execution(each) for each in self.mesh.executions]
        assert not audit.find_double_owners(executions)
        assert not audit.find_repeats(executions)
        for host, request_id, key in self._calls:
            response = host.answers.get(request_id)
            if response is not None and response.kind is None:
                assert response.body == f"{key} done".encode(), "a wrong answer"

    def teardown(self) -> None:
        if self.mesh is None:
            return
        mesh = self.mesh
        mesh.heal()
        mesh.loss, mesh.link_delay_s = 0.0, 0.002
        mesh.log.up, mesh.log.loses_answers, mesh.log.delay_s = True, False, 0.005
        for host in mesh.hosts:
            if host.paused and not host.lost:
                self._resume(host)
            if host.lost:
                mesh.start(host)
        waited = 0.0
        while waited < SETTLE_S and not mesh.all_served():
            self._start_stopped()
            self._run(0.25)
            waited += 0.25
        assert mesh.all_served(), f"not all served {SETTLE_S:.0f} s after the faults"
        self._run(1.0)
        self._assert_nothing_lost()

    def _start_stopped(self) -> None:
        """Start what a planned stop has ended, however late the stop came about.

        With every daemon asked to stop and partitioned from the log, the stops end
        only after the faults do, and then no daemon is left to serve.
        """
        for host in self.mesh.hosts:
            if host.exited:
                self.mesh.start(host)

    def _assert_nothing_lost(self) -> None:
        """Every accepted intent was replaced by the next one, none was skipped."""
        fold = self.mesh.fold()
        assert fold.intent_version >= 1
        for host in self.mesh.hosts:
            if not host.exited:
                known = host.node.context.directory
                assert known.intent_version == fold.intent_version
                assert known.intent_document == fold.intent_document


def as_execution(recorded) -> Execution:
    """Convert an execution that a fake target recorded to the form that audits read."""
    return Execution(
        recorded.member,
        str(recorded.slice),
        recorded.epoch,
        recorded.key,
        "",
        "",
        recorded.idempotency_key or "",
        recorded.started_at,
        recorded.ended_at,
    )
