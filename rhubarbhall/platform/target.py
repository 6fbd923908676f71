"""HTTP client for the local target: sends requests and interprets the answers."""

from __future__ import annotations

import re
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from errno import ECONNREFUSED
from http import HTTPStatus
from typing import TYPE_CHECKING

from rhubarbhall.adapters.http_encoding import encode_request_head
from rhubarbhall.adapters.http_wire import ResponseStreamReader, WireError
from rhubarbhall.adapters.sockets import Connector
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.traffic.body_budget import SMALL_BODY_BYTES, BodyBudget
from rhubarbhall.core.traffic.requests import (
    Answered,
    NotRun,
    Outcome,
    RoutedRequest,
    TargetNotice,
    Unknown,
)
from rhubarbhall.core.traffic.slowdown import bounded
from rhubarbhall.platform import names
from rhubarbhall.settings import split_address

if TYPE_CHECKING:
    import socket

    from rhubarbhall.core.requests import Response
    from rhubarbhall.types import Address, Seconds

#: Limits on the head and the whole of an answer, in bytes. The second is low enough
#: that answers on all slots at the same time fit into the memory of a small VM.
MAX_HEAD_BYTES = 64 * 1024
MAX_ANSWER_BYTES = 8 << 20
#: Share of the room for bodies that answers which are being received may take. It is
#: theirs alone: their requests have run, so no body of a request displaces them.
ANSWERS_SHARE = 0.5
#: Timeout for opening a connection, in seconds.
CONNECT_TIMEOUT_S = 0.5
#: Idle timeout of a connection, in seconds, if the target does not report its own.
IDLE_TIMEOUT_S = 8.0
#: Fraction of the idle timeout after which an idle connection is closed. It is below 1
#: so that no request is sent while the target is closing the connection.
IDLE_TIMEOUT_FRACTION = 0.6
#: Number of requests not served on a connection after which it is closed; bounds the
#: memory for their ids.
MAX_UNSERVED_IDS = 100
_KEEP_ALIVE = "keep-alive"


@dataclass(slots=True)
class _Exchange:
    """A request to the target whose outcome is not known yet."""

    ticket: int
    request: RoutedRequest
    #: Name of the target instance that the request is meant for.
    instance: str
    sock: socket.socket | None = None
    is_written: bool = False


@dataclass(slots=True)
class _Connection:
    reader: ResponseStreamReader
    opened_at: Seconds
    exchange: _Exchange | None = None
    is_open: bool = False
    #: Whether the target has ended it, and not after an answer that ends this way.
    is_ended: bool = False
    #: Whether it was opened by `HttpTargetClient.probe`, for no request.
    is_probe: bool = False
    idle_since: Seconds = 0.0
    idle_s: Seconds = IDLE_TIMEOUT_S
    #: Ids of requests that were not served on this connection and may be sent again.
    #: They are not sent here: a faulty target may repeat its earlier answer to them.
    unserved_ids: set[str] = field(default_factory=set)


#: Whole seconds in a header; longer numbers than any timeout are not read.
_SECONDS = re.compile(r"[0-9]{1,6}")


def _header(response: Response, wanted: str) -> str | None:
    for name, value in response.headers:
        if name.lower() == wanted.lower():
            return value
    return None


def _idle_s(response: Response) -> Seconds | None:
    """Return the idle timeout that the target reports, in seconds, or none."""
    text = _header(response, _KEEP_ALIVE) or ""
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and _SECONDS.fullmatch(value):
            return float(value)
    return None


#: Requests per second in a header, as a decimal number; longer ones are malformed.
_RATE = re.compile(r"[0-9]{1,9}(\.[0-9]{1,20})?")


#: A load with the fourth figure; without it there is nothing to learn here.
_LOAD = re.compile(r"(?:[0-9]{1,9},){3}([0-9]{1,9}(?:\.[0-9]{1,20})?)")
_PERCENT = 100


def _slowdown(response: Response) -> float | None:
    match = _LOAD.fullmatch(_header(response, names.LOAD) or "")
    return bounded(float(match[1]) / _PERCENT) if match else None


def _notice(response: Response) -> TargetNotice:
    """Return what the target says of itself; figures that are malformed are none."""
    text = _header(response, names.RATE_LIMIT) or ""
    return TargetNotice(
        rate=float(text) if _RATE.fullmatch(text) else None,
        leaves=_header(response, names.LEAVING) == "1",
        slowdown=_slowdown(response),
    )


def _outcome(response: Response, instance: str) -> Outcome:
    """Return the outcome that a complete answer stands for.

    Parameters
    ----------
    response : Response
        The answer.
    instance : str
        Name of the target that the request was meant for.
    """
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


#: Headers of the target that are not returned to callers, in lower case: they are meant
#: for this daemon, or it sets them itself.
_NOT_RETURNED = frozenset(
    {_KEEP_ALIVE, names.REQUEST_ID.lower(), names.LOAD.lower(), "date", "server"}
)


def _is_served(outcome: Outcome) -> bool:
    """Return whether the answer is final, so that the request is not sent again."""
    is_answered = isinstance(outcome, Answered)
    return is_answered and outcome.status < HTTPStatus.INTERNAL_SERVER_ERROR


def _is_from_target(outcome: Outcome) -> bool:
    """Return whether the answer is valid and from the intended target."""
    is_invalid = isinstance(outcome, Unknown)
    return not is_invalid and outcome != NotRun(ErrorKind.TARGET_UNREACHABLE)


class HttpTargetClient(Connector):
    """Sends requests to the target over persistent connections, one at a time on each.

    Parameters
    ----------
    channel : str
        Channel of the component.
    address : str
        Address of the target.
    on_outcome : callable
        Called with the ticket of a request and its outcome.
    on_unreachable : callable
        Called when a connection cannot be opened, with whether it was refused.
    on_reachable : callable
        Called when a connection that probes the target is open.
    on_notice : callable
        Called before `on_outcome` for each valid answer of the target, with the ticket
        of its request and what the target says of itself.
    budget : BodyBudget, optional
        Room for all bodies in the process. Beyond the share that answers have, the
        largest one that is being received is given up.
    on_disconnected : callable
        Called when the target has closed a connection and none is left open.
    """

    def __init__(
        self,
        channel: str,
        address: Address,
        on_outcome: Callable[[int, Outcome], None],
        on_unreachable: Callable[[bool], None],
        on_reachable: Callable[[], None],
        on_notice: Callable[[int, TargetNotice], None],
        budget: BodyBudget | None = None,
        on_disconnected: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__(channel)
        self._budget = self.budget = budget or BodyBudget()
        self._budget.add_source(lambda: self.received_bytes + self.unsent_bytes)
        self.address = address
        self._on_notice = on_notice
        self._on_outcome = on_outcome
        self._on_unreachable = on_unreachable
        self._on_reachable = on_reachable
        self._on_disconnected = on_disconnected
        self._is_probing = False
        #: Name of the target instance that requests are meant for.
        self.instance = ""
        self._exchange_by_ticket: dict[int, _Exchange] = {}
        self._connection_by_sock: dict[socket.socket, _Connection] = {}
        self._idle: list[socket.socket] = []

    def send(  # type: ignore[override]
        self, ticket: int, request: RoutedRequest, now: Seconds
    ) -> None:
        """Send a request; `on_outcome` is called later, or at once if that fails."""
        exchange = _Exchange(ticket, request, self.instance)
        self._exchange_by_ticket[ticket] = exchange
        sock = self._take_idle(request.id)
        if sock is not None:
            self._use(exchange, sock, now)
        else:
            self._open_for(exchange, now)

    def _take_idle(self, request_id: str) -> socket.socket | None:
        """Return an idle connection that did not fail to serve this request before."""
        for index in reversed(range(len(self._idle))):
            connection = self._connection_by_sock[self._idle[index]]
            if request_id not in connection.unserved_ids:
                return self._idle.pop(index)
        return None

    def _open_for(self, exchange: _Exchange, now: Seconds) -> None:
        opened_at = time.monotonic()
        try:
            sock = self.open(
                split_address(self.address),
                lambda: self._opened(exchange, now, opened_at),
            )
        except OSError:
            self._finish(exchange, NotRun(ErrorKind.TARGET_UNREACHABLE))
            return
        exchange.sock = sock
        reader = ResponseStreamReader(MAX_HEAD_BYTES, MAX_ANSWER_BYTES)
        self._connection_by_sock[sock] = _Connection(reader, opened_at, exchange)

    def _opened(self, exchange: _Exchange, now: Seconds, opened_at: Seconds) -> None:
        connection = self._connection_by_sock[exchange.sock]
        connection.is_open = True
        self._use(exchange, exchange.sock, now + time.monotonic() - opened_at)

    def _use(self, exchange: _Exchange, sock: socket.socket, now: Seconds) -> None:
        connection = self._connection_by_sock[sock]
        connection.exchange = exchange
        exchange.sock = sock
        exchange.is_written = True
        request = exchange.request
        head = self._encode_head(request, now)
        if len(request.body) > SMALL_BODY_BYTES:
            self.send_parts(sock, (head, request.body), request.body)
        else:
            Connector.send(self, sock, head + request.body)

    def _encode_head(self, request: RoutedRequest, now: Seconds) -> bytes:
        remaining_ms = max(1, int((request.deadline - now) * 1000))
        headers = [
            (names.REQUEST_ID, request.id),
            (names.TIMEOUT, str(remaining_ms)),
            (names.EXPECTED_INSTANCE, self.instance),
            (names.CALLER_SERVICE, request.caller),
        ]
        if request.key is not None:
            headers.append((names.KEY, str(request.key)))
        headers += request.headers
        return encode_request_head(
            request.method, request.path, request.host, tuple(headers), request.body
        )

    def probe(self) -> None:
        """Open a connection to learn whether the target still listens.

        If it does, `on_reachable` is called, and the connection is kept for the next
        request; if it refuses, `on_unreachable`. Does nothing while a probe is under
        way.
        """
        if self._is_probing:
            return
        connection = _Connection(
            ResponseStreamReader(MAX_HEAD_BYTES, MAX_ANSWER_BYTES),
            time.monotonic(),
            is_probe=True,
        )

        def on_open() -> None:
            connection.is_open = True
            connection.idle_since = time.monotonic()
            self._idle.append(sock)
            self._is_probing = False
            self._on_reachable()

        try:
            sock = self.open(split_address(self.address), on_open)
        except OSError as error:
            self._on_unreachable(error.errno == ECONNREFUSED)
            return
        self._is_probing = True
        self._connection_by_sock[sock] = connection

    def cancel(self, ticket: int) -> None:
        """Abort a request by closing its connection; no outcome follows."""
        exchange = self._exchange_by_ticket.pop(ticket, None)
        if exchange is not None and exchange.sock is not None:
            connection = self._connection_by_sock.get(exchange.sock)
            if connection is not None:
                connection.exchange = None
            self.drop(exchange.sock)

    def _finish(self, exchange: _Exchange, outcome: Outcome) -> None:
        if self._exchange_by_ticket.pop(exchange.ticket, None) is not None:
            self._on_outcome(exchange.ticket, outcome)

    def on_data(self, sock: socket.socket, data: bytes) -> None:
        """Handle received bytes of answers."""
        connection = self._connection_by_sock.get(sock)
        if connection is None:
            return
        if connection.exchange is None:
            # No request waits, so the bytes are no answer, whatever they are.
            self.drop(sock)
            return
        try:
            connection.reader.feed(data)
        except WireError:
            self._take_finished(sock, connection)
            self.drop(sock)
            return
        self._take_finished(sock, connection)
        is_large = connection.reader.body_size > SMALL_BODY_BYTES
        room = ANSWERS_SHARE * self._budget.limit
        if is_large and self.received_bytes > room:
            self._give_up_largest()
        if is_large:
            self._budget.relieve()

    @property
    def received_bytes(self) -> int:
        """Number of bytes of answers that are being received."""
        connections = self._connection_by_sock.values()
        return sum(connection.reader.body_size for connection in connections)

    def _give_up_largest(self) -> None:
        """Close the connection with the largest answer that is being received."""
        self.drop(
            max(
                self._connection_by_sock,
                key=lambda sock: self._connection_by_sock[sock].reader.body_size,
            )
        )

    def on_eof(self, sock: socket.socket) -> None:
        """Handle the end of a connection, which may also end an answer."""
        connection = self._connection_by_sock.get(sock)
        if connection is not None:
            connection.reader.end()
            self._take_finished(sock, connection)
            connection.is_ended = sock in self._connection_by_sock

    def _take_finished(self, sock: socket.socket, connection: _Connection) -> None:
        """Match complete answers to the connection's request, by its id.

        An answer with another id may come before it. No request of this connection
        expects it, so it is discarded and the connection is not used again.
        """
        finished = connection.reader.finished
        while finished:
            response = finished.pop(0)
            exchange = connection.exchange
            if exchange is None:
                self.drop(sock)
                return
            if _header(response, names.REQUEST_ID) == exchange.request.id:
                self._complete(sock, connection, exchange, response)
            else:
                connection.reader.keep_alive = False

    def _complete(
        self,
        sock: socket.socket,
        connection: _Connection,
        exchange: _Exchange,
        response: Response,
    ) -> None:
        connection.exchange = None
        reader = connection.reader
        outcome = _outcome(response, self.instance)
        if not _is_served(outcome):
            connection.unserved_ids.add(exchange.request.id)
        is_clean = not reader.finished and not reader.in_message
        has_room = len(connection.unserved_ids) < MAX_UNSERVED_IDS
        if reader.keep_alive and is_clean and has_room:
            connection.idle_since = time.monotonic()
            connection.idle_s = _idle_s(response) or IDLE_TIMEOUT_S
            self._idle.append(sock)
        else:
            self.drop(sock)
        if exchange.instance == self.instance and _is_from_target(outcome):
            self._on_notice(exchange.ticket, _notice(response))
        self._finish(exchange, outcome)

    def on_closed(self, sock: socket.socket) -> None:
        """Report the outcome of the request on a connection that was closed."""
        connection = self._connection_by_sock.pop(sock, None)
        if connection is None:
            return
        connection.reader.close()
        if sock in self._idle:
            self._idle.remove(sock)
        exchange, connection.exchange = connection.exchange, None
        if not connection.is_open:
            self._is_probing &= not connection.is_probe
            if exchange is not None or connection.is_probe:
                self._on_unreachable(self.connect_error == ECONNREFUSED)
        elif connection.is_ended or exchange is not None:
            others = self._connection_by_sock.values()
            if not any(other.is_open for other in others):
                # A process that ends closes all of its connections.
                self._on_disconnected()
        if exchange is None:
            # Idle, or closed here because its request was cancelled: no sign of the
            # target's state.
            return
        if exchange.is_written:
            self._finish(exchange, Unknown(ErrorKind.ANSWER_LOST))
        else:
            self._finish(exchange, NotRun(ErrorKind.TARGET_UNREACHABLE))

    def sweep(self) -> None:
        """Close connections that took too long to open or have been idle too long."""
        now = time.monotonic()
        for sock, connection in list(self._connection_by_sock.items()):
            if not connection.is_open:
                if now - connection.opened_at > CONNECT_TIMEOUT_S:
                    self.drop(sock)
            elif connection.exchange is None:
                if (
                    now - connection.idle_since
                    > IDLE_TIMEOUT_FRACTION * connection.idle_s
                ):
                    self.drop(sock)
