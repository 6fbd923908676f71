"""Pictures of the results, written into docs/."""

from __future__ import annotations

from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402  # the back end is chosen first

IMAGES = Path(__file__).parent.parent / "docs" / "img"
SERVED_AGAIN_S = 2.0


def plot_crest(
    goodput_by_way: dict[str, list[tuple[float, float]]],
    short_by_way: dict[str, list[tuple[int, float]]],
) -> None:
    """Draw goodput over load and the wait of short work behind long work."""
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4))
    for way, points in goodput_by_way.items():
        left.plot(*zip(*points, strict=True), marker="o", label=way)
    left.set(xlabel="offered load / capacity", ylabel="goodput / capacity")
    left.set_ylim(0, 1.1)
    left.legend()
    for way, points in short_by_way.items():
        right.plot(*zip(*points, strict=True), marker="o", label=way)
    right.set(xlabel="long jobs in flight", ylabel="p99 of short work, s")
    right.legend()
    _save(figure, "crest.png")


def plot_takeover(unavailable_by_fault: dict[str, list[float]]) -> None:
    """Draw the distribution of the time that a key was away, by fault."""
    figure, axes = pyplot.subplots(figsize=(7, 4))
    for fault, times in unavailable_by_fault.items():
        ordered = sorted(times)
        shares = [(number + 1) / len(ordered) for number in range(len(ordered))]
        axes.step(ordered, shares, where="post", label=fault)
    axes.axvline(SERVED_AGAIN_S, linestyle="--", color="grey", label="target")
    axes.set(xlabel="longest time that a key was away, s", ylabel="share of rounds")
    axes.legend()
    _save(figure, "takeover.png")


def _save(figure: pyplot.Figure, name: str) -> None:
    IMAGES.mkdir(parents=True, exist_ok=True)
    figure.tight_layout()
    figure.savefig(IMAGES / name, dpi=90)
    pyplot.close(figure)
