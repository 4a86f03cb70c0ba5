from __future__ import annotations

import pytest

from banyanline.core.owner.ownership import LostOwner, OwnershipStage, OwnershipState


@pytest.mark.parametrize(
    ("homes", "had_other_owner", "now", "expected"),
    [
        pytest.param(["a"], True, 1.0, False, id="failed owner was the only home"),
        pytest.param(["a"], False, 1.0, True, id="no other owner to send to"),
        pytest.param(["a", "b"], True, 1.0, True, id="another home as well"),
        pytest.param(["b"], True, 1.0, True, id="another home"),
        pytest.param([], True, 1.0, True, id="no known home"),
        pytest.param(["b"], True, 10.0, False, id="past the lifetime"),
    ],
)
def test_failed_owner_may_have_dispatched_a_request(homes, had_other_owner, now, expected):
    ownership = OwnershipState(OwnershipStage.ACTIVE, 0.0, None)
    ownership.add_lost_owner("a", 10.0)
    assert ownership.may_have_dispatched(homes, had_other_owner, now) is expected


@pytest.mark.parametrize(
    "until", [[10.0, 5.0], [5.0, 10.0]], ids=["earlier time last", "later time last"]
)
def test_owner_recorded_as_failed_twice_keeps_the_later_time(until):
    ownership = OwnershipState(OwnershipStage.ACTIVE, 0.0, None)
    for time in until:
        ownership.add_lost_owner("a", time)
    assert ownership.lost(7.0) == (LostOwner("a", 10.0),)


def test_without_a_failed_owner_no_request_may_have_been_dispatched():
    assert not OwnershipState(OwnershipStage.ACTIVE, 0.0, None).may_have_dispatched(
        ["b"], False, 0.0
    )
