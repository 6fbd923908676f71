"""Service at the crest and short work behind long work, in virtual time.

Every figure stands beside baselines in the same run: no admission at all, a plain
queue in order of arrival, and the project's own.
"""

from __future__ import annotations

import random
from contextlib import AbstractContextManager, nullcontext
from unittest.mock import patch

from benchmarks.plots import plot_crest
from benchmarks.report import Table, quantile
from benchmarks.virtual_gate import Outcome, VirtualGate, poisson
from rhubarbhall.core.admission import Admission, ConcurrencyLimit, Work

SLOTS = 10
WORK_S = 0.02
DEADLINE_S = 0.5
CAPACITY_PER_S = SLOTS / WORK_S
SECONDS = 10.0
WARM_S = 2.0
SURGE_FACTOR = 10
SURGE_S = 5.0
LONG_WORK_S = 4.0

_OWN = {"slots": SLOTS, "short_slots": 3, "queue": 64, "deadline_ms": 500}
_FIFO = {"slots": SLOTS, "short_slots": 0, "queue": 100_000}
_NONE = {"slots": 100_000, "short_slots": 0, "queue": 100_000}


def _without_judgement() -> AbstractContextManager:
    """Return a patch that takes early refusal, classes and learned limits away."""
    return _Several(
        patch.object(Admission, "expected_wait_s", lambda self, request: 0.0),
        patch.object(ConcurrencyLimit, "note_overload", lambda self, now: None),
        patch.object(Admission.__init__, "__defaults__", ("fifo",)),
        patch("rhubarbhall.core.admission.Durations.work", lambda s, r: Work.SHORT),
    )


class _Several:
    def __init__(self, *managers: AbstractContextManager) -> None:
        self._managers = managers

    def __enter__(self) -> None:
        for manager in self._managers:
            manager.__enter__()

    def __exit__(self, *details: object) -> None:
        for manager in self._managers:
            manager.__exit__(*details)


WAYS = {
    "no admission": (_NONE, _without_judgement),
    "plain queue": (_FIFO, _without_judgement),
    "own": (_OWN, nullcontext),
}


def _offer(gate: VirtualGate, rate: float, start: float, end: float, seed: int):
    rng = random.Random(seed)
    for when in poisson(rng, rate, start, end):
        work = rng.expovariate(1 / WORK_S)
        caller = f"agent-{rng.randrange(200)}"
        gate.at(when, lambda w=work, c=caller: gate.send("look", w, DEADLINE_S, c))


def _answered(outcomes: list[Outcome], start: float, end: float) -> list[Outcome]:
    return [o for o in outcomes if o.answered and start <= o.sent_at < end]


def measure_crest() -> tuple[list[Table], dict]:
    table = Table(
        f"Offered load against a capacity of {CAPACITY_PER_S:.0f}/s, deadline 0.5 s",
        ("way", "load", "goodput/s", "over capacity", "p99 s of answered", "refused/s"),
    )
    series: dict[str, list[tuple[float, float]]] = {}
    for name, (service, rules) in WAYS.items():
        for load in (0.5, 1.0, 2.0, 4.0):
            with rules():
                gate = VirtualGate(service, SLOTS)
                _offer(gate, load * CAPACITY_PER_S, 0.0, SECONDS, seed=5)
                gate.run(SECONDS + 2.0)
            good = _answered(gate.outcomes, WARM_S, SECONDS)
            span = SECONDS - WARM_S
            refused = [
                o for o in gate.outcomes if not o.answered and o.sent_at >= WARM_S
            ]
            goodput = len(good) / span
            series.setdefault(name, []).append((load, goodput / CAPACITY_PER_S))
            table.add(
                name,
                load,
                goodput,
                goodput / CAPACITY_PER_S,
                quantile([o.took_s for o in good], 0.99) if good else float("nan"),
                len(refused) / span,
            )
    return [table], series


def measure_surge() -> list[Table]:
    table = Table(
        f"A surge of {SURGE_FACTOR}x for {SURGE_S:g} s over half load",
        ("way", "goodput/s in the surge", "s until 95% are answered again"),
    )
    base = 0.5 * CAPACITY_PER_S
    begin, end, stop = 3.0, 3.0 + SURGE_S, 3.0 + SURGE_S + 8.0
    for name, (service, rules) in WAYS.items():
        with rules():
            gate = VirtualGate(service, SLOTS)
            _offer(gate, base, 0.0, begin, seed=1)
            _offer(gate, SURGE_FACTOR * base, begin, end, seed=2)
            _offer(gate, base, end, stop, seed=3)
            gate.run(stop + 2.0)
        good = _answered(gate.outcomes, begin, end)
        table.add(name, len(good) / SURGE_S, _recovery_s(gate.outcomes, end, stop))
    return [table]


def _recovery_s(outcomes: list[Outcome], end: float, stop: float) -> float:
    step = 0.25
    moment = end
    while moment < stop:
        window = [o for o in outcomes if moment <= o.sent_at < moment + step]
        if window and sum(o.answered for o in window) >= 0.95 * len(window):
            return moment - end
        moment += step
    return float("inf")


def measure_short_behind_long() -> tuple[list[Table], dict]:
    table = Table(
        f"Short lookups at 0.4 of capacity, long jobs of {LONG_WORK_S:g} s in flight",
        ("way", "long jobs", "p99 s of short", "short refused", "long done"),
    )
    series: dict[str, list[tuple[int, float]]] = {}
    for name, (service, rules) in WAYS.items():
        for jobs in (0, 1, 10, 30):
            with rules():
                gate = VirtualGate(service, SLOTS)
                _offer(gate, 0.4 * CAPACITY_PER_S, 0.0, SECONDS, seed=7)
                for number in range(jobs):
                    _keep_long(gate, number)
                gate.run(SECONDS + 20.0)
            short = [
                o for o in gate.outcomes if o.name == "look" and o.sent_at >= WARM_S
            ]
            done = sum(o.answered for o in gate.outcomes if o.name == "pull")
            times = [o.took_s for o in short]
            p99 = quantile(times, 0.99)
            series.setdefault(name, []).append((jobs, p99))
            refused = sum(not o.answered for o in short) / len(short)
            table.add(name, jobs, p99, f"{100 * refused:.1f}%", done)
    return [table], series


def _keep_long(gate: VirtualGate, number: int) -> None:
    """Let one planner pull one long job after the other."""

    def pull() -> None:
        if gate.now < SECONDS:
            gate.send("pull", LONG_WORK_S, 60.0, f"planner-{number}")
            gate.at(gate.now + LONG_WORK_S, pull)

    gate.at(0.01 * number, pull)


def run() -> list[Table]:
    crest, goodput_by_way = measure_crest()
    short, short_by_way = measure_short_behind_long()
    plot_crest(goodput_by_way, short_by_way)
    return [*crest, *measure_surge(), *short]
