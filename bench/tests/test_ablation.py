"""The stand-ins fit the present source, and the comparison pairs the same plays."""

from __future__ import annotations

import json
import shutil
from pathlib import Path

import pytest

from bench.steering.ablation import Play, Result, compare, format_row, read_result
from bench.steering.mechanisms import (
    MECHANISMS,
    Mechanism,
    Replacement,
    StandInError,
    apply_stand_in,
)

ROOT = Path(__file__).parents[2]


@pytest.mark.parametrize("mechanism", MECHANISMS, ids=lambda mechanism: mechanism.name)
def test_each_stand_in_fits_the_present_source(mechanism, tmp_path):
    for replacement in mechanism.replacements:
        copy = tmp_path / replacement.path
        copy.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(ROOT / replacement.path, copy)
    apply_stand_in(tmp_path, mechanism)
    for replacement in mechanism.replacements:
        source = (tmp_path / replacement.path).read_text()
        assert source != (ROOT / replacement.path).read_text()
        compile(source, replacement.path, "exec")


@pytest.mark.parametrize("source", ["", "line\nline\n"], ids=["gone", "twice"])
def test_a_stand_in_whose_lines_are_not_found_once_is_refused(source, tmp_path):
    (tmp_path / "a.py").write_text(source)
    with pytest.raises(StandInError):
        apply_stand_in(tmp_path, Mechanism("m", "none", (Replacement("a.py", "line\n", ""),)))


def test_names_of_mechanisms_are_unique():
    assert len({mechanism.name for mechanism in MECHANISMS}) == len(MECHANISMS)


def test_plays_of_the_same_day_and_seed_are_paired():
    plays = [Play(Path("north.toml"), "trouble-1", seed) for seed in (1, 2, 3)]
    with_it = {plays[0]: Result(0.9, 0.99, 0), plays[1]: Result(0.8, 0.97, 0)}
    without = {plays[1]: Result(0.7, 0.96, 2), plays[2]: Result(0.1, 0.5, 0)}
    difference = compare(with_it, without)
    assert difference is not None
    assert difference.plays == 1
    assert difference.worth == pytest.approx(0.1)
    assert difference.broken == 1
    assert format_row("m", difference) == "| m | 1 | +0.1000 ± 0.0000 | +0.0100 ± 0.0000 | 1 |"


def test_without_common_plays_there_is_no_difference():
    assert compare({}, {}) is None
    assert "not played" in format_row("m", None)


def test_broken_rules_of_a_report_are_added_up(tmp_path):
    report = tmp_path / "report.json"
    report.write_text(json.dumps({"G": 0.9, "served": 0.99, "breaks": {"FLOW": 2, "DRAIN": 1}}))
    assert read_result(report) == Result(0.9, 0.99, 3)
