"""State that the parts of one daemon share."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rhubarbhall.core.directory import Directory
from rhubarbhall.core.timers import TimerService

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from rhubarbhall.core.members import Member
    from rhubarbhall.core.records import Join
    from rhubarbhall.core.timing import Timing
    from rhubarbhall.types import Address, MemberId, RecordId, Seconds


@dataclass(slots=True)
class Context:
    """Identity, time and directory of one run of a daemon.

    Parameters
    ----------
    join : Join
        Record by which this run joins the mesh.
    timing : Timing
        Durations of the ownership protocol.
    rng : random.Random
        Seeded source of randomness.
    wall_ms : callable
        Returns the wall-clock time in milliseconds since 1970. It is used only for the
        age of idempotency keys.
    seeds : tuple of str
        Addresses of peers from which records are read when the log is unreachable and
        the directory names no other member, as at the start.
    directory : Directory
        State that results from the records of the log.
    timers : TimerService
        Timers of all parts.
    """

    join: Join
    timing: Timing
    rng: random.Random
    wall_ms: Callable[[], int]
    seeds: tuple[Address, ...] = ()
    directory: Directory = field(default_factory=Directory)
    timers: TimerService = field(default_factory=TimerService)
    #: Time of the last known contact with the log, on the local monotonic clock.
    log_contact_at: Seconds = float("-inf")
    #: Running and waiting orders of the service that loads the local target most, in
    #: percent of its concurrency limit.
    load_percent: int = 0
    #: Whether this daemon neither joins nor takes over slices, since it has read a
    #: record of a schema newer than its own.
    outdated: bool = False
    _record_numbers: itertools.count = field(default_factory=itertools.count)

    @property
    def member_id(self) -> MemberId:
        """Id of this run of the daemon."""
        return self.join.member

    @property
    def member(self) -> Member | None:
        """Entry of this run in the directory; none if the run is not live."""
        return self.directory.member_by_id.get(self.member_id)

    def log_reachable(self, now: Seconds) -> bool:
        """Return whether the last contact with the log is at most `log_fresh_s` old."""
        return now - self.log_contact_at <= self.timing.log_fresh_s

    def new_record_id(self) -> RecordId:
        """Return an id that no other record has."""
        return f"{self.member_id}/{next(self._record_numbers)}"

    def peer_address(self, member: MemberId) -> Address | None:
        """Return the address at which a member takes datagrams; none if not live."""
        entry = self.directory.member_by_id.get(member)
        return entry.join.peers if entry else None
