"""Runs the core of one daemon on the event loop.

The ports turn what happens outside into events for the core, and the driver carries out
the commands that the core returns.
"""

from __future__ import annotations

import random
import secrets
import time
from collections import deque
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from circuits import BaseComponent
from returns.result import Success

from rhubarbhall.adapters.callers import CallerServer
from rhubarbhall.adapters.client import SWEEP_INTERVAL_S, HttpClient
from rhubarbhall.adapters.clock import TimerRunner
from rhubarbhall.adapters.datagrams import DatagramCodec, DatagramPort
from rhubarbhall.adapters.log_port import HttpLog
from rhubarbhall.adapters.log_writer import write_log_event
from rhubarbhall.adapters.metrics import DaemonMetrics
from rhubarbhall.adapters.operations import Operations
from rhubarbhall.adapters.peers_port import HttpPeers
from rhubarbhall.adapters.signing import SIGNATURE_HEADER, is_signed
from rhubarbhall.adapters.tail import RecordTail
from rhubarbhall.adapters.target_port import HttpTarget
from rhubarbhall.core import commands, events
from rhubarbhall.core.context import Context
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.node import Node
from rhubarbhall.core.order_dispatcher import is_reported_not_run
from rhubarbhall.core.records import Join
from rhubarbhall.core.request_reader import read_request
from rhubarbhall.core.requests import DEADLINE_HEADER, HOP_HEADER, RawRequest, refusal
from rhubarbhall.settings import split_address

if TYPE_CHECKING:
    from rhubarbhall.adapters.log_port import LogPort
    from rhubarbhall.adapters.target_port import TargetPort
    from rhubarbhall.core.commands import Command
    from rhubarbhall.core.events import Event
    from rhubarbhall.settings import DaemonSettings
    from rhubarbhall.types import MemberId, RequestId, Seconds

#: Limit of the connections to one other daemon for forwarded requests.
MAX_FORWARD_CONNECTIONS = 64
#: Limit of the connections to one address for calls to the log, calls of the protocol
#: between daemons, and grants and cancellations to the target.
MAX_CONTROL_CONNECTIONS = 8
#: Time between checks for idle connections of callers.
CALLER_SWEEP_INTERVAL_S = 1.0
#: Time from the command to exit until the first check whether the process may end, so
#: that the last answers can be written.
EXIT_DELAY_S = 0.5
#: Time between further such checks while callers are still connected.
EXIT_CHECK_INTERVAL_S = 0.1
_MS_PER_S = 1000


def _new_member_id(address: str) -> MemberId:
    return f"{address}/{secrets.token_hex(4)}"


class _SweepDue(events.Event):
    """Timer event: call `sweep`, which closes what is overdue or idle."""

    __slots__ = ("sweep",)

    def __init__(self, sweep: Callable[[], None]) -> None:
        self.sweep = sweep


class _ExitCheckDue(events.Event):
    """Timer event: end the process if no caller is connected any more."""

    __slots__ = ()


class Daemon(BaseComponent):
    """One daemon with all its ports.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the daemon, from its flags and environment.
    on_exit : callable
        Called once the daemon has drained and closed its ports. A call of `shut_down`
        from outside does not lead to it.

    Attributes
    ----------
    is_stopping : bool
        Whether a stop was requested.
    """

    def __init__(
        self, settings: DaemonSettings, on_exit: Callable[[], None] = lambda: None
    ) -> None:
        super().__init__()
        self.settings = settings
        self._on_exit = on_exit
        self._address = settings.calls
        self._event_queue: deque[Event] = deque()
        self._stepping = False
        self.is_stopping = False
        self._ended = False
        self.tail = RecordTail()
        self.node = Node(self._context(), lambda: _new_member_id(self._address))
        self._build_ports()
        self._do_by_command: dict[type[Command], Callable] = {
            commands.Answer: self._do_answer,
            commands.Forward: self._do_forward,
            commands.CancelForward: self._do_cancel_forward,
            commands.SendOrder: self._do_send_order,
            commands.CancelOrder: self._do_cancel_order,
            commands.LimitConnections: self._do_limit_connections,
            commands.RenewGrant: self._do_renew_grant,
            commands.FenceTarget: self._do_fence_target,
            commands.SendPeer: self._do_send_peer,
            commands.ReadLog: self._do_read_log,
            commands.ReadSnapshot: self._do_read_snapshot,
            commands.Append: self._do_append,
            commands.RequestRelease: self._do_request_release,
            commands.LogEvent: self._do_log_event,
            commands.Exit: self._do_exit,
        }

    def _context(self) -> Context:
        settings = self.settings
        join = Join(
            member=_new_member_id(self._address),
            calls=settings.calls,
            peers=settings.peers,
            region=settings.region,
            domain=settings.domain,
            labels=settings.labels,
            boot=settings.boot,
            checks_grants=settings.checks_grants,
            weight=settings.weight,
            started_at=self.now(),
        )
        return Context(
            join,
            settings.timing,
            random.Random(settings.seed),
            lambda: int(time.time() * _MS_PER_S),
            settings.seeds,
        )

    def _build_ports(self) -> None:
        settings = self.settings
        tag = settings.calls
        control = HttpClient(f"control-{tag}", MAX_CONTROL_CONNECTIONS).register(self)
        forwards = HttpClient(f"forwards-{tag}", MAX_FORWARD_CONNECTIONS).register(self)
        orders = HttpClient(
            f"orders-{tag}",
            settings.target_connections,
            lambda response: not is_reported_not_run(response),
        )
        orders.register(self)
        self._orders = orders
        self._clients = (control, forwards, orders)
        self._log: LogPort = HttpLog(control, settings.log)
        self._peers = HttpPeers(control, forwards, settings.mesh_key)
        self._target: TargetPort = HttpTarget(orders, control, settings.target)
        self.callers = CallerServer(
            split_address(settings.calls), f"callers-{tag}", self, settings.limits
        ).register(self)
        bind = split_address(settings.peers)
        codec = DatagramCodec(settings.mesh_key)
        self._datagrams = DatagramPort(
            bind, f"datagrams-{tag}", codec, self._on_peer_message
        ).register(self)
        self.metrics = DaemonMetrics(self.node, self._datagrams)
        self._web = Operations(self).service(bind, f"web-{tag}").register(self)
        timers = self.node.context.timers
        now = self.now()
        timers.every(SWEEP_INTERVAL_S, _SweepDue(self._sweep_clients), first=now)
        timers.every(CALLER_SWEEP_INTERVAL_S, _SweepDue(self.callers.sweep), first=now)
        TimerRunner(timers, self._on_timers_due).register(self)

    def _sweep_clients(self) -> None:
        for client in self._clients:
            client.sweep()

    @staticmethod
    def now() -> Seconds:
        """Return the time on the monotonic clock."""
        return time.monotonic()

    # Stepping the core

    def begin(self) -> None:
        """Start to follow the log, join the mesh and serve."""
        self.handle(events.Started())

    def request_stop(self) -> None:
        """Start to drain and then end; further calls have no effect."""
        self.is_stopping = True
        self.callers.draining = True
        self.handle(events.StopRequested())

    def handle(self, event: Event) -> None:
        """Pass an event to the core.

        During a step of the core the event is queued until that step has ended. Events
        after the end of the daemon are dropped.
        """
        if self._ended:
            return
        self._event_queue.append(event)
        self._process_queue()

    def answer_release_request(
        self, event: events.ReleaseRequested
    ) -> commands.ReplyRelease:
        """Pass a release request to the core and return the core's answer.

        The request is not queued, as the caller needs the answer at once.
        """
        reply = commands.ReplyRelease(())
        for command in list(self.node.step(self.now(), event)):
            if isinstance(command, commands.ReplyRelease):
                reply = command
            else:
                self._execute((command,))
        return reply

    def _process_queue(self) -> None:
        if self._stepping:
            return
        self._stepping = True
        try:
            while self._event_queue:
                event = self._event_queue.popleft()
                self._execute(list(self.node.step(self.now(), event)))
        finally:
            self._stepping = False

    def _execute(self, produced: Iterable[Command]) -> None:
        for command in produced:
            self._do_by_command[type(command)](command)

    def _on_timers_due(self) -> None:
        for event in list(self.node.context.timers.due(self.now())):
            if isinstance(event, _SweepDue):
                event.sweep()
            elif isinstance(event, _ExitCheckDue):
                self._exit_if_idle()
            else:
                self.handle(event)

    def _on_peer_message(self, sender: MemberId, message: object) -> None:
        self.handle(events.PeerMessageReceived(sender, message))

    # Requests of callers and of other daemons

    def take(self, request_id: RequestId, raw: RawRequest) -> None:
        """Read a request from the port for callers and pass it to the core.

        A request that another daemon forwarded carries that daemon's signature. One
        whose signature is missing or wrong is refused, as is any request that
        `read_request` refuses.
        """
        hop = raw.header(HOP_HEADER)
        if hop is not None:
            if not self._has_valid_signature(hop, raw):
                self.callers.answer(request_id, refusal(ErrorKind.FORBIDDEN_HOP))
                return
            raw.from_daemon = True
        context = self.node.context
        result = read_request(
            self.now(), context.wall_ms(), context.directory, request_id, raw
        )
        if isinstance(result, Success):
            self.handle(events.RequestArrived(result.unwrap()))
        else:
            self.callers.answer(request_id, result.failure())

    def _has_valid_signature(self, hop: MemberId, raw: RawRequest) -> bool:
        return is_signed(
            self.settings.mesh_key,
            raw.header(SIGNATURE_HEADER),
            hop,
            raw.method,
            raw.path,
            raw.header(DEADLINE_HEADER) or "",
        )

    def caller_disconnected(self, request_id: RequestId) -> None:
        """Report to the core that a caller has closed its connection."""
        self.handle(events.CallerGone(request_id))

    def _do_answer(self, command: commands.Answer) -> None:
        self.callers.answer(command.request_id, command.response)

    def _do_forward(self, command: commands.Forward) -> None:
        self._peers.forward(self.node.context.member_id, command, self.handle)

    def _do_cancel_forward(self, command: commands.CancelForward) -> None:
        self._peers.cancel_forward(command.request_id)

    # The target

    def _do_send_order(self, command: commands.SendOrder) -> None:
        member_id = self.node.context.member_id
        self._target.send(member_id, command, self.now(), self.handle)

    def _do_cancel_order(self, command: commands.CancelOrder) -> None:
        member_id = self.node.context.member_id
        self._target.cancel(member_id, command.request_id, self.handle)

    def _do_limit_connections(self, command: commands.LimitConnections) -> None:
        configured = self.settings.target_connections
        self._orders.max_connections = min(configured, command.count)

    def _do_renew_grant(self, command: commands.RenewGrant) -> None:
        self._target.renew(self.node.context.member_id, command.grant_until)

    def _do_fence_target(self, command: commands.FenceTarget) -> None:
        self._target.fence(self.node.context.member_id, self.handle)

    # The log and other daemons

    def _do_send_peer(self, command: commands.SendPeer) -> None:
        member_id = self.node.context.member_id
        self._datagrams.send_message(command.address, member_id, command.message)

    def _do_read_log(self, command: commands.ReadLog) -> None:
        if command.peer is None:
            self._log.read(command.offset, self._on_records)
        else:
            self._peers.read(command.peer, command.offset, self._on_records)

    def _on_records(self, event: Event) -> None:
        if isinstance(event, events.RecordsRead):
            self.tail.add(event.records)
        self.handle(event)

    def _do_read_snapshot(self, command: commands.ReadSnapshot) -> None:
        self._peers.read_snapshot(command.peer, self.handle)

    def _do_append(self, command: commands.Append) -> None:
        self._log.append(command.envelope, self.handle)

    def _do_request_release(self, command: commands.RequestRelease) -> None:
        self._peers.request_release(command, self.handle)

    # The process

    def _do_log_event(self, command: commands.LogEvent) -> None:
        write_log_event(self._address, command)

    def _do_exit(self, command: commands.Exit) -> None:
        self.callers.stop_listening()
        self.node.context.timers.at(self.now() + EXIT_DELAY_S, _ExitCheckDue())

    def _exit_if_idle(self) -> None:
        """End once no caller is connected; until then new requests are served."""
        self.callers.close_idle()
        if self.callers.connections:
            self.node.context.timers.at(
                self.now() + EXIT_CHECK_INTERVAL_S, _ExitCheckDue()
            )
            return
        self.shut_down()
        self._on_exit()

    def shut_down(self) -> None:
        """Close every port at once, without draining, as a crash would."""
        self._ended = True
        self.callers.close()
        self._datagrams.close()
        self._web.shut_down()
        for client in self._clients:
            client.close()
        self.unregister()
