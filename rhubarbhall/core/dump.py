"""The state of one daemon, for operators and for ``rhubarb-ctl``.

The dump is sent as JSON; the field names of the types below are its keys.
"""

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
    """A live member, according to this daemon's directory.

    Parameters
    ----------
    member : str
        Member id.
    calls, peers : str
        Addresses at which the member takes requests and datagrams of peers.
    region, domain : str
        Region and failure domain.
    labels : dict
        Labels of its target.
    checks_grants : bool
        Whether its target checks the grant that comes with each order.
    retiring : bool
        Whether it is about to leave and gets no new work.
    witnesses : tuple of str
        Member ids of its witnesses.
    slices : int
        Number of slices that it owns.
    """

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
    name : str
        Name of the service.
    keyed : bool
        Whether each key has one owner.
    slices : int
        Number of slices that the keys are divided into.
    hot_keys : dict
        Member id of the owner by key, for keys with a slice of their own; ``""`` if
        the slice has no owner.
    owners : dict
        Number of slices by member id of the owner; slices without an owner are under
        ``""``.
    imbalance : float
        Largest number of slices of one owner, divided by the mean over the members that
        may own slices; 0 if there is none.
    """

    name: str
    keyed: bool
    slices: int
    hot_keys: dict[str, str]
    owners: dict[str, int]
    imbalance: float


class AdmissionDump(msgspec.Struct, frozen=True):
    """Slots and queues of one service at the local target.

    Parameters
    ----------
    limit : int
        Present concurrency limit.
    running : int
        Number of running requests.
    long_running : int
        Number of running requests that count as long work.
    waiting : int
        Number of waiting requests.
    """

    limit: int
    running: int
    long_running: int
    waiting: int


class TakeOverDump(msgspec.Struct, frozen=True):
    """A slice that the local member is taking over.

    Parameters
    ----------
    slice : str
        Service and index of the slice.
    waits_for : tuple of str
        Member ids of the former owners that have not released the slice yet.
    waits_s : float
        Time for which orders of a former owner may still have effects, in seconds; 0 if
        that time has passed or no wait is needed.
    """

    slice: str
    waits_for: tuple[str, ...]
    waits_s: float


class NodeDump(msgspec.Struct, frozen=True):
    """State of one daemon.

    Parameters
    ----------
    member : str
        Member id of this run.
    joined : bool
        Whether the run is a live member.
    stage : str
        Stage of the planned stop.
    region, domain : str
        Region and failure domain.
    calls, peers : str
        Addresses at which the daemon takes requests and datagrams of peers.
    next_offset : int
        Offset of the first record of the log that was not read yet.
    intent_version : int
        Version of the intent in force.
    outdated : bool
        Whether the log has a record of a schema newer than the daemon's own.
    lease_held : bool
        Whether the member holds its lease.
    lease_left_s : float
        Time until the lease lapses, in seconds; below 0 once it has lapsed and 0 if it
        was never held.
    log_contact_age_s : float, optional
        Time since the last contact with the log, in seconds; none before the first one.
    appends_pending : int
        Number of appended records whose verdict is not known yet.
    served : tuple of str
        Slices that the member serves while it holds its lease.
    taking_over : tuple of TakeOverDump
        Slices that it is taking over.
    releasing : tuple of str
        Slices that were moved away but still have orders in flight.
    watched : tuple of str
        Member ids of the members whose leases it renews as a witness.
    requests_in_flight : int
        Number of requests that have no answer yet.
    forwarded : int
        Number of times that a request was forwarded to another daemon.
    outcomes : dict
        Number of answers by error kind or ``"answered"``.
    admissions : dict
        Slots and queues of the local target by service.
    services : tuple of ServiceDump
        Services of the intent.
    members : tuple of MemberDump
        Live members.
    """

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
    """Return the state of `node` at the time `now` of its monotonic clock."""
    context = node.context
    directory = context.directory
    return NodeDump(
        member=context.member_id,
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
        lease_left_s=_round_finite(node.lease.held_until() - now) or 0.0,
        log_contact_age_s=_round_finite(now - context.log_contact_at),
        appends_pending=node.appender.pending,
        served=tuple(sorted(map(str, node.ownership.served))),
        taking_over=_dump_take_overs(node, now),
        releasing=tuple(sorted(map(str, node.ownership.releasing))),
        watched=tuple(sorted(node.witness.watched)),
        requests_in_flight=node.router.in_flight,
        forwarded=node.router.forwarded,
        outcomes=dict(sorted(node.router.outcomes_by_kind.items())),
        admissions={
            name: AdmissionDump(
                each.limit.value, each.running, each.long_running, each.waiting
            )
            for name, each in sorted(node.order_dispatcher.admissions.items())
        },
        services=tuple(_dump_services(directory)),
        members=tuple(_dump_members(directory)),
    )


def _round_finite(value: float) -> float | None:
    """Round to milliseconds; JSON has no infinity, so return none for it."""
    return round(value, 3) if math.isfinite(value) else None


def _dump_take_overs(node: Node, now: Seconds) -> tuple[TakeOverDump, ...]:
    return tuple(
        TakeOverDump(
            str(ref),
            waits_for,
            max(0.0, round((node.ownership.takeover_not_before(ref) or now) - now, 3)),
        )
        for ref, waits_for in sorted(
            node.ownership.taking_over.items(), key=lambda item: str(item[0])
        )
    )


def _slice_counts(directory: Directory) -> dict[str, dict[str, int]]:
    """Return the number of slices by service and owner, ``""`` for no owner."""
    counts: dict[str, dict[str, int]] = {}
    for name, table in directory.table_by_service.items():
        counts[name] = {}
        for number in set(table.owners) - {NOT_IN_USE}:
            owner = "" if number == NO_OWNER else directory.id_by_number[number]
            counts[name][owner] = table.owners.count(number)
    return counts


def _dump_services(directory: Directory) -> list[ServiceDump]:
    counts = _slice_counts(directory)
    services = []
    for name, service in sorted(directory.intent.services.items()):
        owners = counts.get(name, {})
        eligible = len(directory.pool(name, witnessed=False))
        largest = max((n for owner, n in owners.items() if owner), default=0)
        mean = service.slices / eligible if eligible else 0.0
        services.append(
            ServiceDump(
                name,
                service.keyed,
                service.slices,
                _hot_key_owners(directory, name),
                dict(sorted(owners.items())),
                round(largest / mean, 3) if mean else 0.0,
            )
        )
    return services


def _hot_key_owners(directory: Directory, name: str) -> dict[str, str]:
    table = directory.table_by_service.get(name)
    if table is None:
        return {}
    return {
        key: directory.owner_of(name, index) or ""
        for key, index in table.index_by_hot_key.items()
    }


def _dump_members(directory: Directory) -> list[MemberDump]:
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
