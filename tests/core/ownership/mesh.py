"""A simulated mesh on a virtual clock: daemons, their targets, a store, and faults."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from rhubarbhall.core.ownership.directory import KeyDirectory
from rhubarbhall.core.ownership.entries import Entry
from rhubarbhall.core.ownership.follower import TopicFollower
from rhubarbhall.core.ownership.heartbeat import Heartbeat
from rhubarbhall.core.ownership.key_load import KeyLoadSampler
from rhubarbhall.core.ownership.key_table import KeyTable
from rhubarbhall.core.ownership.liveness import Liveness
from rhubarbhall.core.ownership.loss_reports import LossReports
from rhubarbhall.core.ownership.publisher import (
    TOPIC,
    RecordPublisher,
    directory_topic,
)
from rhubarbhall.core.ownership.range_load_balancer import RangeLoadBalancer
from rhubarbhall.core.ownership.range_witness import (
    RangeWitness,
    ReplacementVotes,
    WitnessedLease,
)
from rhubarbhall.core.ownership.read_lease import ReadLease
from rhubarbhall.core.ownership.reconciler import TableReconciler
from rhubarbhall.core.ownership.records import TABLE_PREFIX, Member, TargetState
from rhubarbhall.core.ownership.requested_holdings import (
    GrantRequest,
    KeyRequest,
    RequestResult,
)
from rhubarbhall.core.ownership.store_port import (
    NO_WAIT,
    Appended,
    Conflict,
    NewestPage,
    Tail,
    Trimmed,
    Unavailable,
    epoch_of,
    offset_of,
    position,
)
from rhubarbhall.core.ownership.target_keys import Grant, TargetKeys
from rhubarbhall.core.timers import TimerService
from rhubarbhall.types import Offset

SERVICE = "status"
#: Mean time between two heartbeats of a target, in seconds.
#: What a target's clock may differ from that of another run of it, in milliseconds.
CLOCK_STEPS_MS = (-20_000, 0, 20_000)
HEARTBEAT_S = 0.87
#: Factor by which a target holds its keys longer because its clock runs slow.
SLOW_CLOCK = 1.02


class Simulation:
    """The virtual clock, the actions that are due on it, and their random numbers."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now + delay_s, next(self._order), action))

    def run_until(self, end: float) -> None:
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end


class FakeLog:
    """A simulated log of the store, with its faults.

    The store may be restored from an older copy: it is away for some time and then
    holds what each topic held at an earlier time. The epoch counts these restores.
    """

    def __init__(self, simulation: Simulation, seed: int) -> None:
        self.simulation = simulation
        self.down = False
        self.is_restoring = False
        self.epoch = 0
        #: Share of the appends whose answer is lost and which may be carried out later.
        self.lose_answers = 0.0
        #: Numbers for what happens in restores only, so that the schedules of seeds
        #: without restores stay as they are.
        self.restore_rng = random.Random(f"restore {seed}")
        #: Called with the writer when a key table has been written.
        self.on_table: Callable[[FakeDaemon], None] = lambda writer: None
        self._records: dict[str, list[tuple[float, str, bytes]]] = {}
        self._late_appends: list[Callable[[], object]] = []

    @property
    def is_available(self) -> bool:
        return not self.down and not self.is_restoring

    def records(self, topic: str) -> list[tuple[str, bytes]]:
        """Return the keys and values of a topic, by offset."""
        return [(key, value) for _, key, value in self._records.get(topic, [])]

    def append(self, topic: str, key: str, value: bytes, at: int | None) -> int | None:
        """Append a record and return its offset, or none in case of a conflict."""
        records = self._records.setdefault(topic, [])
        if at is not None and at != len(records):
            return None
        records.append((self.simulation.now, key, value))
        return len(records) - 1

    def append_late(self, action: Callable[[], object]) -> None:
        """Carry out some of the appends that are on their way after the restore."""
        if self.restore_rng.random() < 0.4:
            self._late_appends.append(action)

    def restore(self, away_s: float, lost_s: float) -> None:
        """Let the store go away and come back without its last records.

        Parameters
        ----------
        away_s : float
            Time for which it is away, in seconds.
        lost_s : float
            Age of the copy when the store goes away, in seconds.
        """
        if self.is_restoring:
            return
        self.is_restoring = True
        copied_at = self.simulation.now - lost_s
        self.simulation.after(away_s, lambda: self._return(copied_at))

    def _return(self, copied_at: float) -> None:
        self.is_restoring = False
        self.epoch += 1
        for topic, records in self._records.items():
            self._records[topic] = [each for each in records if each[0] <= copied_at]
        late, self._late_appends = self._late_appends, []
        for action in late:
            self.simulation.after(self.restore_rng.uniform(0.0, 1.5), action)


class LogPort:
    """The connection of one daemon to the store."""

    def __init__(self, log: FakeLog, daemon: FakeDaemon) -> None:
        self._log = log
        self._daemon = daemon

    def _is_reachable(self) -> bool:
        return self._log.is_available and not self._daemon.is_cut_from_store

    def _answer(self, on_done, result, is_from_store: bool = True) -> None:
        simulation, daemon = self._log.simulation, self._daemon
        life, epoch = daemon.life, self._log.epoch

        def arrive() -> None:
            if daemon.is_frozen:
                simulation.after(0.05, arrive)
            elif daemon.life == life:
                daemon.timers.advance_to(simulation.now)
                if is_from_store:
                    daemon.begin_epoch(epoch)
                on_done(result)

        simulation.after(simulation.rng.uniform(0.005, 0.07), arrive)

    def _call(self, on_done, action, is_append: bool = False) -> None:
        simulation = self._log.simulation

        def execute() -> None:
            if self._is_reachable():
                self._answer(on_done, action())
                return
            lost = Unavailable("down", outcome_unknown=is_append)
            if is_append and self._log.is_restoring:
                self._log.append_late(action)
            simulation.after(2.0, lambda: self._answer(on_done, lost, False))

        simulation.after(simulation.rng.uniform(0.005, 0.07), execute)

    def _entries(self, topic: str) -> list[Entry]:
        records = self._log.records(topic)
        return [
            Entry(self._position(offset), *record)
            for offset, record in enumerate(records)
        ]

    def _position(self, offset: int) -> Offset:
        return position(self._log.epoch, offset)

    def read_newest(self, topic, after, on_done) -> None:
        def read():
            entries = self._entries(topic)
            newest = {entry.key: entry for entry in entries}
            end = self._position(len(entries))
            return NewestPage(tuple(newest.values()), None, end)

        self._call(on_done, read)

    def read_tail(self, topic, offset, poll, on_done) -> None:
        def read():
            entries = self._entries(topic)
            first, end = offset_of(offset), self._position(len(entries))
            if first > len(entries):
                return Trimmed()
            return Tail(tuple(entries[first:]), end, end)

        self._call(on_done, read)

    def append(self, topic, key, value, at, on_done) -> None:
        log, simulation = self._log, self._log.simulation

        def append():
            offset = log.append(
                topic, key, value, None if at is None else offset_of(at)
            )
            if offset is None:
                return Conflict()
            result = Appended(self._position(offset))
            if key.startswith(TABLE_PREFIX):
                log.on_table(self._daemon)
            return result

        if simulation.rng.random() < log.lose_answers and self._is_reachable():
            late_s = simulation.rng.choice([0.0, 1.0, 4.0])
            simulation.after(late_s, append)
            lost = Unavailable("lost", outcome_unknown=True)
            simulation.after(2.0, lambda: self._answer(on_done, lost, False))
            return
        self._call(on_done, append, is_append=True)


@dataclass
class Held:
    """A range that a target holds."""

    first: int
    last: int
    fence: int
    until: float


class FakeTarget:
    """Sends heartbeats to its daemon and holds the keys that the answers grant."""

    def __init__(self, mesh: OwnershipMesh, daemon: FakeDaemon, life: int) -> None:
        self.mesh = mesh
        self.daemon = daemon
        self.life = life
        self.instance = f"i-{daemon.local_address}"
        if not mesh.reuses_ids:
            self.instance += f"-{life}"
        self.born = int(mesh.simulation.now * 1000) + 1
        if mesh.delivers_former_heartbeats:
            self.born += mesh.simulation.rng.choice(CLOCK_STEPS_MS)
        self.state = TargetState.READY
        self.held: list[Held] = []
        self.freed: dict[tuple[int, int], str] = {}
        self.sequence = 0
        self.is_up = True
        self._tokens = itertools.count()
        mesh.simulation.after(
            mesh.simulation.rng.uniform(0.1, 1.0), self.send_heartbeat
        )

    @property
    def run(self) -> str:
        return f"{self.instance} {self.life}"

    def holdings(self) -> list[Held]:
        now = self.mesh.simulation.now
        self.held = [each for each in self.held if each.until > now]
        return self.held

    def send_heartbeat(self, repeats: bool = True) -> None:
        if not self.is_up:
            return
        simulation = self.mesh.simulation
        if repeats:
            simulation.after(
                HEARTBEAT_S * simulation.rng.uniform(0.95, 1.05), self.send_heartbeat
            )
        if not self.daemon.is_running:
            return
        self.sequence += 1
        sent_at = simulation.now
        heartbeat = Heartbeat(
            self.instance,
            self.born,
            self.sequence,
            self.state,
            18,
            holds=tuple((h.first, h.last, h.fence) for h in self.holdings()),
            handed_over=dict(self.freed),
        )
        delay_s = 0.001
        if simulation.rng.random() < self.mesh.late_heartbeats:
            longest_s = 8.0 if self.mesh.delivers_former_heartbeats else 2.5
            delay_s = simulation.rng.uniform(0.2, longest_s)
        simulation.after(delay_s, lambda: self._arrive(heartbeat, sent_at))

    def _arrive(self, heartbeat: Heartbeat, sent_at: float) -> None:
        daemon = self.daemon
        if not daemon.is_running:
            return
        if daemon.target is not self and not self.mesh.delivers_former_heartbeats:
            return
        if daemon.is_frozen:
            self.mesh.simulation.after(0.05, lambda: self._arrive(heartbeat, sent_at))
            return
        grant = daemon.on_heartbeat(heartbeat)
        if grant is not None and self.mesh.simulation.now - sent_at < 1.0:
            self.mesh.simulation.after(
                0.001, lambda: self._take(grant, sent_at, heartbeat)
            )

    def on_request(self, request: KeyRequest) -> tuple[RequestResult, str]:
        """Carry out a grant or a release that the daemon requested."""
        if not isinstance(request, GrantRequest):
            return RequestResult.DONE, self._release(request)
        span, now = request.span, self.mesh.simulation.now
        first, last = request.range
        overlapping = [
            each
            for each in self.holdings()
            if each.first <= last and first <= each.last
        ]
        if any(each.fence > span.fence for each in overlapping):
            return RequestResult.FENCED, ""
        self._drop(first, last)
        until = now + request.hold_s * SLOW_CLOCK
        self.held.append(Held(first, last, span.fence, until))
        self.mesh.check(self)
        return RequestResult.DONE, ""

    def _release(self, request: KeyRequest) -> str:
        self._drop(*request.range)
        return f"t{next(self._tokens)}"

    def _drop(self, first: int, last: int) -> None:
        remaining = []
        for held in self.holdings():
            if held.first < first:
                remaining.append(replace(held, last=min(held.last, first - 1)))
            if last < held.last:
                remaining.append(replace(held, first=max(held.first, last + 1)))
        self.held = remaining

    def _take(self, grant: Grant, sent_at: float, heartbeat: Heartbeat) -> None:
        if not self.is_up:
            return
        for row in heartbeat.handed_over:
            self.freed.pop(row, None)
        if grant.hold_s <= 0:
            return
        until = sent_at + grant.hold_s * SLOW_CLOCK
        wanted = {(span.first, span.last): span for span in grant.spans}
        released = False
        for held in self.holdings():
            if (held.first, held.last) not in wanted:
                self.freed[held.first, held.last] = f"t{next(self._tokens)}"
                released = True
        self.held = [
            Held(first, last, span.fence, until)
            for (first, last), span in wanted.items()
        ]
        self.mesh.check(self)
        if released:
            self.mesh.simulation.after(0.1, lambda: self.send_heartbeat(repeats=False))


class FakeDaemon:
    """The parts of a daemon that ownership needs, without network connections."""

    def __init__(self, mesh: OwnershipMesh, number: int, region: str) -> None:
        self.mesh = mesh
        self.local_address = f"10.0.0.{number}:1"
        self.region = region
        self.domain = "d"
        self.life = 0
        self.is_running = False
        self.is_frozen = False
        self.is_cut_from_store = False
        self.is_cut_from_peers = False
        self.target: FakeTarget | None = None
        self.targets = 0
        self.connected_target: FakeTarget | None = None

    def start(self) -> None:
        self.life += 1
        self.is_running, self.is_frozen = True, False
        now = self.mesh.simulation.now
        self.timers = TimerService()
        self.timers.advance_to(now)
        self.directory = KeyDirectory()
        self.lease = ReadLease(lambda: not self.directory.is_restoring(SERVICE))
        self.liveness = Liveness(now)
        self.target_keys = TargetKeys(self.local_address, now, self.mesh.by_request)
        self.connected_target = None
        self.balancer = RangeLoadBalancer(self.local_address, KeyLoadSampler())
        self.range_witness = RangeWitness(self.local_address, now)
        self.votes = ReplacementVotes(self.local_address, self.range_witness)
        self.witnessed_lease = WitnessedLease(now)
        self.reconciler = TableReconciler(
            self.local_address,
            SERVICE,
            self.region,
            self.directory,
            self.target_keys,
            self.liveness,
            self.balancer,
            self.range_witness,
            self.votes,
            self.witnessed_lease,
            now,
        )
        self.reconciler.evacuated_domains = self.mesh.evacuated
        store = LogPort(self.mesh.log, self)
        rng = random.Random(f"{self.local_address} {self.life} {self.mesh.seed}")
        self.follower = TopicFollower(
            store,
            TOPIC,
            self.timers,
            lambda now: NO_WAIT,
            2.0,
            self._on_entries,
            self._on_complete,
            lambda reachable, reason: None,
            rng,
            known_end=lambda: self.directory.end,
        )
        self.publisher = RecordPublisher(
            self.local_address,
            SERVICE,
            store,
            self.directory,
            self.reconciler,
            LossReports(self.local_address, self.region, self.directory, self.liveness),
            self.lease,
            self.range_witness,
            self.timers,
            rng,
            self._on_written,
            self.follower.start,
        )
        self.publisher.by_key = True
        self.follower.start(now)
        life = self.life
        self.mesh.simulation.after(0.1, lambda: self._tick(life))

    def begin_epoch(self, epoch: int) -> None:
        if epoch <= self.directory.epoch:
            return
        now = self.mesh.simulation.now
        self.directory.begin_epoch(epoch)
        self.reconciler.begin_epoch(now)
        self.range_witness.begin_epoch()
        self.follower.restart(now, directory_topic(epoch))

    def learn_evacuations(self) -> None:
        if self.is_frozen:
            self.mesh.simulation.after(0.05, self.learn_evacuations)
        elif self.is_running:
            now = self.mesh.simulation.now
            self.reconciler.evacuated_domains = self.mesh.evacuated
            self.publisher.write_due(now, self._member(now))

    def kill(self) -> None:
        self.is_running = False
        self.life += 1

    def _on_entries(self, now, entries) -> None:
        for entry in entries:
            self.directory.apply(entry)

    def _on_complete(self, now, sent_at, end) -> None:
        is_first = not self.directory.is_loaded
        self.directory.advance_end(end)
        if is_first:
            member = self.directory.member_by_address.get(self.local_address)
            self.target_keys.restore(member)
            run = self.directory.departed_run(self.local_address)
            self.target_keys.restore_departure(run)
        self.lease.confirm(sent_at)

    def _on_written(self, now, entry, reason) -> None:
        for peer in self.mesh.reachable_peers(self):
            delay_s = self.mesh.simulation.rng.uniform(0.001, 0.05)
            self.mesh.simulation.after(delay_s, lambda p=peer: p.on_push(entry))

    def on_push(self, entry: Entry) -> None:
        if self.is_running and not self.is_frozen:
            self.begin_epoch(epoch_of(entry.offset))
            self.directory.apply_next(entry)
            self._request_keys(self.mesh.simulation.now)

    # Targets that take keys by requests

    def _request_keys(self, now: float) -> None:
        if not self.mesh.by_request:
            return
        requests = self.target_keys.due_requests(
            now,
            self._table(),
            self._lease_remaining_s(now),
            self.directory.settled_end(SERVICE),
        )
        for request in requests:
            self._send_to_target(request)

    def _send_to_target(self, request: KeyRequest) -> None:
        """Send a request over the connection to the target, or over a new one.

        The request names the instance that it is meant for.
        """
        simulation, life = self.mesh.simulation, self.life
        instance = self.target_keys.instance
        if self.connected_target is None:
            self.connected_target = self.target
        target = self.connected_target
        loses_answer = simulation.rng.random() < self.mesh.lost_grants

        def finish(result: RequestResult, token: str = "") -> None:
            if self.life != life:
                return
            if self.is_frozen:
                simulation.after(0.05, lambda: finish(result, token))
                return
            if result is RequestResult.UNKNOWN:
                self.lose_connection()
            now = simulation.now
            self.target_keys.record_result(now, request, result, token)
            self.publisher.write_due(now, self._member(now))

        def arrive() -> None:
            if target.is_up and target.instance != instance:
                simulation.after(0.001, lambda: finish(RequestResult.REFUSED))
            elif target.is_up and not loses_answer:
                answer = target.on_request(request)
                simulation.after(0.001, lambda: finish(*answer))
            else:
                late_s = simulation.rng.choice([0.0, 0.5, 2.0])
                simulation.after(late_s, lambda: self._execute_late(target, request))
                simulation.after(0.4, lambda: finish(RequestResult.UNKNOWN))

        simulation.after(0.001, arrive)

    def lose_connection(self) -> None:
        self.connected_target = None
        self.target_keys.record_connection_lost()

    def _execute_late(self, target: FakeTarget, request: KeyRequest) -> None:
        """Carry out a request late; the time of a grant counts from its arrival."""
        if not target.is_up:
            return
        if isinstance(request, GrantRequest):
            waited_s = self.mesh.simulation.now - request.sent_at
            if waited_s >= request.hold_s:
                return
            request = replace(request, hold_s=request.hold_s - waited_s)
        target.on_request(request)

    def _tick(self, life: int) -> None:
        if self.life != life:
            return
        self.mesh.simulation.after(0.1, lambda: self._tick(life))
        if self.is_frozen:
            return
        now = self.mesh.simulation.now
        for event in list(self.timers.due(now)):
            event.fire(now)
        others = {each.local_address for each in self.mesh.daemons}
        self.liveness.watch(now, others - {self.local_address})
        for peer in self.mesh.reachable_peers(self):
            if not peer.is_frozen:
                self.liveness.record_contact(now, peer.local_address)
        self._request_keys(now)
        self.publisher.write_due(now, self._member(now))
        ticks = round(now * 10)
        if ticks % 10 == 0:
            self._confirm_by_peer(now)
        if ticks % 5 == 0:
            self._request_renewals(now)
        self._request_votes(now)

    def _table(self) -> KeyTable | None:
        return self.directory.table_by_service.get(SERVICE)

    def _set_witnesses(self, now: float) -> tuple[str, ...]:
        table = self._table()
        witnesses = table.witnesses_of(self.local_address) if table else ()
        self.witnessed_lease.set_witnesses(now, witnesses)
        return witnesses

    def _send(self, peer: FakeDaemon, action: Callable[[], None]) -> None:
        """Deliver a message to a peer after a delay, or once it is no longer frozen."""
        simulation, life = self.mesh.simulation, peer.life

        def arrive() -> None:
            if peer.is_frozen:
                simulation.after(0.05, arrive)
            elif peer.is_running and peer.life == life:
                action()

        simulation.after(simulation.rng.uniform(0.001, 0.05), arrive)

    def _request_renewals(self, now: float) -> None:
        witnesses = self._set_witnesses(now)
        if self.local_address in witnesses:
            end = self.directory.settled_end(SERVICE)
            self.witnessed_lease.confirm(now, self.local_address, now, end)
        for peer in self.mesh.reachable_peers(self):
            if peer.local_address in witnesses:
                self._send(peer, lambda p=peer: p.on_renewal_request(self, now))

    def on_renewal_request(self, owner: FakeDaemon, requested_at: float) -> None:
        now, table = self.mesh.simulation.now, self._table()
        if table is None or not self.directory.has_booted(owner.local_address):
            return
        self.range_witness.update_from_table(now, table)
        ends = (self.directory.end, self.directory.settled_end(SERVICE))
        if self.range_witness.try_renew(now, owner.local_address, *ends):
            self._send(
                owner, lambda: owner.on_lease_renewed(self.local_address, requested_at)
            )

    def on_lease_renewed(self, witness: str, requested_at: float) -> None:
        now = self.mesh.simulation.now
        self._set_witnesses(now)
        end = self.directory.settled_end(SERVICE)
        self.witnessed_lease.confirm(now, witness, requested_at, end)

    def _request_votes(self, now: float) -> None:
        table, end = self._table(), self.directory.end
        if table is None or self.directory.is_restoring(SERVICE):
            return
        peers = {peer.local_address: peer for peer in self.mesh.reachable_peers(self)}
        for witness, owner in self.votes.vote_requests(now, table, end):
            if witness in peers:
                peer = peers[witness]
                self._send(
                    peer, lambda p=peer, o=owner: p.on_vote_request(self, o, end)
                )

    def on_vote_request(self, requester: FakeDaemon, owner: str, at: int) -> None:
        if self.range_witness.vote_to_replace(self.mesh.simulation.now, owner, at):
            self._send(
                requester,
                lambda: requester.votes.record_vote(self.local_address, owner, at),
            )

    def _confirm_by_peer(self, now: float) -> None:
        """Confirm the read lease from a peer's directory, as pings do."""
        peers = [peer for peer in self.mesh.reachable_peers(self) if not peer.is_frozen]
        if not peers or not self.directory.is_loaded:
            return
        peer = self.mesh.simulation.rng.choice(peers)
        self.begin_epoch(epoch_of(peer.directory.end))
        if peer.directory.is_loaded and peer.directory.end <= self.directory.end:
            self.lease.confirm(now - peer.lease.age_s(now))

    def _member(self, now: float) -> Member | None:
        return self.target_keys.member(now, SERVICE, self.domain, self.region)

    def on_heartbeat(self, heartbeat: Heartbeat) -> Grant | None:
        now = self.mesh.simulation.now
        if not self.target_keys.accepts(now, heartbeat):
            return None
        self.target_keys.record_heartbeat(now, heartbeat)
        self.publisher.write_due(now, self._member(now))
        if self.mesh.by_request:
            self._request_keys(now)
            return None
        remaining_s = self._lease_remaining_s(now)
        return self.target_keys.grant(
            now, self._table(), remaining_s, self.directory.settled_end(SERVICE)
        )

    def _lease_remaining_s(self, now: float) -> float:
        if not self.range_witness.has_boot_record(self.directory.end):
            return 0.0
        return min(self.lease.remaining_s(now), self.witnessed_lease.remaining_s(now))


@dataclass
class Overlap:
    """Two targets that held a key at the same time, or a fence that did not rise."""

    at: float
    description: str


class OwnershipMesh:
    """Simulated daemons and targets that share one log.

    With `by_request` the targets take their keys by requests, else from the answers to
    their heartbeats. With `reuses_ids` a restarted target has the id that it had. With
    `delivers_former_heartbeats` late heartbeats arrive also when another run of the
    target has begun, and the clock of a run may be ahead of that of the next one.
    """

    def __init__(
        self,
        seed: int,
        count: int = 4,
        by_request: bool = False,
        reuses_ids: bool = False,
        delivers_former_heartbeats: bool = False,
    ) -> None:
        self.seed = seed
        self.by_request = by_request
        self.reuses_ids = reuses_ids
        self.delivers_former_heartbeats = delivers_former_heartbeats
        self.simulation = Simulation(seed)
        self.log = FakeLog(self.simulation, seed)
        self.late_heartbeats = 0.0
        #: Share of the grants and releases whose answer is lost.
        self.lost_grants = 0.0
        self.overlaps: list[Overlap] = []
        self._fence_rows: list[tuple[int, int, int, str]] = []
        self.evacuated: frozenset[str] = frozenset()
        self.daemons = [
            FakeDaemon(self, number, f"r{number % 2}") for number in range(1, count + 1)
        ]
        for daemon in self.daemons:
            self.simulation.after(self.simulation.rng.uniform(0, 0.3), daemon.start)
            self.new_target(daemon)

    def evacuate(self, *domains: str) -> None:
        """Let these failure domains be the evacuated ones, known a little later."""
        self.evacuated = frozenset(domains)
        for index, daemon in enumerate(self.daemons):
            self.simulation.after(0.1 * index, daemon.learn_evacuations)

    def add_daemon(self) -> FakeDaemon:
        """Start another daemon with a target, and return it."""
        number = len(self.daemons) + 1
        daemon = FakeDaemon(self, number, f"r{number % 2}")
        self.daemons.append(daemon)
        daemon.start()
        self.new_target(daemon)
        return daemon

    def new_target(self, daemon: FakeDaemon) -> None:
        if daemon.target is not None:
            daemon.target.is_up = False
            if daemon.is_running:
                daemon.lose_connection()
        daemon.targets += 1
        daemon.target = FakeTarget(self, daemon, daemon.targets)

    def reachable_peers(self, daemon: FakeDaemon) -> list[FakeDaemon]:
        if daemon.is_cut_from_peers:
            return []
        return [
            each
            for each in self.daemons
            if each is not daemon and each.is_running and not each.is_cut_from_peers
        ]

    def check(self, receiver: FakeTarget) -> None:
        """Record an overlap if another target holds keys that `receiver` now holds."""
        for daemon in self.daemons:
            other = daemon.target
            if other is None or other is receiver or not other.is_up:
                continue
            for held in receiver.held:
                for other_held in other.holdings():
                    if held.first <= other_held.last and other_held.first <= held.last:
                        description = (
                            f"{receiver.instance} {held} and "
                            f"{other.instance} {other_held}"
                        )
                        self.overlaps.append(Overlap(self.simulation.now, description))
        self._check_fences(receiver)

    def _check_fences(self, receiver: FakeTarget) -> None:
        for held in receiver.held:
            for first, last, fence, run in self._fence_rows:
                overlaps = held.first <= last and first <= held.last
                if overlaps and run != receiver.run and fence >= held.fence:
                    description = f"{receiver.run} {held} after {run} with {fence}"
                    self.overlaps.append(Overlap(self.simulation.now, description))
            row = (held.first, held.last, held.fence, receiver.run)
            if row not in self._fence_rows:
                self._fence_rows.append(row)

    def owners(self) -> dict[str, int]:
        """Return the number of keys that each target holds now, by its instance."""
        return {
            daemon.target.instance: sum(
                held.last - held.first + 1 for held in daemon.target.holdings()
            )
            for daemon in self.daemons
            if daemon.target is not None and daemon.target.is_up
        }


@dataclass
class FaultPlan:
    """Random faults over a run, and a list of those that were injected."""

    mesh: OwnershipMesh
    injected: list[str] = field(default_factory=list)

    def schedule(self, count: int, start: float, end: float) -> None:
        """Schedule a number of random faults between two times."""
        rng = self.mesh.simulation.rng
        faults = [
            self._kill_daemon,
            self._restart_target,
            self._lose_target,
            self._freeze,
            self._cut_store,
            self._cut_peers,
            self._cut_all,
            self._store_down,
            self._lose_answers,
            self._late_heartbeats,
            self._leave,
        ]
        if self.mesh.by_request:
            faults.append(self._lose_grants)
        for _ in range(count):
            fault = rng.choice(faults)
            daemon = rng.choice(self.mesh.daemons)
            at = rng.uniform(start, end)
            duration_s = rng.uniform(0.3, 9.0)
            self.mesh.simulation.after(
                at, lambda f=fault, d=daemon, s=duration_s: f(d, s)
            )

    def _record(
        self, description: str, daemon: FakeDaemon | None, duration_s: float
    ) -> None:
        subject = daemon.local_address if daemon else "store"
        self.injected.append(
            f"{self.mesh.simulation.now:.2f} {description} {subject} {duration_s:.1f}"
        )

    def _after(self, duration_s: float, action: Callable[[], None]) -> None:
        self.mesh.simulation.after(duration_s, action)

    def _kill_daemon(self, daemon: FakeDaemon, duration_s: float) -> None:
        if daemon.is_running:
            self._record("kill", daemon, duration_s)
            daemon.kill()
            self._after(duration_s / 2, daemon.start)

    def _restart_target(self, daemon: FakeDaemon, duration_s: float) -> None:
        self._record("restart target", daemon, duration_s)
        self.mesh.new_target(daemon)

    def _lose_target(self, daemon: FakeDaemon, duration_s: float) -> None:
        self._record("lose target", daemon, duration_s)
        daemon.target.is_up = False
        self._after(duration_s, lambda: self.mesh.new_target(daemon))

    def _freeze(self, daemon: FakeDaemon, duration_s: float) -> None:
        self._record("freeze", daemon, duration_s)
        daemon.is_frozen = True

        def unfreeze() -> None:
            daemon.is_frozen = False

        self._after(duration_s, unfreeze)

    def _cut(self, daemon: FakeDaemon, duration_s: float, *names: str) -> None:
        self._record(f"cut {names}", daemon, duration_s)
        for name in names:
            setattr(daemon, name, True)

        def heal() -> None:
            for name in names:
                setattr(daemon, name, False)

        self._after(duration_s, heal)

    def _cut_store(self, daemon: FakeDaemon, duration_s: float) -> None:
        self._cut(daemon, duration_s, "is_cut_from_store")

    def _cut_peers(self, daemon: FakeDaemon, duration_s: float) -> None:
        self._cut(daemon, duration_s, "is_cut_from_peers")

    def _cut_all(self, daemon: FakeDaemon, duration_s: float) -> None:
        self._cut(daemon, 1.5 * duration_s, "is_cut_from_store", "is_cut_from_peers")

    def _store_down(self, daemon: FakeDaemon, duration_s: float) -> None:
        self._record("store down", None, duration_s)
        self.mesh.log.down = True

        def heal() -> None:
            self.mesh.log.down = False

        self._after(duration_s, heal)

    def _lose_answers(self, daemon: FakeDaemon, duration_s: float) -> None:
        self._record("answers lost", None, duration_s)
        self.mesh.log.lose_answers = 0.5

        def heal() -> None:
            self.mesh.log.lose_answers = 0.0

        self._after(duration_s, heal)

    def _late_heartbeats(self, daemon: FakeDaemon, duration_s: float) -> None:
        self._record("late heartbeats", None, duration_s)
        self.mesh.late_heartbeats = 0.4

        def heal() -> None:
            self.mesh.late_heartbeats = 0.0

        self._after(duration_s, heal)

    def _lose_grants(self, daemon: FakeDaemon, duration_s: float) -> None:
        self._record("answers to grants lost", None, duration_s)
        self.mesh.lost_grants = 0.4

        def heal() -> None:
            self.mesh.lost_grants = 0.0

        self._after(duration_s, heal)

    def _leave(self, daemon: FakeDaemon, duration_s: float) -> None:
        self._record("leave", daemon, duration_s)
        target = daemon.target
        target.state = TargetState.LEAVING
        self._after(duration_s, lambda: self.mesh.new_target(daemon))


@dataclass
class RestorePlan:
    """Random restores of the store from older copies, beside the faults of a plan.

    They are drawn from a generator of their own, so that the faults of a seed stay as
    they are.
    """

    plan: FaultPlan

    def schedule(self, start: float, end: float) -> None:
        """Schedule one or two restores between two times."""
        rng = random.Random(f"restores {self.plan.mesh.seed}")
        for _ in range(rng.choice([1, 1, 2])):
            at = rng.uniform(start, end)
            away_s, lost_s = rng.uniform(0.5, 6.0), rng.uniform(1.0, 10.0)
            self.plan.mesh.simulation.after(
                at, lambda a=away_s, x=lost_s: self.restore(a, x)
            )

    def schedule_at_change(self, start: float) -> None:
        """Schedule a restore when the next table after `start` has been written.

        The copy lacks it, and faults of its writer keep most others from learning of
        it.
        """
        mesh = self.plan.mesh
        rng = random.Random(f"restore at change {mesh.seed}")
        is_done = False

        def disturb(writer: FakeDaemon) -> None:
            nonlocal is_done
            if is_done or mesh.simulation.now < start:
                return
            is_done = True
            self.restore(rng.uniform(0.2, 2.0), rng.uniform(0.5, 4.0))
            faults = [
                self.plan._cut_peers,
                self.plan._cut_all,
                self.plan._freeze,
                self.plan._kill_daemon,
            ]
            for _ in range(rng.choice([1, 1, 2])):
                fault, duration_s = rng.choice(faults), rng.uniform(0.3, 6.0)
                mesh.simulation.after(
                    rng.choice([0.0, 0.05, 0.1, 1.0, 2.0, 4.0]),
                    lambda f=fault, s=duration_s: f(writer, s),
                )
            other = rng.choice(mesh.daemons)
            duration_s = rng.uniform(0.3, 6.0)
            fault = rng.choice(faults)
            mesh.simulation.after(
                rng.uniform(0.0, 3.0), lambda: fault(other, duration_s)
            )

        mesh.log.on_table = disturb

    def restore(self, away_s: float, lost_s: float) -> None:
        """Restore the store from a copy of some age; see `FakeLog.restore`."""
        self.plan._record(f"restore, {lost_s:.1f} s lost,", None, away_s)
        self.plan.mesh.log.restore(away_s, lost_s)
