"""Measures how membership reacts to losing a rack, a data centre or a region of 440 hosts.

    python -m bench.measure.mass_events crash --lost 1,12,73
    python -m bench.measure.mass_events cut --lost 220 --seconds 40
    python -m bench.measure.mass_events replace --lost 12
    python -m bench.measure.mass_events revision --hosts 440

Two regions of three data centres; only the failure detectors run, on a simulated in-memory
network. For each event it prints how long it took until every running host had removed every
lost host from its view (after a healed partition or a replacement: until the hosts had all of
them back), how many view changes a host went through, and the messages and bytes per second
that a host sent in that time. Each view change makes a balancer recompute homes and owners
and iterate over its flows: see ``bench.measure.view_changes``.
"""

from __future__ import annotations

import argparse
import functools
import json
import statistics
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any

import msgspec

from banyanline.core.membership import MembershipEffect, ViewChanged
from banyanline.core.types import HostName
from banyanline.tests.fleet import Datagram, Fleet
from bench.measure.membership import DATAGRAM_OVERHEAD_BYTES, MeteredMembership, make_topology

SETTLE_S = 6.0
WINDOW_S = 0.5
DETECTION_LIMIT_S = 12.0
HOSTS = 440

Row = dict[str, Any]

_encoder = msgspec.msgpack.Encoder()


class CountingFleet(Fleet):
    """A fleet that counts view changes, and the messages and bytes sent, by host."""

    def __init__(self, count: int, seed: int) -> None:
        self.view_changes: Counter[HostName] = Counter()
        self.change_windows: dict[HostName, set[int]] = {}
        self.sent: Counter[HostName] = Counter()
        self.sent_bytes: Counter[HostName] = Counter()
        make_member = functools.partial(MeteredMembership, is_known_from_list=True)
        super().__init__(make_topology(count), seed, make_member=make_member)
        self.on_send = self._count_datagram

    def run_effects(self, sender: HostName, effects: Sequence[MembershipEffect]) -> None:
        """Count the view changes among the effects, and run them."""
        changes = sum(isinstance(effect, ViewChanged) for effect in effects)
        if changes:
            self.view_changes[sender] += changes
            self.change_windows.setdefault(sender, set()).add(int(self.now / WINDOW_S))
        super().run_effects(sender, effects)

    def _count_datagram(self, datagram: Datagram) -> None:
        self.sent[datagram.sender] += 1
        size = len(_encoder.encode(datagram.message)) + DATAGRAM_OVERHEAD_BYTES
        self.sent_bytes[datagram.sender] += size

    def reset(self) -> None:
        """Set all counters back to zero."""
        for counter in (self.view_changes, self.sent, self.sent_bytes):
            counter.clear()
        self.change_windows.clear()


def _views_match(fleet: CountingFleet, observers: list[str], alive: frozenset[str]) -> bool:
    for name in observers:
        view = fleet.members[name].view
        if {member.host.name for member in view.members if member.is_live} != alive:
            return False
    return True


def _run_until(fleet: CountingFleet, condition: Callable[[], bool], limit_s: float) -> float | None:
    """Run in steps of 0.1 s; return the time until the condition held, or None at the limit."""
    started_at = fleet.now
    while fleet.now - started_at < limit_s:
        fleet.run(0.1)
        if condition():
            return round(fleet.now - started_at, 1)
    return None


def _row(fleet: CountingFleet, event: str, observers: list[str], seconds: float) -> Row:
    changes = [fleet.view_changes[name] for name in observers]
    return {
        "event": event,
        "hosts": len(fleet.hosts),
        "seconds": round(seconds, 1),
        "view_changes_median": statistics.median(changes),
        "view_changes_max": max(changes),
        "windows_with_changes_median": statistics.median(
            len(fleet.change_windows.get(name, ())) for name in observers
        ),
        "messages_per_s": round(
            sum(fleet.sent[name] for name in observers) / seconds / len(observers), 1
        ),
        "bytes_per_s": round(
            sum(fleet.sent_bytes[name] for name in observers) / seconds / len(observers)
        ),
    }


def _hosts_to_lose(fleet: CountingFleet, count: int) -> list[str]:
    first = next(iter(fleet.hosts.values()))
    if count >= len(fleet.hosts) // 2:
        return [
            name for name, host in fleet.hosts.items() if host.fabric_group == first.fabric_group
        ]
    in_centre = [
        name for name, host in fleet.hosts.items() if host.data_centre == first.data_centre
    ]
    return in_centre[:count]


def measure_crash(count: int, lost: int, seed: int) -> list[Row]:
    """Crash ``lost`` hosts of one data centre, or a whole region, at the same time."""
    fleet = CountingFleet(count, seed)
    fleet.run(SETTLE_S)
    names = _hosts_to_lose(fleet, lost)
    for name in names:
        fleet.crash(name)
    observers = list(fleet.members)
    alive = frozenset(observers)
    fleet.reset()
    started_at = fleet.now
    dropped_after_s = _run_until(
        fleet, lambda: _views_match(fleet, observers, alive), DETECTION_LIMIT_S
    )
    row = _row(fleet, f"{len(names)} crash", observers, fleet.now - started_at)
    return [{**row, "all_dropped_after_s": dropped_after_s}]


def measure_partition(count: int, lost: int, seed: int, seconds: float) -> Iterator[Row]:
    """Partition one region from the other for ``seconds``, then heal the partition."""
    fleet = CountingFleet(count, seed)
    fleet.run(SETTLE_S)
    names = _hosts_to_lose(fleet, lost)
    others = [name for name in fleet.hosts if name not in set(names)]
    everyone = frozenset(fleet.hosts)
    fleet.partition(names, others)
    fleet.reset()
    started_at = fleet.now
    alive = frozenset(others)
    dropped_after_s = _run_until(
        fleet, lambda: _views_match(fleet, others, alive), DETECTION_LIMIT_S
    )
    row = _row(fleet, "region cut off", others, fleet.now - started_at)
    yield {**row, "all_dropped_after_s": dropped_after_s}
    fleet.reset()
    fleet.run(seconds)
    yield _row(fleet, "while cut off", others, seconds)
    fleet.heal()
    fleet.reset()
    started_at = fleet.now
    observers = list(fleet.hosts)
    restored_after_s = _run_until(
        fleet, lambda: _views_match(fleet, observers, everyone), DETECTION_LIMIT_S
    )
    row = _row(fleet, "cut healed", observers, fleet.now - started_at)
    yield {**row, "all_back_after_s": restored_after_s}


def measure_replacement(count: int, lost: int, seed: int) -> list[Row]:
    """Replace hosts one after the other: announce leaving, stop, start again."""
    fleet = CountingFleet(count, seed)
    fleet.run(SETTLE_S)
    fleet.reset()
    started_at = fleet.now
    names = _hosts_to_lose(fleet, lost)
    for name in names:
        fleet.leave(name)
        fleet.run(1.0)
        fleet.crash(name)
        fleet.run(2.0)
        fleet.start(name)
        fleet.run(1.0)
    everyone = frozenset(fleet.hosts)
    observers = [name for name in fleet.hosts if name not in set(names)]
    restored_after_s = _run_until(
        fleet, lambda: _views_match(fleet, observers, everyone), DETECTION_LIMIT_S
    )
    row = _row(fleet, f"{len(names)} replaced, 4 s each", observers, fleet.now - started_at)
    return [{**row, "all_back_after_s": restored_after_s}]


def measure_revision(count: int, readers: int, seed: int) -> list[Row]:
    """Give a revision to ``readers`` hosts in each data centre; the rest learn it from probes."""
    fleet = CountingFleet(count, seed)
    fleet.run(SETTLE_S)
    by_centre: dict[str, list[str]] = {}
    for name, host in fleet.hosts.items():
        by_centre.setdefault(host.data_centre, []).append(name)
    informed = {name for names in by_centre.values() for name in names[:readers]}
    for name in informed:
        fleet.members[name].set_revision(1)
    fleet.revisions_seen.clear()

    def all_informed() -> bool:
        for name, seen in fleet.revisions_seen:
            if name not in informed:
                informed.add(name)
                fleet.members[name].set_revision(seen.revision)
        fleet.revisions_seen.clear()
        return len(informed) == count

    spread_s = _run_until(fleet, all_informed, DETECTION_LIMIT_S)
    return [{"event": "revision", "hosts": count, "readers": readers, "spread_s": spread_s}]


def main() -> None:
    """Measure one kind of event and print JSON rows."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", choices=("crash", "cut", "replace", "revision"))
    parser.add_argument("--hosts", type=int, default=HOSTS)
    parser.add_argument("--lost", default="1")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0, help="length of the partition")
    parser.add_argument("--readers", type=int, default=3, help="readers in each data centre")
    options = parser.parse_args()
    if options.kind == "revision":
        for row in measure_revision(options.hosts, options.readers, options.seed):
            print(json.dumps(row))
        return
    for lost in map(int, options.lost.split(",")):
        rows: Iterable[Row]
        if options.kind == "crash":
            rows = measure_crash(options.hosts, lost, options.seed)
        elif options.kind == "cut":
            rows = measure_partition(options.hosts, lost, options.seed, options.seconds)
        else:
            rows = measure_replacement(options.hosts, lost, options.seed)
        for row in rows:
            print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
