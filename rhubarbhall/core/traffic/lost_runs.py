"""Requests at the local target whose answer does not come, until it is known why.

One connection may have been reset or given up here, or the target has ended. If it has,
no answer to a later request comes, connections are refused, and another run of it
reports.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhall.core.traffic.crash_suspects import fingerprint_of

if TYPE_CHECKING:
    from rhubarbhall.core.traffic.requests import RoutedRequest
    from rhubarbhall.types import Fingerprint, Seconds

__all__ = ["LostRun", "LostRuns"]

#: Time after which a lost answer is no sign of the target's end, in seconds. A target
#: that has ended is back, and reports as another run, within some seconds.
MAX_AGE_S = 10.0
#: Maximum number of requests that are kept, the latest.
MAX_RUNS = 100


@dataclass(frozen=True, slots=True)
class LostRun:
    """A request that ran on the target when its connection ended.

    Parameters
    ----------
    fingerprint : bytes
        Identifies equal requests.
    route, path : str
        Its route and path.
    was_alone : bool
        Whether it was isolated, so that no other request ran beside it.
    lost_at : float
        When its connection ended, local clock, in seconds.
    """

    fingerprint: Fingerprint
    route: str
    path: str
    was_alone: bool
    lost_at: Seconds


class LostRuns:
    """The requests whose answer was lost since the target has answered last."""

    def __init__(self) -> None:
        self._runs: deque[LostRun] = deque(maxlen=MAX_RUNS)

    def record_lost(
        self, now: Seconds, request: RoutedRequest, was_alone: bool
    ) -> None:
        """Record that the connection of a running request has ended."""
        fingerprint = fingerprint_of(request)
        run = LostRun(fingerprint, request.route, request.path, was_alone, now)
        self._runs.append(run)

    def record_answer(self, sent_at: Seconds) -> None:
        """Take an answer as a sign that the target ran when its request was sent."""
        while self._runs and self._runs[0].lost_at <= sent_at:
            self._runs.popleft()

    def take(self, now: Seconds) -> list[LostRun]:
        """Return and forget all, as the target has ended."""
        runs = [run for run in self._runs if now - run.lost_at <= MAX_AGE_S]
        self._runs.clear()
        return runs
