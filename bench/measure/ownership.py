"""Measures how evenly slots and upstreams are assigned, and how many a join or leave moves.

Prints tables for slots (which determine homes) and for upstreams (owners). The columns of
joins and leaves give the share of keys whose host changes when one host joins or leaves, as
a multiple of the share that has to move.

    python -m bench.measure.ownership [--trials N]
"""

from __future__ import annotations

import argparse
import math
import random
import statistics
import time
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, TypeAlias

import xxhash

from banyanline.core.placement import SLOTS, SlotTable, UpstreamKey, flow_hash
from banyanline.core.placement.ownership import assign_owners
from banyanline.core.types import Endpoint, HostName

SLOT_COUNTS = (1024, 4096, 16384)
GROUP_SIZES = (9, 73, 220)
UPSTREAM_SIZES = ((4, 2), (3, 2), (4, 3), (3, 3), (550, 73))
"""Upstreams and hosts of one data centre: the two current deployments, and the design size."""

Assignment: TypeAlias = Mapping[UpstreamKey, HostName]
Assigner: TypeAlias = Callable[[Sequence[UpstreamKey], Sequence[HostName]], Assignment]


class Balance(NamedTuple):
    """Results of one trial."""

    max_over_mean: float
    moved_by_join: float
    moved_by_leave: float
    cpu_ms: float


def assign_unbounded(keys: Sequence[UpstreamKey], hosts: Sequence[HostName]) -> Assignment:
    """Assign each key to the host with the highest rendezvous score, without a load bound."""
    return assign_owners(keys, hosts, bound=float(len(hosts)))


def bounded_assigner(bound: float) -> Assigner:
    """Return an assigner that gives each host at most ``bound`` times the mean load."""

    def assign_bounded(keys: Sequence[UpstreamKey], hosts: Sequence[HostName]) -> Assignment:
        return assign_owners(keys, hosts, bound)

    return assign_bounded


def rounded_up_assigner(bound: float) -> Assigner:
    """Return an assigner that gives each host at most ``bound`` times the mean load, rounded up."""

    def assign_bounded(keys: Sequence[UpstreamKey], hosts: Sequence[HostName]) -> Assignment:
        max_keys = math.ceil(bound * len(keys) / len(hosts))
        return assign_owners(keys, hosts, bound=(max_keys + 0.5) * len(hosts) / len(keys))

    return assign_bounded


def assign_round_robin(keys: Sequence[UpstreamKey], hosts: Sequence[HostName]) -> Assignment:
    """Assign keys round-robin in hash order: even, but a join or leave moves nearly all keys."""
    ordered = sorted(keys, key=lambda key: xxhash.xxh3_64_intdigest(str(key).encode()))
    return {key: hosts[idx % len(hosts)] for idx, key in enumerate(ordered)}


ASSIGNMENTS: dict[str, Assigner] = {
    "modulo": assign_round_robin,
    "plain rendezvous": assign_unbounded,
    "bound 1.50": bounded_assigner(1.5),
    "bound 1.25": bounded_assigner(1.25),
    "bound 1.10": bounded_assigner(1.1),
    "bound 1.00": bounded_assigner(1.0),
    "bound 1.25, rounded up": rounded_up_assigner(1.25),
}


def _share_moved(before: Assignment, after: Assignment) -> float:
    return sum(before[key] != after[key] for key in before) / len(before)


def measure(
    assign_keys: Assigner, keys: Sequence[UpstreamKey], hosts: Sequence[HostName]
) -> Balance:
    """Measure the balance over all hosts, and the moves when the last host leaves and rejoins."""
    started = time.process_time()
    full = assign_keys(keys, hosts)
    cpu_ms = (time.process_time() - started) * 1000
    fewer = assign_keys(keys, hosts[:-1])
    loads = Counter(full.values())
    required_share = loads[hosts[-1]] / len(keys)
    moved = _share_moved(full, fewer)
    return Balance(
        max(loads.values()) * len(hosts) / len(keys),
        moved * len(hosts),
        moved / required_share if required_share else 1.0,
        cpu_ms,
    )


def _host_names(count: int, rng: random.Random) -> list[HostName]:
    return [f"host-{rng.getrandbits(32):08x}" for _ in range(count)]


def _print_row(label: str, trials: Sequence[Balance]) -> None:
    worst = max(trial.max_over_mean for trial in trials)
    print(
        f"{label:34}"
        f"{statistics.mean(trial.max_over_mean for trial in trials):9.2f}"
        f"{worst:9.2f}"
        f"{statistics.mean(trial.moved_by_join for trial in trials):9.2f}"
        f"{statistics.mean(trial.moved_by_leave for trial in trials):9.2f}"
        f"{statistics.median(trial.cpu_ms for trial in trials):9.2f}"
    )


def _print_header(title: str) -> None:
    print(f"{title:34}{'max/mean':>9}{'worst':>9}{'join*n':>9}{'leave':>9}{'cpu ms':>9}")


def print_slots(trials: int) -> None:
    """Print how evenly slots are spread over the hosts of a fabric group."""
    _print_header("slots, hosts, assignment")
    for slots in SLOT_COUNTS:
        keys = [UpstreamKey("slot", str(slot)) for slot in range(slots)]
        for count in GROUP_SIZES:
            for name in ("plain rendezvous", "bound 1.25", "bound 1.10"):
                if slots * count > 400_000:
                    continue
                results = [
                    measure(ASSIGNMENTS[name], keys, _host_names(count, random.Random(seed)))
                    for seed in range(max(1, trials // count))
                ]
                _print_row(f"{slots:6} {count:4} {name}", results)


def print_slot_table(trials: int) -> None:
    """Print the balance and update cost of the current slot table as a host leaves and rejoins."""
    columns = ("max/mean", "leave*n", "first ms", "leave ms", "join ms")
    print(f"{'slot table':12}" + "".join(f"{column:>9}" for column in columns))
    for count in GROUP_SIZES:
        rows: list[tuple[float, ...]] = []
        for seed in range(max(3, trials // count)):
            hosts = _host_names(count, random.Random(seed))
            table = SlotTable(history_s=60.0)
            first_ms = _measure_update_ms(table, hosts, 0.0)
            loads = [len(table.slots_of(host)) for host in hosts]
            leave_ms = _measure_update_ms(table, hosts[:-1], 1.0)
            moved = sum(table.stable_since(slot) == 1.0 for slot in range(SLOTS))
            join_ms = _measure_update_ms(table, hosts, 2.0)
            moved_share = moved * count / SLOTS
            rows.append((max(loads) * count / SLOTS, moved_share, first_ms, leave_ms, join_ms))
        means = [statistics.mean(column) for column in zip(*rows, strict=True)]
        print(f"{SLOTS:6} {count:4} " + "".join(f"{mean:9.2f}" for mean in means))


def _measure_update_ms(table: SlotTable, hosts: Sequence[HostName], now: float) -> float:
    started = time.process_time()
    table.update(hosts, now)
    return (time.process_time() - started) * 1000


def print_upstreams(trials: int) -> None:
    """Print how evenly upstreams are spread over the hosts of a data centre."""
    _print_header("upstreams, hosts, assignment")
    for upstreams, count in UPSTREAM_SIZES:
        for name, assign_keys in ASSIGNMENTS.items():
            results = []
            for seed in range(max(3, trials // count)):
                rng = random.Random(seed)
                keys = [
                    UpstreamKey("service", f"upstream-{rng.getrandbits(32):08x}")
                    for _ in range(upstreams)
                ]
                results.append(measure(assign_keys, keys, _host_names(count, rng)))
            _print_row(f"{upstreams:6} {count:4} {name}", results)


def print_flow_hash() -> None:
    """Print the processor time of one flow hash."""
    caller = Endpoint("192.0.2.7", 40000)
    rounds = 200_000
    started = time.process_time()
    for _ in range(rounds):
        flow_hash(caller, "orders")
    print(f"flow_hash: {(time.process_time() - started) / rounds * 1e6:.2f} us")


def main() -> None:
    """Run all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--trials", type=int, default=300, help="trials of the smallest size")
    arguments = parser.parse_args()
    print_flow_hash()
    print_slots(arguments.trials)
    print_slot_table(arguments.trials)
    print_upstreams(arguments.trials)


if __name__ == "__main__":
    main()
