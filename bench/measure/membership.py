"""Measures the failure detector: bytes, processor time, detection time, false removals.

Runs many failure detectors in one process over a simulated in-memory network. Sizes are
those of the encoded messages plus a constant for the overhead of a datagram.

    python -m bench.measure.membership cost --sizes 9,73,220,440
    python -m bench.measure.membership detection --seeds 100
    python -m bench.measure.membership false --seeds 20 --seconds 60
"""

from __future__ import annotations

import argparse
import functools
import math
import random
import statistics
import time
from collections import Counter
from typing import NamedTuple

import msgspec

from banyanline.core.membership import (
    Membership,
    MembershipEffect,
    MembershipMessage,
    MembershipSettings,
    SendProbeMessage,
)
from banyanline.core.types import Host, HostName, Seconds
from banyanline.tests.fleet import Datagram, Fleet, Link, make_hosts

DATAGRAM_OVERHEAD_BYTES = 28 + 48
"""IP and UDP headers, plus about the size of the sealed envelope."""

EVENTS = ("none", "all start", "data centre crashes")
HEARTBEAT_INTERVAL_S: Seconds = 0.5
HOSTS_PER_DATA_CENTRE = 73
SETTLE_S: Seconds = 5.0

CURRENT = "current settings, with a ring"
SETTINGS = {
    "SWIM, no suspicion": MembershipSettings(
        ring_every=0, suspicion_min_s=0.0, suspicion_max_s=0.0, max_health_penalty=0
    ),
    "SWIM, suspicion": MembershipSettings(
        ring_every=0, suspicion_min_s=0.9, suspicion_max_s=0.9, max_health_penalty=0
    ),
    "SWIM, suspicion, local health": MembershipSettings(ring_every=0),
    CURRENT: MembershipSettings(),
}

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[MembershipMessage] = msgspec.msgpack.Decoder(MembershipMessage)


class MeteredMembership(Membership):
    """A failure detector that adds up the processor time of its calls, codec included."""

    cpu_s: Seconds = 0.0

    def __init__(
        self,
        local: Host,
        settings: MembershipSettings,
        rng: random.Random,
        now: Seconds,
        incarnation: int,
        *,
        is_known_from_list: bool = False,
    ) -> None:
        """Start the detector.

        ``is_known_from_list`` starts it with the incarnation that peers assume for a host on
        the platform's list, so that its start adds no membership update to disseminate.
        """
        super().__init__(local, settings, rng, now, 0 if is_known_from_list else incarnation)

    def tick(self, now: Seconds) -> list[MembershipEffect]:
        """Run the tick and encode the messages that it sends."""
        started = time.process_time()
        effects = super().tick(now)
        self._encode(effects)
        self.cpu_s += time.process_time() - started
        return effects

    def receive(self, message: MembershipMessage, now: Seconds) -> list[MembershipEffect]:
        """Process a message, with the cost of decoding it and of encoding the replies."""
        encoded = _encoder.encode(message)
        started = time.process_time()
        effects = super().receive(_decoder.decode(encoded), now)
        self._encode(effects)
        self.cpu_s += time.process_time() - started
        return effects

    def _encode(self, effects: list[MembershipEffect]) -> None:
        for effect in effects:
            if isinstance(effect, SendProbeMessage):
                _encoder.encode(effect.message)


class Cost(NamedTuple):
    """Mean cost per node."""

    sent_per_s: float
    message_bytes: float
    bytes_out_per_s: float
    bytes_in_per_s: float
    cpu_share: float


def make_fleet(count: int, seed: int, settings: MembershipSettings, link: Link) -> Fleet:
    """Return a fleet of ``count`` hosts that all know each other from the start."""
    make_member = functools.partial(MeteredMembership, is_known_from_list=True)
    return Fleet(make_topology(count), seed, link, settings, make_member=make_member)


def make_topology(count: int) -> list[Host]:
    """Return ``count`` hosts in one fabric group or, from 438 on, in two.

    Each fabric group has three data centres, or a single one at a count of 73.
    """
    if count < 2 * 3 * HOSTS_PER_DATA_CENTRE:
        return make_hosts(count, data_centres=1 if count == HOSTS_PER_DATA_CENTRE else 3)
    half = count // 2
    return make_hosts(half, group="east") + make_hosts(count - half, group="west")


def measure_cost(count: int, seconds: Seconds, event: str) -> Cost:
    """Measure ``count`` hosts for ``seconds`` after one of ``EVENTS``."""
    fleet = make_fleet(count, 1, MembershipSettings(), Link())
    if event == "all start":
        fleet = Fleet(make_topology(count), seed=1, make_member=MeteredMembership)
    fleet.run(SETTLE_S)
    sent: list[int] = []
    received: list[int] = []

    def record_datagram(datagram: Datagram) -> None:
        size = len(_encoder.encode(datagram.message)) + DATAGRAM_OVERHEAD_BYTES
        sent.append(size)
        if datagram.receiver in fleet.members:
            received.append(size)

    if event == "data centre crashes":
        lost = fleet.hosts[next(iter(fleet.hosts))].data_centre
        for name, host in fleet.hosts.items():
            if host.data_centre == lost:
                fleet.crash(name)
    meters = [member for member in fleet.members.values() if isinstance(member, MeteredMembership)]
    cpu_before_s = sum(meter.cpu_s for meter in meters)
    fleet.on_send = record_datagram
    fleet.run(seconds)
    node_seconds = len(meters) * seconds
    cpu_s = sum(meter.cpu_s for meter in meters) - cpu_before_s
    return Cost(
        len(sent) / node_seconds,
        statistics.mean(sent) - DATAGRAM_OVERHEAD_BYTES,
        sum(sent) / node_seconds,
        sum(received) / node_seconds,
        cpu_s / node_seconds,
    )


def print_cost(sizes: list[int], seconds: Seconds) -> None:
    """Print the mean cost per node at each size."""
    header = f"{'sent/s':>8}{'bytes':>7}{'B/s out':>9}{'B/s in':>9}{'core %':>8}"
    print(f"{'hosts':>6} {'event':22}{header}")
    for count in sizes:
        for event in EVENTS:
            if event == "data centre crashes" and count == HOSTS_PER_DATA_CENTRE:
                continue
            cost = measure_cost(count, seconds, event)
            print(
                f"{count:6} {event:22}{cost.sent_per_s:8.1f}{cost.message_bytes:7.0f}"
                f"{cost.bytes_out_per_s:9.0f}{cost.bytes_in_per_s:9.0f}"
                f"{100 * cost.cpu_share:8.3f}"
            )
    for count in sizes:
        peers = min(count, HOSTS_PER_DATA_CENTRE) - 1
        heartbeats = peers * (40 + DATAGRAM_OVERHEAD_BYTES) / HEARTBEAT_INTERVAL_S
        print(
            f"{count:6} computed: all-to-all heartbeats in a data centre every"
            f" {HEARTBEAT_INTERVAL_S} s: {heartbeats:.0f} B/s out and in"
        )


def measure_detection(
    count: int, seed: int, settings: MembershipSettings, loss: float
) -> tuple[Seconds, Seconds]:
    """Return the times from a crash until the first and until the last peer removed the host."""
    fleet = make_fleet(count, seed, settings, Link(loss=loss))
    fleet.run(SETTLE_S + fleet.rng.random())
    victim = fleet.rng.choice(sorted(fleet.members))
    fleet.crash(victim)
    crashed_at = fleet.now
    removed: dict[HostName, Seconds] = {}

    def observe(name: HostName) -> None:
        if name not in removed and not fleet.members[name].view.is_alive(victim):
            removed[name] = fleet.now - crashed_at

    fleet.on_event = observe
    fleet.run(10.0, until=lambda: len(removed) == len(fleet.members))
    times = [removed.get(name, math.inf) for name in fleet.members]
    return min(times), max(times)


def print_detection(sizes: list[int], seeds: int, variants: list[str]) -> None:
    """Print the distribution over seeds of the time until all peers have removed a host."""
    print(
        f"{'hosts':>6} {'loss':>5} {'variant':32}"
        f"{'first p50':>10}{'all p50':>9}{'p99':>7}{'max':>7}"
    )
    for count in sizes:
        for loss in (0.0, 0.05):
            for name in variants:
                settings = SETTINGS[name]
                runs = max(3, seeds * 9 // count)
                times = [measure_detection(count, seed, settings, loss) for seed in range(runs)]
                first = sorted(first for first, _ in times)
                last = sorted(last for _, last in times)
                print(
                    f"{count:6} {loss:5.2f} {name:32}{first[runs // 2]:10.2f}"
                    f"{last[runs // 2]:9.2f}{last[math.ceil(runs * 0.99) - 1]:7.2f}{last[-1]:7.2f}"
                )


class DetectorErrors(NamedTuple):
    """Errors of the failure detectors in one run without a crash.

    ``fresh_share`` is the share of events after which the host's lease was fresh.
    """

    removals: int
    lapses: int
    fresh_share: float


def measure_false_removals(
    count: int, seed: int, settings: MembershipSettings, loss: float, seconds: Seconds
) -> DetectorErrors:
    """Count removals of running hosts, once for each peer that removes one, and lapsed leases."""
    fleet = make_fleet(count, seed, settings, Link(loss=loss))
    fleet.run(SETTLE_S)
    counts: Counter[str] = Counter()
    group = fleet.platform_hosts[0].fabric_group
    alive = {name: len(member.view.homes(group)) for name, member in fleet.members.items()}
    fresh = dict.fromkeys(fleet.members, True)

    def observe(name: HostName) -> None:
        member = fleet.members[name]
        now_alive = len(member.view.homes(group))
        counts["removals"] += max(0, alive[name] - now_alive)
        alive[name] = now_alive
        is_fresh = member.lease_fresh(fleet.now)
        counts["lapses"] += fresh[name] and not is_fresh
        counts["fresh"] += is_fresh
        counts["events"] += 1
        fresh[name] = is_fresh

    fleet.on_event = observe
    fleet.run(seconds)
    return DetectorErrors(counts["removals"], counts["lapses"], counts["fresh"] / counts["events"])


def print_false_removals(
    sizes: list[int], seeds: int, seconds: Seconds, variants: list[str]
) -> None:
    """Print false removals and lapsed leases under packet loss."""
    header = f"{'removals':>10}{'lapses':>8}{'fresh':>8}{'host h':>8}"
    print(f"{'hosts':>6} {'loss':>5} {'variant':32}{header}")
    for count in sizes:
        for loss in (0.0, 0.01, 0.05, 0.2):
            for name in variants:
                settings = SETTINGS[name]
                runs = max(1, seeds * 9 // count)
                results = [
                    measure_false_removals(count, seed, settings, loss, seconds)
                    for seed in range(runs)
                ]
                print(
                    f"{count:6} {loss:5.2f} {name:32}"
                    f"{sum(result.removals for result in results):10}"
                    f"{sum(result.lapses for result in results):8}"
                    f"{statistics.mean(result.fresh_share for result in results):8.4f}"
                    f"{runs * count * seconds / 3600:8.2f}"
                )


def main() -> None:
    """Run the measurement named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=("cost", "detection", "false"))
    parser.add_argument("--sizes", default="9,73,220,440", help="numbers of hosts")
    parser.add_argument("--seeds", type=int, default=20, help="runs at 9 hosts")
    parser.add_argument("--seconds", type=float, default=10.0, help="simulated time of a run")
    parser.add_argument("--this-one", action="store_true", help="only the current settings")
    arguments = parser.parse_args()
    variants = [CURRENT] if arguments.this_one else list(SETTINGS)
    sizes = [int(size) for size in arguments.sizes.split(",")]
    if arguments.what == "cost":
        print_cost(sizes, arguments.seconds)
    elif arguments.what == "detection":
        print_detection(sizes, arguments.seeds, variants)
    else:
        print_false_removals(sizes, arguments.seeds, arguments.seconds, variants)


if __name__ == "__main__":
    main()
