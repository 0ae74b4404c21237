"""Printing of tables."""

from __future__ import annotations

COLUMN_GAP = "  "


def print_columns(rows: list[list[str]]) -> None:
    """Print rows as aligned columns; the first row holds the column names."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        print(COLUMN_GAP.join(cells).rstrip())
