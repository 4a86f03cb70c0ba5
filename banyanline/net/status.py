"""The pages of the admin endpoint, typed so that ``banyanline-status`` reads what it shows.

:mod:`banyanline.net.explain` makes them. A page may have more fields than those here.
"""

from __future__ import annotations

from typing import NotRequired, TypedDict


class HostStatus(TypedDict):
    """A balancer as this one's view has it."""

    host: str
    data_centre: str
    status: str
    leaving: bool


class UpstreamStatus(TypedDict):
    """An upstream that this balancer owns; ``ramp`` is its share of full load, 0 to 1."""

    upstream: str
    stage: str
    slots: int
    in_flight: int
    queued: int
    connections: int
    ramp: float


class Status(TypedDict):
    """What ``/status`` shows; ``revision`` is 0 before the first configuration.

    The counts of refusals, retries, unknown outcomes and ends of flows are by
    ``service/reason``, the others by reason.
    """

    version: str
    host: str
    data_centre: str
    stopping: bool
    revision: int
    reader: bool
    lease_fresh: bool
    majority: bool
    view: list[HostStatus]
    home_slots: int
    flows: int
    streams: int
    requests_open: int
    owned: list[UpstreamStatus]
    refusals: dict[str, int]
    unknown_outcomes: dict[str, int]
    retries: dict[str, int]
    flow_ends: dict[str, int]
    drops: dict[str, int]
    claims: NotRequired[dict[str, int]]
    recovered: NotRequired[dict[str, int]]
    peer_frame_rejections: NotRequired[dict[str, int]]
    config_refusals: NotRequired[dict[str, int]]


class Explanation(TypedDict):
    """What ``/why`` shows: where a caller's flow goes, and why."""

    caller: str
    service: str
    slot: int
    home: str | None
    upstream: str | None
    owner: str | None
    reason: str
