from __future__ import annotations

from typing import Any

import pytest

from bench.steering.bound import Outage, RequestKind, day_bound, format_bound, window_bound

KIND = RequestKind("stream", aim_s=0.1, deadline_s=1.0, work_s=0.02, late_share=0.5, weight=1.0)


@pytest.mark.parametrize(
    ("start_s", "outage", "expected"),
    [
        pytest.param(0.0, None, 1.0, id="no outage"),
        pytest.param(0.0, Outage(2.0, 3.0), 1.0, id="before"),
        pytest.param(4.0, Outage(2.0, 3.0), 1.0, id="after"),
        pytest.param(0.0, Outage(1.8, 2.0), 0.95, id="all responses late"),
        pytest.param(0.0, Outage(0.0, 2.0), 0.15, id="only the last requests in time"),
    ],
)
def test_window_bound_for_an_outage(start_s, outage, expected):
    assert window_bound([KIND], start_s, outage) == pytest.approx(expected, abs=0.01)


def site() -> dict[str, Any]:
    work = {"mean": 20.0}
    kind = {"name": "stream", "aim_ms": 100, "deadline_ms": 1000, "worth": 2, "late_worth": 1}
    return {"classes": [kind | {"work_ms": work}]}


def report(worths: list[float]) -> dict[str, Any]:
    windows = [{"name": str(2 * idx), "n": 100, "worth": worth} for idx, worth in enumerate(worths)]
    overall = sum(worths) / len(worths)
    worst = sum(sorted(worths)[:2]) / 2
    parts = [["whole day", 0.8, overall], ["worst windows", 0.2, worst]]
    return {
        "G": 0.8 * overall + 0.2 * worst - 0.03,
        "parts": parts,
        "windows": windows,
        "classes": [{"name": "stream", "n": 100 * len(worths)}],
    }


@pytest.mark.parametrize(
    ("closing", "worths", "gain"),
    [
        pytest.param(None, [1.0, 1.0, 1.0], 0.0, id="no score lost"),
        pytest.param(None, [1.0, 0.8, 0.9], 0.11, id="avoidable losses"),
        pytest.param(
            {"kind": "power_off_all", "down_s": 0.7},
            [1.0, 1.0, 0.65],
            0.0,
            id="final outage",
        ),
    ],
)
def test_bound_of_a_day_excludes_losses_due_to_the_final_outage(closing, worths, gain):
    day = {"name": "d", "length_s": 4.0, "plan": [], "faults": []}
    if closing:
        day["closing"] = closing
    result = day_bound(site(), day, report(worths))
    assert result.bound - result.worth == pytest.approx(gain, abs=0.01)


def test_windows_below_their_bounds_list_overlapping_disruptions():
    day = {"length_s": 41.0, "plan": [{"kind": "release", "at": 2.5, "for_s": 1.0}]}
    text = format_bound("scale-1", day_bound(site(), day, report([1.0, 0.9, 1.0])))
    assert "scale-1: worth" in text
    assert "2 s  earned 0.900  bound 1.000  release" in text
