"""Stand-in for a target, for tests, the demo and load runs.

It checks fences and grants as a real target does, has a limited number of slots, and
records each order that took effect, so that the guarantees can be audited. Operators
switch its faults over HTTP.
"""

from __future__ import annotations

import itertools
import time
from collections import deque
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec
from circuits import BaseComponent

from rhubarbhall.adapters.target_port import (
    CANCEL_PATH,
    EPOCH_HEADER,
    FENCE_HEADER,
    FENCE_PATH,
    GRANT_HEADER,
    GRANT_PATH,
    ORDER_DEADLINE_HEADER,
    ORDER_HEADER,
    SLICE_HEADER,
    CancelCall,
    FenceCall,
    GrantCall,
)
from rhubarbhall.adapters.web import Exchange, WebReply, WebService
from rhubarbhall.core.requests import IDEMPOTENCY_HEADER, KEY_HEADER
from rhubarbhall.standins.faults import TargetFaults
from rhubarbhall.standins.log import DelayedCalls

if TYPE_CHECKING:
    from rhubarbhall.types import Seconds

#: Header of a refusal; its value is the reason why the order did not run.
NOT_RUN_HEADER = "Target-Not-Run"
#: Header of an order; its value is the duration of the work, in milliseconds.
WORK_HEADER = "Work-Ms"
FAULTS_PATH = "/-/faults"
EXECUTIONS_PATH = "/-/executions"
HEALTH_PATH = "/-/health"
LOAD_PATH = "/-/load"
DRAIN_PATH = "/-/drain"
#: Minimum age of the load that a target with the fault "lag" reports, in seconds.
REPORT_LAG_S = 5.0
_MS_PER_S = 1000.0


class Execution(msgspec.Struct, frozen=True):
    """One order that took effect.

    Parameters
    ----------
    fence : str
        Fence of the order: the run of the daemon that sent it.
    slice : str
        Slice of the key; empty when the order names none.
    epoch : int
        Epoch in which the daemon owned the slice; 0 when the order names none.
    key : str
        Key of the request; empty for services without keys.
    method, path : str
        Request line.
    idempotency_key : str
        Idempotency key; empty when the request has none.
    started_at, ended_at : float
        Times at which the work began and took effect, on the monotonic clock of the
        VM, in seconds.
    """

    fence: str
    slice: str
    epoch: int
    key: str
    method: str
    path: str
    idempotency_key: str
    started_at: float
    ended_at: float


class TargetLoad(msgspec.Struct, frozen=True):
    """Load as the target reports it.

    Parameters
    ----------
    running : int
        Orders in progress.
    slots : int
        Orders that the target works on at the same time.
    draining : bool
        Whether the target refuses new orders because it is to stop.
    """

    running: int
    slots: int
    draining: bool


@dataclass(slots=True)
class _Order:
    """An order in progress.

    Parameters
    ----------
    exchange : Exchange
        HTTP request to answer.
    fence : str
        Run of the daemon that sent the order.
    order_id : str
        Identifier by which the daemon cancels the order.
    deadline : float
        Time from which the order must not take effect any more, on the monotonic
        clock, in seconds.
    started_at : float
        Time at which the work began, on the monotonic clock, in seconds.
    work_s : float
        Duration of the work, in seconds.
    cancelled : bool
        Whether the order must not take effect.
    """

    exchange: Exchange
    fence: str
    order_id: str
    deadline: Seconds
    started_at: Seconds
    work_s: Seconds
    cancelled: bool = False


@dataclass(frozen=True, slots=True)
class TargetOptions:
    """Size and speed of a target.

    Parameters
    ----------
    slots : int
        Orders that it works on at the same time; further ones are refused without
        being run.
    connections : int
        Open connections above which it refuses orders.
    work_ms : float
        Duration of an order without the header `WORK_HEADER`, in milliseconds.
    checks_grants : bool
        Whether it refuses orders with a foreign fence or outside a grant.
    """

    slots: int = 20
    connections: int = 100
    work_ms: float = 5.0
    checks_grants: bool = True


class TargetService(BaseComponent):
    """A target that listens on an HTTP port.

    Parameters
    ----------
    bind : (str, int)
        IP address and port to listen on.
    options : TargetOptions
        Size and speed.

    Attributes
    ----------
    faults : TargetFaults
        Faults in effect.
    executions : list of Execution
        Orders that took effect.
    refused_count : int
        Orders that were refused or cancelled before they took effect.
    draining : bool
        Whether the target refuses new orders because it is to stop.
    """

    def __init__(self, bind: tuple[str, int], options: TargetOptions) -> None:
        super().__init__()
        self.options = options
        self.faults = TargetFaults()
        self.executions: list[Execution] = []
        self.refused_count = 0
        self.draining = False
        self._fence = ""
        self._grant_until: Seconds = 0.0
        self._started_at = time.monotonic()
        self._order_by_number: dict[int, _Order] = {}
        self._numbers = itertools.count()
        self._requests_while_frozen: deque[Exchange] = deque()
        self._ended_while_frozen: deque[int] = deque()
        self._reports: deque[tuple[Seconds, TargetLoad]] = deque(maxlen=1000)
        self._delayed_calls = DelayedCalls().register(self)
        channel = f"target-{bind[1]}"
        self._web = WebService(bind, channel, self._handle).register(self)
        self._control_by_path = {
            FENCE_PATH: self._set_fence,
            GRANT_PATH: self._set_grant,
            CANCEL_PATH: self._cancel,
            EXECUTIONS_PATH: self._list_executions,
            HEALTH_PATH: self._report_health,
            LOAD_PATH: self._report_load,
            DRAIN_PATH: self._drain,
        }

    # Control

    def _handle(self, exchange: Exchange) -> None:
        if exchange.path == FAULTS_PATH:
            self._set_faults(exchange)
        elif self.faults.frozen:
            self._requests_while_frozen.append(exchange)
        elif exchange.path in self._control_by_path:
            self._control(exchange)
        else:
            self._start_order(exchange)

    def _control(self, exchange: Exchange) -> None:
        try:
            reply = self._control_by_path[exchange.path](exchange)
        except msgspec.MsgspecError as error:
            reply = WebReply(str(error).encode(), HTTPStatus.BAD_REQUEST)
        exchange.reply(reply)

    def _set_faults(self, exchange: Exchange) -> None:
        self.set_faults(msgspec.json.decode(exchange.body, type=TargetFaults))
        exchange.reply(WebReply(msgspec.json.encode(self.faults)))

    def set_faults(self, faults: TargetFaults) -> None:
        """Replace the faults.

        At the end of a freeze, orders whose work was done meanwhile end, and then the
        requests that arrived meanwhile are handled, each in order of time.

        Parameters
        ----------
        faults : TargetFaults
            Faults from now on.
        """
        self.faults = faults
        if faults.frozen:
            return
        while self._ended_while_frozen:
            self._end_order(self._ended_while_frozen.popleft())
        while self._requests_while_frozen:
            self._handle(self._requests_while_frozen.popleft())

    def _set_fence(self, exchange: Exchange) -> WebReply:
        call = msgspec.json.decode(exchange.body, type=FenceCall)
        if call.fence != self._fence:
            self._fence = call.fence
            self._grant_until = 0.0
            # Orders of the previous run of the daemon must not take effect any more.
            for order in self._order_by_number.values():
                order.cancelled = True
        return WebReply(b"{}")

    def _set_grant(self, exchange: Exchange) -> WebReply:
        call = msgspec.json.decode(exchange.body, type=GrantCall)
        self._extend_grant(call.fence, call.until)
        return WebReply(b"{}")

    def _extend_grant(self, fence: str, until: Seconds) -> None:
        if fence == self._fence:
            self._grant_until = max(self._grant_until, until)

    def _cancel(self, exchange: Exchange) -> WebReply:
        call = msgspec.json.decode(exchange.body, type=CancelCall)
        for number, order in list(self._order_by_number.items()):
            if order.order_id == call.order:
                order.cancelled = True
                self._end_order(number)
        return WebReply(b"{}")

    def _list_executions(self, exchange: Exchange) -> WebReply:
        return WebReply(msgspec.json.encode(self.executions))

    def _report_health(self, exchange: Exchange) -> WebReply:
        healthy = self.faults.report == "lie" or not self.draining
        return WebReply(b'{"healthy":%s}' % (b"true" if healthy else b"false"))

    def _report_load(self, exchange: Exchange) -> WebReply:
        return WebReply(msgspec.json.encode(self.load()))

    def load(self) -> TargetLoad:
        """Return the load as this target reports it under its faults.

        Returns
        -------
        TargetLoad
            The current load; with the fault "lag" the newest load on record that is
            at least `REPORT_LAG_S` old, or an idle target if there is none; with "lie"
            always an idle target.
        """
        now = time.monotonic()
        current = TargetLoad(
            len(self._order_by_number), self.options.slots, self.draining
        )
        self._reports.append((now, current))
        if self.faults.report == "lie":
            return TargetLoad(0, self.options.slots, False)
        if self.faults.report == "lag":
            outdated = [each for at, each in self._reports if now - at >= REPORT_LAG_S]
            return (
                outdated[-1] if outdated else TargetLoad(0, self.options.slots, False)
            )
        return current

    def _drain(self, exchange: Exchange) -> WebReply:
        self.draining = True
        return WebReply(b"{}")

    # Orders

    def _start_order(self, exchange: Exchange) -> None:
        reason = self._reason_to_refuse(exchange)
        if reason is not None:
            self._refuse(exchange, reason)
            return
        now = time.monotonic()
        until = float(exchange.header(GRANT_HEADER) or 0)
        self._extend_grant(exchange.header(FENCE_HEADER) or "", until)
        number = next(self._numbers)
        self._order_by_number[number] = _Order(
            exchange,
            exchange.header(FENCE_HEADER) or "",
            exchange.header(ORDER_HEADER) or "",
            float(exchange.header(ORDER_DEADLINE_HEADER) or "inf"),
            now,
            self._work_duration_s(exchange, now),
        )
        work_s = self._order_by_number[number].work_s
        self._delayed_calls.after(work_s, lambda: self._end_order(number))

    def _reason_to_refuse(self, exchange: Exchange) -> str | None:
        if self.faults.shed:
            return "shed"
        if self.draining:
            return "draining"
        if len(self._order_by_number) >= self.options.slots:
            return "no slot"
        if self._web.connection_count > self.options.connections:
            return "too many connections"
        if not self.options.checks_grants:
            return None
        if exchange.header(FENCE_HEADER) != self._fence:
            return "fenced"
        until = float(exchange.header(GRANT_HEADER) or 0)
        if time.monotonic() >= max(until, self._grant_until):
            return "no grant"
        return None

    def _work_duration_s(self, exchange: Exchange, now: Seconds) -> Seconds:
        work_s = float(exchange.header(WORK_HEADER) or self.options.work_ms) / _MS_PER_S
        cold_s = self.faults.cold_start_ms / _MS_PER_S
        if now - self._started_at < cold_s:
            work_s *= self.faults.cold_factor
        return work_s

    def _refuse(self, exchange: Exchange, reason: str) -> None:
        self.refused_count += 1
        exchange.reply(
            WebReply(
                b"{}",
                HTTPStatus.SERVICE_UNAVAILABLE,
                headers=((NOT_RUN_HEADER, reason),),
            )
        )

    def _end_order(self, number: int) -> None:
        if self.faults.frozen:
            self._ended_while_frozen.append(number)
            return
        order = self._order_by_number.pop(number, None)
        if order is None:
            # The order was cancelled before its work was done.
            return
        now = time.monotonic()
        if self._may_take_effect(order, now):
            self.executions.append(_execution(order, now))
            order.exchange.reply(WebReply(_answer_body(order.exchange)))
        else:
            self._refuse(order.exchange, "cancelled")

    def _may_take_effect(self, order: _Order, now: Seconds) -> bool:
        if order.cancelled or now >= order.deadline:
            return False
        if not self.options.checks_grants:
            return True
        return order.fence == self._fence and now < self._grant_until

    def shut_down(self) -> None:
        """Close the port and leave the event loop."""
        self._web.shut_down()
        self.unregister()


def _execution(order: _Order, now: Seconds) -> Execution:
    exchange = order.exchange
    return Execution(
        order.fence,
        exchange.header(SLICE_HEADER) or "",
        int(exchange.header(EPOCH_HEADER) or 0),
        exchange.header(KEY_HEADER) or "",
        exchange.method,
        exchange.path,
        exchange.header(IDEMPOTENCY_HEADER) or "",
        order.started_at,
        now,
    )


class _Echo(msgspec.Struct, frozen=True):
    """Body of an answer: what the target received, for the caller to compare."""

    key: str
    method: str
    path: str
    bytes: int


def _answer_body(exchange: Exchange) -> bytes:
    key = exchange.header(KEY_HEADER) or ""
    echo = _Echo(key, exchange.method, exchange.path, len(exchange.body))
    return msgspec.json.encode(echo)
