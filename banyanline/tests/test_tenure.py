from __future__ import annotations

import pytest

from banyanline.core.owner.tenure import LostOwner, Stage, Tenure


@pytest.mark.parametrize(
    ("homes", "had_choice", "now", "expected"),
    [
        pytest.param(["a"], True, 1.0, False, id="the only home was the lost owner"),
        pytest.param(["a"], False, 1.0, True, id="without another owner to send to"),
        pytest.param(["a", "b"], True, 1.0, True, id="another home as well"),
        pytest.param(["b"], True, 1.0, True, id="another home"),
        pytest.param([], True, 1.0, True, id="no known home"),
        pytest.param(["b"], True, 10.0, False, id="past the lifetime"),
    ],
)
def test_lost_owner_may_have_carried_a_request(homes, had_choice, now, expected):
    tenure = Tenure(Stage.ACTIVE, 0.0, None)
    tenure.lose("a", 10.0)
    assert tenure.may_have_carried(homes, had_choice, now) is expected


@pytest.mark.parametrize("until", [[10.0, 5.0], [5.0, 10.0]], ids=["lesser last", "greater last"])
def test_owner_lost_twice_counts_for_the_longer_time(until):
    tenure = Tenure(Stage.ACTIVE, 0.0, None)
    for time in until:
        tenure.lose("a", time)
    assert tenure.lost(7.0) == (LostOwner("a", 10.0),)


def test_no_lost_owner_has_carried_nothing():
    assert not Tenure(Stage.ACTIVE, 0.0, None).may_have_carried(["b"], False, 0.0)
