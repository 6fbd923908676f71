"""The state of an open connection of a caller."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.adapters.http_wire import ParsedRequest, RequestReader
    from rhubarbhall.types import RequestId, Seconds


@dataclass(slots=True)
class CallerConnection:
    """An open connection of a caller.

    Parameters
    ----------
    reader : RequestReader
        Parser of the received bytes.
    peer : str
        IP address of the caller.
    last_active_at : float
        When bytes were last received or an answer was last written.
    waiting : deque of ParsedRequest
        Requests that wait for the one being handled.
    current : ParsedRequest, optional
        The request being handled.
    request_id : int, optional
        Id of the request being handled.
    message_since : float, optional
        When the first bytes of the request were received that is received in part.
    is_paused : bool
        Whether nothing is read for the present.
    is_costly : bool
        Whether what it brings takes much processor time for its bytes, or is not used.
    waiting_bytes : int
        Memory that the requests in `waiting` take, in bytes.
    progress_at : float
        When a request was begun, or brought the last of several parts of its body of
        `SMALL_BODY_BYTES` each. A few bytes now and then are no progress.
    progress_bytes : int
        Size of its body at that time, in bytes.
    closing : bool
        Whether received bytes are ignored because the connection is about to be closed.
    lingers_until : float, optional
        When a connection is closed whose caller is still sending a refused request.
    """

    reader: RequestReader
    peer: str
    last_active_at: Seconds
    waiting: deque[ParsedRequest] = field(default_factory=deque)
    current: ParsedRequest | None = None
    request_id: RequestId | None = None
    message_since: Seconds | None = None
    is_paused: bool = False
    is_costly: bool = False
    waiting_bytes: int = 0
    progress_at: Seconds = 0.0
    progress_bytes: int = 0
    closing: bool = False
    lingers_until: Seconds | None = None

    def record_progress(self, now: Seconds, body_bytes: int) -> None:
        """Record that a request was begun or goes on, with the size of its body."""
        self.progress_at, self.progress_bytes = now, body_bytes

    @property
    def received_bytes(self) -> int:
        """Memory that received requests take that are not being handled, in bytes."""
        return self.waiting_bytes + self.reader.held_bytes
