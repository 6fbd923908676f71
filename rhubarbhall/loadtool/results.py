"""Latencies and outcomes of a load, and the verdict on the promises."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec
from hdrh.histogram import HdrHistogram

from rhubarbhall import audit
from rhubarbhall.standins.target import Execution

LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_FIGURES = 3
_US_PER_MS = 1_000.0
_US_PER_S = 1_000_000


@dataclass
class KindResult:
    """What became of the requests of one kind.

    Latencies count from the moment that a request was due, not from when it was
    sent, so that a slow client hides nothing.
    """

    histogram: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_FIGURES)
    )
    outcomes: Counter[str] = field(default_factory=Counter)

    def note(self, outcome: str, latency_s: float) -> None:
        """Count one request; only answered ones have a latency."""
        self.outcomes[outcome] += 1
        if outcome == "answered":
            latency_us = int(latency_s * _US_PER_S)
            self.histogram.record_value(min(HIGHEST_US, max(LOWEST_US, latency_us)))


class KindSummary(msgspec.Struct, frozen=True):
    """One kind of request in the results; latencies in milliseconds."""

    name: str
    sent: int
    answered: int
    goodput_per_s: float
    p50_ms: float
    p99_ms: float
    max_ms: float
    outcomes: dict[str, int]
    histogram: str


class Promise(msgspec.Struct, frozen=True):
    """A promise with what speaks against it."""

    promise: str
    problems: tuple[str, ...]


class LoadReport(msgspec.Struct, frozen=True):
    """All results of a load."""

    seconds: float
    kinds: tuple[KindSummary, ...]
    promises: tuple[Promise, ...]

    @property
    def kept(self) -> bool:
        """Whether every promise held."""
        return not any(each.problems for each in self.promises)


def summarize(name: str, result: KindResult, seconds: float) -> KindSummary:
    """Return the summary of one kind."""
    histogram = result.histogram
    answered = result.outcomes["answered"]
    return KindSummary(
        name,
        result.outcomes.total(),
        answered,
        round(answered / seconds, 2),
        histogram.get_value_at_percentile(50.0) / _US_PER_MS,
        histogram.get_value_at_percentile(99.0) / _US_PER_MS,
        histogram.get_max_value() / _US_PER_MS,
        dict(sorted(result.outcomes.items())),
        histogram.encode().decode(),
    )


def judge(
    outcomes: list[audit.Outcome], executions: Iterable[Execution] | None
) -> tuple[Promise, ...]:
    """Return the verdict on each promise that can be checked.

    Parameters
    ----------
    outcomes : list of Outcome
        What callers were told.
    executions : iterable of Execution, optional
        What the targets ran, where they tell.
    """
    found = [Promise("own, whole answers", tuple(audit.find_wrong_answers(outcomes)))]
    if executions is None:
        return tuple(found)
    ran = list(executions)
    found += [
        Promise("one owner of each slice", tuple(audit.find_double_owners(ran))),
        Promise("at most once", tuple(audit.find_repeats(ran))),
        Promise("'not run' never ran", tuple(audit.find_false_refusals(ran, outcomes))),
    ]
    return tuple(found)
