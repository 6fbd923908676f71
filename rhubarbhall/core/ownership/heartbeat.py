"""The state that the local target reports of itself in its heartbeats."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.key_table import Range
    from rhubarbhall.core.ownership.records import TargetState
    from rhubarbhall.types import Seconds


#: Highest sequence of the first heartbeat of a run.
FIRST_SEQUENCE = 1


def run_name(instance: str, born: int) -> str:
    """Return the identity of one start of a target."""
    return f"{instance}@{born}"


def split_run(run: str) -> tuple[str, int]:
    """Return the instance and the start, in Unix milliseconds, of a run.

    The start is -1 if the identity names none.
    """
    instance, _, born = run.rpartition("@")
    return (instance, int(born)) if born.isdecimal() and born.isascii() else (run, -1)


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The state that a target reports of itself.

    Parameters
    ----------
    instance : str
        Name of the target; it may outlast a restart.
    born : int
        Start of the target, in Unix milliseconds.
    sequence : int
        Grows with each heartbeat of a run.
    state : TargetState
        Whether the target accepts work.
    slots : int
        Number of requests that it works on at a time.
    warmup_left_s : float
        Remaining time of its warm-up after the start, in seconds.
    holds : tuple of (int, int, int)
        Ranges that it holds or still works on: first key, last key, fence.
    handed_over : mapping of (int, int) to str
        Ranges that it has released since its last acknowledged heartbeat, with the
        tokens for the next holder.
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
        return run_name(self.instance, self.born)

    @property
    def is_first(self) -> bool:
        """Whether it is the first heartbeat of its run."""
        return self.sequence <= FIRST_SEQUENCE
