"""Types of the JSON pages of the admin endpoint, for decoding in ``banyanline-status``.

:mod:`banyanline.net.explain` creates the pages, which may have more fields than listed here.
"""

from __future__ import annotations

from typing import NotRequired, TypedDict


class HostStatus(TypedDict):
    """A balancer in the view of this host."""

    host: str
    data_centre: str
    status: str
    leaving: bool


class UpstreamStatus(TypedDict):
    """An upstream owned by this balancer; ``ramp`` is its slow-start progress from 0 to 1."""

    upstream: str
    stage: str
    slots: int
    in_flight: int
    queued: int
    connections: int
    ramp: float


class Status(TypedDict):
    """The ``/status`` page; ``revision`` is 0 before the first configuration.

    The counts of refusals, retries, unknown outcomes and flow ends are keyed by
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
    """The ``/why`` page: the home, upstream and owner of a caller's flow, and the reason."""

    caller: str
    service: str
    slot: int
    home: str | None
    upstream: str | None
    owner: str | None
    reason: str
