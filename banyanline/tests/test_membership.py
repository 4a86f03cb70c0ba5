from __future__ import annotations

import pytest

from banyanline.tests.fleet import Fleet, make_hosts

SEEDS = [pytest.param(seed, id=f"seed-{seed}") for seed in range(5)]
NINE = make_hosts(9)
SETTLE_S = 3.0


@pytest.mark.parametrize("seed", SEEDS)
def test_crashed_host_is_removed_by_all_within_two_seconds(seed):
    fleet = Fleet(NINE, seed)
    fleet.run(SETTLE_S)
    fleet.crash(NINE[4].name)
    assert fleet.run(2.0, until=fleet.views_agree)
