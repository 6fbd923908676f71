"""Stand-in for the platform's append-only log, over HTTP with JSON."""

from __future__ import annotations

import time
from collections import deque
from http import HTTPStatus
from itertools import islice
from typing import TYPE_CHECKING

import msgspec
from circuits import BaseComponent

from rhubarbhall.adapters.clock import Clock
from rhubarbhall.adapters.log_port import (
    APPEND_PATH,
    RECORDS_PATH,
    AppendReply,
    RecordsPage,
)
from rhubarbhall.adapters.web import Exchange, WebReply, WebService
from rhubarbhall.core.events import Event
from rhubarbhall.core.records import Envelope, StoredRecord
from rhubarbhall.core.timers import TimerService
from rhubarbhall.standins.faults import LogFaults

if TYPE_CHECKING:
    from collections.abc import Callable

    from rhubarbhall.types import Offset

FAULTS_PATH = "/faults"
DEFAULT_RETAINED = 100_000
MAX_READ = 1_000
_MS_PER_S = 1000


class LogStore:
    """Records in memory; the oldest go when there are too many.

    Parameters
    ----------
    retained : int
        Records kept.
    """

    def __init__(self, retained: int = DEFAULT_RETAINED) -> None:
        self._retained = retained
        self._records: deque[StoredRecord] = deque()
        self.first = 0

    @property
    def end(self) -> Offset:
        """Offset that the next append will get."""
        return self.first + len(self._records)

    def append(self, envelope: Envelope) -> Offset:
        """Add one envelope and return its offset."""
        offset = self.end
        self._records.append(StoredRecord(offset, envelope))
        while len(self._records) > self._retained:
            self._records.popleft()
            self.first += 1
        return offset

    def read(self, offset: Offset, limit: int) -> RecordsPage:
        """Return up to `limit` records from `offset` on."""
        start = max(0, offset - self.first)
        records = tuple(islice(self._records, start, start + limit))
        return RecordsPage(self.first, self.end, records)


class _Due(Event):
    __slots__ = ("action",)

    def __init__(self, action: Callable[[], None]) -> None:
        self.action = action


class Delays(BaseComponent):
    """Runs functions after a while, on the loop."""

    def __init__(self) -> None:
        super().__init__()
        self._timers = TimerService()
        Clock(self._timers, self._run_due).register(self)

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call `action` after `delay_s` seconds, at once for 0."""
        if delay_s <= 0:
            action()
        else:
            self._timers.at(time.monotonic() + delay_s, _Due(action))

    def _run_due(self) -> None:
        for event in list(self._timers.due(time.monotonic())):
            event.action()


class LogService(BaseComponent):
    """The log behind an HTTP port, with faults on order.

    Parameters
    ----------
    bind : (str, int)
        IP address and port.
    retained : int
        Records kept.
    """

    def __init__(self, bind: tuple[str, int], retained: int = DEFAULT_RETAINED) -> None:
        super().__init__()
        self.store = LogStore(retained)
        self.faults = LogFaults()
        self.appends = 0
        self._delays = Delays().register(self)
        channel = f"log-{bind[1]}"
        self._web = WebService(bind, channel, self._handle).register(self)

    def _handle(self, exchange: Exchange) -> None:
        if exchange.path == FAULTS_PATH:
            self._set_faults(exchange)
        elif self.faults.mode == "down":
            exchange.hang_up()
        else:
            delay_s = self.faults.delay_ms / _MS_PER_S
            self._delays.after(delay_s, lambda: self._answer(exchange))

    def _set_faults(self, exchange: Exchange) -> None:
        try:
            self.faults = msgspec.json.decode(exchange.body, type=LogFaults)
        except msgspec.MsgspecError as error:
            exchange.reply(WebReply(str(error).encode(), HTTPStatus.BAD_REQUEST))
            return
        exchange.reply(WebReply(msgspec.json.encode(self.faults)))

    def _answer(self, exchange: Exchange) -> None:
        if exchange.path == APPEND_PATH and exchange.method == "POST":
            self._append(exchange)
        elif exchange.path == RECORDS_PATH:
            self._read(exchange)
        else:
            exchange.reply(WebReply(b"{}", HTTPStatus.NOT_FOUND))

    def _append(self, exchange: Exchange) -> None:
        try:
            envelope = msgspec.json.decode(exchange.body, type=Envelope)
        except msgspec.MsgspecError as error:
            exchange.reply(WebReply(str(error).encode(), HTTPStatus.BAD_REQUEST))
            return
        offset = self.store.append(envelope)
        self.appends += 1
        if self.faults.mode == "lose_answers":
            exchange.hang_up()
        else:
            exchange.reply(WebReply(msgspec.json.encode(AppendReply(offset))))

    def _read(self, exchange: Exchange) -> None:
        try:
            offset = int(exchange.parameters.get("from", "0"))
            limit = min(MAX_READ, int(exchange.parameters.get("limit", MAX_READ)))
        except ValueError:
            exchange.reply(WebReply(b"{}", HTTPStatus.BAD_REQUEST))
            return
        page = self.store.read(offset, limit)
        exchange.reply(WebReply(msgspec.json.encode(page)))

    def shut_down(self) -> None:
        """Close the port."""
        self._web.shut_down()
        self.unregister()
