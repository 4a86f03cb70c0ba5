"""Seeds of the soak test: a short run, and each seed that ever failed."""

from __future__ import annotations

import pytest

from bench.steering.soak import run_seed


@pytest.mark.parametrize(
    "seed",
    [
        # Versions in the log seemed to decrease, as the host_started line was written after
        # lines of the same process start.
        pytest.param(1, id="lines out of order"),
        pytest.param(2, id="short run"),
    ],
)
def test_no_invariant_is_violated(seed, tmp_path):
    checker = run_seed(seed, tmp_path)
    assert checker.violations == []
    assert checker.outcomes["answered"] > 100
