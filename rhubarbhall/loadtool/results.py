"""Results of a load: latencies and outcomes by kind, and the audit of the promises.

Promises are the guarantees that daemons give to callers, such as that a request with an
idempotency key runs at most once.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec
from hdrh.histogram import HdrHistogram

from rhubarbhall import audit
from rhubarbhall.standins.target import Execution

#: Lowest latency that the histogram distinguishes, in microseconds; lower ones count
#: as this one.
LOWEST_US = 1
#: Highest latency in the histogram, in microseconds; higher ones count as this one.
HIGHEST_US = 120_000_000
#: Decimal digits to which the histogram keeps latencies.
SIGNIFICANT_FIGURES = 3
_US_PER_MS = 1_000.0
_US_PER_S = 1_000_000


@dataclass
class KindResult:
    """Latencies and outcomes of the requests of one kind.

    Latencies count from the time at which a request was due, not from when it was
    sent. Otherwise a client that falls behind would hide latency.

    Parameters
    ----------
    histogram : HdrHistogram
        Latencies of the answered requests, in microseconds.
    outcomes : Counter of str
        Number of requests by outcome: "answered", or the kind of the error.
    """

    histogram: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_FIGURES)
    )
    outcomes: Counter[str] = field(default_factory=Counter)

    def record(self, outcome: str, latency_s: float) -> None:
        """Count one request.

        Parameters
        ----------
        outcome : str
            "answered", or the kind of the error.
        latency_s : float
            Latency in seconds; it goes to the histogram only for "answered".
        """
        self.outcomes[outcome] += 1
        if outcome == "answered":
            latency_us = int(latency_s * _US_PER_S)
            self.histogram.record_value(min(HIGHEST_US, max(LOWEST_US, latency_us)))


class KindSummary(msgspec.Struct, frozen=True):
    """One kind of request in the results.

    Parameters
    ----------
    name : str
        Name of the kind.
    sent : int
        Requests sent, repeats included.
    answered : int
        Requests that were answered.
    goodput_per_s : float
        Answered requests per second of the mix.
    p50_ms, p99_ms, max_ms : float
        Percentiles and maximum of the latency of answered requests, in milliseconds.
    outcomes : dict of str to int
        Number of requests by outcome.
    histogram : str
        Histogram of the latencies in microseconds, in the encoding of HdrHistogram.
    """

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
    """A promise and the violations of it.

    Parameters
    ----------
    promise : str
        Name of the promise.
    problems : tuple of str
        One line for each violation; empty if the promise held.
    """

    promise: str
    problems: tuple[str, ...]


class LoadReport(msgspec.Struct, frozen=True):
    """All results of a load.

    Parameters
    ----------
    seconds : float
        Time until the last outcome, at least the length of the mix, in seconds.
    kinds : tuple of KindSummary
        Results of each kind of request.
    promises : tuple of Promise
        Results of the audit.
    """

    seconds: float
    kinds: tuple[KindSummary, ...]
    promises: tuple[Promise, ...]

    @property
    def kept(self) -> bool:
        """Whether every promise held."""
        return not any(each.problems for each in self.promises)


def summarize(name: str, result: KindResult, seconds: float) -> KindSummary:
    """Return the summary of one kind of request.

    Parameters
    ----------
    name : str
        Name of the kind.
    result : KindResult
        Latencies and outcomes.
    seconds : float
        Length of the mix, in seconds, for the goodput.
    """
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
    """Audit each promise that can be checked.

    Parameters
    ----------
    outcomes : list of Outcome
        Outcomes of the requests at the callers.
    executions : iterable of Execution, optional
        What the targets ran. If None, only the answers are audited.

    Returns
    -------
    tuple of Promise
        Each promise that was checked, with its violations.
    """
    promises = [
        Promise("own, whole answers", tuple(audit.find_wrong_answers(outcomes)))
    ]
    if executions is None:
        return tuple(promises)
    ran = list(executions)
    promises += [
        Promise("one owner of each slice", tuple(audit.find_double_owners(ran))),
        Promise("at most once", tuple(audit.find_repeats(ran))),
        Promise("'not run' never ran", tuple(audit.find_false_refusals(ran, outcomes))),
    ]
    return tuple(promises)
