"""Opaque flows on simulated fleets: takeover, draining, configuration and idle timeout."""

from __future__ import annotations

import pytest

from banyanline.core.context import Limits
from banyanline.core.counters import FlowEnd
from banyanline.core.error_responses import RefusalReason
from banyanline.core.types import DataCentreState, UpstreamState
from properties.fleets import (
    NAMES,
    TAKEOVER_S,
    home_of,
    make_caller,
    owner_of,
    started_fleet,
    total,
    upstreams_of,
)
from properties.simulation import RAW, Fleet, NetworkFaults, make_configuration

FLOW_COUNT = 12
CALLERS = [make_caller(number) for number in range(FLOW_COUNT)]
CONFIGURATION_APPLIED_S = 1.5


def send_all(fleet, callers=CALLERS, pause_s=1.0):
    for caller in callers:
        fleet.send(RAW, caller, b"raw")
    fleet.run(pause_s)


def open_flows(seed=1, **options):
    """Return a fleet with open flows, and the upstream of each flow."""
    fleet = started_fleet(seed, **options)
    for caller in CALLERS:
        send_all(fleet, [caller])
    return fleet, {caller: upstreams_of(fleet, caller).copy() for caller in CALLERS}


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
    caller = next(
        caller
        for caller in CALLERS
        if home_of(fleet, RAW, caller) != owner_of(fleet, next(iter(before[caller])))
    )
    (upstream,) = before[caller]
    # The upstream is leaving, so a new flow would be placed elsewhere.
    fleet.configure(with_leaving(upstream))
    fleet.run(CONFIGURATION_APPLIED_S)
    lost = home_of(fleet, RAW, caller) if role == "home" else owner_of(fleet, upstream)
    getattr(fleet, how)(lost)
    if how == "leave":
        send_all(fleet)
    fleet.run(TAKEOVER_S)
    packets = sum(fleet.upstreams.flow_packets.values())
    send_all(fleet)
    assert {caller: upstreams_of(fleet, caller) for caller in CALLERS} == before
    assert sum(fleet.upstreams.flow_packets.values()) == packets + FLOW_COUNT


def test_new_host_takes_flows_over_without_moving_them():
    fleet, before = open_flows()
    fleet.leave("b-1")
    fleet.run(TAKEOVER_S)
    fleet.start("b-1")
    for _ in range(8):
        send_all(fleet)
    assert {caller: upstreams_of(fleet, caller) for caller in CALLERS} == before


@pytest.mark.parametrize("transfer_delay_s", [0.0, 0.05, 0.2, 0.6])
@pytest.mark.parametrize("name", ["a-3", "b-3", "c-3"])
def test_packets_before_the_handovers_do_not_move_flows(name, transfer_delay_s):
    """Packets reach a new home and owner before the handovers of the previous ones do.

    Each upstream has an owner of its own, so that the previous owner is no longer one that
    a home asks.
    """
    fleet = Fleet(configuration=make_configuration(upstreams=3))
    fleet.run(TAKEOVER_S)
    callers = [make_caller(number) for number in range(200)]
    for _ in range(3):
        send_all(fleet, callers)
    before = {caller: upstreams_of(fleet, caller).copy() for caller in callers}
    fleet.faults = NetworkFaults(transfer_delay_s=transfer_delay_s)
    fleet.add_host(name)
    for _ in range(160):
        send_all(fleet, callers, pause_s=0.05)
    assert name in {owner_of(fleet, f"{RAW}-{number}") for number in range(3)}
    assert {caller: upstreams_of(fleet, caller) for caller in callers} == before


def test_full_table_refuses_and_counts_new_flows_and_keeps_the_open_ones():
    limits = Limits(flows=1, request_lifetime_s=60.0)
    fleet, before = open_flows(limits=limits)
    placed = {caller: upstreams for caller, upstreams in before.items() if upstreams}
    assert 0 < len(placed) <= len(NAMES)
    refused = total(fleet, "refusals", RefusalReason.FLOW_TABLE_FULL)
    assert refused >= FLOW_COUNT - len(placed)
    send_all(fleet, list(placed))
    assert total(fleet, "refusals", RefusalReason.FLOW_TABLE_FULL) == refused


def test_data_centre_out_of_service_gets_no_packet_and_its_flows_are_dropped():
    fleet, before = open_flows()
    out = {caller for caller in CALLERS if fleet.data_centre_of(next(iter(before[caller]))) == "a"}
    assert out
    fleet.configure(with_data_centre_out())
    fleet.run(CONFIGURATION_APPLIED_S)
    fleet.upstreams.flow_upstreams.clear()
    send_all(fleet)
    reached = set().union(*(upstreams_of(fleet, caller) for caller in CALLERS))
    assert reached
    assert "a" not in {fleet.data_centre_of(upstream) for upstream in reached}
    assert total(fleet, "flow_ends", FlowEnd.DATA_CENTRE_OUT) == len(out)
    given_up = [node.context.counters.flows_given_up[RAW] for node in fleet.nodes.values()]
    assert sum(given_up) == len(out)
    assert all(upstreams_of(fleet, caller) == before[caller] for caller in set(CALLERS) - out)


def test_drained_upstream_keeps_its_flows_and_gets_no_new_ones():
    fleet, before = open_flows()
    (upstream,) = before[CALLERS[0]]
    fleet.configure(with_leaving(upstream))
    fleet.run(CONFIGURATION_APPLIED_S)
    new_callers = [make_caller(100 + number) for number in range(2 * FLOW_COUNT)]
    send_all(fleet, new_callers)
    send_all(fleet, new_callers)
    send_all(fleet)
    assert {caller: upstreams_of(fleet, caller) for caller in CALLERS} == before
    reached = [upstreams_of(fleet, caller) for caller in new_callers]
    assert sum(map(len, reached)) > 0
    assert upstream not in set().union(*reached)


@pytest.mark.parametrize("revision", [1, 2], ids=["earlier", "same revision"])
def test_configuration_that_is_not_newer_is_ignored(revision):
    fleet = started_fleet()
    fleet.configure(with_data_centre_out(revision=2))
    fleet.run(CONFIGURATION_APPLIED_S)
    fleet.configure(make_configuration(revision))
    fleet.run(CONFIGURATION_APPLIED_S)
    for node in fleet.nodes.values():
        assert node.revision == 2
        assert not node.context.directory.configuration.is_data_centre_in_service("a")


IDLE_S = 3.0


def open_flow_count(fleet) -> tuple[int, int]:
    """Return the number of open flows at all homes and at all owners."""
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
        pytest.param(IDLE_S / 2, FLOW_COUNT, id="traffic within the timeout"),
        pytest.param(IDLE_S + 2.0, 0, id="idle"),
    ],
)
def test_flows_end_after_the_idle_timeout_of_their_service(pause_s, expected):
    fleet, _ = open_flows(configuration=with_idle_timeout(1, IDLE_S))
    for _ in range(3):
        fleet.run(pause_s)
        found = open_flow_count(fleet)
        send_all(fleet)
    assert found == (expected, expected)


def test_flow_with_packets_from_the_upstream_alone_stays_open():
    fleet = started_fleet(configuration=with_idle_timeout(1, IDLE_S))
    send_all(fleet)
    before = {caller: upstreams_of(fleet, caller).copy() for caller in CALLERS}
    for _ in range(int(3 * IDLE_S)):
        for name, node in list(fleet.nodes.items()):
            for flow in list(node._owner._flows.table):
                fleet._run_effects(name, node.receive_on_flow(flow, b"news", fleet.now))
        fleet.run(1.0)
    assert open_flow_count(fleet) == (FLOW_COUNT, FLOW_COUNT)
    send_all(fleet)
    assert {caller: upstreams_of(fleet, caller) for caller in CALLERS} == before
