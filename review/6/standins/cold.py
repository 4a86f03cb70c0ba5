"""The check of FAILBACK: openings sent to and taken by one cold target within a second."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from standins.scene import Scene

COLD_OVERAGE = 1.5
COLD_SLACK = 5
WINDOW_S = 1.0


class _Taken(NamedTuple):
    target: str
    sent_at: float
    arrived_at: float


def check_failback(scene: Scene, folder: Path, warmup_per_s: float) -> bool:
    """Write the record; return whether each cold target stayed within the limit."""
    taken = [
        _Taken(each.target, scene.sent_at(each), each.at)
        for each in scene.openings
        if each.was_cold
    ]
    count, target, start = _busiest_second(taken)
    limit = warmup_per_s * COLD_OVERAGE + COLD_SLACK
    holds = count <= limit
    where = f" at {target} in the second from {scene.since_start(start):.3f}" if count else ""
    verdict = f"FAILBACK {'held' if holds else 'broken'}: {count} openings{where}, limit {limit:g}"
    scene.write_record(folder, _lines(scene, taken), verdict)
    return holds


def _busiest_second(taken: list[_Taken]) -> tuple[int, str, float]:
    """Return the most openings sent and taken within one second at one target, with its start."""
    best = (0, "", 0.0)
    for first in taken:
        count = sum(
            each.target == first.target
            and each.sent_at >= first.sent_at
            and each.arrived_at <= first.sent_at + WINDOW_S
            for each in taken
        )
        best = max(best, (count, first.target, first.sent_at))
    return best


def _lines(scene: Scene, taken: list[_Taken]) -> Iterator[str]:
    for each in taken:
        yield (
            f"cold target={each.target} sent_s={scene.since_start(each.sent_at):.3f} "
            f"taken_s={scene.since_start(each.arrived_at):.3f}\n"
        )
