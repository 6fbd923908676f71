"""Tells new heartbeats of the local target from those that were late on their way.

The start of a run, as the target states it, orders the runs: a later start is that of
the next run. Any other heartbeat that does not follow the last one may have been late:
of an earlier run, or of the present one. It is evidence only while the known run is
silent, so it counts once the keys of that run have run out and more heartbeats have
followed. A target whose clock was set back, and which therefore states an earlier start
than the run before it, is used in this way.

No run counts as ended for good by the heartbeats of another one: while that one is
silent for as long, a run that goes on is used again. Only a run that has said that it
leaves is not.

A daemon that was started again knows the last run from its own record in the store.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhall.core.ownership.heartbeat import split_run

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.heartbeat import Heartbeat
    from rhubarbhall.types import Seconds

#: Time between two heartbeats that show that a run goes on, in seconds. Late heartbeats
#: that were held up together arrive together.
CONFIRMATION_S = 0.3
#: Number of ended runs, of runs that have left and of unconfirmed runs that are
#: remembered.
MAX_ENDED_RUNS = 16
#: Sequence before the first heartbeat of a run.
_NO_SEQUENCE = -1


@dataclass(frozen=True, slots=True)
class _Unconfirmed:
    """The first heartbeat of a run that may be the present one or have ended.

    Parameters
    ----------
    sequence : int
        Its sequence.
    arrived_at : float
        Its arrival on the local clock, in seconds.
    """

    sequence: int
    arrived_at: Seconds


class HeartbeatOrder:
    """The last known run of the local target, and which heartbeats are newer."""

    def __init__(self) -> None:
        #: The last known run; empty if there is none.
        self.run = ""
        self._born = -1
        self._sequence = _NO_SEQUENCE
        #: Runs that another one has followed.
        self._ended: deque[str] = deque(maxlen=MAX_ENDED_RUNS)
        #: Runs that have said that they leave.
        self._departed: deque[str] = deque(maxlen=MAX_ENDED_RUNS)
        #: Heartbeats that did not follow the last one, since that arrived.
        self._unconfirmed_by_run: dict[str, _Unconfirmed] = {}

    @property
    def instance(self) -> str:
        """Name of the target in its last known run; empty if there is none."""
        return split_run(self.run)[0]

    def restore(self, run: str) -> None:
        """Set the last known run from the record of an earlier process."""
        self.run = run
        self._born = split_run(run)[1]
        self._sequence = _NO_SEQUENCE

    def record_departed(self, run: str) -> None:
        """Record that a run has said that it leaves and is not to be used again."""
        self._departed.append(run)

    def accepts(
        self,
        now: Seconds,
        heartbeat: Heartbeat,
        run_leaves: bool,
        held_until: Seconds,
    ) -> bool:
        """Return whether a heartbeat is newer than the last one.

        Parameters
        ----------
        run_leaves : bool
            Whether the known run has said that it leaves, so that another one is
            expected.
        held_until : float
            When the keys of the known run will have run out if it stays silent, local
            clock, in seconds. Until then only a next run takes its place.
        """
        if heartbeat.run == self.run and heartbeat.sequence > self._sequence:
            return True
        if heartbeat.run in self._departed:
            return False
        if self._begins_next_run(heartbeat, run_leaves):
            return True
        return self._goes_on(now, heartbeat) and now > held_until

    def _begins_next_run(self, heartbeat: Heartbeat, run_leaves: bool) -> bool:
        """Return whether a heartbeat is of the run after the known one."""
        if not self.run:
            return True
        if heartbeat.run == self.run or heartbeat.run in self._ended:
            return False
        return heartbeat.born > self._born or (run_leaves and heartbeat.is_first)

    def _goes_on(self, now: Seconds, heartbeat: Heartbeat) -> bool:
        """Return whether a run sends heartbeats while the known run is silent."""
        earlier = self._unconfirmed_by_run.get(heartbeat.run)
        if earlier is None:
            if len(self._unconfirmed_by_run) >= MAX_ENDED_RUNS:
                del self._unconfirmed_by_run[next(iter(self._unconfirmed_by_run))]
            first = _Unconfirmed(heartbeat.sequence, now)
            self._unconfirmed_by_run[heartbeat.run] = first
            return False
        is_next = heartbeat.sequence > earlier.sequence
        return is_next and now - earlier.arrived_at >= CONFIRMATION_S

    def record(self, heartbeat: Heartbeat) -> None:
        """Record a heartbeat that was accepted."""
        if self.run and heartbeat.run != self.run:
            self._ended.append(self.run)
        self.run = heartbeat.run
        self._born, self._sequence = heartbeat.born, heartbeat.sequence
        self._unconfirmed_by_run.clear()
