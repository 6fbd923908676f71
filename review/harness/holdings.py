"""Watches which workers hold the same keys at the same time."""

from __future__ import annotations

import asyncio
import itertools

from harness.record import Record
from harness.worker import Worker

CHECK_INTERVAL_S = 0.02


def _shared(left: Worker, right: Worker) -> list[tuple[int, int]]:
    """Return the ranges that two workers hold now."""
    return [
        (max(a.first, b.first), min(a.last, b.last))
        for a in left.current_holds()
        for b in right.current_holds()
        if a.first <= b.last and b.first <= a.last
    ]


class HoldingsWatch:
    """Records each time in which two workers that are up hold the same keys.

    Attributes
    ----------
    longest_s : float
        Longest such time, in seconds.
    """

    def __init__(self, record: Record, workers: list[Worker]) -> None:
        self._record = record
        self._workers = workers
        self._since: dict[tuple[str, str], float] = {}
        self.longest_s = 0.0

    async def watch(self) -> None:
        """Check all pairs of workers until cancelled."""
        while True:
            now = self._record.now()
            for left, right in itertools.combinations(self._workers, 2):
                both_up = left.is_up and right.is_up
                shared = _shared(left, right) if both_up else []
                self._update(now, (left.instance, right.instance), shared)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _update(
        self, now: float, pair: tuple[str, str], shared: list[tuple[int, int]]
    ) -> None:
        if shared and pair not in self._since:
            self._since[pair] = now
            self._record.add("same-keys-begin", workers="+".join(pair), keys=shared)
        if shared:
            self.longest_s = max(self.longest_s, now - self._since[pair])
        elif pair in self._since:
            lasted_s = now - self._since.pop(pair)
            self._record.add(
                "same-keys-end", workers="+".join(pair), lasted_s=round(lasted_s, 3)
            )
