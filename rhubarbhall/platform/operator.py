"""Decodes the operators' configuration, which is kept in the platform's store.

The structs hold the platform's field names; the results are types of the core. Daemons
take a configuration only if it has no errors; the check of a file reports all of them.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated, Any, TypeVar

import msgspec

from rhubarbhall.core.traffic.routes import (
    CallerRules,
    ConfigurationEntries,
    HostRoute,
    RoutePart,
    RoutingTable,
    ServiceRules,
)
from rhubarbhall.decoding import decode
from rhubarbhall.platform.names import parse_time

_IDEMPOTENT = "idempotent"
#: Messages between daemons carry versions as numbers of 64 bits.
_Version = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
#: Numbers of a route. Larger ones would overflow messages between daemons, or the
#: floating-point sum of weights.
_Number = Annotated[int, msgspec.Meta(ge=-(1 << 31), le=(1 << 31) - 1)]
#: Requests per second; higher rates limit nothing.
_Rate = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]
_DEFAULT_CALLERS = CallerRules()

ROUTES, SERVICES, LIMITS = "routes", "services", "limits"
#: Types of entries that are used; others are ignored.
KNOWN_TYPES = (ROUTES, SERVICES, LIMITS)

_Spec = TypeVar("_Spec")
#: The end of a message of `msgspec` that names the place, and one for an absent field.
_AT_PLACE = re.compile(r" - at `\$([^`]*)`$")
_MISSING_FIELD = re.compile(r"^Object missing required field `([^`]*)`")
#: The steps of such a place: names of fields and indices of lists.
_STEPS = re.compile(r"\.(\w+)|\[(\d+)\]")


class _FieldError(ValueError):
    """A value of a field that is not allowed."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field = field
        self.reason = reason


@dataclass(frozen=True, slots=True)
class EntryError:
    """A reason for which daemons reject a configuration.

    Parameters
    ----------
    resource_type, name : str
        Type and name of the entry, as far as they are known; empty for errors of the
        file as a whole.
    field : str
        Field of the entry's `spec`, or of the file; empty if it is none in particular.
    reason : str
        The value and what is allowed.
    """

    resource_type: str
    name: str
    field: str
    reason: str

    def __str__(self) -> str:
        name = repr(self.name) if self.name else ""
        place = " ".join(filter(None, (self.resource_type, name, self.field)))
        return f"{place}: {self.reason}" if place else self.reason


@dataclass(frozen=True, slots=True)
class ConfigurationReading:
    """What a configuration holds, with all errors in it.

    Parameters
    ----------
    entries : ConfigurationEntries
        The entries without an error.
    errors : tuple of EntryError
        Why daemons reject the configuration; empty if they take it.
    unknown : tuple of (str, str)
        Types and names of the entries that daemons ignore, as they don't know the type.
    """

    entries: ConfigurationEntries
    errors: tuple[EntryError, ...]
    unknown: tuple[tuple[str, str], ...]


class _Metadata(msgspec.Struct, frozen=True):
    name: str = ""


class _Resource(msgspec.Struct, frozen=True):
    """One entry of the configuration; the fields of `spec` depend on the type."""

    resource_type: str
    metadata: _Metadata = _Metadata()
    spec: dict[str, Any] = {}


class _VersionOnly(msgspec.Struct, frozen=True):
    version: _Version


class _RawEntries(msgspec.Struct, frozen=True):
    #: Decoded one by one, so that an error names its entry.
    resources: list[msgspec.Raw]


class _TrafficPart(msgspec.Struct, frozen=True):
    service: str
    weight: _Number


class _RouteSpec(msgspec.Struct, frozen=True):
    hostname: str
    path_prefix: str
    #: `_IDEMPOTENT` if requests may be repeated; any other value if not.
    type: str
    service: str = ""
    traffic_split: list[_TrafficPart] = []
    timeout: str | None = None
    #: Answers within this duration are worth most to callers.
    target_latency: str = "1s"
    max_attempts: _Number = 1
    priority: _Number = 0
    #: Regions in which the requests may run; all if empty.
    allowed_regions: list[str] = []


class _ServiceSpec(msgspec.Struct, frozen=True):
    max_connections: int = 100
    sharded: bool = False
    warmup: str = "0s"
    #: 0 or none: a cold target takes as many requests as a warm one.
    warmup_per_s: _Rate | None = None


class _LimitsSpec(msgspec.Struct, frozen=True):
    max_header_bytes: int = _DEFAULT_CALLERS.max_head
    max_body_bytes: int = _DEFAULT_CALLERS.max_body
    header_timeout: str = "3s"
    idle_timeout: str = "15s"


_ENTRIES_DECODER = msgspec.json.Decoder(_RawEntries)
_ENTRY_DECODER = msgspec.json.Decoder(_Resource)
_VERSION_DECODER = msgspec.json.Decoder(_VersionOnly)


def _value_at(content: Any, place: str) -> str:
    """Return the text of the value at a place within an entry; empty if it has none."""
    for name, index in _STEPS.findall(place):
        try:
            content = content[name if name else int(index)]
        except (KeyError, IndexError, TypeError):
            return ""
    return f"{content!r}; "


def _field_error(error: ValueError, content: Any) -> _FieldError:
    """Return an error of `msgspec` as one that names the field and quotes its value."""
    if isinstance(error, _FieldError):
        return error
    text = str(error)
    found = _AT_PLACE.search(text)
    place = found[1] if found else ""
    reason = text[: found.start()] if found else text
    missing = _MISSING_FIELD.match(text)
    if missing:
        return _FieldError(f"{place}.{missing[1]}".lstrip("."), reason)
    value = _value_at(content, place) if place else ""
    return _FieldError(place.lstrip("."), value + reason)


def _convert(resource: _Resource, spec_type: type[_Spec]) -> _Spec:
    try:
        return msgspec.convert(resource.spec, spec_type)
    except ValueError as error:
        raise _field_error(error, resource.spec) from None


def _seconds(field: str, text: str) -> float:
    try:
        return parse_time(text)
    except ValueError as error:
        raise _FieldError(field, str(error)) from None


def _route(resource: _Resource) -> HostRoute:
    spec = _convert(resource, _RouteSpec)
    parts = tuple(RoutePart(part.service, part.weight) for part in spec.traffic_split)
    field = "traffic_split" if parts else "service"
    if not parts:
        parts = (RoutePart(spec.service, 1),)
    if not all(part.service for part in parts):
        reason = f"route {resource.metadata.name!r} names no service, or an empty one"
        raise _FieldError(field, f"{reason}; allowed: the name of a service")
    return HostRoute(
        name=resource.metadata.name,
        host=spec.hostname.lower(),
        prefix=spec.path_prefix,
        parts=parts,
        idempotent=spec.type == _IDEMPOTENT,
        priority=spec.priority,
        timeout_s=None if spec.timeout is None else _seconds("timeout", spec.timeout),
        target_latency_s=_seconds("target_latency", spec.target_latency),
        max_attempts=spec.max_attempts,
        permitted_regions=frozenset(spec.allowed_regions),
    )


def _service(resource: _Resource) -> ServiceRules:
    spec = _convert(resource, _ServiceSpec)
    return ServiceRules(
        resource.metadata.name,
        spec.sharded,
        spec.max_connections,
        _seconds("warmup", spec.warmup),
        spec.warmup_per_s or None,
    )


def _callers(resource: _Resource) -> CallerRules:
    spec = _convert(resource, _LimitsSpec)
    return CallerRules(
        spec.max_header_bytes,
        spec.max_body_bytes,
        _seconds("header_timeout", spec.header_timeout),
        _seconds("idle_timeout", spec.idle_timeout),
    )


_READ_BY_TYPE = {ROUTES: _route, SERVICES: _service, LIMITS: _callers}


def read_version(data: bytes) -> int:
    """Return the version of a configuration without decoding the rest.

    Raises
    ------
    ValueError
        If the data is not a JSON object with a version.
    """
    return decode(_VERSION_DECODER, data).version


def _content(data: bytes | msgspec.Raw) -> Any:
    """Return the content of JSON that has errors; None if it cannot be decoded."""
    try:
        return msgspec.json.decode(data)
    except (ValueError, RecursionError):
        return None


def _described(content: Any) -> tuple[str, str]:
    """Return type and name of an entry that has errors, as far as they are known."""
    if not isinstance(content, dict):
        return "", ""
    metadata = content.get("metadata")
    name = metadata.get("name") if isinstance(metadata, dict) else ""
    kind = content.get("resource_type")
    return kind if isinstance(kind, str) else "", name if isinstance(name, str) else ""


def _resources(
    raw_entries: list[msgspec.Raw], errors: list[EntryError]
) -> Iterator[_Resource]:
    """Yield the entries that can be decoded, and add the errors of the others."""
    for index, raw in enumerate(raw_entries):
        try:
            resource = decode(_ENTRY_DECODER, raw)
        except ValueError as error:
            content = _content(raw)
            found = _field_error(error, content)
            reason = f"entry {index}: {found.reason}"
            errors.append(EntryError(*_described(content), found.field, reason))
        else:
            yield resource


def read_configuration(data: bytes) -> ConfigurationReading:
    """Decode the entries of a configuration one by one, and collect all errors."""
    errors: list[EntryError] = []
    unknown: list[tuple[str, str]] = []
    found: dict[str, list[Any]] = {name: [] for name in KNOWN_TYPES}
    version, raw_entries = None, []
    try:
        raw_entries = decode(_ENTRIES_DECODER, data).resources
        version = read_version(data)
    except ValueError as error:
        found_error = _field_error(error, _content(data))
        errors.append(EntryError("", "", found_error.field, found_error.reason))
    for resource in _resources(raw_entries, errors):
        kind, name = resource.resource_type, resource.metadata.name
        if kind not in _READ_BY_TYPE:
            unknown.append((kind, name))
            continue
        try:
            found[kind].append(_READ_BY_TYPE[kind](resource))
        except _FieldError as error:
            errors.append(EntryError(kind, name, error.field, error.reason))
    entries = ConfigurationEntries(
        version, tuple(found[ROUTES]), tuple(found[SERVICES]), tuple(found[LIMITS])
    )
    return ConfigurationReading(entries, tuple(errors), tuple(unknown))


def parse_configuration(data: bytes) -> RoutingTable:
    """Decode the routes, services and limits of a configuration.

    Raises
    ------
    ValueError
        If the data is malformed or a value in it is not allowed. Callers then keep the
        configuration that was in force before.
    """
    reading = read_configuration(data)
    if reading.errors:
        raise ValueError(str(reading.errors[0]))
    return reading.entries.routing_table()
