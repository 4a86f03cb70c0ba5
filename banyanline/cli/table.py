"""Plain-text tables for the terminal."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

_GAP = "  "


def render_table(heading: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a table of a heading and rows, with columns as wide as their widest cell.

    >>> print(render_table(("name", "slots"), [("orders-1", 2)]))
    name      slots
    orders-1  2
    """
    cells = [list(heading), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = (
        _GAP.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    )
    return "\n".join(lines)
