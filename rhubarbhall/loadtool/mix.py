"""Mix of a load: phases with a rate of arrivals, and kinds of requests.

A mix is read from TOML, and all mistakes in it are reported together.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from rhubarbhall.core.errors import ConfigurationError
from rhubarbhall.core.intent import document_from_toml


class Phase(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A period with a constant mean rate of arrivals.

    Parameters
    ----------
    seconds : float
        Length of the phase, in seconds; above 0.
    rate : float
        Mean number of requests per second; 0 for a pause.
    """

    seconds: float
    rate: float


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of request.

    Parameters
    ----------
    name : str
        Name of the kind in the results.
    service : str
        Name of the service that the requests go to.
    share : float
        Share of the arrivals, relative to the other kinds.
    method : str
        HTTP method.
    path : str
        Path below the key; the number of the request is appended to it.
    keys : int
        Number of different keys; 0 for services without keys.
    skew : float
        Exponent of the distribution of the keys: 0 draws all keys equally often, 1
        follows Zipf's law.
    callers : int
        Number of different callers that the requests name.
    deadline_ms : int
        Deadline stated in the request: its remaining time, in milliseconds.
    work_ms : float, optional
        Duration of the work that the stand-in for a target does, in milliseconds; by
        default the duration set at the target.
    once : bool
        Whether each request has an idempotency key and so must run at most once.
    repeat : float
        Share of the requests with an idempotency key that are sent twice.
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
    """Phases that follow one another, and the kinds of requests in all of them.

    Parameters
    ----------
    phases : tuple of Phase
        Phases in their order in time.
    kinds : tuple of Kind
        Kinds of requests.
    """

    phases: tuple[Phase, ...]
    kinds: tuple[Kind, ...]

    @property
    def seconds(self) -> float:
        """Length of all phases together, in seconds."""
        return sum(phase.seconds for phase in self.phases)


def mix_from_toml(text: str, source: str = "mix") -> Mix:
    """Read a mix from TOML and check it.

    Parameters
    ----------
    text : str
        Text of the mix.
    source : str
        Name of the file, for messages.

    Returns
    -------
    Mix
        The mix.

    Raises
    ------
    ConfigurationError
        If the text is not valid TOML or a table or value in it is not allowed. The
        error lists every mistake with file and table.
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
    table_type: type,
    source: str,
    problems: list[str],
) -> tuple[Any, ...]:
    tables = document.get(name, [])
    if not isinstance(tables, list) or not tables:
        problems.append(f"{source}: {name}: expected at least one table [[{name}]]")
        return ()
    records = []
    for number, table in enumerate(tables):
        try:
            records.append(msgspec.convert(table, table_type))
        except msgspec.ValidationError as error:
            problems.append(f"{source}: {name}[{number}]: {error}")
    return tuple(records)
