"""Follows one topic of the store: first the newest of each key, then what is added."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from rhubarbhall.core.ownership.store_port import (
    NewestPage,
    ReadResult,
    Tail,
    Trimmed,
    Unavailable,
)
from rhubarbhall.core.timers import Alarm

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.directory import Entry
    from rhubarbhall.core.ownership.store_port import Store
    from rhubarbhall.core.timers import TimerService
    from rhubarbhall.types import Offset, Seconds

#: Pause after a failed read, at first and at most.
FIRST_PAUSE_S = 0.15
MAX_PAUSE_S = 1.0
#: Time until the next look after a read that was not needed.
SKIP_S = 0.5


class Follower:
    """Keeps a reader of one topic up to date.

    Parameters
    ----------
    store : Store
        The store.
    topic : str
        The topic.
    timers : TimerService
        For pauses.
    wait_s : float
        How long the store holds a read when nothing is new.
    pause_s : float
        Pause between two reads.
    on_entries : callable
        Takes the time and records.
    on_complete : callable
        Takes the time, when a read was sent that reached the end, and that end.
    on_contact : callable
        Takes whether the store answers, when that changes, and the reason.
    rng : random.Random
        Spreads the pauses of several daemons.
    needs_read : callable
        Takes the time; tells whether a read after a pause would bring anything that
        is not known from elsewhere.
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        timers: TimerService,
        wait_s: Seconds,
        pause_s: Seconds,
        on_entries: Callable[[Seconds, tuple[Entry, ...]], None],
        on_complete: Callable[[Seconds, Seconds, Offset], None],
        on_contact: Callable[[bool, str], None],
        rng: random.Random,
        needs_read: Callable[[Seconds], bool] = lambda now: True,
    ) -> None:
        self._store = store
        self._topic = topic
        self._timers = timers
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._on_entries = on_entries
        self._on_complete = on_complete
        self._on_contact = on_contact
        self._rng = rng
        self._needs_read = needs_read
        self._position: Offset | None = None
        self._turn = 0
        self._failures = 0
        self._reachable: bool | None = None

    def start(self, now: Seconds) -> None:
        """Begin to read, or begin anew without waiting for a read under way."""
        self._turn += 1
        if self._position is None:
            self._read_newest(now, None, None)
        else:
            self._read_tail(now, wait_s=0.0)

    def _read_newest(
        self, now: Seconds, after: str | None, first_end: Offset | None
    ) -> None:
        turn = self._turn

        def on_done(result: ReadResult) -> None:
            if turn == self._turn:
                self._on_newest(self._timers.now(), result, first_end)

        self._store.read_newest(self._topic, after, on_done)

    def _on_newest(
        self, now: Seconds, result: ReadResult, first_end: Offset | None
    ) -> None:
        if not isinstance(result, NewestPage):
            self._pause(now, result)
            return
        self._note_contact(True, "")
        self._on_entries(now, result.entries)
        # Later pages are newer than the first, so what came between is read again.
        first_end = result.end if first_end is None else first_end
        if result.after is not None:
            self._read_newest(now, result.after, first_end)
            return
        self._position = first_end
        self._read_tail(now, wait_s=0.0)

    def _read_tail(self, now: Seconds, wait_s: Seconds) -> None:
        turn, offset = self._turn, self._position

        def on_done(result: ReadResult) -> None:
            if turn == self._turn:
                self._on_tail(self._timers.now(), now, result)

        self._store.read_tail(self._topic, offset, wait_s, on_done)

    def _on_tail(self, now: Seconds, sent_at: Seconds, result: ReadResult) -> None:
        if isinstance(result, Trimmed):
            self._position = None
            self.start(now)
            return
        if not isinstance(result, Tail):
            self._pause(now, result)
            return
        self._note_contact(True, "")
        self._on_entries(now, result.entries)
        self._position = max(self._position, result.next_offset)
        if self._position >= result.end:
            self._on_complete(now, sent_at, result.end)
            self._again(now, self._pause_s, self._wait_s)
        else:
            self._read_tail(now, wait_s=0.0)

    def _again(self, now: Seconds, pause_s: Seconds, wait_s: Seconds) -> None:
        turn = self._turn

        def read(later: Seconds) -> None:
            if turn != self._turn:
                return
            if self._needs_read(later):
                self._read_tail(later, wait_s)
            else:
                self._again(later, SKIP_S, wait_s)

        self._timers.at(now + pause_s, Alarm(read))

    def _pause(self, now: Seconds, result: ReadResult) -> None:
        """Read again after a pause that grows with each failure."""
        reason = result.reason if isinstance(result, Unavailable) else repr(result)
        self._note_contact(False, reason)
        self._failures += 1
        pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** (self._failures - 1))
        pause_s *= self._rng.uniform(0.7, 1.3)
        turn = self._turn

        def restart(later: Seconds) -> None:
            if turn == self._turn:
                self.start(later)

        self._timers.at(now + pause_s, Alarm(restart))

    def _note_contact(self, reachable: bool, reason: str) -> None:
        if reachable:
            self._failures = 0
        if reachable != self._reachable:
            self._reachable = reachable
            self._on_contact(reachable, reason)
