"""Helpers that start a fleet of three hosts and look up their roles for a caller."""

from __future__ import annotations

from typing import Any

from banyanline.core.context import Limits
from banyanline.core.messages import FlowKey
from banyanline.core.node import Node
from banyanline.core.types import Endpoint
from properties.simulation import RAW, Fleet

NAMES = ("a-1", "b-1", "c-1")
STARTUP_S = 6.0
TAKEOVER_S = 7.0
"""Time after which other hosts have taken over the roles of a lost host."""


def started_fleet(seed: int = 1, limits: Limits | None = None, **options: Any) -> Fleet:
    """Return a fleet past its startup period, ready to accept requests."""
    fleet = Fleet(NAMES, seed, limits, **options)
    fleet.run(STARTUP_S)
    return fleet


def make_caller(number: int = 1) -> Endpoint:
    """Return the address of the caller with this number."""
    return Endpoint(f"10.0.0.{number}", 4000)


def any_node(fleet: Fleet) -> Node:
    """Return a running node."""
    return next(iter(fleet.nodes.values()))


def home_of(fleet: Fleet, service: str, caller: Endpoint) -> str:
    """Return the home of a caller's flow."""
    home = any_node(fleet).context.home_of(FlowKey(service, *caller))
    assert home is not None
    return home


def owner_of(fleet: Fleet, upstream: str) -> str:
    """Return the owner of an upstream."""
    owner = any_node(fleet).context.owner_of(upstream)
    assert owner is not None
    return owner


def upstreams_of(fleet: Fleet, caller: Endpoint) -> set[str]:
    """Return the upstreams that a caller's opaque flow has reached."""
    reached: set[str] = fleet.upstreams.flow_upstreams.get(FlowKey(RAW, *caller), set())
    return reached


def total(fleet: Fleet, table: str, reason: Any) -> int:
    """Return how often a reason was counted in a table of counters, summed over all hosts."""
    counted = 0
    for node in fleet.nodes.values():
        counts = getattr(node.context.counters, table)
        counted += sum(n for key, n in counts.items() if reason in (key, key[0]))
    return counted
