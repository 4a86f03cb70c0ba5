"""Prints the key metrics of results as a Markdown table, with the baseline for comparison.

The baseline of ``NAME.json`` is ``NAME.baseline.json``, as ``bench.run`` writes it.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import NamedTuple

from absl import app

from bench.scenarios.evaluation import ALWAYS_ZERO, Result

BASELINE_SUFFIX = ".baseline.json"
COLUMNS = (
    "deployment",
    "scenario",
    "seed",
    "balancer",
    "flows broken / open",
    "given up",
    "imbalance",
    "in patience",
    "refused",
    "unknown",
    "p99 ms",
    "must be zero",
)


class Row(NamedTuple):
    """One row of the table."""

    result: Result
    balancer: str


def format_row(row: Row) -> str:
    """Return one row of the table; its last cell lists violated invariants."""
    result = row.result
    violations = [f"{key} {result[key]}" for key in ALWAYS_ZERO if result[key]]  # type: ignore[literal-required]
    share = result["within_patience"] / max(1, result["requests"])
    cells = (
        result["deployment"],
        result["scenario"],
        result["seed"],
        row.balancer,
        f"{result['flows_broken']} / {result['flows_open']}",
        result["flows_given_up"],
        f"{result['imbalance_max_over_mean']:.2f}",
        f"{share:.2%}",
        result["refused_not_run"],
        result["outcome_unknown"],
        f"{result['latency_ms']['p99']:.0f}",
        ", ".join(violations) or "-",
    )
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def load_rows(path: Path) -> list[Row]:
    """Return the result in ``path`` and, if present, the result of its baseline."""
    rows = [Row(json.loads(path.read_text()), "banyanline")]
    baseline = path.with_suffix(BASELINE_SUFFIX)
    if baseline.exists():
        rows.append(Row(json.loads(baseline.read_text()), "hash"))
    return rows


def main(argv: list[str]) -> None:
    """Print the table for the result files on the command line."""
    if len(argv) < 2:
        raise app.UsageError("at least one result file is required")
    print("| " + " | ".join(COLUMNS) + " |")
    print("|" + " --- |" * len(COLUMNS))
    for name in argv[1:]:
        if name.endswith((BASELINE_SUFFIX, ".series.json")):
            continue
        for row in load_rows(Path(name)):
            print(format_row(row))


if __name__ == "__main__":
    app.run(main)
