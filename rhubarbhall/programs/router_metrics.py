"""Counters and latencies of one router, and their rendering for Prometheus.

They are kept as plain numbers. ``aioprometheus`` renders them and is imported only when
metrics are first requested: it takes 11 MB in each daemon, about a third of the memory
that a daemon needs.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.adapters.peer_traffic import PeerTraffic
    from rhubarbhall.programs.routing_daemon import RoutingDaemon
    from rhubarbhall.types import Seconds

#: Upper bounds of the buckets of a latency histogram, in seconds.
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 3.0, 5.0)


class LatencyHistogram:
    """Histogram of a latency.

    Parameters
    ----------
    counts : list of int
        Number of samples in each bucket of `BUCKETS_S`, and a last one without a bound.
    total_s : float
        Sum of all samples, in seconds.
    """

    __slots__ = ("counts", "total_s")

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.total_s: Seconds = 0.0

    def record(self, took_s: Seconds) -> None:
        """Add a sample, in seconds."""
        self.counts[bisect_left(BUCKETS_S, took_s)] += 1
        self.total_s += took_s


class RouterMetrics:
    """Counters and latency histograms of one router."""

    def __init__(self) -> None:
        #: Outcomes that callers got, by service, outcome and error kind or status.
        self.outcomes: Counter[tuple[str, str, str]] = Counter()
        #: Outcomes of peers' requests at the local target, by outcome and error kind or
        #: status.
        self.local_outcomes: Counter[tuple[str, str]] = Counter()
        #: Requests refused for lack of room, by stage.
        self.refusals: Counter[str] = Counter()
        #: Requests at the local target whose caller was refused before, by result.
        self.returns: Counter[str] = Counter()
        #: Calls to the store, by method and type of the result.
        self.store_calls: Counter[tuple[str, str]] = Counter()
        #: Bytes of the store's calls, by method and direction.
        self.store_bytes: Counter[tuple[str, str]] = Counter()
        #: Latencies by service and stage: ``whole`` (until the caller has its outcome),
        #: ``queue`` (wait for the local target) or ``target`` (its work).
        self.latency_by_stage: dict[tuple[str, str], LatencyHistogram] = {}

    def record_latency(self, service: str, stage: str, took_s: Seconds) -> None:
        """Add a latency sample of a stage, in seconds."""
        latency = self.latency_by_stage.get((service, stage))
        if latency is None:
            latency = self.latency_by_stage[service, stage] = LatencyHistogram()
        latency.record(took_s)


_COUNTERS = (
    ("requests_total", "Outcomes that callers got.", ("service", "outcome", "kind")),
    ("orders_total", "Outcomes at the own gate.", ("outcome", "kind")),
    ("refusals_total", "Refused for lack of room.", ("stage",)),
    ("returns_total", "Requests of callers refused before.", ("result",)),
    ("store_calls_total", "Calls to the store.", ("call", "result")),
    (
        "store_bytes_total",
        "Bytes of the store's calls, without headers.",
        ("call", "direction"),
    ),
    (
        "peer_messages_total",
        "Frames sent to other daemons.",
        ("frame", "scope"),
    ),
    (
        "peer_bytes_total",
        "Bytes of frames sent to other daemons, as compressed.",
        ("frame", "scope"),
    ),
)


def render_metrics(
    metrics: RouterMetrics,
    gauges: dict[str, tuple[str, float]],
    peer_traffic: PeerTraffic,
) -> tuple[str, bytes]:
    """Return the media type and the text of all metrics for a scraper.

    Parameters
    ----------
    metrics : RouterMetrics
        Counters and latencies.
    gauges : dict of str to (str, float)
        Help text and present value of each gauge, by name.
    peer_traffic : PeerTraffic
        What was sent to peers.
    """
    from aioprometheus import Counter as Metric, Gauge, Registry
    from aioprometheus.renderer import render

    registry = Registry()
    refusals = {(stage,): count for stage, count in metrics.refusals.items()}
    returns = {(result,): count for result, count in metrics.returns.items()}
    messages, sizes = Counter(), Counter()
    for frame, scope, number, size in peer_traffic.rows():
        messages[frame, scope], sizes[frame, scope] = number, size
    counts = (
        metrics.outcomes,
        metrics.local_outcomes,
        refusals,
        returns,
        metrics.store_calls,
        metrics.store_bytes,
        messages,
        sizes,
    )
    for (name, text, labels), by_labels in zip(_COUNTERS, counts, strict=True):
        metric = Metric(f"rhubarb_{name}", text, registry=registry)
        for values, count in by_labels.items():
            metric.set(dict(zip(labels, values, strict=True)), count)
    _render_latencies(metrics, Metric, registry)
    for name, (text, value) in gauges.items():
        Gauge(f"rhubarb_{name}", text, registry=registry).set({}, value)
    body, headers = render(registry, ["text/plain"])
    return headers["Content-Type"], body


def _render_latencies(metrics: RouterMetrics, metric_type, registry) -> None:
    buckets = metric_type(
        "rhubarb_latency_seconds_bucket",
        "Requests that took no longer than the bound, by service and stage.",
        registry=registry,
    )
    sums = metric_type(
        "rhubarb_latency_seconds_sum", "Sum of the latencies.", registry=registry
    )
    for (service, stage), latency in metrics.latency_by_stage.items():
        labels = {"service": service, "stage": stage}
        cumulative = 0
        for bound, count in zip((*BUCKETS_S, "+Inf"), latency.counts, strict=True):
            cumulative += count
            buckets.set({**labels, "le": str(bound)}, cumulative)
        sums.set(labels, latency.total_s)


def gauges_of(daemon: RoutingDaemon, now: Seconds) -> dict[str, tuple[str, float]]:
    """Return the help text and present value of each gauge of a router, by name."""
    load = daemon.admission_queue.load
    table = daemon.local_table()
    owned = (
        sum(span.size for span in table.owned_by(daemon.local_address)) if table else 0
    )
    age_s = min(daemon.read_lease.age_s(now), 1e9)
    budgets = daemon.request_router.budget_by_service.values()
    return {
        "ready": (
            "Whether callers are taken.",
            float(daemon.is_ready()),
        ),
        "directory_age_seconds": (
            "Time since all of it was known.",
            age_s,
        ),
        "store_epoch": (
            "Restores of the store from an older copy.",
            float(daemon.directory.epoch),
        ),
        "keys_owned": (
            "Keys that the table gives the local target.",
            float(owned),
        ),
        "body_bytes": (
            "Bytes of bodies that are held.",
            float(daemon.body_budget.used),
        ),
        "callers_yielded": (
            "Connections of callers closed or refused for the room they took.",
            float(daemon.callers.yielded),
        ),
        "orders_running": (
            "Requests at the target.",
            float(load.running),
        ),
        "orders_waiting": (
            "Requests that wait for it.",
            float(load.waiting),
        ),
        "orders_limit": (
            "Requests that it gets at a time.",
            float(load.slots),
        ),
        "target_rate_limit": (
            "Requests a second that the target takes; 0 without a limit.",
            load.rate or 0.0,
        ),
        "target_cold": (
            "Whether the target gets requests at the pace of its warm-up.",
            float(daemon.admission_queue.warmup.is_cold(now)),
        ),
        "target_slowdown": (
            "Duration of work on the target's machine over the usual one.",
            daemon.admission_queue.slowdown.at(now),
        ),
        "utilization": (
            "Slots needed by requests by key, over those there are.",
            daemon.balancer.local_load(now).utilization,
        ),
        "requests_in_flight": (
            "No outcome yet.",
            float(daemon.request_router.in_flight),
        ),
        "crash_suspects": (
            "Requests under which targets have ended.",
            float(len(daemon.suspects)),
        ),
        "rejected_requests": (
            "Of these, those that are not sent to targets any more.",
            float(daemon.suspects.rejected(now)),
        ),
        "evacuated_domains": (
            "Failure domains that operators have evacuated.",
            float(len(daemon.evacuations.state.domains)),
        ),
        "far_window": (
            "Requests that may be under way to the far service that takes least.",
            daemon.chooser.far_targets.smallest_window(now),
        ),
        "retry_budget_left": (
            "Repeats left over all services.",
            float(sum(budget.left for budget in budgets)),
        ),
        "peer_frames_rejected": (
            "Could not be read.",
            float(daemon.links.rejected + daemon.sessions.rejected),
        ),
        "log_lines_dropped": (
            "For want of room.",
            float(daemon.log.dropped),
        ),
    }
