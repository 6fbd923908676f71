"""A simulated mesh of daemons on one virtual clock.

`Mesh` runs the real nodes of the core. It carries out their commands with fakes of the
network, the platform's log and the targets, and can inject faults into each of them.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from rhubarbhall.core import commands, events
from rhubarbhall.core.context import Context
from rhubarbhall.core.directory import Directory
from rhubarbhall.core.intent import DEFAULT_ROUTE
from rhubarbhall.core.node import SNAPSHOT_EVERY, Node
from rhubarbhall.core.peer_messages import HeartbeatAnswer
from rhubarbhall.core.records import (
    IntentRecord,
    Join,
    Record,
    make_envelope,
)
from rhubarbhall.core.requests import Request, Response
from rhubarbhall.core.slices import SliceRef, slice_of_key
from rhubarbhall.core.snapshots import encode_directory
from rhubarbhall.core.timing import Timing
from tests.fake_ports import TICK_S, Execution, FakeLog, FakeTarget

#: Unix time in milliseconds when the virtual clock is at zero.
WALL_MS_AT_ZERO = 1_800_000_000_000
SERVICE = "status"
#: Region and domain of six VMs.
SIX_PLACES = [
    ("idukki", "i1"),
    ("idukki", "i2"),
    ("wayanad", "w1"),
    ("wayanad", "w2"),
    ("kottayam", "k1"),
    ("kottayam", "k2"),
]
INTENT = {
    "services": {
        SERVICE: {"targets": "app=status", "slices": 12, "hold_ms": 4000},
    }
}


@dataclass
class Host:
    """A VM with one daemon and its target.

    Parameters
    ----------
    name, region, domain : str
        Name, region and failure domain of the VM.
    rate : float
        Seconds on the clock of the VM per second of the virtual clock.

    Attributes
    ----------
    node : Node
        The daemon.
    target : FakeTarget
        The target beside the daemon.
    frozen_commands : list of Command
        Commands of the daemon that its pause interrupted, because the process froze
        after deciding them; `Mesh.resume` carries them out.
    inbox : list of Event
        Events that arrived while the daemon was paused.
    paused, lost, exited : bool
        Whether the daemon is paused, the VM is lost, and the daemon has ended.
    answers : dict of int to Response
        Answers to the callers on this VM, by the number of the request.
    connection_limit : int, optional
        Limit of connections that the daemon set last.
    log_events : list of LogEvent
        The log events of the daemon.
    """

    name: str
    region: str
    domain: str
    rate: float
    node: Node = field(init=False)
    target: FakeTarget = field(init=False)
    frozen_commands: list = field(default_factory=list)
    inbox: list = field(default_factory=list)
    paused: bool = False
    lost: bool = False
    exited: bool = False
    answers: dict[int, Response] = field(default_factory=dict)
    connection_limit: int | None = None
    log_events: list[commands.LogEvent] = field(default_factory=list)

    @property
    def runs(self) -> bool:
        """Whether the daemon is running and not paused."""
        return not (self.paused or self.lost or self.exited)

    def local(self, now: float) -> float:
        """Return the time on the monotonic clock of the VM at virtual time `now`."""
        return 1000.0 + now * self.rate


class Mesh:
    """A simulated mesh; its time advances only during `run` and `run_until`.

    Parameters
    ----------
    places : list of (str, str)
        Region and failure domain of each VM.
    seed : int
        Seed of the random delays and losses.
    timing : Timing, optional
        Time limits of the daemons.
    rates : list of float, optional
        Rate of the clock of each VM; all clocks run at rate 1 by default.
    checks_grants : bool
        Whether the targets execute requests only while their grant lasts.
    start : bool
        Whether to start the daemons at once.
    snapshot_every : int
        Number of records between two snapshots of the directory.
    """

    def __init__(
        self,
        places: list[tuple[str, str]],
        seed: int = 0,
        timing: Timing | None = None,
        rates: list[float] | None = None,
        checks_grants: bool = True,
        start: bool = True,
        snapshot_every: int = SNAPSHOT_EVERY,
    ) -> None:
        self.now = 0.0
        self.snapshot_every = snapshot_every
        self.log_reads_by_name: Counter[str] = Counter()
        self.rng = random.Random(seed)
        self.timing = timing or Timing()
        self.log = FakeLog()
        self.executions: list[Execution] = []
        #: Pairs of names, sender first, between which no message arrives. The name of
        #: the log is ``log``.
        self.cuts: set[tuple[str, str]] = set()
        #: Mean delay of a message between two daemons, in seconds.
        self.link_delay_s = 0.002
        #: Additional delay of the answers to heartbeats, in seconds.
        self.renewal_delay_s = 0.0
        #: Probability that a message is lost.
        self.loss = 0.0
        self.appended_ids: list[str] = []
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()
        self._request_ids = itertools.count(1)
        self._run_numbers = itertools.count(1)
        self.checks_grants = checks_grants
        self.host_by_name: dict[str, Host] = {}
        rates = rates or [1.0] * len(places)
        for (region, domain), rate in zip(places, rates, strict=True):
            self.add_host(region, domain, rate, start=start)

    # Hosts

    def add_host(
        self, region: str, domain: str, rate: float = 1.0, start: bool = True
    ) -> Host:
        name = f"vm{len(self.host_by_name)}"
        host = Host(name, region, domain, rate)
        host.target = FakeTarget(self, host, self.checks_grants)
        self.host_by_name[name] = host
        if start:
            self.start(host)
        return host

    def start(self, host: Host) -> None:
        """Start a new daemon on a host, in place of the previous process."""
        host.lost = host.paused = host.exited = False
        host.inbox.clear()
        host.frozen_commands.clear()
        join = Join(
            member=self._new_member_id(host),
            calls=f"{host.name}:1",
            peers=f"{host.name}:2",
            region=host.region,
            domain=host.domain,
            labels={"app": SERVICE, "vm": host.name},
            boot=host.name,
            checks_grants=self.checks_grants,
            started_at=host.local(self.now),
        )
        seeds = tuple(f"{other}:2" for other in self.host_by_name if other != host.name)
        context = Context(
            join,
            self.timing,
            random.Random(f"{self.rng.random()}{host.name}"),
            lambda: WALL_MS_AT_ZERO + int(self.now * 1000),
            seeds=seeds,
        )
        host.node = Node(
            context, lambda: self._new_member_id(host), self.snapshot_every
        )
        self._execute_all(host, host.node.start(host.local(self.now)))

    def _new_member_id(self, host: Host) -> str:
        return f"{host.name}-{next(self._run_numbers)}"

    def pause(self, host: Host) -> None:
        """Suspend the daemon of a host; see `resume`."""
        host.paused = True

    def resume(self, host: Host) -> None:
        """Resume a paused daemon: first its unfinished commands, then missed events."""
        host.paused = False
        frozen, host.frozen_commands = host.frozen_commands, []
        for command in frozen:
            self._execute(host, command)
        inbox, host.inbox = host.inbox, []
        for event in inbox:
            self._step(host, event)

    def lose(self, host: Host) -> None:
        """Lose a VM: its daemon ends, and orders in progress have no effect."""
        host.lost = True
        host.target.fence += 1

    def cut(self, one: Host, other: Host, both_ways: bool = True) -> None:
        """Drop all messages from `one` to `other`, and by default the other way too."""
        self.cuts.add((one.name, other.name))
        if both_ways:
            self.cuts.add((other.name, one.name))

    def heal(self) -> None:
        """Restore all links that `cut` has interrupted."""
        self.cuts.clear()

    @property
    def hosts(self) -> list[Host]:
        return list(self.host_by_name.values())

    # Time

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action on the virtual clock."""
        due = self.now + delay_s
        heapq.heappush(self._queue, (due, next(self._sequence_numbers), action))

    def run(self, seconds: float, watch: Callable[[], None] | None = None) -> None:
        """Advance the virtual clock; `watch` is called after each tick."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += TICK_S
            while self._queue and self._queue[0][0] <= self.now:
                heapq.heappop(self._queue)[2]()
            for host in self.hosts:
                if host.runs:
                    local = host.local(self.now)
                    self._execute_all(host, host.node.step_timers(local))
            if watch is not None:
                watch()

    def run_until(self, condition: Callable[[], bool], limit_s: float = 60.0) -> float:
        """Advance the clock until `condition` is true; return the elapsed seconds.

        Raises
        ------
        AssertionError
            If the condition is still false after `limit_s`.
        """
        started_at = self.now
        while not condition():
            if self.now - started_at > limit_s:
                raise AssertionError(f"condition still false after {limit_s} s")
            self.run(TICK_S)
        return self.now - started_at

    # Ports

    def deliver(self, host: Host, event: events.Event, delay_s: float) -> None:
        """Deliver an event to the daemon of a host after a delay.

        The event is dropped if that process has ended by then, and waits while the
        daemon is paused.
        """
        node = host.node

        def on_arrival() -> None:
            if host.lost or host.exited or host.node is not node:
                return
            if host.paused:
                host.inbox.append(event)
            else:
                self._step(host, event)

        self.schedule(delay_s, on_arrival)

    def _step(self, host: Host, event: events.Event) -> None:
        self._execute_all(host, host.node.step(host.local(self.now), event))

    def _execute_all(self, host: Host, decided: Iterator[commands.Command]) -> None:
        """Carry out commands; those that follow a pause wait for `resume`."""
        for command in list(decided):
            if host.paused:
                host.frozen_commands.append(command)
            else:
                self._execute(host, command)

    def _execute(self, host: Host, command: commands.Command) -> None:
        name = type(command).__name__
        getattr(self, f"_do_{name}")(host, command)

    def _reaches(self, one: Host, other: Host | None) -> bool:
        """Return whether a message from `one` reaches `other`; draws a random loss."""
        if other is None or other.lost or other.exited:
            return False
        if (one.name, other.name) in self.cuts:
            return False
        return self.rng.random() >= self.loss

    def _host_at(self, address: str) -> Host | None:
        return self.host_by_name.get(address.partition(":")[0])

    def log_reachable_from(self, host: Host) -> bool:
        return self.log.up and (host.name, "log") not in self.cuts

    def _do_LogEvent(self, host: Host, note: commands.LogEvent) -> None:
        host.log_events.append(note)

    def _do_Exit(self, host: Host, command: commands.Exit) -> None:
        host.exited = True

    def _do_LimitConnections(
        self, host: Host, command: commands.LimitConnections
    ) -> None:
        host.connection_limit = command.count

    def _do_SendPeer(self, host: Host, command: commands.SendPeer) -> None:
        other = self._host_at(command.address)
        if self._reaches(host, other):
            received = events.PeerMessageReceived(
                host.node.context.member_id, command.message
            )
            delay = self.link_delay_s * (0.5 + self.rng.random())
            if isinstance(command.message, HeartbeatAnswer):
                delay += self.renewal_delay_s
            self.deliver(other, received, delay)

    def _do_ReadLog(self, host: Host, command: commands.ReadLog) -> None:
        sent_at = host.local(self.now)
        if command.peer is not None:
            self._read_from_peer(host, command, sent_at)
            return
        if not self.log_reachable_from(host):
            self.deliver(host, events.ReadFailed(True), 0.2)
            return

        self.log_reads_by_name[host.name] += 1

        def answer() -> None:
            records = self.log.read(command.offset)
            after = command.offset + len(records)
            self.deliver(
                host,
                events.RecordsRead(
                    sent_at,
                    self.log.first_offset,
                    records,
                    after >= self.log.end,
                    0.0,
                    True,
                ),
                self.log.delay_s,
            )

        self.schedule(self.log.delay_s, answer)

    def _read_from_peer(
        self, host: Host, command: commands.ReadLog, sent_at: float
    ) -> None:
        peer = self._host_at(command.peer)
        if not self._reaches(host, peer) or not peer.runs:
            self.deliver(host, events.ReadFailed(False), 0.2)
            return
        context = peer.node.context
        peer_end = context.directory.next_offset
        records = tuple(
            each for each in self.log.read(command.offset) if each.offset < peer_end
        )
        age = peer.local(self.now) - context.log_contact_at
        after = command.offset + len(records)
        first = self.log.first_offset if peer_end else command.offset
        read = events.RecordsRead(
            sent_at, first, records, after >= peer_end, age, False
        )
        self.deliver(host, read, 2 * self.link_delay_s)

    def _do_ReadSnapshot(self, host: Host, command: commands.ReadSnapshot) -> None:
        peer = self._host_at(command.peer)
        if not self._reaches(host, peer) or not peer.runs:
            self.deliver(host, events.ReadFailed(False), 0.2)
            return
        data = encode_directory(peer.node.context.directory)
        self.deliver(host, events.SnapshotRead(data), 2 * self.link_delay_s)

    def _do_Append(self, host: Host, command: commands.Append) -> None:
        if not self.log_reachable_from(host):
            self.deliver(host, events.AppendFailed(command.envelope.id), 0.2)
            return
        sent_at = host.local(self.now)

        def append() -> None:
            offset = self.log.append(command.envelope)
            self.appended_ids.append(command.envelope.id)
            if not self.log.loses_answers:
                answer = events.AppendAnswered(command.envelope.id, sent_at, offset)
                self.deliver(host, answer, self.log.delay_s)

        self.schedule(self.log.delay_s, append)

    def _do_RequestRelease(self, host: Host, command: commands.RequestRelease) -> None:
        peer = self._host_at(command.peer)
        if not self._reaches(host, peer) or not peer.runs:
            return
        requested = events.ReleaseRequested(
            command.former, command.slices, command.offset
        )
        peer_commands = list(peer.node.step(peer.local(self.now), requested))
        for peer_command in peer_commands:
            if isinstance(peer_command, commands.ReplyRelease):
                answered = events.ReleaseAnswered(command.former, peer_command.released)
                self.deliver(host, answered, 2 * self.link_delay_s)
            else:
                self._execute(peer, peer_command)

    def _do_FenceTarget(self, host: Host, command: commands.FenceTarget) -> None:
        host.target.fence += 1
        self.deliver(host, events.TargetFenced(), TICK_S)

    def _do_RenewGrant(self, host: Host, command: commands.RenewGrant) -> None:
        target = host.target
        target.grant_until = max(target.grant_until, command.grant_until)

    def _do_SendOrder(self, host: Host, command: commands.SendOrder) -> None:
        host.target.begin(command)

    def _do_CancelOrder(self, host: Host, command: commands.CancelOrder) -> None:
        host.target.cancel(command.request_id)

    def _do_Forward(self, host: Host, command: commands.Forward) -> None:
        peer = self._host_at(command.address)
        request = command.request
        if not self._reaches(host, peer):
            failed = events.ForwardFailed(request.id, written=False)
            self.deliver(host, failed, TICK_S)
            return
        copy = self._copy(request, peer, command.budget_s)

        def on_answer(response: Response) -> None:
            if self._reaches(peer, host):
                answered = events.ForwardAnswered(request.id, response)
                self.deliver(host, answered, self.link_delay_s)

        self._answer_callbacks[(peer.name, copy.id)] = on_answer
        self.deliver(peer, events.RequestArrived(copy), self.link_delay_s)

    def _do_CancelForward(self, host: Host, command: commands.CancelForward) -> None:
        pass

    def _do_Answer(self, host: Host, command: commands.Answer) -> None:
        on_answer = self._answer_callbacks.pop((host.name, command.request_id), None)
        if on_answer is not None:
            on_answer(command.response)
        else:
            assert command.request_id not in host.answers, "answered twice"
            host.answers[command.request_id] = command.response

    # Callers

    @property
    def _answer_callbacks(self) -> dict:
        """Callbacks for the answers to forwarded requests, by host and number."""
        return self.__dict__.setdefault("_answer_callback_by_request", {})

    def _copy(self, request: Request, peer: Host, budget_s: float) -> Request:
        """Return a forwarded request as a peer receives it.

        It has a number of its own, one hop more, and a deadline on the peer's clock.
        """
        now = peer.local(self.now)
        return Request(
            next(self._request_ids),
            request.service,
            request.route,
            request.key,
            request.slice,
            request.method,
            request.path,
            request.headers,
            request.body,
            request.caller,
            now,
            now + budget_s,
            request.idempotency_key,
            request.hops + 1,
        )

    def call(
        self,
        host: Host,
        key: str,
        method: str = "GET",
        idempotency_key: str | None = None,
        deadline_s: float = 5.0,
        caller: str = "caller",
    ) -> int:
        """Send a request to the daemon of a host; return the number of the request."""
        directory = host.node.context.directory
        service = directory.intent.services[SERVICE]
        now = host.local(self.now)
        request = Request(
            next(self._request_ids),
            service,
            service.route_for(method, "/") or DEFAULT_ROUTE,
            key,
            SliceRef(SERVICE, slice_of_key(key, service.slices)),
            method,
            "/",
            (),
            b"",
            caller,
            now,
            now + deadline_s,
            idempotency_key,
        )
        self.deliver(host, events.RequestArrived(request), 0.0)
        return request.id

    # Operators and checks

    def publish(self, document: dict, replaces: int, record_id: str) -> None:
        """Append an intent that replaces a version of the intent."""
        self.log.append(make_envelope(record_id, IntentRecord(replaces, document)))

    def append(self, record_id: str, record: Record) -> None:
        self.log.append(make_envelope(record_id, record))

    def fold(self) -> Directory:
        """Return the directory that results from all records of the log."""
        directory = Directory()
        for stored in self.log.stored:
            directory.apply(stored)
        return directory

    def members_by_slice(self) -> dict[SliceRef, list[str]]:
        """Return the members that may serve each slice now.

        Slices that no member may serve are left out.
        """
        members_by_slice: dict[SliceRef, list[str]] = {}
        for host in self.hosts:
            if host.lost or host.exited:
                continue
            for ref in host.node.servable_slices(host.local(self.now)):
                members_by_slice.setdefault(ref, []).append(host.node.context.member_id)
        return members_by_slice

    def assert_sole_owners(self) -> None:
        """Check that no two members may serve the same slice now."""
        for ref, members in self.members_by_slice().items():
            assert len(members) == 1, f"{ref} is served by {members} at {self.now:.2f}"

    def all_served(self) -> bool:
        """Return whether each slice that keys are hashed to is served by a member."""
        slices = INTENT["services"][SERVICE]["slices"]
        hashed = [ref for ref in self.members_by_slice() if ref.index < slices]
        return len(hashed) == slices
