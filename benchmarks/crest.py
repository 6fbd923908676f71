"""Goodput at peak load, and delay of short work behind long work, in virtual time.

Each figure is given for three kinds of admission in the same run: none at all, a plain
queue in order of arrival, and the project's admission control.
"""

from __future__ import annotations

import random
from contextlib import AbstractContextManager, nullcontext
from unittest.mock import patch

from benchmarks.node_simulation import NodeSimulation, Outcome, poisson
from benchmarks.plots import plot_peak_load
from benchmarks.report import Table, quantile
from rhubarbhall.core.admission import AdmissionController, ConcurrencyLimit, Work

#: Orders that the target runs at full speed at the same time.
SLOTS = 10
#: Mean work of a short request, in seconds at full speed.
WORK_S = 0.02
#: Deadline of a short request, in seconds.
DEADLINE_S = 0.5
#: Requests with the mean work that the target can run in one second.
CAPACITY_PER_S = SLOTS / WORK_S
#: Virtual time in which requests arrive, in seconds.
SECONDS = 10.0
#: Time at the start of a run that is left out of the results, in seconds.
WARMUP_S = 2.0
#: Offered load in a surge as a multiple of the load before it.
SURGE_FACTOR = 10
#: Duration of a surge, in seconds.
SURGE_S = 5.0
#: Work of a long job, in seconds at full speed.
LONG_WORK_S = 4.0

# Settings of the service for each kind of admission. No run reaches a limit of 100 000.
_PROJECT = {"slots": SLOTS, "short_slots": 3, "queue": 64, "deadline_ms": 500}
_FIFO = {"slots": SLOTS, "short_slots": 0, "queue": 100_000}
_NONE = {"slots": 100_000, "short_slots": 0, "queue": 100_000}


def _without_admission_control() -> AbstractContextManager:
    """Return a patch that disables all of admission control but slots and queue.

    It takes away early refusal, the adaptive limit, fair queueing and the classes of
    work.
    """
    return _CombinedContext(
        patch.object(AdmissionController, "expected_wait_s", lambda self, request: 0.0),
        patch.object(ConcurrencyLimit, "record_overload", lambda self, now: None),
        patch.object(AdmissionController.__init__, "__defaults__", ("fifo",)),
        patch(
            "rhubarbhall.core.admission.RouteDurations.classify",
            lambda s, r: Work.SHORT,
        ),
    )


class _CombinedContext:
    """Enters and exits several context managers as one."""

    def __init__(self, *managers: AbstractContextManager) -> None:
        self._managers = managers

    def __enter__(self) -> None:
        for manager in self._managers:
            manager.__enter__()

    def __exit__(self, *details: object) -> None:
        for manager in self._managers:
            manager.__exit__(*details)


#: Settings of the service and patch of the product for each kind of admission.
ADMISSIONS = {
    "no admission": (_NONE, _without_admission_control),
    "plain queue": (_FIFO, _without_admission_control),
    "project": (_PROJECT, nullcontext),
}


def _offer(
    simulation: NodeSimulation, rate: float, start: float, end: float, seed: int
):
    """Schedule Poisson arrivals of short requests from 200 callers, `rate` per s."""
    rng = random.Random(seed)
    for arrives_at in poisson(rng, rate, start, end):
        work = rng.expovariate(1 / WORK_S)
        caller = f"agent-{rng.randrange(200)}"
        simulation.call_at(
            arrives_at,
            lambda w=work, c=caller: simulation.send("look", w, DEADLINE_S, c),
        )


def _answered(outcomes: list[Outcome], start: float, end: float) -> list[Outcome]:
    """Return the answered requests that were sent in the time from `start` to `end`."""
    return [o for o in outcomes if o.answered and start <= o.sent_at < end]


def measure_peak_load() -> tuple[list[Table], dict]:
    """Measure goodput at constant loads of up to four times the capacity.

    Returns
    -------
    list of Table
        The results.
    dict of str to list of (float, float)
        For each kind of admission, offered load and goodput, both as multiples of the
        capacity.
    """
    table = Table(
        f"Offered load against a capacity of {CAPACITY_PER_S:.0f}/s, deadline 0.5 s",
        (
            "admission",
            "load",
            "goodput/s",
            "over capacity",
            "p99 s of answered",
            "refused/s",
        ),
    )
    series: dict[str, list[tuple[float, float]]] = {}
    for name, (service, patches) in ADMISSIONS.items():
        for load in (0.5, 1.0, 2.0, 4.0):
            with patches():
                simulation = NodeSimulation(service, SLOTS)
                _offer(simulation, load * CAPACITY_PER_S, 0.0, SECONDS, seed=5)
                simulation.run(SECONDS + 2.0)
            answered_outcomes = _answered(simulation.outcomes, WARMUP_S, SECONDS)
            measured_s = SECONDS - WARMUP_S
            refused = [
                o
                for o in simulation.outcomes
                if not o.answered and o.sent_at >= WARMUP_S
            ]
            goodput = len(answered_outcomes) / measured_s
            series.setdefault(name, []).append((load, goodput / CAPACITY_PER_S))
            table.add(
                name,
                load,
                goodput,
                goodput / CAPACITY_PER_S,
                quantile([o.took_s for o in answered_outcomes], 0.99)
                if answered_outcomes
                else float("nan"),
                len(refused) / measured_s,
            )
    return [table], series


def measure_surge() -> list[Table]:
    """Measure goodput during a surge, and the time to recover after it."""
    table = Table(
        f"A surge of {SURGE_FACTOR}x for {SURGE_S:g} s over half load",
        ("admission", "goodput/s in the surge", "s until 95% are answered again"),
    )
    base = 0.5 * CAPACITY_PER_S
    begin, end, stop = 3.0, 3.0 + SURGE_S, 3.0 + SURGE_S + 8.0
    for name, (service, patches) in ADMISSIONS.items():
        with patches():
            simulation = NodeSimulation(service, SLOTS)
            _offer(simulation, base, 0.0, begin, seed=1)
            _offer(simulation, SURGE_FACTOR * base, begin, end, seed=2)
            _offer(simulation, base, end, stop, seed=3)
            simulation.run(stop + 2.0)
        answered_outcomes = _answered(simulation.outcomes, begin, end)
        table.add(
            name,
            len(answered_outcomes) / SURGE_S,
            _recovery_s(simulation.outcomes, end, stop),
        )
    return [table]


def _recovery_s(outcomes: list[Outcome], end: float, stop: float) -> float:
    """Return the time from `end` until 95 % of the requests are answered, in seconds.

    The share is taken over windows of 0.25 s; the result is infinite if no window
    before `stop` reaches it.
    """
    window_s = 0.25
    window_start = end
    while window_start < stop:
        window = [
            o for o in outcomes if window_start <= o.sent_at < window_start + window_s
        ]
        if window and sum(o.answered for o in window) >= 0.95 * len(window):
            return window_start - end
        window_start += window_s
    return float("inf")


def measure_short_behind_long() -> tuple[list[Table], dict]:
    """Measure the time of short requests while long jobs run.

    Returns
    -------
    list of Table
        The results.
    dict of str to list of (int, float)
        For each kind of admission, the number of long jobs and the 99th percentile of
        the time of short requests, in seconds.
    """
    table = Table(
        f"Short lookups at 0.4 of capacity, long jobs of {LONG_WORK_S:g} s in flight",
        ("admission", "long jobs", "p99 s of short", "short refused", "long done"),
    )
    series: dict[str, list[tuple[int, float]]] = {}
    for name, (service, patches) in ADMISSIONS.items():
        for jobs in (0, 1, 10, 30):
            with patches():
                simulation = NodeSimulation(service, SLOTS)
                _offer(simulation, 0.4 * CAPACITY_PER_S, 0.0, SECONDS, seed=7)
                for number in range(jobs):
                    _repeat_long_job(simulation, number)
                simulation.run(SECONDS + 20.0)
            short_outcomes = [
                o
                for o in simulation.outcomes
                if o.name == "look" and o.sent_at >= WARMUP_S
            ]
            done = sum(o.answered for o in simulation.outcomes if o.name == "pull")
            times = [o.took_s for o in short_outcomes]
            p99 = quantile(times, 0.99)
            series.setdefault(name, []).append((jobs, p99))
            refused = sum(not o.answered for o in short_outcomes) / len(short_outcomes)
            table.add(name, jobs, p99, f"{100 * refused:.1f}%", done)
    return [table], series


def _repeat_long_job(simulation: NodeSimulation, number: int) -> None:
    """Let one caller send long jobs one after the other until `SECONDS`."""

    def send_job() -> None:
        if simulation.now < SECONDS:
            simulation.send("pull", LONG_WORK_S, 60.0, f"planner-{number}")
            simulation.call_at(simulation.now + LONG_WORK_S, send_job)

    simulation.call_at(0.01 * number, send_job)


def run() -> list[Table]:
    peak_load_tables, goodput_by_admission = measure_peak_load()
    short_work_tables, short_by_admission = measure_short_behind_long()
    plot_peak_load(goodput_by_admission, short_by_admission)
    return [*peak_load_tables, *measure_surge(), *short_work_tables]
