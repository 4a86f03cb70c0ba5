"""Measures the memory and processor time of one balancer by role, over the amount of state held.

Each row is one JSON object: the operation, the role, the counts, and the memory and processor
time in total and for each item. Run as
``python -m bench.measure.state KIND --sizes 10000,50000``; KIND is one of ``home-flows``,
``owner-flows``, ``requests``, ``streams``, ``claims``, ``lookups``, ``handover``,
``stream-handover``. ``bench.measure.fit_slopes`` fits slopes to the rows.
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
from bench.measure.command_line import run_measurement
from bench.measure.recorded_fleet import (
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
    RecordedFleet,
    encode,
    encode_request,
    replay,
)

FLOW_STEP_S = 0.0001
REQUEST_STEP_S = 0.002
DATAGRAMS_ON_OPEN_FLOWS = 10_000
FLOWS_PER_LOOKUP = 24
LARGE_SIZE = 50_000
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


def send_flow_datagrams(
    fleet: RecordedFleet, role: str, callers: list[Endpoint], is_new: bool
) -> None:
    """Send one datagram of each caller to the home or the owner, and discard the effects."""
    sender = INGRESS if role == HOME else HOME
    for number, caller in enumerate(callers):
        fleet.advance(FLOW_STEP_S)
        payload = _flow_message(role, caller, number, is_new)
        fleet.apply_input(role, "receive_from_peer", sender, payload)


def measure_home_flows(size: int) -> Iterator[Row]:
    """Open flows at their home, send datagrams on some of them, and let all expire."""
    return _measure_flows(HOME, size)


def measure_owner_flows(size: int) -> Iterator[Row]:
    """Open flows at the owner, send datagrams on some of them, and let all expire."""
    return _measure_flows(OWNER, size)


def _measure_flows(role: str, size: int) -> Iterator[Row]:
    repeats = 1 if size >= LARGE_SIZE else REPEATS
    phases = [("open", size), ("datagram", min(size, DATAGRAMS_ON_OPEN_FLOWS)), ("expire", size)]
    if size > LARGE_SIZE:
        phases = phases[:1]
    fleet = RecordedFleet()
    callers = list(islice(fleet.callers(TELEMETRY), size))
    boundaries = [len(fleet.inputs[role])]
    send_flow_datagrams(fleet, role, callers, is_new=True)
    boundaries.append(len(fleet.inputs[role]))
    send_flow_datagrams(fleet, role, callers[:DATAGRAMS_ON_OPEN_FLOWS], is_new=False)
    boundaries.append(len(fleet.inputs[role]))
    fleet.advance(FLOW_IDLE_S + 2.0)
    boundaries.append(len(fleet.inputs[role]))
    inputs = fleet.inputs[role]
    for idx, (what, count) in enumerate(phases):
        cost = replay(role, inputs, boundaries[idx], boundaries[idx + 1], repeats)
        yield _row(f"flow {what}", role, size, count, cost)


def run_requests(fleet: RecordedFleet, size: int, code: Code, observe: int | None) -> None:
    """Run requests end to end through all three roles, one after the other."""
    for number, caller in enumerate(islice(fleet.callers(ORDERS), size)):
        fleet.advance(REQUEST_STEP_S)
        payload = encode_request(number, code, observe)
        fleet.deliver(INGRESS, "receive_from_caller", ORDERS, caller, payload)


def _measure_end_to_end(what: str, size: int, code: Code, observe: int | None) -> Iterator[Row]:
    fleet = RecordedFleet()
    before = fleet.input_counts()
    fleet.sent_bytes.clear()
    run_requests(fleet, size, code, observe)
    answered = fleet.node(HOME).context.counters.answers
    for role in ROLE_NAMES:
        inputs = fleet.inputs[role]
        yield _row(what, role, size, size, replay(role, inputs, before[role], len(inputs)))
    sizes = {kind: round(sum(each) / size, 1) for kind, each in fleet.sent_bytes.items()}
    yield {
        "what": f"{what} payload bytes sent for one",
        "held": size,
        "sent": sizes,
        "answers": str(answered)[:200],
    }


def measure_requests(size: int) -> Iterator[Row]:
    """Run non-idempotent requests end to end; their keys stay in the ledgers."""
    return _measure_end_to_end("request", size, Code.POST, None)


def measure_streams(size: int) -> Iterator[Row]:
    """Register streams; the keys of the registering requests stay in the ledgers as well."""
    return _measure_end_to_end("stream", size, Code.GET, 0)


def measure_claims(size: int) -> Iterator[Row]:
    """Claim request keys that the owner has not seen before."""
    fleet = RecordedFleet()
    before = len(fleet.inputs[OWNER])
    ballot = Ballot(int(WALL_START_S * 1000), HOME)
    upstreams = tuple(f"{ORDERS}-target-{idx:02}" for idx in range(UPSTREAMS_PER_SERVICE))
    for number, caller in enumerate(islice(fleet.callers(ORDERS), size)):
        fleet.advance(FLOW_STEP_S)
        key = RequestKey(ORDERS, *caller, number % 65_536, number.to_bytes(4, "big"))
        claim = encode(Claim(key, ballot, (INGRESS,), has_full_history=True, upstreams=upstreams))
        fleet.apply_input(OWNER, "receive_from_peer", HOME, claim)
    inputs = fleet.inputs[OWNER]
    yield _row("claim", OWNER, size, size, replay(OWNER, inputs, before, len(inputs)))


def measure_lookups(size: int) -> Iterator[Row]:
    """Look up flows at an owner in batches; the owner knows half of them."""
    fleet = RecordedFleet()
    callers = list(islice(fleet.callers(TELEMETRY), 2 * size))
    send_flow_datagrams(fleet, OWNER, callers[:size], is_new=True)
    before = len(fleet.inputs[OWNER])
    queried = callers[size // 2 : size // 2 + size]
    for start in range(0, size, FLOWS_PER_LOOKUP):
        flows = tuple(
            FlowKey(TELEMETRY, *caller) for caller in queried[start : start + FLOWS_PER_LOOKUP]
        )
        fleet.apply_input(OWNER, "receive_from_peer", HOME, encode(Lookup(start, flows)))
    inputs = fleet.inputs[OWNER]
    yield _row("lookup of a flow", OWNER, size, size, replay(OWNER, inputs, before, len(inputs)))


def measure_handover(size: int) -> Iterator[Row]:
    """Process two placement changes at a home: one moves none of its flows, the other some."""
    fleet = RecordedFleet()
    send_flow_datagrams(fleet, HOME, list(islice(fleet.callers(TELEMETRY), size)), is_new=True)
    return _measure_placement_changes(fleet, "flows", size)


def measure_stream_handover(size: int) -> Iterator[Row]:
    """Process the same two placement changes at a home that holds streams."""
    fleet = RecordedFleet()
    run_requests(fleet, size, Code.GET, 0)
    return _measure_placement_changes(fleet, "streams", size)


def _measure_placement_changes(fleet: RecordedFleet, item_kind: str, size: int) -> Iterator[Row]:
    node = fleet.node(HOME)
    for what, hosts in (("none moves", (INGRESS, HOME)), ("some move", (INGRESS, HOME, "joined"))):
        node.context.slots.update(hosts, fleet.now)
        started_s = time.process_time()
        node.home.placement_changed(fleet.now)
        spent_us = (time.process_time() - started_s) * US_PER_S
        chunks = [
            effect.message
            for effect in node.context.take_effects()
            if isinstance(effect, TransferToPeer) and isinstance(effect.message, HomeHandover)
        ]
        moved = sum(len(chunk.flows) + len(chunk.streams) for chunk in chunks)
        sent = sum(len(encode(chunk)) for chunk in chunks)
        yield {
            "what": f"handover of {item_kind}, {what}",
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
    run_measurement(__doc__, KINDS, "10000,20000,40000")
