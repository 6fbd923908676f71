"""TCP components for circuits: listening and outgoing, with direct reads and writes.

The components of ``circuits.net`` fire an event for each chunk read and each chunk to
write. These components keep the poller's events but pass chunks to methods directly,
which halves the events of a request. Importing ``circuits.net`` also loads the
libraries for encryption, which no connection here uses: 4 MB in each daemon.
"""

from __future__ import annotations

import contextlib
import itertools
import socket
import time
from collections import defaultdict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from errno import EAGAIN, EINPROGRESS, EINTR, EWOULDBLOCK
from typing import TYPE_CHECKING, TypeAlias

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp

if TYPE_CHECKING:
    from rhubarbhall.core.traffic.body_budget import BodyBudget
    from rhubarbhall.types import Seconds

#: Limit of the bytes that one read takes.
READ_BYTES = 64 * 1024
#: Limit of the connections that wait to be accepted, and of those that are accepted at
#: a time.
BACKLOG = 5000
MAX_ACCEPTED = 32
#: Limit of the buffered parts that one write passes to the socket.
MAX_GATHERED_PARTS = 32
_RETRY_ERRORS = (EAGAIN, EWOULDBLOCK, EINTR)


#: Bytes to send, or a view of the rest of them.
_Data: TypeAlias = bytes | memoryview


@dataclass(slots=True)
class _Part:
    """Bytes that wait to be sent.

    Parameters
    ----------
    data : bytes or memoryview
        The rest of them.
    held_bytes : int
        Bytes that are kept in memory until the rest is sent.
    body : bytes, optional
        Body that is held in the budget until the rest is sent.
    """

    data: _Data
    held_bytes: int
    body: bytes | None = None


@dataclass(slots=True)
class Unsent:
    """What a connection has not accepted yet.

    Parameters
    ----------
    since : float
        When it last had accepted everything, by the monotonic clock.
    progress_at : float
        When it last accepted bytes, by the monotonic clock.
    size : int
        Number of the bytes that are left.
    """

    since: Seconds
    progress_at: Seconds
    size: int = 0


class _DirectIo(BaseComponent):
    """Reads and writes sockets without an event for each chunk.

    Parameters
    ----------
    channel : str
        Channel of the component, unique in its process.

    Attributes
    ----------
    read_bytes : int
        Limit of the bytes that one read of a connection takes.
    """

    read_bytes = READ_BYTES

    def __init__(self, channel: str) -> None:
        super().__init__(channel=channel)
        #: The listening socket, if there is one.
        self._sock: socket.socket | None = None
        self._clients: set[socket.socket] = set()
        self._closing: set[socket.socket] = set()
        #: Sockets whose sending direction ends once all buffered bytes are written.
        self._half_closing: set[socket.socket] = set()
        self._buffers: dict[socket.socket, deque[_Part]] = defaultdict(deque)
        self._unsent_by_sock: dict[socket.socket, Unsent] = {}
        #: Where bodies that wait to be sent are counted, if set.
        self.budget: BodyBudget | None = None
        #: Bytes in memory that wait to be sent, besides bodies held in the budget.
        self.unsent_bytes = 0
        #: Bytes of a connection that were never sent, while `on_closed` reports it.
        self.unsent_at_close = 0
        self._failed_bytes = 0
        self._poller: BasePoller | None = None

    @handler("registered", "started", channel="*")
    def _on_registered_or_started(self, component, manager=None) -> None:
        if self._poller is not None:
            return
        self._poller = findcmp(self.root, BasePoller)
        if self._poller is not None and self._sock is not None:
            self._poller.addReader(self, self._sock)

    @handler("stopped", channel="*")
    def _on_stopped(self, component) -> None:
        self.close()

    @handler("_disconnect", priority=1)
    def _on_disconnect(self, sock: socket.socket) -> None:
        self.drop(sock)

    @handler("_read", priority=1)
    def _on_read(self, sock: socket.socket) -> None:
        self._read(sock)

    @handler("_write", priority=1)
    def _on_write(self, sock: socket.socket) -> None:
        buffer = self._buffers.get(sock)
        if buffer:
            self._flush(sock, buffer)
        if sock not in self._clients:
            return
        if self._buffers.get(sock):
            self.on_sent(sock)
            return
        self._unsent_by_sock.pop(sock, None)
        if sock in self._closing:
            self.drop(sock)
            return
        self._poller.removeWriter(sock)
        if sock in self._half_closing:
            self._half_close(sock)
        self.on_sent(sock)

    def _flush(self, sock: socket.socket, buffer: deque[_Part]) -> None:
        """Write as many buffered bytes as the socket accepts; close it on an error."""
        parts = list(itertools.islice(buffer, MAX_GATHERED_PARTS))
        try:
            count = sock.sendmsg([part.data for part in parts])
        except OSError as error:
            if error.errno not in _RETRY_ERRORS:
                self.drop(sock)
            return
        unsent = self._unsent_by_sock[sock]
        unsent.progress_at = time.monotonic()
        unsent.size -= count
        for part in parts:
            size = len(part.data)
            if count < size:
                # A view: copies of a large body would take its size each time.
                part.data = memoryview(part.data)[count:]
                return
            count -= size
            buffer.popleft()
            self._free(part)

    def _free(self, part: _Part) -> None:
        self.unsent_bytes -= part.held_bytes
        if part.body is not None:
            self.budget.drop(part.body)

    def unsent(self, sock: socket.socket) -> Unsent | None:
        """Return what a connection has not accepted yet; None if nothing."""
        return self._unsent_by_sock.get(sock)

    def on_sent(self, sock: socket.socket) -> None:
        """Handle that a connection has accepted buffered bytes."""

    def on_data(self, sock: socket.socket, data: bytes) -> None:
        """Handle bytes received on a connection."""
        raise NotImplementedError

    def on_closed(self, sock: socket.socket) -> None:
        """Handle the end of a connection, whichever side ended it."""
        raise NotImplementedError

    def accepts_direct_calls(self, sock: socket.socket) -> bool:
        """Return whether the poller calls `on_readable` and `on_writable` for a socket.

        It does for connections, but not for the listening socket, which needs events.
        """
        return sock is not self._sock

    def on_readable(self, sock: socket.socket) -> None:
        """Read from a socket; called by the poller."""
        self._read(sock)

    def on_writable(self, sock: socket.socket) -> None:
        """Write the bytes buffered for a socket; called by the poller."""
        self._on_write(sock)

    def on_deferred(self, sock: socket.socket) -> None:
        """Handle some input of a socket whose input is deferred; called by the poller.

        Input that is left after it has to be deferred again.
        """
        raise NotImplementedError

    def _read(self, sock: socket.socket, max_bytes: int = 0) -> int:
        """Handle what a connection has received, and return how many bytes.

        Parameters
        ----------
        sock : socket
            The connection.
        max_bytes : int
            Limit of the bytes that are read; `read_bytes` if it is 0.
        """
        if sock not in self._clients:
            return 0
        try:
            data = sock.recv(max_bytes or self.read_bytes)
        except OSError as error:
            if error.errno not in _RETRY_ERRORS:
                self.drop(sock)
            return 0
        if data:
            self.on_data(sock, data)
        else:
            self.on_eof(sock)
            self.drop(sock)
        return len(data)

    def on_eof(self, sock: socket.socket) -> None:
        """Handle the regular end of the received bytes; `on_closed` follows."""

    def send(self, sock: socket.socket, data: bytes) -> None:
        """Write as much of `data` as the socket accepts now and buffer the rest."""
        self.send_parts(sock, (data,))

    def send_parts(
        self, sock: socket.socket, parts: Sequence[_Data], body: bytes | None = None
    ) -> None:
        """Write as many bytes as the socket accepts now and buffer the rest.

        Parameters
        ----------
        sock : socket
            The connection.
        parts : sequence of bytes or memoryview
            What to write, in order.
        body : bytes, optional
            A body that some of the parts are views of. It stays in memory until all
            of them are sent, and is counted in the budget until then, if there is one.
        """
        if sock not in self._clients:
            return
        buffer = self._buffers.get(sock)
        rest = list(parts)
        total = sum(map(len, rest))
        while rest and not buffer:
            # What counts as never sent if this closes the connection.
            self._failed_bytes = sum(map(len, rest))
            unsent = self._send_now(sock, rest[0])
            self._failed_bytes = 0
            if sock not in self._clients:
                return
            if unsent:
                rest[0] = unsent
                break
            del rest[0]
        if not rest:
            return
        if body is not None and self.budget is not None:
            total -= len(body)
            self.budget.hold(body)
        else:
            body = None
        self._buffer(sock, rest, total, body)

    def _buffer(
        self, sock: socket.socket, rest: list[_Data], total: int, body: bytes | None
    ) -> None:
        """Buffer parts; what they hold is given back together with the last one."""
        buffer = self._buffers[sock]
        if not buffer:
            now = time.monotonic()
            self._unsent_by_sock[sock] = Unsent(now, now)
        self._unsent_by_sock[sock].size += sum(map(len, rest))
        buffer.extend(_Part(data, 0) for data in rest[:-1])
        buffer.append(_Part(rest[-1], total, body))
        self.unsent_bytes += total
        if not self._poller.isWriting(sock):
            self._poller.addWriter(self, sock)

    @property
    def has_unsent(self) -> bool:
        """Whether bytes are buffered that a connection does not accept yet."""
        return any(self._buffers.values())

    def _send_now(self, sock: socket.socket, data: _Data) -> _Data:
        """Send what the socket accepts and return the rest; close it on an error.

        The rest is a view: copies of a large body would take its size each time.
        """
        try:
            count = sock.send(data)
            return b"" if count == len(data) else memoryview(data)[count:]
        except OSError as error:
            if error.errno in _RETRY_ERRORS:
                return data
            self.drop(sock)
            return b""

    def finish(self, sock: socket.socket) -> None:
        """Close a connection once all buffered bytes are written."""
        if self._buffers.get(sock):
            self._closing.add(sock)
        else:
            self.drop(sock)

    def finish_sending(self, sock: socket.socket) -> None:
        """End the sending direction once all buffered bytes are written.

        Received bytes are still read: a connection that is closed with unread bytes is
        reset, and what was sent on it may be lost.
        """
        if self._buffers.get(sock):
            self._half_closing.add(sock)
        elif sock in self._clients:
            self._half_close(sock)

    def _half_close(self, sock: socket.socket) -> None:
        self._half_closing.discard(sock)
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_WR)

    def drop(self, sock: socket.socket) -> None:
        """Close a connection at once, without writing the buffered bytes."""
        if sock in self._clients:
            self._close(sock)

    def _close(self, sock: socket.socket) -> None:
        self._poller.discard(sock)
        unsent, self._failed_bytes = self._failed_bytes, 0
        for part in self._buffers.pop(sock, ()):
            unsent += len(part.data)
            self._free(part)
        self._unsent_by_sock.pop(sock, None)
        self._clients.discard(sock)
        self._closing.discard(sock)
        self._half_closing.discard(sock)
        with contextlib.suppress(OSError):
            sock.close()
        self.unsent_at_close = unsent
        self.on_closed(sock)
        self.unsent_at_close = 0

    def close(self, sock: socket.socket | None = None) -> None:
        """Close one connection, or all without an argument."""
        for each in [sock] if sock is not None else list(self._clients):
            self.drop(each)


class Listener(_DirectIo):
    """Accepts connections.

    Parameters
    ----------
    bind : (str, int)
        IP address and port.
    channel : str
        Channel of the component, unique in its process.
    """

    def __init__(self, bind: tuple[str, int], channel: str) -> None:
        super().__init__(channel)
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind(bind)
        self._sock.listen(BACKLOG)

    @property
    def host(self) -> str | None:
        """IP address of the listening socket; None once it is closed."""
        return self._sock.getsockname()[0] if self._sock else None

    @property
    def port(self) -> int | None:
        """Port of the listening socket; None once it is closed."""
        return self._sock.getsockname()[1] if self._sock else None

    @handler("_read", priority=1, override=True)
    def _on_read(self, sock: socket.socket) -> None:
        if sock is not self._sock:
            self._read(sock)
            return
        for _ in range(MAX_ACCEPTED):
            if not self._accept():
                return

    def on_accepted(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        """Handle a new connection from the address `peer`."""
        raise NotImplementedError

    def _accept(self) -> bool:
        """Accept one waiting connection; return False if that is not possible."""
        try:
            sock, peer = self._sock.accept()
        except OSError:
            # No connection waits, the other side has closed it, or descriptors have run
            # out; the poller reports connections that still wait.
            return False
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._poller.addReader(self, sock)
        self._clients.add(sock)
        self.on_accepted(sock, peer)
        return True

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones stay open.

        Connections that wait are accepted first, since closing the listening socket
        would reset them. There may always be more of them, so their number is limited.
        """
        if self._sock is not None:
            for _ in range(BACKLOG):
                if not self._accept():
                    break
            self._poller.discard(self._sock)
            self._sock.close()
            self._sock = None

    def close(self, sock: socket.socket | None = None) -> None:
        """Close one connection; without an argument all of them and the listener."""
        if sock is None:
            self.stop_listening()
        super().close(sock)


class Connector(_DirectIo):
    """Opens connections without blocking.

    Parameters
    ----------
    channel : str
        Channel of the component, unique in its process.

    Attributes
    ----------
    connect_error : int
        Error number of the failed attempt to connect that `on_closed` reports; 0 if the
        connection had been established or the attempt was abandoned.
    """

    def __init__(self, channel: str) -> None:
        super().__init__(channel)
        self._connecting: dict[socket.socket, Callable[[], None]] = {}
        self.connect_error = 0

    def open(
        self, address: tuple[str, int], on_open: Callable[[], None]
    ) -> socket.socket:
        """Start to connect and return the socket.

        A connection that fails later is reported by `on_closed`.

        Parameters
        ----------
        address : (str, int)
            IP address and port.
        on_open : callable
            Called once the connection is established.

        Raises
        ------
        OSError
            If the attempt fails at once.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._clients.add(sock)
        self._connecting[sock] = on_open
        code = sock.connect_ex(address)
        if code not in (0, EINPROGRESS):
            # Raised, as `on_closed` would report a socket that the caller does not have
            # yet.
            sock.close()
            self._clients.remove(sock)
            del self._connecting[sock]
            raise OSError(code, "cannot connect")
        self._poller.addWriter(self, sock)
        return sock

    @handler("_write", priority=1, override=True)
    def _on_write(self, sock: socket.socket) -> None:
        on_open = self._connecting.get(sock)
        if on_open is None:
            super()._on_write(sock)
            return
        if sock not in self._clients:
            return
        self.connect_error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if self.connect_error:
            self.drop(sock)
            return
        del self._connecting[sock]
        self._poller.removeWriter(sock)
        self._poller.addReader(self, sock)
        on_open()

    def _close(self, sock: socket.socket) -> None:
        if self._connecting.pop(sock, None) is not None and not self.connect_error:
            with contextlib.suppress(OSError):
                error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                self.connect_error = error
        super()._close(sock)
        self.connect_error = 0
