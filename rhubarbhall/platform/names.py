"""Headers, paths and topics of the platform, and its notation of durations."""

from __future__ import annotations

import re

# Headers.
REQUEST_ID = "Request-Id"
TIMEOUT = "Timeout-Ms"
SIGNATURE = "Server-Signature"
EXPECTED_INSTANCE = "Expected-Instance"
NOT_EXECUTED = "Not-Executed"
CALLER_SERVICE = "Caller-Service"
INSTANCE_ID = "Instance-Id"
KEY = "Shard-Key"
RETRY_AFTER = "Retry-After"
#: Requests per second that a target in need takes from all daemons together.
RATE_LIMIT = "Server-Limit"
#: ``1`` in the answers of a target that leaves.
LEAVING = "Server-Leaving"
#: Running requests, waiting ones and slots of a target; often a fourth figure: how long
#: work takes on its machine at present, in percent of the usual time.
LOAD = "Server-Load"
HANDOVER = "Handover"
#: In each answer of the store: one more than the number of times that it was restored
#: from an older copy.
STORE_ERA = "Store-Era"

# Paths.
READINESS_PATH = "/readiness"
INSTANCES_PATH = "/instances/"
GRANT_PATH = "/grant"
RELEASE_PATH = "/release"

# How targets take keys.
GRANTS_BY_REQUEST = "request"
GRANTS_BY_HEARTBEAT = "heartbeat"

# The operators' configuration in the store.
OPERATOR_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
#: Keys of the records of evacuated failure domains, before the name of the domain.
EVACUATION_PREFIX = "evacuate/"
#: The one partition in use of each keyed topic that this system reads or writes.
PARTITION = 0

#: A duration. The digits are limited, as longer numbers become infinite or overflow
#: the integers of messages between daemons.
_TIME = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,20})?)(ms|s)")
_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0}


def parse_time(text: object) -> float:
    """Return a duration such as ``1500ms`` or ``2.5s`` in seconds.

    Raises
    ------
    ValueError
        If `text` is not a string in this notation.
    """
    match = _TIME.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"duration {text!r}; allowed: a number with the unit ms or s")
    return float(match[1]) * _SECONDS_BY_UNIT[match[2]]


def format_time(seconds: float) -> str:
    """Return a duration in the platform's notation, cut to whole milliseconds."""
    return f"{int(seconds * 1000)}ms"
