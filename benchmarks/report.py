"""Tables that benchmarks print and keep."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class Table:
    """One result: a title, a header and rows of cells."""

    title: str
    header: tuple[str, ...]
    rows: list[tuple[object, ...]] = field(default_factory=list)

    def add(self, *cells: object) -> None:
        """Add a row."""
        self.rows.append(cells)

    def markdown(self) -> str:
        """Return the table for a page."""
        lines = [f"### {self.title}", "", "| " + " | ".join(self.header) + " |"]
        lines.append("|" + " --- |" * len(self.header))
        for row in self.rows:
            lines.append("| " + " | ".join(_cell(each) for each in row) + " |")
        return "\n".join([*lines, ""])


def _cell(value: object) -> str:
    return f"{value:.3g}" if isinstance(value, float) else str(value)


def quantile(values: list[float], share: float) -> float:
    """Return the value below which `share` of all lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
