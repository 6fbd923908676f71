"""Stand-in for the platform's append-only log, over HTTP with JSON.

It keeps its records in memory. Operators switch its faults over HTTP.
"""

from __future__ import annotations

import time
from collections import deque
from http import HTTPStatus
from itertools import islice
from typing import TYPE_CHECKING

import msgspec
from circuits import BaseComponent

from rhubarbhall.adapters.clock import TimerRunner
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
#: Number of records that are kept unless the operator sets another one.
DEFAULT_RETAINED = 100_000
#: Maximum number of records in the answer to one read.
MAX_RECORDS_PER_READ = 1_000
_MS_PER_S = 1000


class LogStore:
    """Records in memory; beyond a maximum number the oldest are dropped.

    Parameters
    ----------
    retained : int
        Maximum number of records kept.

    Attributes
    ----------
    first : int
        Offset of the oldest record kept.
    """

    def __init__(self, retained: int = DEFAULT_RETAINED) -> None:
        self._retained = retained
        self._records: deque[StoredRecord] = deque()
        self.first = 0

    @property
    def end(self) -> Offset:
        """Offset that the next record gets."""
        return self.first + len(self._records)

    def append(self, envelope: Envelope) -> Offset:
        """Append an envelope and return its offset."""
        offset = self.end
        self._records.append(StoredRecord(offset, envelope))
        while len(self._records) > self._retained:
            self._records.popleft()
            self.first += 1
        return offset

    def read(self, offset: Offset, limit: int) -> RecordsPage:
        """Return up to `limit` records from `offset` on.

        The page begins with the oldest record kept if `offset` was dropped, and has no
        records if `offset` is the end or beyond it.
        """
        start = max(0, offset - self.first)
        records = tuple(islice(self._records, start, start + limit))
        return RecordsPage(self.first, self.end, records)


class _CallDue(Event):
    """The time of a delayed call has come."""

    __slots__ = ("action",)

    def __init__(self, action: Callable[[], None]) -> None:
        self.action = action


class DelayedCalls(BaseComponent):
    """Calls functions after a delay, on the event loop."""

    def __init__(self) -> None:
        super().__init__()
        self._timers = TimerService()
        TimerRunner(self._timers, self._run_due).register(self)

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call `action` after a delay.

        Parameters
        ----------
        delay_s : float
            Delay in seconds; 0 or less calls `action` before this method returns.
        action : callable
            Function without arguments.
        """
        if delay_s <= 0:
            action()
        else:
            self._timers.at(time.monotonic() + delay_s, _CallDue(action))

    def _run_due(self) -> None:
        for event in list(self._timers.due(time.monotonic())):
            event.action()


class LogService(BaseComponent):
    """The log on an HTTP port, with faults that an operator switches.

    Parameters
    ----------
    bind : (str, int)
        IP address and port to listen on.
    retained : int
        Maximum number of records kept.

    Attributes
    ----------
    store : LogStore
        Records of the log.
    faults : LogFaults
        Faults in effect.
    append_count : int
        Appends that took effect, whether or not they were answered.
    """

    def __init__(self, bind: tuple[str, int], retained: int = DEFAULT_RETAINED) -> None:
        super().__init__()
        self.store = LogStore(retained)
        self.faults = LogFaults()
        self.append_count = 0
        self._delayed_calls = DelayedCalls().register(self)
        channel = f"log-{bind[1]}"
        self._web = WebService(bind, channel, self._handle).register(self)

    def _handle(self, exchange: Exchange) -> None:
        if exchange.path == FAULTS_PATH:
            self._set_faults(exchange)
        elif self.faults.mode == "down":
            exchange.close_connection()
        else:
            delay_s = self.faults.delay_ms / _MS_PER_S
            self._delayed_calls.after(delay_s, lambda: self._answer(exchange))

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
        self.append_count += 1
        if self.faults.mode == "lose_answers":
            exchange.close_connection()
        else:
            exchange.reply(WebReply(msgspec.json.encode(AppendReply(offset))))

    def _read(self, exchange: Exchange) -> None:
        try:
            offset = int(exchange.parameters.get("from", "0"))
            limit = min(
                MAX_RECORDS_PER_READ,
                int(exchange.parameters.get("limit", MAX_RECORDS_PER_READ)),
            )
        except ValueError:
            exchange.reply(WebReply(b"{}", HTTPStatus.BAD_REQUEST))
            return
        page = self.store.read(offset, limit)
        exchange.reply(WebReply(msgspec.json.encode(page)))

    def shut_down(self) -> None:
        """Close the port and leave the event loop."""
        self._web.shut_down()
        self.unregister()
