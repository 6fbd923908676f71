"""Reads the settings file that the platform provides for each process."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec

from rhubarbhall.core.errors import ConfigurationError
from rhubarbhall.decoding import decode
from rhubarbhall.platform.names import (
    GRANTS_BY_HEARTBEAT,
    GRANTS_BY_REQUEST,
    parse_time,
)

#: Memory of a process if the file does not state it.
DEFAULT_MEMORY_MB = 300.0
BYTES_PER_MB = 1 << 20


class _Listen(msgspec.Struct, frozen=True):
    inbound: str
    outbound: str
    ready: str
    control: str


class _Store(msgspec.Struct, frozen=True):
    address: str


class _Limits(msgspec.Struct, frozen=True):
    memory_mb: Annotated[float, msgspec.Meta(gt=0)] = DEFAULT_MEMORY_MB
    max_fds: Annotated[int, msgspec.Meta(gt=0)] | None = None


class _File(msgspec.Struct, frozen=True):
    """The fields of the file that the router uses; unknown ones are ignored.

    `bounds` holds lines of ``name=value`` pairs, separated by commas.
    """

    node_name: str
    zone: str
    region: str
    listen: _Listen
    app_addr: str
    service: str
    platform: _Store
    port_range: tuple[int, int] = (0, 0)
    bounds: list[str] = []
    grants: str = GRANTS_BY_HEARTBEAT
    limits: _Limits = _Limits()


_GRANTS_WAYS = (GRANTS_BY_HEARTBEAT, GRANTS_BY_REQUEST)
_DECODER = msgspec.json.Decoder(_File)


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of one daemon.

    Parameters
    ----------
    vm : str
        Name of the VM.
    domain, region : str
        Failure domain and region of the VM.
    peer_address, caller_address, readiness_address, heartbeat_address : str
        Addresses to listen on: for other daemons, for requests from the local VM, for
        the platform's readiness checks, for heartbeats of the local target.
    target_address, service : str
        Address of the local target and its service.
    store_address : str
        Address of the platform's store.
    retry_ratio : float
        Number of repeats that the users allow per request.
    retry_window_s : float
        Window over which this ratio is measured, in seconds.
    configuration_s : float
        Time in which an acknowledged configuration has to be in force, in seconds.
    drain_s : float
        Time after which a target that leaves gets no more requests, in seconds.
    grace_s : float
        Time from a stop signal until the platform kills the process, in seconds.
    grants_by_request : bool
        Whether the target takes keys by requests, and not from the answers to its
        heartbeats.
    memory_bytes : float
        Memory above which the platform kills the process.
    cold_factor, cold_slack : float
        In any second, all daemons together may send a cold target as many requests as
        it accepts per second, multiplied by the first figure, and the second figure
        more.
    max_descriptors : int, optional
        Limit of the open descriptors of the process; None if it is not stated.
    """

    vm: str
    domain: str
    region: str
    peer_address: str
    caller_address: str
    readiness_address: str
    heartbeat_address: str
    target_address: str
    service: str
    store_address: str
    retry_ratio: float
    retry_window_s: float
    configuration_s: float
    drain_s: float
    grace_s: float
    grants_by_request: bool = False
    memory_bytes: float = DEFAULT_MEMORY_MB * BYTES_PER_MB
    cold_factor: float = 1.5
    cold_slack: float = 8.0
    max_descriptors: int | None = None


def _bounds(lines: list[str]) -> dict[str, str]:
    pairs = (part.partition("=") for line in lines for part in line.split(","))
    return {name.strip(): value.strip() for name, _, value in pairs}


def _amount(bounds: dict[str, str], name: str, default: str) -> float:
    amount = float(bounds.get(name, default))
    if not 0 <= amount < float("inf"):
        raise ValueError(f"{name}={bounds[name]}; allowed: a number of at least 0")
    return amount


def _grants_by_request(grants: str) -> bool:
    if grants not in _GRANTS_WAYS:
        raise ValueError(f"grants {grants!r}; allowed: {', '.join(_GRANTS_WAYS)}")
    return grants == GRANTS_BY_REQUEST


def parse_settings(data: bytes) -> PlatformSettings:
    """Decode the content of a settings file.

    Raises
    ------
    ConfigurationError
        If a field is missing or has a wrong type, or a bound cannot be parsed.
    """
    try:
        file = decode(_DECODER, data)
        bounds = _bounds(file.bounds)
        return PlatformSettings(
            vm=file.node_name,
            domain=file.zone,
            region=file.region,
            peer_address=file.listen.inbound,
            caller_address=file.listen.outbound,
            readiness_address=file.listen.ready,
            heartbeat_address=file.listen.control,
            target_address=file.app_addr,
            service=file.service,
            store_address=file.platform.address,
            retry_ratio=float(bounds.get("retry_budget_ratio", "0.2")),
            retry_window_s=parse_time(bounds.get("budget_window", "10s")),
            configuration_s=parse_time(bounds.get("config", "2500ms")),
            drain_s=parse_time(bounds.get("drain", "2500ms")),
            grace_s=parse_time(bounds.get("grace", "6s")),
            grants_by_request=_grants_by_request(file.grants),
            memory_bytes=file.limits.memory_mb * BYTES_PER_MB,
            cold_factor=_amount(bounds, "cold_over", "1.5"),
            cold_slack=_amount(bounds, "cold_slack", "8"),
            max_descriptors=file.limits.max_fds,
        )
    except ValueError as error:
        raise ConfigurationError([f"settings: {error}"]) from error


def read_settings(path: Path) -> PlatformSettings:
    """Read and decode a settings file.

    Raises
    ------
    ConfigurationError
        If the file cannot be read or its content is invalid.
    """
    try:
        return parse_settings(path.read_bytes())
    except OSError as error:
        raise ConfigurationError([f"settings {path}: {error.strerror}"]) from error
