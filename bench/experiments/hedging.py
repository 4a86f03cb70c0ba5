"""Whether a second attempt before the first one ends pays with two slots a target.

Run ``python -m bench.experiments.hedging``.
"""

from __future__ import annotations

from banyanline.core.choice import UpstreamChoice
from banyanline.core.types import UpstreamName
from bench.experiments.fleet import Fleet, FleetSettings
from bench.experiments.simulation import print_table, quantile

REQUESTS = 12_000
LOADS = (0.5, 0.8, 1.2)
HEDGE_AFTER_S = 0.3
WAYS = {
    "never": (None, False),
    "after 0.3 s, anywhere": (HEDGE_AFTER_S, False),
    "after 0.3 s, to free slots": (HEDGE_AFTER_S, True),
}
TAILS = {"the upstream's": False, "the request's": True}


def _choose(fleet: Fleet, choice: UpstreamChoice, flow_hash: int) -> UpstreamName:
    name = choice.choose(flow_hash, fleet.simulation.now)
    assert name is not None
    return name


def _cells(fleet: Fleet) -> list[str]:
    delays_ms = [1e3 * quantile(fleet.delays_s, share) for share in (0.5, 0.99, 0.999)]
    return [
        f"{fleet.hedges / REQUESTS:.2%}",
        *(f"{delay:.0f}" for delay in delays_ms),
        f"{len(fleet.delays_s) / REQUESTS:.2%}",
    ]


def main() -> None:
    """Print a table for each load."""
    header = ["hedge", "hedges", "p50 ms", "p99 ms", "p99.9 ms", "answered in patience"]
    for load in LOADS:
        for tail, is_tail_of_request in TAILS.items():
            rows = []
            for name, (hedge_after_s, free_only) in WAYS.items():
                settings = FleetSettings(
                    load,
                    REQUESTS,
                    hedge_after_s=hedge_after_s,
                    hedge_to_free_slots_only=free_only,
                    is_tail_of_request=is_tail_of_request,
                )
                rows.append([name, *_cells(Fleet(_choose, settings).run())])
            print_table(f"Load {load} of capacity, the tail is {tail}", header, rows)


if __name__ == "__main__":
    main()
