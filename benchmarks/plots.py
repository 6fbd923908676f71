"""Plots of benchmark results, written as PNG files to docs/img."""

from __future__ import annotations

from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402  # the back end must be set first

IMAGES = Path(__file__).parent.parent / "docs" / "img"
#: Longest time for which a key may be unavailable after a fault, in seconds.
MAX_UNAVAILABLE_S = 2.0


def plot_peak_load(
    goodput_by_admission: dict[str, list[tuple[float, float]]],
    short_latency_by_admission: dict[str, list[tuple[int, float]]],
) -> None:
    """Plot goodput over load, and latency of short work over the number of long jobs.

    Parameters
    ----------
    goodput_by_admission : dict of str to list of (float, float)
        For each kind of admission, offered load and goodput, both as multiples of the
        capacity.
    short_latency_by_admission : dict of str to list of (int, float)
        For each kind of admission, the number of long jobs in flight and the 99th
        percentile of the time of short work, in seconds.
    """
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4))
    for admission_kind, points in goodput_by_admission.items():
        left.plot(*zip(*points, strict=True), marker="o", label=admission_kind)
    left.set(xlabel="offered load / capacity", ylabel="goodput / capacity")
    left.set_ylim(0, 1.1)
    left.legend()
    for admission_kind, points in short_latency_by_admission.items():
        right.plot(*zip(*points, strict=True), marker="o", label=admission_kind)
    right.set(xlabel="long jobs in flight", ylabel="p99 of short work, s")
    right.legend()
    _save(figure, "crest.png")


def plot_takeover(unavailable_by_fault: dict[str, list[float]]) -> None:
    """Plot the distribution of the times for which keys were unavailable, by fault.

    Parameters
    ----------
    unavailable_by_fault : dict of str to list of float
        For each fault, the longest time in each round for which a key was
        unavailable, in seconds.
    """
    figure, axes = pyplot.subplots(figsize=(7, 4))
    for fault, times in unavailable_by_fault.items():
        ordered = sorted(times)
        shares = [(number + 1) / len(ordered) for number in range(len(ordered))]
        axes.step(ordered, shares, where="post", label=fault)
    axes.axvline(MAX_UNAVAILABLE_S, linestyle="--", color="grey", label="target")
    axes.set(
        xlabel="longest time that a key was unavailable, s", ylabel="share of rounds"
    )
    axes.legend()
    _save(figure, "takeover.png")


def _save(figure: pyplot.Figure, name: str) -> None:
    IMAGES.mkdir(parents=True, exist_ok=True)
    figure.tight_layout()
    figure.savefig(IMAGES / name, dpi=90)
    pyplot.close(figure)
