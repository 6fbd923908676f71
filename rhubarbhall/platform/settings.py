"""The settings file that the platform lays beside each process."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import msgspec

from rhubarbhall.core.errors import ConfigurationError
from rhubarbhall.platform.names import parse_time


class _Listen(msgspec.Struct, frozen=True):
    inbound: str
    outbound: str
    ready: str
    control: str


class _Store(msgspec.Struct, frozen=True):
    address: str


class _File(msgspec.Struct, frozen=True):
    """The fields that are used; new ones may come and are ignored."""

    node_name: str
    zone: str
    region: str
    listen: _Listen
    app_addr: str
    service: str
    platform: _Store
    port_range: tuple[int, int] = (0, 0)
    bounds: list[str] = []


_DECODER = msgspec.json.Decoder(_File)


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """What a daemon is told by the platform.

    Parameters
    ----------
    vm : str
        Name of the VM.
    domain, region : str
        Where it is.
    peers, callers, readiness, heartbeats : str
        Addresses to listen on: for other daemons, for requests of the own VM, for the
        platform's question whether the daemon is ready, for the own target.
    target, service : str
        Address of the own target and its service.
    store : str
        Address of the platform's store.
    retry_ratio : float
        Repeats that the users allow for each request.
    retry_window_s : float
        Window that this is measured over.
    drain_s : float
        Time after which a target that leaves gets no more work.
    grace_s : float
        Time from a signal to stop until the process is killed.
    """

    vm: str
    domain: str
    region: str
    peers: str
    callers: str
    readiness: str
    heartbeats: str
    target: str
    service: str
    store: str
    retry_ratio: float
    retry_window_s: float
    drain_s: float
    grace_s: float


def _bounds(lines: list[str]) -> dict[str, str]:
    pairs = (part.partition("=") for line in lines for part in line.split(","))
    return {name.strip(): value.strip() for name, _, value in pairs}


def parse_settings(data: bytes) -> PlatformSettings:
    """Return the settings in a file's content.

    Raises
    ------
    ConfigurationError
        If a field is missing or wrong.
    """
    try:
        file = _DECODER.decode(data)
        bounds = _bounds(file.bounds)
        return PlatformSettings(
            vm=file.node_name,
            domain=file.zone,
            region=file.region,
            peers=file.listen.inbound,
            callers=file.listen.outbound,
            readiness=file.listen.ready,
            heartbeats=file.listen.control,
            target=file.app_addr,
            service=file.service,
            store=file.platform.address,
            retry_ratio=float(bounds.get("retry_budget_ratio", "0.2")),
            retry_window_s=parse_time(bounds.get("budget_window", "10s")),
            drain_s=parse_time(bounds.get("drain", "2500ms")),
            grace_s=parse_time(bounds.get("grace", "6s")),
        )
    except ValueError as error:
        raise ConfigurationError([f"settings: {error}"]) from error


def read_settings(path: Path) -> PlatformSettings:
    """Return the settings in a file.

    Raises
    ------
    ConfigurationError
        If it cannot be read or is wrong.
    """
    try:
        return parse_settings(path.read_bytes())
    except OSError as error:
        raise ConfigurationError([f"settings {path}: {error.strerror}"]) from error
