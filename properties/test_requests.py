"""Requests on simulated fleets: the responses to callers and the executions by upstreams."""

from __future__ import annotations

import pytest
from aiocoap.message import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.optionnumbers import OptionNumber
from aiocoap.numbers.types import Type
from aiocoap.optiontypes import OpaqueOption

from banyanline.core.counters import DropReason
from banyanline.core.effects import SendOnFlow, SendToCaller, SendToPeer, SendToUpstream
from banyanline.core.invariants import InvariantError
from banyanline.core.messages import (
    NO_BALLOT,
    Dispatch,
    FlowData,
    FlowKey,
    KeyState,
    Notification,
    NotRun,
    OwnerHandover,
    Pending,
    RequestKey,
    Result,
    StreamKey,
    Unknown,
)
from banyanline.core.types import UpstreamState
from properties.fleets import TAKEOVER_S, home_of, make_caller, owner_of, started_fleet, total
from properties.simulation import ORDERS, READINGS, make_configuration

CALLER = make_caller()
PATIENCE_S = 4.0
PAUSE_S = 10.0


def with_critical_option() -> bytes:
    message = Message(code=Code.POST, payload=b"k")
    message.opt.add_option(OpaqueOption(OptionNumber(65021), b"v"))
    message.mtype, message.mid, message.token = Type.CON, 7, (7).to_bytes(2, "big")
    return bytes(message.encode())


def post(fleet, key="k", code=Code.POST, message_id=7, caller=CALLER):
    datagram = fleet.request(ORDERS, caller, message_id, key, code)
    fleet.send(ORDERS, caller, datagram)
    return datagram


def put_all_in_state(fleet, state):
    configuration = make_configuration(fleet.configuration.revision + 1)
    services = tuple(
        service._replace(
            upstreams=tuple(upstream._replace(state=state) for upstream in service.upstreams)
        )
        for service in configuration.services
    )
    fleet.configure(configuration._replace(services=services))
    fleet.run(1.0)


def dispatch(fleet, owner, upstream="orders-0", service=ORDERS, code=Code.POST):
    request = fleet.request(service, CALLER, 7, "k", code)
    key = RequestKey(service, *CALLER, 7, b"\x00\x07")
    incarnation = fleet.nodes[owner].context.incarnation
    return Dispatch(
        1,
        incarnation,
        key,
        upstream,
        3000,
        NO_BALLOT,
        1,
        code is Code.GET,
        False,
        False,
        False,
        request,
    )


@pytest.mark.parametrize(
    "delay_s", [0.005, 0.5, 20.0], ids=["in flight", "after the response", "long after"]
)
def test_retransmission_gets_the_same_response_and_one_execution(delay_s):
    fleet = started_fleet()
    datagram = post(fleet)
    fleet.run(delay_s)
    for _ in range(3):
        fleet.send(ORDERS, CALLER, datagram)
    fleet.run(1.0)
    responses = fleet.responses_to(CALLER, 7)
    assert len({response.payload for response in responses}) == 1
    assert responses[0].code is Code.CONTENT
    assert fleet.upstreams.executions["k"] == 1


@pytest.mark.parametrize("number", [1, 2, 3])
def test_new_home_repeats_the_response_of_the_lost_home(number):
    fleet = started_fleet()
    caller = make_caller(number)
    datagram = post(fleet, caller=caller)
    fleet.run(1.0)
    fleet.crash(home_of(fleet, ORDERS, caller))
    fleet.run(TAKEOVER_S)
    fleet.send(ORDERS, caller, datagram)
    fleet.run(1.0)
    first, repeated = fleet.responses_to(caller, 7)
    assert (repeated.code, repeated.payload) == (Code.CONTENT, first.payload)
    assert fleet.upstreams.executions["k"] == 1


def test_get_whose_earlier_dispatch_is_lost_runs_at_another_upstream():
    fleet = started_fleet()
    home = home_of(fleet, ORDERS, CALLER)
    upstream, owner = next(
        (f"orders-{idx}", owner_of(fleet, f"orders-{idx}"))
        for idx in range(6)
        if owner_of(fleet, f"orders-{idx}") != home
    )
    fleet.upstreams.service_time_s = PATIENCE_S
    fleet.nodes[owner].receive_from_peer(
        "earlier-home", dispatch(fleet, owner, upstream, code=Code.GET), fleet.now
    )
    put_all_in_state(fleet, UpstreamState.LEAVING)
    post(fleet, code=Code.GET)
    fleet.run(0.1)
    assert fleet.nodes[home].context.counters.claims["carried"] == 1
    put_all_in_state(fleet, UpstreamState.IN_SERVICE)
    fleet.upstreams.service_time_s = 0.02
    fleet.crash(owner)
    fleet.run(PATIENCE_S)
    (response,) = fleet.responses_to(CALLER, 7)
    assert response.code is Code.CONTENT


@pytest.mark.parametrize(
    ("service", "datagram", "drop"),
    [
        pytest.param(ORDERS, b"\xff\xff\xff\xff", DropReason.MALFORMED, id="malformed"),
        pytest.param(ORDERS, bytes(1401), DropReason.OVERSIZED, id="oversized"),
        pytest.param(ORDERS, b"\x60\x45\x00\x07", DropReason.STRAY_RESPONSE, id="response"),
        pytest.param(ORDERS, b"\x70\x00\x00\x07", DropReason.STRAY_EMPTY, id="stray reset"),
        pytest.param("other", b"\x40\x01\x00\x07", DropReason.UNKNOWN_SERVICE, id="service"),
    ],
)
def test_unusable_datagram_is_dropped_and_counted(service, datagram, drop):
    fleet = started_fleet()
    fleet.send(service, CALLER, datagram)
    fleet.run(0.5)
    assert total(fleet, "drops", drop) == 1
    assert not fleet.responses


@pytest.mark.parametrize(
    ("datagram", "code", "kind", "token"),
    [
        pytest.param(with_critical_option(), Code.BAD_OPTION, Type.ACK, b"\x00\x07", id="option"),
        pytest.param(b"\x40\x00\x00\x07", Code.EMPTY, Type.RST, b"", id="ping"),
    ],
)
def test_datagram_is_answered_without_an_upstream(datagram, code, kind, token):
    fleet = started_fleet()
    fleet.send(ORDERS, CALLER, datagram)
    fleet.run(0.5)
    (response,) = fleet.responses[CALLER, token]
    assert (response.code, response.mtype, response.mid) == (code, kind, 7)
    assert not fleet.upstreams.executions


@pytest.mark.parametrize("code", [Code.POST, Code.GET], ids=["post", "get"])
def test_past_the_deadline_the_outcome_is_unknown_and_the_upstream_gets_a_reset(monkeypatch, code):
    fleet = started_fleet()
    fleet.upstreams.service_time_s = 60.0
    resets = []
    receive = fleet.upstreams.receive

    def record_reset(balancer, upstream, payload):
        if Message.decode(payload).mtype is Type.RST:
            resets.append(upstream)
        receive(balancer, upstream, payload)

    monkeypatch.setattr(fleet.upstreams, "receive", record_reset)
    sent_at = fleet.now
    post(fleet, code=code)
    fleet.run(PATIENCE_S + 1.0)
    (response,) = fleet.responses_to(CALLER, 7)
    assert (response.code, response.payload) == (Code.GATEWAY_TIMEOUT, b"unknown:upstream_timeout")
    assert fleet.response_times(CALLER, 7)[0] <= sent_at + PATIENCE_S
    assert resets == [fleet.upstreams.upstream_by_key["k"]]


@pytest.mark.parametrize(
    ("code", "expected_code", "executions"),
    [
        pytest.param(Code.GET, Code.CONTENT, 2, id="idempotent is retried"),
        pytest.param(Code.POST, Code.GATEWAY_TIMEOUT, 1, id="post is not"),
    ],
)
def test_crash_of_the_owner_with_the_request_in_flight(code, expected_code, executions):
    fleet = started_fleet()
    fleet.upstreams.service_time_s = 1.5
    post(fleet, code=code)
    fleet.run(0.1)
    fleet.crash(owner_of(fleet, fleet.upstreams.upstream_by_key["k"]))
    fleet.upstreams.service_time_s = 0.02
    fleet.run(PATIENCE_S)
    responses = fleet.responses_to(CALLER, 7)
    assert [response.code for response in responses] == [expected_code]
    assert fleet.upstreams.executions["k"] == executions


FLOW = FlowKey(READINGS, *CALLER)


@pytest.mark.parametrize(
    "message",
    [
        pytest.param(FlowData(FLOW, "orders-0", True, b"x"), id="datagram"),
        pytest.param(
            Notification(StreamKey(*FLOW, b"t"), "orders-0", "b-1", 1, b"", b"", 0),
            id="notification",
        ),
        pytest.param(None, id="request"),
    ],
)
def test_packet_for_another_services_upstream_stops_the_process(message):
    fleet = started_fleet()
    owner = owner_of(fleet, "orders-0")
    if message is None:
        message = dispatch(fleet, owner, service=READINGS)
    with pytest.raises(InvariantError, match="of another service"):
        fleet.nodes[owner].receive_from_peer("b-1", message, fleet.now)


def test_refusal_of_an_earlier_attempt_does_not_end_a_request_that_runs():
    """The handover of an upstream arrives while this owner runs the next attempt elsewhere."""
    fleet = started_fleet()
    owner = owner_of(fleet, "orders-0")
    home = next(name for name in fleet.nodes if name != owner)
    node = fleet.nodes[owner]
    message = dispatch(fleet, owner)
    assert any(
        isinstance(effect, SendToUpstream)
        for effect in node.receive_from_peer(home, message, fleet.now)
    )
    gate = node.owner.owned["orders-0"].gate
    gate.begin_handover(fleet.now)
    refused = KeyState(message.key, "orders-1", NotRun("owner_moved", 1.0), NO_BALLOT)
    state = gate.export_state(fleet.now)
    handover = OwnerHandover("orders-1", state, (), (refused,), (), True)
    effects = node.receive_from_peer(home, handover, fleet.now)
    effects += node.receive_from_peer(home, message, fleet.now)
    results = [
        effect.message.outcome
        for effect in effects
        if isinstance(effect, SendToPeer) and isinstance(effect.message, Result)
    ]
    assert results == [Pending()]


def test_restarted_owner_does_not_execute_a_dispatch_to_its_previous_process():
    fleet = started_fleet()
    owner = owner_of(fleet, "orders-0")
    message = dispatch(fleet, owner)
    fleet.crash(owner)
    fleet.run(TAKEOVER_S)
    node = fleet.start(owner)
    fleet.run(TAKEOVER_S)
    effects = node.receive_from_peer("b-1", message, fleet.now)
    results = [effect.message for effect in effects if isinstance(effect, SendToPeer)]
    assert results == [Result(1, message.key, Unknown("owner_lost"), results[0].load)]
    assert not any(isinstance(effect, SendToUpstream) for effect in effects)
    new_dispatch = dispatch(fleet, owner)
    effects = node.receive_from_peer("b-1", new_dispatch, fleet.now)
    assert any(isinstance(effect, SendToUpstream) for effect in effects)


@pytest.mark.parametrize("role", ["home", "owner"])
def test_resumed_host_neither_executes_nor_refuses_a_request(role):
    fleet = started_fleet()
    owner = owner_of(fleet, "orders-0")
    caller = next(
        caller for caller in map(make_caller, range(99)) if home_of(fleet, ORDERS, caller) == owner
    )
    request = fleet.request(ORDERS, caller, 9, "late")
    node = fleet.nodes[owner]
    now = fleet.now + PAUSE_S
    if role == "home":
        effects = node.receive_from_caller(ORDERS, caller, request, now)
    else:
        effects = node.receive_from_peer("b-1", dispatch(fleet, owner), now)
    sends = (SendToUpstream, SendToCaller, SendOnFlow)
    assert not [effect for effect in effects if isinstance(effect, sends)]


def test_requests_around_a_pause_are_executed_at_most_once_and_refusals_are_correct():
    fleet = started_fleet()
    fleet.pause("a-1")
    for number in range(30):
        datagram = post(fleet, f"k{number}", caller=make_caller(number))
        for delay_s in (0.5, 2.0, PAUSE_S + 0.01):
            fleet.call_later(
                delay_s, lambda d=datagram, n=number: fleet.send(ORDERS, make_caller(n), d)
            )
        fleet.run(0.05)
    fleet.call_later(PAUSE_S - 1.5, lambda: fleet.resume("a-1"))
    fleet.run(PAUSE_S + PATIENCE_S)
    assert max(fleet.upstreams.executions.values()) == 1
    for number in range(30):
        responses = fleet.responses_to(make_caller(number), 7)
        assert responses
        is_executed = fleet.upstreams.executions[f"k{number}"]
        assert not (is_executed and any(b"not-run" in response.payload for response in responses))
