"""State and processor time of one balancer by role: slopes over the number of things held.

Each row is one JSON object: what was done, the role, how many, bytes held and processor
time for one. Run as ``python -m bench.measure.state KIND --sizes 10000,50000``; KIND is
one of ``home-flows``, ``owner-flows``, ``requests``, ``streams``,
``claims``, ``lookups``, ``handover``, ``stream-handover``. ``bench.measure.fit_slopes`` reads
the rows.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from itertools import islice
from typing import Any

from aiocoap.numbers.codes import Code

from banyanline.core.effects import TransferToPeer
from banyanline.core.messages import (
    Ballot,
    Claim,
    FlowData,
    FlowKey,
    HomeHandover,
    Lookup,
    RequestKey,
    ToHome,
)
from banyanline.core.types import Endpoint
from bench.measure.kinds import measure_kinds
from bench.measure.replay_world import (
    FLOW_IDLE_S,
    HOME,
    INGRESS,
    ORDERS,
    OWNER,
    PAYLOAD,
    REPEATS,
    TELEMETRY,
    UPSTREAMS_PER_SERVICE,
    US_PER_S,
    WALL_START_S,
    Cost,
    World,
    encode,
    replay,
    request,
)

FLOW_STEP_S = 0.0001
REQUEST_STEP_S = 0.002
USED_DATAGRAMS = 10_000
FLOWS_PER_LOOKUP = 24
LARGE = 50_000
ROLE_NAMES = {INGRESS: "ingress", HOME: "home", OWNER: "owner"}

Row = dict[str, Any]


def _row(what: str, role: str, held: int, count: int, cost: Cost) -> Row:
    return {
        "what": what,
        "role": ROLE_NAMES[role],
        "held": held,
        "count": count,
        "bytes": cost.held_bytes,
        "us": round(cost.cpu_us, 1),
        "us_each": round(cost.cpu_us / count, 2),
        "bytes_each": round(cost.held_bytes / count, 1),
        "longest_us": round(cost.longest_us),
    }


def _upstream(number: int) -> str:
    return f"{TELEMETRY}-target-{number % UPSTREAMS_PER_SERVICE:02}"


def _flow_message(role: str, caller: Endpoint, number: int, is_new: bool) -> bytes:
    flow = FlowKey(TELEMETRY, *caller)
    if role == HOME:
        return encode(ToHome(flow, PAYLOAD, 1))
    return encode(FlowData(flow, _upstream(number), is_new, PAYLOAD))


def give_flows(world: World, role: str, callers: list[Endpoint], is_new: bool) -> None:
    """Give datagrams of ``callers`` to the home or the owner, without what follows."""
    sender = INGRESS if role == HOME else HOME
    for number, caller in enumerate(callers):
        world.advance(FLOW_STEP_S)
        payload = _flow_message(role, caller, number, is_new)
        world.give_alone(role, "receive_from_peer", sender, payload)


def measure_home_flows(size: int) -> Iterator[Row]:
    """Open flows at their home, use some of them, and let all expire."""
    return _measure_flows(HOME, size)


def measure_owner_flows(size: int) -> Iterator[Row]:
    """Open flows at the owner of their upstreams, use some of them, and let all expire."""
    return _measure_flows(OWNER, size)


def _measure_flows(role: str, size: int) -> Iterator[Row]:
    repeats = 1 if size >= LARGE else REPEATS
    parts = [("open", size), ("datagram", min(size, USED_DATAGRAMS)), ("expire", size)]
    if size > LARGE:
        parts = parts[:1]
    world = World()
    callers = list(islice(world.callers(TELEMETRY), size))
    marks = [len(world.inputs[role])]
    give_flows(world, role, callers, is_new=True)
    marks.append(len(world.inputs[role]))
    give_flows(world, role, callers[:USED_DATAGRAMS], is_new=False)
    marks.append(len(world.inputs[role]))
    world.advance(FLOW_IDLE_S + 2.0)
    marks.append(len(world.inputs[role]))
    inputs = world.inputs[role]
    for idx, (what, count) in enumerate(parts):
        cost = replay(role, inputs, marks[idx], marks[idx + 1], repeats)
        yield _row(f"flow {what}", role, size, count, cost)


def give_requests(world: World, size: int, code: Code, observe: int | None) -> None:
    """Run requests from end to end, one after the other."""
    for number, caller in enumerate(islice(world.callers(ORDERS), size)):
        world.advance(REQUEST_STEP_S)
        payload = request(number, code, observe)
        world.give(INGRESS, "receive_from_caller", ORDERS, caller, payload)


def _measure_exchanges(what: str, size: int, code: Code, observe: int | None) -> Iterator[Row]:
    world = World()
    before = world.marks()
    world.sent_bytes.clear()
    give_requests(world, size, code, observe)
    answered = world.node(HOME).context.counters.answers
    for role in ROLE_NAMES:
        inputs = world.inputs[role]
        yield _row(what, role, size, size, replay(role, inputs, before[role], len(inputs)))
    sizes = {kind: round(sum(each) / size, 1) for kind, each in world.sent_bytes.items()}
    yield {
        "what": f"{what} payload bytes sent for one",
        "held": size,
        "sent": sizes,
        "answers": str(answered)[:200],
    }


def measure_requests(size: int) -> Iterator[Row]:
    """Run requests that are not idempotent from end to end; their keys stay in the ledgers."""
    return _measure_exchanges("request", size, Code.POST, None)


def measure_streams(size: int) -> Iterator[Row]:
    """Register streams; the keys of the registering requests stay in the ledgers as well."""
    return _measure_exchanges("stream", size, Code.GET, 0)


def measure_claims(size: int) -> Iterator[Row]:
    """Claim keys at an owner that has not seen them."""
    world = World()
    before = len(world.inputs[OWNER])
    ballot = Ballot(int(WALL_START_S * 1000), HOME)
    upstreams = tuple(f"{ORDERS}-target-{idx:02}" for idx in range(UPSTREAMS_PER_SERVICE))
    for number, caller in enumerate(islice(world.callers(ORDERS), size)):
        world.advance(FLOW_STEP_S)
        key = RequestKey(ORDERS, *caller, number % 65_536, number.to_bytes(4, "big"))
        claim = encode(Claim(key, ballot, (INGRESS,), knows_history=True, upstreams=upstreams))
        world.give_alone(OWNER, "receive_from_peer", HOME, claim)
    inputs = world.inputs[OWNER]
    yield _row("claim", OWNER, size, size, replay(OWNER, inputs, before, len(inputs)))


def measure_lookups(size: int) -> Iterator[Row]:
    """Ask an owner for flows in batches, half of which it carries."""
    world = World()
    callers = list(islice(world.callers(TELEMETRY), 2 * size))
    give_flows(world, OWNER, callers[:size], is_new=True)
    before = len(world.inputs[OWNER])
    asked = callers[size // 2 : size // 2 + size]
    for start in range(0, size, FLOWS_PER_LOOKUP):
        flows = tuple(
            FlowKey(TELEMETRY, *caller) for caller in asked[start : start + FLOWS_PER_LOOKUP]
        )
        world.give_alone(OWNER, "receive_from_peer", HOME, encode(Lookup(start, flows)))
    inputs = world.inputs[OWNER]
    yield _row("lookup of a flow", OWNER, size, size, replay(OWNER, inputs, before, len(inputs)))


def measure_handover(size: int) -> Iterator[Row]:
    """Walk over all flows of a home after a change that moves none, and one that moves some."""
    world = World()
    give_flows(world, HOME, list(islice(world.callers(TELEMETRY), size)), is_new=True)
    return _measure_walks(world, "flows", size)


def measure_stream_handover(size: int) -> Iterator[Row]:
    """Walk over all streams of a home after such changes."""
    world = World()
    give_requests(world, size, Code.GET, 0)
    return _measure_walks(world, "streams", size)


def _measure_walks(world: World, things: str, size: int) -> Iterator[Row]:
    node = world.node(HOME)
    for what, hosts in (("none moves", (INGRESS, HOME)), ("some move", (INGRESS, HOME, "joined"))):
        node.context.slots.update(hosts, world.now)
        began = time.process_time()
        node.home.placement_changed(world.now)
        spent_us = (time.process_time() - began) * US_PER_S
        chunks = [
            effect.message
            for effect in node.context.take_effects()
            if isinstance(effect, TransferToPeer) and isinstance(effect.message, HomeHandover)
        ]
        moved = sum(len(chunk.flows) + len(chunk.streams) for chunk in chunks)
        sent = sum(len(encode(chunk)) for chunk in chunks)
        yield {
            "what": f"handover of {things}, {what}",
            "role": "home",
            "held": size,
            "us": round(spent_us),
            "us_each": round(spent_us / size, 2),
            "moved": moved,
            "bytes_each": round(sent / max(1, moved), 1),
            "chunks": len(chunks),
        }


KINDS = {
    "home-flows": measure_home_flows,
    "owner-flows": measure_owner_flows,
    "requests": measure_requests,
    "streams": measure_streams,
    "claims": measure_claims,
    "lookups": measure_lookups,
    "handover": measure_handover,
    "stream-handover": measure_stream_handover,
}


if __name__ == "__main__":
    measure_kinds(__doc__, KINDS, "10000,20000,40000")
