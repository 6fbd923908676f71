"""Spans of time that the protocol of ownership on an unkeyed log goes by."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.types import Seconds


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
