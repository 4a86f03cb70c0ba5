"""The settings of one balancer, as typed values."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from banyanline.core.types import Endpoint, Host


class Delivery(StrEnum):
    """How the fabric hands a caller's datagram to a balancer.

    ``vip`` keeps the service address as destination, so the balancer binds that
    address. ``host`` rewrites the destination to the host's own address and the
    service's ``host_port``.
    """

    VIP = "vip"
    HOST = "host"


class HostSettings(NamedTuple):
    """Who this balancer is and where it listens."""

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
        """The address that the sockets bind."""
        return self.bind_address or self.address

    def as_host(self) -> Host:
        """Return the entry by which other balancers know this one."""
        return Host(
            name=self.name,
            data_centre=self.data_centre,
            fabric_group=self.fabric_group,
            address=self.address,
            peer_port=self.peer_port,
            control_port=self.control_port,
        )


class FabricSettings(NamedTuple):
    """What the fabric in front of the balancers does."""

    delivery: Delivery


class PlatformSettings(NamedTuple):
    """Where the configuration and the list of hosts are read."""

    addresses: tuple[Endpoint, ...]
    configuration_key: str
    hosts_key: str
    readers_per_data_centre: int
    watch_wait_s: float
    retry_interval_s: float


class KeySettings(NamedTuple):
    """The file with the keys that balancers share."""

    file: str


class LimitSettings(NamedTuple):
    """Bounds on what the balancer holds, takes and writes."""

    flows: int
    flow_sockets: int
    requests: int
    request_lifetime_s: float
    queue_wait_s: float
    recovery_held_packets: int
    log_lines_per_s: float
    peer_frame_bytes: int


class MembershipSettings(NamedTuple):
    """How balancers find that another one is gone."""

    probe_interval_s: float
    suspicion_s: float
    lease_s: float


class RetrySettings(NamedTuple):
    """How much may be sent again to upstreams."""

    budget_share: float


class StopSettings(NamedTuple):
    """How a planned stop goes."""

    grace_s: float


class LogSettings(NamedTuple):
    """What is written to the log."""

    level: str


class BalancerSettings(NamedTuple):
    """All settings of a balancer, one field for each section of the file."""

    host: HostSettings
    fabric: FabricSettings
    platform: PlatformSettings
    keys: KeySettings
    limits: LimitSettings
    membership: MembershipSettings
    retries: RetrySettings
    stop: StopSettings
    log: LogSettings
