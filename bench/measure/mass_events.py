"""What the loss of a rack, a data centre or a region does to the membership of 440 hosts.

    python -m bench.measure.mass_events crash --lost 1,12,73
    python -m bench.measure.mass_events cut --lost 220 --seconds 40
    python -m bench.measure.mass_events replace --lost 12
    python -m bench.measure.mass_events revision --hosts 440

Two regions of three data centres; only the detectors run, on a bus in memory. Printed for
each event: when the last running host had dropped the last lost one (or, after a cut or a
replacement, had all of them back), how many changes of its view a host saw, and messages
and bytes that a host sent meanwhile. Each change of the view makes a balancer compute homes
and owners anew and walk over its flows: see ``bench.measure.view_changes``.
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
from bench.measure.membership import DATAGRAM_OVERHEAD_BYTES, MeteredMembership, hosts_of

SETTLE_S = 6.0
WINDOW_S = 0.5
DETECTION_LIMIT_S = 12.0
HOSTS = 440

Row = dict[str, Any]

_encoder = msgspec.msgpack.Encoder()


class CountingFleet(Fleet):
    """A fleet that counts changes of views, and what is sent."""

    def __init__(self, count: int, seed: int) -> None:
        self.view_changes: Counter[HostName] = Counter()
        self.busy_windows: dict[HostName, set[int]] = {}
        self.sent: Counter[HostName] = Counter()
        self.sent_bytes: Counter[HostName] = Counter()
        make_member = functools.partial(MeteredMembership, is_settled=True)
        super().__init__(hosts_of(count), seed, make_member=make_member)
        self.on_send = self._note

    def run_effects(self, sender: HostName, effects: Sequence[MembershipEffect]) -> None:
        """Count the changes, and run the effects."""
        changes = sum(isinstance(effect, ViewChanged) for effect in effects)
        if changes:
            self.view_changes[sender] += changes
            self.busy_windows.setdefault(sender, set()).add(int(self.now / WINDOW_S))
        super().run_effects(sender, effects)

    def _note(self, datagram: Datagram) -> None:
        self.sent[datagram.sender] += 1
        size = len(_encoder.encode(datagram.message)) + DATAGRAM_OVERHEAD_BYTES
        self.sent_bytes[datagram.sender] += size

    def reset(self) -> None:
        """Count anew."""
        for counter in (self.view_changes, self.sent, self.sent_bytes):
            counter.clear()
        self.busy_windows.clear()


def _holds(fleet: CountingFleet, observers: list[str], alive: frozenset[str]) -> bool:
    for name in observers:
        view = fleet.members[name].view
        if {member.host.name for member in view.members if member.is_live} != alive:
            return False
    return True


def _run_until(fleet: CountingFleet, condition: Callable[[], bool], limit_s: float) -> float | None:
    """Run in steps of 0.1 s; return after how long the condition held, if it did."""
    began = fleet.now
    while fleet.now - began < limit_s:
        fleet.run(0.1)
        if condition():
            return round(fleet.now - began, 1)
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
            len(fleet.busy_windows.get(name, ())) for name in observers
        ),
        "messages_per_s": round(
            sum(fleet.sent[name] for name in observers) / seconds / len(observers), 1
        ),
        "bytes_per_s": round(
            sum(fleet.sent_bytes[name] for name in observers) / seconds / len(observers)
        ),
    }


def _lost_names(fleet: CountingFleet, count: int) -> list[str]:
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
    """Let ``lost`` hosts of one data centre crash at once."""
    fleet = CountingFleet(count, seed)
    fleet.run(SETTLE_S)
    names = _lost_names(fleet, lost)
    for name in names:
        fleet.crash(name)
    observers = list(fleet.members)
    alive = frozenset(observers)
    fleet.reset()
    began = fleet.now
    settled = _run_until(fleet, lambda: _holds(fleet, observers, alive), DETECTION_LIMIT_S)
    row = _row(fleet, f"{len(names)} crash", observers, fleet.now - began)
    return [{**row, "all_dropped_after_s": settled}]


def measure_cut(count: int, lost: int, seed: int, seconds: float) -> Iterator[Row]:
    """Cut a region off from the other, let time pass, and heal the cut."""
    fleet = CountingFleet(count, seed)
    fleet.run(SETTLE_S)
    names = _lost_names(fleet, lost)
    others = [name for name in fleet.hosts if name not in set(names)]
    everyone = frozenset(fleet.hosts)
    fleet.cut(names, others)
    fleet.reset()
    began = fleet.now
    alive = frozenset(others)
    settled = _run_until(fleet, lambda: _holds(fleet, others, alive), DETECTION_LIMIT_S)
    row = _row(fleet, "region cut off", others, fleet.now - began)
    yield {**row, "all_dropped_after_s": settled}
    fleet.reset()
    fleet.run(seconds)
    yield _row(fleet, "while cut off", others, seconds)
    fleet.heal()
    fleet.reset()
    began = fleet.now
    observers = list(fleet.hosts)
    back = _run_until(fleet, lambda: _holds(fleet, observers, everyone), DETECTION_LIMIT_S)
    row = _row(fleet, "cut healed", observers, fleet.now - began)
    yield {**row, "all_back_after_s": back}


def measure_replace(count: int, lost: int, seed: int) -> list[Row]:
    """Replace hosts one after the other: leave, end, start anew."""
    fleet = CountingFleet(count, seed)
    fleet.run(SETTLE_S)
    fleet.reset()
    began = fleet.now
    names = _lost_names(fleet, lost)
    for name in names:
        fleet.leave(name)
        fleet.run(1.0)
        fleet.crash(name)
        fleet.run(2.0)
        fleet.start(name)
        fleet.run(1.0)
    everyone = frozenset(fleet.hosts)
    observers = [name for name in fleet.hosts if name not in set(names)]
    back = _run_until(fleet, lambda: _holds(fleet, observers, everyone), DETECTION_LIMIT_S)
    row = _row(fleet, f"{len(names)} replaced, 4 s each", observers, fleet.now - began)
    return [{**row, "all_back_after_s": back}]


def measure_revision(count: int, readers: int, seed: int) -> list[Row]:
    """Give a revision to some hosts of each data centre; the others see it in probes."""
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

    spread = _run_until(fleet, all_informed, DETECTION_LIMIT_S)
    return [{"event": "revision", "hosts": count, "readers": readers, "spread_s": spread}]


def main() -> None:
    """Measure one kind of event and print JSON rows."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", choices=("crash", "cut", "replace", "revision"))
    parser.add_argument("--hosts", type=int, default=HOSTS)
    parser.add_argument("--lost", default="1")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0, help="length of a cut")
    parser.add_argument("--readers", type=int, default=3, help="readers of a data centre")
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
            rows = measure_cut(options.hosts, lost, options.seed, options.seconds)
        else:
            rows = measure_replace(options.hosts, lost, options.seed)
        for row in rows:
            print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
