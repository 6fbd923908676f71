"""Tells new heartbeats of the local target from those that were late on their way.

The start of a run, as the target states it, orders the runs. A target whose clock was
set back states an earlier start than the run before it. Its heartbeats look like late
ones of a run that has ended, until more of them follow while the known run is silent.

A daemon that was started again knows the last run from its own record in the store.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.target_keys import Heartbeat
    from rhubarbhall.types import Seconds

#: Highest sequence of the first heartbeat of a run.
FIRST_SEQUENCE = 1
#: Time after which another heartbeat of a run confirms that the run is not an earlier
#: one, in seconds. Late heartbeats that were held up together arrive together.
CONFIRMATION_S = 0.3
#: Number of ended runs that are remembered.
MAX_ENDED_RUNS = 16


def run_name(instance: str, born: int) -> str:
    """Return the identity of one start of a target."""
    return f"{instance}@{born}"


def split_run(run: str) -> tuple[str, int]:
    """Return the instance and the start, in Unix milliseconds, of a run.

    The start is -1 if the identity names none.
    """
    instance, _, born = run.rpartition("@")
    return (instance, int(born)) if born.isdecimal() and born.isascii() else (run, -1)


@dataclass(slots=True)
class _Unconfirmed:
    """A run that may be the present one, or one that has ended.

    Parameters
    ----------
    run : str
        The run.
    sequence : int
        Sequence of its first heartbeat that arrived.
    arrived_at : float
        Arrival of that heartbeat on the local clock, in seconds.
    """

    run: str
    sequence: int
    arrived_at: Seconds


class HeartbeatOrder:
    """The last known run of the local target, and which heartbeats are newer."""

    def __init__(self) -> None:
        #: The last known run; empty if there is none.
        self.run = ""
        self._born = -1
        self._sequence = -1
        self._ended: deque[str] = deque(maxlen=MAX_ENDED_RUNS)
        self._unconfirmed: _Unconfirmed | None = None

    @property
    def instance(self) -> str:
        """Name of the target in its last known run; empty if there is none."""
        return split_run(self.run)[0]

    def restore(self, run: str) -> None:
        """Set the last known run from the record of an earlier process."""
        self.run = run
        self._born = split_run(run)[1]
        self._sequence = -1

    def record_ended(self, run: str) -> None:
        """Record that a run has ended, or is not to be used again."""
        self._ended.append(run)

    def accepts(self, now: Seconds, heartbeat: Heartbeat, run_leaves: bool) -> bool:
        """Return whether a heartbeat is newer than the last one.

        Parameters
        ----------
        run_leaves : bool
            Whether the known run has said that it leaves, so that another one is
            expected.
        """
        if heartbeat.run == self.run:
            return heartbeat.sequence > self._sequence
        if heartbeat.run in self._ended:
            return False
        if not self.run or heartbeat.born > self._born:
            return True
        if run_leaves and heartbeat.sequence <= FIRST_SEQUENCE:
            return True
        return self._is_confirmed(now, heartbeat)

    def _is_confirmed(self, now: Seconds, heartbeat: Heartbeat) -> bool:
        earlier = self._unconfirmed
        if earlier is None or earlier.run != heartbeat.run:
            self._unconfirmed = _Unconfirmed(heartbeat.run, heartbeat.sequence, now)
            return False
        is_later = heartbeat.sequence > earlier.sequence
        return is_later and now - earlier.arrived_at >= CONFIRMATION_S

    def record(self, heartbeat: Heartbeat) -> None:
        """Record a heartbeat that was accepted."""
        if self.run and heartbeat.run != self.run:
            self.record_ended(self.run)
        self.run = heartbeat.run
        self._born, self._sequence = heartbeat.born, heartbeat.sequence
        self._unconfirmed = None
