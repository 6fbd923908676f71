"""Samples the keys of requests to the local target, and estimates its load.

The sample holds the keys of recent requests in order of arrival. Sorted by key, it
shows where a range has to be cut so that a wanted share of the work moves to another
target, however close together the hot keys are.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.key_table import Range, Span
    from rhubarbhall.types import Seconds

#: Time that the sample covers, in seconds; short, as hot keys change within seconds.
WINDOW_S = 1.5
#: Least time that a sample is assumed to cover, in seconds.
MIN_WINDOW_S = 0.4
#: Largest number of requests in the sample.
MAX_SAMPLES = 2000
#: Weight of a new value in the moving averages of durations and refusals.
SMOOTHING = 0.05
#: Duration of a request assumed before the first one has ended, in seconds.
INITIAL_DURATION_S = 0.1


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """The load of a target by requests with keys.

    Parameters
    ----------
    utilization : float
        Slots that its requests need, divided by the slots that it has, or their rate
        divided by the rate that it takes if that is more; above 1, requests pile up.
    cost : float
        Utilization that one more request per second adds.
    """

    utilization: float
    cost: float


class KeyLoadSampler:
    """Samples the requests with keys to the local target."""

    def __init__(self) -> None:
        self._samples: deque[tuple[Seconds, int]] = deque(maxlen=MAX_SAMPLES)
        self._mean_s = INITIAL_DURATION_S
        self._refusals = 0.0

    def record_request(self, now: Seconds, key: int) -> None:
        """Record a request, whatever its outcome."""
        self._samples.append((now, key))

    def record_duration(self, took_s: Seconds) -> None:
        """Record how long the target worked on a request that it accepted."""
        self._refusals -= SMOOTHING * self._refusals
        self._mean_s += SMOOTHING * (took_s - self._mean_s)

    def record_refusal(self) -> None:
        """Record that the target refused a request."""
        self._refusals += SMOOTHING * (1 - self._refusals)

    def _drop_old_samples(self, now: Seconds) -> None:
        while self._samples and self._samples[0][0] < now - WINDOW_S:
            self._samples.popleft()

    def load(
        self, now: Seconds, slots: int, rate_limit: float | None = None
    ) -> TargetLoad:
        """Return the load of a target.

        Parameters
        ----------
        now : float
            Present time, local clock, in seconds.
        slots : int
            Number of requests that the target works on at a time.
        rate_limit : float, optional
            Number of requests per second that it takes; None without a limit.
        """
        cost = self._mean_s / max(1, slots)
        if rate_limit is not None:
            cost = max(cost, 1 / rate_limit)
        # A target that refuses requests counts as busy, whatever it works on.
        return TargetLoad(self.rate(now) * cost + self._refusals, cost)

    def rate(self, now: Seconds) -> float:
        """Return the number of requests per second."""
        self._drop_old_samples(now)
        if not self._samples:
            return 0.0
        # A sample that began less than a window ago covers only the time since then.
        covered_s = now - self._samples[0][0]
        return len(self._samples) / max(MIN_WINDOW_S, min(WINDOW_S, covered_s))

    def keys_in(
        self, now: Seconds, spans: Iterable[Span]
    ) -> list[tuple[Span, list[int]]]:
        """Return each span with its sampled keys, sorted."""
        self._drop_old_samples(now)
        keys = sorted(key for _, key in self._samples)
        return [
            (span, keys[bisect_left(keys, span.first) : bisect_right(keys, span.last)])
            for span in spans
        ]


def _edge_cuts(span: Span, keys: list[int], count: int) -> Iterator[tuple[int, Range]]:
    """Yield ranges at the ends of a span that hold about `count` of its keys."""
    if len(keys) <= count:
        yield len(keys), (span.first, span.last)
        return
    last = max(span.first, keys[count] - 1)
    yield bisect_right(keys, last), (span.first, last)
    first = min(span.last, keys[-count - 1] + 1)
    yield len(keys) - bisect_left(keys, first), (first, span.last)


def choose_piece(
    keys_by_span: list[tuple[Span, list[int]]], count: int
) -> tuple[int, Range] | None:
    """Return the range to move away for about `count` sampled requests.

    Ranges are cut from the ends of spans, so that tables stay short. A range must not
    hold more than one and a half times `count` requests. Of the ranges that come
    closest to `count`, the one with the fewest keys is chosen.

    Returns
    -------
    tuple of (int, (int, int)), optional
        Number of sampled requests in the range, and the range; `None` if there is no
        such range.
    """
    best: tuple[int, Range] | None = None
    best_rank: tuple[int, int] | None = None
    for span, keys in keys_by_span:
        for held, (first, last) in _edge_cuts(span, keys, count):
            if held == 0 or first > last or held > 1.5 * count:
                continue
            rank = (abs(held - count), last - first)
            if best_rank is None or rank < best_rank:
                best, best_rank = (held, (first, last)), rank
    return best
