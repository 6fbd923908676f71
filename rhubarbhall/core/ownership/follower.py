"""Follows one topic of the store: the newest record of each key, then new records."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from rhubarbhall.core.ownership.store_port import (
    ANSWER_TIMEOUT_S,
    LongPoll,
    NewestPage,
    ReadResult,
    Tail,
    Trimmed,
    Unavailable,
)
from rhubarbhall.core.retry import backoff_s
from rhubarbhall.core.timers import TimerCallback

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.entries import Entry
    from rhubarbhall.core.ownership.store_port import Store
    from rhubarbhall.core.timers import TimerService
    from rhubarbhall.types import Offset, Seconds

#: First and longest pause after a failed read.
FIRST_BACKOFF_S = 0.15
MAX_BACKOFF_S = 1.0
#: Time until the next check after a read that was not needed.
SKIPPED_READ_INTERVAL_S = 0.5


class TopicFollower:
    """Reads one topic and passes its records on as they are added.

    Parameters
    ----------
    store : Store
        The store.
    topic : str
        The topic.
    timers : TimerService
        Timers for the pauses between reads.
    poll : callable
        Takes the time and returns how long a read after a pause may take.
    pause_s : float
        Pause between two reads, in seconds.
    on_entries : callable
        Called with the time and the records of an answer.
    on_complete : callable
        Called with the time, the time at which a read was sent that reached the end of
        the log, and the offset of that end.
    on_contact : callable
        Called when the store begins or stops to answer, with whether it answers and
        the reason why not.
    rng : random.Random
        Randomizes the pauses, so that several daemons do not read at the same time.
    needs_read : callable
        Takes the time and returns whether a read after a pause could bring records
        that are not known from elsewhere.
    on_snapshot : callable
        Called before the newest records are read, at the start and again once records
        that were not read have been deleted or the store was restored.
    known_end : callable
        Returns the offset before which every record is known, also from elsewhere. A
        read begins there if that lies after the records that were read, so that the
        store does not send them again. It still proves the same: once it reaches the
        end of the log, no record before that end is unknown.
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        timers: TimerService,
        poll: Callable[[Seconds], LongPoll],
        pause_s: Seconds,
        on_entries: Callable[[Seconds, tuple[Entry, ...]], None],
        on_complete: Callable[[Seconds, Seconds, Offset], None],
        on_contact: Callable[[bool, str], None],
        rng: random.Random,
        needs_read: Callable[[Seconds], bool] = lambda now: True,
        on_snapshot: Callable[[], None] = lambda: None,
        known_end: Callable[[], Offset] = lambda: 0,
    ) -> None:
        self._on_snapshot = on_snapshot
        self._store = store
        self._topic = topic
        self._timers = timers
        self._poll = poll
        self._pause_s = pause_s
        self._on_entries = on_entries
        self._on_complete = on_complete
        self._on_contact = on_contact
        self._rng = rng
        self._needs_read = needs_read
        self._known_end = known_end
        self._position: Offset | None = None
        self._generation = 0
        self._failures = 0
        self._reachable: bool | None = None

    def start(self, now: Seconds) -> None:
        """Start to read, or start again without waiting for a read under way.

        The answer to a read of an earlier start is ignored.
        """
        self._generation += 1
        if self._position is None:
            self._on_snapshot()
            self._read_newest(now, None, None)
        else:
            self._read_tail(now, self._short_read(now))

    def restart(self, now: Seconds, topic: str, at_once: bool = True) -> None:
        """Follow a topic from its newest records, as the store was restored.

        The answer to a read under way is ignored.

        Parameters
        ----------
        topic : str
            The topic.
        at_once : bool
            Whether to read now, or only once a read is needed.
        """
        self._topic = topic
        self._position = None
        if at_once:
            self.start(now)
        else:
            self._generation += 1
            self._schedule_read(now, SKIPPED_READ_INTERVAL_S)

    def _read_newest(
        self, now: Seconds, after: str | None, first_end: Offset | None
    ) -> None:
        generation = self._generation

        def on_done(result: ReadResult) -> None:
            if generation == self._generation:
                self._on_newest(self._timers.now(), result, first_end)

        self._store.read_newest(self._topic, after, on_done)

    def _on_newest(
        self, now: Seconds, result: ReadResult, first_end: Offset | None
    ) -> None:
        if not isinstance(result, NewestPage):
            self._back_off(now, result)
            return
        self._set_reachable(True, "")
        self._on_entries(now, result.entries)
        # Later pages are newer than the first, so records that were written between
        # the pages are read again from the end of the first.
        first_end = result.end if first_end is None else first_end
        if result.after is not None:
            self._read_newest(now, result.after, first_end)
            return
        self._position = first_end
        self._read_tail(now, self._short_read(now))

    def _short_read(self, now: Seconds) -> LongPoll:
        """Return a read without a wait, with more time for its answer after failures.

        A store that is slow for a while would otherwise never be read. The first
        failure may be a connection that has gone silent, which the next one may too.
        """
        first_s = self._poll(now).answer_timeout_s
        timeout_s = backoff_s(first_s, ANSWER_TIMEOUT_S, max(1, self._failures))
        return LongPoll(0.0, timeout_s)

    def _read_tail(self, now: Seconds, poll: LongPoll) -> None:
        generation = self._generation
        offset = self._position = max(self._position, self._known_end())

        def on_done(result: ReadResult) -> None:
            if generation == self._generation:
                self._on_tail(self._timers.now(), now, result)

        self._store.read_tail(self._topic, offset, poll, on_done)

    def _on_tail(self, now: Seconds, sent_at: Seconds, result: ReadResult) -> None:
        if isinstance(result, Trimmed):
            self._position = None
            self.start(now)
            return
        if not isinstance(result, Tail):
            self._back_off(now, result)
            return
        self._set_reachable(True, "")
        self._on_entries(now, result.entries)
        self._position = max(self._position, result.next_offset)
        if self._position >= result.end:
            self._on_complete(now, sent_at, result.end)
            self._schedule_read(now, self._pause_s)
        else:
            self._read_tail(now, self._short_read(now))

    def _schedule_read(self, now: Seconds, pause_s: Seconds) -> None:
        generation = self._generation

        def read(later: Seconds) -> None:
            if generation != self._generation:
                return
            if not self._needs_read(later):
                self._schedule_read(later, SKIPPED_READ_INTERVAL_S)
            elif self._position is None:
                self.start(later)
            else:
                self._read_tail(later, self._poll(later))

        self._timers.at(now + pause_s, TimerCallback(read))

    def _back_off(self, now: Seconds, result: ReadResult) -> None:
        """Start again after a pause that grows with each failure."""
        reason = result.reason if isinstance(result, Unavailable) else repr(result)
        self._set_reachable(False, reason)
        self._failures += 1
        pause_s = backoff_s(FIRST_BACKOFF_S, MAX_BACKOFF_S, self._failures)
        pause_s *= self._rng.uniform(0.7, 1.3)
        generation = self._generation

        def restart(later: Seconds) -> None:
            if generation == self._generation:
                self.start(later)

        self._timers.at(now + pause_s, TimerCallback(restart))

    def _set_reachable(self, reachable: bool, reason: str) -> None:
        if reachable:
            self._failures = 0
        if reachable != self._reachable:
            self._reachable = reachable
            self._on_contact(reachable, reason)
