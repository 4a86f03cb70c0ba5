"""Streams on simulated fleets: how they end, and that they survive the loss of a host."""

from __future__ import annotations

import pytest
from aiocoap.message import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type

from banyanline.core import coap
from banyanline.core.counters import FlowEnd
from banyanline.core.types import DataCentreState
from properties.fleets import (
    NAMES,
    TAKEOVER_S,
    any_node,
    home_of,
    make_caller,
    owner_of,
    started_fleet,
    total,
)
from properties.simulation import READINGS, make_configuration

CALLER = make_caller()


def open_stream(seed=1, caller=CALLER):
    fleet = started_fleet(seed)
    fleet.send(READINGS, caller, fleet.request(READINGS, caller, 7, "s", Code.GET, observe=0))
    fleet.run(0.5)
    ((_, upstream, _),) = fleet.upstreams.streams
    return fleet, upstream


def send_notifications(fleet):
    """Send one notification on every stream; return those that the caller received."""
    before = len(fleet.responses_to(CALLER, 7))
    fleet.upstreams.notify()
    fleet.run(0.5)
    return fleet.responses_to(CALLER, 7)[before:]


def deregister(fleet, upstream):
    register = fleet.request(READINGS, CALLER, 7, "s", Code.GET, observe=0)
    token = (7).to_bytes(2, "big")
    fleet.send(READINGS, CALLER, coap.encode_deregistration(8, token, register))


def reject(fleet, upstream):
    (notification,) = send_notifications(fleet)
    fleet.send(READINGS, CALLER, coap.encode_empty(Type.RST, notification.mid))


def end_at_upstream(fleet, upstream):
    ((balancer, _, token),) = fleet.upstreams.streams
    fleet.upstreams.streams.clear()
    message = Message(code=Code.NOT_FOUND)
    message.mtype, message.mid, message.token = Type.NON, 99, token
    fleet.send_from_upstream(balancer, upstream, bytes(message.encode()), 0.0)


def take_data_centre_out(fleet, upstream):
    configuration = make_configuration(2)
    out = fleet.data_centre_of(upstream)
    fleet.configure(
        configuration._replace(
            data_centres=tuple(
                entry._replace(state=DataCentreState.OUT) if entry.name == out else entry
                for entry in configuration.data_centres
            )
        )
    )
    fleet.run(1.0)


def test_notifications_reach_the_caller_in_order():
    fleet, upstream = open_stream()
    seen = [send_notifications(fleet) for _ in range(3)]
    assert [len(batch) for batch in seen] == [1, 1, 1]
    assert {batch[0].payload.decode() for batch in seen} == {f"n@{upstream}"}
    numbers = [batch[0].opt.observe for batch in seen]
    assert numbers == sorted(set(numbers))


@pytest.mark.parametrize(
    ("end", "reason", "last_code"),
    [
        pytest.param(deregister, FlowEnd.CALLER_LEFT, Code.CONTENT, id="deregistration"),
        pytest.param(reject, FlowEnd.CALLER_LEFT, Code.CONTENT, id="reset"),
        pytest.param(end_at_upstream, FlowEnd.UPSTREAM_ENDED, Code.NOT_FOUND, id="upstream"),
        pytest.param(
            take_data_centre_out,
            FlowEnd.DATA_CENTRE_OUT,
            Code.SERVICE_UNAVAILABLE,
            id="data centre out",
        ),
    ],
)
def test_ended_stream_is_removed_at_home_owner_and_upstream(end, reason, last_code):
    fleet, upstream = open_stream()
    end(fleet, upstream)
    fleet.run(0.5)
    assert fleet.responses_to(CALLER, 7)[-1].code is last_code
    assert send_notifications(fleet) == []
    assert sum(len(node.home.streams) for node in fleet.nodes.values()) == 0
    assert total(fleet, "flow_ends", reason) == 1
    if reason is FlowEnd.CALLER_LEFT:
        assert not fleet.upstreams.streams


def test_reset_of_another_caller_does_not_end_the_stream():
    fleet, _ = open_stream()
    (notification,) = send_notifications(fleet)
    home = home_of(fleet, READINGS, CALLER)
    other = next(
        caller
        for caller in map(make_caller, range(2, 99))
        if home_of(fleet, READINGS, caller) == home
    )
    fleet.send(READINGS, other, coap.encode_empty(Type.RST, notification.mid))
    fleet.run(0.5)
    assert len(send_notifications(fleet)) == 1


@pytest.mark.parametrize("how", ["crash", "leave"])
@pytest.mark.parametrize("role", ["home", "owner", "third"])
def test_stream_survives_the_loss_of_one_host(role, how):
    fleet, upstream = open_stream()
    home, owner = home_of(fleet, READINGS, CALLER), owner_of(fleet, upstream)
    others = [name for name in NAMES if name not in (home, owner)]
    getattr(fleet, how)({"home": home, "owner": owner, "third": others[0]}[role])
    fleet.run(TAKEOVER_S)
    batch = [notification.payload.decode() for notification in send_notifications(fleet)]
    assert batch == [f"n@{upstream}"]
    assert any_node(fleet).context.counters.flows_given_up == {}
