"""Result tables in Markdown, and quantiles of samples."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class Table:
    """A result table that is written as Markdown.

    Parameters
    ----------
    title : str
        Heading above the table.
    header : tuple of str
        Names of the columns, with their units.
    rows : list of tuple
        Cells of each row, in the order of `header`.
    """

    title: str
    header: tuple[str, ...]
    rows: list[tuple[object, ...]] = field(default_factory=list)

    def add(self, *cells: object) -> None:
        """Append a row; floats are written with three significant digits."""
        self.rows.append(cells)

    def markdown(self) -> str:
        """Return the heading and the table as Markdown."""
        lines = [f"### {self.title}", "", "| " + " | ".join(self.header) + " |"]
        lines.append("|" + " --- |" * len(self.header))
        for row in self.rows:
            lines.append("| " + " | ".join(_format_cell(cell) for cell in row) + " |")
        return "\n".join([*lines, ""])


def _format_cell(value: object) -> str:
    return f"{value:.3g}" if isinstance(value, float) else str(value)


def quantile(values: list[float], share: float) -> float:
    """Return a quantile of samples, without interpolation.

    Parameters
    ----------
    values : list of float
        Samples in any order; not empty.
    share : float
        Share of the samples that come before the result in ascending order, from
        0 to 1. For 1 the result is the maximum.
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
