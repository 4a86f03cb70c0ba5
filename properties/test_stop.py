"""Planned stops on fleets of cores: no request is cut."""

from __future__ import annotations

import pytest
from aiocoap.numbers.codes import Code

from properties.bus import ORDERS
from properties.scenes import NAMES, TAKEOVER_S, caller, settled_fleet

REQUESTS = 40
PERIOD_S = 0.1
RETRANSMIT_AFTER_S = 0.5


def send_again(fleet, who, datagram):
    """Repeat an unanswered request, as one whose datagram met a host that had just ended."""
    if not fleet.answers_to(who, 7):
        fleet.send(ORDERS, who, datagram)


@pytest.mark.parametrize("name", NAMES)
def test_every_request_around_a_planned_stop_is_answered_after_one_run(name):
    fleet = settled_fleet()
    fleet.later(1.0, lambda: fleet.leave(name))
    for number in range(REQUESTS):
        who = caller(number)
        datagram = fleet.request(ORDERS, who, 7, f"k{number}")
        fleet.send(ORDERS, who, datagram)
        fleet.later(RETRANSMIT_AFTER_S, lambda w=who, d=datagram: send_again(fleet, w, d))
        fleet.run(PERIOD_S)
    fleet.run(TAKEOVER_S)
    answers = [fleet.answers_to(caller(number), 7) for number in range(REQUESTS)]
    assert [[answer.code for answer in got] for got in answers] == [[Code.CONTENT]] * REQUESTS
    assert set(fleet.upstreams.runs.values()) == {1}
    assert name in fleet.stopped


def test_host_that_stops_finishes_what_runs_and_takes_no_new_work():
    fleet = settled_fleet()
    fleet.upstreams.service_s = 2.0
    for number in range(6):
        who = caller(number)
        fleet.send(ORDERS, who, fleet.request(ORDERS, who, 7, f"k{number}"))
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
    answered = [fleet.answers_to(caller(number), 7) for number in range(6)]
    assert all(len(got) == 1 for got in answered)
    assert max(fleet.upstreams.runs.values()) == 1
