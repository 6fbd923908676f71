"""The own target: requests that it is sent, and its answers."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from errno import ECONNREFUSED
from http import HTTPStatus
from typing import TYPE_CHECKING

from rhubarbhall.adapters.http_wire import AnswerStream, WireError, encode_request
from rhubarbhall.adapters.sockets import Outgoing
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.traffic.requests import (
    Answered,
    NotRun,
    Outcome,
    Request,
    Unknown,
)
from rhubarbhall.platform import names
from rhubarbhall.settings import split_address

if TYPE_CHECKING:
    import socket

    from rhubarbhall.core.requests import Response
    from rhubarbhall.types import Address, Seconds

MAX_HEAD_BYTES = 64 * 1024
MAX_ANSWER_BYTES = 64 << 20
#: Time for a connection to be made.
CONNECT_S = 0.5
#: Time after which an unused connection is closed if the target names none.
IDLE_S = 8.0
#: Part of the target's own time after which it is closed: a request must not meet
#: the target's closing of it.
IDLE_SHARE = 0.6
_KEEP_ALIVE = "keep-alive"


@dataclass(slots=True)
class _Order:
    ticket: int
    request: Request
    sock: socket.socket | None = None
    is_written: bool = False


@dataclass(slots=True)
class _Connection:
    reader: AnswerStream
    opened_at: Seconds
    order: _Order | None = None
    is_open: bool = False
    idle_since: Seconds = 0.0
    idle_s: Seconds = IDLE_S


def _header(response: Response, wanted: str) -> str | None:
    for name, value in response.headers:
        if name.lower() == wanted.lower():
            return value
    return None


def _idle_s(response: Response) -> Seconds | None:
    """Return for how long the target keeps an unused connection, if it says so."""
    text = _header(response, _KEEP_ALIVE) or ""
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return float(value)
    return None


def _outcome(response: Response, instance: str) -> Outcome:
    """Return what a whole answer means."""
    if response.status == HTTPStatus.MISDIRECTED_REQUEST:
        other = _header(response, names.INSTANCE_ID)
        if other is not None and other != instance:
            return NotRun(ErrorKind.TARGET_UNREACHABLE)
        return NotRun(ErrorKind.NOT_OWNER)
    if _header(response, names.NOT_EXECUTED) is not None:
        return NotRun(ErrorKind.TARGET_REFUSED)
    signed = _header(response, names.SIGNATURE) is not None
    if not signed or _header(response, "Content-Encoding") is not None:
        return Unknown(ErrorKind.ANSWER_LOST)
    headers = tuple(
        pair for pair in response.headers if pair[0].lower() not in _NOT_RETURNED
    )
    return Answered(response.status, headers, response.body)


#: Headers of the target's that are for this daemon, or that it sets again.
_NOT_RETURNED = frozenset(
    {_KEEP_ALIVE, names.REQUEST_ID.lower(), "server-load", "date", "server"}
)


class TargetPort(Outgoing):
    """Sends requests to the target over kept connections, one at a time on each.

    Parameters
    ----------
    channel : str
        Channel of the component.
    address : str
        Address of the target.
    on_outcome : callable
        Takes a ticket and the outcome of its request.
    on_unreachable : callable
        Called when the target takes no connection; told whether it refused.
    """

    def __init__(
        self,
        channel: str,
        address: Address,
        on_outcome: Callable[[int, Outcome], None],
        on_unreachable: Callable[[bool], None],
    ) -> None:
        super().__init__(channel)
        self.address = address
        self._on_outcome = on_outcome
        self._on_unreachable = on_unreachable
        #: Name of the run that requests are meant for.
        self.instance = ""
        self._order_by_ticket: dict[int, _Order] = {}
        self._connection_by_sock: dict[socket.socket, _Connection] = {}
        self._idle: list[socket.socket] = []

    def send(  # type: ignore[override]
        self, ticket: int, request: Request, now: Seconds
    ) -> None:
        """Send a request; its outcome comes later."""
        order = _Order(ticket, request)
        self._order_by_ticket[ticket] = order
        if self._idle:
            self._use(order, self._idle.pop(), now)
        else:
            self._open_for(order, now)

    def _open_for(self, order: _Order, now: Seconds) -> None:
        opened_at = time.monotonic()
        try:
            sock = self.open(
                split_address(self.address),
                lambda: self._opened(order, now, opened_at),
            )
        except OSError:
            self._finish(order, NotRun(ErrorKind.TARGET_UNREACHABLE))
            return
        order.sock = sock
        reader = AnswerStream(MAX_HEAD_BYTES, MAX_ANSWER_BYTES)
        self._connection_by_sock[sock] = _Connection(reader, opened_at, order)

    def _opened(self, order: _Order, now: Seconds, opened_at: Seconds) -> None:
        connection = self._connection_by_sock[order.sock]
        connection.is_open = True
        self._use(order, order.sock, now + time.monotonic() - opened_at)

    def _use(self, order: _Order, sock: socket.socket, now: Seconds) -> None:
        connection = self._connection_by_sock[sock]
        connection.order = order
        order.sock = sock
        order.is_written = True
        Outgoing.send(self, sock, self._encode(order.request, now))

    def _encode(self, request: Request, now: Seconds) -> bytes:
        left_ms = max(1, int((request.deadline - now) * 1000))
        headers = [
            (names.REQUEST_ID, request.id),
            (names.TIMEOUT, str(left_ms)),
            (names.EXPECTED_INSTANCE, self.instance),
            (names.CALLER_SERVICE, request.caller),
        ]
        if request.key is not None:
            headers.append((names.KEY, str(request.key)))
        headers += request.headers
        return encode_request(
            request.method, request.path, request.host, tuple(headers), request.body
        )

    def cancel(self, ticket: int) -> None:
        """Break a request off by closing its connection."""
        order = self._order_by_ticket.pop(ticket, None)
        if order is not None and order.sock is not None:
            connection = self._connection_by_sock.get(order.sock)
            if connection is not None:
                connection.order = None
            self.drop(order.sock)

    def _finish(self, order: _Order, outcome: Outcome) -> None:
        if self._order_by_ticket.pop(order.ticket, None) is not None:
            self._on_outcome(order.ticket, outcome)

    def on_data(self, sock: socket.socket, data: bytes) -> None:
        """Take bytes of answers."""
        connection = self._connection_by_sock.get(sock)
        if connection is None:
            return
        try:
            connection.reader.feed(data)
        except WireError:
            self._take_finished(sock, connection)
            self.drop(sock)
            return
        self._take_finished(sock, connection)

    def on_ended(self, sock: socket.socket) -> None:
        """Take an answer whose end is that of its connection."""
        connection = self._connection_by_sock.get(sock)
        if connection is not None:
            connection.reader.end()
            self._take_finished(sock, connection)

    def _take_finished(self, sock: socket.socket, connection: _Connection) -> None:
        """Match whole answers to the request that waits here, by its id.

        An answer to another request may come first; nobody asked for it.
        """
        finished = connection.reader.finished
        while finished:
            response = finished.pop(0)
            order = connection.order
            if order is None:
                self.drop(sock)
                return
            if _header(response, names.REQUEST_ID) == order.request.id:
                self._complete(sock, connection, order, response)
            else:
                connection.reader.keep_alive = False

    def _complete(
        self,
        sock: socket.socket,
        connection: _Connection,
        order: _Order,
        response: Response,
    ) -> None:
        connection.order = None
        reader = connection.reader
        if reader.keep_alive and not reader.finished and not reader.in_message:
            connection.idle_since = time.monotonic()
            connection.idle_s = _idle_s(response) or IDLE_S
            self._idle.append(sock)
        else:
            self.drop(sock)
        self._finish(order, _outcome(response, self.instance))

    def on_closed(self, sock: socket.socket) -> None:
        """Tell what became of the request of a connection that has ended."""
        connection = self._connection_by_sock.pop(sock, None)
        if connection is None:
            return
        if sock in self._idle:
            self._idle.remove(sock)
        if not connection.is_open:
            self._on_unreachable(self.connect_error == ECONNREFUSED)
        order, connection.order = connection.order, None
        if order is None:
            return
        if order.is_written:
            self._finish(order, Unknown(ErrorKind.ANSWER_LOST))
        else:
            self._finish(order, NotRun(ErrorKind.TARGET_UNREACHABLE))

    def sweep(self) -> None:
        """Close connections that are not made in time or have been idle too long."""
        now = time.monotonic()
        for sock, connection in list(self._connection_by_sock.items()):
            if not connection.is_open:
                if now - connection.opened_at > CONNECT_S:
                    self.drop(sock)
            elif connection.order is None:
                if now - connection.idle_since > IDLE_SHARE * connection.idle_s:
                    self.drop(sock)
