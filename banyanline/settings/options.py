"""The option table: the single source of validators, defaults and documentation."""

from __future__ import annotations

from typing import NamedTuple

from banyanline.settings import validators
from banyanline.settings.model import Delivery
from banyanline.settings.validators import Validator

MAX_COUNT = 100_000_000
MAX_DURATION_S = 86_400
MIN_DURATION_S = 0.001
MIN_FRAME_BYTES = 1_400
MAX_FRAME_BYTES = 65_000


class Option(NamedTuple):
    """One option of the settings.

    ``default`` is the text used if the key is absent. An option without a default must
    be set; the example file shows its ``example``. ``unit`` is empty for options without
    a unit.
    """

    section: str
    key: str
    validator: Validator
    default: str | None
    documentation: str
    unit: str = ""
    example: str = ""


def _duration(low: float = MIN_DURATION_S, high: float = MAX_DURATION_S) -> Validator:
    return validators.number(low, high)


def _count(high: int = MAX_COUNT) -> Validator:
    return validators.integer(1, high)


OPTIONS: tuple[Option, ...] = (
    Option(
        "host",
        "name",
        validators.name(),
        None,
        "The name of this host: unique in the fleet and the same as in the platform's host list.",
        example="split-centar-1",
    ),
    Option(
        "host",
        "data_centre",
        validators.name(),
        None,
        "The data centre of this host, as named in the configuration.",
        example="split-centar",
    ),
    Option(
        "host",
        "fabric_group",
        validators.name(),
        "default",
        "The group of hosts over which one fabric distributes datagrams.",
    ),
    Option(
        "host",
        "address",
        validators.address(),
        None,
        "The address at which other balancers reach this host.",
        example="192.0.2.1",
    ),
    Option(
        "host",
        "bind_address",
        validators.optional_address(),
        "",
        "The address to which the sockets are bound; if empty, the address above.",
    ),
    Option(
        "host",
        "peer_port",
        validators.port(),
        "7100",
        "The UDP port for datagrams from other balancers.",
    ),
    Option(
        "host",
        "control_port",
        validators.port(),
        "7101",
        "The TCP port for gRPC calls from other balancers.",
    ),
    Option(
        "host",
        "admin_port",
        validators.port(),
        "7102",
        "The TCP port for metrics and banyanline-status.",
    ),
    Option(
        "fabric",
        "delivery",
        validators.choice(Delivery),
        "vip",
        "Whether the fabric keeps the service address as destination (vip) or rewrites it to "
        "the host's address and the service's host_port (host).",
    ),
    Option(
        "platform",
        "addresses",
        validators.endpoints(),
        None,
        "The endpoints of the platform's configuration service, tried in turn.",
        example="192.0.2.100:8500, 192.0.2.101:8500",
    ),
    Option(
        "platform",
        "configuration_key",
        validators.text("a key of the platform"),
        "banyanline/configuration",
        "The key under which the platform stores the configuration.",
    ),
    Option(
        "platform",
        "hosts_key",
        validators.text("a key of the platform"),
        "banyanline/hosts",
        "The key under which the platform stores the list of hosts.",
    ),
    Option(
        "platform",
        "readers_per_data_centre",
        validators.integer(1, 100),
        "3",
        "The number of hosts per data centre that watch the platform; the others poll these.",
        "hosts",
    ),
    Option(
        "platform",
        "watch_wait_s",
        _duration(0.1, 600),
        "60",
        "The longest time that one watch call (long poll) waits for a change.",
        "seconds",
    ),
    Option(
        "platform",
        "retry_interval_s",
        _duration(0.05, 600),
        "1",
        "The mean time that a reader waits after a failed read before it retries.",
        "seconds",
    ),
    Option(
        "keys",
        "file",
        validators.text("the path of a file"),
        "/etc/banyanline/keys",
        "The file with the keys shared by all balancers; see docs/operators/settings.md.",
    ),
    Option(
        "limits",
        "flows",
        _count(),
        "400000",
        "The maximum number of flows of which this host is the home; new flows beyond that are "
        "refused.",
        "flows",
    ),
    Option(
        "limits",
        "flow_sockets",
        _count(),
        "10000",
        "The maximum number of sockets to upstreams for flows of udp services; new flows beyond "
        "that are refused.",
        "sockets",
    ),
    Option(
        "limits",
        "requests",
        _count(),
        "200000",
        "The maximum number of requests in the ledger; new requests beyond that are refused.",
        "requests",
    ),
    Option(
        "limits",
        "request_lifetime_s",
        _duration(1, 3600),
        "247",
        "How long a request is kept to detect retransmissions (RFC 7252, EXCHANGE_LIFETIME).",
        "seconds",
    ),
    Option(
        "limits",
        "queue_wait_s",
        _duration(0.01, 45),
        "2",
        "The longest time that a request may wait in the queue of an upstream.",
        "seconds",
    ),
    Option(
        "limits",
        "recovery_held_packets",
        _count(),
        "20000",
        "The maximum number of packets buffered for flows in recovery, until an owner replies.",
        "packets",
    ),
    Option(
        "limits",
        "log_lines_per_s",
        validators.number(0.1, 100_000),
        "20",
        "The maximum rate of log lines for each event that packets can cause; lines beyond that "
        "are only counted.",
        "lines/s",
    ),
    Option(
        "limits",
        "peer_frame_bytes",
        validators.integer(MIN_FRAME_BYTES, MAX_FRAME_BYTES),
        "9000",
        "The largest datagram sent to or accepted from another balancer.",
        "bytes",
    ),
    Option(
        "membership",
        "probe_interval_s",
        _duration(0.01, 60),
        "0.25",
        "The interval between probes that this host sends.",
        "seconds",
    ),
    Option(
        "membership",
        "suspicion_s",
        _duration(0.01, 600),
        "0.5",
        "How long a host that does not respond is suspected before it is removed.",
        "seconds",
    ),
    Option(
        "membership",
        "lease_s",
        _duration(0.01, 600),
        "2.5",
        "The lease: how long after acknowledged probes this host may act on its view.",
        "seconds",
    ),
    Option(
        "retries",
        "budget_share",
        validators.number(0, 1),
        "0.1",
        "The retry budget: retries as a share of recent successes, for each service.",
        "share",
    ),
    Option(
        "stop",
        "grace_s",
        _duration(0, 3600),
        "60",
        "The longest time that a graceful shutdown waits for requests and flows to end or move.",
        "seconds",
    ),
    Option(
        "log",
        "level",
        validators.one_of("debug", "info", "warning", "error"),
        "info",
        "The lowest severity of events that are logged.",
    ),
)
