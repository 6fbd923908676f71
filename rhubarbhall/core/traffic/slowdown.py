"""How long work takes on the machine of a target, as the target reports it.

The figure changes several times a second, so a report loses weight quickly.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.types import Seconds

#: Bounds on a reported slowdown. A figure beyond them is a fault of the target, and
#: would keep it from getting requests, or give it all of them.
MIN_SLOWDOWN = 0.1
MAX_SLOWDOWN = 20.0
#: Time in which a report loses half of its weight, in seconds: the speed of a shared
#: machine changes several times a second.
HALF_LIFE_S = 0.3


def bounded(slowdown: float) -> float:
    """Return a slowdown within its bounds."""
    return min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown))


def weight(age_s: Seconds) -> float:
    """Return the weight of a report of an age, from 1 for a new one down to 0."""
    return 0.5 ** (max(0.0, age_s) / HALF_LIFE_S)


def aged(slowdown: float, age_s: Seconds) -> float:
    """Return the slowdown that is expected some time after it was reported."""
    return 1.0 + (slowdown - 1.0) * weight(age_s)


class ReportedSlowdown:
    """The newest slowdown that the local target has reported."""

    def __init__(self) -> None:
        self._slowdown: float | None = None
        self._reported_at: Seconds = float("-inf")
        self._last_seen_at: Seconds = float("-inf")

    def record(self, now: Seconds, slowdown: float) -> None:
        """Take the slowdown that an answer reports, 1 for the usual speed."""
        self._slowdown = bounded(slowdown)
        self._reported_at = self._last_seen_at = now

    def reset(self) -> None:
        """Forget the reports: another run of the target has begun."""
        self._slowdown = None

    def at(self, time: Seconds) -> float:
        """Return the factor on durations that is expected at a time."""
        if self._slowdown is None:
            return 1.0
        return aged(self._slowdown, time - self._reported_at)

    def see(self, now: Seconds) -> None:
        """Set the time that `present` is for."""
        self._last_seen_at = max(self._last_seen_at, now)

    @property
    def present(self) -> float | None:
        """The factor at the last known time; None if the target reports none."""
        return None if self._slowdown is None else self.at(self._last_seen_at)
