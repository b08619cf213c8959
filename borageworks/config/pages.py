"""Rewrites the generated table of a documentation page and keeps its texts."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

BEGIN = "<!-- generated table: begin -->"
END = "<!-- generated table: end -->"

Row = tuple[str, ...]


def table_rows(page: str) -> list[Row]:
    """Return the cells of the generated table, without its header."""
    _, table, _ = _parts(page)
    lines = [line for line in table.splitlines() if line.startswith("|")]
    return [_cells(line) for line in lines[2:]]


def rewrite(
    page: str, header: Row, rows: Sequence[Row], described: Sequence[Row] = ()
) -> str:
    """Return the page with its table generated anew.

    Parameters
    ----------
    page
        Current text, with the two marker lines.
    header
        Names of all columns; the ones beyond the width of `rows` hold text that only
        the page has.
    rows
        Generated cells; the first is the key of the row.
    described
        Text cells that the code has, key first; they replace those of the page.
    """
    before, _, after = _parts(page)
    width = len(rows[0])
    texts = {row[0]: row[width:] for row in table_rows(page)}
    texts |= {row[0]: row[1:] for row in described}
    empty = ("",) * (len(header) - width)
    lines = [header, ("---",) * len(header)]
    lines += [(*row, *texts.get(row[0], empty)) for row in rows]
    table = "\n".join(_line(cells) for cells in lines)
    return f"{before}{BEGIN}\n\n{table}\n\n{END}{after}"


def _parts(page: str) -> tuple[str, str, str]:
    before, _, rest = page.partition(BEGIN)
    table, _, after = rest.partition(END)
    return before, table, after


def _line(cells: Row) -> str:
    return "| " + " | ".join(cell.replace("|", "\\|") for cell in cells) + " |"


def _cells(line: str) -> Row:
    return tuple(_split_cells(line.strip().removeprefix("|").removesuffix("|")))


def _split_cells(line: str) -> Iterator[str]:
    cell = ""
    for part in line.split("|"):
        if part.endswith("\\"):
            cell += part[:-1] + "|"
            continue
        yield (cell + part).strip()
        cell = ""
