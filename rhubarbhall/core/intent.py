"""What operators publish: services, leaving targets and preferred regions."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Literal, get_type_hints

import msgspec

from rhubarbhall.core.errors import ConfigurationError, SelectorError
from rhubarbhall.core.selectors import Selector, parse_selector
from rhubarbhall.core.slices import MAX_SLICES_PER_SERVICE

# The checker evaluates the hints of `Service` when it runs.
from rhubarbhall.types import ServiceName

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rhubarbhall.types import Labels

WorkClass = Literal["short", "long", "learned"]
KeyRule = Literal["none", "optional", "required"]
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_NAME_CHARACTERS = frozenset("abcdefghijklmnopqrstuvwxyz0123456789-")
_MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class Route:
    """Rules for the requests of a service whose path starts with `path`.

    Parameters
    ----------
    path : str
        Prefix of the path behind the key.
    methods : tuple of str
        HTTP methods; empty stands for all.
    work : {"short", "long", "learned"}
        Class of the work; "learned" goes by the durations seen.
    idempotent : bool, optional
        Whether a repeat is harmless; none goes by the method.
    idempotency_key : {"none", "optional", "required"}
        Whether requests carry an idempotency key.
    """

    path: str = "/"
    methods: tuple[str, ...] = ()
    work: WorkClass = "learned"
    idempotent: bool | None = None
    idempotency_key: KeyRule = "optional"

    def matches(self, method: str, path: str) -> bool:
        """Tell whether the route covers the request."""
        return path.startswith(self.path) and (
            not self.methods or method in self.methods
        )

    def repeats_harmlessly(self, method: str) -> bool:
        """Tell whether a request that may have run may be sent again."""
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
        Name that callers put first in the path.
    targets : Selector
        Members whose targets serve it, by their labels.
    keyed : bool
        Whether each key has one owner. Otherwise only requests with an
        idempotency key have one, which remembers their outcomes.
    slices : int
        Number of slices that the keys are divided into.
    slots : int
        Requests that one target works on at a time.
    short_slots : int
        Slots among these that long work never takes.
    queue : int
        Requests of one class that may wait at a target.
    connections : int
        Connections that a daemon opens to its target.
    deadline_ms, max_deadline_ms : int
        Deadline for requests that bring none, and the longest allowed.
    order_cap_ms : int
        Longest run of an order at a target that does not check grants.
    hold_ms : int
        How long a request waits for a key that is changing owners.
    max_body, max_answer : int
        Limits in bytes.
    routes : tuple of Route
        First match wins.
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
        """Return the first route that covers the request."""
        for route in self.routes:
            if route.matches(method, path):
                return route
        return DEFAULT_ROUTE

    @property
    def hold_s(self) -> float:
        """Holding time in seconds."""
        return self.hold_ms / _MS_PER_S

    @property
    def order_cap_s(self) -> float:
        """Cap on unchecked orders in seconds."""
        return self.order_cap_ms / _MS_PER_S


@dataclass(frozen=True, slots=True)
class Intent:
    """A whole intent; the empty one has no services."""

    services: Mapping[ServiceName, Service] = field(default_factory=dict)
    leaving: tuple[Selector, ...] = ()
    regions: tuple[str, ...] = ()

    def is_leaving(self, labels: Labels) -> bool:
        """Tell whether a target with `labels` shall take no new work."""
        return any(selector.matches(labels) for selector in self.leaving)


# Smallest and largest value of each number in a service table.
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


class _Checker:
    """Reads the tables of a file and notes every mistake it meets."""

    def __init__(self, source: str) -> None:
        self._source = source
        self.problems: list[str] = []

    def note(self, place: str, text: str) -> None:
        self.problems.append(f"{self._source}: {place}: {text}")

    def table(self, place: str, value: Any, allowed: list[str]) -> dict[str, Any]:
        if not isinstance(value, dict):
            self.note(place, f"must be a table, not {value!r}")
            return {}
        for name in value.keys() - set(allowed):
            listed = ", ".join(allowed)
            self.note(f"{place}.{name}", f"unknown field; allowed: {listed}")
        return {name: each for name, each in value.items() if name in allowed}

    def fields(
        self, place: str, kind: type, table: dict[str, Any], skip: frozenset[str]
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
                self.note(f"{place}.{name}", f"{value!r}: {error}{listed}")
                continue
            self._check_range(f"{place}.{name}", name, read[name])
        return read

    def _check_range(self, place: str, name: str, value: Any) -> None:
        low, high = _RANGE_BY_FIELD.get(name, (None, None))
        if low is not None and not low <= value <= high:
            self.note(place, f"{value!r} is out of range; allowed: {low} to {high}")

    def selector(self, place: str, value: Any) -> Selector:
        if not isinstance(value, str):
            self.note(place, f"must be a selector in quotes, not {value!r}")
            return Selector("", ())
        try:
            return parse_selector(value)
        except SelectorError as error:
            self.note(place, str(error))
            return Selector("", ())

    def tables(self, place: str, value: Any) -> list[Any]:
        if isinstance(value, list):
            return value
        self.note(place, f"must be a list of tables, not {value!r}")
        return []


def _read_route(checker: _Checker, place: str, value: Any) -> Route:
    table = checker.table(place, value, list(Route.__dataclass_fields__))
    read = checker.fields(place, Route, table, frozenset())
    if not str(read.get("path", "/")).startswith("/"):
        checker.note(f"{place}.path", f"{read['path']!r} must start with '/'")
    return Route(**read)


def _read_service(checker: _Checker, name: str, value: Any) -> Service:
    place = f"services.{name}"
    if not name or not set(name) <= _NAME_CHARACTERS:
        checker.note(place, "a name has only a-z, 0-9 and '-'")
    allowed = [each for each in Service.__dataclass_fields__ if each != "name"]
    table = checker.table(place, value, allowed)
    if "targets" not in table:
        checker.note(f"{place}.targets", "is missing; give a selector of labels")
    selector = checker.selector(f"{place}.targets", table.get("targets", ""))
    listed = checker.tables(f"{place}.routes", table.get("routes", []))
    routes = tuple(
        _read_route(checker, f"{place}.routes[{position}]", route)
        for position, route in enumerate(listed)
    )
    skip = frozenset({"targets", "routes"})
    read = checker.fields(place, Service, table, skip)
    service = Service(name=name, targets=selector, routes=routes, **read)
    _check_together(checker, place, service)
    return service


def _check_together(checker: _Checker, place: str, service: Service) -> None:
    if service.short_slots >= service.slots:
        checker.note(
            f"{place}.short_slots",
            f"{service.short_slots} must be less than slots ({service.slots})",
        )
    if service.deadline_ms > service.max_deadline_ms:
        checker.note(
            f"{place}.deadline_ms",
            f"{service.deadline_ms} must not exceed max_deadline_ms "
            f"({service.max_deadline_ms})",
        )


def _read_leaving(checker: _Checker, position: int, value: Any) -> Selector:
    place = f"leaving[{position}]"
    table = checker.table(place, value, ["targets"])
    selector = checker.selector(f"{place}.targets", table.get("targets", ""))
    if not selector.requirements:
        checker.note(f"{place}.targets", "must name at least one label")
    return selector


def _read_regions(checker: _Checker, value: Any) -> tuple[str, ...]:
    table = checker.table("preferences", value, ["regions"])
    regions = table.get("regions", [])
    if not isinstance(regions, list) or not all(isinstance(r, str) for r in regions):
        checker.note("preferences.regions", f"must be a list of names, not {regions!r}")
        return ()
    return tuple(regions)


def intent_from_document(document: Any, source: str = "intent") -> Intent:
    """Check a parsed document and return the intent in it.

    Raises
    ------
    ConfigurationError
        Lists every mistake with `source`, field and allowed values.
    """
    checker = _Checker(source)
    top = checker.table("top level", document, ["services", "leaving", "preferences"])
    services = top.get("services", {})
    if not isinstance(services, dict):
        checker.note("services", f"must be a table, not {services!r}")
        services = {}
    intent = Intent(
        services={
            name: _read_service(checker, name, value)
            for name, value in services.items()
        },
        leaving=tuple(
            _read_leaving(checker, position, value)
            for position, value in enumerate(
                checker.tables("leaving", top.get("leaving", []))
            )
        ),
        regions=_read_regions(checker, top.get("preferences", {})),
    )
    if checker.problems:
        raise ConfigurationError(checker.problems)
    return intent


def intent_from_toml(text: str, source: str = "intent") -> Intent:
    """Read and check the text of an intent file.

    Raises
    ------
    ConfigurationError
        If the text is not TOML or has any mistake.
    """
    return intent_from_document(document_from_toml(text, source), source)


def document_from_toml(text: str, source: str = "intent") -> dict[str, Any]:
    """Parse TOML and turn a syntax error into a `ConfigurationError`."""
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigurationError([f"{source}: not valid TOML: {error}"]) from error
