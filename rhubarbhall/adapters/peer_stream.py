"""Frames as bytes of a connection: MessagePack with a length, compressed as a stream.

Requests between regions are many and bytes there are dear, which rules out HTTP with
JSON here: its headers alone are several times as long as these frames. Requests of one
connection resemble each other, so what is left of a header is a reference to the
request before.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator

import msgspec

from rhubarbhall.adapters.peer_frames import Frame

#: Longest frame; a body and its headers fit.
MAX_FRAME_BYTES = 72 << 20
#: Deflate without a header, with a window of 4 KiB: some ten requests. A connection
#: takes 43 KiB for both directions, and a daemon has two for each other one.
WINDOW_BITS = -12
#: Size of the table of matches; 16 KiB.
MEMORY_LEVEL = 5

_LENGTH = struct.Struct(">I")
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Frame)


class FrameWriter:
    """Turns the frames of one direction of a connection into bytes.

    Frames refer to those before, so all of them have to be sent, in order.
    """

    def __init__(self) -> None:
        self._deflate = zlib.compressobj(wbits=WINDOW_BITS, memLevel=MEMORY_LEVEL)

    def encode(self, frame: Frame) -> bytes:
        """Return the bytes of the next frame; the receiver can read it at once."""
        data = _ENCODER.encode(frame)
        head = self._deflate.compress(_LENGTH.pack(len(data)) + data)
        return head + self._deflate.flush(zlib.Z_SYNC_FLUSH)


class FrameReader:
    """Cuts the bytes of one direction of a connection into frames."""

    def __init__(self) -> None:
        self._inflate = zlib.decompressobj(wbits=WINDOW_BITS)
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield the frames that are whole.

        Raises
        ------
        ValueError
            If the bytes are no frames; the connection is of no more use.
        """
        self._buffer += self._inflated(data)
        while len(self._buffer) >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(self._buffer)
            if size > MAX_FRAME_BYTES:
                raise ValueError(f"frame of {size} bytes; allowed: {MAX_FRAME_BYTES}")
            end = _LENGTH.size + size
            if len(self._buffer) < end:
                return
            frame = _DECODER.decode(bytes(self._buffer[_LENGTH.size : end]))
            del self._buffer[:end]
            yield frame

    def _inflated(self, data: bytes) -> bytes:
        try:
            inflated = self._inflate.decompress(data, MAX_FRAME_BYTES)
        except zlib.error as error:
            raise ValueError(f"bytes that cannot be inflated: {error}") from error
        if self._inflate.unconsumed_tail:
            raise ValueError(f"more than {MAX_FRAME_BYTES} bytes in {len(data)}")
        if self._inflate.eof:
            raise ValueError("a compressed stream that has ended")
        return inflated
