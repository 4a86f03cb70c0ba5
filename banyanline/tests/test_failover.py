"""Most hosts of a data centre fall silent: routers send to all of them, alive or not."""

from __future__ import annotations

import itertools

import pytest

from banyanline.core.steering.failover import MIN_READY_S, Failover
from banyanline.core.steering.host_liveness import (
    COUNTED_S,
    ELSEWHERE_S,
    Heartbeat,
    HostLiveness,
    HostState,
)
from banyanline.core.types import Endpoint
from banyanline.tests.steering import HERE, THERE

INTERVAL_S = 0.2
STEP_S = 0.1
FOURTH = "far"


class DataCentre:
    """One host, with heartbeats from others that run until they are stopped."""

    def __init__(self, others: int, **elsewhere: HostState) -> None:
        self.now = 100.0
        self.liveness = HostLiveness(HERE)
        self.failover = Failover(self.liveness)
        self.running = set(range(others))
        self.states: dict[int, HostState] = {}
        self.elsewhere = elsewhere
        self.run(1.0)

    def run(self, for_s: float) -> list[bool]:
        """Let time pass; return whether callers were moved, at each step."""
        found = []
        for _ in range(round(for_s / STEP_S)):
            self.now += STEP_S
            self.liveness.update(self.now)
            for idx in self.running:
                state = self.states.get(idx, HostState.AVAILABLE)
                self.hear(Endpoint("10.0.0.1", idx), HERE, state)
            for idx, (data_centre, state) in enumerate(self.elsewhere.items()):
                self.hear(Endpoint("10.0.1.1", idx), data_centre, state)
            self.failover.update(self.now)
            found.append(self.failover.is_active)
        return found

    def hear(self, endpoint: Endpoint, data_centre: str, state: HostState) -> None:
        heartbeat = Heartbeat(data_centre, state, INTERVAL_S)
        self.liveness.on_heartbeat(endpoint, heartbeat, self.now)


def available(*names: str) -> dict[str, HostState]:
    return dict.fromkeys(names, HostState.AVAILABLE)


@pytest.mark.parametrize(
    ("others", "silent", "elsewhere", "expected"),
    [
        pytest.param(3, 3, available(THERE), True, id="three of four"),
        pytest.param(3, 2, available(THERE), False, id="half: routers leave them out"),
        pytest.param(2, 2, available(THERE), True, id="two of three"),
        pytest.param(27, 15, available(THERE), True, id="15 of 28"),
        pytest.param(27, 14, available(THERE), False, id="14 of 28"),
        pytest.param(3, 3, {}, False, id="nothing is heard from elsewhere"),
        pytest.param(3, 3, {THERE: HostState.UNAVAILABLE}, False, id="no better elsewhere"),
        pytest.param(
            3,
            3,
            {THERE: HostState.UNAVAILABLE, FOURTH: HostState.AVAILABLE},
            True,
            id="one of two others is available",
        ),
        pytest.param(0, 0, available(THERE), False, id="the only host"),
    ],
)
def test_callers_are_moved_while_fewer_than_half_of_the_hosts_are_left(
    others, silent, elsewhere, expected
):
    here = DataCentre(others, **elsewhere)
    here.running = set(range(others - silent))
    assert here.run(3.0)[-1] is expected
    here.running = set(range(others))
    assert not here.run(0.3)[-1]


def test_silence_is_found_before_routers_have_taken_the_hosts_out():
    here = DataCentre(3, **available(THERE))
    here.running = set()
    assert here.run(0.8)[-1]


def test_single_lost_heartbeats_move_nobody():
    here = DataCentre(3, **available(THERE))
    for _ in range(10):
        here.running = set()
        assert not any(here.run(2 * INTERVAL_S))
        here.running = {0, 1, 2}
        here.run(STEP_S)


def test_a_host_that_was_paused_itself_hears_the_others_first():
    here = DataCentre(3, **available(THERE))
    here.now += 5.0
    assert not any(here.run(2.0))


def test_a_host_that_is_cut_off_alone_stays_ready():
    here = DataCentre(3, **available(THERE))
    here.running = set()
    here.elsewhere = {}
    here.run(ELSEWHERE_S)
    assert not any(here.run(3.0))


def test_callers_return_at_once_when_no_data_centre_has_most_of_its_hosts():
    here = DataCentre(3, **available(THERE, FOURTH))
    here.running = set()
    assert here.run(0.8)[-1]
    here.elsewhere = {THERE: HostState.UNAVAILABLE, FOURTH: HostState.UNAVAILABLE}
    assert not any(here.run(2.0))


def test_hosts_that_leave_are_not_alive_and_those_that_are_gone_are_forgotten():
    here = DataCentre(3, **available(THERE))
    here.states = dict.fromkeys((0, 1, 2), HostState.LEAVING)
    assert here.run(2 * STEP_S)[-1]
    here.running = set()
    here.run(COUNTED_S + 1.0)
    assert here.liveness.count(here.now).known == 1
    assert not here.failover.is_active


def test_callers_do_not_move_back_and_forth():
    here = DataCentre(3, **available(THERE))
    moves = []
    for step in range(20):
        here.running = set() if step % 2 else {0, 1, 2}
        moves += here.run(1.0)
    changes = sum(before != after for before, after in itertools.pairwise(moves))
    assert changes <= 2 * 20.0 / MIN_READY_S
