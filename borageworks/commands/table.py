"""Text tables for terminals."""

from __future__ import annotations

from collections.abc import Sequence


def render_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return aligned columns; numeric columns are right-aligned."""
    cells = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(header, *cells, strict=True)]
    numeric = [
        bool(rows) and all(isinstance(row[index], int | float) for row in rows)
        for index in range(len(header))
    ]
    lines = [
        "  ".join(
            text.rjust(width) if right_aligned else text.ljust(width)
            for text, width, right_aligned in zip(line, widths, numeric, strict=True)
        ).rstrip()
        for line in [list(header), *cells]
    ]
    return "\n".join(lines)
