"""A router for servers that hold exclusive ownership of keys.

The public names are those of `__all__`. Decisions are in `rhubarbhall.core`, which
does no input or output; sockets are in `rhubarbhall.adapters`.
"""

from __future__ import annotations

from rhubarbhall.core.context import Context, Timing
from rhubarbhall.core.directory import Applied, Directory
from rhubarbhall.core.errors import (
    ANSWER_BY_KIND,
    AnswerSpec,
    ConfigurationError,
    ErrorKind,
    Ran,
    RhubarbhallError,
    SelectorError,
)
from rhubarbhall.core.idempotency import mint_key
from rhubarbhall.core.intent import Intent, Route, Service, intent_from_toml
from rhubarbhall.core.kernel import Kernel, Part
from rhubarbhall.core.node import Node
from rhubarbhall.core.ownership.key_table import Claim, KeyTable, Span
from rhubarbhall.core.policies import balancing, queueing
from rhubarbhall.core.requests import Request, Response
from rhubarbhall.core.selectors import Selector, parse_selector
from rhubarbhall.core.slices import SliceRef
from rhubarbhall.core.traffic.routes import HostRoute, RoutePart, RoutingTable

__all__ = [
    "ANSWER_BY_KIND",
    "AnswerSpec",
    "Applied",
    "Claim",
    "ConfigurationError",
    "Context",
    "Directory",
    "ErrorKind",
    "HostRoute",
    "Intent",
    "Kernel",
    "KeyTable",
    "Node",
    "Part",
    "Ran",
    "Request",
    "Response",
    "RhubarbhallError",
    "Route",
    "RoutePart",
    "RoutingTable",
    "Selector",
    "SelectorError",
    "Service",
    "SliceRef",
    "Span",
    "Timing",
    "balancing",
    "intent_from_toml",
    "mint_key",
    "parse_selector",
    "queueing",
]
