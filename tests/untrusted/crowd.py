"""Clients that read nothing or little, and stop where it costs the server most."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from tests.untrusted.deployment import HOST, TIMEOUT_MS

#: Receive buffer of the clients, in bytes: the kernel is to hold little of an answer.
RECEIVE_BUFFER_BYTES = 4096
#: Bytes that a client sends in one turn without being told otherwise.
SEND_BYTES = 256 * 1024
#: Time between two turns, in seconds.
TURN_S = 0.02


def head(method: str, path: str, name: str, *lines: str) -> bytes:
    """Return the head of a request."""
    fixed = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {name}"]
    fixed.append(f"Timeout-Ms: {TIMEOUT_MS}")
    return "\r\n".join([*fixed, *lines, "", ""]).encode()


@dataclass
class Client:
    """One connection of the crowd.

    Parameters
    ----------
    parts : list of bytes
        What it sends; it stays open after that.
    send_bytes, receive_bytes : int
        Bytes that it sends and reads in one turn at most; it may read none.
    turns_between : int
        Turns between two of its turns to send.
    comes_again : bool
        Whether it connects again, and sends all again, once its connection is closed.
    """

    parts: list[bytes | memoryview]
    send_bytes: int = SEND_BYTES
    receive_bytes: int = 0
    turns_between: int = 0
    comes_again: bool = False
    sock: socket.socket | None = None
    is_closed: bool = False
    _turn: int = field(default=0)
    _port: int = field(default=0)
    _all_parts: list[bytes | memoryview] = field(default_factory=list)

    def connect(self, port: int) -> None:
        """Open the connection, with a small receive buffer."""
        self._port = port
        self._all_parts = list(self.parts)
        self._open()

    def _open(self) -> None:
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.sock.settimeout(5.0)
        try:
            self.sock.connect((HOST, self._port))
        except OSError:
            self.is_closed = True
        self.sock.setblocking(False)

    def turn(self) -> None:
        """Send and read some bytes."""
        self._turn += 1
        if self.is_closed:
            if not self.comes_again:
                return
            self._come_again()
        try:
            if self.parts and self._turn % (self.turns_between + 1) == 0:
                self._send()
            if self.receive_bytes:
                self.is_closed = not self.sock.recv(self.receive_bytes)
        except BlockingIOError:
            pass
        except OSError:
            self.is_closed = True

    def _come_again(self) -> None:
        self.sock.close()
        self.is_closed = False
        self.parts = list(self._all_parts)
        self._open()

    def _send(self) -> None:
        part = memoryview(self.parts[0])
        count = self.sock.send(part[: self.send_bytes])
        self.parts[:1] = [part[count:]] if count < len(part) else []


def play(
    port: int,
    clients: Iterable[Client],
    duration_s: float,
    watch: Callable[[], None],
    on_connected: Callable[[], None] = lambda: None,
    is_over: Callable[[], bool] = lambda: False,
) -> None:
    """Let clients connect and act for a time, then close them.

    Parameters
    ----------
    watch : callable
        Called after each turn.
    on_connected : callable
        Called once all clients have connected.
    is_over : callable
        Called after each turn; returns whether the clients are to be closed early.
    """
    crowd = list(clients)
    try:
        for client in crowd:
            client.connect(port)
        on_connected()
        ends_at = time.monotonic() + duration_s
        while time.monotonic() < ends_at and not is_over():
            for client in crowd:
                client.turn()
            watch()
            time.sleep(TURN_S)
    finally:
        for client in crowd:
            if client.sock is not None:
                client.sock.close()
