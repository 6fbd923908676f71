"""Decodes the operators' configuration, which is kept in the platform's store.

The structs hold the platform's field names; the results are types of the core.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from rhubarbhall.core.traffic.routes import (
    CallerRules,
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


class _Metadata(msgspec.Struct, frozen=True):
    name: str = ""


class _Resource(msgspec.Struct, frozen=True):
    """One entry of the configuration; the fields of `spec` depend on the type."""

    resource_type: str
    metadata: _Metadata = _Metadata()
    spec: dict[str, Any] = {}


class _VersionOnly(msgspec.Struct, frozen=True):
    version: _Version


class _Configuration(msgspec.Struct, frozen=True):
    version: _Version
    resources: list[_Resource]


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


_DECODER = msgspec.json.Decoder(_Configuration)
_VERSION_DECODER = msgspec.json.Decoder(_VersionOnly)


def _route(resource: _Resource) -> HostRoute:
    spec = msgspec.convert(resource.spec, _RouteSpec)
    parts = tuple(RoutePart(part.service, part.weight) for part in spec.traffic_split)
    if not parts:
        parts = (RoutePart(spec.service, 1),)
    if not all(part.service for part in parts):
        raise ValueError(
            f"route {resource.metadata.name!r} names no service, or an empty one"
        )
    return HostRoute(
        name=resource.metadata.name,
        host=spec.hostname.lower(),
        prefix=spec.path_prefix,
        parts=parts,
        idempotent=spec.type == _IDEMPOTENT,
        priority=spec.priority,
        timeout_s=None if spec.timeout is None else parse_time(spec.timeout),
        target_latency_s=parse_time(spec.target_latency),
        max_attempts=spec.max_attempts,
        allowed_regions=frozenset(spec.allowed_regions),
    )


def _service(resource: _Resource) -> ServiceRules:
    spec = msgspec.convert(resource.spec, _ServiceSpec)
    return ServiceRules(
        resource.metadata.name,
        spec.sharded,
        spec.max_connections,
        parse_time(spec.warmup),
        spec.warmup_per_s or None,
    )


def _callers(resource: _Resource) -> CallerRules:
    spec = msgspec.convert(resource.spec, _LimitsSpec)
    return CallerRules(
        spec.max_header_bytes,
        spec.max_body_bytes,
        parse_time(spec.header_timeout),
        parse_time(spec.idle_timeout),
    )


def read_version(data: bytes) -> int:
    """Return the version of a configuration without decoding the rest.

    Raises
    ------
    ValueError
        If the data is not a JSON object with a version.
    """
    return decode(_VERSION_DECODER, data).version


def parse_configuration(data: bytes) -> RoutingTable:
    """Decode the routes, services and limits of a configuration.

    Raises
    ------
    ValueError
        If the data is malformed or a value in it is not allowed. Callers then keep the
        configuration that was in force before.
    """
    configuration = decode(_DECODER, data)
    by_type: dict[str, list[_Resource]] = {}
    for resource in configuration.resources:
        by_type.setdefault(resource.resource_type, []).append(resource)
    routes = tuple(_route(each) for each in by_type.get("routes", ()))
    services = [_service(each) for each in by_type.get("services", ())]
    limits = [_callers(each) for each in by_type.get("limits", ())]
    return RoutingTable(
        version=configuration.version,
        routes=routes,
        services_by_name={service.name: service for service in services},
        callers=limits[-1] if limits else _DEFAULT_CALLERS,
    )
