"""Structured log lines on a file descriptor, at a limited rate and without blocking.

Lines beyond the rate, or beyond what the reader takes, are dropped and counted.
"""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from rhubarbhall.types import Seconds

#: Limit of the average rate, and of the lines written in one burst.
LINES_PER_S = 150.0
MAX_BURST_LINES = 600.0
#: Lines of the burst that only messages other than ordinary ones may use.
RESERVED_LINES = 300.0
#: Limit of the buffered bytes that the reader has not taken, beyond which messages are
#: dropped.
MAX_BUFFERED_BYTES = 256 * 1024


def _as_text(value: Any) -> str:
    return str(value)


class LogOutput:
    """Writes messages as lines of JSON.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is set to non-blocking mode.
    clock : callable
        Returns the time, in seconds.

    Attributes
    ----------
    dropped : int
        Messages that were dropped.
    """

    def __init__(self, descriptor: int, clock: Callable[[], Seconds]) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._lines_available = MAX_BURST_LINES
        self._refilled_at = clock()
        self._buffered_lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped = 0
        self._reported_dropped = 0
        self._encoder = msgspec.json.Encoder(enc_hook=_as_text)

    def __call__(self, message: dict[str, Any]) -> None:
        """Write a message, or count it as dropped.

        Messages whose field ``ordinary`` is true are dropped first; the field itself is
        not written.
        """
        ordinary = message.pop("ordinary", False)
        if not self._has_room(ordinary):
            self.dropped += 1
            return
        self._report_dropped()
        self._buffer_message(message)
        self.flush()

    def _has_room(self, ordinary: bool) -> bool:
        now = self._clock()
        refill = (now - self._refilled_at) * LINES_PER_S
        self._refilled_at = now
        self._lines_available = min(MAX_BURST_LINES, self._lines_available + refill)
        floor = RESERVED_LINES if ordinary else 1.0
        if self._lines_available < floor or self._buffered_bytes > MAX_BUFFERED_BYTES:
            return False
        self._lines_available -= 1
        return True

    def _report_dropped(self) -> None:
        if self.dropped > self._reported_dropped:
            count = self.dropped - self._reported_dropped
            self._reported_dropped = self.dropped
            self._buffer_message(
                {"message_type": "rhubarbhall:lines_dropped", "count": count}
            )

    def _buffer_message(self, message: dict[str, Any]) -> None:
        line = self._encoder.encode(message) + b"\n"
        self._buffered_lines.append(line)
        self._buffered_bytes += len(line)

    def flush(self) -> None:
        """Write as many buffered lines as the reader takes."""
        while self._buffered_lines:
            line = self._buffered_lines[0]
            try:
                count = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end; buffered lines cannot be written.
                self.dropped += len(self._buffered_lines)
                self._buffered_lines.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= count
            if count < len(line):
                self._buffered_lines[0] = line[count:]
                return
            self._buffered_lines.popleft()
