from __future__ import annotations

import pytest

from banyanline.core.placement import SLOTS, SlotTable

HOSTS = tuple(f"north-{idx}" for idx in range(9))


@pytest.mark.parametrize(
    "steps",
    [
        pytest.param([HOSTS[:8], HOSTS], id="join"),
        pytest.param([(*HOSTS, "south-1"), HOSTS], id="leave"),
        pytest.param([HOSTS[:3], HOSTS[3:6], HOSTS[5:], HOSTS], id="replaced"),
        pytest.param([(), HOSTS[:1], (), HOSTS], id="emptied"),
    ],
)
def test_slots_do_not_depend_on_the_way_to_the_view(steps):
    direct = SlotTable(history_s=60.0)
    direct.update(HOSTS, 0.0)
    stepwise = SlotTable(history_s=60.0)
    for now, hosts in enumerate(steps):
        stepwise.update(hosts, float(now))
    assert [stepwise.home_of_slot(slot) for slot in range(SLOTS)] == [
        direct.home_of_slot(slot) for slot in range(SLOTS)
    ]
