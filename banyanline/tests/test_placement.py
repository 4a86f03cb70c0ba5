from __future__ import annotations

from collections import Counter

import pytest

from banyanline.core.membership import Member, MemberStatus, View
from banyanline.core.model import Upstream
from banyanline.core.placement import SLOTS, OwnershipTable, PreviousHome, SlotTable, key_of
from banyanline.core.placement.ownership import max_upstreams_per_host
from banyanline.core.types import Endpoint, Host, HostName

HOSTS = tuple(f"north-{idx}" for idx in range(9))
HISTORY_S = 60.0
UPSTREAMS = tuple(
    Upstream(f"orders-{idx}", "orders", ("north", "south")[idx % 2], Endpoint("192.0.2.1", idx))
    for idx in range(10)
)


def view_of(*names: HostName) -> View:
    members = {
        name: Member(Host(name, name.split("-")[0], "g", "192.0.2.1", 1, 2), MemberStatus.ALIVE, 1)
        for name in names
    }
    return View(1, members)


@pytest.mark.parametrize(
    "steps",
    [
        pytest.param([HOSTS[:8], HOSTS], id="join"),
        pytest.param([(*HOSTS, "south-1"), HOSTS], id="leave"),
        pytest.param([HOSTS[:3], HOSTS[3:6], HOSTS[5:], HOSTS], id="replaced"),
        pytest.param([(), HOSTS[:1], (), HOSTS], id="emptied"),
    ],
)
def test_slots_do_not_depend_on_earlier_views(steps):
    direct = SlotTable(HISTORY_S)
    direct.update(HOSTS, 0.0)
    stepwise = SlotTable(HISTORY_S)
    for now, hosts in enumerate(steps):
        stepwise.update(hosts, float(now))
    assert [stepwise.home_of_slot(slot) for slot in range(SLOTS)] == [
        direct.home_of_slot(slot) for slot in range(SLOTS)
    ]


def test_leave_moves_only_the_slots_of_the_leaving_host():
    table = SlotTable(HISTORY_S)
    table.update(HOSTS, 0.0)
    slots = table.slots_of(HOSTS[0])
    assert table.update(HOSTS[1:], 1.0) == slots
    assert {table.stable_since(slot) for slot in slots} == {1.0}
    assert all(table.home_since(slot, HOSTS[0]) is None for slot in slots)


def test_previous_homes_are_kept_for_the_history_and_then_dropped():
    table = SlotTable(HISTORY_S)
    table.update(HOSTS, 0.0)
    slot = table.slots_of(HOSTS[0])[0]
    table.update(HOSTS[1:], 10.0)
    second = table.home_of_slot(slot) or ""
    table.update([host for host in HOSTS[1:] if host != second], 20.0)
    assert table.previous_homes(slot, 21.0) == (
        PreviousHome(second, 20.0),
        PreviousHome(HOSTS[0], 10.0),
    )
    assert table.previous_homes(slot, 75.0) == (PreviousHome(second, 20.0),)
    table.update(HOSTS, 79.0)
    assert table.home_of_slot(slot) == HOSTS[0]
    assert second in [home.host for home in table.previous_homes(slot, 79.5)]
    assert HOSTS[0] not in [home.host for home in table.previous_homes(slot, 79.5)]


@pytest.mark.parametrize(
    "hosts",
    [
        pytest.param(["north-1", "north-2", "south-1", "south-2"], id="two-each"),
        pytest.param(["north-1", "north-2", "north-3", "south-1", "south-2"], id="uneven"),
    ],
)
def test_owners_are_in_the_data_centre_and_within_the_bound(hosts):
    table = OwnershipTable("g", HISTORY_S)
    table.update(UPSTREAMS, view_of(*hosts), 0.0)
    owners = {upstream: table.owner(key_of(upstream)) or "" for upstream in UPSTREAMS}
    assert all(owner.split("-")[0] == up.data_centre for up, owner in owners.items())
    for data_centre in ("north", "south"):
        local = [host for host in hosts if host.startswith(data_centre)]
        loads = Counter(owner for owner in owners.values() if owner in local)
        assert max(loads.values()) <= max_upstreams_per_host(5, len(local))


def test_host_leaving_does_not_move_owners_in_other_data_centres():
    table = OwnershipTable("g", HISTORY_S)
    table.update(UPSTREAMS, view_of("north-1", "north-2", "south-1", "south-2"), 0.0)
    moved = table.update(UPSTREAMS, view_of("north-1", "north-2", "south-1"), 5.0)
    south = {key_of(upstream) for upstream in UPSTREAMS if upstream.data_centre == "south"}
    assert moved
    assert set(moved) <= south
    assert [owner.host for owner in table.previous_owners(moved[0], 6.0)] == ["south-2"]
    assert table.stable_since(moved[0]) == 5.0
    assert table.previous_owners(moved[0], 66.0) == ()


def test_data_centre_without_hosts_falls_back_to_the_fabric_group():
    table = OwnershipTable("g", HISTORY_S)
    table.update(UPSTREAMS, view_of("north-1"), 0.0)
    assert {table.owner(key_of(upstream)) for upstream in UPSTREAMS} == {"north-1"}
    removed = table.update((), view_of("north-1"), 1.0)
    assert len(removed) == len(UPSTREAMS)
    assert table.owner(key_of(UPSTREAMS[0])) is None
