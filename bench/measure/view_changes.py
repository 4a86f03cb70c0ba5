"""Measures the cost of a view change for one balancer, and of handing over upstreams.

    python -m bench.measure.view_changes tables --sizes 9,73,220,440
    python -m bench.measure.view_changes memory --sizes 9,73,220,440
    python -m bench.measure.view_changes cede-flows --sizes 5000,10000,20000
    python -m bench.measure.view_changes cede-keys --sizes 1000,2000,4000

``tables`` updates the tables of homes and owners after one host of the fabric group was lost
and after it came back, with 3,300 upstreams in six data centres, and lets the owner role
process the change for all upstreams. ``memory`` measures what a node holds before any flow.
The other two let an owner hand over the upstreams that a newly joined host now owns, and
let that new owner process the messages.
"""

from __future__ import annotations

import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterator
from itertools import islice
from typing import Any

from aiocoap.numbers.codes import Code

from banyanline.config import ConfigurationErrors, check_document
from banyanline.core.effects import TransferToPeer
from banyanline.core.membership import MemberStatus
from banyanline.core.membership.view import Member, View
from banyanline.core.messages import OwnerHandover
from banyanline.core.model import Configuration
from banyanline.core.types import Host
from bench.measure.command_line import run_measurement
from bench.measure.recorded_fleet import (
    HOME,
    HOSTS,
    INGRESS,
    OWNER,
    TELEMETRY,
    US_PER_S,
    RecordedFleet,
    encode,
    make_node,
)
from bench.measure.state import run_requests, send_flow_datagrams
from examples import large

REPEATS = 5
MS_PER_S = 1000.0

Row = dict[str, Any]


def _cpu_ms(action: Callable[[], object]) -> float:
    started_s = time.process_time()
    action()
    return (time.process_time() - started_s) * MS_PER_S


def _hosts(count: int) -> tuple[Host, ...]:
    centres = large.DATA_CENTRES
    names = ((f"{centres[idx % len(centres)]}-{idx:03}", idx) for idx in range(count))
    return tuple(
        Host(name, centres[idx % len(centres)], "north", f"192.0.2.{idx % 250}", 7100, 7101)
        for name, idx in names
    )


def _view(hosts: tuple[Host, ...], version: int) -> View:
    return View(version, {host.name: Member(host, MemberStatus.ALIVE, 1) for host in hosts})


def _large_configuration() -> Configuration:
    checked = check_document(large.configuration(1))
    if isinstance(checked, ConfigurationErrors):
        raise AssertionError(str(checked))
    return checked


def measure_tables(count: int) -> Iterator[Row]:
    """Measure the table updates when one of ``count`` hosts leaves and comes back."""
    hosts = _hosts(count)
    upstreams = [
        upstream for service in _large_configuration().services for upstream in service.upstreams
    ]
    node = make_node(HOME)
    node.configure(_large_configuration(), 100.0)
    context = node.context
    now = 101.0
    context.slots.update([host.name for host in hosts], now)
    context.ownership.update(upstreams, _view(hosts, 1), now)
    spent: dict[str, list[float]] = {}
    for number in range(2 * REPEATS):
        now += 10.0
        live = hosts[1:] if number % 2 == 0 else hosts
        event = "leave" if number % 2 == 0 else "join"
        view = _view(live, number + 2)
        names = [host.name for host in live]
        started_s = time.process_time()
        context.slots.update(names, now)
        slots_done = time.process_time()
        context.ownership.update(upstreams, view, now)
        owners_done = time.process_time()
        node.owner.placement_changed(now)
        role_done = time.process_time()
        spent.setdefault(f"{event}, slots", []).append(slots_done - started_s)
        spent.setdefault(f"{event}, owners", []).append(owners_done - slots_done)
        spent.setdefault(f"{event}, owner role", []).append(role_done - owners_done)
        context.take_effects()
    for step, times in spent.items():
        yield {
            "what": f"{step}, ms",
            "held": count,
            "ms": round(statistics.median(times) * MS_PER_S, 2),
        }


def measure_memory(count: int) -> Iterator[Row]:
    """Measure the memory of a node with ``count`` hosts and 3,300 upstreams before any flow."""
    hosts = _hosts(count)
    configuration = _large_configuration()
    upstreams = [upstream for service in configuration.services for upstream in service.upstreams]
    tracemalloc.start()
    node = make_node(HOME)
    node.apply_host_list(hosts, 100.0)
    node.configure(configuration, 100.0)
    node.context.slots.update([host.name for host in hosts], 101.0)
    node.context.ownership.update(upstreams, _view(hosts, 1), 101.0)
    node.context.take_effects()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    yield {"what": "tables of a node", "held": count, "bytes": held}


def _measure_owner_handover(fleet: RecordedFleet, size: int, what: str) -> Iterator[Row]:
    node = fleet.node(OWNER)
    upstreams = [
        upstream for service in fleet.configuration.services for upstream in service.upstreams
    ]
    joined = HOSTS[0]._replace(data_centre="south")
    view = _view((joined, *HOSTS[1:]), 1)
    moved = node.context.ownership.update(upstreams, view, fleet.now)
    spent_ms = _cpu_ms(lambda: node.owner.placement_changed(fleet.now))
    effects = node.context.take_effects()
    chunks = [
        effect.message
        for effect in effects
        if isinstance(effect, TransferToPeer) and isinstance(effect.message, OwnerHandover)
    ]
    sent = sum(len(encode(chunk)) for chunk in chunks)
    count = max(1, sum(len(chunk.flows) + len(chunk.keys) for chunk in chunks))
    new_owner = fleet.node(INGRESS)
    started_s = time.process_time()
    for chunk in chunks:
        new_owner.receive_from_peer(OWNER, chunk, fleet.now)
    receive_us = (time.process_time() - started_s) * US_PER_S
    yield {
        "what": what,
        "held": size,
        "upstreams_moved": len(moved),
        "moved": count,
        "us": round(spent_ms * 1000),
        "us_each": round(spent_ms * 1000 / count, 2),
        "bytes": sent,
        "bytes_each": round(sent / count, 1),
        "take_us_each": round(receive_us / count, 2),
    }


def measure_handover_flows(size: int) -> Iterator[Row]:
    """Hand over upstreams with open flows."""
    fleet = RecordedFleet()
    send_flow_datagrams(fleet, OWNER, list(islice(fleet.callers(TELEMETRY), size)), is_new=True)
    return _measure_owner_handover(fleet, size, "cede flows")


def measure_handover_keys(size: int) -> Iterator[Row]:
    """Hand over upstreams whose request keys are kept in the ledger."""
    fleet = RecordedFleet()
    run_requests(fleet, size, Code.POST, None)
    return _measure_owner_handover(fleet, size, "cede keys")


KINDS = {
    "tables": measure_tables,
    "memory": measure_memory,
    "cede-flows": measure_handover_flows,
    "cede-keys": measure_handover_keys,
}


if __name__ == "__main__":
    run_measurement(__doc__, KINDS, "9,73,220,440")
