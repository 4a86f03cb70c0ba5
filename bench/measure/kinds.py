"""The command line of measurements that come in kinds and sizes."""

from __future__ import annotations

import argparse
import json
from collections.abc import Callable, Iterable, Mapping
from typing import Any


def measure_kinds(
    description: str | None, kinds: Mapping[str, Callable[[int], Iterable[Any]]], sizes: str
) -> None:
    """Measure one kind at all sizes and print a JSON row each; ``sizes`` are the default."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("kind", choices=kinds)
    parser.add_argument("--sizes", default=sizes)
    options = parser.parse_args()
    for size in options.sizes.split(","):
        for row in kinds[options.kind](int(size)):
            print(json.dumps(row), flush=True)
