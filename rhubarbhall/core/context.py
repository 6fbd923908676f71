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
    from rhubarbhall.types import Address, MemberId, RecordId, Seconds


@dataclass(frozen=True, slots=True)
class Timing:
    """Spans of the protocol of ownership, in seconds.

    Parameters
    ----------
    lease_s : float
        How long a renewal lets a member serve.
    heartbeat_s : float
        Time between heartbeats.
    drift_bound : float
        Largest relative difference between the rates of two clocks.
    tenure_s : float
        How long after its own last majority a witness renews others.
    read_s : float
        Time between reads of the log.
    log_fresh_s : float
        Age of the last contact up to which the log counts as reachable.
    collect_s : float
        How long a collector waits for further promises.
    stagger_s : float
        Delay before a witness turns to the next collector.
    suspicion_repeat_s : float
        Time between repeats of an unanswered suspicion.
    append_retry_s : float
        Time before an append that was not read back is repeated.
    drain_s : float
        How long running orders may go on after their slice was moved.
    """

    lease_s: Seconds = 1.0
    heartbeat_s: Seconds = 0.25
    drift_bound: float = 0.05
    tenure_s: Seconds = 30.0
    read_s: Seconds = 0.25
    log_fresh_s: Seconds = 1.5
    collect_s: Seconds = 0.05
    stagger_s: Seconds = 0.3
    suspicion_repeat_s: Seconds = 0.1
    append_retry_s: Seconds = 1.0
    drain_s: Seconds = 10.0

    @property
    def silence_s(self) -> Seconds:
        """Silence after which a lease has lapsed whatever the clocks' rates."""
        return self.lease_s * (1 + self.drift_bound)

    @property
    def replaceable_s(self) -> Seconds:
        """Age of a failover after which its member's renewals have lapsed too."""
        return (self.tenure_s + 2 * self.lease_s) * (1 + self.drift_bound)


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
