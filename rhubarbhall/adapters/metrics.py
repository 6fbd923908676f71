"""Metrics of one daemon in the text format of Prometheus.

The values are read from the core whenever the metrics are requested.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus import Counter, Gauge, Registry
from aioprometheus.renderer import render

if TYPE_CHECKING:
    from rhubarbhall.adapters.datagrams import DatagramPort
    from rhubarbhall.core.node import Node
    from rhubarbhall.types import Seconds


class DaemonMetrics:
    """Renders the metrics of a daemon.

    Parameters
    ----------
    node : Node
        The core of the daemon.
    datagrams : DatagramPort
        The port of the daemon for datagrams.
    """

    def __init__(self, node: Node, datagrams: DatagramPort) -> None:
        self._node = node
        self._datagrams = datagrams
        self._registry = Registry()
        self._requests = self._add(
            Counter, "requests_total", "Answers given to callers, by kind."
        )
        self._forwarded = self._add(
            Counter, "forwarded_total", "Requests passed to other daemons."
        )
        self._datagram_count = self._add(
            Counter, "datagrams_total", "Datagrams, by direction."
        )
        self._gauge_by_name = {
            name: self._add(Gauge, name, help_text)
            for name, help_text in _GAUGE_HELP.items()
        }
        self._running = self._add(
            Gauge, "orders_running", "Orders at the target, by service."
        )
        self._waiting = self._add(
            Gauge,
            "orders_waiting",
            "Requests that wait, by service.",
        )
        self._limit = self._add(
            Gauge,
            "orders_limit",
            "Orders allowed at once, by service.",
        )

    def _add(self, kind: type, name: str, help_text: str) -> Counter | Gauge:
        return kind(f"rhubarb_{name}", help_text, registry=self._registry)

    def render(self, now: Seconds) -> tuple[bytes, str]:
        """Return the text of all metrics and its media type."""
        self._collect(now)
        body, headers = render(self._registry, ["text/plain"])
        return body, headers["Content-Type"]

    def _collect(self, now: Seconds) -> None:
        node = self._node
        for kind, count in node.router.outcomes_by_kind.items():
            self._requests.set({"kind": kind}, count)
        self._forwarded.set({}, node.router.forwarded)
        for direction in ("sent", "received", "rejected"):
            count = getattr(self._datagrams, direction)
            self._datagram_count.set({"direction": direction}, count)
        for name, value in _gauges(node, now).items():
            self._gauge_by_name[name].set({}, value)
        for service, admission in node.order_dispatcher.admissions.items():
            labels = {"service": service}
            self._running.set(labels, admission.running)
            self._waiting.set(labels, admission.waiting)
            self._limit.set(labels, admission.limit.value)


_GAUGE_HELP = {
    "lease_held": "Whether the member may serve (1) or not (0).",
    "slices_served": "Slices that the member serves.",
    "slices_taking_over": "Slices that wait for a former owner.",
    "members": "Live members in the directory.",
    "next_offset": "Offset of the next record to apply.",
    "intent_version": "Version of the intent in force.",
    "log_contact_age_seconds": "Age of the last contact with the log.",
    "requests_in_flight": "Requests without an answer.",
    "appends_pending": "Appends without a verdict.",
}
#: Time in seconds that is reported while there was no contact with the log yet.
_NO_CONTACT_AGE_S = 1e9


def _gauges(node: Node, now: Seconds) -> dict[str, float]:
    context = node.context
    directory = context.directory
    return {
        "lease_held": int(node.lease.is_held(now)),
        "slices_served": len(node.ownership.served),
        "slices_taking_over": len(node.ownership.taking_over),
        "members": len(directory.member_by_id),
        "next_offset": directory.next_offset,
        "intent_version": directory.intent_version,
        "log_contact_age_seconds": min(now - context.log_contact_at, _NO_CONTACT_AGE_S),
        "requests_in_flight": node.router.in_flight,
        "appends_pending": node.appender.pending,
    }
