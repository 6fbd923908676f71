"""Where the requests of the own target fall among its keys, and how busy it is.

The sample is the keys of the last moments, as they came. Sorted, it shows where a range
has to be cut so that a wanted part of the work goes elsewhere, however narrow the hot
keys lie together.
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

#: Time that the sample covers; short, as hot keys change within seconds.
WINDOW_S = 1.5
#: Time that a sample is taken to cover at least.
MIN_WINDOW_S = 0.4
#: Requests that the sample holds at most.
MAX_SAMPLES = 2000
#: Weight of a new duration in the mean.
SMOOTHING = 0.05
#: Duration taken before any was measured.
USUAL_S = 0.1


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """How busy a target is with requests by key.

    Parameters
    ----------
    utilization : float
        Slots that its requests need, over those that it has; above 1 they pile up.
    cost : float
        What one request a second adds to it.
    """

    utilization: float
    cost: float


class KeyHeat:
    """Samples the requests by key of the own target."""

    def __init__(self) -> None:
        self._samples: deque[tuple[Seconds, int]] = deque(maxlen=MAX_SAMPLES)
        self._mean_s = USUAL_S
        self._refusals = 0.0

    def note_request(self, now: Seconds, key: int) -> None:
        """Count a request, whatever becomes of it."""
        self._samples.append((now, key))

    def note_duration(self, took_s: Seconds) -> None:
        """Learn how long the target worked on a request that it took."""
        self._refusals -= SMOOTHING * self._refusals
        self._mean_s += SMOOTHING * (took_s - self._mean_s)

    def note_refused(self) -> None:
        """Note that the target did not take a request."""
        self._refusals += SMOOTHING * (1 - self._refusals)

    def _forget(self, now: Seconds) -> None:
        while self._samples and self._samples[0][0] < now - WINDOW_S:
            self._samples.popleft()

    def load(self, now: Seconds, slots: int) -> TargetLoad:
        """Return how busy the target is."""
        cost = self._mean_s / max(1, slots)
        # A target that refuses is as good as busy, whatever it works on.
        return TargetLoad(self.rate(now) * cost + self._refusals, cost)

    def rate(self, now: Seconds) -> float:
        """Return the requests in a second."""
        self._forget(now)
        if not self._samples:
            return 0.0
        # A sample that has just begun covers less than the window.
        covered_s = now - self._samples[0][0]
        return len(self._samples) / max(MIN_WINDOW_S, min(WINDOW_S, covered_s))

    def keys_in(
        self, now: Seconds, spans: Iterable[Span]
    ) -> list[tuple[Span, list[int]]]:
        """Return the sampled keys of each span, sorted."""
        self._forget(now)
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
    """Return the range to give away for about `count` sampled requests.

    Ranges are cut from the ends of spans, so that tables stay short. Of those that come
    closest to what is wanted, without being more than half too much, the smallest is
    taken.

    Returns
    -------
    tuple of (int, (int, int)), optional
        Sampled requests in the range, and the range; none if there is no such range.
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
