"""A router for servers that hold exclusive ownership of keys.

The public names are those of `__all__`. The logic is in `rhubarbhall.core`, which does
no input or output; sockets are in `rhubarbhall.adapters`.

A name is imported when it is first used. A daemon runs beside each target, on every VM,
and needs only some of the names; lazy imports keep its memory small.
"""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from rhubarbhall.core.context import Context
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
    from rhubarbhall.core.timing import Timing
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

_MODULE_BY_NAME = {
    "ANSWER_BY_KIND": "rhubarbhall.core.errors",
    "AnswerSpec": "rhubarbhall.core.errors",
    "Applied": "rhubarbhall.core.directory",
    "Claim": "rhubarbhall.core.ownership.key_table",
    "ConfigurationError": "rhubarbhall.core.errors",
    "Context": "rhubarbhall.core.context",
    "Directory": "rhubarbhall.core.directory",
    "ErrorKind": "rhubarbhall.core.errors",
    "HostRoute": "rhubarbhall.core.traffic.routes",
    "Intent": "rhubarbhall.core.intent",
    "Kernel": "rhubarbhall.core.kernel",
    "KeyTable": "rhubarbhall.core.ownership.key_table",
    "Node": "rhubarbhall.core.node",
    "Part": "rhubarbhall.core.kernel",
    "Ran": "rhubarbhall.core.errors",
    "Request": "rhubarbhall.core.requests",
    "Response": "rhubarbhall.core.requests",
    "RhubarbhallError": "rhubarbhall.core.errors",
    "Route": "rhubarbhall.core.intent",
    "RoutePart": "rhubarbhall.core.traffic.routes",
    "RoutingTable": "rhubarbhall.core.traffic.routes",
    "Selector": "rhubarbhall.core.selectors",
    "SelectorError": "rhubarbhall.core.errors",
    "Service": "rhubarbhall.core.intent",
    "SliceRef": "rhubarbhall.core.slices",
    "Span": "rhubarbhall.core.ownership.key_table",
    "Timing": "rhubarbhall.core.timing",
    "balancing": "rhubarbhall.core.policies",
    "intent_from_toml": "rhubarbhall.core.intent",
    "mint_key": "rhubarbhall.core.idempotency",
    "parse_selector": "rhubarbhall.core.selectors",
    "queueing": "rhubarbhall.core.policies",
}


def __getattr__(name: str) -> Any:
    """Return a public name from the module that defines it."""
    if name not in _MODULE_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    value = getattr(import_module(_MODULE_BY_NAME[name]), name)
    globals()[name] = value
    return value


def __dir__() -> list[str]:
    """Return the public names."""
    return sorted(__all__)
