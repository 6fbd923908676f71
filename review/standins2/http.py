"""A small HTTP/1.1 server and client for the stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

_REASONS = {200: "OK", 412: "Precondition Failed", 421: "Misdirected Request"}


@dataclass(frozen=True)
class Message:
    """A request or an answer: its first line, headers in lower case, and body."""

    first: list[str]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with a length; return none at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    size = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(first.split(" ", 2), headers, body)


def encode(first: str, headers: Mapping[str, object], body: bytes) -> bytes:
    """Return the bytes of a message."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def encode_answer(status: int, headers: Mapping[str, object], body: bytes) -> bytes:
    """Return the bytes of an answer."""
    reason = _REASONS.get(status, "Status")
    return encode(f"HTTP/1.1 {status} {reason}", headers, body)


#: Handles a request; returns the bytes to send, or none to close without an answer.
Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[bytes | None]]


class Server:
    """Serves requests, one at a time on each connection."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                answer = await self._handler(request, writer)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def stop(self) -> None:
        """Close the port and all connections at once."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


async def call(
    address: str,
    method: str,
    path: str,
    headers: Mapping[str, object],
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> Message | None:
    """Send a request on a new connection; return none without a whole answer."""
    host, port = address.split(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
