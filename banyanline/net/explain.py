"""Introspection of a running balancer: gauges, the status page and placement explanations."""

from __future__ import annotations

from typing import Any

from banyanline import __version__
from banyanline.core.messages import FlowKey
from banyanline.core.node import Node
from banyanline.core.placement import slot_of
from banyanline.core.types import Endpoint, Seconds, ServiceName
from banyanline.net.metrics import Gauges


def gauges(node: Node, now: Seconds) -> Gauges:
    """Return the current values of all gauges."""
    context = node.context
    view = context.membership.view
    owned = [owned for owned in node.owner.owned.values() if not owned.is_handed_over]
    return Gauges(
        view_hosts=sum(member.is_live for member in view.members),
        configuration_revision=node.revision,
        home_slots=len(context.slots.slots_of(context.local.name)),
        owned_upstreams=len(owned),
        flows=len(node.home.datagrams) + len(node.home.streams),
        ledger_requests=node.home.requests.ledger_count + node.owner.ledger_count,
        queued_requests=sum(each.gate.queued for each in owned),
        busy_slots=sum(each.gate.in_flight for each in owned),
        upstream_connections=sum(each.gate.connections for each in owned),
        leases=int(context.membership.lease_fresh(now)),
    )


def status(node: Node, is_reader: bool, now: Seconds) -> dict[str, Any]:
    """Return the ``/status`` page, which ``banyanline-status`` shows."""
    context = node.context
    counters = context.counters
    view = context.membership.view
    sizes = gauges(node, now)
    return {
        "version": __version__,
        "host": context.local.name,
        "data_centre": context.local.data_centre,
        "stopping": context.stopping,
        "revision": node.revision,
        "reader": is_reader,
        "lease_fresh": context.membership.lease_fresh(now),
        "majority": context.membership.has_majority(context.local.fabric_group, now),
        "view": [
            {
                "host": member.host.name,
                "data_centre": member.host.data_centre,
                "status": member.status.name.lower(),
                "leaving": member.is_leaving,
            }
            for member in view.members
        ],
        "home_slots": sizes.home_slots,
        "home_hosts": sorted(context.slots.hosts),
        "flows": len(node.home.datagrams),
        "streams": len(node.home.streams),
        "requests_open": node.home.requests.open_count,
        "owned": [
            {
                "upstream": owned.name,
                "stage": owned.ownership.stage.value,
                "slots": owned.gate.slots(now),
                "in_flight": owned.gate.in_flight,
                "queued": owned.gate.queued,
                "connections": owned.gate.connections,
                "ramp": owned.gate.ramp_progress(now),
            }
            for owned in node.owner.owned.values()
        ],
        "refusals": _by_service(counters.refusals),
        "unknown_outcomes": _by_service(counters.unknown_outcomes),
        "retries": _by_service(counters.retries),
        "drops": {str(reason): count for reason, count in counters.drops.items()},
        "claims": dict(counters.claims),
        "recovered": dict(counters.recovered),
        "flow_ends": _by_service(counters.flow_ends),
    }


def _by_service(counts: Any) -> dict[str, int]:
    return {f"{service}/{reason}": count for (reason, service), count in counts.items()}


def explain_placement(node: Node, caller: Endpoint, service: ServiceName) -> dict[str, Any] | None:
    """Return home, upstream and owner of a caller's flow as this host sees them.

    Returns None if the service is not configured.
    """
    context = node.context
    if context.directory.service(service) is None:
        return None
    flow = FlowKey(service, caller.ip, caller.port)
    flow_hash = context.hash_of(flow)
    home = context.slots.home(flow_hash)
    is_home = home == context.local.name
    placed = node.home.datagrams.upstream_of(flow) or node.home.streams.upstream_of_flow(flow)
    predicted = node.home.rendezvous_upstream(flow)
    upstream = placed or predicted
    if not is_home:
        reason = "this host is not the home; the upstream is the first choice by the flow's hash"
    elif placed is not None:
        reason = "the home's table has the flow"
    else:
        reason = "no open flow; the upstream is the first choice by the flow's hash"
    return {
        "service": service,
        "caller": str(caller),
        "slot": slot_of(flow_hash),
        "home": home,
        "upstream": upstream,
        "owner": context.owner_of(upstream) if upstream else None,
        "reason": reason,
    }
