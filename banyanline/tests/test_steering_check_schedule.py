"""Upstreams that are down are detected with few flows lost, and avoided until they are back."""

from __future__ import annotations

import pytest

from banyanline.core.steering.check_schedule import (
    CONFIRM_FACTOR,
    CONFIRM_TIMEOUT_S,
    RECENT_RESPONSE_S,
)
from banyanline.core.steering.failure_detection import CHECK_INTERVAL_S, CheckResult
from banyanline.tests.steering import THERE, Host, entry, packet

HERE_NAMES = [f"orders-{number}" for number in range(1, 6)]
FAR_NAME = "orders-9"


class Scenario:
    """A host and its upstreams, some of which are down and refuse opening packets."""

    def __init__(self, *down: str) -> None:
        self.down = set(down)
        entries = [entry(name) for name in HERE_NAMES]
        self.host = Host(*entries, entry(FAR_NAME, data_centre=THERE))
        self.host.wait(10.0)
        self.lost = 0
        self.checked: list[str] = []

    def open_one(self, flow: int) -> str:
        """Open a flow if its upstream is up; return the upstream's name."""
        name = self.host.place(flow)
        if name in self.down:
            self.lost += 1
        else:
            self.host.send(packet(flow, cookie=self.host.cookie(name)))
        return name

    def wait(self, seconds: float) -> None:
        """Advance the clock in small steps, and complete the checks that are due."""
        steps = round(seconds / 0.01)
        for _ in range(steps):
            self.host.now += 0.01
            self.host.steering.check_scheduler.on_timer(self.host.now)
            self.run_due_checks()

    def run_due_checks(self) -> None:
        check_scheduler = self.host.steering.check_scheduler
        while due := check_scheduler.take_due():
            for each in due:
                self.checked.append(each.upstream.name)
                is_down = each.upstream.name in self.down
                result = CheckResult.UNANSWERED if is_down else CheckResult.ANSWERED
                self.host.steering.on_check(each, result, self.host.now)


def test_an_unconfirmed_opening_packet_triggers_a_check():
    scenario = Scenario(*HERE_NAMES)
    name = scenario.open_one(1)
    scenario.wait(CONFIRM_TIMEOUT_S - 0.02)
    assert scenario.checked == []
    scenario.wait(0.04)
    assert scenario.checked[0] == name


def test_a_confirmed_opening_packet_triggers_no_check():
    scenario = Scenario()
    for flow in range(5):
        scenario.open_one(flow)
    scenario.wait(1.0)
    assert scenario.checked == []


def test_the_usual_round_trip_of_distant_callers_triggers_no_check():
    scenario = Scenario()
    round_trip_s = 0.06
    for flow in range(60):
        name = scenario.host.place(flow)
        scenario.host.now += round_trip_s
        scenario.host.send(packet(flow, cookie=scenario.host.cookie(name)))
    scenario.host.steering.check_scheduler.take_due()
    scenario.host.place(100)
    scenario.host.steering.check_scheduler.on_timer(
        scenario.host.now + CONFIRM_FACTOR * round_trip_s * 0.7
    )
    assert scenario.host.steering.check_scheduler.take_due() == []


@pytest.mark.parametrize(
    ("down", "lost"),
    [
        pytest.param(HERE_NAMES[:1], 1, id="one"),
        pytest.param(HERE_NAMES[:4], 1, id="four of five"),
        pytest.param(HERE_NAMES, 1, id="all here"),
    ],
)
def test_few_flows_are_lost_to_upstreams_that_are_down(down, lost):
    """Neighbours of a failed upstream are checked too if they have not responded recently."""
    scenario = Scenario(*down)
    for flow in range(40):
        scenario.open_one(flow)
        scenario.wait(0.1)
    assert scenario.lost <= lost + len(down) // 2
    assert scenario.open_one(100) not in down


def test_an_upstream_that_is_down_is_checked_again_until_it_answers():
    scenario = Scenario(HERE_NAMES[0])
    upstream = scenario.host.upstream(HERE_NAMES[0])
    scenario.host.steering.check_scheduler.request_check(upstream, scenario.host.now)
    scenario.run_due_checks()
    before = len(scenario.checked)
    scenario.wait(3 * CHECK_INTERVAL_S + 0.1)
    assert scenario.checked[before:].count(HERE_NAMES[0]) == 3
    scenario.down.clear()
    scenario.wait(CHECK_INTERVAL_S)
    assert not upstream.failure_detector.has_failed_check
    checked = len(scenario.checked)
    scenario.wait(2 * CHECK_INTERVAL_S)
    assert len(scenario.checked) == checked


def test_an_inconclusive_check_is_repeated():
    """The host was too slow, or had too many checks in flight."""
    scenario = Scenario(HERE_NAMES[0])
    upstream = scenario.host.upstream(HERE_NAMES[0])
    scenario.host.steering.check_scheduler.request_check(upstream, scenario.host.now)
    scenario.run_due_checks()
    scenario.host.now += CHECK_INTERVAL_S
    scenario.host.steering.check_scheduler.on_timer(scenario.host.now)
    for each in scenario.host.steering.check_scheduler.take_due():
        scenario.host.steering.on_check(each, CheckResult.UNKNOWN, scenario.host.now)
    scenario.down.clear()
    scenario.wait(CHECK_INTERVAL_S + 0.1)
    assert not upstream.failure_detector.has_failed_check


def test_a_restored_entry_clears_the_failed_check():
    """Entries that lapsed during an outage of the store return when it ends."""
    scenario = Scenario(HERE_NAMES[0])
    upstream = scenario.host.upstream(HERE_NAMES[0])
    scenario.host.steering.check_scheduler.request_check(upstream, scenario.host.now)
    scenario.run_due_checks()
    scenario.host.remove(HERE_NAMES[0])
    scenario.wait(2 * CHECK_INTERVAL_S)
    scenario.host.put(entry(HERE_NAMES[0]))
    assert not upstream.failure_detector.has_failed_check


def test_a_cold_upstream_is_preferred_to_one_that_is_down():
    scenario = Scenario(*HERE_NAMES, FAR_NAME)
    for name in [*HERE_NAMES, FAR_NAME]:
        scenario.host.steering.check_scheduler.request_check(
            scenario.host.upstream(name), scenario.host.now
        )
    scenario.run_due_checks()
    scenario.host.put(entry("orders-7", cold_for_s=5.0, data_centre=THERE))
    assert scenario.host.place(1) == "orders-7"


def test_neighbours_that_responded_recently_are_not_checked():
    scenario = Scenario(HERE_NAMES[0])
    for name in HERE_NAMES[1:]:
        scenario.host.upstream(name).failure_detector.on_response(scenario.host.now)
    scenario.host.now += RECENT_RESPONSE_S / 2
    scenario.host.steering.check_scheduler.request_check(
        scenario.host.upstream(HERE_NAMES[0]), scenario.host.now
    )
    scenario.run_due_checks()
    assert scenario.checked == [HERE_NAMES[0]]


def test_checks_stop_when_the_entry_is_removed():
    scenario = Scenario(HERE_NAMES[0])
    scenario.host.steering.check_scheduler.request_check(
        scenario.host.upstream(HERE_NAMES[0]), scenario.host.now
    )
    scenario.run_due_checks()
    scenario.host.remove(HERE_NAMES[0])
    checked = len(scenario.checked)
    scenario.wait(3 * CHECK_INTERVAL_S)
    assert len(scenario.checked) == checked
