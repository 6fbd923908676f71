"""Stand-in for a target: slots, fenced grants, and a record of what it ran."""

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
from rhubarbhall.standins.log import Delays

if TYPE_CHECKING:
    from rhubarbhall.types import Seconds

NOT_RUN_HEADER = "Target-Not-Run"
WORK_HEADER = "Work-Ms"
FAULTS_PATH = "/-/faults"
EXECUTIONS_PATH = "/-/executions"
HEALTH_PATH = "/-/health"
LOAD_PATH = "/-/load"
DRAIN_PATH = "/-/drain"
#: Age of what a lagging report shows.
REPORT_LAG_S = 5.0
_MS_PER_S = 1000.0


class Execution(msgspec.Struct, frozen=True):
    """One order that had its effect.

    Parameters
    ----------
    fence : str
        Run of the daemon that gave the order.
    started_at, ended_at : float
        Monotonic clock of the VM, in seconds.
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


class LoadReport(msgspec.Struct, frozen=True):
    """What the target says of its load."""

    running: int
    slots: int
    draining: bool


@dataclass(slots=True)
class _Order:
    exchange: Exchange
    fence: str
    number: str
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
        Orders that it works on at a time; more are refused unrun.
    connections : int
        Connections that it accepts.
    work_ms : float
        Duration of an order that names none.
    checks_grants : bool
        Whether it refuses orders outside a grant.
    """

    slots: int = 20
    connections: int = 100
    work_ms: float = 5.0
    checks_grants: bool = True


class TargetService(BaseComponent):
    """A target behind an HTTP port.

    Parameters
    ----------
    bind : (str, int)
        IP address and port.
    options : TargetOptions
        Size and speed.
    """

    def __init__(self, bind: tuple[str, int], options: TargetOptions) -> None:
        super().__init__()
        self.options = options
        self.faults = TargetFaults()
        self.executions: list[Execution] = []
        self.refused = 0
        self.draining = False
        self._fence = ""
        self._grant_until: Seconds = 0.0
        self._started_at = time.monotonic()
        self._order_by_number: dict[int, _Order] = {}
        self._numbers = itertools.count()
        self._frozen: deque[Exchange] = deque()
        self._ended_while_frozen: deque[int] = deque()
        self._reports: deque[tuple[Seconds, LoadReport]] = deque(maxlen=1000)
        self._delays = Delays().register(self)
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
            self._frozen.append(exchange)
        elif exchange.path in self._control_by_path:
            self._control(exchange)
        else:
            self._take_order(exchange)

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
        """Change the faults; a freeze that ends lets the past catch up."""
        self.faults = faults
        if faults.frozen:
            return
        while self._ended_while_frozen:
            self._end_order(self._ended_while_frozen.popleft())
        while self._frozen:
            self._handle(self._frozen.popleft())

    def _set_fence(self, exchange: Exchange) -> WebReply:
        call = msgspec.json.decode(exchange.body, type=FenceCall)
        if call.fence != self._fence:
            self._fence = call.fence
            self._grant_until = 0.0
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
            if order.number == call.order:
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

    def load(self) -> LoadReport:
        """Return the load as this target reports it."""
        now = time.monotonic()
        present = LoadReport(
            len(self._order_by_number), self.options.slots, self.draining
        )
        self._reports.append((now, present))
        if self.faults.report == "lie":
            return LoadReport(0, self.options.slots, False)
        if self.faults.report == "lag":
            old = [each for at, each in self._reports if now - at >= REPORT_LAG_S]
            return old[-1] if old else LoadReport(0, self.options.slots, False)
        return present

    def _drain(self, exchange: Exchange) -> WebReply:
        self.draining = True
        return WebReply(b"{}")

    # Orders

    def _take_order(self, exchange: Exchange) -> None:
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
            self._work_s(exchange, now),
        )
        work_s = self._order_by_number[number].work_s
        self._delays.after(work_s, lambda: self._end_order(number))

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

    def _work_s(self, exchange: Exchange, now: Seconds) -> Seconds:
        work_s = float(exchange.header(WORK_HEADER) or self.options.work_ms) / _MS_PER_S
        cold_s = self.faults.cold_start_ms / _MS_PER_S
        if now - self._started_at < cold_s:
            work_s *= self.faults.cold_factor
        return work_s

    def _refuse(self, exchange: Exchange, reason: str) -> None:
        self.refused += 1
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
            # It was cancelled before its work was done.
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
        """Close the port."""
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
    key: str
    method: str
    path: str
    bytes: int


def _answer_body(exchange: Exchange) -> bytes:
    key = exchange.header(KEY_HEADER) or ""
    echo = _Echo(key, exchange.method, exchange.path, len(exchange.body))
    return msgspec.json.encode(echo)
