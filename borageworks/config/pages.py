"""Replaces the generated table of a documentation page, keeping hand-written cells."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

TABLE_BEGIN = "<!-- generated table: begin -->"
TABLE_END = "<!-- generated table: end -->"

Row = tuple[str, ...]


def table_rows(page: str) -> list[Row]:
    """Return the cells of the generated table, without its header."""
    _, table, _ = _split_page(page)
    lines = [line for line in table.splitlines() if line.startswith("|")]
    return [_parse_row(line) for line in lines[2:]]


def replace_table(
    page: str, header: Row, rows: Sequence[Row], descriptions: Sequence[Row] = ()
) -> str:
    """Return the page with its table regenerated.

    Parameters
    ----------
    page
        Current text, with the two marker lines.
    header
        Names of all columns; those beyond the width of `rows` are hand-written in the
        page.
    rows
        Generated cells; the first cell of a row is its key.
    descriptions
        Text cells defined in the code, key first; they replace those of the page.
    """
    before, _, after = _split_page(page)
    width = len(rows[0])
    text_cells = {row[0]: row[width:] for row in table_rows(page)}
    text_cells |= {row[0]: row[1:] for row in descriptions}
    empty = ("",) * (len(header) - width)
    lines = [header, ("---",) * len(header)]
    lines += [(*row, *text_cells.get(row[0], empty)) for row in rows]
    table = "\n".join(_format_row(cells) for cells in lines)
    return f"{before}{TABLE_BEGIN}\n\n{table}\n\n{TABLE_END}{after}"


def _split_page(page: str) -> tuple[str, str, str]:
    before, _, rest = page.partition(TABLE_BEGIN)
    table, _, after = rest.partition(TABLE_END)
    return before, table, after


def _format_row(cells: Row) -> str:
    return "| " + " | ".join(cell.replace("|", "\\|") for cell in cells) + " |"


def _parse_row(line: str) -> Row:
    return tuple(_split_cells(line.strip().removeprefix("|").removesuffix("|")))


def _split_cells(line: str) -> Iterator[str]:
    cell = ""
    for segment in line.split("|"):
        if segment.endswith("\\"):
            cell += segment[:-1] + "|"
            continue
        yield (cell + segment).strip()
        cell = ""
