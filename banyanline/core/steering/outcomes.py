"""The outcomes of steering decisions: forward, reset, drop or hold a packet."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

if TYPE_CHECKING:
    from banyanline.core.steering.upstreams import Upstream


class ResetReason(StrEnum):
    """Why a caller's flow is reset."""

    NO_ROUTE = "no_route"
    NO_UPSTREAM = "no_upstream"
    COLD_UPSTREAMS = "cold_upstreams"
    NO_ROOM = "no_room"
    ROUTE_REMOVED = "route_removed"
    UPSTREAM_LOST = "upstream_lost"


class DropReason(StrEnum):
    """Why a packet is dropped without a response."""

    MALFORMED = "malformed"
    UNKNOWN_COOKIE = "unknown_cookie"
    PROCESS_PAUSED = "stood_still"
    STRAY_RESET = "stray_reset"


class Forward(NamedTuple):
    """Forward the packet to an upstream."""

    upstream: Upstream


class Reset(NamedTuple):
    """Send the caller a reset: its flow cannot be opened or cannot continue.

    ``upstream`` is the one that the flow was open at if the flow is reset because of
    that upstream, and None otherwise.
    """

    reason: ResetReason
    upstream: Upstream | None = None


class Drop(NamedTuple):
    """Drop the packet; the caller will retransmit it if necessary."""

    reason: DropReason


class Hold(NamedTuple):
    """Hold the packet until this host has a configuration."""


Outcome: TypeAlias = Forward | Reset | Drop | Hold
HOLD = Hold()
