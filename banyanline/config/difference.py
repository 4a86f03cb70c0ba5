"""Comparison of two configurations."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, TypeVar

from banyanline.config.changes import (
    CallerGroupAdded,
    CallerGroupRemoved,
    Change,
    DataCentreAdded,
    DataCentreRemoved,
    DataCentreReturned,
    DataCentreTakenOut,
    GroupNetworkChanged,
    LimitChanged,
    PatienceChanged,
    ServiceAdded,
    ServiceChanged,
    ServiceRemoved,
    TimeZoneChanged,
    UpstreamAdded,
    UpstreamLeaving,
    UpstreamLocationChanged,
    UpstreamRemoved,
    UpstreamReturned,
)
from banyanline.core.types import DataCentreState, UpstreamState

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from banyanline.core.model import CallerGroup, Configuration, DataCentre, Service, Upstream

MINUTES_PER_DAY = 24 * 60

_SERVICE_FIELDS = (
    "address",
    "host_port",
    "protocol",
    "idle_timeout_s",
    "health_path",
    "cold_start",
)
_LIMIT_FIELDS = ("slots", "connections")
_LOCATION_FIELDS = ("data_centre", "endpoint")


class _Named(Protocol):
    @property
    def name(self) -> str: ...


_NamedT = TypeVar("_NamedT", bound=_Named)


def _by_name(items: Iterable[_NamedT]) -> Mapping[str, _NamedT]:
    return {item.name: item for item in items}


def _data_centre_changes(old: Configuration, new: Configuration) -> Iterator[Change]:
    old_by_name, new_by_name = _by_name(old.data_centres), _by_name(new.data_centres)
    for name, data_centre in new_by_name.items():
        if name not in old_by_name:
            yield DataCentreAdded(name, data_centre.state)
        elif data_centre.state is not old_by_name[name].state:
            yield _data_centre_state_change(data_centre, new)
    for name in old_by_name:
        if name not in new_by_name:
            yield DataCentreRemoved(name)


def _data_centre_state_change(data_centre: DataCentre, new: Configuration) -> Change:
    count = sum(
        upstream.data_centre == data_centre.name
        for service in new.services
        for upstream in service.upstreams
    )
    if data_centre.state is DataCentreState.OUT:
        return DataCentreTakenOut(data_centre.name, count)
    return DataCentreReturned(data_centre.name, count)


def _service_changes(old: Configuration, new: Configuration) -> Iterator[Change]:
    old_by_name, new_by_name = _by_name(old.services), _by_name(new.services)
    for name, service in new_by_name.items():
        if name not in old_by_name:
            yield ServiceAdded(name, service.address, len(service.upstreams))
        elif service != old_by_name[name]:
            yield from _changes_in_service(old_by_name[name], service)
    for name in old_by_name:
        if name not in new_by_name:
            yield ServiceRemoved(name)


def _changes_in_service(old: Service, new: Service) -> Iterator[Change]:
    for field in _SERVICE_FIELDS:
        before, after = getattr(old, field), getattr(new, field)
        if before != after:
            yield ServiceChanged(new.name, field, before, after)
    old_by_name, new_by_name = _by_name(old.upstreams), _by_name(new.upstreams)
    for name, upstream in new_by_name.items():
        if name not in old_by_name:
            yield UpstreamAdded(new.name, name, upstream.data_centre, upstream.endpoint)
        yield from _upstream_changes(old_by_name.get(name, upstream), upstream)
    for name, upstream in old_by_name.items():
        if name not in new_by_name:
            yield UpstreamRemoved(new.name, name, upstream.state is UpstreamState.LEAVING)


def _upstream_changes(old: Upstream, new: Upstream) -> Iterator[Change]:
    if new.state is not old.state:
        change_type = UpstreamLeaving if new.state is UpstreamState.LEAVING else UpstreamReturned
        yield change_type(new.service, new.name)
    for field in _LOCATION_FIELDS:
        before, after = getattr(old, field), getattr(new, field)
        if before != after:
            yield UpstreamLocationChanged(new.service, new.name, field, before, after)
    for limit in _LIMIT_FIELDS:
        before, after = getattr(old, limit), getattr(new, limit)
        if before != after:
            yield LimitChanged(new.service, new.name, limit, before, after)


def _group_changes(old: Configuration, new: Configuration) -> Iterator[Change]:
    old_by_name, new_by_name = _by_name(old.caller_groups), _by_name(new.caller_groups)
    for name, group in new_by_name.items():
        if name not in old_by_name:
            yield CallerGroupAdded(name, group.networks)
        elif group != old_by_name[name]:
            yield from _changes_in_group(old_by_name[name], group)
    for name in old_by_name:
        if name not in new_by_name:
            yield CallerGroupRemoved(name)


def _changes_in_group(old: CallerGroup, new: CallerGroup) -> Iterator[Change]:
    for network in old.networks:
        if network not in new.networks:
            yield GroupNetworkChanged(new.name, network, is_added=False)
    for network in new.networks:
        if network not in old.networks:
            yield GroupNetworkChanged(new.name, network, is_added=True)
    if old.time_zone != new.time_zone:
        yield TimeZoneChanged(new.name, old.time_zone, new.time_zone)
    yield from _patience_changes(old, new)


def patience_by_minute(group: CallerGroup) -> list[float]:
    """Return the patience of a group, in seconds, for each minute of the local day."""
    by_minute = [group.default_patience_s] * MINUTES_PER_DAY
    for window in group.windows:
        length = (window.end_minute - window.start_minute) % MINUTES_PER_DAY
        for offset in range(length):
            by_minute[(window.start_minute + offset) % MINUTES_PER_DAY] = window.patience_s
    return by_minute


def _patience_changes(old: CallerGroup, new: CallerGroup) -> Iterator[Change]:
    """Yield one change for each run of consecutive minutes with the same old and new patience.

    A run may cross midnight.
    """
    pairs = list(zip(patience_by_minute(old), patience_by_minute(new), strict=True))
    starts = [minute for minute in range(MINUTES_PER_DAY) if pairs[minute] != pairs[minute - 1]]
    starts = starts or [0]
    for start, end in zip(starts, [*starts[1:], starts[0]], strict=True):
        before, after = pairs[start]
        if before != after:
            yield PatienceChanged(new.name, start, end, before, after)


def diff(old: Configuration, new: Configuration) -> list[Change]:
    """Return the changes from ``old`` to ``new``: data centres, services, caller groups.

    The order of entries and the revision are ignored.
    """
    return [
        *_data_centre_changes(old, new),
        *_service_changes(old, new),
        *_group_changes(old, new),
    ]
