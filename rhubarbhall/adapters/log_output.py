"""Structured log lines on a descriptor: bounded, and never waiting for a reader."""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from rhubarbhall.types import Seconds

#: Lines in a second, on average and at once.
LINES_PER_S = 150.0
MAX_BURST_LINES = 600.0
#: Lines below which ordinary ones are left out, so that the others find room.
KEPT_LINES = 300.0
#: Bytes that may wait for a reader.
MAX_WAITING_BYTES = 256 * 1024


def _as_text(value: Any) -> str:
    return str(value)


class LogOutput:
    """Writes messages as lines of JSON.

    Parameters
    ----------
    descriptor : int
        Where to write; it is set not to block.
    clock : callable
        Returns the time, in seconds.
    """

    def __init__(self, descriptor: int, clock: Callable[[], Seconds]) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._lines_left = MAX_BURST_LINES
        self._filled_at = clock()
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self.dropped = 0
        self._told_dropped = 0
        self._encoder = msgspec.json.Encoder(enc_hook=_as_text)

    def __call__(self, message: dict[str, Any]) -> None:
        """Write a message, or count it as dropped.

        Messages with a true field ``ordinary`` give way to all others.
        """
        ordinary = message.pop("ordinary", False)
        if not self._has_room(ordinary):
            self.dropped += 1
            return
        self._tell_dropped()
        self._put(message)
        self.flush()

    def _has_room(self, ordinary: bool) -> bool:
        now = self._clock()
        earned = (now - self._filled_at) * LINES_PER_S
        self._filled_at = now
        self._lines_left = min(MAX_BURST_LINES, self._lines_left + earned)
        floor = KEPT_LINES if ordinary else 1.0
        if self._lines_left < floor or self._waiting_bytes > MAX_WAITING_BYTES:
            return False
        self._lines_left -= 1
        return True

    def _tell_dropped(self) -> None:
        if self.dropped > self._told_dropped:
            count = self.dropped - self._told_dropped
            self._told_dropped = self.dropped
            self._put({"message_type": "rhubarbhall:lines_dropped", "count": count})

    def _put(self, message: dict[str, Any]) -> None:
        line = self._encoder.encode(message) + b"\n"
        self._waiting.append(line)
        self._waiting_bytes += len(line)

    def flush(self) -> None:
        """Write as much as the reader takes."""
        while self._waiting:
            line = self._waiting[0]
            try:
                count = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; the lines have nowhere to go.
                self.dropped += len(self._waiting)
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= count
            if count < len(line):
                self._waiting[0] = line[count:]
                return
            self._waiting.popleft()
