"""Settings of rhubarb-daemon, and the parsers that check them when they are read."""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass, field
from functools import lru_cache
from typing import TYPE_CHECKING

from rhubarbhall.caller_limits import CallerLimits
from rhubarbhall.core.timing import Timing

if TYPE_CHECKING:
    from rhubarbhall.types import Address

#: Allowed length of the key that the daemons of a mesh share, in bytes.
MIN_MESH_KEY_BYTES = 16
MAX_MESH_KEY_BYTES = 64
_REGION_OR_DOMAIN = re.compile(r"^[a-z0-9](?:[a-z0-9-]*[a-z0-9])?$")
_LABEL = re.compile(
    r"^(?P<name>[A-Za-z0-9](?:[A-Za-z0-9_./-]*[A-Za-z0-9])?)="
    r"(?P<value>[A-Za-z0-9](?:[A-Za-z0-9_./-]*[A-Za-z0-9])?)$"
)
_MAX_PORT = 65_535
#: Number of addresses whose check is remembered: each record of a table names those of
#: all owners again.
MAX_CACHED_ADDRESSES = 32_768


@lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def parse_address(text: str) -> Address:
    """Check an address and return it.

    Raises
    ------
    ValueError
        If the text is not an IPv4 address with a port from 1 to 65535.
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        valid = port.isascii() and port.isdigit() and 1 <= int(port) <= _MAX_PORT
    except ValueError:
        valid = False
    if not valid:
        raise ValueError(
            f"{text!r} is not an address; allowed: an IPv4 address and a port from 1 "
            f"to {_MAX_PORT}, such as 127.0.0.1:7100"
        )
    return text


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Check addresses separated by commas and return them.

    Raises
    ------
    ValueError
        If one of them is not an address.
    """
    return tuple(
        parse_address(each.strip()) for each in text.split(",") if each.strip()
    )


def split_address(address: Address) -> tuple[str, int]:
    """Return the IPv4 address and the port of a checked address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def parse_region_or_domain(text: str) -> str:
    """Check the name of a region or failure domain and return it.

    Raises
    ------
    ValueError
        If the name has other characters than a-z, 0-9 and '-', or begins or ends with
        '-'.
    """
    if not _REGION_OR_DOMAIN.match(text):
        raise ValueError(
            f"{text!r} is not a name of a region or failure domain; allowed: a-z, 0-9 "
            "and '-' between them"
        )
    return text


def parse_labels(text: str) -> dict[str, str]:
    """Parse labels such as ``app=status,tier=gold``.

    Raises
    ------
    ValueError
        If a part is not ``name=value`` or a name is given twice.
    """
    labels: dict[str, str] = {}
    for part in (each.strip() for each in text.split(",") if each.strip()):
        found = _LABEL.match(part)
        if found is None:
            raise ValueError(f"{part!r} is not a label; allowed: name=value")
        if found["name"] in labels:
            raise ValueError(f"label {found['name']!r} is given twice")
        labels[found["name"]] = found["value"]
    return labels


def parse_mesh_key(text: str) -> bytes:
    """Check the key that the daemons of the mesh share and return its bytes.

    Raises
    ------
    ValueError
        If the key is too short or too long. The message does not contain the key.
    """
    key = text.encode()
    if not MIN_MESH_KEY_BYTES <= len(key) <= MAX_MESH_KEY_BYTES:
        raise ValueError(
            f"the key has {len(key)} bytes; allowed: {MIN_MESH_KEY_BYTES} to "
            f"{MAX_MESH_KEY_BYTES}"
        )
    return key


@dataclass(frozen=True, slots=True)
class DaemonSettings:
    """Settings of one daemon, given when it starts.

    Parameters
    ----------
    calls : str
        Address that callers connect to.
    peers : str
        Address that other daemons and operators connect to; TCP and UDP.
    log, target : str
        Addresses of the platform's log and of the local target.
    region, domain : str
        Region and failure domain of the VM.
    mesh_key : bytes
        Key shared by the daemons of the mesh.
    labels : dict of str to str
        Labels of the target.
    boot : str
        Identity of the boot of the VM; empty when unknown.
    checks_grants : bool
        Whether the target checks grants.
    weight : float
        Share of the slices that the target gets, relative to other targets.
    seeds : tuple of str
        Addresses of peers that are queried while the log cannot be read.
    seed : int, optional
        Seed of the random number generator, for repeatable runs.
    target_connections : int
        Maximum number of connections to the target.
    limits : CallerLimits
        Limits on the connections and requests of callers.
    timing : Timing
        Durations of the ownership protocol.
    """

    calls: Address
    peers: Address
    log: Address
    target: Address
    region: str
    domain: str
    mesh_key: bytes
    labels: dict[str, str] = field(default_factory=dict)
    boot: str = ""
    checks_grants: bool = True
    weight: float = 1.0
    seeds: tuple[Address, ...] = ()
    seed: int | None = None
    target_connections: int = 100
    limits: CallerLimits = field(default_factory=CallerLimits)
    timing: Timing = field(default_factory=Timing)
