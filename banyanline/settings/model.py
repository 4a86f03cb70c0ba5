"""Typed settings of one balancer."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from banyanline.core.types import Endpoint, Host


class Delivery(StrEnum):
    """How the fabric delivers a caller's datagram to a balancer.

    With ``vip`` the destination remains the service address, so the balancer binds that
    address. With ``host`` the fabric rewrites the destination to the host's own address
    and the service's ``host_port``.
    """

    VIP = "vip"
    HOST = "host"


class HostSettings(NamedTuple):
    """Identity, addresses and ports of this balancer."""

    name: str
    data_centre: str
    fabric_group: str
    address: str
    bind_address: str
    peer_port: int
    control_port: int
    admin_port: int

    @property
    def local_ip(self) -> str:
        """The address to which the sockets are bound."""
        return self.bind_address or self.address

    def to_host(self) -> Host:
        """Return this balancer as a host, as other balancers identify it."""
        return Host(
            name=self.name,
            data_centre=self.data_centre,
            fabric_group=self.fabric_group,
            address=self.address,
            peer_port=self.peer_port,
            control_port=self.control_port,
        )


class FabricSettings(NamedTuple):
    """Properties of the network fabric in front of the balancers."""

    delivery: Delivery


class PlatformSettings(NamedTuple):
    """Access to the platform, which stores the configuration and the list of hosts."""

    addresses: tuple[Endpoint, ...]
    configuration_key: str
    hosts_key: str
    readers_per_data_centre: int
    watch_wait_s: float
    retry_interval_s: float


class KeySettings(NamedTuple):
    """The file with the keys shared by all balancers."""

    file: str


class LimitSettings(NamedTuple):
    """Limits on state, waiting times, log lines and frame sizes of the balancer."""

    flows: int
    flow_sockets: int
    requests: int
    request_lifetime_s: float
    queue_wait_s: float
    recovery_held_packets: int
    log_lines_per_s: float
    peer_frame_bytes: int


class MembershipSettings(NamedTuple):
    """Failure detection between balancers."""

    probe_interval_s: float
    suspicion_s: float
    lease_s: float


class RetrySettings(NamedTuple):
    """The retry budget for requests to upstreams."""

    budget_share: float


class StopSettings(NamedTuple):
    """Graceful shutdown."""

    grace_s: float


class LogSettings(NamedTuple):
    """Logging."""

    level: str


class BalancerSettings(NamedTuple):
    """All settings of a balancer, one field per section of the file."""

    host: HostSettings
    fabric: FabricSettings
    platform: PlatformSettings
    keys: KeySettings
    limits: LimitSettings
    membership: MembershipSettings
    retries: RetrySettings
    stop: StopSettings
    log: LogSettings
