"""A poller that calls components directly when their sockets are ready.

The poller of circuits fires an event for each ready socket, whose dispatch costs about
as much as the work that follows it.
"""

from __future__ import annotations

import select
import socket
from typing import TYPE_CHECKING, Protocol

from circuits.core.pollers import EPoll

if TYPE_CHECKING:
    from circuits import BaseComponent


class DirectSource(Protocol):
    """A component whose sockets the poller handles by direct calls.

    It also has a method `accepts_direct_calls`, which selects the sockets.
    """

    def on_readable(self, sock: socket.socket) -> None:
        """Read from a socket."""

    def on_writable(self, sock: socket.socket) -> None:
        """Write the bytes buffered for a socket."""


class DirectPoll(EPoll):
    """Calls components that support it, and fires events for all others."""

    def __init__(self) -> None:
        super().__init__()
        self._source_by_socket: dict[socket.socket, DirectSource] = {}

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
