"""Computes the highest score that a day allows, and compares a reported score with it.

    python -m bench.steering.bound SITE.toml DAY REPORT.json

SITE is the users' file, DAY the name of a day in it, and REPORT the file that their
bench wrote with ``--report``. When all hosts lose power or are killed at the end of a
day, callers retransmit at fixed times, so the time at which a request was sent limits
what it can still earn. The bound doesn't account for requests in an upstream that
fails, callers that are cut off, and host outages in the middle of a day: the output
shows these as windows below their bounds, with the disruptions that overlap them.
"""

from __future__ import annotations

import json
import sys
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

from absl import app, flags

FLAGS = flags.FLAGS

SEND_TIMES_S = (0.0, 0.2, 0.6, 1.4, 1.6, 2.0, 2.8, 3.0, 3.4)
"""When a caller sends its opening packet and two retransmissions, in each of three attempts."""

POWER_ON_START_S = 0.3
"""Mean time from power-on to a host's first log line; 0.1 s of it is the program's own start."""

KILL_RESTART_S = 0.7
"""Time from a kill to the first log line of the replacement process."""

FINAL_FAULT_DELAY_S = 0.1
"""Time from the end of the day's length to the final fault."""

WINDOW_S = 2.0
STEP_S = 0.01
DISRUPTION_EFFECT_S = 4.0
"""How long after its end a disruption may still lower the score."""


class RequestKind(NamedTuple):
    """One kind of request, with its times in seconds.

    A response within ``aim_s`` earns the full value, a later one within ``deadline_s`` the
    share ``late_share`` of it; ``weight`` is the kind's weight in a day.
    """

    name: str
    aim_s: float
    deadline_s: float
    work_s: float
    late_share: float
    weight: float


class Outage(NamedTuple):
    """Interval without a running host, in seconds from the start of traffic."""

    since_s: float
    until_s: float


class WindowBound(NamedTuple):
    """Score and highest possible score of one window of a day."""

    start_s: float
    earned: float
    bound: float
    disruptions: tuple[str, ...]


class DayBound(NamedTuple):
    """Score of a day, its bound, and the scores and bounds of its windows."""

    worth: float
    bound: float
    windows: list[WindowBound]


def best_share(kind: RequestKind, wait_s: float) -> float:
    """Return the highest share of its value that a request earns if hosts run ``wait_s`` later.

    >>> kind = RequestKind("stream", 0.12, 1.2, 0.02, 0.3, 1.0)
    >>> [best_share(kind, wait_s) for wait_s in (0.0, 0.15, 0.5, 0.7)]
    [1.0, 0.3, 0.3, 0.0]
    """
    elapsed_s = next((at for at in SEND_TIMES_S if at >= wait_s), float("inf")) + kind.work_s
    if elapsed_s <= kind.aim_s:
        return 1.0
    return kind.late_share if elapsed_s <= kind.deadline_s else 0.0


def window_bound(kinds: list[RequestKind], start_s: float, outage: Outage | None) -> float:
    """Return the highest share of their value that the requests of a window can earn."""
    if outage is None or start_s >= outage.until_s or start_s + WINDOW_S <= outage.since_s:
        return 1.0
    steps = round(WINDOW_S / STEP_S)
    total = 0.0
    for step in range(steps):
        sent_s = start_s + step * STEP_S
        is_in_outage = outage.since_s <= sent_s < outage.until_s
        wait_s = outage.until_s - sent_s if is_in_outage else 0.0
        total += sum(kind.weight * best_share(kind, wait_s) for kind in kinds)
    return total / steps / sum(kind.weight for kind in kinds)


def day_bound(site: dict[str, Any], day: dict[str, Any], report: dict[str, Any]) -> DayBound:
    """Compare a report with the bound of its day; raises KeyError if the report lacks parts."""
    kinds = _request_kinds(site, report)
    outage = _final_outage(day)
    windows = []
    for window in report["windows"]:
        start_s = float(window["name"])
        bound = window_bound(kinds, start_s, outage)
        windows.append(
            WindowBound(start_s, window["worth"], bound, _overlapping_disruptions(day, start_s))
        )
    sizes = [window["n"] for window in report["windows"]]
    overall_bound = sum(w.bound * n for w, n in zip(windows, sizes, strict=True)) / sum(sizes)
    worst_bound = sum(sorted(w.bound for w in windows)[:2]) / 2
    best_bounds = {"worst windows": worst_bound}
    gain = sum(
        weight * max(0.0, best_bounds.get(name, overall_bound) - earned)
        for name, weight, earned in report["parts"]
    )
    return DayBound(report["G"], report["G"] + gain, windows)


def _request_kinds(site: dict[str, Any], report: dict[str, Any]) -> list[RequestKind]:
    request_counts = {each["name"]: each["n"] for each in report["classes"]}
    return [
        RequestKind(
            each["name"],
            each["aim_ms"] / 1000.0,
            each["deadline_ms"] / 1000.0,
            each["work_ms"]["mean"] / 1000.0,
            each["late_worth"] / each["worth"],
            each["worth"] * request_counts[each["name"]],
        )
        for each in site["classes"]
        if each["name"] in request_counts
    ]


def _final_outage(day: dict[str, Any]) -> Outage | None:
    closing = day.get("closing")
    if closing is None:
        return None
    since_s = day["length_s"] + FINAL_FAULT_DELAY_S
    if closing["kind"] == "power_off_all":
        return Outage(since_s, since_s + closing["down_s"] + POWER_ON_START_S)
    if closing["kind"] == "kill_all":
        return Outage(since_s, since_s + KILL_RESTART_S)
    return None


def _overlapping_disruptions(day: dict[str, Any], start_s: float) -> tuple[str, ...]:
    kinds = [
        entry["kind"]
        for entry in (*day.get("plan", ()), *day.get("faults", ()))
        if entry["at"] < start_s + WINDOW_S
        and start_s < entry["at"] + entry.get("for_s", 5.0) + DISRUPTION_EFFECT_S
    ]
    closing = day.get("closing")
    if closing is not None and start_s + WINDOW_S > day["length_s"]:
        kinds.append(closing["kind"])
    return tuple(dict.fromkeys(kinds))


def format_bound(name: str, day: DayBound, threshold: float = 0.005) -> str:
    """Format the day's score and bound, and the windows that lost score or overlap the outage.

    A loss of up to ``threshold`` is not listed.
    """
    lines = [f"{name}: worth {day.worth:.3f}, bound {day.bound:.3f}"]
    lines += [
        f"  {window.start_s:5.0f} s  earned {window.earned:.3f}  bound {window.bound:.3f}  "
        + ", ".join(window.disruptions)
        for window in day.windows
        if window.bound - window.earned > threshold or window.bound < 1.0
    ]
    return "\n".join(lines)


def main(argv: list[str]) -> int:
    """Print the score and bound of one day."""
    if len(argv) != 4:
        print("usage: python -m bench.steering.bound SITE.toml DAY REPORT.json", file=sys.stderr)
        return 2
    site = tomllib.loads(Path(argv[1]).read_text(encoding="utf-8"))
    days = {day["name"]: day for day in site["day"]}
    if argv[2] not in days:
        print(f"no day {argv[2]!r} in {argv[1]}; known days: {', '.join(days)}", file=sys.stderr)
        return 2
    report = json.loads(Path(argv[3]).read_text(encoding="utf-8"))
    print(format_bound(argv[2], day_bound(site, days[argv[2]], report)))
    return 0


if __name__ == "__main__":
    app.run(main)
