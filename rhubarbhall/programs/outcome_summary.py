"""Sums the outcomes in the logs of several routers by route and reason."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from rhubarbhall.programs.trace import parse_line

#: Number of the event that reports the outcome that a caller got.
REQUEST_ENDED = 512
#: Share of its slowest requests that a row's last duration leaves out.
SLOWEST_SHARE = 0.1


@dataclass(slots=True)
class OutcomeRow:
    """The requests of one route with the same outcome and reason.

    Parameters
    ----------
    route, outcome, reason : str
        Name of the route, the outcome, and its error kind or HTTP status.
    durations_s : list of float
        Time from the arrival of each request to its outcome, in seconds.
    """

    route: str
    outcome: str
    reason: str
    durations_s: list[float] = field(default_factory=list)

    def quantile_s(self, share: float) -> float:
        """Return the duration that a share of the requests does not exceed."""
        ordered = sorted(self.durations_s)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def summarize(lines: Iterable[str]) -> list[OutcomeRow]:
    """Return the outcomes in log lines, the most frequent first.

    Lines about anything else, and lines that cannot be read, are passed over.
    """
    row_by_place: dict[tuple[str, str, str], OutcomeRow] = {}
    for line in lines:
        message = parse_line(line)
        if message is None or message.get("code") != REQUEST_ENDED:
            continue
        reason = message.get("kind", message.get("status", "-"))
        place = (
            str(message.get("route", "-")),
            str(message.get("outcome", "-")),
            str(reason),
        )
        row = row_by_place.setdefault(place, OutcomeRow(*place))
        row.durations_s.append(float(message.get("took_s", 0.0)))
    return sorted(row_by_place.values(), key=lambda row: -len(row.durations_s))


def summary_rows(rows: Iterable[OutcomeRow]) -> Iterator[tuple[object, ...]]:
    """Yield the cells of each row: names, count, and two durations in seconds."""
    for row in rows:
        yield (
            row.route,
            row.outcome,
            row.reason,
            len(row.durations_s),
            f"{row.quantile_s(0.5):.3f}",
            f"{row.quantile_s(1 - SLOWEST_SHARE):.3f}",
        )
