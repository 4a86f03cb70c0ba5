"""Says in one line what a change does."""

from __future__ import annotations

from functools import singledispatch

from banyanline.config import changes
from banyanline.config.render import clock_time
from banyanline.core.model import ColdStart


def _plural(count: int, noun: str) -> str:
    return f"{count} {noun}" if count == 1 else f"{count} {noun}s"


def _value(value: object) -> str:
    if isinstance(value, ColdStart):
        slots = _plural(value.initial_slots, "slot")
        return f"{slots} and {value.initial_rate:g} requests/s, full after {value.duration_s:g} s"
    return f"{value:g}" if isinstance(value, float) else str(value)


@singledispatch
def describe(change: object) -> str:
    """Return one line that says what ``change`` does.

    >>> describe(changes.UpstreamLeaving("orders", "orders-1"))
    'service orders: upstream orders-1 leaves: no new requests or flows, open ones go on'
    """
    raise NotImplementedError(type(change).__name__)


@describe.register
def _(change: changes.DataCentreAdded) -> str:
    return f"data centre {change.name}: added, {change.state.value}"


@describe.register
def _(change: changes.DataCentreRemoved) -> str:
    return f"data centre {change.name}: removed"


@describe.register
def _(change: changes.DataCentreOut) -> str:
    upstreams = _plural(change.upstreams, "upstream")
    return f"data centre {change.name}: out: no packet to its {upstreams}, their flows end"


@describe.register
def _(change: changes.DataCentreIn) -> str:
    upstreams = _plural(change.upstreams, "upstream")
    return f"data centre {change.name}: in service: its {upstreams} return along the cold start"


@describe.register
def _(change: changes.ServiceAdded) -> str:
    upstreams = _plural(change.upstreams, "upstream")
    return f"service {change.name}: added at {change.address} with {upstreams}"


@describe.register
def _(change: changes.ServiceRemoved) -> str:
    return f"service {change.name}: removed: its requests and flows end"


@describe.register
def _(change: changes.ServiceChanged) -> str:
    return f"service {change.name}: {change.field} {_value(change.old)} -> {_value(change.new)}"


@describe.register
def _(change: changes.UpstreamAdded) -> str:
    place = f"{change.endpoint} in {change.data_centre}"
    return f"service {change.service}: upstream {change.name} added at {place}"


@describe.register
def _(change: changes.UpstreamLeaving) -> str:
    effect = "no new requests or flows, open ones go on"
    return f"service {change.service}: upstream {change.name} leaves: {effect}"


@describe.register
def _(change: changes.UpstreamReturned) -> str:
    return f"service {change.service}: upstream {change.name} no longer leaves"


@describe.register
def _(change: changes.UpstreamRemoved) -> str:
    effect = "after leaving" if change.was_leaving else "without leaving first: its flows break"
    return f"service {change.service}: upstream {change.name} removed {effect}"


@describe.register
def _(change: changes.UpstreamMoved) -> str:
    values = f"{_value(change.old)} -> {_value(change.new)}"
    return f"service {change.service}: upstream {change.name}: {change.field} {values}"


@describe.register
def _(change: changes.LimitChanged) -> str:
    values = f"{change.old} -> {change.new}"
    return f"service {change.service}: upstream {change.name}: {change.limit} {values}"


@describe.register
def _(change: changes.CallerGroupAdded) -> str:
    return f"caller group {change.name}: added for {', '.join(change.networks)}"


@describe.register
def _(change: changes.CallerGroupRemoved) -> str:
    return f"caller group {change.name}: removed"


@describe.register
def _(change: changes.NetworkMoved) -> str:
    verb = "joins" if change.joins else "leaves"
    return f"caller group {change.group}: network {change.network} {verb}"


@describe.register
def _(change: changes.TimeZoneChanged) -> str:
    return f"caller group {change.group}: time zone {change.old} -> {change.new}"


@describe.register
def _(change: changes.PatienceChanged) -> str:
    hours = f"{clock_time(change.start_minute)} to {clock_time(change.end_minute)}"
    hours = "all day" if change.start_minute == change.end_minute else hours
    values = f"{_value(change.old_s)} s -> {_value(change.new_s)} s"
    return f"caller group {change.group}: patience {hours}: {values}"
