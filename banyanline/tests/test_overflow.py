"""Overflow of new flows to other data centres while the own one is overloaded."""

from __future__ import annotations

import pytest

from banyanline.core.steering.outcomes import Forward, Reset
from banyanline.core.steering.overflow import MAX_OVERFLOW_SHARE
from banyanline.core.steering.peer_reports import UpstreamSample
from banyanline.tests.reports import Fleet, hear_all, report
from banyanline.tests.steering import HERE, THERE, Host, entry, opening

HOSTS = 6
UPSTREAMS = 8
FLOWS_PER_S = 200
WORK_S = 0.03
SLOTS = 2
QUEUE = 8
OBJECTIVE_S = 0.12
ENTRIES = [
    entry(f"{data_centre}-{number}", data_centre=data_centre)
    for data_centre in (HERE, THERE)
    for number in range(UPSTREAMS)
]


class Model:
    """Two data centres; a queue model with random arrivals gives load and response times."""

    def __init__(self) -> None:
        self.fleets = {
            name: Fleet(HOSTS, *ENTRIES, data_centre=name, seed=1 + number)
            for number, name in enumerate((HERE, THERE))
        }
        self.refused = 0
        self._flow = 0
        self._served: dict[str, dict[str, UpstreamSample]] = {HERE: {}, THERE: {}}

    def simulate_second(self, demand: dict[str, float]) -> dict[str, tuple[float, float]]:
        """Return the share of the capacity that is demanded, and the share of its callers' flows
        that went elsewhere, for each data centre.

        ``demand`` is that of its callers, as a share of its capacity.
        """
        sent = {name: self._place(name) for name in self.fleets}
        used = {
            name: demand[name] * (1.0 - sent[name])
            + sum(demand[other] * sent[other] for other in self.fleets if other != name)
            for name in self.fleets
        }
        for name in self.fleets:
            self._served[name] = {
                each.name: _sample(
                    each.name,
                    used[each.data_centre],
                    demand[name] * (1.0 - sent[name] if each.data_centre == name else sent[name]),
                )
                for each in ENTRIES
            }
        return {name: (used[name], sent[name]) for name in self.fleets}

    def _place(self, data_centre: str) -> float:
        fleet = self.fleets[data_centre]
        fleet.advance(1.0)
        fleet.exchange(self._served[data_centre])
        elsewhere = 0
        for _ in range(FLOWS_PER_S):
            self._flow += 1
            outcome = fleet.rng.choice(fleet.hosts).send(opening(self._flow))
            if isinstance(outcome, Reset):
                self.refused += 1
                continue
            assert isinstance(outcome, Forward)
            upstream = outcome.upstream
            fleet.send(self._flow, upstream.name, ends=True, everywhere=True)
            elsewhere += upstream.entry.data_centre != data_centre
        return elsewhere / FLOWS_PER_S


def _sample(name: str, used: float, part: float) -> UpstreamSample:
    """Return one data centre's part of an upstream's load."""
    if part <= 0.0:
        return UpstreamSample(name)
    in_flight = SLOTS + QUEUE if used >= 0.95 else SLOTS * used / (1.0 - used**2)
    response_s = in_flight * WORK_S / (SLOTS * min(used, 1.0))
    return UpstreamSample(name, in_flight * part / used, 0, 1 + int(200 * part), response_s)


@pytest.mark.parametrize(
    ("demand", "is_sent"),
    [
        pytest.param({HERE: 0.6, THERE: 0.6}, {HERE: False, THERE: False}, id="room in both"),
        pytest.param(
            {HERE: 0.8 * 1.44, THERE: 0.8 * 0.56},
            {HERE: True, THERE: False},
            id="44 percent of the callers there have moved here",
        ),
        pytest.param({HERE: 1.3, THERE: 0.3}, {HERE: True, THERE: False}, id="far too many here"),
    ],
)
def test_flows_go_where_there_is_room(demand, is_sent):
    model = Model()
    found = [model.simulate_second(demand) for _ in range(12)]
    for name, expected in is_sent.items():
        assert (max(each[name][1] for each in found) > 0.0) is expected
    mean = {name: sum(each[name][0] for each in found[-6:]) / 6 for name in is_sent}
    assert max(mean.values()) < 1.0
    assert model.refused == 0


def test_data_centres_without_room_exchange_few_flows():
    model = Model()
    found = [model.simulate_second({HERE: 1.5, THERE: 1.5}) for _ in range(12)]
    for name in (HERE, THERE):
        assert sum(each[name][1] for each in found) / len(found) < 0.15
        assert max(each[name][1] for each in found) <= MAX_OVERFLOW_SHARE + 0.1


def test_flows_return_when_there_is_room_again():
    model = Model()
    for _ in range(6):
        model.simulate_second({HERE: 1.3, THERE: 0.4})
    found = [model.simulate_second({HERE: 0.6, THERE: 0.6}) for _ in range(8)]
    assert found[-1][HERE][1] == 0.0


def test_a_small_excess_overflows_after_some_time():
    host = Host(entry("orders-1"), entry("orders-2", data_centre=THERE))
    for second in range(10):
        samples = (
            UpstreamSample("orders-1", 4.4, 4, 50, 0.02),
            UpstreamSample("orders-2", 0.1, 1, 5, 0.01),
        )
        hear_all(host, report(*samples, sequence=second + 1))
        host.wait(1.0)
        names = {host.open(100 * second + flow) for flow in range(50)}
    assert names == {"orders-1", "orders-2"}
