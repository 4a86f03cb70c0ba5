"""Fits a least-squares line to each measured quantity and prints the slopes.

    python -m bench.measure.state requests > requests.json
    python -m bench.measure.fit_slopes requests.json

The slope of ``bytes``, ``us`` or ``ms`` over ``held`` is the cost of one more flow, request
or claim. The residual is the largest distance of a point from its line, relative to the
point: a large one means that the cost does not grow linearly.
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
    """A least-squares line, and the largest relative distance of a point from it."""

    slope: float
    intercept: float
    residual: float


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Return the least-squares line through ``points``.

    >>> fit([(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)])
    Line(slope=2.0, intercept=1.0, residual=0.0)
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    squared_deviations = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / squared_deviations
    intercept = mean_y - slope * mean_x
    residual = max(abs(y - intercept - slope * x) / abs(y) if y else 0.0 for x, y in points)
    return Line(slope, intercept, residual)


def slope_table(rows: Iterable[Row]) -> list[tuple[str, ...]]:
    """Return a table row for each quantity measured at three sizes or more."""
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
                f"{line.residual:.0%}",
                sizes,
            )
        )
    return table


def main() -> None:
    """Print the slopes for the rows of all given files."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("files", nargs="+", type=Path)
    options = parser.parse_args()
    lines = [line for path in options.files for line in path.read_text().splitlines()]
    header = ("what", "role", "unit", "slope", "intercept", "residual", "sizes")
    print(render_table(header, slope_table(map(json.loads, lines))))


if __name__ == "__main__":
    main()
