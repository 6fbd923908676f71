"""Text tables for the terminal."""

from __future__ import annotations


def text_table(header: tuple[str, ...], rows: list[tuple[object, ...]]) -> str:
    """Return a table with left-aligned columns, its lines separated by newlines."""
    lines = [header, *[tuple(map(str, row)) for row in rows]]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
