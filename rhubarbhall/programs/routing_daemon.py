"""The daemon on the users' platform: its ports around the rooms of the core."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
from circuits import BaseComponent

from rhubarbhall.adapters.callers import CallerServer
from rhubarbhall.adapters.client import SWEEP_S, HttpClient
from rhubarbhall.adapters.clock import Clock, boot_time
from rhubarbhall.adapters.journal import write_note
from rhubarbhall.adapters.peer_links import LOOK_S, PeerLinks
from rhubarbhall.adapters.peer_sessions import PeerSessions
from rhubarbhall.caller_limits import CallerLimits
from rhubarbhall.core.commands import Note
from rhubarbhall.core.errors import ConfigurationError, ErrorKind
from rhubarbhall.core.ownership.directory import Directory, Entry
from rhubarbhall.core.ownership.follower import Follower
from rhubarbhall.core.ownership.guardian import (
    RENEW_S,
    Guard,
    GuardedLease,
    LapseVotes,
)
from rhubarbhall.core.ownership.heat_balancer import HeatBalancer
from rhubarbhall.core.ownership.keeper import Keeper
from rhubarbhall.core.ownership.key_heat import KeyHeat
from rhubarbhall.core.ownership.liveness import Liveness
from rhubarbhall.core.ownership.publisher import TOPIC, Publisher
from rhubarbhall.core.ownership.read_lease import ReadLease
from rhubarbhall.core.ownership.records import Member
from rhubarbhall.core.ownership.target_holds import TargetHolds
from rhubarbhall.core.timers import Alarm, TimerService
from rhubarbhall.core.traffic.choosing import TargetChooser
from rhubarbhall.core.traffic.entrance import Entrance
from rhubarbhall.core.traffic.gate import Gate
from rhubarbhall.core.traffic.retry_budget import RetryBudget
from rhubarbhall.platform.heartbeats import HeartbeatSink
from rhubarbhall.platform.ingress import CallerSink, ReadinessSink
from rhubarbhall.platform.names import OPERATOR_TOPIC
from rhubarbhall.platform.settings import PlatformSettings, read_settings
from rhubarbhall.platform.store import LogStore
from rhubarbhall.platform.target import TargetPort
from rhubarbhall.programs.request_journal import RequestJournal
from rhubarbhall.programs.router_dump import dump_router
from rhubarbhall.programs.router_figures import gauges_of, render_figures
from rhubarbhall.programs.router_peers import PeerSide
from rhubarbhall.programs.router_store import CALLER_CONNECTIONS, StoreSide
from rhubarbhall.programs.router_target import KeyView, TargetSide
from rhubarbhall.settings import split_address

if TYPE_CHECKING:
    from rhubarbhall.adapters.log_output import LogOutput
    from rhubarbhall.core.ownership.key_table import KeyTable
    from rhubarbhall.core.traffic.journeys import CallerRequest
    from rhubarbhall.core.traffic.requests import Outcome
    from rhubarbhall.types import Seconds

#: Least time between two reads of the directory, and the age of what is known from
#: which on one is due, at least and at most. Peers pass news on and tell each other how
#: old their knowledge is, so a few of them read for all.
DIRECTORY_PAUSE_S = 2.0
DIRECTORY_AGE_S = (2.0, 3.5)
#: Time that the store holds a read of the operators' configuration, and the pause after
#: one, so that several changes come with the next.
CONFIGURATION_WAIT_S = 8.0
CONFIGURATION_PAUSE_S = 0.1
#: Time between two questions to a peer of the own region.
COMPARE_S = 1.0
#: Connections to the store for reads that wait, and for other calls.
STORE_READS = 4
STORE_WRITES = 4
#: Connections of the target and of the platform.
CONTROL_CONNECTIONS = 32
#: Time after a signal to stop for which requests are taken: until the platform has
#: asked twice whether the daemon is ready and sends no more.
STOP_TAKING_S = 2.4
#: Time before that at which other daemons are asked to send no more requests.
GOODBYE_S = 0.5
#: Time before the process is killed at which it ends in any case.
STOP_MARGIN_S = 0.6
#: Size of the number that tells one run of a process from the next.
SESSION_BITS = 63
#: Time between looks at the settings file.
SETTINGS_LOOK_S = 1.0


class RoutingDaemon(StoreSide, TargetSide, PeerSide, BaseComponent):
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
        self.votes = LapseVotes(self.me, self.guard)
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
        session = self._rng.getrandbits(SESSION_BITS)
        self.links = PeerLinks(self.me, settings.service, self, self.now, session)
        self.sessions = PeerSessions(self.me, self, self.now)
        self.target = TargetPort(
            f"target-{self.me}",
            settings.target,
            self._on_target_outcome,
            self._on_target_unreachable,
        )
        self.journal = RequestJournal(settings.vm, self)
        self.gate = Gate(self.target, KeyView(self), self.journal.gate_worked)
        self.chooser = TargetChooser(
            self.me, settings.domain, settings.region, self.directory, self.liveness
        )
        self.entrance = Entrance(
            self.me,
            settings.service,
            self.directory,
            self.chooser,
            self.gate,
            self.links,
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
            self.votes,
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
            self._needs_directory_read,
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
            self.sessions.acceptor,
            self.links.dialer,
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
            (RENEW_S, self._ask_renewal),
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
        self.links.look()
        self.sessions.look()
        self._look_at_target(now)
        self.gate.expire(now)
        self._ask_for_loads(now)
        self._ask_about_lapsed(now)
        if self.guarded_lease.left_s(now) <= 0:
            self._ask_renewal(now)
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

    def _needs_directory_read(self, now: Seconds) -> bool:
        return self.lease.age_s(now) > self._rng.uniform(*DIRECTORY_AGE_S)

    def _ask_for_loads(self, now: Seconds) -> None:
        """Ask those who could take keys how busy they are, if the own target is."""
        if self.publisher.by_key and self.balancer.is_busy(now):
            for address in self.keeper.other_owners():
                self.links.ping(address)

    def _compare(self, now: Seconds) -> None:
        """Ask a peer nearby what it knows of the store."""
        peers = self.links.near_peers()
        if peers:
            self.links.ping(self._rng.choice(peers))

    def lease_left_s(self, now: Seconds) -> Seconds:
        """Return for how long the own target may be granted its keys."""
        if not self.guard.has_begun(self.directory.end):
            return 0.0
        return min(self.lease.left_s(now), self.guarded_lease.left_s(now))

    def own_table(self) -> KeyTable | None:
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
        return render_figures(self.journal.figures, gauges_of(self, self._told_now()))

    def _dump_page(self) -> tuple[str, bytes]:
        state = dump_router(self, self._told_now())
        return "application/json", msgspec.json.encode(state)

    # Callers

    def submit(
        self, asked: CallerRequest, reply: Callable[[Outcome], None]
    ) -> int | None:
        """Take a request of the own VM."""
        return self.entrance.submit(self._told_now(), asked, reply)

    def caller_gone(self, ticket: int) -> None:
        """Give a request up."""
        self.entrance.caller_gone(self._told_now(), ticket)

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
            self.sessions.say_goodbye()
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
