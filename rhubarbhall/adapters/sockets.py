"""TCP on circuits: listening and outgoing connections, read and written directly.

The components of ``circuits.net`` fire an event for each chunk read and each chunk to
write, and importing them brings the libraries for encryption, which no connection here
uses: 4 MB in each daemon. Here the poller's events stay, and the chunks go straight to
methods, which halves the events of a request.
"""

from __future__ import annotations

import contextlib
import socket
from collections import defaultdict, deque
from collections.abc import Callable
from errno import EAGAIN, EINPROGRESS, EINTR, EWOULDBLOCK

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp

READ_BYTES = 64 * 1024
#: Connections that wait to be accepted.
BACKLOG = 5000
_TRY_AGAIN = (EAGAIN, EWOULDBLOCK, EINTR)


class _DirectIo(BaseComponent):
    """Reads and writes of sockets without an event for each chunk.

    Parameters
    ----------
    channel : str
        Channel of the component; one for each in a process.
    """

    def __init__(self, channel: str) -> None:
        super().__init__(channel=channel)
        #: The listening socket, if there is one.
        self._sock: socket.socket | None = None
        self._clients: set[socket.socket] = set()
        self._closing: set[socket.socket] = set()
        self._buffers: dict[socket.socket, deque[bytes]] = defaultdict(deque)
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
            left = self._send_now(sock, buffer.popleft())
            if left:
                buffer.appendleft(left)
        if self._buffers.get(sock) or sock not in self._clients:
            return
        if sock in self._closing:
            self.drop(sock)
        else:
            self._poller.removeWriter(sock)

    def on_data(self, sock: socket.socket, data: bytes) -> None:
        """Take what was read from a connection."""
        raise NotImplementedError

    def on_closed(self, sock: socket.socket) -> None:
        """Learn that a connection has ended."""
        raise NotImplementedError

    def takes_directly(self, sock: socket.socket) -> bool:
        """Tell whether the poller may call for a socket; not for the listening one."""
        return sock is not self._sock

    def on_readable(self, sock: socket.socket) -> None:
        """Read from a socket; called by the poller."""
        self._read(sock)

    def on_writable(self, sock: socket.socket) -> None:
        """Write what waits for a socket; called by the poller."""
        self._on_write(sock)

    def _read(self, sock: socket.socket) -> None:
        if sock not in self._clients:
            return
        try:
            data = sock.recv(READ_BYTES)
        except OSError as error:
            if error.errno not in _TRY_AGAIN:
                self.drop(sock)
            return
        if data:
            self.on_data(sock, data)
        else:
            self.on_ended(sock)
            self.drop(sock)

    def on_ended(self, sock: socket.socket) -> None:
        """Learn that the other side has ended its part of a connection properly."""

    def send(self, sock: socket.socket, data: bytes) -> None:
        """Write `data`, at once as far as the socket takes it."""
        if sock not in self._clients:
            return
        buffer = self._buffers.get(sock)
        if buffer:
            buffer.append(data)
            return
        left = self._send_now(sock, data)
        if left:
            self._buffers[sock].append(left)
            if not self._poller.isWriting(sock):
                self._poller.addWriter(self, sock)

    def _send_now(self, sock: socket.socket, data: bytes) -> bytes:
        """Send what the socket takes and return the rest; drop a broken one."""
        try:
            return data[sock.send(data) :]
        except OSError as error:
            if error.errno in _TRY_AGAIN:
                return data
            self.drop(sock)
            return b""

    def finish(self, sock: socket.socket) -> None:
        """Close a connection once everything was written."""
        if self._buffers.get(sock):
            self._closing.add(sock)
        else:
            self.drop(sock)

    def drop(self, sock: socket.socket) -> None:
        """Close a connection now."""
        if sock in self._clients:
            self._close(sock)

    def _close(self, sock: socket.socket) -> None:
        self._poller.discard(sock)
        self._buffers.pop(sock, None)
        self._clients.discard(sock)
        self._closing.discard(sock)
        with contextlib.suppress(OSError):
            sock.close()
        self.on_closed(sock)

    def close(self, sock: socket.socket | None = None) -> None:
        """Close one connection, or all."""
        for each in [sock] if sock is not None else list(self._clients):
            self.drop(each)


class Listener(_DirectIo):
    """Accepts connections.

    Parameters
    ----------
    bind : (str, int)
        IP address and port.
    channel : str
        Channel of the component; one for each listener in a process.
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
        """IP address that the port is bound to; none once it is closed."""
        return self._sock.getsockname()[0] if self._sock else None

    @property
    def port(self) -> int | None:
        """Port that is listened on; none once it is closed."""
        return self._sock.getsockname()[1] if self._sock else None

    @handler("_read", priority=1, override=True)
    def _on_read(self, sock: socket.socket) -> None:
        if sock is self._sock:
            self._accept()
        else:
            self._read(sock)

    def on_accepted(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        """Learn of a new connection."""
        raise NotImplementedError

    def _accept(self) -> bool:
        """Take a connection that waits; return False if there is none."""
        try:
            sock, peer = self._sock.accept()
        except OSError:
            # Nobody waits, the other side has left, or descriptors have run out; the
            # poller tells of what still waits.
            return False
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._poller.addReader(self, sock)
        self._clients.add(sock)
        self.on_accepted(sock, peer)
        return True

    def stop_listening(self) -> None:
        """Accept no more connections; those open go on.

        Connections that wait to be accepted are taken first, since closing the
        socket would cut them.
        """
        if self._sock is not None:
            while self._accept():
                pass
            self._poller.discard(self._sock)
            self._sock.close()
            self._sock = None

    def close(self, sock: socket.socket | None = None) -> None:
        """Close one connection, or everything."""
        if sock is None:
            self.stop_listening()
        super().close(sock)


class Outgoing(_DirectIo):
    """Opens connections without ever blocking.

    Parameters
    ----------
    channel : str
        Channel of the component.
    """

    def __init__(self, channel: str) -> None:
        super().__init__(channel)
        self._connecting: dict[socket.socket, Callable[[], None]] = {}
        #: Error number of the last connection that could not be made.
        self.connect_error = 0

    def open(
        self, address: tuple[str, int], on_open: Callable[[], None]
    ) -> socket.socket:
        """Begin to connect; `on_open` is called once the connection stands.

        A connection that cannot be made is told by `on_closed`.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._clients.add(sock)
        self._connecting[sock] = on_open
        code = sock.connect_ex(address)
        if code not in (0, EINPROGRESS):
            # Told after the caller has noted the new connection.
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
