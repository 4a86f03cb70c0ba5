from __future__ import annotations

import random
from typing import Any

import pytest

from banyanline.core.effects import SendToPeer
from banyanline.core.error_responses import RefusalReason
from banyanline.core.home.claims import (
    ClaimAlreadyDispatched,
    ClaimGranted,
    ClaimInconclusive,
    ClaimPending,
    PendingClaims,
)
from banyanline.core.ledger import Attempt
from banyanline.core.messages import (
    NO_BALLOT,
    AlreadyDispatched,
    Answered,
    Ballot,
    Claim,
    ClaimObstacle,
    ClaimReply,
    Inconclusive,
    NotDispatched,
    NotRun,
    Pending,
    RequestKey,
    Unknown,
)
from banyanline.core.model import ColdStart, Configuration, DataCentre, Service, Upstream
from banyanline.core.node import Node, NodeSettings
from banyanline.core.types import Endpoint, Host, Protocol

KEY = RequestKey("orders", "192.0.2.1", 40000, 7, b"t")
HOSTS = tuple(Host(f"{dc}-1", dc, "g", f"192.0.2.{idx}", 1, 2) for idx, dc in enumerate("abc"))
UPSTREAMS = tuple(
    Upstream(f"orders-{dc}", "orders", dc, Endpoint(f"203.0.113.{idx}", 5683))
    for idx, dc in enumerate("abc")
)
ADDRESS = Endpoint("198.51.100.1", 5683)
CONFIGURATION = Configuration(
    1,
    tuple(DataCentre(dc) for dc in "abc"),
    (),
    (Service("orders", ADDRESS, 5683, Protocol.COAP, UPSTREAMS, ColdStart()),),
)
DONE = AlreadyDispatched("orders-a", Answered(b"x"))
REFUSED = AlreadyDispatched("orders-a", NotRun(RefusalReason.UPSTREAM_SHED, 1.0))
AWAITING_HANDOVER = Inconclusive(ClaimObstacle.AWAITING_HANDOVER)
LOST = Inconclusive(ClaimObstacle.PREVIOUS_OWNER_LOST)


def node(hosts: tuple[Host, ...] = HOSTS) -> Node:
    new_node = Node(NodeSettings(HOSTS[0], 1), random.Random(1), lambda: 1.7e9, 0.0)
    new_node.apply_host_list(hosts, 0.0)
    new_node.configure(CONFIGURATION, 0.0)
    return new_node


def start_claim() -> tuple[PendingClaims, Ballot, list[str]]:
    started = node()
    started.tick(3.0)
    context = started.context
    claims = PendingClaims(context)
    context.take_effects()
    ballot, state = claims.start(KEY, 0, 3.0)
    assert isinstance(state, ClaimPending)
    asked = [effect.host for effect in context.take_effects() if isinstance(effect, SendToPeer)]
    assert all(isinstance(message, Claim) for message in context.loopback)
    return claims, ballot, sorted([*asked, *["a-1"] * len(context.loopback)])


@pytest.mark.parametrize(
    ("verdicts", "expected"),
    [
        pytest.param(
            [NotDispatched(), NotDispatched(), NotDispatched()],
            ClaimGranted,
            id="dispatched nowhere",
        ),
        pytest.param([NotDispatched(), NotDispatched()], ClaimPending, id="one reply is missing"),
        pytest.param([NotDispatched(), DONE], ClaimAlreadyDispatched, id="already dispatched"),
        pytest.param(
            [REFUSED, NotDispatched()], ClaimPending, id="refused by one, one reply is missing"
        ),
        pytest.param(
            [REFUSED, NotDispatched(), NotDispatched()], ClaimAlreadyDispatched, id="refused by one"
        ),
        pytest.param([REFUSED, DONE], ClaimAlreadyDispatched, id="refused by one, run by another"),
        pytest.param([NotDispatched(), AWAITING_HANDOVER], ClaimInconclusive, id="handover"),
        pytest.param([LOST], ClaimInconclusive, id="owner lost"),
    ],
)
def test_claim_needs_replies_of_all_owners(verdicts, expected):
    claims, ballot, asked = start_claim()
    assert asked == ["a-1", "b-1", "c-1"]
    state: Any = None
    for host, verdict in zip(asked, verdicts, strict=False):
        state = claims.receive(host, ClaimReply(KEY, ballot, verdict))
    assert isinstance(state, expected)
    assert len(claims) == (expected is ClaimPending)
    if DONE in verdicts:
        assert state.outcome == DONE.outcome
    if isinstance(state, ClaimInconclusive):
        assert state.is_final is (LOST in verdicts)


@pytest.mark.parametrize(
    ("change", "sender"),
    [
        pytest.param({"ballot": NO_BALLOT}, "c-1", id="earlier ballot"),
        pytest.param({"key": KEY._replace(message_id=8)}, "c-1", id="another key"),
        pytest.param({}, "b-1", id="the same owner twice"),
        pytest.param({}, "d-1", id="a host that was not asked"),
    ],
)
def test_stale_or_unrelated_reply_is_ignored(change, sender):
    claims, ballot, _ = start_claim()
    for host in ("a-1", "b-1"):
        claims.receive(host, ClaimReply(KEY, ballot, NotDispatched()))
    reply = ClaimReply(**({"key": KEY, "ballot": ballot, "verdict": NotDispatched()} | change))
    assert claims.receive(sender, reply) == ClaimPending()
    assert len(claims) == 1


def test_later_claims_have_higher_ballots_within_one_millisecond():
    claims, ballot, _ = start_claim()
    assert claims.start(KEY, 0, 3.0)[0] > ballot


def test_claim_that_awaits_a_dead_host_is_abandoned():
    claims, ballot, _ = start_claim()
    claims.receive("b-1", ClaimReply(KEY, ballot, NotDispatched()))
    assert claims.abandon_awaiting("b-1") == []
    assert claims.abandon_awaiting("c-1") == [KEY]
    assert len(claims) == 0


def reply_all(claims: PendingClaims, ballot: Ballot) -> None:
    for host in ("a-1", "b-1", "c-1"):
        claims.receive(host, ClaimReply(KEY, ballot, NotDispatched()))


@pytest.mark.parametrize(
    ("end", "course"),
    [
        pytest.param(reply_all, "free", id="decided"),
        pytest.param(lambda claims, _: claims.abandon_awaiting("c-1"), "abandoned", id="dead host"),
        pytest.param(lambda claims, _: claims.drop(KEY), "abandoned", id="deadline"),
    ],
)
def test_every_started_claim_is_counted_once_as_ended(end, course):
    claims, ballot, _ = start_claim()
    end(claims, ballot)
    claims.drop(KEY)
    assert claims._context.counters.claims == {"started": 1, course: 1}


def single_host_node() -> Node:
    """Return the node of a single-host fleet, which owns all upstreams."""
    new_node = node(HOSTS[:1])
    for now in (0.0, 3.0, 6.0):
        new_node.tick(now)
    return new_node


CLAIM = Claim(KEY, Ballot(5, "b-1"), ("b-1",), True, ("orders-a",))


@pytest.mark.parametrize(
    ("change", "outcome", "now", "expected"),
    [
        pytest.param({}, None, 6.0, NotDispatched(), id="never dispatched"),
        pytest.param({}, Pending(), 6.0, AlreadyDispatched("orders-a", Pending()), id="pending"),
        pytest.param(
            {}, Unknown("x"), 6.0, AlreadyDispatched("orders-a", Unknown("x")), id="unknown"
        ),
        pytest.param({}, REFUSED.outcome, 6.0, REFUSED, id="refused"),
        pytest.param(
            {"upstreams": ("orders-z",)},
            None,
            6.0,
            Inconclusive(ClaimObstacle.NOT_OWNER),
            id="not the owner",
        ),
        pytest.param(
            {"former_upstreams": ("orders-z",)}, None, 6.0, LOST, id="was not the last owner"
        ),
        pytest.param(
            {"former_upstreams": ("orders-a",)},
            None,
            6.0,
            Inconclusive(ClaimObstacle.NOT_OWNER),
            id="in service according to this owner",
        ),
        pytest.param(
            {"upstreams": ("orders-z",)},
            REFUSED.outcome,
            6.0,
            Inconclusive(ClaimObstacle.NOT_OWNER),
            id="refused, but not the owner",
        ),
    ],
)
def test_owner_reply_to_a_claim(change, outcome, now, expected):
    owner = single_host_node()
    if outcome is not None:
        admitted: Any = owner.owner._ledger.admit(KEY, NO_BALLOT, "orders-a", now)
        admitted.record.outcome = outcome
        admitted.record.last_attempt = Attempt("b-1", 1)
    claim = Claim(**({field: getattr(CLAIM, field) for field in CLAIM.__struct_fields__} | change))
    effects = owner.receive_from_peer("b-1", claim, now)
    replies = [effect.message for effect in effects if isinstance(effect, SendToPeer)]
    assert replies == [ClaimReply(KEY, CLAIM.ballot, expected)]


@pytest.mark.parametrize(
    ("ballot", "expected"),
    [
        pytest.param(Ballot(4, "z-1"), Inconclusive(ClaimObstacle.SUPERSEDED), id="lower"),
        pytest.param(CLAIM.ballot, NotDispatched(), id="the same again"),
        pytest.param(Ballot(5, "c-1"), NotDispatched(), id="same time, higher host"),
    ],
)
def test_second_claim_of_an_undispatched_key(ballot, expected):
    owner = single_host_node()
    owner.receive_from_peer("b-1", CLAIM, 6.0)
    claim = Claim(KEY, ballot, ("b-1",), True, ("orders-a",))
    effects = owner.receive_from_peer("b-1", claim, 6.0)
    assert [effect.message for effect in effects if isinstance(effect, SendToPeer)] == [
        ClaimReply(KEY, ballot, expected)
    ]
