"""Collects a body that is received in parts."""

from __future__ import annotations

#: Size from which a part is kept as it is, and up to which smaller ones are joined, in
#: bytes.
BLOCK_BYTES = 4 * 1024


class BodyBuffer:
    """The parts of a body, in blocks of limited size.

    One growing buffer would be moved again and again. The gaps that it leaves in the
    heap are of no use to the next one, so the memory of the process would grow far
    beyond the bytes that it holds.

    Attributes
    ----------
    size : int
        Number of bytes.
    """

    __slots__ = ("_blocks", "_last", "size")

    def __init__(self) -> None:
        self.size = 0
        self._blocks: list[bytes] = []
        #: Parts that are too small for a block each.
        self._last = bytearray()

    def append(self, data: bytes) -> None:
        """Add a part."""
        self.size += len(data)
        if len(data) < BLOCK_BYTES:
            self._last += data
            if len(self._last) >= BLOCK_BYTES:
                self._end_block()
            return
        if self._last:
            self._end_block()
        self._blocks.append(data)

    def _end_block(self) -> None:
        self._blocks.append(bytes(self._last))
        self._last = bytearray()

    def take(self) -> bytes:
        """Return all bytes, which are not kept."""
        if not self._blocks:
            body = bytes(self._last)
        else:
            if self._last:
                self._end_block()
            body = self._blocks[0] if len(self._blocks) == 1 else b"".join(self._blocks)
        self._blocks = []
        self._last = bytearray()
        self.size = 0
        return body
