"""Converts the settings of a balancer into the settings of its core."""

from __future__ import annotations

from banyanline.core.context import Limits
from banyanline.core.membership import MembershipSettings
from banyanline.core.node import NodeSettings
from banyanline.settings import BalancerSettings

MS_PER_S = 1000
SUSPICION_MAX_RATIO = 1.6
"""Maximum suspicion timeout as a multiple of the minimum, which is set by ``suspicion_s``."""


def node_settings(settings: BalancerSettings, wall_s: float) -> NodeSettings:
    """Return the core's settings; ``wall_s`` is the process start in seconds since the epoch."""
    limits = settings.limits
    membership = settings.membership
    return NodeSettings(
        local=settings.host.to_host(),
        incarnation=int(wall_s * MS_PER_S),
        limits=Limits(
            flows=limits.flows,
            requests=limits.requests,
            request_lifetime_s=limits.request_lifetime_s,
            held_datagrams=limits.recovery_held_packets,
            queue_wait_s=limits.queue_wait_s,
            retry_share=settings.retries.budget_share,
        ),
        membership=MembershipSettings()._replace(
            probe_interval_s=membership.probe_interval_s,
            suspicion_min_s=membership.suspicion_s,
            suspicion_max_s=membership.suspicion_s * SUSPICION_MAX_RATIO,
            lease_s=membership.lease_s,
        ),
    )
