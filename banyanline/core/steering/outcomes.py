"""What becomes of a caller's packet."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

if TYPE_CHECKING:
    from banyanline.core.steering.upstreams import Upstream


class ResetReason(StrEnum):
    """Why a caller is told that its flow does not exist."""

    NO_ROUTE = "no_route"
    NO_UPSTREAM = "no_upstream"
    COLD_UPSTREAMS = "cold_upstreams"
    ROUTE_REMOVED = "route_removed"
    UPSTREAM_LOST = "upstream_lost"


class DropReason(StrEnum):
    """Why a packet is passed to nobody and answered by nobody."""

    MALFORMED = "malformed"
    UNKNOWN_COOKIE = "unknown_cookie"
    STOOD_STILL = "stood_still"
    STRAY_RESET = "stray_reset"


class Forward(NamedTuple):
    """The packet goes to an upstream."""

    upstream: Upstream


class Reset(NamedTuple):
    """The caller gets a reset; the flow has not been opened or cannot go on.

    ``upstream`` is the one that the flow was open at, if that is why.
    """

    reason: ResetReason
    upstream: Upstream | None = None


class Drop(NamedTuple):
    """The packet is dropped; the caller will send it again if it matters."""

    reason: DropReason


class Hold(NamedTuple):
    """The packet waits until this host knows where it can go."""


Outcome: TypeAlias = Forward | Reset | Drop | Hold
HOLD = Hold()
