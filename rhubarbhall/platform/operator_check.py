"""Checks the operators' configuration, with places in the platform's names."""

from __future__ import annotations

from dataclasses import dataclass, replace

from rhubarbhall.core.traffic.configuration_changes import configuration_changes
from rhubarbhall.core.traffic.configuration_check import (
    CALLERS,
    ROUTE,
    SERVICE,
    CheckContext,
    Finding,
    FindingKind,
    Severity,
    check_entries,
)
from rhubarbhall.core.traffic.routes import RoutingTable
from rhubarbhall.platform.operator import (
    KNOWN_TYPES,
    LIMITS,
    ROUTES,
    SERVICES,
    ConfigurationReading,
    read_configuration,
)

_TYPES = {ROUTE: ROUTES, SERVICE: SERVICES, CALLERS: LIMITS}
_FIELDS = {
    "host": "hostname",
    "prefix": "path_prefix",
    "parts": "traffic_split",
    "target_latency_s": "target_latency",
    "max_head": "max_header_bytes",
    "max_body": "max_body_bytes",
    "permitted_regions": "allowed_regions",
    "head_timeout_s": "header_timeout",
    "idle_timeout_s": "idle_timeout",
    "warmup_s": "warmup",
    "by_key": "sharded",
}


@dataclass(frozen=True, slots=True)
class CheckReport:
    """The result of a check.

    Parameters
    ----------
    findings : tuple of Finding
        What is wrong, with the platform's types and fields.
    changes : dict, optional
        Differences from the version in force, by group; None if they are unknown.
    """

    findings: tuple[Finding, ...]
    changes: dict[str, list[str]] | None = None

    @property
    def has_errors(self) -> bool:
        """Whether the configuration should not be sent."""
        return any(each.severity is Severity.ERROR for each in self.findings)


def _reading_findings(reading: ConfigurationReading) -> list[Finding]:
    kinds, error = FindingKind, Severity.ERROR
    allowed = ", ".join(KNOWN_TYPES)
    return [
        Finding(
            kinds.INVALID_ENTRY, error, at.resource_type, at.name, at.field, at.reason
        )
        for at in reading.errors
    ] + [
        Finding(
            kinds.UNKNOWN_TYPE,
            error,
            kind,
            name,
            "resource_type",
            f"{kind!r} is ignored by daemons; allowed: {allowed}",
        )
        for kind, name in reading.unknown
    ]


def check_configuration(
    data: bytes, context: CheckContext, in_force: RoutingTable | None = None
) -> CheckReport:
    """Check a configuration and compare it with the one in force, if that is known.

    A configuration that daemons reject is not compared.
    """
    reading = read_configuration(data)
    findings = _reading_findings(reading)
    if in_force is not None:
        context = replace(context, version_in_force=in_force.version)
    invalid = {(each.resource_type, each.name) for each in reading.errors}
    found = check_entries(
        reading.entries,
        context,
        frozenset(name for kind, name in invalid if kind == SERVICES),
        any(kind in (ROUTES, "") for kind, _name in invalid),
    )
    findings += [
        replace(
            each,
            type=_TYPES.get(each.type, each.type),
            field=_FIELDS.get(each.field, each.field),
        )
        for each in found
    ]
    changes = None
    if in_force is not None and not reading.errors:
        changes = configuration_changes(
            in_force, reading.entries.routing_table(), _FIELDS
        )
    return CheckReport(tuple(findings), changes)
