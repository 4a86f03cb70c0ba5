"""Opaque flows on fleets of cores."""

from __future__ import annotations

import pytest

from banyanline.core.answers import RefusalReason
from banyanline.core.context import Limits
from banyanline.core.counters import FlowEnd
from banyanline.core.types import DataCentreState, UpstreamState
from properties.bus import RAW, make_configuration
from properties.scenes import (
    NAMES,
    TAKEOVER_S,
    caller,
    home_of,
    owner_of,
    settled_fleet,
    total,
    upstreams_of,
)

FLOWS = 12
CALLERS = [caller(number) for number in range(FLOWS)]
IN_FORCE_S = 1.5


def send_all(fleet, callers=CALLERS):
    for who in callers:
        fleet.send(RAW, who, b"raw")
    fleet.run(1.0)


def open_flows(seed=1, **options):
    """Return a fleet with open flows and the upstream of each."""
    fleet = settled_fleet(seed, **options)
    for who in CALLERS:
        send_all(fleet, [who])
    return fleet, {who: upstreams_of(fleet, who).copy() for who in CALLERS}


def with_data_centre_out(revision=2, name="a"):
    configuration = make_configuration(revision)
    return configuration._replace(
        data_centres=tuple(
            entry._replace(state=DataCentreState.OUT) if entry.name == name else entry
            for entry in configuration.data_centres
        )
    )


def with_leaving(upstream):
    configuration = make_configuration(2)
    services = tuple(
        service._replace(
            upstreams=tuple(
                member._replace(state=UpstreamState.LEAVING) if member.name == upstream else member
                for member in service.upstreams
            )
        )
        for service in configuration.services
    )
    return configuration._replace(services=services)


@pytest.mark.parametrize("how", ["crash", "leave"])
@pytest.mark.parametrize("role", ["home", "owner"])
def test_flow_stays_with_its_upstream(role, how):
    fleet, before = open_flows()
    who = next(
        who
        for who in CALLERS
        if home_of(fleet, RAW, who) != owner_of(fleet, next(iter(before[who])))
    )
    (upstream,) = before[who]
    # A new flow would not be placed there any more.
    fleet.configure(with_leaving(upstream))
    fleet.run(IN_FORCE_S)
    lost = home_of(fleet, RAW, who) if role == "home" else owner_of(fleet, upstream)
    getattr(fleet, how)(lost)
    if how == "leave":
        send_all(fleet)
    fleet.run(TAKEOVER_S)
    packets = sum(fleet.upstreams.flow_packets.values())
    send_all(fleet)
    assert {who: upstreams_of(fleet, who) for who in CALLERS} == before
    assert sum(fleet.upstreams.flow_packets.values()) == packets + FLOWS


def test_new_host_takes_flows_over_without_moving_them():
    fleet, before = open_flows()
    fleet.leave("b-1")
    fleet.run(TAKEOVER_S)
    fleet.start("b-1")
    for _ in range(8):
        send_all(fleet)
    assert {who: upstreams_of(fleet, who) for who in CALLERS} == before


def test_full_table_refuses_and_counts_new_flows_and_keeps_the_open_ones():
    limits = Limits(flows=1, request_lifetime_s=60.0)
    fleet, before = open_flows(limits=limits)
    placed = {who: upstreams for who, upstreams in before.items() if upstreams}
    assert 0 < len(placed) <= len(NAMES)
    refused = total(fleet, "refusals", RefusalReason.FLOW_TABLE_FULL)
    assert refused >= FLOWS - len(placed)
    send_all(fleet, list(placed))
    assert total(fleet, "refusals", RefusalReason.FLOW_TABLE_FULL) == refused


def test_data_centre_out_gets_no_packet_and_its_flows_are_given_up():
    fleet, before = open_flows()
    out = {who for who in CALLERS if fleet.data_centre_of(next(iter(before[who]))) == "a"}
    assert out
    fleet.configure(with_data_centre_out())
    fleet.run(IN_FORCE_S)
    fleet.upstreams.flow_upstreams.clear()
    send_all(fleet)
    reached = set().union(*(upstreams_of(fleet, who) for who in CALLERS))
    assert reached
    assert "a" not in {fleet.data_centre_of(upstream) for upstream in reached}
    assert total(fleet, "flow_ends", FlowEnd.DATA_CENTRE_OUT) == len(out)
    given_up = [node.context.counters.flows_given_up[RAW] for node in fleet.nodes.values()]
    assert sum(given_up) == len(out)
    assert all(upstreams_of(fleet, who) == before[who] for who in set(CALLERS) - out)


def test_drained_upstream_keeps_its_flows_and_gets_no_new_ones():
    fleet, before = open_flows()
    (upstream,) = before[CALLERS[0]]
    fleet.configure(with_leaving(upstream))
    fleet.run(IN_FORCE_S)
    fresh = [caller(100 + number) for number in range(2 * FLOWS)]
    send_all(fleet, fresh)
    send_all(fleet, fresh)
    send_all(fleet)
    assert {who: upstreams_of(fleet, who) for who in CALLERS} == before
    reached = [upstreams_of(fleet, who) for who in fresh]
    assert sum(map(len, reached)) > 0
    assert upstream not in set().union(*reached)


@pytest.mark.parametrize("revision", [1, 2], ids=["earlier", "same revision"])
def test_configuration_never_goes_back(revision):
    fleet = settled_fleet()
    fleet.configure(with_data_centre_out(revision=2))
    fleet.run(IN_FORCE_S)
    fleet.configure(make_configuration(revision))
    fleet.run(IN_FORCE_S)
    for node in fleet.nodes.values():
        assert node.revision == 2
        assert not node.context.directory.configuration.is_data_centre_in_service("a")


IDLE_S = 3.0


def open_flow_count(fleet) -> tuple[int, int]:
    """Return how many flows homes and owners hold open."""
    nodes = list(fleet.nodes.values())
    return (
        sum(len(node._home.datagrams) for node in nodes),
        sum(node._owner.flow_count for node in nodes),
    )


def with_idle_timeout(revision: int, idle_timeout_s: float):
    configuration = make_configuration(revision)
    services = tuple(
        service._replace(idle_timeout_s=idle_timeout_s) if service.name == RAW else service
        for service in configuration.services
    )
    return configuration._replace(services=services)


@pytest.mark.parametrize(
    ("pause_s", "expected"),
    [
        pytest.param(IDLE_S / 2, FLOWS, id="traffic within the time"),
        pytest.param(IDLE_S + 2.0, 0, id="idle"),
    ],
)
def test_flows_end_after_the_idle_time_of_their_service(pause_s, expected):
    fleet, _ = open_flows(configuration=with_idle_timeout(1, IDLE_S))
    for _ in range(3):
        fleet.run(pause_s)
        found = open_flow_count(fleet)
        send_all(fleet)
    assert found == (expected, expected)


def test_a_flow_on_which_the_upstream_alone_sends_stays_open():
    fleet = settled_fleet(configuration=with_idle_timeout(1, IDLE_S))
    send_all(fleet)
    before = {who: upstreams_of(fleet, who).copy() for who in CALLERS}
    for _ in range(int(3 * IDLE_S)):
        for name, node in list(fleet.nodes.items()):
            for flow in list(node._owner._flows.table):
                fleet._run(name, node.receive_on_flow(flow, b"news", fleet.now))
        fleet.run(1.0)
    assert open_flow_count(fleet) == (FLOWS, FLOWS)
    send_all(fleet)
    assert {who: upstreams_of(fleet, who) for who in CALLERS} == before
