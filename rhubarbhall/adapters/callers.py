"""The HTTP server for callers, parsed by ``httptools``.

Requests of one connection are handled one at a time, and answered in order.
"""

from __future__ import annotations

import itertools
import time
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING, Protocol

from rhubarbhall.adapters.caller_connection import CallerConnection
from rhubarbhall.adapters.eviction import Candidate, EvictionOrder
from rhubarbhall.adapters.http_encoding import encode_response, encode_response_head
from rhubarbhall.adapters.http_wire import ParsedRequest, RequestReader, WireError
from rhubarbhall.adapters.sockets import Listener
from rhubarbhall.caller_limits import CallerLimits
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.requests import RawRequest, refusal
from rhubarbhall.core.traffic.body_budget import SMALL_BODY_BYTES, BodyBudget

if TYPE_CHECKING:
    import socket

    from rhubarbhall.core.requests import Response
    from rhubarbhall.types import RequestId, Seconds

#: Limit of the bytes that one read takes, and of the reads of one connection at a time.
#: The next one follows at once only if the last one cost little processor time.
READ_BYTES = 16 * 1024
MAX_READS = 4
#: Limit of the first of these reads, and of all reads of a connection that is costly.
SHORT_READ_BYTES = 1024
#: A connection is costly that brings more headers or chunks than this in one read, and
#: fewer bytes for each of them.
MAX_STEPS = 32
MIN_BYTES_PER_STEP = 32
#: Limit of the requests of one connection that wait for the one being handled.
MAX_PIPELINED = 32
#: Unsent bytes above which no further request of a connection is read or handled.
MAX_UNSENT_BYTES = 64 * 1024
#: Requests that wait on a connection above which no more are read, and their bytes.
MAX_READ_AHEAD = 16
MAX_READ_AHEAD_BYTES = 64 * 1024
#: Bytes of waiting requests on all connections above which the body budget is checked
#: with each request that has to wait.
MAX_UNCHECKED_BYTES = 1 << 20
#: Time for which a connection may make no progress before it gives way to a new one, in
#: seconds. A caller on the same VM sends its request within milliseconds.
MIN_UNUSED_S = 1.0
#: Time without bytes after which a draining server closes a connection, in seconds:
#: longer than a caller on the same VM takes to send its first request.
MIN_IDLE_S = 0.1
#: Time for which the bytes of a refused request are still read, in seconds, and limit
#: of the connections on which that is done at a time.
LINGER_S = 2.0
MAX_LINGERING = 128
#: Weights of connections that give way to a new one; those of the others are the bytes
#: per second that they bring, negated, and lie between the first and the second.
_REFUSED_WEIGHT = 1.0
_UNREAD_WEIGHT = -1e15
_PIPELINED_WEIGHT = float("-inf")
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class RequestSink(Protocol):
    """Handles the requests of callers."""

    def take(self, request_id: RequestId, raw: RawRequest) -> None:
        """Handle a request; its answer goes to `CallerServer.answer`, now or later."""

    def caller_disconnected(self, request_id: RequestId) -> None:
        """Handle the end of a connection whose request is still unanswered."""


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
    yielded : int
        Connections that were closed, or whose request was refused, for the room that
        they took.
    waiting_bytes : int
        Memory that the heads of requests take that wait for another one of their
        connection, in bytes.
    """

    read_bytes = READ_BYTES

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
        self._budget = self.budget = budget or BodyBudget()
        self._connection_by_sock: dict[socket.socket, CallerConnection] = {}
        self._sock_by_request: dict[RequestId, socket.socket] = {}
        self._request_ids = itertools.count(1)
        #: The connection whose bytes are being parsed, which must not be closed.
        self._receiving: socket.socket | None = None
        #: Connections whose request was refused, the oldest first.
        self._lingering: dict[socket.socket, None] = {}
        self._order_by_bytes = EvictionOrder(self._byte_holders, self._holds_bytes)
        self._order_by_use = EvictionOrder(self._replaceable, self._is_replaceable)
        self.draining = False
        self.yielded = 0
        self.waiting_bytes = 0

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
    def held_bytes(self) -> int:
        """Bytes that wait to be sent, and those of the heads of waiting requests."""
        return self.unsent_bytes + self.waiting_bytes

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connection_by_sock)

    def on_accepted(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        """Start reading a new connection, or refuse it beyond the limit.

        At the limit the connection gives way that is of the least use.
        """
        is_full = len(self._connection_by_sock) >= self._limits.connections
        if is_full and not self._replace_one():
            too_many = refusal(ErrorKind.TOO_MANY_CONNECTIONS)
            self.send(sock, encode_response(too_many, keep_alive=False))
            self.finish(sock)
            return
        limits = self._limits
        reader = RequestReader(limits.max_head, limits.max_body, self._budget)
        now = time.monotonic()
        self._connection_by_sock[sock] = CallerConnection(reader, peer[0], now)

    def _replace_one(self) -> bool:
        """Close the connection of the least use; return if there is one."""
        now = time.monotonic()
        min_age_s = min(self._limits.idle_s, self._limits.head_s, MIN_UNUSED_S)
        sock = self._order_by_use.next(now, min_age_s)
        if sock is None:
            return False
        self.yielded += 1
        self.drop(sock)
        return True

    def _replaceable(self, now: Seconds) -> Iterator[Candidate]:
        """Yield the connections that may give way to a new one, by their use.

        Refused ones come first, then those without a whole request by how little they
        bring, then those that do not read an answer, then those whose requests wait for
        one another.
        """
        for sock, connection in self._connection_by_sock.items():
            if self._is_replaceable(sock):
                yield self._replacement_candidate(now, sock, connection)

    def _replacement_candidate(
        self, now: Seconds, sock: socket.socket, connection: CallerConnection
    ) -> Candidate:
        if connection.waiting:
            return Candidate(sock, connection.progress_at, _PIPELINED_WEIGHT)
        unsent = self.unsent(sock)
        if unsent is not None:
            return Candidate(sock, unsent.progress_at, _UNREAD_WEIGHT)
        since = connection.message_since or connection.last_active_at
        if connection.closing:
            return Candidate(sock, since, _REFUSED_WEIGHT)
        rate = connection.reader.body_size / max(now - since, MIN_UNUSED_S)
        return Candidate(sock, since, -rate)

    def _is_replaceable(self, sock: socket.socket) -> bool:
        """Return whether a connection may give way to a new one.

        All may but those with a single request that is being handled.
        """
        connection = self._connection_by_sock.get(sock)
        return connection is not None and (
            connection.current is None or bool(connection.waiting)
        )

    def on_data(self, sock: socket.socket, data: bytes) -> None:
        """Handle received bytes of requests."""
        connection = self._connection_by_sock.get(sock)
        if connection is None or connection.closing:
            return
        now = connection.last_active_at = time.monotonic()
        reader = connection.reader
        if connection.message_since is None:
            connection.message_since = now
            connection.record_progress(now, 0)
        self._receiving = sock
        try:
            reader.feed(data)
        except WireError as error:
            self._reject(sock, connection, error.kind)
            return
        finally:
            self._receiving = None
        if reader.wants_continue:
            reader.wants_continue = False
            self.send(sock, _CONTINUE)
        if reader.steps > max(MAX_STEPS, len(data) // MIN_BYTES_PER_STEP):
            connection.is_costly = True
        if reader.body_size - connection.progress_bytes >= SMALL_BODY_BYTES:
            connection.record_progress(now, reader.body_size)
        if reader.finished:
            self._add_waiting(connection, reader.finished)
            reader.finished.clear()
            connection.message_since = now
            connection.record_progress(now, reader.body_size)
        if not reader.in_message:
            connection.message_since = None
        if len(connection.waiting) > MAX_PIPELINED:
            self._reject(sock, connection, ErrorKind.MALFORMED_REQUEST)
            return
        self._start_next(sock, connection)
        if connection.waiting and self.waiting_bytes > MAX_UNCHECKED_BYTES:
            self._budget.relieve()

    def _add_waiting(
        self, connection: CallerConnection, requests: Iterable[ParsedRequest]
    ) -> None:
        for parsed in requests:
            connection.waiting.append(parsed)
            connection.waiting_bytes += parsed.held_bytes
            self.waiting_bytes += parsed.head_bytes

    def _take_waiting(self, connection: CallerConnection) -> ParsedRequest:
        parsed = connection.waiting.popleft()
        connection.waiting_bytes -= parsed.held_bytes
        self.waiting_bytes -= parsed.head_bytes
        return parsed

    def _discard_waiting(self, connection: CallerConnection) -> None:
        while connection.waiting:
            self._take_waiting(connection).release()

    def on_readable(self, sock: socket.socket) -> None:
        """Read from a connection, or defer that if it is costly."""
        connection = self._connection_by_sock.get(sock)
        if connection is None:
            self._read(sock)
            return
        size = SHORT_READ_BYTES
        for _ in range(MAX_READS):
            if connection.is_costly:
                self._poller.defer(self, sock)
                return
            count = self._read(sock, size)
            if count < size or connection.is_paused or sock not in self._clients:
                return
            size = READ_BYTES

    def on_deferred(self, sock: socket.socket) -> None:
        """Read some bytes of a connection that is costly to read."""
        connection = self._connection_by_sock.get(sock)
        if connection is None or connection.is_paused:
            return
        size = READ_BYTES if connection.closing else SHORT_READ_BYTES
        count = self._read(sock, size)
        if sock not in self._clients or connection.is_paused:
            return
        if count:
            self._poller.defer(self, sock)
        else:
            self._poller.addReader(self, sock)

    def _reject(
        self, sock: socket.socket, connection: CallerConnection, kind: ErrorKind
    ) -> None:
        """Refuse what cannot be read and close the connection.

        The refusal is left out if another request is still being handled. What the
        caller still sends is read and dropped for a while, since it may not read the
        refusal before it has sent all.
        """
        connection.closing = connection.is_costly = True
        self._discard_waiting(connection)
        connection.reader.close()
        connection.lingers_until = time.monotonic() + LINGER_S
        if connection.current is None:
            self._send_refusal(sock, kind)

    def _send_refusal(self, sock: socket.socket, kind: ErrorKind) -> None:
        self.send(sock, encode_response(refusal(kind), keep_alive=False))
        self.finish_sending(sock)
        if sock in self._clients:
            self._lingering[sock] = None
        if len(self._lingering) > MAX_LINGERING:
            self.drop(next(iter(self._lingering)))

    def _start_next(self, sock: socket.socket, connection: CallerConnection) -> None:
        while (
            connection.current is None
            and connection.waiting
            and self._unsent_size(sock) <= MAX_UNSENT_BYTES
        ):
            parsed = self._take_waiting(connection)
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
        self._pause_or_resume(sock, connection)

    def _unsent_size(self, sock: socket.socket) -> int:
        unsent = self.unsent(sock)
        return 0 if unsent is None else unsent.size

    def _pause_or_resume(
        self, sock: socket.socket, connection: CallerConnection
    ) -> None:
        """Read no more from a caller that does not read its answers, for the present.

        The same holds while many of its requests wait, or large ones. Each of them and
        each answer takes memory.
        """
        is_paused = not connection.closing and (
            self._unsent_size(sock) > MAX_UNSENT_BYTES
            or len(connection.waiting) >= MAX_READ_AHEAD
            or connection.waiting_bytes >= MAX_READ_AHEAD_BYTES
        )
        if is_paused == connection.is_paused or sock not in self._clients:
            return
        connection.is_paused = is_paused
        if is_paused:
            self._poller.removeReader(sock)
            return
        self._poller.addReader(self, sock)
        # The caller could bring nothing in the meantime.
        now = connection.last_active_at = time.monotonic()
        connection.record_progress(now, connection.reader.body_size)
        if connection.message_since is not None:
            connection.message_since = connection.last_active_at

    def on_sent(self, sock: socket.socket) -> None:
        """Handle the next request of a caller that reads its answers again."""
        connection = self._connection_by_sock.get(sock)
        if connection is not None and not connection.closing:
            self._start_next(sock, connection)

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
            if self._unsent_size(sock) > SMALL_BODY_BYTES:
                self._budget.relieve()

    def _write_answer(
        self, sock: socket.socket, connection: CallerConnection, response: Response
    ) -> None:
        parsed = connection.current
        parsed.release()
        connection.current = None
        connection.request_id = None
        connection.last_active_at = time.monotonic()
        keep = parsed.keep_alive and not self.draining and not connection.closing
        head_only = parsed.method == "HEAD"
        if len(response.body) > SMALL_BODY_BYTES and not head_only:
            head = encode_response_head(response, keep)
            self.send_parts(sock, (head, response.body), response.body)
        else:
            self.send(sock, encode_response(response, keep, head_only))
        if keep:
            return
        connection.closing = True
        self._discard_waiting(connection)
        if connection.lingers_until is None:
            self.finish(sock)
        else:
            self.finish_sending(sock)

    def on_closed(self, sock: socket.socket) -> None:
        """Report the unanswered request of an ended connection to the sink."""
        self._lingering.pop(sock, None)
        connection = self._connection_by_sock.pop(sock, None)
        if connection is None:
            return
        connection.reader.close()
        self._discard_waiting(connection)
        if connection.current is not None:
            connection.current.release()
        if connection.request_id is not None:
            self._sock_by_request.pop(connection.request_id, None)
            self._sink.caller_disconnected(connection.request_id)

    def sweep(self) -> None:
        """Close connections without progress for too long.

        In the middle of a request at most `CallerLimits.idle_s` may pass without
        received bytes, and `CallerLimits.head_s` until the end of its head; a
        connection without a request, or with answers of which it accepts nothing, is
        kept for `CallerLimits.keep_s`.
        """
        now = time.monotonic()
        for sock, connection in list(self._connection_by_sock.items()):
            idle_s = now - connection.last_active_at
            unsent = self.unsent(sock)
            if unsent is not None:
                idle_s = now - max(connection.last_active_at, unsent.progress_at)
                if now - unsent.progress_at > self._limits.keep_s:
                    self.drop(sock)
                    continue
            if connection.current is not None or connection.is_paused:
                continue
            if self._is_head_late(now, connection):
                # The rest may have arrived while this process did something else.
                if not connection.is_costly:
                    self._read(sock, SHORT_READ_BYTES)
                if self._is_head_late(now, connection) and sock in self._clients:
                    self._reject(sock, connection, ErrorKind.REQUEST_TIMEOUT)
            elif connection.lingers_until is not None:
                if now >= connection.lingers_until:
                    self.drop(sock)
            elif connection.reader.in_message and idle_s > self._limits.idle_s:
                self._reject(sock, connection, ErrorKind.REQUEST_TIMEOUT)
            elif idle_s > self._limits.keep_s:
                self.drop(sock)

        self._budget.relieve()

    def _is_head_late(self, now: Seconds, connection: CallerConnection) -> bool:
        return (
            connection.message_since is not None
            and connection.current is None
            and not connection.closing
            and connection.reader.in_head
            and now - connection.message_since > self._limits.head_s
        )

    def relieve(self, age_s: Seconds) -> bool:
        """Close the connection that holds the most bytes for the longest time.

        Counted are answers that are not accepted and requests that are received in part
        or wait for another one, above `SMALL_BODY_BYTES`. The request of such an answer
        has run; the others are refused as not run.

        Parameters
        ----------
        age_s : float
            Minimum time for which they have been held, in seconds.

        Returns
        -------
        bool
            Whether a connection was closed or its request refused.
        """
        worst = self._order_by_bytes.next(time.monotonic(), age_s)
        if worst is None:
            return False
        self.yielded += 1
        connection = self._connection_by_sock[worst]
        unsent = self.unsent(worst)
        if unsent is not None and unsent.size >= connection.received_bytes:
            self.drop(worst)
        else:
            self._reject(worst, connection, ErrorKind.REQUEST_TIMEOUT)
        return True

    def _byte_holders(self, now: Seconds) -> Iterator[Candidate]:
        for sock, connection in self._connection_by_sock.items():
            size, since = self._held(sock, connection)
            if size > SMALL_BODY_BYTES and sock is not self._receiving:
                yield Candidate(sock, since, size * (now - since))

    def _holds_bytes(self, sock: socket.socket) -> bool:
        connection = self._connection_by_sock.get(sock)
        if connection is None or sock is self._receiving:
            return False
        size, _ = self._held(sock, connection)
        return size > SMALL_BODY_BYTES

    def _held(
        self, sock: socket.socket, connection: CallerConnection
    ) -> tuple[int, Seconds]:
        """Return how many bytes a connection holds, and since when."""
        unsent = self.unsent(sock)
        if unsent is not None and unsent.size >= connection.received_bytes:
            return unsent.size, unsent.since
        return connection.received_bytes, connection.progress_at

    def close_idle(self) -> None:
        """Close the connections without a pending request.

        Bytes that have already arrived are read first, so that no request is lost. A
        connection that was just opened or used is left open for `MIN_IDLE_S`, since a
        request may be on its way.
        """
        now = time.monotonic()
        for sock, connection in list(self._connection_by_sock.items()):
            if not connection.is_paused:
                self._read(sock)
            idle_s = now - connection.last_active_at
            is_busy = connection.current is not None or connection.reader.in_message
            if not is_busy and idle_s >= MIN_IDLE_S:
                self.finish(sock)
