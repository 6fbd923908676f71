"""Imbalance of services without keys, with honest, lagging and lying reports.

The project's policy does not read load reports; the baseline does. Several entrances
choose without knowing of each other, in virtual time.
"""

from __future__ import annotations

import heapq
import random
from collections import deque

from benchmarks.report import Table
from rhubarbhall.plugins.balancing import TwoChoices, Uniform

TARGETS = 20
ENTRANCES = 10
RATE_PER_S = 4_000.0
WORK_S = 0.05
SECONDS = 20.0
WARM_S = 2.0
LAG_S = 2.0
REPORT_S = 0.5


class LeastReported:
    """Takes the least loaded of two members by what they report of themselves."""

    def choose(self, members, load_by_member, rng):
        """Return one of `members`."""
        first, second = rng.sample(members, 2)
        return min(first, second, key=lambda each: load_by_member.get(each, 0))


def _reported(kind: str, history: deque, now: float, target: str, present: int) -> int:
    if kind == "honest":
        return present
    if kind == "lie":
        return 0
    old = [count for at, count in history if now - at >= LAG_S]
    return old[-1] if old else 0


def simulate(policy, reads_reports: bool, reports: str, seed: int = 3) -> float:
    """Return the mean over time of the largest load over the mean load."""
    rng = random.Random(seed)
    targets = [f"t{n}" for n in range(TARGETS)]
    running = dict.fromkeys(targets, 0)
    own = [dict.fromkeys(targets, 0) for _ in range(ENTRANCES)]
    shown = dict.fromkeys(targets, 0)
    history = {each: deque(maxlen=64) for each in targets}
    ends: list[tuple[float, int, str]] = []
    now, next_report, ratios = 0.0, 0.0, []
    while now < SECONDS:
        now += rng.expovariate(RATE_PER_S)
        while ends and ends[0][0] <= now:
            _, entrance, target = heapq.heappop(ends)
            running[target] -= 1
            own[entrance][target] -= 1
        if now >= next_report:
            next_report += REPORT_S
            for each in targets:
                history[each].append((now, running[each]))
                shown[each] = _reported(
                    reports, history[each], now, each, running[each]
                )
            if now >= WARM_S:
                mean = sum(running.values()) / TARGETS
                ratios.append(max(running.values()) / mean)
        entrance = rng.randrange(ENTRANCES)
        load = shown if reads_reports else own[entrance]
        target = policy.choose(targets, load, rng)
        running[target] += 1
        own[entrance][target] += 1
        heapq.heappush(ends, (now + rng.expovariate(1 / WORK_S), entrance, target))
    return sum(ratios) / len(ratios)


def run() -> list[Table]:
    table = Table(
        f"Largest load over the mean, {TARGETS} targets, {ENTRANCES} entrances",
        ("way", "honest", "lagging 2 s", "lying"),
    )
    for name, policy, reads in (
        ("any target", Uniform(), False),
        ("two choices by reports", LeastReported(), True),
        ("two choices by own requests in flight", TwoChoices(), False),
    ):
        cells = [simulate(policy, reads, kind) for kind in ("honest", "lag", "lie")]
        table.add(name, *cells)
    return [table]
