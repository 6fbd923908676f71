"""Checks from the record of a script that no two targets hold the same keys."""

from __future__ import annotations

from dataclasses import dataclass

#: Time for which two targets may hold the same keys, in seconds.
MAX_SHARED_S = 0.5


@dataclass(frozen=True)
class Hold:
    """A target holds keys for a time: first and last key, fence, begin and end."""

    target: str
    first: int
    last: int
    fence: int
    begin: float
    end: float


def holds(events: list[tuple[float, str, dict]]) -> list[Hold]:
    """Return what targets held, from the events "holds" of a record."""
    present: dict[str, list[Hold]] = {}
    ended: list[Hold] = []
    for at, kind, fields in events:
        if kind != "holds":
            continue
        target = fields["target"]
        for hold in present.get(target, ()):
            end = min(hold.end, at)
            ended.append(
                Hold(target, hold.first, hold.last, hold.fence, hold.begin, end)
            )
        present[target] = [
            Hold(target, first, last, fence, at, at + left_s)
            for first, last, fence, left_s in fields["rows"]
        ]
    return ended + [hold for rows in present.values() for hold in rows]


def _joined(spans: list[tuple[float, float]]) -> list[tuple[float, float]]:
    joined: list[tuple[float, float]] = []
    for begin, end in sorted(spans):
        if joined and begin <= joined[-1][1] + 1e-3:
            joined[-1] = (joined[-1][0], max(end, joined[-1][1]))
        else:
            joined.append((begin, end))
    return joined


def shared_holds(events: list[tuple[float, str, dict]]) -> list[str]:
    """Return a line for each two targets that held the same keys for too long."""
    all_holds = holds(events)
    bounds = sorted({h.first for h in all_holds} | {h.last + 1 for h in all_holds})
    lines: dict[tuple[str, str, float], str] = {}
    for key, after in zip(bounds, bounds[1:], strict=False):
        spans: dict[str, list[tuple[float, float]]] = {}
        for hold in all_holds:
            if hold.first <= key <= hold.last:
                spans.setdefault(hold.target, []).append((hold.begin, hold.end))
        names = sorted(spans)
        for index, one in enumerate(names):
            for other in names[index + 1 :]:
                for begin, end in _overlaps(_joined(spans[one]), _joined(spans[other])):
                    if end - begin > MAX_SHARED_S:
                        lines.setdefault(
                            (one, other, round(begin, 1)),
                            f"OWNER: {one} and {other} both hold keys {key}-{after - 1}"
                            f" from {begin:.3f} to {end:.3f} s",
                        )
    return list(lines.values())


def _overlaps(
    left: list[tuple[float, float]], right: list[tuple[float, float]]
) -> list[tuple[float, float]]:
    pairs = ((max(a, c), min(b, d)) for a, b in left for c, d in right)
    return [(begin, end) for begin, end in pairs if begin < end]


def falling_fences(events: list[tuple[float, str, dict]]) -> list[str]:
    """Return a line for each key taken with a fence not above that of other targets."""
    lines = []
    highest: list[tuple[int, int, int, str]] = []
    known: set[tuple[str, int, int, int]] = set()
    for at, kind, fields in events:
        if kind != "holds":
            continue
        for first, last, fence, _ in fields["rows"]:
            target = fields["target"]
            if (target, first, last, fence) in known:
                continue
            known.add((target, first, last, fence))
            for low, high, above, other in highest:
                overlap = low <= last and first <= high
                if overlap and other != target and above >= fence:
                    lines.append(
                        f"OWNER: {target} takes keys {first}-{last} with fence {fence} "
                        f"at {at:.3f} s, {other} had {low}-{high} with {above}"
                    )
            highest.append((first, last, fence, target))
    return lines
