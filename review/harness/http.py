"""Minimal HTTP/1.1 on asyncio streams: reading messages, a server and a client."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

READ_LIMIT = 128 * 1024


@dataclass
class Message:
    """A whole request or response; header names are in lower case.

    Parameters
    ----------
    start : str
        Request line or status line.
    headers : dict of str to str
        The headers.
    body : bytes
        The whole body.
    """

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(" ")[0]

    @property
    def path(self) -> str:
        """Path and query of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ")[1])


class BrokenOffError(Exception):
    """The connection ended within a message."""


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message; none if the connection ended before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise BrokenOffError(f"within a head of {len(error.partial)} bytes") from None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await _read_body(reader, headers)
    except asyncio.IncompleteReadError:
        raise BrokenOffError("within a body") from None
    return Message(lines[0], headers, body)


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += chunk[:-2]


def encode(start: str, headers: dict[str, object], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def response(status: int, headers: dict[str, object], body: bytes = b"") -> bytes:
    """Return the bytes of a response."""
    return encode(f"HTTP/1.1 {status} S", headers, body)


Handler = Callable[[Message], Awaitable[bytes | None]]


class Server:
    """Serves one request at a time on each connection.

    Parameters
    ----------
    handle : callable
        Returns the bytes of the answer, or none to close without an answer.
    """

    def __init__(self, handle: Handler) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=READ_LIMIT, backlog=1000
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                answer = await self._handle(message)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (OSError, BrokenOffError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def close(self) -> None:
        """Stop listening and abort all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class Connection:
    """A client's connection that is kept for several requests."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, host: str, port: int) -> Connection:
        """Open a connection within a second."""
        opening = asyncio.open_connection(host, port, limit=READ_LIMIT)
        return cls(*await asyncio.wait_for(opening, 1.0))

    async def request(
        self,
        method: str,
        path: str,
        headers: dict[str, object],
        body: bytes = b"",
        timeout_s: float = 30.0,
    ) -> Message | None:
        """Send a request and return its answer; none if the connection closed."""

        async def exchange() -> Message | None:
            try:
                self.writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
                await self.writer.drain()
                return await read_message(self.reader)
            except ConnectionError:
                # An answer may have come before the reset.
                answer = await self._received_before_reset()
                if answer is None:
                    raise
                return answer

        return await asyncio.wait_for(exchange(), timeout_s)

    async def _received_before_reset(self) -> Message | None:
        received = asyncio.StreamReader(limit=READ_LIMIT)
        received.feed_data(bytes(self.reader._buffer))
        received.feed_eof()
        with contextlib.suppress(BrokenOffError):
            return await read_message(received)
        return None

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self.writer.close()


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, object],
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> Message | None:
    """Make one call on a new connection; none if there is no whole answer in time."""
    connection = None
    try:
        connection = await Connection.open(*address)
        return await connection.request(method, path, headers, body, timeout_s)
    except (OSError, TimeoutError, BrokenOffError):
        return None
    finally:
        if connection is not None:
            connection.close()
