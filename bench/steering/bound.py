"""Says how much of a day nobody could have served, and how far our result is below that.

    python -m bench.steering.bound SITE.toml DAY REPORT.json

SITE and DAY are the users' file and the name of a day in it, REPORT what their bench
wrote with ``--report``. When all hosts lose power or are killed at the end of a day,
callers repeat their packets at fixed times, so what a request can still earn follows
from when it was sent. Requests inside an upstream that dies, callers that are cut off,
and hosts that are dark in the middle of a day are not taken off the bound: the table
shows them as what is left, with the disruptions that overlap them.
"""

from __future__ import annotations

import json
import sys
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

from absl import app, flags

FLAGS = flags.FLAGS

REPEATS_S = (0.0, 0.2, 0.6, 1.4, 1.6, 2.0, 2.8, 3.0, 3.4)
"""When a caller's packets are sent: an opening, two copies, and the same for two further tries."""

POWER_START_S = 0.3
"""Mean time from power to a host's first line in the log; 0.1 s of it is the program's own."""

KILL_RESTART_S = 0.7
"""Time from a kill to the first line of the process that takes its place."""

CLOSING_DELAY_S = 0.1
"""The final fault strikes this long after the end of the day's length."""

WINDOW_S = 2.0
STEP_S = 0.01
AFTERMATH_S = 4.0
"""A disruption that ended this long ago may still cost."""


class RequestKind(NamedTuple):
    """One kind of request: times in seconds, what a late answer earns, its weight in a day."""

    name: str
    aim_s: float
    deadline_s: float
    work_s: float
    late_share: float
    weight: float


class Darkness(NamedTuple):
    """When no host ran, in seconds from the start of traffic."""

    since_s: float
    until_s: float


class WindowBound(NamedTuple):
    """What one window of a day earned, and could have."""

    start_s: float
    earned: float
    bound: float
    disruptions: tuple[str, ...]


class DayBound(NamedTuple):
    """Worth of a day, its bound, and the windows below their bounds."""

    worth: float
    bound: float
    windows: list[WindowBound]


def best_share(kind: RequestKind, wait_s: float) -> float:
    """Return what a request earns at best if hosts are up ``wait_s`` after it was sent.

    >>> kind = RequestKind("stream", 0.12, 1.2, 0.02, 0.3, 1.0)
    >>> [best_share(kind, wait_s) for wait_s in (0.0, 0.15, 0.5, 0.7)]
    [1.0, 0.3, 0.3, 0.0]
    """
    took_s = next((at for at in REPEATS_S if at >= wait_s), float("inf")) + kind.work_s
    if took_s <= kind.aim_s:
        return 1.0
    return kind.late_share if took_s <= kind.deadline_s else 0.0


def window_bound(kinds: list[RequestKind], start_s: float, dark: Darkness | None) -> float:
    """Return what requests of a window earn at best, as a share of what they are worth."""
    if dark is None or start_s >= dark.until_s or start_s + WINDOW_S <= dark.since_s:
        return 1.0
    steps = round(WINDOW_S / STEP_S)
    total = 0.0
    for step in range(steps):
        sent_s = start_s + step * STEP_S
        is_dark = dark.since_s <= sent_s < dark.until_s
        wait_s = dark.until_s - sent_s if is_dark else 0.0
        total += sum(kind.weight * best_share(kind, wait_s) for kind in kinds)
    return total / steps / sum(kind.weight for kind in kinds)


def day_bound(site: dict[str, Any], day: dict[str, Any], report: dict[str, Any]) -> DayBound:
    """Compare a report with what could have been served; raises KeyError if it lacks parts."""
    kinds = _kinds(site, report)
    dark = _darkness(day)
    windows = []
    for window in report["windows"]:
        start_s = float(window["name"])
        bound = window_bound(kinds, start_s, dark)
        windows.append(WindowBound(start_s, window["worth"], bound, _overlapping(day, start_s)))
    sizes = [window["n"] for window in report["windows"]]
    whole = sum(w.bound * n for w, n in zip(windows, sizes, strict=True)) / sum(sizes)
    worst = sum(sorted(w.bound for w in windows)[:2]) / 2
    best = {"worst windows": worst}
    gain = sum(
        weight * max(0.0, best.get(name, whole) - earned)
        for name, weight, earned in report["parts"]
    )
    return DayBound(report["G"], report["G"] + gain, windows)


def _kinds(site: dict[str, Any], report: dict[str, Any]) -> list[RequestKind]:
    asked = {each["name"]: each["n"] for each in report["classes"]}
    return [
        RequestKind(
            each["name"],
            each["aim_ms"] / 1000.0,
            each["deadline_ms"] / 1000.0,
            each["work_ms"]["mean"] / 1000.0,
            each["late_worth"] / each["worth"],
            each["worth"] * asked[each["name"]],
        )
        for each in site["classes"]
        if each["name"] in asked
    ]


def _darkness(day: dict[str, Any]) -> Darkness | None:
    closing = day.get("closing")
    if closing is None:
        return None
    since_s = day["length_s"] + CLOSING_DELAY_S
    if closing["kind"] == "power_off_all":
        return Darkness(since_s, since_s + closing["down_s"] + POWER_START_S)
    if closing["kind"] == "kill_all":
        return Darkness(since_s, since_s + KILL_RESTART_S)
    return None


def _overlapping(day: dict[str, Any], start_s: float) -> tuple[str, ...]:
    found = [
        entry["kind"]
        for entry in (*day.get("plan", ()), *day.get("faults", ()))
        if entry["at"] < start_s + WINDOW_S
        and start_s < entry["at"] + entry.get("for_s", 5.0) + AFTERMATH_S
    ]
    closing = day.get("closing")
    if closing is not None and start_s + WINDOW_S > day["length_s"]:
        found.append(closing["kind"])
    return tuple(dict.fromkeys(found))


def format_bound(name: str, found: DayBound, threshold: float = 0.005) -> str:
    """Return the day's line, and one for each window that is below its bound."""
    lines = [f"{name}: worth {found.worth:.3f}, bound {found.bound:.3f}"]
    lines += [
        f"  {window.start_s:5.0f} s  earned {window.earned:.3f}  bound {window.bound:.3f}  "
        + ", ".join(window.disruptions)
        for window in found.windows
        if window.bound - window.earned > threshold or window.bound < 1.0
    ]
    return "\n".join(lines)


def main(argv: list[str]) -> int:
    """Print the bound of one day."""
    if len(argv) != 4:
        print("usage: python -m bench.steering.bound SITE.toml DAY REPORT.json", file=sys.stderr)
        return 2
    site = tomllib.loads(Path(argv[1]).read_text(encoding="utf-8"))
    days = {day["name"]: day for day in site["day"]}
    if argv[2] not in days:
        print(f"no day {argv[2]!r} in {argv[1]}; there are {', '.join(days)}", file=sys.stderr)
        return 2
    report = json.loads(Path(argv[3]).read_text(encoding="utf-8"))
    print(format_bound(argv[2], day_bound(site, days[argv[2]], report)))
    return 0


if __name__ == "__main__":
    app.run(main)
