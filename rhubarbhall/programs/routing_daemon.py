"""The daemon on the users' platform: its ports around the rooms of the core."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
from circuits import BaseComponent

from rhubarbhall.adapters.callers import CallerLimits, CallerServer
from rhubarbhall.adapters.client import SWEEP_S, HttpClient
from rhubarbhall.adapters.clock import Clock, boot_time
from rhubarbhall.adapters.journal import write_note
from rhubarbhall.adapters.peer_frames import Pong, Push, SyncAsk, SyncEntry, SyncTell
from rhubarbhall.adapters.peer_links import LOOK_S, Origin, PeerHub
from rhubarbhall.core.commands import Note
from rhubarbhall.core.errors import ConfigurationError, ErrorKind
from rhubarbhall.core.ownership.directory import Directory, Entry
from rhubarbhall.core.ownership.follower import Follower
from rhubarbhall.core.ownership.guardian import RENEW_S, Guard, GuardedLease
from rhubarbhall.core.ownership.heat_balancer import HeatBalancer
from rhubarbhall.core.ownership.keeper import Keeper
from rhubarbhall.core.ownership.key_heat import KeyHeat, TargetLoad
from rhubarbhall.core.ownership.liveness import Liveness
from rhubarbhall.core.ownership.publisher import TOPIC, Publisher
from rhubarbhall.core.ownership.read_lease import ReadLease
from rhubarbhall.core.ownership.records import Member, TargetState
from rhubarbhall.core.ownership.target_holds import TargetHolds
from rhubarbhall.core.timers import Alarm, TimerService
from rhubarbhall.core.traffic.choosing import TargetChooser
from rhubarbhall.core.traffic.entrance import Entrance
from rhubarbhall.core.traffic.gate import Gate
from rhubarbhall.core.traffic.requests import NotRun
from rhubarbhall.core.traffic.retry_budget import RetryBudget
from rhubarbhall.platform.heartbeats import HeartbeatSink
from rhubarbhall.platform.ingress import CallerSink, ReadinessSink
from rhubarbhall.platform.names import CONFIGURATION_KEY, OPERATOR_TOPIC
from rhubarbhall.platform.operator import parse_configuration
from rhubarbhall.platform.settings import PlatformSettings, read_settings
from rhubarbhall.platform.store import LogStore
from rhubarbhall.platform.target import TargetPort
from rhubarbhall.programs.request_journal import RequestJournal
from rhubarbhall.programs.router_dump import dump_router
from rhubarbhall.programs.router_figures import render_figures
from rhubarbhall.settings import split_address

if TYPE_CHECKING:
    from rhubarbhall.adapters.log_output import LogOutput
    from rhubarbhall.core.ownership.target_holds import Grant
    from rhubarbhall.core.traffic.entrance import CallerRequest
    from rhubarbhall.core.traffic.requests import Load, Outcome, Request
    from rhubarbhall.platform.heartbeats import Announcement
    from rhubarbhall.types import Address, Offset, Seconds

#: Time between two reads of the directory. Peers pass news on, so these reads only
#: confirm the lease and find what was not passed on.
DIRECTORY_PAUSE_S = 2.0
#: Time that the store holds a read of the operators' configuration, and the pause after
#: one, so that several changes come with the next.
CONFIGURATION_WAIT_S = 8.0
CONFIGURATION_PAUSE_S = 0.1
#: Time between two questions to a peer of the own region.
COMPARE_S = 1.0
#: Connections to the store for reads that wait, and for other calls.
STORE_READS = 4
STORE_WRITES = 4
#: Connections of callers, and of the target and the platform.
CALLER_CONNECTIONS = 2000
CONTROL_CONNECTIONS = 32
#: Time after a signal to stop for which requests are taken: until the platform has
#: asked twice whether the daemon is ready and sends no more.
STOP_TAKING_S = 2.4
#: Time before that at which other daemons are asked to send no more requests.
GOODBYE_S = 0.5
#: Time before the process is killed at which it ends in any case.
STOP_MARGIN_S = 0.6
#: Time before the end of a leaving target's work at which it gets no more.
LEAVING_MARGIN_S = 1.0
#: Time between looks at the settings file.
SETTINGS_LOOK_S = 1.0


class _KeyView:
    """What the gate asks and tells about keys."""

    def __init__(self, daemon: RoutingDaemon) -> None:
        self._daemon = daemon

    def note_request(self, now: Seconds, key: int) -> None:
        """Count a request for a key."""
        self._daemon.balancer.heat.note_request(now, key)

    def note_duration(self, took_s: Seconds) -> None:
        """Learn how long a request for a key took."""
        self._daemon.balancer.heat.note_duration(took_s)

    def note_refused(self) -> None:
        """Learn that the target did not take a request for a key."""
        self._daemon.balancer.heat.note_refused()

    def may_work_on(self, now: Seconds, key: int) -> bool:
        """Tell whether the target holds a key."""
        return self._daemon.holds.may_work_on(now, key)

    def awaits(self, key: int) -> bool:
        """Tell whether the table says that the target is to hold a key."""
        table = self._daemon.own_table()
        if table is None:
            return False
        span = table.find(key)
        return span.owner == self._daemon.me and not span.previous_lost


class RoutingDaemon(BaseComponent):
    """One daemon with all its ports.

    Parameters
    ----------
    settings_path : Path
        The platform's settings file.
    settings : PlatformSettings
        Its present content.
    on_exit : callable
        Called once the daemon has ended by itself.
    log : LogOutput
        Where log lines go.
    """

    def __init__(
        self,
        settings_path: Path,
        settings: PlatformSettings,
        on_exit: Callable[[], None],
        log: LogOutput,
    ) -> None:
        super().__init__()
        self.log = log
        self.settings = settings
        self.me = settings.peers
        self._settings_path = settings_path
        self._settings_stamp = _stamp(settings_path)
        self._on_exit = on_exit
        self._stop_at: Seconds | None = None
        self._said_goodbye = False
        self._ended = False
        started_at = self.now()
        self.timers = TimerService()
        self.timers.tell(started_at)
        self._rng = random.Random(f"{self.me} {time.time_ns()}")
        self.directory = Directory()
        self.liveness = Liveness(started_at)
        self.lease = ReadLease()
        self.guard = Guard(self.me, started_at)
        self.guarded_lease = GuardedLease(started_at)
        self.holds = TargetHolds(self.me, started_at)
        self._configuration: Entry | None = None
        self._noted_decision: dict[str, object] | None = None
        self._build_traffic()
        self._build_ownership(started_at)
        self._build_ports()

    @staticmethod
    def now() -> Seconds:
        """Return the time on the clock that leases go by."""
        return boot_time()

    def note(self, note: Note) -> None:
        """Write a numbered event."""
        write_note(self.settings.vm, note)

    # Building

    def _build_traffic(self) -> None:
        settings = self.settings
        self.hub = PeerHub(self.me, settings.service, self, self.now)
        self.target = TargetPort(
            f"target-{self.me}",
            settings.target,
            self._on_target_outcome,
            self._on_target_unreachable,
        )
        self.journal = RequestJournal(settings.vm, self)
        self.gate = Gate(self.target, _KeyView(self), self.journal.gate_worked)
        self.chooser = TargetChooser(
            self.me, settings.domain, settings.region, self.directory, self.liveness
        )
        self.entrance = Entrance(
            self.me,
            settings.service,
            self.directory,
            self.chooser,
            self.gate,
            self.hub,
            self.timers,
            lambda: RetryBudget(settings.retry_ratio, settings.retry_window_s),
            self.journal,
        )

    def _build_ownership(self, started_at: Seconds) -> None:
        settings = self.settings
        reads = HttpClient(f"store-reads-{self.me}", STORE_READS)
        writes = HttpClient(f"store-writes-{self.me}", STORE_WRITES)
        self._clients = (reads, writes)
        store = LogStore(reads, writes, settings.store, self._count_store_call)
        self.balancer = HeatBalancer(self.me, KeyHeat())
        self.keeper = Keeper(
            self.me,
            settings.service,
            settings.region,
            self.directory,
            self.holds,
            self.liveness,
            self.balancer,
            self.guard,
            self.guarded_lease,
            started_at,
        )
        self.publisher = Publisher(
            self.me,
            settings.service,
            store,
            self.directory,
            self.keeper,
            self.lease,
            self.guard,
            self.timers,
            self._rng,
            self._on_written,
            lambda now: self._follower.start(now),
        )
        self._follower = Follower(
            store,
            TOPIC,
            self.timers,
            0.0,
            DIRECTORY_PAUSE_S,
            self._on_entries,
            self._on_complete,
            self._on_store_contact,
            self._rng,
        )
        self._configuration_follower = Follower(
            store,
            OPERATOR_TOPIC,
            self.timers,
            CONFIGURATION_WAIT_S,
            CONFIGURATION_PAUSE_S,
            self._on_operator_entries,
            lambda now, sent_at, end: None,
            lambda reachable, reason: None,
            self._rng,
        )

    def _build_ports(self) -> None:
        settings = self.settings
        callers = CallerSink(self)
        control = CallerLimits(connections=CONTROL_CONNECTIONS)
        heartbeats = HeartbeatSink(self)
        pages = {"/metrics": self._metrics_page, "/dump": self._dump_page}
        readiness = ReadinessSink(self.is_ready, pages)
        self.callers = CallerServer(
            split_address(settings.callers),
            f"callers-{self.me}",
            callers,
            CallerLimits(connections=CALLER_CONNECTIONS),
        )
        self._heartbeat_port = CallerServer(
            split_address(settings.heartbeats),
            f"heartbeats-{self.me}",
            heartbeats,
            control,
        )
        self._readiness_port = CallerServer(
            split_address(settings.readiness),
            f"readiness-{self.me}",
            readiness,
            control,
        )
        callers.answers = self.callers
        heartbeats.answers = self._heartbeat_port
        readiness.answers = self._readiness_port
        for component in (
            *self._clients,
            self.target,
            self.hub.acceptor,
            self.hub.dialer,
            self.callers,
            self._heartbeat_port,
            self._readiness_port,
            Clock(self.timers, self._on_timers_due, self.now),
        ):
            component.register(self)

    def begin(self) -> None:
        """Begin to follow the store and to serve."""
        now = self.now()
        for interval_s, look in (
            (LOOK_S, self._look),
            (SWEEP_S, self._sweep),
            (SETTINGS_LOOK_S, self._look_at_settings),
            (COMPARE_S, self._compare),
            (RENEW_S, self._ask_word),
        ):
            self.timers.every(interval_s, Alarm(look), first=now + interval_s)
        # Connections can be opened once the loop runs.
        self.timers.at(now, Alarm(self._follower.start))
        self.timers.at(now, Alarm(self._configuration_follower.start))
        self.note(Note(111, {"address": self.me, "service": self.settings.service}))

    def _on_timers_due(self) -> None:
        for event in list(self.timers.due(self.now())):
            event.ring(self.timers.now())

    def _told_now(self) -> Seconds:
        """Return the time and tell the timers, on which the core relies."""
        now = self.now()
        self.timers.tell(now)
        return now

    # Looking around

    def _look(self, now: Seconds) -> None:
        self.hub.look()
        self._look_at_target(now)
        self.gate.expire(now)
        self._ask_for_loads(now)
        self.publisher.look(now, self._member(now))
        if self._stop_at is not None:
            self._look_whether_to_end(now)

    def _sweep(self, now: Seconds) -> None:
        for client in self._clients:
            client.sweep()
        self.target.sweep()
        for server in (self.callers, self._heartbeat_port, self._readiness_port):
            server.sweep()

    def _look_at_target(self, now: Seconds) -> None:
        if self.holds.is_silent(now) and self.gate.closed is None:
            self.gate.close(ErrorKind.TARGET_UNREACHABLE)
            silence_s = round(now - self.holds.heard_at, 3)
            self.note(Note(214, {"run": self.holds.run, "silence_s": silence_s}))

    def _ask_for_loads(self, now: Seconds) -> None:
        """Ask those who could take keys how busy they are, if the own target is."""
        if self.publisher.by_key and self.balancer.is_busy(now):
            for address in self.keeper.other_owners():
                self.hub.ping(address)

    def _compare(self, now: Seconds) -> None:
        """Ask a peer nearby what it knows of the store."""
        peers = self.hub.near_peers()
        if peers:
            self.hub.ping(self._rng.choice(peers))

    def _ask_word(self, now: Seconds) -> None:
        """Ask the own guardian for its word."""
        table = self.own_table()
        guardian = table.guardian_of(self.me) if table else None
        if guardian == self.me:
            self.guarded_lease.confirm(now, now, self.directory.end)
        elif guardian is not None:
            self.hub.ask_word(guardian)

    def on_renew(self, owner: Address) -> bool:
        """Tell whether an owner gets this daemon's word as its guardian."""
        now = self._told_now()
        table = self.own_table()
        if table is None:
            return False
        self.guard.note_table(now, table)
        return self.guard.gives_word(now, owner, self.directory.end)

    def on_renewed(self, guardian: Address, asked_at: Seconds) -> None:
        """Take the word of the own guardian."""
        table = self.own_table()
        if table is not None and table.guardian_of(self.me) == guardian:
            now = self._told_now()
            self.guarded_lease.confirm(now, asked_at, self.directory.end)

    def lease_left_s(self, now: Seconds) -> Seconds:
        """Return for how long the own target may be granted its keys."""
        return min(self.lease.left_s(now), self.guarded_lease.left_s(now))

    def own_table(self):
        """Return the table of the own service, if there is one."""
        return self.directory.table_by_service.get(self.settings.service)

    def _member(self, now: Seconds) -> Member | None:
        """Return the own record as it shall be; none while that is not known."""
        heartbeat = self.holds.heartbeat
        if heartbeat is None and not self.holds.is_overdue(now):
            return None
        settings = self.settings
        return Member(
            settings.service,
            settings.domain,
            settings.region,
            heartbeat.run if heartbeat else "",
            heartbeat.slots if heartbeat else 1,
            self.holds.state(now),
        )

    def is_ready(self) -> bool:
        """Tell whether callers should send requests here."""
        known = self.directory.is_loaded and self.entrance.routing is not None
        return known and self._stop_at is None

    def _metrics_page(self) -> tuple[str, bytes]:
        return render_figures(self.journal.figures, self._gauges())

    def _dump_page(self) -> tuple[str, bytes]:
        state = dump_router(self, self._told_now())
        return "application/json", msgspec.json.encode(state)

    def _gauges(self) -> dict[str, tuple[str, float]]:
        now = self._told_now()
        load = self.gate.load
        table = self.own_table()
        held = sum(span.size for span in table.owned_by(self.me)) if table else 0
        age_s = min(self.lease.age_s(now), 1e9)
        budgets = self.entrance.budget_by_service.values()
        return {
            "ready": ("Whether callers are taken.", float(self.is_ready())),
            "directory_age_seconds": ("Time since all of it was known.", age_s),
            "keys_owned": ("Keys that the table gives the own target.", float(held)),
            "orders_running": ("Requests at the target.", float(load.running)),
            "orders_waiting": ("Requests that wait for it.", float(load.waiting)),
            "orders_limit": ("Requests that it gets at a time.", float(load.slots)),
            "utilization": (
                "Slots needed by requests by key, over those there are.",
                self.balancer.own_load(now).utilization,
            ),
            "requests_in_flight": ("No outcome yet.", float(self.entrance.in_flight)),
            "retry_budget_left": (
                "Repeats left over all services.",
                float(sum(budget.left for budget in budgets)),
            ),
            "peer_frames_rejected": ("Could not be read.", float(self.hub.rejected)),
            "log_lines_dropped": ("For want of room.", float(self.log.dropped)),
        }

    # The store

    def _count_store_call(self, call: str, result: str) -> None:
        self.journal.figures.store_calls[call, result] += 1

    def _on_entries(self, now: Seconds, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            rejected = self.directory.apply(now, entry)
            if rejected is not None:
                fields = {"key": entry.key, "reason": rejected.reason}
                self.note(Note(112, fields))
        if entries:
            self._on_directory_changed(now)

    def _on_directory_changed(self, now: Seconds) -> None:
        region = self.settings.region
        region_by_address = {
            address: member.region
            for address, member in self.directory.member_by_address.items()
            if address != self.me
        }
        self.hub.set_members(region, region_by_address)
        self.gate.keys_changed(now)
        self.publisher.look(now, self._member(now))

    def _on_complete(self, now: Seconds, sent_at: Seconds, end: Offset) -> None:
        self.directory.note_end(end)
        self.lease.confirm(sent_at)

    def _on_store_contact(self, reachable: bool, reason: str) -> None:
        if reachable:
            self.note(Note(114, {}))
        else:
            self.note(Note(113, {"reason": reason}))

    def _note_moves(self, now: Seconds) -> None:
        """Write down what the last moves away from the own target rested on."""
        decision = self.balancer.last_decision
        if decision is not None and decision is not self._noted_decision:
            self._noted_decision = decision
            self.note(Note(215, decision))

    def _on_written(self, now: Seconds, entry: Entry, reason: str) -> None:
        self._note_moves(now)
        self.note(Note(211, {"key": entry.key, "reason": str(reason)}))
        self._on_directory_changed(now)
        passed_on = SyncEntry(entry.offset, entry.key, entry.value)
        self.hub.push(passed_on, everywhere=True)

    def _on_operator_entries(self, now: Seconds, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            if entry.key == CONFIGURATION_KEY and entry.value:
                self._take_configuration(entry)

    def _take_configuration(self, entry: Entry) -> None:
        known = self._configuration
        if known is not None and known.offset >= entry.offset:
            return
        try:
            routing = parse_configuration(entry.value)
        except ValueError as error:
            self.note(Note(412, {"offset": entry.offset, "reason": str(error)}))
            return
        self._configuration = entry
        if self.entrance.routing and routing.version < self.entrance.routing.version:
            return
        self.entrance.routing = routing
        rules = routing.services_by_name.get(self.settings.service)
        self.publisher.by_key = rules is not None and rules.by_key
        callers = routing.callers
        self.callers.limit(
            CallerLimits(
                CALLER_CONNECTIONS,
                callers.max_head,
                callers.max_body,
                callers.head_timeout_s,
                callers.idle_timeout_s,
            )
        )
        fields = {"version": routing.version, "routes": len(routing.routes)}
        self.note(Note(411, fields))

    # The own target

    def on_heartbeat(self, announcement: Announcement) -> Grant | None:
        """Take a heartbeat and return the grant to answer with."""
        now = self._told_now()
        settings = self.settings
        known = (settings.target, settings.service)
        if (announcement.address, announcement.service) != known:
            fields = {"reason": f"{announcement.service} at {announcement.address}"}
            self.note(Note(213, fields))
            return None
        heartbeat = announcement.heartbeat
        if not self.holds.accepts(heartbeat):
            return None
        before = self.holds.heartbeat
        self.holds.note(now, heartbeat)
        self.target.instance = heartbeat.instance
        if before is None or (before.run, before.state) != (
            heartbeat.run,
            heartbeat.state,
        ):
            fields = {"run": heartbeat.run, "state": str(heartbeat.state)}
            self.note(Note(212, fields))
        self._follow_state(now, before is not None and before.state)
        return self._grant(now)

    def _follow_state(self, now: Seconds, before: TargetState | bool) -> None:
        state = self.holds.state(now)
        if state is TargetState.READY:
            self.gate.open(self.holds.heartbeat.slots)
            self.balancer.slots = self.holds.heartbeat.slots
        elif before is not TargetState.LEAVING:
            self._close_gate_soon(now)
        self.publisher.look(now, self._member(now))

    def _grant(self, now: Seconds) -> Grant | None:
        if not self.publisher.by_key:
            return None
        grant = self.holds.grant(now, self.own_table(), self.lease_left_s(now))
        self.gate.keys_changed(now)
        return grant

    def _close_gate_soon(self, now: Seconds) -> None:
        """Give a leaving target no more work well before it may no longer get any."""
        run = self.holds.run
        due = now + max(0.0, self.settings.drain_s - LEAVING_MARGIN_S)

        def close(later: Seconds) -> None:
            if self.holds.run == run and not self._takes_work(later):
                self.gate.close(ErrorKind.SHUTTING_DOWN)

        self.timers.at(due, Alarm(close))

    def _takes_work(self, now: Seconds) -> bool:
        return self.holds.state(now) is TargetState.READY

    def on_target_left(self, instance: str) -> None:
        """Learn that a target says it is gone."""
        now = self._told_now()
        if instance != self.holds.instance:
            return
        self.holds.note_left()
        self.note(Note(212, {"run": self.holds.run, "state": "left"}))
        self._close_gate_soon(now)
        self.publisher.look(now, self._member(now))

    def on_bad_heartbeat(self, reason: str) -> None:
        """Learn of a heartbeat that cannot be read."""
        self.note(Note(213, {"reason": reason}))

    def _on_target_outcome(self, ticket: int, outcome: Outcome) -> None:
        self.gate.finish(self._told_now(), ticket, outcome)

    def _on_target_unreachable(self, refused: bool) -> None:
        self.gate.note_unreachable(self._told_now())

    # Callers

    def submit(
        self, asked: CallerRequest, reply: Callable[[Outcome], None]
    ) -> int | None:
        """Take a request of the own VM."""
        return self.entrance.submit(self._told_now(), asked, reply)

    def caller_gone(self, ticket: int) -> None:
        """Give a request up."""
        self.entrance.caller_gone(self._told_now(), ticket)

    # Other daemons

    def on_outcome(
        self, address: Address, ticket: int, outcome: Outcome, load: Load | None
    ) -> None:
        """Take the outcome of a request that was sent to another daemon."""
        self.entrance.on_outcome(self._told_now(), ticket, address, outcome, load)

    def on_forward(self, origin: Origin, request: Request) -> int:
        """Take a request for the own target."""
        now = self._told_now()

        def on_outcome(outcome: Outcome) -> None:
            self.journal.gate_ended(request, outcome)
            self.hub.answer(origin, outcome, self.gate.load)

        if request.service != self.settings.service:
            on_outcome(NotRun(ErrorKind.NO_TARGET))
            return 0
        if self._said_goodbye:
            on_outcome(NotRun(ErrorKind.SHUTTING_DOWN))
            return 0
        return self.gate.submit(now, request, on_outcome)

    def on_cancel(self, ticket: int) -> None:
        """Give up a request for the own target."""
        self.gate.cancel(self._told_now(), ticket)

    def on_heard(self, address: Address) -> None:
        """Learn that a daemon is alive."""
        self.liveness.note_heard(self._told_now(), address)

    def on_refused(self, address: Address) -> None:
        """Learn that no process listens at an address."""
        self.liveness.note_refused(self._told_now(), address)

    def on_link(self, address: Address, is_up: bool) -> None:
        """Learn that a connection stands, or no longer does."""
        self.note(Note(311 if is_up else 312, {"peer": address}))

    def on_pong(self, address: Address, asked_at: Seconds, pong: Pong) -> None:
        """Learn what a daemon knows of the store, and how busy its target is."""
        now = self._told_now()
        load = TargetLoad(pong.utilization / 1000, pong.cost / 1_000_000)
        self.balancer.note_load(now, address, load)
        if not self.directory.is_loaded:
            return
        own = self._configuration.offset if self._configuration else -1
        if pong.end > self.directory.end or pong.configuration > own:
            self.hub.ask_sync(address, self.directory.end, own)
        else:
            self.lease.confirm(asked_at - pong.age_ms / 1000)

    def on_push(self, push: Push) -> None:
        """Take a record that was just written."""
        now = self._told_now()
        entry = Entry(push.entry.offset, push.entry.key, push.entry.value)
        rejected = self.directory.apply_next(now, entry)
        if rejected is not None:
            self.note(Note(112, {"key": entry.key, "reason": rejected.reason}))
        if push.relay:
            self.hub.push(push.entry, everywhere=False)
        self._on_directory_changed(now)

    def on_sync_ask(self, ask: SyncAsk) -> SyncTell:
        """Return records for a daemon that lacks them."""
        now = self._told_now()
        entries = [
            SyncEntry(entry.offset, entry.key, entry.value)
            for entry in self.directory.entries_from(ask.offset)
        ]
        age_ms = int(min(self.lease.age_s(now), 3600.0) * 1000)
        known = self._configuration
        newer = None
        if known is not None and known.offset > ask.configuration:
            newer = SyncEntry(known.offset, known.key, known.value)
        return SyncTell(entries, self.directory.end, age_ms, newer)

    def on_sync_tell(self, address: Address, asked_at: Seconds, tell: SyncTell) -> None:
        """Take records that a daemon passes on."""
        now = self._told_now()
        if tell.configuration is not None:
            told = tell.configuration
            self._take_configuration(Entry(told.offset, told.key, told.value))
        entries = tuple(
            Entry(each.offset, each.key, each.value) for each in tell.entries
        )
        if not self.directory.is_loaded:
            return
        self._on_entries(now, entries)
        self.directory.note_end(tell.end)
        if tell.end >= self.directory.end:
            self.lease.confirm(asked_at - tell.age_ms / 1000)

    def pong(self, number: int) -> Pong:
        """Return the answer to a ping."""
        age_s = min(self.lease.age_s(self._told_now()), 3600.0)
        offset = self._configuration.offset if self._configuration else -1
        load = self.balancer.own_load(self.timers.now())
        return Pong(
            number,
            self.directory.end,
            int(age_s * 1000),
            offset,
            int(load.utilization * 1000),
            int(load.cost * 1_000_000),
        )

    # Settings and the end

    def _look_at_settings(self, now: Seconds) -> None:
        if _stamp(self._settings_path) != self._settings_stamp:
            self.reload()

    def reload(self) -> None:
        """Take over changed settings; wrong ones change nothing."""
        self._settings_stamp = _stamp(self._settings_path)
        try:
            settings = read_settings(self._settings_path)
        except ConfigurationError as error:
            self.note(Note(415, {"reason": str(error)}))
            return
        changed = settings != self.settings
        self.note(Note(414, {"changed": changed}))
        if changed:
            # Ports, target and service are built in; the process is started anew with
            # the settings of that moment.
            self.request_stop()

    def request_stop(self) -> None:
        """Drain and end; a second call does it no faster."""
        if self._stop_at is None:
            self._stop_at = self._told_now()
            self.note(Note(313, {"in_flight": self.entrance.in_flight}))

    def _look_whether_to_end(self, now: Seconds) -> None:
        stopping_s = now - self._stop_at
        if stopping_s >= STOP_TAKING_S - GOODBYE_S and not self._said_goodbye:
            self._said_goodbye = True
            self.hub.say_goodbye()
        if stopping_s < STOP_TAKING_S:
            return
        if not self.callers.draining:
            self.callers.draining = True
            self.callers.stop_listening()
        self.callers.close_idle()
        is_quiet = not self.entrance.in_flight and self.gate.is_idle
        overdue = stopping_s > self.settings.grace_s - STOP_MARGIN_S
        if (is_quiet and not self.callers.connections) or overdue:
            self._end()

    def _end(self) -> None:
        if not self._ended:
            self._ended = True
            self.note(Note(314, {"in_flight": self.entrance.in_flight}))
            self._on_exit()


def _stamp(path: Path) -> tuple[int, int] | None:
    """Return what changes when a file is written, or none if it is not there."""
    try:
        status = path.stat()
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size
