"""Counters and latencies of one router, and the text that they are served as.

They are kept as plain numbers. ``aioprometheus`` renders them and is imported when they
are first asked for: it takes 11 MB in each daemon, about a third of what one needs.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.programs.routing_daemon import RoutingDaemon
    from rhubarbhall.types import Seconds

#: Upper bounds of the buckets of a latency, in seconds.
BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 3.0, 5.0)


class Latency:
    """A latency by buckets.

    Parameters
    ----------
    counts : list of int
        Requests in each bucket, the last one without a bound.
    total_s : float
        Sum of all samples.
    """

    __slots__ = ("counts", "total_s")

    def __init__(self) -> None:
        self.counts = [0] * (len(BOUNDS_S) + 1)
        self.total_s: Seconds = 0.0

    def note(self, took_s: Seconds) -> None:
        """Take a sample."""
        self.counts[bisect_left(BOUNDS_S, took_s)] += 1
        self.total_s += took_s


class RouterFigures:
    """What a router counts."""

    def __init__(self) -> None:
        #: Outcomes that callers got, by service, outcome and error kind or status.
        self.outcomes: Counter[tuple[str, str, str]] = Counter()
        #: Outcomes at the own gate, by outcome and error kind or status.
        self.orders: Counter[tuple[str, str]] = Counter()
        #: Calls to the store, by kind and result.
        self.store_calls: Counter[tuple[str, str]] = Counter()
        #: Time to an outcome, by service and stage (whole, queue, target).
        self.latency_by_stage: dict[tuple[str, str], Latency] = {}

    def note_latency(self, service: str, stage: str, took_s: Seconds) -> None:
        """Take a sample of a stage."""
        latency = self.latency_by_stage.get((service, stage))
        if latency is None:
            latency = self.latency_by_stage[service, stage] = Latency()
        latency.note(took_s)


_COUNTERS = (
    ("requests_total", "Outcomes that callers got.", ("service", "outcome", "kind")),
    ("orders_total", "Outcomes at the own gate.", ("outcome", "kind")),
    ("store_calls_total", "Calls to the store.", ("call", "result")),
)


def render_figures(
    figures: RouterFigures, gauges: dict[str, tuple[str, float]]
) -> tuple[str, bytes]:
    """Return the media type and the text for a scraper.

    Parameters
    ----------
    gauges : dict of str to (str, float)
        What each present value means, and the value, by name.
    """
    from aioprometheus import Counter as Metric, Gauge, Registry
    from aioprometheus.renderer import render

    registry = Registry()
    counts = (figures.outcomes, figures.orders, figures.store_calls)
    for (name, text, labels), by_labels in zip(_COUNTERS, counts, strict=True):
        metric = Metric(f"rhubarb_{name}", text, registry=registry)
        for values, count in by_labels.items():
            metric.set(dict(zip(labels, values, strict=True)), count)
    _render_latencies(figures, Metric, registry)
    for name, (text, value) in gauges.items():
        Gauge(f"rhubarb_{name}", text, registry=registry).set({}, value)
    body, headers = render(registry, ["text/plain"])
    return headers["Content-Type"], body


def _render_latencies(figures: RouterFigures, metric_type, registry) -> None:
    buckets = metric_type(
        "rhubarb_latency_seconds_bucket",
        "Requests that took no longer than the bound, by service and stage.",
        registry=registry,
    )
    sums = metric_type(
        "rhubarb_latency_seconds_sum", "Sum of the latencies.", registry=registry
    )
    for (service, stage), latency in figures.latency_by_stage.items():
        labels = {"service": service, "stage": stage}
        reached = 0
        for bound, count in zip((*BOUNDS_S, "+Inf"), latency.counts, strict=True):
            reached += count
            buckets.set({**labels, "le": str(bound)}, reached)
        sums.set(labels, latency.total_s)


def gauges_of(daemon: RoutingDaemon, now: Seconds) -> dict[str, tuple[str, float]]:
    """Return the present values of a router, each with what it means."""
    load = daemon.gate.load
    table = daemon.own_table()
    held = sum(span.size for span in table.owned_by(daemon.me)) if table else 0
    age_s = min(daemon.lease.age_s(now), 1e9)
    budgets = daemon.entrance.budget_by_service.values()
    return {
        "ready": ("Whether callers are taken.", float(daemon.is_ready())),
        "directory_age_seconds": ("Time since all of it was known.", age_s),
        "keys_owned": ("Keys that the table gives the own target.", float(held)),
        "orders_running": ("Requests at the target.", float(load.running)),
        "orders_waiting": ("Requests that wait for it.", float(load.waiting)),
        "orders_limit": ("Requests that it gets at a time.", float(load.slots)),
        "utilization": (
            "Slots needed by requests by key, over those there are.",
            daemon.balancer.own_load(now).utilization,
        ),
        "requests_in_flight": ("No outcome yet.", float(daemon.entrance.in_flight)),
        "retry_budget_left": (
            "Repeats left over all services.",
            float(sum(budget.left for budget in budgets)),
        ),
        "peer_frames_rejected": (
            "Could not be read.",
            float(daemon.links.rejected + daemon.sessions.rejected),
        ),
        "log_lines_dropped": ("For want of room.", float(daemon.log.dropped)),
    }
