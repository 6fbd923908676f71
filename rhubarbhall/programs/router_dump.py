"""State of one router, served to operators as JSON."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.key_table import Span
    from rhubarbhall.core.traffic.crash_suspects import CrashSuspects, SuspectRecord
    from rhubarbhall.programs.routing_daemon import RoutingDaemon
    from rhubarbhall.types import Seconds

#: Largest directory age that is shown, in seconds; an unknown age is infinite, which
#: JSON cannot hold.
_MAX_AGE_S = 9e9


class RouterDump(msgspec.Struct, frozen=True):
    """What a router knows of itself, its peers and its key table at one moment.

    Operators and their tools read the fields by name.
    """

    vm: str
    address: str
    service: str
    ready: bool
    configuration: int | None
    store_epoch: int
    #: Whether the key table is not in the store yet, after a restore.
    restoring: bool
    directory_end: int
    directory_age_s: float
    lease_left_s: float
    run: str
    target_state: str
    gate_closed: str | None
    running: int
    waiting: int
    limit: int
    #: Requests per second that the target takes; null without a limit.
    rate_limit: float | None
    utilization: float
    in_flight: int
    members: dict[str, str]
    spans: list[dict[str, Any]]
    retry_budget_left: dict[str, float]
    #: Requests under which targets have ended, those that are rejected first.
    crash_suspects: list[dict[str, Any]]
    #: Failure domains that operators have evacuated; null until it is known.
    evacuated: list[str] | None


def _span_fields(span: Span) -> dict[str, Any]:
    return {
        "first": span.first,
        "last": span.last,
        "owner": span.owner,
        "fence": span.fence,
        "previous": span.previous,
        "previous_lost": span.previous_lost,
    }


def _suspect_fields(
    suspects: CrashSuspects, record: SuspectRecord, now: Seconds
) -> dict[str, Any]:
    standing = suspects.standing_of(now, record.fingerprint)
    return {
        "fingerprint": record.fingerprint.hex(),
        "standing": standing.name.lower(),
        "ended_runs": len(record.ended_runs),
        "age_s": round(record.age_s, 3),
    }


def dump_router(daemon: RoutingDaemon, now: Seconds) -> RouterDump:
    """Return the present state of a router; `now` is the time on its clock."""
    table = daemon.local_table()
    routing = daemon.request_router.routing
    load = daemon.admission_queue.load
    return RouterDump(
        vm=daemon.settings.vm,
        address=daemon.local_address,
        service=daemon.settings.service,
        ready=daemon.is_ready(),
        configuration=routing.version if routing else None,
        store_epoch=daemon.directory.epoch,
        restoring=daemon.directory.is_restoring(daemon.settings.service),
        directory_end=daemon.directory.end,
        directory_age_s=round(min(daemon.read_lease.age_s(now), _MAX_AGE_S), 3),
        lease_left_s=round(max(0.0, daemon.lease_remaining_s(now)), 3),
        run=daemon.target_keys.run,
        target_state=str(daemon.target_keys.state(now)),
        gate_closed=daemon.admission_queue.closed_reason,
        running=load.running,
        waiting=load.waiting,
        limit=load.slots,
        rate_limit=load.rate,
        utilization=round(daemon.balancer.local_load(now).utilization, 3),
        in_flight=daemon.request_router.in_flight,
        members={
            address: f"{member.service} {member.state} {member.run}"
            for address, member in sorted(daemon.directory.member_by_address.items())
        },
        spans=[_span_fields(span) for span in table.spans] if table else [],
        retry_budget_left={
            service: round(budget.left, 2)
            for service, budget in daemon.request_router.budget_by_service.items()
        },
        crash_suspects=[
            _suspect_fields(daemon.suspects, record, now)
            for record in daemon.suspects.records(now)
        ],
        evacuated=(
            sorted(daemon.evacuations.state.domains)
            if daemon.evacuations.is_known
            else None
        ),
    )
