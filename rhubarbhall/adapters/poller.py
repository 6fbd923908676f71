"""A poller that calls components directly when their sockets are ready.

The poller of circuits fires an event for each ready socket, whose dispatch costs about
as much as the work that follows it.
"""

from __future__ import annotations

import select
import socket
from collections import deque
from typing import TYPE_CHECKING, Protocol

from circuits.core.pollers import EPoll

if TYPE_CHECKING:
    from circuits import BaseComponent

#: Sockets with deferred input that are handled in one iteration of the loop.
MAX_DEFERRED_HANDLED = 8


class DirectSource(Protocol):
    """A component whose sockets the poller handles by direct calls.

    It also has a method `accepts_direct_calls`, which selects the sockets.
    """

    def on_readable(self, sock: socket.socket) -> None:
        """Read from a socket."""

    def on_writable(self, sock: socket.socket) -> None:
        """Write the bytes buffered for a socket."""

    def on_deferred(self, sock: socket.socket) -> None:
        """Handle some of the input of a socket that was deferred."""


class _SocketSet(set):
    """A set in place of the list that the poller of circuits searches through."""

    append = set.add


class DirectPoll(EPoll):
    """Calls components that support it, and fires events for all others.

    Input that takes much processor time is deferred: a few sockets in turn are handled
    in each iteration of the loop, after the others.
    """

    def __init__(self) -> None:
        super().__init__()
        self._read = _SocketSet(self._read)
        self._write = _SocketSet(self._write)
        self._source_by_socket: dict[socket.socket, DirectSource] = {}
        self._deferred: deque[socket.socket] = deque()
        self._source_by_deferred: dict[socket.socket, DirectSource] = {}

    def defer(self, source: DirectSource, fd: socket.socket) -> None:
        """Watch a socket no more for input; let its source handle some of it soon."""
        self.removeReader(fd)
        if fd not in self._source_by_deferred:
            self._deferred.append(fd)
        self._source_by_deferred[fd] = source

    def is_deferred(self, fd: socket.socket) -> bool:
        """Return whether the input of a socket is deferred."""
        return fd in self._source_by_deferred

    def _generate_events(self, event) -> None:
        if self._source_by_deferred:
            event.reduce_time_left(0)
        super()._generate_events(event)
        self._handle_deferred()

    def _handle_deferred(self) -> None:
        handled = 0
        while self._deferred and handled < MAX_DEFERRED_HANDLED:
            fd = self._deferred.popleft()
            source = self._source_by_deferred.pop(fd, None)
            if source is not None:
                handled += 1
                source.on_deferred(fd)

    def addReader(self, source: BaseComponent, fd: socket.socket) -> None:  # noqa: N802
        """Watch a socket for input."""
        super().addReader(source, fd)
        self._record_source(source, fd)

    def addWriter(self, source: BaseComponent, fd: socket.socket) -> None:  # noqa: N802
        """Watch a socket for room to write."""
        super().addWriter(source, fd)
        self._record_source(source, fd)

    def _record_source(self, source: BaseComponent, fd: socket.socket) -> None:
        if hasattr(source, "on_readable") and source.accepts_direct_calls(fd):
            self._source_by_socket[fd] = source

    def discard(self, fd: socket.socket) -> None:
        """Stop watching a socket."""
        self._source_by_socket.pop(fd, None)
        self._source_by_deferred.pop(fd, None)
        super().discard(fd)

    def _process(self, fileno: int, event: int) -> None:
        fd = self._map.get(fileno)
        source = self._source_by_socket.get(fd)
        if source is None or event & self._disconnected_flag:
            super()._process(fileno, event)
            return
        if event & select.EPOLLIN:
            source.on_readable(fd)
        if event & select.EPOLLOUT and fd in self._source_by_socket:
            source.on_writable(fd)
