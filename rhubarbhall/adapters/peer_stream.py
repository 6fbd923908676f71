"""Encodes frames as MessagePack with a length prefix, compressed as one stream.

There are many requests between regions, and bytes between regions are expensive, which
rules out HTTP with JSON: its headers alone are several times as long as these frames.
Requests on one connection resemble each other, so compression reduces a repeated header
to a reference to the request before.
"""

from __future__ import annotations

import mmap
import struct
import zlib
from collections.abc import Iterator

import msgspec

from rhubarbhall.adapters.peer_frames import Forward, Frame, Reply
from rhubarbhall.decoding import decode

#: Limit of an encoded frame; a request's largest body fits together with its headers.
MAX_FRAME_BYTES = 72 << 20
#: Limit of a record's value that is compressed on its own.
MAX_VALUE_BYTES = 16 << 20
#: Raw deflate (negative: no zlib header) with a window of 4 KiB, about ten requests.
#: Kept small because it takes memory on both sides of each connection.
WINDOW_BITS = -12
#: The same with a window of 32 KiB, for connections that also carry records: each
#: version of a key table resembles the one before. The receiver inflates both.
RECORD_WINDOW_BITS = -15
#: zlib memory level, which sets the size of the table of matches: 16 KiB.
MEMORY_LEVEL = 5

#: Size of a request's or an answer's body from which its frame is not compressed. The
#: process does nothing else while it compresses, so peers would take it for silent.
STORED_BODY_BYTES = 128 * 1024
#: Largest content of a stored block of a deflate stream.
STORED_BLOCK_BYTES = 0xFFFF
#: Bytes that are inflated before the frames in them are decoded: a few bytes received
#: may inflate to a thousand times as many.
INFLATE_STEP_BYTES = 256 * 1024
#: Limits of one call: frames decoded of newly received bytes, frames decoded of bytes
#: left over from an earlier call, and steps in which new bytes are inflated.
MAX_FRAMES = 4096
MAX_LATER_FRAMES = 64
MAX_INFLATE_STEPS = 8
#: Size of a frame from which it has memory of its own until all of it is received.
LARGE_FRAME_BYTES = 256 * 1024

_LENGTH = struct.Struct(">I")
#: Head of a stored block that is not the last one: its type, length and the complement.
_STORED_HEAD = struct.Struct("<BHH")
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Frame)


#: Heads of MessagePack: an array of up to 15 items, a longer one, and bytes.
_SHORT_ARRAY, _MAX_SHORT_ARRAY = 0x90, 15
_ARRAY_HEAD = struct.Struct(">BH")
_ARRAY = 0xDC
_BYTES_HEAD = struct.Struct(">BI")
_BYTES = 0xC6


def _around_body(frame: Forward | Reply) -> tuple[bytes, bytes]:
    """Return the encoded bytes of a frame before and after those of its body.

    The encoder of whole frames would copy the body.
    """
    names = frame.__struct_fields__
    items = [frame.__struct_config__.tag, *(getattr(frame, name) for name in names)]
    index = 1 + names.index("body")
    count = len(items)
    if count <= _MAX_SHORT_ARRAY:
        head = bytes([_SHORT_ARRAY | count])
    else:
        head = _ARRAY_HEAD.pack(_ARRAY, count)
    before = b"".join(map(_ENCODER.encode, items[:index]))
    after = b"".join(map(_ENCODER.encode, items[index + 1 :]))
    return head + before + _BYTES_HEAD.pack(_BYTES, len(frame.body)), after


def _stored_blocks(data: bytes) -> Iterator[bytes | memoryview]:
    """Yield the parts of a deflate stream that stand for data as it is."""
    view = memoryview(data)
    for start in range(0, len(data), STORED_BLOCK_BYTES):
        block = view[start : start + STORED_BLOCK_BYTES]
        size = len(block)
        yield _STORED_HEAD.pack(0, size, size ^ 0xFFFF)
        yield block


def stored_body(frame: Frame) -> bytes | None:
    """Return the body of a frame that is large enough to be stored as it is."""
    if isinstance(frame, Forward | Reply) and len(frame.body) >= STORED_BODY_BYTES:
        return frame.body
    return None


class FrameWriter:
    """Encodes the frames of one direction of a connection.

    Compressed frames refer to earlier ones, so all of them have to be sent, in order.

    Parameters
    ----------
    carries_records : bool
        Whether records of the store are sent too, which repeat over a longer distance.
    """

    def __init__(self, carries_records: bool = False) -> None:
        self._wbits = RECORD_WINDOW_BITS if carries_records else WINDOW_BITS
        self._compressor: zlib._Compress | None = None

    @property
    def _deflate(self) -> zlib._Compress:
        """The compressor, created for the first frame as it takes memory."""
        if self._compressor is None:
            self._compressor = zlib.compressobj(
                wbits=self._wbits, memLevel=MEMORY_LEVEL
            )
        return self._compressor

    def encode(self, frame: Frame) -> bytes:
        """Return the bytes of the next frame, which the receiver can decode at once."""
        return b"".join(self.encode_parts(frame))

    def encode_parts(self, frame: Frame) -> list[bytes | memoryview]:
        """Return the bytes of the next frame in parts; a large body is not copied."""
        if stored_body(frame) is not None:
            return self._encode_stored(frame)
        data = _ENCODER.encode(frame)
        compressed = self._deflate.compress(_LENGTH.pack(len(data)))
        compressed += self._deflate.compress(data)
        return [compressed + self._deflate.flush(zlib.Z_SYNC_FLUSH)]

    def _encode_stored(self, frame: Forward | Reply) -> list[bytes | memoryview]:
        before, after = _around_body(frame)
        size = len(before) + len(frame.body) + len(after)
        head = self._deflate.compress(_LENGTH.pack(size) + before)
        # What is compressed later refers to nothing before this point.
        head += self._deflate.flush(zlib.Z_FULL_FLUSH)
        end = self._deflate.compress(after) + self._deflate.flush(zlib.Z_SYNC_FLUSH)
        return [head, *_stored_blocks(frame.body), end]


class FrameReader:
    """Decodes the frames of one direction of a connection.

    Few compressed bytes may stand for very many frames, so only some of them are
    decoded at a time.

    Attributes
    ----------
    accepts_large : bool
        Whether frames of more than `LARGE_FRAME_BYTES` are accepted. If it is not set,
        they are from the second frame on.
    """

    def __init__(self) -> None:
        #: Created for the first bytes, as it takes memory.
        self._inflate: zlib._Decompress | None = None
        #: Received bytes that are not inflated yet.
        self._deflated = b""
        #: Inflated bytes of frames that are not decoded yet.
        self._buffer = bytearray()
        self._large_frame: _LargeFrame | None = None
        self._has_more_frames = False
        self.accepts_large = True

    @property
    def buffered_bytes(self) -> int:
        """Memory of frames that are not decoded yet, in bytes."""
        large = 0 if self._large_frame is None else self._large_frame.held_bytes
        return len(self._buffer) + len(self._deflated) + large

    @property
    def is_within_frame(self) -> bool:
        """Whether a frame has been received in part."""
        return bool(self._buffer) or self._large_frame is not None

    @property
    def has_more(self) -> bool:
        """Whether `feed_some` has to be called for bytes that were received before."""
        return bool(self._deflated) or self._has_more_frames

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Add received bytes and yield all frames that are complete.

        Raises
        ------
        ValueError
            As `feed_some` does.
        """
        yield from self.feed_some(data)
        while self.has_more:
            yield from self.feed_some(b"")

    def feed_some(self, data: bytes) -> Iterator[Frame]:
        """Add received bytes and yield frames that are complete.

        At most `MAX_FRAMES` frames are decoded, of `MAX_INFLATE_STEPS` times
        `INFLATE_STEP_BYTES`; `has_more` then is true. A read of ordinary frames stays
        within both: a request and its cancellation in one read are seen together. Of
        the rest, without new bytes, at most `MAX_LATER_FRAMES` are decoded at a time.

        Raises
        ------
        ValueError
            If the bytes are not valid frames; the connection has to be closed.
        """
        left = MAX_FRAMES if data else MAX_LATER_FRAMES
        for _ in range(MAX_INFLATE_STEPS if data else 1):
            if self._has_more_frames:
                self._deflated += data
            else:
                self._add_inflated(self._inflate_some(data))
            data = b""
            for frame in self._take_frames(left):
                left -= 1
                yield frame
            if self._has_more_frames or not self._deflated:
                return

    def _inflate_some(self, data: bytes) -> bytes:
        if self._inflate is None:
            self._inflate = zlib.decompressobj(wbits=RECORD_WINDOW_BITS)
        if self._deflated:
            data = self._deflated + data
        try:
            inflated = self._inflate.decompress(data, INFLATE_STEP_BYTES)
        except zlib.error as error:
            raise ValueError(f"received bytes cannot be inflated: {error}") from error
        if self._inflate.eof:
            raise ValueError("the compressed stream ended before its connection")
        self._deflated = self._inflate.unconsumed_tail
        return inflated

    def _add_inflated(self, inflated: bytes) -> None:
        if self._large_frame is not None:
            inflated = self._large_frame.add(inflated)
        self._buffer += inflated

    def _take_frames(self, limit: int) -> Iterator[Frame]:
        self._has_more_frames = False
        if self._large_frame is not None:
            if not self._large_frame.is_complete:
                return
            large, self._large_frame = self._large_frame, None
            yield large.decode()
        buffer = self._buffer
        for _ in range(limit):
            if len(buffer) < _LENGTH.size:
                return
            (size,) = _LENGTH.unpack_from(buffer)
            end = _LENGTH.size + size
            if len(buffer) < end:
                if size > LARGE_FRAME_BYTES:
                    self._begin_large(size)
                return
            with memoryview(buffer) as buffered:
                frame = decode(_DECODER, buffered[_LENGTH.size : end])
            del buffer[:end]
            self.accepts_large = True
            yield frame
        self._has_more_frames = True

    def _begin_large(self, size: int) -> None:
        if size > MAX_FRAME_BYTES:
            raise ValueError(f"frame of {size} bytes; allowed: {MAX_FRAME_BYTES}")
        if not self.accepts_large:
            raise ValueError(f"frame of {size} bytes; allowed: {LARGE_FRAME_BYTES}")
        self._large_frame = _LargeFrame(size)
        self._large_frame.add(bytes(self._buffer[_LENGTH.size :]))
        self._buffer.clear()


class _LargeFrame:
    """A frame of known size that is received in part.

    Its memory is mapped at once, and taken by the system only as far as bytes were
    received; a growing buffer would be moved again and again.
    """

    def __init__(self, size: int) -> None:
        self._size = size
        self._memory = mmap.mmap(-1, size, mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS)

    @property
    def held_bytes(self) -> int:
        return self._memory.tell()

    @property
    def is_complete(self) -> bool:
        return self._memory.tell() == self._size

    def add(self, data: bytes) -> bytes:
        """Add received bytes and return those behind the frame."""
        left = self._size - self._memory.tell()
        self._memory.write(data[:left])
        return data[left:]

    def decode(self) -> Frame:
        with self._memory, memoryview(self._memory) as data:
            return decode(_DECODER, data)


def deflate_value(value: bytes) -> bytes:
    """Return a record's value compressed by zlib, to be sent to several peers."""
    return zlib.compress(value)


def inflate_value(deflated: bytes) -> bytes:
    """Return the value that `deflate_value` has compressed.

    Raises
    ------
    ValueError
        If the bytes are not valid or inflate to more than `MAX_VALUE_BYTES`.
    """
    inflater = zlib.decompressobj()
    try:
        value = inflater.decompress(deflated, MAX_VALUE_BYTES)
    except zlib.error as error:
        raise ValueError(f"record cannot be inflated: {error}") from error
    if not inflater.eof:
        raise ValueError(f"record is cut short or over {MAX_VALUE_BYTES} bytes")
    return value
