"""Log lines and metrics on requests.

Each line says where a request was sent or how it ended, with the versions of the
directory and the configuration that the decision was based on.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhall.adapters.log_writer import write_log_event
from rhubarbhall.core.commands import LogEvent
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.traffic.requests import Answered, NotRun
from rhubarbhall.programs.router_metrics import RouterMetrics

if TYPE_CHECKING:
    from rhubarbhall.core.traffic.pending_requests import PendingRequest
    from rhubarbhall.core.traffic.requests import Outcome, RoutedRequest
    from rhubarbhall.programs.routing_daemon import RoutingDaemon
    from rhubarbhall.types import Seconds

#: Lowest HTTP status of a server error.
_FIRST_SERVER_ERROR = 500


def _outcome_fields(outcome: Outcome) -> dict[str, object]:
    if isinstance(outcome, Answered):
        return {"outcome": "answered", "status": outcome.status}
    if isinstance(outcome, NotRun):
        retry_after_s = round(outcome.retry_after_s, 3)
        fields = {"outcome": "not_run", "kind": str(outcome.kind)}
        return {**fields, "retry_after_s": retry_after_s}
    return {"outcome": "unknown", "kind": str(outcome.kind)}


def _outcome_labels(outcome: Outcome) -> tuple[str, str]:
    """Return the outcome, and its error kind or else status, as metric labels."""
    fields = _outcome_fields(outcome)
    return str(fields["outcome"]), str(fields.get("kind", fields.get("status")))


def _is_ordinary(outcome: Outcome) -> bool:
    """Return whether an outcome is expected and needs no explanation."""
    if isinstance(outcome, Answered):
        return outcome.status < _FIRST_SERVER_ERROR
    return outcome.kind is ErrorKind.CALLER_GONE


class RouterRequestLog:
    """Logs what a daemon decides on requests, and counts the outcomes.

    Parameters
    ----------
    vm : str
        Name of the VM.
    daemon : RoutingDaemon
        Daemon whose directory, leases and target the log lines describe.
    """

    def __init__(self, vm: str, daemon: RoutingDaemon) -> None:
        self._vm = vm
        self._daemon = daemon
        self.metrics = RouterMetrics()

    def sent(self, now: Seconds, pending: PendingRequest) -> None:
        """Log where a request was sent again, and what that decision was based on."""
        if pending.sends == 1:
            # The line on the outcome also names the daemon that was tried first.
            return
        self._write(LogEvent(511, self._sent_fields(now, pending)))

    def _sent_fields(self, now: Seconds, pending: PendingRequest) -> dict[str, object]:
        daemon = self._daemon
        request = pending.request
        fields = {
            "request": request.id,
            "to": pending.current_address,
            "attempt": pending.sends,
            "left_s": round(request.deadline - now, 3),
            "directory": daemon.directory.end,
            "directory_age_s": round(min(daemon.read_lease.age_s(now), 9e9), 3),
        }
        if pending.span is not None:
            fields["key"] = request.key
            fields["fence"] = pending.span.fence
        return fields

    def ended(self, now: Seconds, pending: PendingRequest, outcome: Outcome) -> None:
        """Log and count the outcome that a caller gets."""
        daemon = self._daemon
        request = pending.request
        took_s = now - pending.began_at
        self.metrics.outcomes[(request.service, *_outcome_labels(outcome))] += 1
        self.metrics.record_latency(request.service, "whole", took_s)
        routing = daemon.request_router.routing
        fields = {
            "request": request.id,
            "route": request.route,
            "service": request.service,
            **_outcome_fields(outcome),
            "took_s": round(took_s, 4),
            "tries": pending.sends,
            "tried": sorted(pending.tried),
            "configuration": routing.version if routing else None,
            "directory": daemon.directory.end,
            "directory_age_s": round(min(daemon.read_lease.age_s(now), 9e9), 3),
        }
        if pending.span is not None:
            fields["key"] = request.key
            fields["fence"] = pending.span.fence
        fields["ordinary"] = _is_ordinary(outcome) and pending.sends == 1
        self._write(LogEvent(512, fields))

    def record_local_outcome(self, request: RoutedRequest, outcome: Outcome) -> None:
        """Log and count the outcome of a peer's request at the local target."""
        load = self._daemon.admission_queue.load
        self.metrics.local_outcomes[_outcome_labels(outcome)] += 1
        fields = {
            "request": request.id,
            "run": self._daemon.target_keys.run,
            **_outcome_fields(outcome),
            "running": load.running,
            "waiting": load.waiting,
            "limit": load.slots,
            "ordinary": _is_ordinary(outcome),
        }
        self._write(LogEvent(513, fields))

    def record_local_durations(
        self, service: str, queue_s: Seconds, target_s: Seconds
    ) -> None:
        """Record how long a request was queued and how long the target worked on it."""
        self.metrics.record_latency(service, "queue", queue_s)
        self.metrics.record_latency(service, "target", target_s)

    def _write(self, event: LogEvent) -> None:
        write_log_event(self._vm, event)
