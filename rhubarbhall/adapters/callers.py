"""The HTTP server for callers, parsed by ``httptools``.

Requests of one connection are handled one at a time, and answered in order.
"""

from __future__ import annotations

import itertools
import time
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from rhubarbhall.adapters.http_wire import (
    ParsedRequest,
    RequestReader,
    WireError,
    encode_response,
)
from rhubarbhall.adapters.sockets import Listener
from rhubarbhall.caller_limits import CallerLimits
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.requests import RawRequest, refusal
from rhubarbhall.core.traffic.body_budget import BodyBudget

if TYPE_CHECKING:
    import socket

    from rhubarbhall.core.requests import Response
    from rhubarbhall.types import RequestId, Seconds

#: Limit of the requests of one connection that wait for the one being handled.
MAX_PIPELINED = 32
#: Time without bytes after which a draining server closes a connection, in seconds:
#: longer than a caller on the same VM takes to send its first request.
MIN_IDLE_S = 0.1
#: Time for which the bytes of a refused request are still read, in seconds.
LINGER_S = 2.0
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class RequestSink(Protocol):
    """Handles the requests of callers."""

    def take(self, request_id: RequestId, raw: RawRequest) -> None:
        """Handle a request; its answer goes to `CallerServer.answer`, now or later."""

    def caller_disconnected(self, request_id: RequestId) -> None:
        """Handle the end of a connection whose request is still unanswered."""


@dataclass(slots=True)
class _Connection:
    """An open connection of a caller.

    Parameters
    ----------
    reader : RequestReader
        Parser of the received bytes.
    peer : str
        IP address of the caller.
    last_active_at : float
        When bytes were last received or an answer was last written.
    waiting : deque of ParsedRequest
        Requests that wait for the one being handled.
    current : ParsedRequest, optional
        The request being handled.
    request_id : int, optional
        Id of the request being handled.
    closing : bool
        Whether received bytes are ignored because the connection is about to be closed.
    lingers_until : float, optional
        When a connection is closed whose caller is still sending a refused request.
    """

    reader: RequestReader
    peer: str
    last_active_at: Seconds
    waiting: deque[ParsedRequest] = field(default_factory=deque)
    current: ParsedRequest | None = None
    request_id: RequestId | None = None
    closing: bool = False
    lingers_until: Seconds | None = None

    def discard_waiting(self) -> None:
        for parsed in self.waiting:
            parsed.release()
        self.waiting.clear()


class CallerServer(Listener):
    """Reads requests, passes them to a sink and writes their answers in order.

    Parameters
    ----------
    bind : (str, int)
        IP address and port.
    channel : str
        Channel of the component.
    sink : RequestSink
        Handles the requests.
    limits : CallerLimits
        Limits on what callers may send.
    budget : BodyBudget, optional
        Room for the bodies of all requests.

    Attributes
    ----------
    draining : bool
        Set while the daemon drains; each answer then closes its connection.
    """

    def __init__(
        self,
        bind: tuple[str, int],
        channel: str,
        sink: RequestSink,
        limits: CallerLimits,
        budget: BodyBudget | None = None,
    ) -> None:
        super().__init__(bind, channel)
        self._sink = sink
        self._limits = limits
        self._budget = budget or BodyBudget()
        self._connection_by_sock: dict[socket.socket, _Connection] = {}
        self._sock_by_request: dict[RequestId, socket.socket] = {}
        self._request_ids = itertools.count(1)
        self.draining = False

    def limit(self, limits: CallerLimits) -> None:
        """Set the limits, also for what open connections receive from now on."""
        self._limits = limits
        for connection in self._connection_by_sock.values():
            connection.reader.limit(limits.max_head, limits.max_body)

    @property
    def sockets(self) -> list[socket.socket]:
        """The open connections."""
        return list(self._connection_by_sock)

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connection_by_sock)

    def on_accepted(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        """Start reading a new connection, or refuse it beyond the limit."""
        if len(self._connection_by_sock) >= self._limits.connections:
            too_many = refusal(ErrorKind.TOO_MANY_CONNECTIONS)
            self.send(sock, encode_response(too_many, keep_alive=False))
            self.finish(sock)
            return
        limits = self._limits
        reader = RequestReader(limits.max_head, limits.max_body, self._budget)
        self._connection_by_sock[sock] = _Connection(reader, peer[0], time.monotonic())

    def on_data(self, sock: socket.socket, data: bytes) -> None:
        """Handle received bytes of requests."""
        connection = self._connection_by_sock.get(sock)
        if connection is None or connection.closing:
            return
        connection.last_active_at = time.monotonic()
        reader = connection.reader
        try:
            reader.feed(data)
        except WireError as error:
            self._reject(sock, connection, error.kind)
            return
        if reader.wants_continue:
            reader.wants_continue = False
            self.send(sock, _CONTINUE)
        connection.waiting.extend(reader.finished)
        reader.finished.clear()
        if len(connection.waiting) > MAX_PIPELINED:
            self._reject(sock, connection, ErrorKind.MALFORMED_REQUEST)
            return
        self._start_next(sock, connection)

    def _reject(
        self, sock: socket.socket, connection: _Connection, kind: ErrorKind
    ) -> None:
        """Refuse what cannot be read and close the connection.

        The refusal is left out if another request is still being handled. What the
        caller still sends is read and dropped for a while, since it may not read the
        refusal before it has sent all.
        """
        connection.closing = True
        connection.discard_waiting()
        connection.reader.close()
        connection.lingers_until = time.monotonic() + LINGER_S
        if connection.current is None:
            self.send(sock, encode_response(refusal(kind), keep_alive=False))
            self.finish_sending(sock)

    def _start_next(self, sock: socket.socket, connection: _Connection) -> None:
        while connection.current is None and connection.waiting:
            parsed = connection.waiting.popleft()
            connection.current = parsed
            request_id = next(self._request_ids)
            connection.request_id = request_id
            self._sock_by_request[request_id] = sock
            raw = RawRequest(
                parsed.method,
                parsed.path,
                parsed.headers,
                parsed.body,
                connection.peer,
            )
            self._sink.take(request_id, raw)

    def sock_of(self, request_id: RequestId) -> socket.socket | None:
        """Return the connection of a request; None once it is answered or closed."""
        return self._sock_by_request.get(request_id)

    def answer(self, request_id: RequestId, response: Response) -> None:
        """Write the answer to a request, unless its connection has ended."""
        sock = self._sock_by_request.pop(request_id, None)
        connection = self._connection_by_sock.get(sock) if sock else None
        if connection is not None:
            self._write_answer(sock, connection, response)
            self._start_next(sock, connection)

    def _write_answer(
        self, sock: socket.socket, connection: _Connection, response: Response
    ) -> None:
        parsed = connection.current
        parsed.release()
        connection.current = None
        connection.request_id = None
        connection.last_active_at = time.monotonic()
        keep = parsed.keep_alive and not self.draining and not connection.closing
        head_only = parsed.method == "HEAD"
        self.send(sock, encode_response(response, keep, head_only))
        if keep:
            return
        connection.closing = True
        connection.discard_waiting()
        if connection.lingers_until is None:
            self.finish(sock)
        else:
            self.finish_sending(sock)

    def on_closed(self, sock: socket.socket) -> None:
        """Report the unanswered request of an ended connection to the sink."""
        connection = self._connection_by_sock.pop(sock, None)
        if connection is None:
            return
        connection.reader.close()
        connection.discard_waiting()
        if connection.current is not None:
            connection.current.release()
        if connection.request_id is not None:
            self._sock_by_request.pop(connection.request_id, None)
            self._sink.caller_disconnected(connection.request_id)

    def sweep(self) -> None:
        """Close connections without progress for too long.

        In the middle of a request at most `CallerLimits.idle_s` may pass without
        received bytes; a connection without a request is kept for
        `CallerLimits.keep_s`.
        """
        now = time.monotonic()
        for sock, connection in list(self._connection_by_sock.items()):
            idle_s = now - connection.last_active_at
            if connection.current is not None:
                continue
            if connection.lingers_until is not None:
                if now >= connection.lingers_until:
                    self.drop(sock)
            elif connection.reader.in_message and idle_s > self._limits.idle_s:
                self._reject(sock, connection, ErrorKind.REQUEST_TIMEOUT)
            elif idle_s > self._limits.keep_s:
                self.drop(sock)

    def close_idle(self) -> None:
        """Close the connections without a pending request.

        Bytes that have already arrived are read first, so that no request is lost. A
        connection that was just opened or used is left open for `MIN_IDLE_S`, since a
        request may be on its way.
        """
        now = time.monotonic()
        for sock, connection in list(self._connection_by_sock.items()):
            self._read(sock)
            idle_s = now - connection.last_active_at
            is_busy = connection.current is not None or connection.reader.in_message
            if not is_busy and idle_s >= MIN_IDLE_S:
                self.finish(sock)
