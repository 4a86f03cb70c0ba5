"""How a home should choose an upstream.

Run ``python -m bench.experiments.placement``.
"""

from __future__ import annotations

from banyanline.core.choice import UpstreamChoice, fallback
from banyanline.core.types import UpstreamName
from bench.experiments.fleet import UPSTREAMS, Choose, Fleet, FleetSettings
from bench.experiments.simulation import print_table, quantile

REQUESTS = 12_000
LOADS = (0.5, 0.8)
FAULTS = {
    "all alike": (None, None, None),
    "u1 slow, u2 lies": ("u1", "u2", None),
    "u1 cold at first": (None, None, "u1"),
}


def _hashing(fleet: Fleet, choice: UpstreamChoice, flow_hash: int) -> UpstreamName:
    name = fallback(flow_hash, fleet.names)
    assert name is not None
    return name


def _random(fleet: Fleet, choice: UpstreamChoice, flow_hash: int) -> UpstreamName:
    return fleet.rng.choice(fleet.names)


def _least_known(fleet: Fleet, choice: UpstreamChoice, flow_hash: int) -> UpstreamName:
    return min(fleet.names, key=lambda name: choice.score_ms(name, fleet.simulation.now))


def _least_reported(fleet: Fleet, choice: UpstreamChoice, flow_hash: int) -> UpstreamName:
    return min(fleet.names, key=lambda name: (fleet.reported_load[name], fleet.rng.random()))


def _two_reported(fleet: Fleet, choice: UpstreamChoice, flow_hash: int) -> UpstreamName:
    return min(fleet.rng.sample(fleet.names, 2), key=lambda name: fleet.reported_load[name])


def _two_choices(fleet: Fleet, choice: UpstreamChoice, flow_hash: int) -> UpstreamName:
    name = choice.choose(flow_hash, fleet.simulation.now)
    assert name is not None
    return name


WAYS: dict[str, Choose] = {
    "plain hashing": _hashing,
    "random": _random,
    "least reported by endpoint": _least_reported,
    "two choices, reported by endpoint": _two_reported,
    "least known of owners' words": _least_known,
    "two choices on owners' words": _two_choices,
}


def row(name: str, choose: Choose, settings: FleetSettings) -> list[object]:
    """Measure one way of choosing."""
    fleet = Fleet(choose, settings).run()
    counts = [fleet.dispatched[name] for name in fleet.names]
    busiest = max(counts) / (sum(counts) / UPSTREAMS)
    return [
        name,
        f"{busiest:.2f}",
        f"{1e3 * quantile(fleet.delays_s, 0.5):.0f}",
        f"{1e3 * quantile(fleet.delays_s, 0.99):.0f}",
        f"{len(fleet.delays_s) / settings.requests:.2%}",
        f"{counts[0] / sum(counts):.1%}",
        f"{counts[1] / sum(counts):.1%}",
        f"{fleet.fallback_hits / settings.requests:.0%}",
    ]


def main() -> None:
    """Print a table for each load, without and with a slow upstream and one that lies."""
    header = ["way", "largest/mean", "p50 ms", "p99 ms", "answered in patience"]
    header += ["share of u1", "share of u2", "fallback finds"]
    for load in LOADS:
        for name, faults in FAULTS.items():
            settings = FleetSettings(load, REQUESTS, *faults)
            rows = [row(way, choose, settings) for way, choose in WAYS.items()]
            print_table(f"Load {load} of capacity, {name}", header, rows)


if __name__ == "__main__":
    main()
