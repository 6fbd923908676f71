"""Headers, paths and words of the platform, and the form of its times."""

from __future__ import annotations

import re

REQUEST_ID = "Request-Id"
TIMEOUT = "Timeout-Ms"
SIGNATURE = "Server-Signature"
EXPECTED_INSTANCE = "Expected-Instance"
NOT_EXECUTED = "Not-Executed"
CALLER_SERVICE = "Caller-Service"
INSTANCE_ID = "Instance-Id"
KEY = "Shard-Key"
RETRY_AFTER = "Retry-After"

READINESS_PATH = "/readiness"
INSTANCES_PATH = "/instances/"

OPERATOR_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
#: All keyed topics that this system uses have one partition in use.
PARTITION = 0

_TIME = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0}


def parse_time(text: object) -> float:
    """Return a time such as ``1500ms`` or ``2.5s`` in seconds.

    Raises
    ------
    ValueError
        If it is no such text.
    """
    match = _TIME.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"time {text!r}; allowed: a number with the unit ms or s")
    return float(match[1]) * _SECONDS_BY_UNIT[match[2]]


def format_time(seconds: float) -> str:
    """Return a time as the platform writes it, in whole milliseconds."""
    return f"{int(seconds * 1000)}ms"
