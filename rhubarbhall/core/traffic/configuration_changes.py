"""Compares two configurations, grouped by what changes for callers.

Routes are the same if they have the same host and prefix.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import fields
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from rhubarbhall.core.traffic.routes import HostRoute, RoutingTable, ServiceRules

#: Groups whose values are compared as they are, and the attributes of a route.
_ATTRIBUTE_BY_GROUP = {
    "timeouts": "timeout_s",
    "latency_targets": "target_latency_s",
    "attempts": "max_attempts",
    "priorities": "priority",
    "idempotency": "idempotent",
}


def _effective(table: RoutingTable) -> dict[tuple[str, str], HostRoute]:
    routes: dict[tuple[str, str], HostRoute] = {}
    for route in table.routes:
        routes.setdefault((route.host, route.prefix), route)
    return routes


def _instead(table: RoutingTable, route: HostRoute) -> str | None:
    """Return the name of the route that gets the requests of one that is not there."""
    other = table.match(route.host, route.prefix)
    return None if other is None else other.name


def _text(name: str, value: object) -> str:
    is_duration = name.endswith("_s") and not name.endswith("_per_s")
    if is_duration and isinstance(value, float):
        return f"{value:g}s"
    return "none" if value is None else str(value)


def _fields(old: Any, new: Any, names: Mapping[str, str]) -> str:
    """Return the fields in which two data classes differ, with both values."""
    changed = (
        (each.name, getattr(old, each.name), getattr(new, each.name))
        for each in fields(old)
    )
    return ", ".join(
        f"{names.get(name, name)} {_text(name, before)} -> {_text(name, after)}"
        for name, before, after in changed
        if before != after
    )


def _service_change(
    old: ServiceRules | None, new: ServiceRules | None, names: Mapping[str, str]
) -> str:
    if old is None:
        return "added"
    return "removed" if new is None else _fields(old, new, names)


def _shares(route: HostRoute) -> str:
    return " ".join(f"{part.service}:{part.weight}" for part in route.parts)


def _route_changes(old: HostRoute, new: HostRoute) -> list[tuple[str, str]]:
    """Return the groups in which a route differs, with both values."""
    changes = []
    if {part.service for part in old.parts} != {part.service for part in new.parts}:
        changes.append(("moved_to_services", f"{_shares(old)} -> {_shares(new)}"))
    elif old.parts != new.parts:
        changes.append(("split_shares", f"{_shares(old)} -> {_shares(new)}"))
    for group, name in _ATTRIBUTE_BY_GROUP.items():
        before, after = getattr(old, name), getattr(new, name)
        if before != after:
            changes.append((group, f"{_text(name, before)} -> {_text(name, after)}"))
    if old.permitted_regions != new.permitted_regions:
        texts = (
            ",".join(sorted(each.permitted_regions)) or "all" for each in (old, new)
        )
        changes.append(("regions", " -> ".join(texts)))
    return changes


def configuration_changes(
    old: RoutingTable, new: RoutingTable, names: Mapping[str, str]
) -> dict[str, list[str]]:
    """Return one line for each difference, by group; groups without any are absent.

    Parameters
    ----------
    old, new : RoutingTable
        The configuration in force and the new one.
    names : mapping
        Names of fields in the file, by attribute; others are the same.
    """
    changes: dict[str, list[str]] = {}

    def add(group: str, line: str) -> None:
        changes.setdefault(group, []).append(line)

    old_routes, new_routes = _effective(old), _effective(new)
    for place, route in new_routes.items():
        label = f"{route.name} ({route.host}{route.prefix})"
        if place in old_routes:
            for group, text in _route_changes(old_routes[place], route):
                add(group, f"{label}: {text}")
        else:
            earlier = _instead(old, route)
            add("routes_added", label + (f": before {earlier}" if earlier else ""))
    for place, route in old_routes.items():
        if place not in new_routes:
            other = _instead(new, route)
            result = f"served by {other}" if other else "callers get 404"
            add(
                "routes_removed", f"{route.name} ({route.host}{route.prefix}): {result}"
            )
    if old.callers != new.callers:
        add("caller_limits", _fields(old.callers, new.callers, names))
    before, after = old.services_by_name, new.services_by_name
    for name in sorted(before.keys() | after.keys()):
        was, becomes = before.get(name), after.get(name)
        if was != becomes:
            add("services", f"{name}: {_service_change(was, becomes, names)}")
    return changes
