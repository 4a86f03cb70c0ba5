"""Graceful shutdown on simulated fleets: every request in flight is answered."""

from __future__ import annotations

import pytest
from aiocoap.numbers.codes import Code

from banyanline.core.node import Node
from properties.fleets import NAMES, TAKEOVER_S, make_caller, started_fleet
from properties.simulation import ORDERS, NetworkFaults, make_configuration

REQUEST_COUNT = 40
REQUEST_PERIOD_S = 0.1
RETRANSMIT_AFTER_S = 0.5


def retransmit(fleet, caller, datagram):
    """Retransmit an unanswered request; its datagram may have reached a host that just exited."""
    if not fleet.responses_to(caller, 7):
        fleet.send(ORDERS, caller, datagram)


def slots_held_for_previous_owners(node: Node) -> int:
    return sum(owned.gate.in_flight_at_previous_owner for owned in node.owner.owned.values())


@pytest.mark.parametrize("name", NAMES)
def test_requests_during_a_graceful_shutdown_are_answered_after_one_execution(name):
    fleet = started_fleet()
    fleet.call_later(1.0, lambda: fleet.leave(name))
    for number in range(REQUEST_COUNT):
        caller = make_caller(number)
        datagram = fleet.request(ORDERS, caller, 7, f"k{number}")
        fleet.send(ORDERS, caller, datagram)
        fleet.call_later(RETRANSMIT_AFTER_S, lambda c=caller, d=datagram: retransmit(fleet, c, d))
        fleet.run(REQUEST_PERIOD_S)
    fleet.run(TAKEOVER_S)
    responses = [fleet.responses_to(make_caller(number), 7) for number in range(REQUEST_COUNT)]
    assert [[response.code for response in got] for got in responses] == [
        [Code.CONTENT]
    ] * REQUEST_COUNT
    assert set(fleet.upstreams.executions.values()) == {1}
    assert name in fleet.stopped


def test_stopping_host_finishes_requests_in_flight_and_accepts_no_new_ones():
    fleet = started_fleet()
    fleet.upstreams.service_time_s = 2.0
    for number in range(6):
        caller = make_caller(number)
        fleet.send(ORDERS, caller, fleet.request(ORDERS, caller, 7, f"k{number}"))
    fleet.run(0.1)
    node = max(fleet.nodes.values(), key=lambda node: not node.owner.is_idle)
    name = node.context.local.name
    fleet.leave(name)
    fleet.run(1.5)
    assert not node.is_drained
    assert name in fleet.nodes
    running = fleet.nodes.values()
    assert name not in {home for other in running for home in other.context.slots.hosts}
    fleet.run(3.0)
    assert name in fleet.stopped
    answered = [fleet.responses_to(make_caller(number), 7) for number in range(6)]
    assert all(len(got) == 1 for got in answered)
    assert max(fleet.upstreams.executions.values()) == 1


@pytest.mark.parametrize(
    ("faults", "leaving"),
    [
        pytest.param(NetworkFaults(), ("a-1",), id="at once"),
        pytest.param(NetworkFaults(transfer_delay_s=0.1), ("a-1",), id="after requests ended"),
        pytest.param(NetworkFaults(transfer_delay_s=0.05), ("a-1", "b-1"), id="handed over twice"),
    ],
)
def test_slots_that_the_previous_owner_has_freed_are_used(faults, leaving):
    """Reports that a request ended at the previous owner may overtake the handover."""
    fleet = started_fleet(configuration=make_configuration(upstreams=3))
    fleet.faults = faults
    fleet.upstreams.service_time_s = 0.05
    for idx, name in enumerate(leaving):
        fleet.call_later(1.0 + 0.3 * idx, lambda name=name: fleet.leave(name))
    for number in range(150):
        caller = make_caller(number)
        fleet.send(ORDERS, caller, fleet.request(ORDERS, caller, 7, f"k{number}", Code.GET))
        fleet.run(0.01)
    fleet.run(0.5)
    assert not any(slots_held_for_previous_owners(node) for node in fleet.nodes.values())
