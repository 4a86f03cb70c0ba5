"""The status page of a balancer: typed, so that ``banyanline-status`` reads what it wrote."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypedDict

if TYPE_CHECKING:
    from collections.abc import Mapping
    from enum import StrEnum

    from banyanline.core.counters import Counters
    from banyanline.net.metrics import IoCounts


class HostStatus(TypedDict):
    """A balancer as this one's view has it."""

    name: str
    data_centre: str
    state: str


class UpstreamStatus(TypedDict):
    """An upstream that this balancer owns."""

    name: str
    service: str
    data_centre: str
    state: str
    busy_slots: int
    slots: int
    queued: int
    connections: int


class ServiceStatus(TypedDict):
    """What this balancer, as home, holds and has counted for one service."""

    flows: int
    answers: int
    refusals: dict[str, int]
    retries: dict[str, int]
    unknown_outcomes: dict[str, int]
    flow_ends: dict[str, int]


class Status(TypedDict):
    """What ``/status`` shows. ``revision`` is 0 before the first configuration."""

    version: str
    host: str
    data_centre: str
    fabric_group: str
    healthy: bool
    revision: int
    home_slots: int
    slots: int
    view: list[HostStatus]
    owned: list[UpstreamStatus]
    services: dict[str, ServiceStatus]
    drops: dict[str, int]
    peer_frame_rejections: dict[str, int]
    config_refusals: dict[str, int]
    control_failures: dict[str, int]
    platform_failures: dict[str, int]


class Explanation(TypedDict):
    """What ``/why`` shows: where a caller's flow goes, and for which reason."""

    caller: str
    service: str
    slot: int
    home: str
    home_reason: str
    upstream: str
    upstream_reason: str
    owner: str
    owner_reason: str


def service_statuses(counters: Counters, flows: Mapping[str, int]) -> dict[str, ServiceStatus]:
    """Return the status of each service in ``flows``, the number of flows by service.

    >>> from banyanline.core.answers import RefusalReason
    >>> from banyanline.core.counters import Counters
    >>> counters = Counters()
    >>> counters.refuse(RefusalReason.QUEUE_FULL, "orders")
    >>> service_statuses(counters, {"orders": 3})["orders"]["refusals"]
    {'queue_full': 1}
    """
    return {
        service: ServiceStatus(
            flows=count,
            answers=counters.answers.get(service, 0),
            refusals=_of_service(counters.refusals, service),
            retries=_of_service(counters.retries, service),
            unknown_outcomes=_of_service(counters.unknown_outcomes, service),
            flow_ends=_of_service(counters.flow_ends, service),
        )
        for service, count in flows.items()
    }


class CountStatus(TypedDict):
    """The parts of :class:`Status` that are counts by reason."""

    drops: dict[str, int]
    peer_frame_rejections: dict[str, int]
    config_refusals: dict[str, int]
    control_failures: dict[str, int]
    platform_failures: dict[str, int]


def count_status(counters: Counters, io_counts: IoCounts) -> CountStatus:
    """Return the counts by reason that belong to no service."""
    return CountStatus(
        drops=_plain(counters.drops),
        peer_frame_rejections=_plain(io_counts.peer_rejections),
        config_refusals=_plain(io_counts.config_refusals),
        control_failures=_plain(io_counts.control_failures),
        platform_failures=_plain(io_counts.platform_failures),
    )


def _of_service(counts: Mapping[tuple[StrEnum, str], int], service: str) -> dict[str, int]:
    return {reason.value: count for (reason, name), count in counts.items() if name == service}


def _plain(counts: Mapping[str, int] | Mapping[StrEnum, int]) -> dict[str, int]:
    return {str(reason): count for reason, count in counts.items()}
