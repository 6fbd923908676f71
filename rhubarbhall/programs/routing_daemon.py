"""The daemon that runs beside each target on the users' platform.

`RoutingDaemon` builds the decision-making packages of the core, connects them to the
sockets, timers and log of the process, and drives their periodic work.
"""

from __future__ import annotations

import random
import time
import traceback
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
from circuits import BaseComponent

from rhubarbhall.adapters.callers import CallerServer
from rhubarbhall.adapters.client import SWEEP_INTERVAL_S, HttpClient
from rhubarbhall.adapters.clock import TimerRunner, boot_time, fire_due
from rhubarbhall.adapters.log_writer import write_log_event
from rhubarbhall.adapters.peer_links import CHECK_INTERVAL_S, PeerLinks
from rhubarbhall.adapters.peer_sessions import PeerSessions
from rhubarbhall.adapters.peer_traffic import PeerTraffic
from rhubarbhall.caller_limits import CallerLimits
from rhubarbhall.core.commands import LogEvent
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.ownership.directory import KeyDirectory
from rhubarbhall.core.ownership.evacuations import Evacuations
from rhubarbhall.core.ownership.follower import TopicFollower
from rhubarbhall.core.ownership.key_load import KeyLoadSampler
from rhubarbhall.core.ownership.liveness import Liveness
from rhubarbhall.core.ownership.loss_reports import LossReports
from rhubarbhall.core.ownership.peer_selection import (
    RelayedLimits,
    is_reader,
    watched_peers,
)
from rhubarbhall.core.ownership.publisher import TOPIC, RecordPublisher
from rhubarbhall.core.ownership.range_load_balancer import RangeLoadBalancer
from rhubarbhall.core.ownership.range_witness import (
    RENEWAL_INTERVAL_S,
    RangeWitness,
    ReplacementVotes,
    WitnessedLease,
)
from rhubarbhall.core.ownership.read_lease import ReadLease
from rhubarbhall.core.ownership.reconciler import TableReconciler
from rhubarbhall.core.ownership.store_port import NO_WAIT
from rhubarbhall.core.ownership.target_keys import TargetKeys
from rhubarbhall.core.timers import TimerCallback, TimerService
from rhubarbhall.core.traffic.admission_queue import AdmissionQueue
from rhubarbhall.core.traffic.body_budget import BODY_SHARE, BodyBudget
from rhubarbhall.core.traffic.crash_suspects import CrashSuspects
from rhubarbhall.core.traffic.eligibility import LocalPlace, PlacementRules
from rhubarbhall.core.traffic.request_router import RequestRouter
from rhubarbhall.core.traffic.retry_budget import ServiceRetryBudget
from rhubarbhall.core.traffic.target_chooser import TargetChooser
from rhubarbhall.core.traffic.warmup import ColdBounds, Warmup
from rhubarbhall.platform.heartbeats import HeartbeatSink
from rhubarbhall.platform.ingress import CachedPage, CallerSink, ReadinessSink
from rhubarbhall.platform.key_requests import KeyRequestClient
from rhubarbhall.platform.names import OPERATOR_TOPIC
from rhubarbhall.platform.settings import PlatformSettings
from rhubarbhall.platform.store import LogStore
from rhubarbhall.platform.target import HttpTargetClient
from rhubarbhall.programs.request_log import RouterRequestLog
from rhubarbhall.programs.router_dump import dump_router
from rhubarbhall.programs.router_metrics import gauges_of, render_metrics
from rhubarbhall.programs.router_peers import PeerHandlers, RecordGap
from rhubarbhall.programs.router_shutdown import (
    SETTINGS_CHECK_INTERVAL_S,
    ShutdownHandlers,
    file_version,
)
from rhubarbhall.programs.router_store import (
    UNKNOWN_LIMITS,
    StoreHandlers,
    max_caller_connections,
    max_peer_connections,
)
from rhubarbhall.programs.router_suspects import FORGET_INTERVAL_S, SuspectHandlers
from rhubarbhall.programs.router_target import (
    DepartureAnswer,
    LocalCandidate,
    LocalKeyOwnership,
    TargetHandlers,
    UnansweredHeartbeat,
)
from rhubarbhall.settings import split_address

if TYPE_CHECKING:
    from rhubarbhall.adapters.log_output import LogOutput
    from rhubarbhall.core.ownership.key_table import KeyTable
    from rhubarbhall.core.ownership.records import Member
    from rhubarbhall.core.traffic.pending_requests import CallerRequest
    from rhubarbhall.core.traffic.requests import Outcome
    from rhubarbhall.core.traffic.shutdown import Shutdown
    from rhubarbhall.types import Address, Offset, Seconds

#: Minimum time between two reads of the directory from the store, in seconds.
MIN_DIRECTORY_READ_INTERVAL_S = 2.0
#: Number of daemons of each region that read the store on behalf of the others.
READERS_PER_REGION = 4
#: Maximum number of owners that are asked for their load at a time, and the time after
#: which others are asked, in seconds.
MAX_LOAD_PEERS = 8
LOAD_PEERS_INTERVAL_S = 2.0
#: Time between two checks whether other peers are to be watched, in seconds.
PEER_UPDATE_INTERVAL_S = 0.5
#: Pause after each such read, in seconds, so that one read returns several changes.
CONFIGURATION_READ_DELAY_S = 0.1
#: Time between two pings of a peer in the local region, in seconds.
PEER_PING_INTERVAL_S = 1.0
#: Maximum number of connections to the store for long-polling reads.
STORE_READ_CONNECTIONS = 4
#: Maximum number of connections to the store for all other calls.
STORE_CALL_CONNECTIONS = 4
#: Maximum number of inbound connections from the target to the heartbeat port, and from
#: the platform to the readiness port.
MAX_CONTROL_CONNECTIONS = 32
#: Share of the process's memory for what these connections bring and do not accept.
CONTROL_SHARE = 1 / 50
#: Frames of the stack that the log shows of a timer's failure.
FAILURE_FRAMES = 4
#: Bits of the random number that distinguishes this run of the process from others.
SESSION_BITS = 63


class RoutingDaemon(
    StoreHandlers,
    TargetHandlers,
    SuspectHandlers,
    PeerHandlers,
    ShutdownHandlers,
    BaseComponent,
):
    """A router daemon with its inbound ports, outbound connections and timers.

    Parameters
    ----------
    settings_path : Path
        The platform's settings file.
    settings : PlatformSettings
        Content of that file when the process started.
    on_exit : callable
        Called once, without arguments, when the daemon has drained or its grace period
        is about to end.
    log : LogOutput
        Output of the log; its count of dropped lines is served as a metric.
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
        self.local_address = settings.peer_address
        self._settings_path = settings_path
        self._settings_version = file_version(settings_path)
        self._on_exit = on_exit
        self.shutdown: Shutdown | None = None
        self._shutdown_announced = False
        self._ended = False
        self._started_at = started_at = self.now()
        self.timers = TimerService()
        self.timers.advance_to(started_at)
        self._rng = random.Random(f"{self.local_address} {time.time_ns()}")
        self.directory = KeyDirectory()
        self.liveness = Liveness(started_at)
        self.read_lease = ReadLease(
            lambda: not self.directory.is_restoring(settings.service)
        )
        self.range_witness = RangeWitness(self.local_address, started_at)
        self.replacement_votes = ReplacementVotes(
            self.local_address, self.range_witness
        )
        self.witnessed_lease = WitnessedLease(started_at)
        self.target_keys = TargetKeys(
            self.local_address, started_at, settings.grants_by_request
        )
        self._configuration_value = b""
        #: Whether the version in force was at least that of a peer once.
        self._is_configuration_compared = False
        self.relayed = RelayedLimits(self.local_address)
        self.suspects = CrashSuspects()
        self._suspects_pushed_at: Seconds = float("-inf")
        self._directory_gap = RecordGap()
        self._configuration_gap = RecordGap()
        self.evacuations = Evacuations()
        self._evacuation_gap = RecordGap()
        self._member_version = 0
        self._watched_version = 0
        self._region_by_address: dict[Address, str] = {}
        self._reads_store = True
        self._load_peers: list[Address] = []
        self._load_peers_chosen_at: Seconds = float("-inf")
        self._unanswered_heartbeat: UnansweredHeartbeat | None = None
        self._unanswered_departures: list[DepartureAnswer] = []
        self._logged_decision: dict[str, object] | None = None
        self.max_caller_connections = max_caller_connections(settings.max_descriptors)
        self._build_traffic()
        self._build_ownership(started_at)
        self._build_ports()

    @staticmethod
    def now() -> Seconds:
        """Return the time on the clock that all leases use, in seconds."""
        return boot_time()

    def log_event(self, event: LogEvent) -> None:
        """Write a numbered event to the log."""
        write_log_event(self.settings.vm, event)

    # Construction

    def _build_traffic(self) -> None:
        settings = self.settings
        session = self._rng.getrandbits(SESSION_BITS)
        self.body_budget = BodyBudget(BODY_SHARE * settings.memory_bytes)
        self.peer_traffic = PeerTraffic()
        self.links = PeerLinks(
            self.local_address,
            settings.service,
            self,
            self.now,
            session,
            self.peer_traffic,
        )
        self.sessions = PeerSessions(
            self.local_address,
            self,
            self.now,
            self.peer_traffic,
            self.body_budget,
            max_peer_connections(settings.max_descriptors),
        )
        self.target = HttpTargetClient(
            f"target-{self.local_address}",
            settings.target_address,
            self._on_target_outcome,
            self._on_target_unreachable,
            self._on_target_reachable,
            self._on_target_notice,
            self.body_budget,
            self._on_target_disconnected,
        )
        self.key_requests = KeyRequestClient(
            f"key-requests-{self.local_address}",
            settings.target_address,
            self._on_key_result,
            self.target_keys.record_connection_lost,
        )
        self.request_log = RouterRequestLog(settings.vm, self)
        self.placement_rules = PlacementRules(
            LocalPlace(settings.region, settings.domain)
        )
        self.placement_rules.evacuated_domains = None
        self.admission_queue = AdmissionQueue(
            settings.service,
            self.target,
            LocalKeyOwnership(self),
            self.suspects,
            self.request_log.record_local_durations,
            self.placement_rules.local_refusal,
        )
        self.admission_queue.refusals = self.request_log.metrics.refusals
        self.admission_queue.returns = self.request_log.metrics.returns
        self.admission_queue.warmup = Warmup(
            ColdBounds(settings.cold_factor, settings.cold_slack)
        )
        self.chooser = TargetChooser(
            self.local_address,
            settings.region,
            self.directory,
            self.liveness,
            LocalCandidate(self),
        )
        self.request_router = RequestRouter(
            self.local_address,
            settings.service,
            self.directory,
            self.chooser,
            self.admission_queue,
            self.links,
            self.timers,
            lambda: ServiceRetryBudget(settings.retry_ratio, settings.retry_window_s),
            self.suspects,
            self.request_log,
            self.placement_rules,
        )
        self.request_router.refusals = self.request_log.metrics.refusals

    def _build_ownership(self, started_at: Seconds) -> None:
        settings = self.settings
        reads = HttpClient(f"store-reads-{self.local_address}", STORE_READ_CONNECTIONS)
        writes = HttpClient(
            f"store-writes-{self.local_address}", STORE_CALL_CONNECTIONS
        )
        self._clients = (reads, writes)
        self._store = store = LogStore(
            reads,
            writes,
            settings.store_address,
            self._count_store_call,
            self._begin_epoch,
        )
        self.balancer = RangeLoadBalancer(self.local_address, KeyLoadSampler())
        self.reconciler = TableReconciler(
            self.local_address,
            settings.service,
            settings.region,
            self.directory,
            self.target_keys,
            self.liveness,
            self.balancer,
            self.range_witness,
            self.replacement_votes,
            self.witnessed_lease,
            started_at,
        )
        self.publisher = RecordPublisher(
            self.local_address,
            settings.service,
            store,
            self.directory,
            self.reconciler,
            LossReports(
                self.local_address, settings.region, self.directory, self.liveness
            ),
            self.read_lease,
            self.range_witness,
            self.timers,
            self._rng,
            self._on_written,
            lambda now: self._follower.start(now),
        )
        self._follower = TopicFollower(
            store,
            TOPIC,
            self.timers,
            lambda now: NO_WAIT,
            MIN_DIRECTORY_READ_INTERVAL_S,
            self._on_entries,
            self._on_complete,
            self._on_store_contact,
            self._rng,
            self._needs_directory_read,
            known_end=lambda: self.directory.end,
        )
        self._configuration_follower = TopicFollower(
            store,
            OPERATOR_TOPIC,
            self.timers,
            self._configuration_poll,
            CONFIGURATION_READ_DELAY_S,
            self._on_operator_entries,
            self._on_operator_topic_read,
            lambda reachable, reason: None,
            self._rng,
            self._needs_configuration_read,
            on_snapshot=self.evacuations.begin_snapshot,
        )

    def _build_ports(self) -> None:
        settings = self.settings
        callers = CallerSink(self)
        control = CallerLimits(connections=MAX_CONTROL_CONNECTIONS)
        self._control_budget = BodyBudget(CONTROL_SHARE * settings.memory_bytes)
        heartbeats = HeartbeatSink(self)
        pages = {
            "/metrics": CachedPage(self._metrics_page, self.now),
            "/dump": CachedPage(self._dump_page, self.now),
        }
        readiness = ReadinessSink(self.is_ready, pages, self.clear_suspect)
        self.callers = CallerServer(
            split_address(settings.caller_address),
            f"callers-{self.local_address}",
            callers,
            replace(UNKNOWN_LIMITS, connections=self.max_caller_connections),
            self.body_budget,
        )
        self.body_budget.add_source(lambda: self.callers.held_bytes)
        self.body_budget.add_source(lambda: self.links.held_bytes)
        self.body_budget.add_source(lambda: self.sessions.held_bytes)
        self.body_budget.add_relief(self.callers.relieve)
        self.body_budget.add_relief(self.sessions.relieve)
        self.links.dialer.budget = self.body_budget
        self._heartbeat_port = CallerServer(
            split_address(settings.heartbeat_address),
            f"heartbeats-{self.local_address}",
            heartbeats,
            control,
            self._control_budget,
        )
        self._readiness_port = CallerServer(
            split_address(settings.readiness_address),
            f"readiness-{self.local_address}",
            readiness,
            control,
            self._control_budget,
        )
        for port in (self._heartbeat_port, self._readiness_port):
            self._control_budget.add_source(lambda port=port: port.held_bytes)
            self._control_budget.add_relief(port.relieve)
        callers.answers = self.callers
        heartbeats.answers = self._heartbeat_port
        readiness.answers = self._readiness_port
        for component in (
            *self._clients,
            self.target,
            self.key_requests,
            self.sessions.acceptor,
            self.links.dialer,
            self.callers,
            self._heartbeat_port,
            self._readiness_port,
            TimerRunner(self.timers, self._fire_due_timers, self.now),
        ):
            component.register(self)

    def begin(self) -> None:
        """Start the timers and follow the topics of the store."""
        now = self.now()
        for interval_s, callback in (
            (CHECK_INTERVAL_S, self._run_checks),
            (SWEEP_INTERVAL_S, self._sweep),
            (SETTINGS_CHECK_INTERVAL_S, self._check_settings),
            (PEER_PING_INTERVAL_S, self._ping_nearby_peer),
            (PEER_UPDATE_INTERVAL_S, self._update_watched_peers),
            (RENEWAL_INTERVAL_S, self._request_renewals),
            (FORGET_INTERVAL_S, self.suspects.forget_old),
        ):
            self.timers.every(
                interval_s, TimerCallback(callback), first=now + interval_s
            )
        # Connections can be opened only once the event loop runs.
        self.timers.at(now, TimerCallback(self._follower.start))
        self.timers.at(now, TimerCallback(self._configuration_follower.start))
        self.log_event(
            LogEvent(
                111, {"address": self.local_address, "service": self.settings.service}
            )
        )

    def _fire_due_timers(self) -> None:
        fire_due(self.timers, self.now(), self._on_timer_failure)

    def _on_timer_failure(self, error: Exception) -> None:
        trace = traceback.format_exception(error, limit=-FAILURE_FRAMES)
        self.log_event(LogEvent(117, {"reason": repr(error), "trace": "".join(trace)}))

    def _advance_timers(self) -> Seconds:
        """Return the present time and set the timers to it.

        The core reads its time from the timers, so this comes first in each handler of
        an event from outside.
        """
        now = self.now()
        self.timers.advance_to(now)
        return now

    # Periodic checks

    def _run_checks(self, now: Seconds) -> None:
        self.links.check()
        self.liveness.watch(now, self.links.awaited_peers())
        self.sessions.cancel_orphans()
        self._check_target(now)
        self._update_rate_limit(now)
        self._request_keys(now)
        self.admission_queue.expire(now)
        self._push_suspect_updates(now)
        self._request_loads(now)
        self._request_replacement_votes(now)
        if self.witnessed_lease.remaining_s(now) <= 0:
            self._request_renewals(now)
        self.publisher.write_due(now, self.local_member(now))

    def _sweep(self, now: Seconds) -> None:
        for client in self._clients:
            client.sweep()
        self.target.sweep()
        self.key_requests.sweep()
        for server in (self.callers, self._heartbeat_port, self._readiness_port):
            server.sweep()

    def _check_target(self, now: Seconds) -> None:
        if (
            self.target_keys.is_unresponsive(now)
            and self.admission_queue.closed_reason is None
        ):
            self.admission_queue.close(ErrorKind.TARGET_UNREACHABLE)
            silence_s = round(now - self.target_keys.last_contact_at, 3)
            self.log_event(
                LogEvent(214, {"run": self.target_keys.run, "silence_s": silence_s})
            )

    def _update_members(self) -> None:
        """Let requests go to the daemons that the directory names now."""
        if self.directory.member_version == self._member_version:
            return
        self._member_version = self.directory.member_version
        self._region_by_address = {
            address: member.region
            for address, member in self.directory.member_by_address.items()
            if address != self.local_address
        }
        self.links.set_members(self.settings.region, self._region_by_address)

    def _update_watched_peers(self, now: Seconds) -> None:
        """Choose the peers to watch, if the members have changed.

        This is done at intervals, as many daemons may join at the same time.
        """
        if self._watched_version == self._member_version:
            return
        self._watched_version = self._member_version
        known = (self.local_address, self.settings.region, self._region_by_address)
        self.links.keep(watched_peers(*known))
        self._reads_store = is_reader(*known, READERS_PER_REGION)

    def _request_loads(self, now: Seconds) -> None:
        """Ping some of the other owners for their load while the local target is busy.

        Keys can only be moved to owners whose load is known.
        """
        if not self.publisher.by_key or not self.balancer.is_busy(now):
            return
        if now - self._load_peers_chosen_at > LOAD_PEERS_INTERVAL_S:
            self._load_peers_chosen_at = now
            peers = self.reconciler.service_peers()
            count = min(MAX_LOAD_PEERS, len(peers))
            self._load_peers = self._rng.sample(peers, count)
        for address in self._load_peers:
            self.links.ping(address)

    def _ping_nearby_peer(self, now: Seconds) -> None:
        """Ping a nearby peer to learn the end and the age of its directory."""
        peers = self.links.same_region_peers()
        if peers:
            self.links.ping(self._rng.choice(peers))

    def lease_remaining_s(self, now: Seconds) -> Seconds:
        """Return for how long the local target may be granted its keys, in seconds."""
        if not self.range_witness.has_boot_record(self.directory.end):
            return 0.0
        return min(
            self.read_lease.remaining_s(now), self.witnessed_lease.remaining_s(now)
        )

    def local_table(self) -> KeyTable | None:
        """Return the key table of the local service, or none if there is none yet."""
        return self.directory.table_by_service.get(self.settings.service)

    def settled_end(self) -> Offset:
        """Return the end up to which the outcome of writes to the table is known."""
        return self.directory.settled_end(self.settings.service)

    def local_member(self, now: Seconds) -> Member | None:
        """Return the member record to publish; none while the target is unknown."""
        settings = self.settings
        place = (settings.service, settings.domain, settings.region)
        return self.target_keys.member(now, *place)

    def is_ready(self) -> bool:
        """Return whether callers should send requests to this daemon."""
        known = (
            self.directory.is_loaded
            and self.request_router.routing is not None
            and self.evacuations.is_known
        )
        return known and self.shutdown is None and not self._may_be_outdated()

    def _metrics_page(self) -> tuple[str, bytes]:
        return render_metrics(
            self.request_log.metrics,
            gauges_of(self, self._advance_timers()),
            self.peer_traffic,
        )

    def _dump_page(self) -> tuple[str, bytes]:
        state = dump_router(self, self._advance_timers())
        return "application/json", msgspec.json.encode(state)

    # Callers

    def submit(
        self, request: CallerRequest, reply: Callable[[Outcome], None]
    ) -> int | None:
        """Accept a request from a caller on the local VM.

        Returns
        -------
        int or None
            Ticket for `caller_gone` while the outcome is pending.
        """
        return self.request_router.submit(self._advance_timers(), request, reply)

    def caller_gone(self, ticket: int) -> None:
        """Cancel a request whose caller has closed its connection."""
        self.request_router.caller_gone(self._advance_timers(), ticket)
