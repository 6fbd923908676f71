"""A lean closed-loop client: one request at a time on each connection."""

from __future__ import annotations

import selectors
import socket
import time
from dataclasses import dataclass, field


@dataclass
class LoadResult:
    """What a run of load gave."""

    latencies_s: list[float] = field(default_factory=list)
    wrong: int = 0
    took_s: float = 0.0

    @property
    def per_s(self) -> float:
        """Answers a second."""
        return len(self.latencies_s) / self.took_s


def request_bytes(path: str, method: str = "GET") -> bytes:
    """Return a request without a body."""
    return f"{method} {path} HTTP/1.1\r\nHost: bench\r\n\r\n".encode()


def _whole(data: bytes) -> int | None:
    """Return the status once the answer is whole, or none."""
    head, found, body = data.partition(b"\r\n\r\n")
    if not found:
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
    """Send `requests` in turn over `connections` for some seconds."""
    result = LoadResult()
    selector = selectors.DefaultSelector()
    state: dict[socket.socket, tuple[float, bytes]] = {}
    position = 0
    for _ in range(connections):
        sock = socket.create_connection(address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        selector.register(sock, selectors.EVENT_READ)
    began = time.monotonic()
    until = began + seconds
    for key in list(selector.get_map().values()):
        position = (position + 1) % len(requests)
        state[key.fileobj] = (time.monotonic(), b"")
        key.fileobj.sendall(requests[position])
    while time.monotonic() < until:
        for key, _ in selector.select(0.05):
            sock = key.fileobj
            sent_at, data = state[sock]
            data += sock.recv(65536)
            status = _whole(data)
            if status is None:
                state[sock] = (sent_at, data)
                continue
            now = time.monotonic()
            result.latencies_s.append(now - sent_at)
            result.wrong += status != 200
            position = (position + 1) % len(requests)
            state[sock] = (now, b"")
            sock.sendall(requests[position])
    result.took_s = time.monotonic() - began
    for sock in state:
        sock.close()
    selector.close()
    return result
