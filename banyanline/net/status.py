"""The status page of a balancer: typed, so that ``banyanline-status`` reads what it wrote."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypedDict

if TYPE_CHECKING:
    from collections.abc import Mapping
    from enum import StrEnum

    from banyanline.core.counters import Counters
    from banyanline.net.metrics import IoCounts


class HostStatus(TypedDict):
    """A balancer as this one's view has it; ``state`` is live, suspect, dead or leaving."""

    host: str
    data_centre: str
    state: str


class UpstreamStatus(TypedDict):
    """An upstream that this balancer owns; ``ramp`` is its share of full load, 0 to 1."""

    upstream: str
    service: str
    data_centre: str
    stage: str
    in_flight: int
    slots: int
    queued: int
    connections: int
    ramp: float


class ServiceStatus(TypedDict):
    """What this balancer holds as home for one service and has counted for it."""

    flows: int
    answers: int
    refusals: dict[str, int]
    retries: dict[str, int]
    unknown_outcomes: dict[str, int]
    flow_ends: dict[str, int]


class Status(TypedDict):
    """What ``/status`` shows. ``revision`` is 0 before the first configuration.

    ``counts`` holds what belongs to no service: kind, reason, total.
    """

    version: str
    host: str
    data_centre: str
    fabric_group: str
    healthy: bool
    stopping: bool
    platform_reader: bool
    lease_fresh: bool
    majority: bool
    revision: int
    home_slots: int
    slots: int
    requests_open: int
    view: list[HostStatus]
    owned: list[UpstreamStatus]
    services: dict[str, ServiceStatus]
    counts: dict[str, dict[str, int]]


class Explanation(TypedDict):
    """What ``/why`` shows: where a caller's flow goes, and why; empty names are not known."""

    caller: str
    service: str
    slot: int
    home: str
    upstream: str
    owner: str
    reason: str


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


def counts_by_reason(counters: Counters, io_counts: IoCounts) -> dict[str, dict[str, int]]:
    """Return the counts that belong to no service, by kind and reason."""
    kinds: dict[str, Mapping[Any, int]] = {
        "drops": counters.drops,
        "duplicates": counters.duplicates,
        "claims": counters.claims,
        "recovered": counters.recovered,
        "peer_frame_rejections": io_counts.peer_rejections,
        "config_refusals": io_counts.config_refusals,
        "control_failures": io_counts.control_failures,
        "platform_failures": io_counts.platform_failures,
    }
    return {
        kind: {str(reason): count for reason, count in counts.items()}
        for kind, counts in kinds.items()
    }


def _of_service(counts: Mapping[tuple[StrEnum, str], int], service: str) -> dict[str, int]:
    return {str(reason): count for (reason, name), count in counts.items() if name == service}
