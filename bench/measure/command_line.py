"""Command line for benchmarks that run one kind of measurement at several sizes."""

from __future__ import annotations

import argparse
import json
from collections.abc import Callable, Iterable, Mapping
from typing import Any


def run_measurement(
    description: str | None,
    measurements: Mapping[str, Callable[[int], Iterable[Any]]],
    default_sizes: str,
) -> None:
    """Run the kind named on the command line at each size and print its rows as JSON lines.

    ``default_sizes`` is the default of ``--sizes``: numbers separated by commas.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("kind", choices=measurements)
    parser.add_argument("--sizes", default=default_sizes)
    options = parser.parse_args()
    for size in options.sizes.split(","):
        for row in measurements[options.kind](int(size)):
            print(json.dumps(row), flush=True)
