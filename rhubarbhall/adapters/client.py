"""HTTP client with persistent connections.

A call ends with a whole response or with a failure that says whether the request may
have been sent; partial responses are never returned.
"""

from __future__ import annotations

import itertools
import time
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhall.adapters.http_encoding import encode_request
from rhubarbhall.adapters.http_wire import ResponseReader, WireError
from rhubarbhall.adapters.sockets import Connector
from rhubarbhall.core.errors import ErrorKind

if TYPE_CHECKING:
    import socket

    from rhubarbhall.core.requests import Response
    from rhubarbhall.types import Address, Seconds

#: Limit of a response's headers.
MAX_HEAD_BYTES = 64 * 1024
#: Time for a connection to be established.
CONNECT_TIMEOUT_S = 1.0
#: Time between checks of the deadlines of calls.
SWEEP_INTERVAL_S = 0.25
#: Time after which an unused connection is closed.
IDLE_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class Failed:
    """The outcome of a call that has no whole response.

    Parameters
    ----------
    written : bool
        Whether any byte of the request may have been sent.
    kind : ErrorKind
        What went wrong.
    """

    written: bool
    kind: ErrorKind


@dataclass(slots=True)
class Call:
    """A pending request, as returned by `HttpClient.fetch`.

    Parameters
    ----------
    number : int
        Unique among the client's calls.
    address : str
        Where the request goes.
    data : bytes
        The encoded request.
    max_answer : int
        Limit of the response's body in bytes.
    deadline : float
        When the call fails without a response, by the monotonic clock.
    on_done : callable
        Called once with the response or the failure.
    without_body : bool
        Whether the method is HEAD, whose response has headers only.
    sock : socket, optional
        The connection that the call uses, established or not.
    started_at : float
        When the call was made, by the monotonic clock.
    written : bool
        Whether any byte of the request may have been sent.
    done : bool
        Whether the call has ended or was cancelled.
    """

    number: int
    address: Address
    data: bytes
    max_answer: int
    deadline: Seconds
    on_done: Callable[[Response | Failed], None]
    without_body: bool
    sock: socket.socket | None = None
    started_at: Seconds = 0.0
    written: bool = False
    done: bool = False

    def is_overdue(self, now: Seconds) -> bool:
        """Return whether the response, or the connection for it, is overdue."""
        connect_overdue = not self.written and now - self.started_at > CONNECT_TIMEOUT_S
        return now >= self.deadline or (self.sock is not None and connect_overdue)


@dataclass(slots=True)
class _Connection:
    address: Address
    reader: ResponseReader | None = None
    call: Call | None = None
    idle_since: Seconds = 0.0


class HttpClient(Connector):
    """Sends requests over connections that are reused for later requests.

    Parameters
    ----------
    channel : str
        Channel of the component.
    max_connections : int
        Limit of the connections to one address; further calls wait for one.
    keeps_after : callable
        Returns whether a connection may be used again after a response. Responses carry
        no id: one that a faulty server repeats is taken for that to the next call.
    """

    def __init__(
        self,
        channel: str,
        max_connections: int = 100,
        keeps_after: Callable[[Response], bool] = lambda response: True,
    ) -> None:
        super().__init__(channel)
        self.max_connections = max_connections
        self._keeps_after = keeps_after
        self._numbers = itertools.count()
        self._connection_by_sock: dict[socket.socket, _Connection] = {}
        self._idle_by_address: dict[Address, list[socket.socket]] = defaultdict(list)
        self._count_by_address: dict[Address, int] = defaultdict(int)
        self._waiting_by_address: dict[Address, deque[Call]] = defaultdict(deque)
        self._calls: dict[int, Call] = {}

    def fetch(
        self,
        address: Address,
        method: str,
        path: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        timeout_s: Seconds,
        on_done: Callable[[Response | Failed], None],
        max_answer: int = 64 << 20,
    ) -> Call:
        """Send a request and return the call, which `cancel` takes.

        Parameters
        ----------
        address : str
            Where to send the request.
        method, path : str
            Method and path of the request.
        headers : tuple of (str, str)
            Headers besides ``Host`` and ``Content-Length``.
        body : bytes
            The whole body.
        timeout_s : float
            Time for the response.
        on_done : callable
            Called once, with the response or the failure. It may be called before this
            method returns.
        max_answer : int
            Limit of the response's body in bytes.
        """
        now = time.monotonic()
        call = Call(
            next(self._numbers),
            address,
            encode_request(method, path, address, headers, body),
            max_answer,
            now + timeout_s,
            on_done,
            method == "HEAD",
            started_at=now,
        )
        self._calls[call.number] = call
        self._start(call)
        return call

    def cancel(self, call: Call) -> None:
        """Cancel a call without calling its `on_done`, and close its connection."""
        if call.done:
            return
        call.done = True
        self._calls.pop(call.number, None)
        if call.sock is not None:
            self.drop(call.sock)

    def _start(self, call: Call) -> None:
        idle = self._idle_by_address[call.address]
        if idle:
            self._send_on(call, idle.pop())
        elif self._count_by_address[call.address] < self.max_connections:
            self._open_for(call)
        else:
            self._waiting_by_address[call.address].append(call)

    def _open_for(self, call: Call) -> None:
        host, _, port = call.address.rpartition(":")
        connection = _Connection(call.address, call=call)
        try:
            sock = self.open((host, int(port)), lambda: self._on_connected(call))
        except OSError:
            self._finish(call, Failed(False, ErrorKind.TARGET_UNREACHABLE))
            return
        call.sock = sock
        self._connection_by_sock[sock] = connection
        self._count_by_address[call.address] += 1

    def _on_connected(self, call: Call) -> None:
        if call.done:
            self.drop(call.sock)
        else:
            self._send_on(call, call.sock)

    def _send_on(self, call: Call, sock: socket.socket) -> None:
        connection = self._connection_by_sock[sock]
        connection.call = call
        if connection.reader is None:
            connection.reader = ResponseReader(MAX_HEAD_BYTES)
        connection.reader.expect(call.max_answer, call.without_body)
        call.sock = sock
        call.written = True
        self.send(sock, call.data)

    def on_data(self, sock: socket.socket, data: bytes) -> None:
        """Handle received bytes of a response."""
        connection = self._connection_by_sock.get(sock)
        if connection is None or connection.call is None:
            # A response without a request: nothing on this connection can be trusted.
            self.drop(sock)
            return
        call, reader = connection.call, connection.reader
        try:
            reader.feed(data)
        except WireError as error:
            kind = ErrorKind.ANSWER_LOST
            if error.kind is ErrorKind.ANSWER_TOO_LARGE:
                kind = error.kind
            connection.call = None
            self.drop(sock)
            self._finish(call, Failed(True, kind))
            return
        if reader.response is not None:
            self._complete(sock, connection, call, reader)

    def _complete(
        self,
        sock: socket.socket,
        connection: _Connection,
        call: Call,
        reader: ResponseReader,
    ) -> None:
        connection.call = None
        # The next call on the connection clears the response of the reader.
        response = reader.response
        if reader.keep_alive and self._keeps_after(response):
            connection.idle_since = time.monotonic()
            self._idle_by_address[connection.address].append(sock)
        else:
            self.drop(sock)
        self._start_waiting_call(connection.address)
        self._finish(call, response)

    def on_closed(self, sock: socket.socket) -> None:
        """Fail the call whose connection ended before its response was whole."""
        connection = self._connection_by_sock.pop(sock, None)
        if connection is None:
            return
        self._count_by_address[connection.address] -= 1
        idle = self._idle_by_address[connection.address]
        if sock in idle:
            idle.remove(sock)
        if connection.reader is not None:
            connection.reader.close()
        call = connection.call
        if call is not None:
            kind_if_not_sent = ErrorKind.TARGET_UNREACHABLE
            kind = ErrorKind.ANSWER_LOST if call.written else kind_if_not_sent
            self._finish(call, Failed(call.written, kind))
        self._start_waiting_call(connection.address)

    def _start_waiting_call(self, address: Address) -> None:
        waiting = self._waiting_by_address[address]
        while waiting and (
            self._idle_by_address[address]
            or self._count_by_address[address] < self.max_connections
        ):
            call = waiting.popleft()
            if not call.done:
                self._start(call)
                return

    def _finish(self, call: Call, outcome: Response | Failed) -> None:
        if call.done:
            return
        call.done = True
        self._calls.pop(call.number, None)
        call.on_done(outcome)

    def _drop_idle_since_before(self, call: Call) -> None:
        """Close idle connections to an address unused since before an overdue call.

        Whatever silenced the connection of that call may have silenced them too.
        """
        for sock in list(self._idle_by_address[call.address]):
            if self._connection_by_sock[sock].idle_since <= call.started_at:
                self.drop(sock)

    def sweep(self) -> None:
        """Fail overdue calls and close connections unused for `IDLE_TIMEOUT_S`.

        To be called every `SWEEP_INTERVAL_S`.
        """
        now = time.monotonic()
        for call in [each for each in self._calls.values() if each.is_overdue(now)]:
            kind = ErrorKind.DEADLINE_PASSED
            if not call.written:
                kind = ErrorKind.TARGET_UNREACHABLE
            self._finish(call, Failed(call.written, kind))
            if call.sock is not None:
                self.drop(call.sock)
            self._drop_idle_since_before(call)
        for idle in self._idle_by_address.values():
            for sock in list(idle):
                if now - self._connection_by_sock[sock].idle_since > IDLE_TIMEOUT_S:
                    self.drop(sock)
