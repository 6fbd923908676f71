"""Durations of the protocol by which daemons own slices, over a log without keys."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.types import Seconds


@dataclass(frozen=True, slots=True)
class Timing:
    """Durations of the ownership protocol, in seconds unless stated otherwise.

    Parameters
    ----------
    lease_s : float
        Time for which a renewal lets a member serve requests, from when the heartbeat
        that it answers was sent.
    heartbeat_s : float
        Interval between heartbeats to the witnesses.
    drift_bound : float
        Largest relative difference between the rates of two clocks; a ratio.
    tenure_s : float
        Time for which a witness renews the leases of others after a majority last
        renewed its own.
    read_s : float
        Interval between reads of the log.
    log_fresh_s : float
        Age of the last contact with the log up to which it counts as reachable.
    collect_s : float
        Time for which a collector waits for further promises before it appends them.
    stagger_s : float
        Delay before a witness also reports a suspicion to the next collector.
    suspicion_repeat_s : float
        Interval between repeats of a suspicion while it lasts.
    append_retry_s : float
        Delay before an append that was not read back is retried.
    drain_s : float
        Time for which running orders may continue after their slice was moved away.
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
    def lapse_timeout_s(self) -> Seconds:
        """Time without contact after which a lease has lapsed on every clock.

        It exceeds `lease_s` by the clock drift, in seconds.
        """
        return self.lease_s * (1 + self.drift_bound)

    @property
    def replacement_delay_s(self) -> Seconds:
        """Age of a failover after which the leases that its member renewed have lapsed.

        A member that was failed over may go on renewing others for its tenure, in
        seconds.
        """
        return (self.tenure_s + 2 * self.lease_s) * (1 + self.drift_bound)
