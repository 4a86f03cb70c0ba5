"""Long seeded simulations of whole fleets under faults."""

from __future__ import annotations

import pytest

from properties.chaos import NOTIFY_PERIOD_S, Chaos
from properties.simulation import NetworkFaults

RUN_S = 25.0
MAX_STREAM_GAP_S = 2.0

FAULTS = [
    pytest.param(("crash", "restart"), id="crashes"),
    pytest.param(("pause",), id="pauses"),
    pytest.param(("partition",), id="partitions"),
    pytest.param(("leave", "restart"), id="graceful shutdowns"),
    pytest.param(("configure",), id="configuration changes"),
    pytest.param(("crash", "restart", "pause", "leave", "partition", "configure"), id="all"),
]


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("events", FAULTS)
def test_invariants_hold_under_faults(events, seed):
    chaos = Chaos(seed, events)
    assert chaos.run(RUN_S) == []
    assert chaos.outcomes()["answered"] > 0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_callers_do_not_notice_graceful_shutdowns(seed):
    chaos = Chaos(seed, ("leave", "restart"), NetworkFaults())
    assert chaos.run(RUN_S) == []
    outcomes = chaos.outcomes()
    assert outcomes["answered"] >= 0.999 * outcomes.total()
    assert max(chaos.stream_gaps()) < MAX_STREAM_GAP_S + NOTIFY_PERIOD_S
    assert chaos.moved_flows() == []


def test_single_crash_loses_no_stream():
    chaos = Chaos(3, (), NetworkFaults())
    chaos.fleet.call_later(12.0, lambda: chaos.fleet.crash("b-1"))
    chaos.run(RUN_S)
    assert "b-1" not in chaos.fleet.nodes
    assert max(chaos.stream_gaps()) < RUN_S / 2
    assert chaos.moved_flows() == []
