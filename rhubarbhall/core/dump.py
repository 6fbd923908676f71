"""The state of one daemon, for people and for ``rhubarb-ctl``."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from rhubarbhall.core.slices import NO_OWNER, NOT_IN_USE

if TYPE_CHECKING:
    from rhubarbhall.core.directory import Directory
    from rhubarbhall.core.node import Node
    from rhubarbhall.types import Seconds


class MemberDump(msgspec.Struct, frozen=True):
    """A member as this daemon knows it."""

    member: str
    calls: str
    peers: str
    region: str
    domain: str
    labels: dict[str, str]
    checks_grants: bool
    retiring: bool
    witnesses: tuple[str, ...]
    slices: int


class ServiceDump(msgspec.Struct, frozen=True):
    """A service with its owners.

    Parameters
    ----------
    owners : dict
        Slices by the member that owns them; unowned ones under ``""``.
    hot_keys : dict
        Keys with a slice of their own, and its owner.
    imbalance : float
        Most slices of one owner over the mean.
    """

    name: str
    keyed: bool
    slices: int
    hot_keys: dict[str, str]
    owners: dict[str, int]
    imbalance: float


class AdmissionDump(msgspec.Struct, frozen=True):
    """Slots and queues of one service at the own target."""

    limit: int
    running: int
    long_running: int
    waiting: int


class TakeOverDump(msgspec.Struct, frozen=True):
    """A slice that is being taken over."""

    slice: str
    waits_for: tuple[str, ...]
    waits_s: float


class NodeDump(msgspec.Struct, frozen=True):
    """Everything that an operator may want to know of one daemon."""

    member: str
    joined: bool
    stage: str
    region: str
    domain: str
    calls: str
    peers: str
    next_offset: int
    intent_version: int
    outdated: bool
    lease_held: bool
    lease_left_s: float
    log_contact_age_s: float | None
    appends_pending: int
    served: tuple[str, ...]
    taking_over: tuple[TakeOverDump, ...]
    releasing: tuple[str, ...]
    watched: tuple[str, ...]
    requests_in_flight: int
    forwarded: int
    outcomes: dict[str, int]
    admissions: dict[str, AdmissionDump]
    services: tuple[ServiceDump, ...]
    members: tuple[MemberDump, ...]


def dump_node(node: Node, now: Seconds) -> NodeDump:
    """Return the state of `node` at `now`."""
    context = node.context
    directory = context.directory
    return NodeDump(
        member=context.me,
        joined=context.member is not None,
        stage=node.drain.stage.name.lower(),
        region=context.join.region,
        domain=context.join.domain,
        calls=context.join.calls,
        peers=context.join.peers,
        next_offset=directory.next_offset,
        intent_version=directory.intent_version,
        outdated=context.outdated,
        lease_held=node.lease.is_held(now),
        lease_left_s=_finite(node.lease.held_until() - now) or 0.0,
        log_contact_age_s=_finite(now - context.log_contact_at),
        appends_pending=node.appender.pending,
        served=tuple(sorted(map(str, node.ownership.served))),
        taking_over=_take_overs(node, now),
        releasing=tuple(sorted(map(str, node.ownership.releasing))),
        watched=tuple(sorted(node.witness.watched)),
        requests_in_flight=node.router.in_flight,
        forwarded=node.router.forwarded,
        outcomes=dict(sorted(node.router.outcomes_by_kind.items())),
        admissions={
            name: AdmissionDump(
                each.limit.value, each.running, each.long_running, each.waiting
            )
            for name, each in sorted(node.gate.admissions.items())
        },
        services=tuple(_services(directory)),
        members=tuple(_members(directory)),
    )


def _finite(value: float) -> float | None:
    return round(value, 3) if math.isfinite(value) else None


def _take_overs(node: Node, now: Seconds) -> tuple[TakeOverDump, ...]:
    return tuple(
        TakeOverDump(
            str(ref),
            waits_for,
            max(0.0, round((node.ownership.waits_until(ref) or now) - now, 3)),
        )
        for ref, waits_for in sorted(
            node.ownership.taking_over.items(), key=lambda item: str(item[0])
        )
    )


def _slice_counts(directory: Directory) -> dict[str, dict[str, int]]:
    """Return the count of slices by service and owner."""
    counts: dict[str, dict[str, int]] = {}
    for name, table in directory.table_by_service.items():
        counts[name] = {}
        for number in set(table.owners) - {NOT_IN_USE}:
            owner = "" if number == NO_OWNER else directory.id_by_number[number]
            counts[name][owner] = table.owners.count(number)
    return counts


def _services(directory: Directory) -> list[ServiceDump]:
    counts = _slice_counts(directory)
    services = []
    for name, service in sorted(directory.intent.services.items()):
        owners = counts.get(name, {})
        eligible = len(directory.pool(name, witnessed=False))
        most = max((n for owner, n in owners.items() if owner), default=0)
        mean = service.slices / eligible if eligible else 0.0
        services.append(
            ServiceDump(
                name,
                service.keyed,
                service.slices,
                _hot_keys(directory, name),
                dict(sorted(owners.items())),
                round(most / mean, 3) if mean else 0.0,
            )
        )
    return services


def _hot_keys(directory: Directory, name: str) -> dict[str, str]:
    table = directory.table_by_service.get(name)
    if table is None:
        return {}
    return {
        key: directory.owner_of(name, index) or ""
        for key, index in table.index_by_hot_key.items()
    }


def _members(directory: Directory) -> list[MemberDump]:
    counts = _slice_counts(directory).values()
    return [
        MemberDump(
            member.id,
            member.join.calls,
            member.join.peers,
            member.join.region,
            member.join.domain,
            member.join.labels,
            member.join.checks_grants,
            member.retiring,
            member.witnesses,
            sum(owners.get(member.id, 0) for owners in counts),
        )
        for member in sorted(directory.member_by_id.values(), key=lambda m: m.id)
    ]
