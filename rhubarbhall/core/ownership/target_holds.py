"""What the own target holds, and what the answer to its heartbeat grants it."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rhubarbhall.core.ownership.key_table import Claim
from rhubarbhall.core.ownership.read_lease import CLOCK_DRIFT
from rhubarbhall.core.ownership.records import TargetState

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.key_table import KeyTable, Range, Span
    from rhubarbhall.types import Address, Offset, Seconds

#: Longest time that one answer lets a target hold its keys. Long enough for two
#: heartbeats to be missed, short enough for a lost target's keys to move soon.
HOLD_S = 3.0
#: Least time worth granting.
MIN_HOLD_S = 0.3
#: Added to the end of a grant when others wait for it, in seconds.
GRANT_MARGIN_S = 0.1


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a target says of itself.

    Parameters
    ----------
    instance : str
        Name of the target; it may outlast a restart.
    born : int
        When it was started, in Unix milliseconds.
    sequence : int
        Grows with each heartbeat of a run.
    state : TargetState
        Whether it takes work.
    slots : int
        Requests that it works on at a time.
    warmup_left_s : float
        How much longer it is slow after its start.
    holds : tuple of (int, int, int)
        Ranges that it holds or still works on, with their fences.
    handed_over : mapping of (int, int) to str
        Ranges that it let go since its last acknowledged heartbeat, with the tokens
        for the next holder.
    """

    instance: str
    born: int
    sequence: int
    state: TargetState
    slots: int
    warmup_left_s: Seconds = 0.0
    holds: tuple[tuple[int, int, int], ...] = ()
    handed_over: Mapping[Range, str] = field(default_factory=dict)

    @property
    def run(self) -> str:
        """Identity of this start of the target."""
        return f"{self.instance}@{self.born}"


@dataclass(frozen=True, slots=True)
class Grant:
    """What a target is to hold from now on, all else it lets go.

    Parameters
    ----------
    spans : tuple of Span
        The ranges.
    hold_s : float
        For how long, from when the heartbeat was sent.
    """

    spans: tuple[Span, ...]
    hold_s: Seconds


class TargetHolds:
    """Follows one target by its heartbeats.

    Parameters
    ----------
    me : str
        The daemon beside it.
    started_at : float
        When this daemon began, own clock. One before it may have granted keys until
        then.
    """

    def __init__(self, me: Address, started_at: Seconds) -> None:
        self._me = me
        self._heartbeat: Heartbeat | None = None
        self.heard_at: Seconds = float("-inf")
        self._granted: tuple[Span, ...] = ()
        #: The grant before: its answer may have been read after the last heartbeat
        #: was written.
        self._granted_before: tuple[Span, ...] = ()
        self._hold_ends_at: Seconds = float("-inf")
        #: When every grant of this daemon, or one before it, has run out.
        self._grants_end_at = _grant_end(started_at, HOLD_S)
        #: Whether the target said that it is gone; it sends no more heartbeats then.
        self._has_left = False
        #: Ranges that a record frees for others, and the offset it is written at. Until
        #: the log has grown, its outcome is not known.
        self._being_freed: list[Range] = []
        self._being_freed_at: Offset = -1
        #: Tokens of ranges that were handed over, until others hold them.
        self.tokens: dict[Range, str] = {}

    @property
    def run(self) -> str:
        """The present run; empty before the first heartbeat."""
        return self._heartbeat.run if self._heartbeat else ""

    @property
    def instance(self) -> str:
        """Name of the present target; empty before the first heartbeat."""
        return self._heartbeat.instance if self._heartbeat else ""

    @property
    def heartbeat(self) -> Heartbeat | None:
        """The last heartbeat."""
        return self._heartbeat

    def note_left(self) -> None:
        """Note that the target has said that it is gone."""
        self._has_left = True

    def accepts(self, heartbeat: Heartbeat) -> bool:
        """Tell whether a heartbeat is news, not one that was held up on its way."""
        known = self._heartbeat
        if known is None or heartbeat.born > known.born:
            return True
        return heartbeat.run == known.run and heartbeat.sequence > known.sequence

    def note(self, now: Seconds, heartbeat: Heartbeat) -> bool:
        """Take a heartbeat in; return whether it is from a new run."""
        is_new_run = self._heartbeat is not None and heartbeat.run != self.run
        if is_new_run:
            # The address is the target's alone, so the run before has ended.
            self._granted = self._granted_before = ()
            self._grants_end_at = now
            self._has_left = False
            self.tokens = {}
        self._heartbeat = heartbeat
        self.heard_at = now
        self.tokens.update(heartbeat.handed_over)
        return is_new_run

    def state(self, now: Seconds) -> TargetState:
        """Return what is known of the target."""
        if self._heartbeat is None or self.is_silent(now):
            return TargetState.GONE
        if self._has_left:
            return TargetState.LEAVING
        return self._heartbeat.state

    def is_overdue(self, now: Seconds) -> bool:
        """Tell whether no target was heard although there was time for it."""
        return self._heartbeat is None and now > self._grants_end_at

    def is_silent(self, now: Seconds) -> bool:
        """Tell whether nothing was heard for longer than a grant lasts."""
        return now > _grant_end(self.heard_at, HOLD_S)

    def note_freeing(self, ranges: Iterable[Range], at: Offset) -> None:
        """Note that a record that frees ranges is being written at an offset.

        An earlier one at the same offset may still be carried out in its place.
        """
        if at != self._being_freed_at:
            self._being_freed = []
            self._being_freed_at = at
        self._being_freed += ranges

    def _is_being_freed(self, span: Span, end: Offset) -> bool:
        if end > self._being_freed_at:
            return False
        return any(span.overlaps(first, last) for first, last in self._being_freed)

    def grant(
        self,
        now: Seconds,
        table: KeyTable | None,
        lease_left_s: Seconds,
        end: Offset,
    ) -> Grant:
        """Return what the target is to hold, and note it.

        Without a lease nothing is granted or renewed: the answer is empty.

        Parameters
        ----------
        end : int
            Offset before which the directory, and so the table, is known.
        """
        hold_s = min(HOLD_S, lease_left_s / (1 + CLOCK_DRIFT) - GRANT_MARGIN_S)
        if table is None or hold_s < MIN_HOLD_S:
            return Grant((), 0.0)
        spans = tuple(
            span
            for span in table.spans
            if span.owner == self._me
            and span.is_settled
            and span.run == self.run
            and not self._is_being_freed(span, end)
        )
        self._granted_before, self._granted = self._granted, spans
        for first, last in list(self.tokens):
            if any(span.overlaps(first, last) for span in spans):
                del self.tokens[first, last]
        self._hold_ends_at = now + hold_s
        self._grants_end_at = max(self._grants_end_at, _grant_end(now, hold_s))
        return Grant(spans, hold_s)

    def may_work_on(self, now: Seconds, key: int) -> bool:
        """Tell whether the target holds a key, as far as the daemon knows."""
        if now >= self._hold_ends_at:
            # What the last heartbeat says is no ground: the target may have stopped
            # since, and each request that it turns away counts as a repeat.
            return False
        return any(span.first <= key <= span.last for span in self._granted)

    def let_go(self, now: Seconds, table: KeyTable) -> Iterator[Range]:
        """Yield the ranges that the target had to let go and has."""
        for span in table.leaving(self._me):
            if self._holds_none_of(now, span):
                yield span.first, span.last

    def _holds_none_of(self, now: Seconds, span: Span) -> bool:
        if now > self._grants_end_at:
            return True
        if self._heartbeat is None or self._has_left:
            return False
        granted = (*self._granted, *self._granted_before)
        if any(span.overlaps(each.first, each.last) for each in granted):
            return False
        holds = self._heartbeat.holds
        return not any(span.overlaps(first, last) for first, last, _ in holds)

    def claim(self) -> Claim:
        """Return the claim of the present run."""
        return Claim(self._me, self.run)


def _grant_end(sent_at: Seconds, hold_s: Seconds) -> Seconds:
    return sent_at + hold_s * (1 + CLOCK_DRIFT) + GRANT_MARGIN_S
