"""A closed-loop HTTP client with low overhead: one request at a time per connection."""

from __future__ import annotations

import selectors
import socket
import time
from dataclasses import dataclass, field


@dataclass
class LoadResult:
    """Results of a run of load.

    Parameters
    ----------
    latencies_s : list of float
        Time from sending each answered request to its whole answer, in seconds.
    not_ok_count : int
        Answers with a status other than 200; they count in `latencies_s` too.
    took_s : float
        Duration of the run, in seconds.
    """

    latencies_s: list[float] = field(default_factory=list)
    not_ok_count: int = 0
    took_s: float = 0.0

    @property
    def answers_per_s(self) -> float:
        """Answers per second."""
        return len(self.latencies_s) / self.took_s


def request_bytes(path: str, method: str = "GET") -> bytes:
    """Return the bytes of an HTTP request without a body."""
    return f"{method} {path} HTTP/1.1\r\nHost: bench\r\n\r\n".encode()


def _status_if_complete(data: bytes) -> int | None:
    """Return the status of an answer, or none while a part of it is missing."""
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return None
    length = 0
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    return int(head[9:12]) if len(body) >= length else None


def run_load(
    address: tuple[str, int], requests: list[bytes], connections: int, seconds: float
) -> LoadResult:
    """Send requests over several connections, each after the answer to the one before.

    Parameters
    ----------
    address : (str, int)
        Host and port of the server.
    requests : list of bytes
        Requests, which are repeated from the first after the last.
    connections : int
        Number of connections.
    seconds : float
        Duration of the run, in seconds. Requests without an answer by then are
        dropped.
    """
    result = LoadResult()
    selector = selectors.DefaultSelector()
    state: dict[socket.socket, tuple[float, bytes]] = {}
    request_index = 0
    for _ in range(connections):
        sock = socket.create_connection(address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        selector.register(sock, selectors.EVENT_READ)
    started_at = time.monotonic()
    ends_at = started_at + seconds
    for key in list(selector.get_map().values()):
        request_index = (request_index + 1) % len(requests)
        state[key.fileobj] = (time.monotonic(), b"")
        key.fileobj.sendall(requests[request_index])
    while time.monotonic() < ends_at:
        for key, _ in selector.select(0.05):
            sock = key.fileobj
            sent_at, data = state[sock]
            data += sock.recv(65536)
            status = _status_if_complete(data)
            if status is None:
                state[sock] = (sent_at, data)
                continue
            now = time.monotonic()
            result.latencies_s.append(now - sent_at)
            result.not_ok_count += status != 200
            request_index = (request_index + 1) % len(requests)
            state[sock] = (now, b"")
            sock.sendall(requests[request_index])
    result.took_s = time.monotonic() - started_at
    for sock in state:
        sock.close()
    selector.close()
    return result
