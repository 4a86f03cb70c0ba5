"""Fits straight lines to the rows of the measurements and prints the slopes.

    python -m bench.measure.state requests > requests.json
    python -m bench.measure.fit_slopes requests.json

A row with ``bytes`` and ``us`` over ``held`` gives what one more flow, request or claim
costs. The residue is the largest distance of a point from its line, as a share of the
point: a large one says that the cost does not grow in proportion.
"""

from __future__ import annotations

import argparse
import json
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from banyanline.cli.table import render_table

VALUES = ("bytes", "us", "ms")
MIN_POINTS = 3

Row = dict[str, Any]


class Line(NamedTuple):
    """A least-squares line, and how far the farthest point is from it."""

    slope: float
    intercept: float
    residue: float


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Return the least-squares line through ``points``.

    >>> fit([(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)])
    Line(slope=2.0, intercept=1.0, residue=0.0)
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    residue = max(abs(y - intercept - slope * x) / abs(y) if y else 0.0 for x, y in points)
    return Line(slope, intercept, residue)


def slopes(rows: Iterable[Row]) -> list[tuple[str, ...]]:
    """Return a line of the table for each quantity measured at three sizes or more."""
    groups: dict[tuple[str, str, str], list[tuple[float, float]]] = {}
    for row in rows:
        for value in VALUES:
            if value in row:
                key = (row["what"], row.get("role", ""), value)
                groups.setdefault(key, []).append((row["held"], row[value]))
    table: list[tuple[str, ...]] = []
    for (what, role, value), points in groups.items():
        if len({x for x, _ in points}) < MIN_POINTS:
            continue
        line = fit(points)
        sizes = ",".join(f"{x:g}" for x, _ in sorted(points))
        table.append(
            (
                what,
                role,
                value,
                f"{line.slope:.4g}",
                f"{line.intercept:.4g}",
                f"{line.residue:.0%}",
                sizes,
            )
        )
    return table


def main() -> None:
    """Print the table of slopes of all files named."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("files", nargs="+", type=Path)
    options = parser.parse_args()
    lines = [line for path in options.files for line in path.read_text().splitlines()]
    head = ("what", "role", "unit", "slope", "intercept", "residue", "sizes")
    print(render_table(head, slopes(map(json.loads, lines))))


if __name__ == "__main__":
    main()
