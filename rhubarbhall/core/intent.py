"""The intent: the document in which operators declare services and preferences.

Its tables are read into `Intent`, `Service` and `Route`, whose field names are the keys
of the document. All mistakes in a document are reported at once.
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Literal, get_type_hints

import msgspec

from rhubarbhall.core.errors import ConfigurationError, SelectorError
from rhubarbhall.core.selectors import Selector, parse_selector
from rhubarbhall.core.slices import MAX_SLICES_PER_SERVICE

# `get_type_hints` evaluates the annotations of `Service` at run time.
from rhubarbhall.types import ServiceName

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rhubarbhall.types import Labels

WorkClass = Literal["short", "long", "learned"]
IdempotencyKeyRule = Literal["none", "optional", "required"]
#: Methods that are idempotent unless the route states otherwise.
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_NAME_CHARACTERS = frozenset("abcdefghijklmnopqrstuvwxyz0123456789-")
_MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class Route:
    """Rules for the requests to a service whose path starts with `path`.

    Parameters
    ----------
    path : str
        Prefix of the path that follows the key.
    methods : tuple of str
        HTTP methods that the route covers; empty for all.
    work : {"short", "long", "learned"}
        Class of the work; "learned" classifies by the durations of past requests.
    idempotent : bool, optional
        Whether a request may run more than once without further effect; none if this
        depends on the method.
    idempotency_key : {"none", "optional", "required"}
        Whether requests carry an idempotency key; with "none" it is ignored.
    """

    path: str = "/"
    methods: tuple[str, ...] = ()
    work: WorkClass = "learned"
    idempotent: bool | None = None
    idempotency_key: IdempotencyKeyRule = "optional"

    def matches(self, method: str, path: str) -> bool:
        """Return whether the route covers a request."""
        return path.startswith(self.path) and (
            not self.methods or method in self.methods
        )

    def is_idempotent(self, method: str) -> bool:
        """Return whether a request that may have run may be sent again."""
        if self.idempotent is not None:
            return self.idempotent
        return method in IDEMPOTENT_METHODS


DEFAULT_ROUTE = Route()


@dataclass(frozen=True, slots=True)
class Service:
    """One service of the intent.

    Parameters
    ----------
    name : str
        Name; callers give it as the first segment of the path or in a header.
    targets : Selector
        Labels of the members whose targets serve it.
    keyed : bool
        Whether each key has one owner. Otherwise only requests with an idempotency key
        have an owner, which remembers their outcomes.
    slices : int
        Number of slices that the keys are divided into.
    slots : int
        Requests that one target runs at the same time.
    short_slots : int
        Number of the slots that are reserved for short work.
    queue : int
        Requests of one class of work that may wait for a target.
    connections : int
        Most connections that a daemon opens to its target.
    deadline_ms, max_deadline_ms : int
        Deadline for requests that state none, and the longest one allowed, in
        milliseconds after the arrival.
    order_cap_ms : int
        Longest time that an order runs at a target that does not check grants, in
        milliseconds.
    hold_ms : int
        Longest time that a request is held while its key has no owner that can serve
        it, in milliseconds.
    max_body, max_answer : int
        Largest body of a request and of an answer, in bytes.
    routes : tuple of Route
        Routes; the first one that covers a request applies.
    """

    name: ServiceName
    targets: Selector
    keyed: bool = True
    slices: int = 64
    slots: int = 20
    short_slots: int = 4
    queue: int = 64
    connections: int = 100
    deadline_ms: int = 2_000
    max_deadline_ms: int = 60_000
    order_cap_ms: int = 2_000
    hold_ms: int = 3_000
    max_body: int = 1 << 20
    max_answer: int = 8 << 20
    routes: tuple[Route, ...] = ()

    def route_for(self, method: str, path: str) -> Route:
        """Return the first route that covers a request, or `DEFAULT_ROUTE`."""
        for route in self.routes:
            if route.matches(method, path):
                return route
        return DEFAULT_ROUTE

    @property
    def hold_s(self) -> float:
        """Value of `hold_ms`, in seconds."""
        return self.hold_ms / _MS_PER_S

    @property
    def order_cap_s(self) -> float:
        """Value of `order_cap_ms`, in seconds."""
        return self.order_cap_ms / _MS_PER_S


@dataclass(frozen=True, slots=True)
class Intent:
    """Everything that operators declare; the default has no services.

    Parameters
    ----------
    services : mapping of str to Service
        Services by name.
    leaving : tuple of Selector
        Labels of targets that are to be removed; they get no new slices and no requests
        without an owner.
    regions : tuple of str
        Preferred regions.
    """

    services: Mapping[ServiceName, Service] = field(default_factory=dict)
    leaving: tuple[Selector, ...] = ()
    regions: tuple[str, ...] = ()

    def is_leaving(self, labels: Labels) -> bool:
        """Return whether a target with `labels` must get no new work."""
        return any(selector.matches(labels) for selector in self.leaving)


# Smallest and largest allowed value of each numeric field of a service.
_RANGE_BY_FIELD: dict[str, tuple[int, int]] = {
    "slices": (1, MAX_SLICES_PER_SERVICE),
    "slots": (1, 100_000),
    "short_slots": (0, 100_000),
    "queue": (1, 100_000),
    "connections": (1, 10_000),
    "deadline_ms": (1, 86_400_000),
    "max_deadline_ms": (1, 86_400_000),
    "order_cap_ms": (1, 86_400_000),
    "hold_ms": (0, 60_000),
    "max_body": (0, 1 << 30),
    "max_answer": (1, 1 << 30),
}


class _DocumentReader:
    """Reads the tables of a document and collects all mistakes.

    Parameters
    ----------
    source : str
        Name of the document, with which each mistake begins.
    """

    def __init__(self, source: str) -> None:
        self._source = source
        self.problems: list[str] = []

    def add_problem(self, location: str, text: str) -> None:
        self.problems.append(f"{self._source}: {location}: {text}")

    def read_table(
        self, location: str, value: Any, allowed: list[str]
    ) -> dict[str, Any]:
        if not isinstance(value, dict):
            self.add_problem(location, f"must be a table, not {value!r}")
            return {}
        for name in value.keys() - set(allowed):
            listed = ", ".join(allowed)
            self.add_problem(f"{location}.{name}", f"unknown field; allowed: {listed}")
        return {name: each for name, each in value.items() if name in allowed}

    def read_fields(
        self, location: str, kind: type, table: dict[str, Any], skip: frozenset[str]
    ) -> dict[str, Any]:
        hints = get_type_hints(kind)
        read: dict[str, Any] = {}
        for name, value in table.items():
            if name in skip:
                continue
            try:
                read[name] = msgspec.convert(value, hints[name])
            except msgspec.ValidationError as error:
                allowed = getattr(hints[name], "__args__", None)
                listed = f"; allowed: {', '.join(map(str, allowed))}" if allowed else ""
                self.add_problem(f"{location}.{name}", f"{value!r}: {error}{listed}")
                continue
            self._check_range(f"{location}.{name}", name, read[name])
        return read

    def _check_range(self, location: str, name: str, value: Any) -> None:
        low, high = _RANGE_BY_FIELD.get(name, (None, None))
        if low is not None and not low <= value <= high:
            self.add_problem(
                location, f"{value!r} is out of range; allowed: {low} to {high}"
            )

    def read_selector(self, location: str, value: Any) -> Selector:
        if not isinstance(value, str):
            self.add_problem(location, f"must be a selector in quotes, not {value!r}")
            return Selector("", ())
        try:
            return parse_selector(value)
        except SelectorError as error:
            self.add_problem(location, str(error))
            return Selector("", ())

    def read_tables(self, location: str, value: Any) -> list[Any]:
        if isinstance(value, list):
            return value
        self.add_problem(location, f"must be a list of tables, not {value!r}")
        return []


def _read_route(reader: _DocumentReader, location: str, value: Any) -> Route:
    table = reader.read_table(location, value, list(Route.__dataclass_fields__))
    read = reader.read_fields(location, Route, table, frozenset())
    if not str(read.get("path", "/")).startswith("/"):
        reader.add_problem(f"{location}.path", f"{read['path']!r} must start with '/'")
    return Route(**read)


def _read_service(reader: _DocumentReader, name: str, value: Any) -> Service:
    location = f"services.{name}"
    if not name or not set(name) <= _NAME_CHARACTERS:
        reader.add_problem(
            location, "invalid name; allowed: one or more of a-z, 0-9 and '-'"
        )
    allowed = [each for each in Service.__dataclass_fields__ if each != "name"]
    table = reader.read_table(location, value, allowed)
    if "targets" not in table:
        reader.add_problem(
            f"{location}.targets", "is missing; must be a selector of labels"
        )
    selector = reader.read_selector(f"{location}.targets", table.get("targets", ""))
    listed = reader.read_tables(f"{location}.routes", table.get("routes", []))
    routes = tuple(
        _read_route(reader, f"{location}.routes[{position}]", route)
        for position, route in enumerate(listed)
    )
    skip = frozenset({"targets", "routes"})
    read = reader.read_fields(location, Service, table, skip)
    service = Service(name=name, targets=selector, routes=routes, **read)
    _check_consistency(reader, location, service)
    return service


def _check_consistency(
    reader: _DocumentReader, location: str, service: Service
) -> None:
    if service.short_slots >= service.slots:
        reader.add_problem(
            f"{location}.short_slots",
            f"{service.short_slots} must be less than slots ({service.slots})",
        )
    if service.deadline_ms > service.max_deadline_ms:
        reader.add_problem(
            f"{location}.deadline_ms",
            f"{service.deadline_ms} must not exceed max_deadline_ms "
            f"({service.max_deadline_ms})",
        )


def _read_leaving(reader: _DocumentReader, position: int, value: Any) -> Selector:
    location = f"leaving[{position}]"
    table = reader.read_table(location, value, ["targets"])
    selector = reader.read_selector(f"{location}.targets", table.get("targets", ""))
    if not selector.requirements:
        reader.add_problem(f"{location}.targets", "must name at least one label")
    return selector


def _read_regions(reader: _DocumentReader, value: Any) -> tuple[str, ...]:
    table = reader.read_table("preferences", value, ["regions"])
    regions = table.get("regions", [])
    if not isinstance(regions, list) or not all(isinstance(r, str) for r in regions):
        reader.add_problem(
            "preferences.regions", f"must be a list of names, not {regions!r}"
        )
        return ()
    return tuple(regions)


def intent_from_document(document: Any, source: str = "intent") -> Intent:
    """Check a parsed document and return its intent.

    Parameters
    ----------
    document : Any
        Document as parsed from TOML or JSON.
    source : str
        Name of the document for error messages.

    Returns
    -------
    Intent
        Checked intent.

    Raises
    ------
    ConfigurationError
        If the document has mistakes. It lists all of them, each with `source`, the
        field and the allowed values.
    """
    reader = _DocumentReader(source)
    top = reader.read_table(
        "top level", document, ["services", "leaving", "preferences"]
    )
    services = top.get("services", {})
    if not isinstance(services, dict):
        reader.add_problem("services", f"must be a table, not {services!r}")
        services = {}
    intent = Intent(
        services={
            name: _read_service(reader, name, value) for name, value in services.items()
        },
        leaving=tuple(
            _read_leaving(reader, position, value)
            for position, value in enumerate(
                reader.read_tables("leaving", top.get("leaving", []))
            )
        ),
        regions=_read_regions(reader, top.get("preferences", {})),
    )
    if reader.problems:
        raise ConfigurationError(reader.problems)
    return intent


def intent_from_toml(text: str, source: str = "intent") -> Intent:
    """Parse and check the TOML text of an intent.

    Parameters
    ----------
    text : str
        TOML text.
    source : str
        Name of the text for error messages.

    Returns
    -------
    Intent
        Checked intent.

    Raises
    ------
    ConfigurationError
        If the text is not valid TOML or the intent has mistakes.
    """
    return intent_from_document(document_from_toml(text, source), source)


def document_from_toml(text: str, source: str = "intent") -> dict[str, Any]:
    """Parse TOML.

    Parameters
    ----------
    text : str
        TOML text.
    source : str
        Name of the text for error messages.

    Returns
    -------
    dict
        Parsed document, which is not checked yet.

    Raises
    ------
    ConfigurationError
        If the text is not valid TOML.
    """
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigurationError([f"{source}: not valid TOML: {error}"]) from error
