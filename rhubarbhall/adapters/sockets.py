"""TCP on circuits: listening and outgoing connections, read and written directly.

The components of ``circuits.net`` fire an event for each chunk read and each
chunk to write. Here the poller's events stay, and the chunks go straight to
methods, which halves the events of a request.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from errno import EAGAIN, EINPROGRESS, EINTR, EWOULDBLOCK

from circuits import handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp
from circuits.net.sockets import Server, TCPServer

READ_BYTES = 64 * 1024
_TRY_AGAIN = (EAGAIN, EWOULDBLOCK, EINTR)


class _SocketSet(set):
    """A set with the methods of a list that `Server` uses on its clients."""

    append = set.add
    remove = set.discard

    def __getitem__(self, key: slice) -> list[socket.socket]:
        return list(self)[key]


class _DirectIo:
    """Reads and writes of a `Server` without an event for each chunk."""

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

    def _write(self, sock: socket.socket, data: bytes) -> None:
        if sock not in self._clients:
            return
        left = self._send_now(sock, data)
        if left:
            self._buffers[sock].appendleft(left)

    def finish(self, sock: socket.socket) -> None:
        """Close a connection once everything was written."""
        if self._buffers.get(sock):
            if sock not in self._closeq:
                self._closeq.append(sock)
        else:
            self.drop(sock)

    def drop(self, sock: socket.socket) -> None:
        """Close a connection now."""
        if sock in self._clients:
            self._close(sock)

    def _close(self, sock: socket.socket | None) -> None:
        if sock is None or (sock is not self._sock and sock not in self._clients):
            return
        self._poller.discard(sock)
        self._buffers.pop(sock, None)
        known = sock in self._clients
        self._clients.remove(sock)
        if sock in self._closeq:
            self._closeq.remove(sock)
        if not known:
            self._sock = None
        with contextlib.suppress(OSError):
            sock.close()
        if known:
            self.on_closed(sock)


class Listener(_DirectIo, TCPServer):
    """Accepts connections.

    Parameters
    ----------
    bind : (str, int)
        IP address and port.
    channel : str
        Channel of the component; one for each listener in a process.
    """

    def __init__(self, bind: tuple[str, int], channel: str) -> None:
        super().__init__(bind, channel=channel)
        self._clients = _SocketSet()

    def on_accepted(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        """Learn of a new connection."""
        raise NotImplementedError

    def _on_accept_done(self, sock: socket.socket, fire_connect_event: bool = True):
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            peer = sock.getpeername()
        except OSError:
            sock.close()
            return
        self._poller.addReader(self, sock)
        self._clients.append(sock)
        self.on_accepted(sock, peer)

    def stop_listening(self) -> None:
        """Accept no more connections; those open go on.

        Connections that wait to be accepted are taken first, since closing the
        socket would cut them.
        """
        if self._sock is not None:
            self._accept_waiting()
            self._poller.discard(self._sock)
            self._sock.close()
            self._sock = None

    def _accept_waiting(self) -> None:
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            self._on_accept_done(sock)

    @handler("close", override=True)
    def close(self, sock: socket.socket | None = None) -> None:
        """Close one connection, or everything."""
        if sock is not None:
            self.drop(sock)
            return
        self.stop_listening()
        for each in self._clients[:]:
            self.drop(each)


class Outgoing(_DirectIo, Server):
    """Opens connections without ever blocking.

    Parameters
    ----------
    channel : str
        Channel of the component.
    """

    socket_family = socket.AF_INET
    socket_type = socket.SOCK_STREAM
    socket_options: list = []

    def __init__(self, channel: str) -> None:
        super().__init__(None, channel=channel)
        self._sock.close()
        self._sock = None
        self._clients = _SocketSet()
        self._connecting: dict[socket.socket, Callable[[], None]] = {}
        #: Error number of the last connection that could not be made.
        self.connect_error = 0

    def parse_bind_parameter(self, bind_parameter: None) -> None:
        """Return none: nothing is bound."""
        return None

    @handler("registered", "started", channel="*", override=True)
    def _on_registered_or_started(self, component, manager=None) -> None:
        if self._poller is None:
            self._poller = findcmp(self.root, BasePoller)

    @handler("close", override=True)
    def close(self, sock: socket.socket | None = None) -> None:
        """Close one connection, or all."""
        for each in [sock] if sock is not None else self._clients[:]:
            self.drop(each)

    def open(
        self, address: tuple[str, int], on_open: Callable[[], None]
    ) -> socket.socket:
        """Begin to connect; `on_open` is called once the connection stands.

        A connection that cannot be made is told by `on_closed`.
        """
        sock = socket.socket(self.socket_family, self.socket_type)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._clients.append(sock)
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

    def _close(self, sock: socket.socket | None) -> None:
        if self._connecting.pop(sock, None) is not None and not self.connect_error:
            with contextlib.suppress(OSError):
                error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                self.connect_error = error
        super()._close(sock)
        self.connect_error = 0
