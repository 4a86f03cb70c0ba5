"""One-line descriptions of configuration changes, for operators."""

from __future__ import annotations

from functools import singledispatch

from banyanline.config import changes
from banyanline.config.render import clock_time
from banyanline.core.model import ColdStart


def _pluralize(count: int, noun: str) -> str:
    return f"{count} {noun}" if count == 1 else f"{count} {noun}s"


def _format_value(value: object) -> str:
    if isinstance(value, ColdStart):
        slots = _pluralize(value.initial_slots, "slot")
        return f"{slots} and {value.initial_rate:g} requests/s, full after {value.duration_s:g} s"
    return f"{value:g}" if isinstance(value, float) else str(value)


@singledispatch
def describe(change: object) -> str:
    """Return one line that states the effect of ``change``.

    >>> describe(changes.UpstreamLeaving("orders", "orders-1"))
    'service orders: upstream orders-1 leaving: no new requests or flows, open ones continue'
    """
    raise NotImplementedError(type(change).__name__)


@describe.register
def _(change: changes.DataCentreAdded) -> str:
    return f"data centre {change.name}: added, {change.state.value}"


@describe.register
def _(change: changes.DataCentreRemoved) -> str:
    return f"data centre {change.name}: removed"


@describe.register
def _(change: changes.DataCentreTakenOut) -> str:
    upstreams = _pluralize(change.upstreams, "upstream")
    return (
        f"data centre {change.name}: out of service: no packets to its {upstreams}, their flows end"
    )


@describe.register
def _(change: changes.DataCentreReturned) -> str:
    upstreams = _pluralize(change.upstreams, "upstream")
    return f"data centre {change.name}: in service: its {upstreams} return with a cold start"


@describe.register
def _(change: changes.ServiceAdded) -> str:
    upstreams = _pluralize(change.upstreams, "upstream")
    return f"service {change.name}: added at {change.address} with {upstreams}"


@describe.register
def _(change: changes.ServiceRemoved) -> str:
    return f"service {change.name}: removed: its requests and flows end"


@describe.register
def _(change: changes.ServiceChanged) -> str:
    return (
        f"service {change.name}: {change.field} "
        f"{_format_value(change.old)} -> {_format_value(change.new)}"
    )


@describe.register
def _(change: changes.UpstreamAdded) -> str:
    location = f"{change.endpoint} in {change.data_centre}"
    return f"service {change.service}: upstream {change.name} added at {location}"


@describe.register
def _(change: changes.UpstreamLeaving) -> str:
    effect = "no new requests or flows, open ones continue"
    return f"service {change.service}: upstream {change.name} leaving: {effect}"


@describe.register
def _(change: changes.UpstreamReturned) -> str:
    return f"service {change.service}: upstream {change.name} no longer leaving"


@describe.register
def _(change: changes.UpstreamRemoved) -> str:
    effect = "after leaving" if change.was_leaving else "without leaving first: its flows break"
    return f"service {change.service}: upstream {change.name} removed {effect}"


@describe.register
def _(change: changes.UpstreamLocationChanged) -> str:
    values = f"{_format_value(change.old)} -> {_format_value(change.new)}"
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
def _(change: changes.GroupNetworkChanged) -> str:
    action = "added" if change.is_added else "removed"
    return f"caller group {change.group}: network {change.network} {action}"


@describe.register
def _(change: changes.TimeZoneChanged) -> str:
    return f"caller group {change.group}: time zone {change.old} -> {change.new}"


@describe.register
def _(change: changes.PatienceChanged) -> str:
    hours = f"{clock_time(change.start_minute)} to {clock_time(change.end_minute)}"
    hours = "all day" if change.start_minute == change.end_minute else hours
    values = f"{_format_value(change.old_s)} s -> {_format_value(change.new_s)} s"
    return f"caller group {change.group}: patience {hours}: {values}"
