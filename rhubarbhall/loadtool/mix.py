"""What a load consists of: phases of demand and kinds of requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from rhubarbhall.core.errors import ConfigurationError
from rhubarbhall.core.intent import document_from_toml


class Phase(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A span with a steady rate of arrivals.

    Parameters
    ----------
    seconds : float
        Length.
    rate : float
        Requests a second, on average.
    """

    seconds: float
    rate: float


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of request.

    Parameters
    ----------
    name : str
        Shown in the results.
    service : str
        Service that is asked.
    share : float
        Share of the arrivals, relative to the other kinds.
    method, path : str
        Request line behind the key.
    keys : int
        Number of different keys; 0 for services without keys.
    skew : float
        How uneven the keys are: 0 all alike, 1 as in Zipf's law.
    callers : int
        Number of different callers.
    deadline_ms : int
        Deadline that is sent along.
    work_ms : float, optional
        Work that the stand-in for a target does.
    once : bool
        Whether each request bears an idempotency key.
    repeat : float
        Share of these that are sent a second time.
    """

    name: str
    service: str
    share: float = 1.0
    method: str = "GET"
    path: str = "/look"
    keys: int = 100
    skew: float = 0.0
    callers: int = 10
    deadline_ms: int = 2_000
    work_ms: float | None = None
    once: bool = False
    repeat: float = 0.0


@dataclass(frozen=True, slots=True)
class Mix:
    """Phases, one after the other, of the same kinds of requests."""

    phases: tuple[Phase, ...]
    kinds: tuple[Kind, ...]

    @property
    def seconds(self) -> float:
        """Length of all phases."""
        return sum(phase.seconds for phase in self.phases)


def mix_from_toml(text: str, source: str = "mix") -> Mix:
    """Read and check the text of a mix.

    Raises
    ------
    ConfigurationError
        Lists every mistake with file and table.
    """
    document = document_from_toml(text, source)
    problems: list[str] = []
    phases = _read_tables(document, "phases", Phase, source, problems)
    kinds = _read_tables(document, "kinds", Kind, source, problems)
    unknown = document.keys() - {"phases", "kinds"}
    problems += [
        f"{source}: {name}: unknown table; allowed: phases, kinds" for name in unknown
    ]
    for number, phase in enumerate(phases):
        if phase.seconds <= 0 or phase.rate < 0:
            problems.append(
                f"{source}: phases[{number}]: seconds must be above 0 and rate not "
                f"negative, not {phase.seconds} and {phase.rate}"
            )
    if problems:
        raise ConfigurationError(problems)
    return Mix(phases, kinds)


def _read_tables(
    document: dict[str, Any],
    name: str,
    kind: type,
    source: str,
    problems: list[str],
) -> tuple[Any, ...]:
    tables = document.get(name, [])
    if not isinstance(tables, list) or not tables:
        problems.append(f"{source}: {name}: give at least one [[{name}]]")
        return ()
    read = []
    for number, table in enumerate(tables):
        try:
            read.append(msgspec.convert(table, kind))
        except msgspec.ValidationError as error:
            problems.append(f"{source}: {name}[{number}]: {error}")
    return tuple(read)
