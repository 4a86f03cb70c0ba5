"""Seeds of the fault soak: a short run, and each seed that ever failed."""

from __future__ import annotations

import pytest

from bench.steering.soak import run_seed


@pytest.mark.parametrize(
    "seed",
    [
        # The versions in the log seemed to go back: the line on the start came after them.
        pytest.param(1, id="lines out of order"),
        pytest.param(2, id="short run"),
    ],
)
def test_no_promise_is_broken(seed, tmp_path):
    promises = run_seed(seed, tmp_path)
    assert promises.violations == []
    assert promises.outcomes["answered"] > 100
