"""Whether a second attempt before the first one ends pays with two slots a target.

Run ``python -m bench.experiments.hedging``.
"""

from __future__ import annotations

from banyanline.core.choice import UpstreamChoice
from banyanline.core.types import UpstreamName
from bench.experiments.fleet import Fleet, FleetSettings
from bench.experiments.simulation import print_table, quantile

REQUESTS = 12_000
LOADS = (0.3, 0.5, 0.8, 1.2)
HEDGE_AFTER_S = (None, 0.15, 0.3, 0.6)


def _choose(fleet: Fleet, choice: UpstreamChoice, flow_hash: int) -> UpstreamName:
    name = choice.choose(flow_hash, fleet.simulation.now)
    assert name is not None
    return name


def main() -> None:
    """Print a table for each load."""
    header = ["hedge after", "hedges", "p50 ms", "p99 ms", "p99.9 ms", "answered in patience"]
    for load in LOADS:
        rows = []
        for hedge_after_s in HEDGE_AFTER_S:
            settings = FleetSettings(load, REQUESTS, hedge_after_s=hedge_after_s)
            fleet = Fleet(_choose, settings).run()
            delays_ms = [1e3 * quantile(fleet.delays_s, share) for share in (0.5, 0.99, 0.999)]
            name = "never" if hedge_after_s is None else f"{hedge_after_s} s"
            share = f"{fleet.hedges / REQUESTS:.2%}"
            answered = f"{len(fleet.delays_s) / REQUESTS:.2%}"
            rows.append([name, share, *(f"{delay:.0f}" for delay in delays_ms), answered])
        print_table(f"Load {load} of capacity", header, rows)


if __name__ == "__main__":
    main()
