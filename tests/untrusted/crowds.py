"""Crowds by name, played by a process of their own.

The stand-ins run in the process of the tests; a crowd beside them would slow them down.
"""

from __future__ import annotations

import itertools
import select
import sys
import zlib
from collections.abc import Callable, Iterator

import msgspec

from rhubarbhall.adapters.peer_frames import Hello, Ping
from rhubarbhall.adapters.peer_stream import (
    MAX_FRAME_BYTES,
    MEMORY_LEVEL,
    WINDOW_BITS,
)
from tests.untrusted.crowd import Client, head, play
from tests.untrusted.deployment import HOST, MAX_BODY_BYTES, SERVICES

#: What the process of a crowd prints once all of its clients have connected.
CONNECTED = "connected"
#: Time after which a crowd ends by itself, in seconds.
MAX_S = 60.0
#: Legal bodies of the crowds, in bytes: two thirds of the room of a router, and nearly
#: all of it.
LARGE_BODY_BYTES = 30 << 20
LARGEST_BODY_BYTES = 42 << 20
#: Bytes that most bodies lack at their end.
MISSING_BYTES = 8
#: Every how many-th client sends its whole body at once, by the size of the bodies.
FAST_EVERY = {LARGE_BODY_BYTES: 8, LARGEST_BODY_BYTES: 25}
#: Bytes that such a client sends in one turn, and that the others send.
FAST_SEND_BYTES = 4 << 20
SEND_BYTES = 64 << 10
#: Turns in which the others do not send, so that many bodies are held in part.
TURNS_BETWEEN = 30
#: Bytes that a client reads in one turn.
RECEIVE_BYTES = 4096
CHUNK_BYTES = 64 << 10
#: Sizes of the smallest chunks, in bytes.
SMALLEST_CHUNKS = range(1, 8)
#: Bytes on the wire of a body in the smallest chunks.
SMALLEST_CHUNKS_BYTES = 4 << 20
#: Body above every limit, in bytes.
ENDLESS_BYTES = 10 << 30
#: Bytes of a head, just within the limit, and of a body that counts as small.
HEAD_BYTES = 15 << 10
SMALL_BODY_BYTES = 16 << 10
#: Requests of one client in a pipeline, not all of which are read at once.
PIPELINED = 16
#: Body of a call to the port for heartbeats, in bytes: the largest that it takes.
CONTROL_BODY_BYTES = 1 << 20
#: Frames of a peer in one compressed part.
FRAMES = 2_000_000
_BODY = memoryview(bytes(LARGEST_BODY_BYTES))
_CHUNK = b"%x\r\n" % CHUNK_BYTES + bytes(CHUNK_BYTES) + b"\r\n"
_CHUNKED = "Transfer-Encoding: chunked"


def _put(number: int, *lines: str) -> bytes:
    return head("PUT", f"/{SERVICES[number % 2]}/put", f"c-{number}", *lines)


def _client(parts: list, send_bytes: int = SEND_BYTES) -> Client:
    return Client(parts, send_bytes, RECEIVE_BYTES, comes_again=True)


def _sender(number: int, size: int, parts: list, end: list) -> Client:
    """Return a client that sends all at once, or slowly all but the end."""
    if number % FAST_EVERY[size] == 0:
        return _client(parts + end, FAST_SEND_BYTES)
    client = _client(parts)
    client.turns_between = TURNS_BETWEEN
    return client


def _with_length(count: int, size: int) -> Iterator[Client]:
    for number in range(count):
        parts = [_put(number, f"Content-Length: {size}"), _BODY[: size - MISSING_BYTES]]
        yield _sender(number, size, parts, [_BODY[:MISSING_BYTES]])


def _in_one_chunk(count: int, size: int) -> Iterator[Client]:
    for number in range(count):
        begin = _put(number, _CHUNKED) + b"%x\r\n" % size
        end = bytes(MISSING_BYTES) + b"\r\n0\r\n\r\n"
        yield _sender(number, size, [begin, _BODY[: size - MISSING_BYTES]], [end])


def large_bodies(count: int) -> Iterator[Client]:
    """Yield bodies with a length, most of them just short of their end."""
    return _with_length(count, LARGE_BODY_BYTES)


def largest_bodies(count: int) -> Iterator[Client]:
    """Yield the largest bodies, most of them just short of their end."""
    return _with_length(count, LARGEST_BODY_BYTES)


def one_chunk(count: int) -> Iterator[Client]:
    """Yield bodies of one chunk, most of them just short of its end."""
    return _in_one_chunk(count, LARGE_BODY_BYTES)


def one_largest_chunk(count: int) -> Iterator[Client]:
    """Yield the largest bodies in one chunk."""
    return _in_one_chunk(count, LARGEST_BODY_BYTES)


def large_chunks(count: int) -> Iterator[Client]:
    """Yield bodies in chunks, most of them just short of their end."""
    chunks = [_CHUNK] * (LARGE_BODY_BYTES // CHUNK_BYTES - 1)
    for number in range(count):
        parts = [_put(number, _CHUNKED), *chunks, _CHUNK[:-MISSING_BYTES]]
        yield _sender(
            number, LARGE_BODY_BYTES, parts, [_CHUNK[-MISSING_BYTES:], b"0\r\n\r\n"]
        )


def smallest_chunks(count: int) -> Iterator[Client]:
    """Yield bodies in the smallest chunks, all just short of their end."""
    sizes = itertools.cycle(SMALLEST_CHUNKS)
    chunks = b"".join(
        b"%x\r\n" % size + bytes(size) + b"\r\n"
        for size in itertools.islice(sizes, CHUNK_BYTES)
    )
    parts = [chunks] * (SMALLEST_CHUNKS_BYTES // len(chunks))
    for number in range(count):
        yield _client([_put(number, _CHUNKED), *parts])


def above_the_limit(count: int) -> Iterator[Client]:
    """Yield bodies above the limit, half of them announced and half just sent."""
    endless = [_CHUNK] * (2 * MAX_BODY_BYTES // CHUNK_BYTES)
    for number in range(count):
        if number % 2:
            length = f"Content-Length: {ENDLESS_BYTES}"
            yield _client([_put(number, length), _BODY, _BODY])
        else:
            yield _client([_put(number, _CHUNKED), *endless])


def silent(count: int) -> Iterator[Client]:
    """Yield connections that say nothing."""
    return (_client([]) for _ in range(count))


def silent_after_a_request(count: int) -> Iterator[Client]:
    """Yield connections that bring one request and stay."""
    return (
        _client([head("GET", "/near/small", f"s-{number}")]) for number in range(count)
    )


def long_headers(count: int) -> Iterator[Client]:
    """Yield heads of one long header that stop short of their end."""
    return (
        _client([_put(number)[:-2] + b"X: " + b"a" * HEAD_BYTES])
        for number in range(count)
    )


def many_headers(count: int) -> Iterator[Client]:
    """Yield heads of the shortest headers that stop short of their end."""
    headers = b"a:b\r\n" * (HEAD_BYTES // 6)
    return (_client([_put(number)[:-2] + headers]) for number in range(count))


def small_bodies(count: int) -> Iterator[Client]:
    """Yield small bodies in a pipeline, each behind a request that takes long."""
    for number in range(count):
        put = _put(number, f"Content-Length: {SMALL_BODY_BYTES}")
        yield _client([(put + bytes(SMALL_BODY_BYTES)) * PIPELINED])


def control_bodies(count: int) -> Iterator[Client]:
    """Yield calls to the port for heartbeats in a pipeline, with the largest bodies."""
    length = f"Content-Length: {CONTROL_BODY_BYTES}"
    call = head("DELETE", "/instances/none", "d", length)
    body = memoryview(bytes(CONTROL_BODY_BYTES))
    for number in range(count):
        if number % 2:
            parts = [call, body[:-MISSING_BYTES]]
        else:
            parts = [call, body] * PIPELINED
        yield _client(parts)


def unread_pages(count: int) -> Iterator[Client]:
    """Yield requests for the largest page of the readiness port that nobody reads."""
    pages = head("GET", "/dump", "p") * PIPELINED
    return (Client([pages] * PIPELINED) for _ in range(count))


def _compressed(parts: Iterator[bytes]) -> bytes:
    deflate = zlib.compressobj(wbits=WINDOW_BITS, memLevel=MEMORY_LEVEL)
    data = b"".join(map(deflate.compress, parts))
    return data + deflate.flush(zlib.Z_SYNC_FLUSH)


def _frame(frame: Hello | Ping) -> bytes:
    data = msgspec.msgpack.encode(frame)
    return len(data).to_bytes(4, "big") + data


def _hello(number: int) -> bytes:
    return _frame(Hello(f"{HOST}:{number + 1}", "near", number))


def frames_in_part(count: int) -> Iterator[Client]:
    """Yield peers whose one frame is the largest and just short of its end."""
    size = MAX_FRAME_BYTES - 1024
    begin = size.to_bytes(4, "big")
    zeros = itertools.repeat(bytes(1 << 20), (size >> 20))
    parts = [begin, *zeros]
    for number in range(count):
        yield _client([_compressed(iter([_hello(number), *parts]))])


def many_frames(count: int) -> Iterator[Client]:
    """Yield peers that send very many small frames in few compressed bytes."""
    pings = _frame(Ping(1)) * FRAMES
    for number in range(count):
        yield _client([_compressed(iter([_hello(number), pings]))])


CROWD_BY_NAME: dict[str, Callable[[int], Iterator[Client]]] = {
    crowd.__name__: crowd
    for crowd in (
        above_the_limit,
        control_bodies,
        frames_in_part,
        large_bodies,
        large_chunks,
        largest_bodies,
        long_headers,
        many_frames,
        many_headers,
        one_chunk,
        one_largest_chunk,
        silent,
        silent_after_a_request,
        small_bodies,
        smallest_chunks,
        unread_pages,
    )
}


def _is_input_closed() -> bool:
    return bool(select.select([sys.stdin], [], [], 0.0)[0])


def main(name: str, count: str, port: str) -> None:
    """Play a crowd against a port of a router until the standard input is closed."""
    clients = list(CROWD_BY_NAME[name](int(count)))

    def report() -> None:
        print(CONNECTED, flush=True)

    play(int(port), clients, MAX_S, lambda: None, report, _is_input_closed)


if __name__ == "__main__":
    main(*sys.argv[1:])
