"""Upstreams of unequal speed, which only their response times show."""

from __future__ import annotations

import pytest

from banyanline.core.steering.peer_reports import UpstreamSample
from banyanline.core.steering.peer_responses import HYSTERESIS, RESPONSES_TIME_CONSTANT_S
from banyanline.tests.reports import Fleet, hear_all, report
from banyanline.tests.steering import THERE, Host, entry

SPEEDS = {f"orders-{number}": (0.7, 0.7, 1.7)[number % 3] for number in range(18)}
HOSTS = 6
WORK_S = 0.03
SLOTS = 2
USED = 0.75
REQUESTS_PER_S = USED * SLOTS * sum(SPEEDS.values()) / WORK_S
SAMPLE_FLOWS = 600


def response_s(speed: float, used: float) -> float:
    """Return the mean response time of two slots with random arrivals (M/M/2)."""
    return WORK_S / speed / (1.0 - min(used, 0.97) ** 2)


def used_shares(counts: dict[str, int]) -> dict[str, float]:
    """Return how much of its capacity each upstream uses with these shares of the requests."""
    total = sum(counts.values())
    return {
        name: counts.get(name, 0) / total * REQUESTS_PER_S * WORK_S / (SLOTS * speed)
        for name, speed in SPEEDS.items()
    }


def run_seconds(fleet: Fleet, seconds: int) -> list[dict[str, float]]:
    """Place the requests of each second anew; return the used share of each upstream."""
    found = []
    flow = 0
    served: dict[str, UpstreamSample] = {}
    for _ in range(seconds):
        fleet.exchange(served)
        counts: dict[str, int] = {}
        for _ in range(SAMPLE_FLOWS):
            flow += 1
            name = fleet.open(flow)
            fleet.send(flow, name, ends=True, everywhere=True)
            counts[name] = counts.get(name, 0) + 1
        used = used_shares(counts)
        served = {
            name: UpstreamSample(
                name,
                in_flight=min(used[name], 1.0)
                * SLOTS
                * speed
                * response_s(speed, used[name])
                / WORK_S,
                responses=int(counts[name] / SAMPLE_FLOWS * REQUESTS_PER_S),
                response_s=response_s(speed, used[name]),
            )
            for name, speed in SPEEDS.items()
        }
        found.append(used)
        fleet.advance(1.0)
    return found


def test_no_upstream_is_overloaded_while_others_have_room():
    fleet = Fleet(HOSTS, *map(entry, SPEEDS))
    found = run_seconds(fleet, 25)
    assert max(found[0].values()) > 1.0
    for used in found[10:]:
        assert max(used.values()) < 0.97
    slow = [sum(used[name] for name in SPEEDS if SPEEDS[name] < 1.0) for used in found[10:]]
    assert max(slow) - min(slow) < 0.15 * max(slow)


def speeds_after(*times_s: float, waited_s: float = 0.0, responses: int = 50) -> list[float]:
    """Return the speeds of upstreams with the given response times."""
    host = Host(*(entry(f"orders-{number}") for number in range(len(times_s))))
    samples = [
        UpstreamSample(f"orders-{number}", 0.5, 1, responses, time_s)
        for number, time_s in enumerate(times_s)
    ]
    hear_all(host, report(*samples))
    for _ in range(int(waited_s) + 1):
        host.wait(1.0)
    known = host.steering.peer_placement.responses
    return [known.speed(f"orders-{number}") for number in range(len(times_s))]


@pytest.mark.parametrize(
    ("times_s", "expected"),
    [
        pytest.param((0.03, 0.03, 0.03), (1.0, 1.0, 1.0), id="equal"),
        pytest.param((0.033, 0.03, 0.028), (1.0, 1.0, 1.0), id="within the hysteresis"),
        pytest.param((0.043, 0.043, 0.018), (1.0, 1.0, 2.0), id="below the slow ratio"),
        pytest.param((0.03, 0.03, 3.0), (1.0, 1.0, 0.25), id="one far slower, limited"),
        pytest.param((0.03, 0.03, 0.005), (1.0, 1.0, 1.0), id="one too fast to do the work"),
    ],
)
def test_speeds_follow_response_times(times_s, expected):
    assert speeds_after(*times_s) == pytest.approx(list(expected), rel=0.1)


@pytest.mark.parametrize(
    ("responses", "waited_s"),
    [
        pytest.param(1, 0.0, id="a single response"),
        pytest.param(50, 8 * RESPONSES_TIME_CONSTANT_S, id="no response for long"),
    ],
)
def test_speeds_without_evidence_are_one(responses, waited_s):
    speeds = speeds_after(0.03, 0.09, waited_s=waited_s, responses=responses)
    assert speeds == pytest.approx([1.0, 1.0], abs=HYSTERESIS)


def test_fast_responses_of_a_full_upstream_are_no_evidence_of_speed():
    host = Host(entry("orders-1"), entry("orders-2"), entry("sheets-1", data_centre=THERE))
    samples = (
        UpstreamSample("orders-1", 9.0, 1, 50, 0.005),
        UpstreamSample("orders-2", 1.0, 1, 50, 0.03),
    )
    hear_all(host, report(*samples))
    host.wait(1.0)
    assert host.steering.peer_placement.responses.speed("orders-1") == 1.0


def test_response_times_of_zero_leave_the_speed_unknown():
    """Times below the resolution of reports are received as 0."""
    host = Host(entry("orders-1"), entry("orders-2"))
    samples = [UpstreamSample(f"orders-{number}", 1.0, 1, 50, 0.0) for number in (1, 2)]
    hear_all(host, report(*samples))
    host.wait(1.0)
    assert host.steering.peer_placement.responses.speed("orders-1") == 1.0
