"""The one table of options: it checks settings, sets defaults and documents both."""

from __future__ import annotations

from typing import NamedTuple

from banyanline.settings import validators
from banyanline.settings.model import Delivery
from banyanline.settings.validators import Validator

LARGEST_COUNT = 100_000_000
LONGEST_DURATION_S = 86_400
SHORTEST_DURATION_S = 0.001
SMALLEST_FRAME_BYTES = 1_400
LARGEST_FRAME_BYTES = 65_000


class Option(NamedTuple):
    """One option of the settings.

    ``default`` is the text that stands for an absent key. An option without a
    default must be set; ``example`` then stands in the example file. ``unit`` is
    empty for options that have none.
    """

    section: str
    key: str
    validator: Validator
    default: str | None
    documentation: str
    unit: str = ""
    example: str = ""


def _duration(low: float = SHORTEST_DURATION_S, high: float = LONGEST_DURATION_S) -> Validator:
    return validators.number(low, high)


def _count(high: int = LARGEST_COUNT) -> Validator:
    return validators.integer(1, high)


OPTIONS: tuple[Option, ...] = (
    Option(
        "host",
        "name",
        validators.name(),
        None,
        "The name of this host, unique in the fleet and as in the platform's list of hosts.",
        example="split-centar-1",
    ),
    Option(
        "host",
        "data_centre",
        validators.name(),
        None,
        "The data centre that this host is in, as named in the configuration.",
        example="split-centar",
    ),
    Option(
        "host",
        "fabric_group",
        validators.name(),
        "default",
        "The group of hosts that one fabric sprays datagrams over.",
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
        "The address that the sockets bind, if it is not the one above.",
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
        "The key under which the platform keeps the configuration.",
    ),
    Option(
        "platform",
        "hosts_key",
        validators.text("a key of the platform"),
        "banyanline/hosts",
        "The key under which the platform keeps the list of hosts.",
    ),
    Option(
        "platform",
        "readers_per_data_centre",
        validators.integer(1, 100),
        "3",
        "How many hosts of each data centre watch the platform; the others ask these.",
        "hosts",
    ),
    Option(
        "platform",
        "watch_wait_s",
        _duration(0.1, 600),
        "60",
        "How long one watch waits for a change.",
        "seconds",
    ),
    Option(
        "platform",
        "retry_interval_s",
        _duration(0.05, 600),
        "1",
        "How long a reader waits after a failed read, on average.",
        "seconds",
    ),
    Option(
        "keys",
        "file",
        validators.text("the path of a file"),
        "/etc/banyanline/keys",
        "The file with the keys that all balancers share; see docs/operators/settings.md.",
    ),
    Option(
        "limits",
        "flows",
        _count(),
        "400000",
        "Flows held as home; a new flow beyond them is refused.",
        "flows",
    ),
    Option(
        "limits",
        "flow_sockets",
        _count(),
        "10000",
        "Sockets for flows of udp services towards upstreams; a new flow beyond them is refused.",
        "sockets",
    ),
    Option(
        "limits",
        "requests",
        _count(),
        "200000",
        "Requests held in the ledger; a new request beyond them is refused.",
        "requests",
    ),
    Option(
        "limits",
        "request_lifetime_s",
        _duration(1, 3600),
        "247",
        "How long a request is held for its retransmissions (RFC 7252, EXCHANGE_LIFETIME).",
        "seconds",
    ),
    Option(
        "limits",
        "queue_wait_s",
        _duration(0.01, 45),
        "2",
        "The longest that a request may wait in the queue of an upstream.",
        "seconds",
    ),
    Option(
        "limits",
        "recovery_held_packets",
        _count(),
        "20000",
        "Packets of flows that are being recovered, held until an owner answers.",
        "packets",
    ),
    Option(
        "limits",
        "log_lines_per_s",
        validators.number(0.1, 100_000),
        "20",
        "Log lines a second of each event that packets can cause; the rest is counted.",
        "lines/s",
    ),
    Option(
        "limits",
        "peer_frame_bytes",
        validators.integer(SMALLEST_FRAME_BYTES, LARGEST_FRAME_BYTES),
        "9000",
        "The largest datagram taken from or sent to another balancer.",
        "bytes",
    ),
    Option(
        "membership",
        "probe_interval_s",
        _duration(0.01, 60),
        "0.25",
        "The time between two probes that this host sends.",
        "seconds",
    ),
    Option(
        "membership",
        "suspicion_s",
        _duration(0.01, 600),
        "0.5",
        "How long a host that does not answer is suspected before it is removed.",
        "seconds",
    ),
    Option(
        "membership",
        "lease_s",
        _duration(0.01, 600),
        "2.5",
        "How long acknowledged probes entitle this host to act on its view.",
        "seconds",
    ),
    Option(
        "retries",
        "budget_share",
        validators.number(0, 1),
        "0.1",
        "Retries as a share of recent successes, for each service.",
        "share",
    ),
    Option(
        "stop",
        "grace_s",
        _duration(0, 3600),
        "60",
        "The longest that a planned stop waits for requests and flows to end or move.",
        "seconds",
    ),
    Option(
        "log",
        "level",
        validators.word("debug", "info", "warning", "error"),
        "info",
        "The least severe events that are logged.",
    ),
)
