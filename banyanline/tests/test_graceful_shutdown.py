from __future__ import annotations

from collections.abc import Sequence

import pytest

from banyanline.core.steering.graceful_shutdown import GracefulShutdown

GRACE_S = 6.0
STEP_S = 0.05


def exit_time(checks: Sequence[float] = (), packets: Sequence[float] = ()) -> float:
    """Return when a host exits that gets health checks and packets at these times."""
    shutdown = GracefulShutdown(0.0, GRACE_S)
    events = sorted(
        [(at, shutdown.on_check) for at in checks] + [(at, shutdown.on_packet) for at in packets],
        key=lambda event: event[0],
    )
    now = 0.0
    while not shutdown.is_over(now):
        now += STEP_S
        while events and events[0][0] <= now:
            at, handle = events.pop(0)
            handle(at)
    return now


def every(interval_s: float, until_s: float, start_s: float = 0.0) -> list[float]:
    return [start_s + n * interval_s for n in range(int((until_s - start_s) / interval_s) + 1)]


@pytest.mark.parametrize(
    ("checks", "packets", "earliest", "latest"),
    [
        pytest.param([0.4, 0.9, 1.4], [], 1.25, 1.45, id="no traffic"),
        pytest.param(every(0.5, 6, 0.4), every(0.03, 1.0), 1.3, 1.5, id="callers move at once"),
        pytest.param(every(0.5, 6, 0.4), every(0.03, 2.5), 2.8, 3.0, id="callers move late"),
        pytest.param(every(0.5, 6, 0.4), every(0.03, 6), 5.4, 5.6, id="the others are not ready"),
        pytest.param([], [], 1.45, 1.65, id="no router reaches this host"),
        pytest.param([], every(0.5, 6), 5.4, 5.6, id="traffic without checks"),
        pytest.param([0.1], every(0.1, 1.0), 2.4, 2.6, id="one check"),
    ],
)
def test_a_host_serves_until_routers_have_moved_the_callers(checks, packets, earliest, latest):
    assert earliest <= exit_time(checks, packets) <= latest
