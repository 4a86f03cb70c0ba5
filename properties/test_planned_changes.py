"""Planned changes one after another on a simulated fleet under load: no outcome is unknown."""

from __future__ import annotations

from collections import Counter

import pytest

from banyanline.core.context import Limits
from banyanline.core.effects import SendToPeer
from banyanline.core.messages import (
    Ballot,
    Claim,
    ClaimObstacle,
    Inconclusive,
    NotDispatched,
    RequestKey,
)
from banyanline.core.types import DataCentreState, Endpoint
from properties.fleets import TAKEOVER_S
from properties.simulation import ORDERS, Fleet, make_configuration

STARTUP_S = 8.0
CHANGE_INTERVAL_S = 5.0
REQUEST_INTERVAL_S = 0.02
PATIENCE_S = 4.0
RETRANSMIT_AFTER_S = 0.5
FIRST_CALLER_PORT = 4000
PAUSE_S = 5.0
LIFETIME_S = 12.0
LAST_OWNER = "c-1"
LAST_OWNER_UNCERTAIN = Inconclusive(ClaimObstacle.PREVIOUS_OWNER_LOST)
KNOWN_RED = pytest.mark.xfail(strict=True, reason="listed in KNOWN-RED.txt")


def caller_of(number):
    return Endpoint("10.0.0.1", FIRST_CALLER_PORT + number)


def join(fleet, name):
    fleet.add_host(name)


def leave(fleet, name):
    fleet.leave(name)


def take_out(fleet, data_centre):
    configuration = make_configuration(fleet.configuration.revision + 1)
    data_centres = tuple(
        entry._replace(state=DataCentreState.OUT) if entry.name == data_centre else entry
        for entry in configuration.data_centres
    )
    fleet.configure(configuration._replace(data_centres=data_centres))


def return_all(fleet, _):
    fleet.configure(make_configuration(fleet.configuration.revision + 1))


def retransmission(fleet, number, datagram):
    """Return a function that sends the request again unless it has a response."""

    def retransmit():
        if not fleet.responses_to(caller_of(number), number):
            fleet.send(ORDERS, caller_of(number), datagram)

    return retransmit


def post_for(fleet, seconds, sent):
    """Send POST requests for ``seconds``, each from another caller; return how many were sent."""
    end = fleet.now + seconds
    while fleet.now < end:
        sent += 1
        caller = caller_of(sent)
        datagram = fleet.request(ORDERS, caller, sent, f"POST-{sent}")
        fleet.send(ORDERS, caller, datagram)
        fleet.call_later(RETRANSMIT_AFTER_S, retransmission(fleet, sent, datagram))
        fleet.run(REQUEST_INTERVAL_S)
    return sent


def unserved(fleet, sent):
    """Count the requests that got no response or an unknown outcome, by that outcome."""
    counts = Counter()
    for number in range(1, sent + 1):
        responses = fleet.responses_to(caller_of(number), number)
        outcome = responses[0].payload.decode() if responses else "none"
        if outcome.startswith(("unknown", "none")):
            counts[outcome] += 1
    return counts


def untrue_refusals(fleet, sent):
    """Return the requests that were refused as not run although an upstream ran them."""
    return [
        number
        for number in range(1, sent + 1)
        for response in fleet.responses_to(caller_of(number), number)
        if response.payload.startswith(b"not-run") and fleet.upstreams.executions[f"POST-{number}"]
    ]


@pytest.mark.parametrize(
    "changes",
    [
        pytest.param([(join, "a-3"), (take_out, "c")], id="join, out"),
        pytest.param([(join, "c-3"), (take_out, "c")], id="join there, out"),
        pytest.param([(leave, "a-1"), (take_out, "c")], id="leave, out"),
        pytest.param([(leave, "c-1"), (take_out, "c")], id="leave there, out"),
        pytest.param(
            [(join, "a-3"), (leave, "a-1"), (take_out, "c"), (return_all, "")],
            id="join, leave, out, back",
        ),
        pytest.param(
            [(join, "a-3"), (take_out, "c"), (return_all, ""), (take_out, "b")],
            id="join, out, back, another out",
        ),
        pytest.param([(take_out, "c"), (leave, "a-1")], id="out, leave"),
        pytest.param([(take_out, "c"), (join, "a-3")], id="out, join"),
        pytest.param([(take_out, "c"), (join, "c-4")], id="join there while out", marks=KNOWN_RED),
        pytest.param([(take_out, "c"), (leave, "c-1")], id="leave while out", marks=KNOWN_RED),
    ],
)
def test_planned_changes_leave_no_outcome_unknown(changes):
    fleet = Fleet()
    fleet.run(STARTUP_S)
    sent = 0
    for change, argument in changes:
        change(fleet, argument)
        sent = post_for(fleet, CHANGE_INTERVAL_S, sent)
    fleet.run(PATIENCE_S)
    assert unserved(fleet, sent) == {}
    assert untrue_refusals(fleet, sent) == []
    assert max(fleet.upstreams.executions.values()) == 1


@pytest.mark.parametrize(
    ("has_lease_gap", "has_full_history", "expected"),
    [
        pytest.param(False, False, NotDispatched(), id="unbroken lease"),
        pytest.param(True, False, LAST_OWNER_UNCERTAIN, id="gap after the change"),
        pytest.param(True, True, NotDispatched(), id="gap, but the claimer saw all changes"),
    ],
)
def test_last_owner_vouches_to_a_joined_host_with_an_unbroken_lease(
    has_lease_gap, has_full_history, expected
):
    """After a partition another host may have taken over from an owner that is back."""
    fleet = Fleet()
    fleet.run(STARTUP_S)
    upstream = next(name for name, owner in owners(fleet).items() if owner == LAST_OWNER)
    take_out(fleet, "c")
    fleet.run(CHANGE_INTERVAL_S)
    if has_lease_gap:
        fleet.pause(LAST_OWNER)
        fleet.run(PAUSE_S)
        fleet.resume(LAST_OWNER)
        fleet.run(TAKEOVER_S)
    assert verdict(fleet, upstream, has_full_history=has_full_history) == expected


def test_upstream_out_for_a_request_lifetime_does_not_hinder_claims():
    fleet = Fleet(limits=Limits(request_lifetime_s=LIFETIME_S))
    fleet.run(STARTUP_S)
    upstream = next(name for name, owner in owners(fleet).items() if owner == LAST_OWNER)
    take_out(fleet, "c")
    fleet.run(LIFETIME_S + CHANGE_INTERVAL_S)
    assert verdict(fleet, upstream, has_full_history=False) == NotDispatched()


def owners(fleet):
    """Return the owners of the service's upstreams."""
    context = fleet.nodes[LAST_OWNER].context
    names = [upstream.name for upstream in context.directory.service(ORDERS).upstreams]
    return {name: context.owner_of(name) for name in names}


def verdict(fleet, upstream, *, has_full_history):
    """Return the last owner's verdict on a claim of a key that was not dispatched."""
    key = RequestKey(ORDERS, *caller_of(1), 7, b"t")
    claim = Claim(key, Ballot(1, "a-3"), ("a-1",), has_full_history, (), (upstream,))
    effects = fleet.nodes[LAST_OWNER].receive_from_peer("a-3", claim, fleet.now)
    (reply,) = [effect.message for effect in effects if isinstance(effect, SendToPeer)]
    return reply.verdict
