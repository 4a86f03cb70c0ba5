"""Seeds of the soak test: a short run, and each seed that ever failed."""

from __future__ import annotations

import pytest

from bench.steering.soak import run_seed


@pytest.mark.parametrize(
    ("seed", "with_reports"),
    [
        # Versions in the log seemed to decrease, as the host_started line was written after
        # lines of the same process start.
        pytest.param(1, False, id="lines out of order"),
        pytest.param(2, False, id="short run"),
        pytest.param(3, True, id="with reports between hosts"),
    ],
)
def test_no_invariant_is_violated(seed, with_reports, tmp_path):
    checker = run_seed(seed, tmp_path, with_reports=with_reports)
    assert checker.violations == []
    assert checker.outcomes["answered"] > 100
