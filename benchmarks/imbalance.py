"""Imbalance of a service without keys when load reports are right, late or false.

The project's policy does not read load reports; the baseline does. Several routers
choose targets independently of each other, in virtual time.
"""

from __future__ import annotations

import heapq
import random
from collections import deque

from benchmarks.report import Table
from rhubarbhall.plugins.balancing import TwoChoices, Uniform

TARGETS = 20
ROUTERS = 10
#: Requests per second that arrive at all routers together.
RATE_PER_S = 4_000.0
#: Mean duration of a request, in seconds.
WORK_S = 0.05
#: Duration of a simulation, in seconds.
SECONDS = 20.0
#: Time at the start of a simulation that is left out of the results, in seconds.
WARMUP_S = 2.0
#: Least age of the load in a late report, in seconds.
LAG_S = 2.0
#: Time between two reports of a target, in seconds.
REPORT_INTERVAL_S = 0.5


class LeastReported:
    """Chooses the member with the lower reported load of two drawn at random."""

    def choose(self, members, load_by_member, rng):
        """Return one of at least two `members`."""
        first, second = rng.sample(members, 2)
        return min(first, second, key=lambda each: load_by_member.get(each, 0))


def _report(
    kind: str, history: deque, now: float, target: str, current_load: int
) -> int:
    """Return the load that a target reports, for an honest, lagging or lying target."""
    if kind == "honest":
        return current_load
    if kind == "lie":
        return 0
    old = [count for at, count in history if now - at >= LAG_S]
    return old[-1] if old else 0


def simulate(policy, reads_reports: bool, reports: str, seed: int = 3) -> float:
    """Return the mean, over time, of the ratio of the largest load to the mean load.

    Parameters
    ----------
    policy : object
        Policy whose method `choose` returns a target.
    reads_reports : bool
        Whether the policy gets the reported loads; otherwise it gets the number of
        requests that the router itself has in flight at each target.
    reports : str
        ``"honest"`` for right reports, ``"lie"`` for reports of no load, otherwise
        reports of the load at least `LAG_S` ago.
    seed : int
        Seed of the random numbers.
    """
    rng = random.Random(seed)
    targets = [f"t{n}" for n in range(TARGETS)]
    running = dict.fromkeys(targets, 0)
    in_flight_by_router = [dict.fromkeys(targets, 0) for _ in range(ROUTERS)]
    load_by_report = dict.fromkeys(targets, 0)
    history = {each: deque(maxlen=64) for each in targets}
    completions: list[tuple[float, int, str]] = []
    now, next_report, ratios = 0.0, 0.0, []
    while now < SECONDS:
        now += rng.expovariate(RATE_PER_S)
        while completions and completions[0][0] <= now:
            _, router_index, target = heapq.heappop(completions)
            running[target] -= 1
            in_flight_by_router[router_index][target] -= 1
        if now >= next_report:
            next_report += REPORT_INTERVAL_S
            for each in targets:
                history[each].append((now, running[each]))
                load_by_report[each] = _report(
                    reports, history[each], now, each, running[each]
                )
            if now >= WARMUP_S:
                mean = sum(running.values()) / TARGETS
                ratios.append(max(running.values()) / mean)
        router_index = rng.randrange(ROUTERS)
        load = load_by_report if reads_reports else in_flight_by_router[router_index]
        target = policy.choose(targets, load, rng)
        running[target] += 1
        in_flight_by_router[router_index][target] += 1
        heapq.heappush(
            completions, (now + rng.expovariate(1 / WORK_S), router_index, target)
        )
    return sum(ratios) / len(ratios)


def run() -> list[Table]:
    table = Table(
        f"Largest load over the mean, {TARGETS} targets, {ROUTERS} routers",
        ("policy", "honest", "lagging 2 s", "lying"),
    )
    for name, policy, reads in (
        ("any target", Uniform(), False),
        ("two choices by reports", LeastReported(), True),
        ("two choices by the router's requests in flight", TwoChoices(), False),
    ):
        cells = [simulate(policy, reads, kind) for kind in ("honest", "lag", "lie")]
        table.add(name, *cells)
    return [table]
