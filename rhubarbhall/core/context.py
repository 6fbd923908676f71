"""What the parts of one daemon share."""

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
        The run's own record.
    timing : Timing
        Spans of the protocol.
    rng : random.Random
        Seeded source of randomness.
    wall_ms : callable
        Milliseconds since 1970; used for the age of idempotency keys only.
    seeds : tuple of str
        Addresses of peers to ask when the log cannot be read at the start.
    """

    join: Join
    timing: Timing
    rng: random.Random
    wall_ms: Callable[[], int]
    seeds: tuple[Address, ...] = ()
    directory: Directory = field(default_factory=Directory)
    timers: TimerService = field(default_factory=TimerService)
    #: Time of the last known contact with the log, own clock.
    log_contact_at: Seconds = float("-inf")
    #: Load of the own target, as its gate sees it.
    load_percent: int = 0
    #: Whether new ownership is refused, since a newer schema was read.
    outdated: bool = False
    _record_numbers: itertools.count = field(default_factory=itertools.count)

    @property
    def me(self) -> MemberId:
        """Identity of this run."""
        return self.join.member

    @property
    def member(self) -> Member | None:
        """The own entry in the directory, if this run is live."""
        return self.directory.member_by_id.get(self.me)

    def log_reachable(self, now: Seconds) -> bool:
        """Tell whether the log was reached a short while ago."""
        return now - self.log_contact_at <= self.timing.log_fresh_s

    def new_record_id(self) -> RecordId:
        """Return an identity that no other record has."""
        return f"{self.me}/{next(self._record_numbers)}"

    def peer_address(self, member: MemberId) -> Address | None:
        """Return where `member` takes datagrams, if it is live."""
        found = self.directory.member_by_id.get(member)
        return found.join.peers if found else None
