"""Finds entries of a configuration that cannot work, before it is sent to daemons.

Each check passes over the entries once, so the time grows with their number only.
"""

from __future__ import annotations

import enum
import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhall.core.traffic.body_budget import BODY_SHARE
from rhubarbhall.core.traffic.routes import CallerRules

if TYPE_CHECKING:
    from rhubarbhall.core.traffic.routes import (
        ConfigurationEntries,
        HostRoute,
        ServiceRules,
    )

#: Names of entry types in places; adapters replace them by those of the file.
ROUTE, SERVICE, CALLERS, WHOLE = "route", "service", "callers", ""
_HOST = re.compile(r"[a-z0-9_-]+(\.[a-z0-9_-]+)*")
_BYTES_PER_MB = 1 << 20


class Severity(enum.StrEnum):
    """Whether a configuration should not be sent."""

    ERROR = "error"
    WARNING = "warning"


class FindingKind(enum.StrEnum):
    """What is wrong; the values are stable, for pipelines."""

    INVALID_ENTRY = "invalid_entry"
    UNKNOWN_TYPE = "unknown_type"
    SHADOWED_ROUTE = "shadowed_route"
    UNKNOWN_SERVICE = "unknown_service"
    UNUSED_SERVICE = "unused_service"
    DUPLICATE_NAME = "duplicate_name"
    BAD_PREFIX = "bad_prefix"
    BAD_HOST = "bad_host"
    LATENCY_BEYOND_TIMEOUT = "latency_beyond_timeout"
    NO_POSITIVE_WEIGHT = "no_positive_weight"
    NEGATIVE_WEIGHT = "negative_weight"
    NO_ATTEMPT = "no_attempt"
    ATTEMPTS_BEYOND_BUDGET = "attempts_beyond_budget"
    BODY_BEYOND_MEMORY = "body_beyond_memory"
    BAD_HEADER_LIMIT = "bad_header_limit"
    IDLE_BELOW_TIMEOUT = "idle_below_timeout"
    REGION_WITHOUT_TARGET = "region_without_target"
    REGION_SPELLINGS = "region_spellings"
    WARMUP_INCOMPLETE = "warmup_incomplete"
    VERSION_NOT_ABOVE = "version_not_above"


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing that is wrong with a configuration.

    Parameters
    ----------
    kind : FindingKind
        What is wrong.
    severity : Severity
        Whether the configuration should not be sent.
    type, name, field : str
        Place: type and name of the entry and its field; empty if there is none.
    message : str
        The value and what is allowed.
    """

    kind: FindingKind
    severity: Severity
    type: str
    name: str
    field: str
    message: str


@dataclass(frozen=True, slots=True)
class CheckContext:
    """What a configuration is checked against.

    Parameters
    ----------
    memory_bytes : float
        Memory of the smallest VM.
    retry_ratio : float
        Number of repeats that are allowed per request.
    regions_by_service : mapping, optional
        Regions of the targets of each service; None if the targets are unknown.
    version_in_force : int, optional
        Version in force, if it is known.
    """

    memory_bytes: float
    retry_ratio: float = 0.2
    regions_by_service: Mapping[str, frozenset[str]] | None = None
    version_in_force: int | None = None


def _error(kind: FindingKind, place: tuple[str, str, str], message: str) -> Finding:
    return Finding(kind, Severity.ERROR, *place, message)


def _warning(kind: FindingKind, place: tuple[str, str, str], message: str) -> Finding:
    return Finding(kind, Severity.WARNING, *place, message)


def _check_place_of_route(
    route: HostRoute, first: dict[tuple[str, str], HostRoute]
) -> Iterator[Finding]:
    name, host, prefix = route.name, route.host, route.prefix
    earlier = first.setdefault((host, prefix), route)
    if earlier is not route:
        yield _error(
            FindingKind.SHADOWED_ROUTE,
            (ROUTE, name, "prefix"),
            f"{host!r} {prefix!r} is taken by route {earlier.name!r} before it; "
            "allowed: each host and prefix once",
        )
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield _error(
            FindingKind.BAD_PREFIX,
            (ROUTE, name, "prefix"),
            f"{prefix!r} never matches; allowed: a prefix that begins and ends with /",
        )
    if not _HOST.fullmatch(host):
        yield _error(
            FindingKind.BAD_HOST,
            (ROUTE, name, "host"),
            f"{host!r} never matches; allowed: a host name without port or path",
        )


def _check_limits_of_route(
    route: HostRoute, context: CheckContext
) -> Iterator[Finding]:
    name, timeout_s = route.name, route.timeout_s
    if timeout_s is not None and route.target_latency_s > timeout_s:
        yield _warning(
            FindingKind.LATENCY_BEYOND_TIMEOUT,
            (ROUTE, name, "target_latency_s"),
            f"{route.target_latency_s:g}s; allowed: at most the timeout {timeout_s:g}s",
        )
    weights = [part.weight for part in route.parts]
    if max(weights) <= 0:
        yield _error(
            FindingKind.NO_POSITIVE_WEIGHT,
            (ROUTE, name, "parts"),
            f"weights {weights}; allowed: at least one above 0",
        )
    elif min(weights) < 0:
        yield _warning(
            FindingKind.NEGATIVE_WEIGHT,
            (ROUTE, name, "parts"),
            f"weights {weights}; allowed: 0 or more",
        )
    if route.max_attempts < 1:
        yield _error(
            FindingKind.NO_ATTEMPT,
            (ROUTE, name, "max_attempts"),
            f"{route.max_attempts}; allowed: 1 or more",
        )
    elif route.max_attempts - 1 > context.retry_ratio:
        yield _warning(
            FindingKind.ATTEMPTS_BEYOND_BUDGET,
            (ROUTE, name, "max_attempts"),
            f"{route.max_attempts} would be {route.max_attempts - 1} repeats for each "
            f"request if all used them; covered: {context.retry_ratio:g}",
        )


def _check_services(
    entries: ConfigurationEntries, context: CheckContext, named: frozenset[str]
) -> Iterator[Finding]:
    regions = context.regions_by_service
    defined = {service.name for service in entries.services} | named
    for route in entries.routes:
        for part in route.parts:
            if part.service in defined or (regions and part.service in regions):
                continue
            found = _warning if regions is None else _error
            yield found(
                FindingKind.UNKNOWN_SERVICE,
                (ROUTE, route.name, "parts"),
                f"{part.service!r} has no entry"
                + ("" if regions is None else " and no target")
                + "; allowed: a service of the file or of a target",
            )


def _check_service(service: ServiceRules, used: set[str] | None) -> Iterator[Finding]:
    if used is not None and service.name not in used:
        yield _warning(
            FindingKind.UNUSED_SERVICE,
            (SERVICE, service.name, ""),
            f"no route uses {service.name!r}; allowed: a service that a route names",
        )
    rate = service.warmup_per_s
    if (rate is None) != (service.warmup_s == 0):
        stated = f"{service.warmup_s:g}s and rate {rate}"
        yield _warning(
            FindingKind.WARMUP_INCOMPLETE,
            (SERVICE, service.name, "warmup_s" if rate else "warmup_per_s"),
            f"{stated}; allowed: both a duration and a rate above 0, or neither",
        )


def _check_names(entries: ConfigurationEntries) -> Iterator[Finding]:
    route_names: set[str] = set()
    for route in entries.routes:
        if route.name in route_names:
            yield _warning(
                FindingKind.DUPLICATE_NAME,
                (ROUTE, route.name, ""),
                f"{route.name!r} is the name of an earlier route too; allowed: each "
                "name once, as metrics and logs are kept by name",
            )
        route_names.add(route.name)
    seen: set[str] = set()
    for service in entries.services:
        if service.name in seen:
            yield _warning(
                FindingKind.DUPLICATE_NAME,
                (SERVICE, service.name, ""),
                f"{service.name!r} replaces an earlier entry; allowed: each name once",
            )
        seen.add(service.name)
    if len(entries.callers) > 1:
        yield _warning(
            FindingKind.DUPLICATE_NAME,
            (CALLERS, "", ""),
            f"{len(entries.callers)} entries, of which the last counts; allowed: one",
        )


def _check_regions(
    entries: ConfigurationEntries, regions_by_service: Mapping[str, frozenset[str]]
) -> Iterator[Finding]:
    for route in entries.routes:
        served: set[str] = set()
        for part in route.parts:
            served |= regions_by_service.get(part.service, frozenset())
        for region in sorted(route.permitted_regions - served):
            others = route.permitted_regions & served
            found = _warning if others else _error
            yield found(
                FindingKind.REGION_WITHOUT_TARGET,
                (ROUTE, route.name, "permitted_regions"),
                f"{region!r} has no target of the route's services; allowed: "
                + (", ".join(map(repr, sorted(served))) or "none has any"),
            )


def _check_spellings(
    entries: ConfigurationEntries, regions_by_service: Mapping[str, frozenset[str]]
) -> Iterator[Finding]:
    spelling: dict[str, str] = {}
    for regions in regions_by_service.values():
        spelling.update((each.strip().casefold(), each) for each in regions)
    for route in entries.routes:
        for region in sorted(route.permitted_regions):
            usual = spelling.setdefault(region.strip().casefold(), region)
            if usual != region:
                yield _warning(
                    FindingKind.REGION_SPELLINGS,
                    (ROUTE, route.name, "permitted_regions"),
                    f"{region!r} is spelled {usual!r} elsewhere; allowed: one spelling",
                )


def _check_callers(
    entries: ConfigurationEntries, context: CheckContext
) -> Iterator[Finding]:
    rules = entries.callers[-1] if entries.callers else CallerRules()
    room = BODY_SHARE * context.memory_bytes
    for field, size, kind in (
        ("max_body", rules.max_body, FindingKind.BODY_BEYOND_MEMORY),
        ("max_head", rules.max_head, FindingKind.BAD_HEADER_LIMIT),
    ):
        if size > room:
            yield _error(
                kind,
                (CALLERS, "", field),
                f"{size}; allowed: at most {int(room)}, the share for bodies of "
                f"{context.memory_bytes / _BYTES_PER_MB:g} MB",
            )
    if rules.max_head < 1 or rules.head_timeout_s <= 0:
        field = "max_head" if rules.max_head < 1 else "head_timeout_s"
        yield _error(
            FindingKind.BAD_HEADER_LIMIT,
            (CALLERS, "", field),
            f"{rules.max_head} bytes in {rules.head_timeout_s:g}s; allowed: above 0",
        )
    longest = max(entries.routes, key=lambda each: each.timeout_s or 0.0, default=None)
    if longest is not None and rules.idle_timeout_s < (longest.timeout_s or 0.0):
        yield _warning(
            FindingKind.IDLE_BELOW_TIMEOUT,
            (CALLERS, "", "idle_timeout_s"),
            f"{rules.idle_timeout_s:g}s; allowed: at least the longest timeout, "
            f"{longest.timeout_s:g}s of route {longest.name!r}",
        )


def check_entries(
    entries: ConfigurationEntries,
    context: CheckContext,
    invalid_services: frozenset[str] = frozenset(),
    has_invalid_routes: bool = False,
) -> Iterator[Finding]:
    """Yield what is wrong with entries that daemons take.

    Parameters
    ----------
    entries : ConfigurationEntries
        The entries without errors.
    context : CheckContext
        What they are checked against.
    invalid_services : frozenset of str
        Names of services whose entries have errors; they count as defined.
    has_invalid_routes : bool
        Whether there are routes with errors. The services that they use are unknown,
        so no service is reported as unused.
    """
    version, in_force = entries.version, context.version_in_force
    if version is not None and in_force is not None and version <= in_force:
        yield _error(
            FindingKind.VERSION_NOT_ABOVE,
            (WHOLE, "", "version"),
            f"{version}; allowed: above {in_force}, the version in force",
        )
    first: dict[tuple[str, str], HostRoute] = {}
    used: set[str] = set()
    for route in entries.routes:
        yield from _check_place_of_route(route, first)
        yield from _check_limits_of_route(route, context)
        used.update(part.service for part in route.parts)
    yield from _check_names(entries)
    yield from _check_services(entries, context, invalid_services)
    for service in entries.services:
        yield from _check_service(service, None if has_invalid_routes else used)
    if context.regions_by_service is not None:
        yield from _check_regions(entries, context.regions_by_service)
    yield from _check_spellings(entries, context.regions_by_service or {})
    yield from _check_callers(entries, context)
