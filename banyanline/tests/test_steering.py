"""Steering decisions for single packets while the platform and other hosts change."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import pytest

from banyanline.core.steering.outcomes import (
    HOLD,
    Drop,
    DropReason,
    Forward,
    Reset,
    ResetReason,
)
from banyanline.core.steering.steering import OPENING_LIFETIME_S
from banyanline.core.steering.upstreams import FORGET_AFTER_S
from banyanline.tests.steering import (
    ORDERS,
    SHEETS,
    THERE,
    Host,
    entry,
    opening,
    packet,
    route,
    table,
)

FLOWS = 40


def placements(host: Host, flows: int = FLOWS, first: int = 100) -> Counter[str]:
    return Counter(host.open(flow) for flow in range(first, first + flows))


@pytest.mark.parametrize(
    ("to", "expected"),
    [pytest.param(ORDERS, "orders-1", id="orders"), pytest.param(SHEETS, "sheets-1", id="sheets")],
)
def test_a_packet_reaches_its_own_service(to, expected):
    host = Host(entry("orders-1"), entry("sheets-1", service="sheets"))
    assert host.place(to=to) == expected


@pytest.mark.parametrize(
    ("address", "reason"),
    [
        pytest.param(b"nobody", ResetReason.NO_ROUTE, id="no such route"),
        pytest.param(SHEETS, ResetReason.NO_UPSTREAM, id="no upstream of the service"),
    ],
)
def test_a_flow_without_a_route_or_an_upstream_is_reset_at_once(address, reason):
    assert Host(entry()).send(opening(to=address)) == Reset(reason)


def test_packets_are_held_until_there_is_a_configuration():
    host = Host(configured=False)
    assert host.send(opening()) == HOLD
    assert host.send(packet(cookie=7)) == HOLD


class TestOpenFlows:
    """Any host keeps forwarding an open flow, whatever else changes."""

    def changed(self, change: Callable[[Host, str], object]) -> tuple[Host, str, int]:
        host = Host(entry("orders-1"), entry("orders-2"))
        name = host.open()
        change(host, name)
        return host, name, host.cookie(name)

    CHANGES = (
        pytest.param(lambda host, name: host.put(entry(name, is_leaving=True)), id="leaving"),
        pytest.param(lambda host, name: host.remove(name), id="entry lapsed"),
        pytest.param(lambda host, name: host.take_out(), id="data centre out"),
        pytest.param(lambda host, name: host.put(entry("orders-3")), id="another upstream"),
        pytest.param(
            lambda host, name: host.configure(table(2, [route(ORDERS, ("sheets",))])),
            id="route moved to another service",
        ),
        pytest.param(lambda host, name: host.put(entry(name, incarnation=2)), id="restarted"),
    )

    @pytest.mark.parametrize("change", CHANGES)
    def test_stay_with_their_upstream(self, change):
        host, name, cookie = self.changed(change)
        assert host.send(packet(cookie=cookie, data=10)) == Forward(host.upstream(name))

    @pytest.mark.parametrize("change", CHANGES)
    def test_stay_with_their_upstream_at_a_host_that_never_saw_them(self, change):
        host, name, cookie = self.changed(change)
        assert host.send(packet(9, cookie=cookie, data=10)) == Forward(host.upstream(name))

    def test_stay_with_the_upstream_that_answered_first(self):
        host = Host(entry("orders-1"), entry("orders-2"))
        first = host.upstream(host.place())
        second = host.upstream(host.place(copy=1))
        assert first is not second
        host.send(packet(cookie=first.entry.cookie))
        outcome = host.send(packet(cookie=second.entry.cookie, data=5))
        assert outcome == Forward(first)

    def test_are_reset_when_their_route_is_removed(self):
        host, _, cookie = self.changed(
            lambda host, name: host.configure(table(2, [route(SHEETS, ("sheets",))]))
        )
        assert host.send(packet(cookie=cookie)) == Reset(ResetReason.ROUTE_REMOVED)

    def test_continue_when_their_route_is_restored(self):
        host, name, cookie = self.changed(
            lambda host, name: host.configure(table(2, [route(SHEETS, ("sheets",))]))
        )
        host.configure(table(3))
        assert host.send(packet(cookie=cookie)) == Forward(host.upstream(name))

    def test_are_not_reset_when_this_host_does_not_know_their_route(self):
        host = Host(entry())
        cookie = host.cookie("orders-1")
        assert isinstance(host.send(packet(to=b"nobody", cookie=cookie)), Forward)

    def test_are_dropped_when_their_cookie_is_unknown(self):
        assert Host(entry()).send(packet(cookie=12345)) == Drop(DropReason.UNKNOWN_COOKIE)

    def test_are_forwarded_until_the_removed_upstream_is_forgotten(self):
        host, _, cookie = self.changed(lambda host, name: host.remove(name))
        host.wait(FORGET_AFTER_S - 1)
        assert isinstance(host.send(packet(9, cookie=cookie)), Forward)
        host.wait(2)
        assert host.send(packet(8, cookie=cookie)) == Drop(DropReason.UNKNOWN_COOKIE)


class TestNewFlows:
    """The choice of an upstream for a new flow."""

    @pytest.mark.parametrize(
        "change",
        [
            pytest.param(lambda host: host.put(entry(is_leaving=True)), id="leaving"),
            pytest.param(lambda host: host.remove("orders-1"), id="gone"),
            pytest.param(lambda host: host.put(entry(service="sheets")), id="of another service"),
        ],
    )
    def test_avoid_upstreams_that_accept_none(self, change):
        host = Host(entry("orders-1"), entry("orders-2"))
        change(host)
        assert set(placements(host)) == {"orders-2"}

    @pytest.mark.parametrize(
        "change",
        [
            pytest.param(lambda host: host.put(entry(is_leaving=True)), id="leaving"),
            pytest.param(lambda host: host.remove("orders-1"), id="gone"),
            pytest.param(lambda host: host.take_out(), id="data centre out"),
        ],
    )
    def test_are_reset_when_the_only_upstream_accepts_none(self, change):
        host = Host(entry())
        change(host)
        assert host.send(opening()) == Reset(ResetReason.NO_UPSTREAM)

    def test_avoid_a_data_centre_while_it_is_out(self):
        host = Host(entry("orders-1"), entry("orders-2", data_centre=THERE))
        host.take_out()
        assert set(placements(host)) == {"orders-2"}
        host.take_out(is_out=False)
        assert "orders-1" in placements(host, first=500)

    def test_stay_in_the_data_centre_while_it_has_capacity(self):
        host = Host(entry("orders-1"), entry("orders-2", data_centre=THERE))
        assert set(placements(host, flows=8)) == {"orders-1"}

    def test_are_spread_evenly(self):
        host = Host(*(entry(f"orders-{number}") for number in range(1, 5)))
        assert set(placements(host).values()) == {FLOWS // 4}

    def test_follow_the_weights_of_a_route(self):
        host = Host(entry("orders-1"), entry("sheets-1", service="sheets"))
        host.configure(table(2, [route(ORDERS, ("orders", "sheets"))]))
        counts = placements(host, 400)
        assert min(counts.values()) > 150

    def test_go_to_the_route_s_other_service_if_one_has_no_upstream(self):
        host = Host(entry("orders-1"))
        host.configure(table(2, [route(ORDERS, ("orders", "sheets"))]))
        assert set(placements(host)) == {"orders-1"}

    def test_prefer_warm_upstreams_to_cold_ones(self):
        host = Host(entry("orders-1", cold_for_s=2.0), entry("orders-2", data_centre=THERE))
        assert set(placements(host, flows=10)) == {"orders-2"}
        host.wait(2.1)
        assert "orders-1" in placements(host, first=500)

    def test_avoid_a_cold_upstream_while_all_others_are_suspect(self):
        """Each host of a partitioned data centre would otherwise send all its flows to it."""
        host = Host(
            entry("orders-1", cold_for_s=5.0),
            entry("orders-2", data_centre=THERE),
            entry("orders-3", data_centre=THERE),
        )
        for flow in range(4):
            first = host.place(flow)
            host.wait(0.2)
            second = host.place(flow, copy=1)
            assert {first, second} == {"orders-2", "orders-3"}

    def test_use_a_cold_upstream_if_all_are_cold(self):
        assert Host(entry(cold_for_s=2.0)).place() == "orders-1"

    def test_never_use_one_of_two_upstreams_with_the_same_cookie(self):
        host = Host(entry("orders-1", cookie=5), entry("orders-2", cookie=5))
        assert set(placements(host)) == {"orders-1"}
        host.remove("orders-1")
        assert host.send(opening(900)) == Reset(ResetReason.NO_UPSTREAM)
        host.wait(FORGET_AFTER_S + 1)
        assert host.place(901) == "orders-2"


class TestUnresponsiveUpstreams:
    """An upstream that leaves an opening packet unanswered is avoided."""

    def test_a_retransmission_goes_to_another_upstream(self):
        host = Host(entry("orders-1"), entry("orders-2"))
        assert host.place() != host.place(copy=1)

    def test_a_retransmission_goes_to_the_only_upstream_again(self):
        host = Host(entry("orders-1"))
        assert host.place() == host.place(copy=1)

    def test_other_flows_avoid_it_until_it_responds(self):
        host = Host(entry("orders-1"), entry("orders-2"))
        unresponsive = host.place(1)
        host.wait(0.2)
        host.place(1, copy=1)
        assert unresponsive not in placements(host)
        cookie = host.cookie(unresponsive)
        host.wait(0.1)
        host.send(packet(77, cookie=cookie))
        host.send(packet(77, cookie=cookie, ack=700))
        assert unresponsive in placements(host, first=500)

    def test_it_is_probed_with_one_flow_at_a_time(self):
        host = Host(entry("orders-1"), entry("orders-2"))
        unresponsive = host.place(1)
        host.wait(0.2)
        host.place(1, copy=1)
        host.wait(OPENING_LIFETIME_S + 1.1)
        host.wait(0.0)
        chosen = [host.place(flow) for flow in range(10, 30)]
        assert chosen.count(unresponsive) == 1

    def test_a_retransmitted_request_raises_suspicion_and_a_response_clears_it(self):
        host = Host(entry("orders-1"), entry("orders-2"))
        name = host.open(1)
        cookie = host.cookie(name)
        request = packet(1, cookie=cookie, data=30)
        host.send(request)
        host.wait(0.2)
        host.send(request)
        assert name not in placements(host, flows=6)
        host.wait(0.01)
        host.send(packet(1, cookie=cookie, seq=request.seq + 30, ack=900))
        assert name in placements(host, flows=10, first=500)


class TestConfiguration:
    """An accepted configuration is in force at once and never reverts."""

    def test_an_older_version_is_ignored(self):
        host = Host(entry())
        assert host.configure(table(5, [route(SHEETS, ("sheets",))]))
        assert not host.configure(table(4))
        assert host.catalog.version == 5
        assert host.send(opening()) == Reset(ResetReason.NO_ROUTE)

    def test_a_new_route_is_used_at_once(self):
        host = Host(entry())
        host.configure(table(2, [route(), route(b"newone")]))
        assert isinstance(host.send(opening(to=b"newone")), Forward)

    def test_an_older_revision_of_an_entry_is_ignored(self):
        host = Host(entry())
        host.put(entry(is_leaving=True))
        host.revision = 1
        assert not host.put(entry())
        assert host.send(opening()) == Reset(ResetReason.NO_UPSTREAM)

    def test_a_complete_listing_removes_what_it_does_not_hold(self):
        host = Host(entry("orders-1"), entry("orders-2"))
        host.take_out(THERE)
        host.catalog.remove_missing(["orders-2"], [], host.revision + 1, host.now)
        assert set(placements(host)) == {"orders-2"}
        assert host.catalog.data_centres_out == frozenset()

    def test_an_older_complete_listing_removes_nothing(self):
        host = Host(entry("orders-1"), entry("orders-2"))
        host.take_out(THERE)
        host.catalog.remove_missing([], [], 1, host.now)
        assert host.catalog.data_centres_out == {THERE}
        assert "orders-2" in placements(host)


def test_an_upstream_whose_entry_is_back_gets_flows_again():
    host = Host(entry("orders-1"))
    host.remove("orders-1")
    host.put(entry("orders-1"))
    assert host.place() == "orders-1"


def test_the_load_of_closed_flows_is_removed():
    host = Host(entry("orders-1"), entry("orders-2"))
    for flow in range(30):
        name = host.open(flow)
        cookie = host.cookie(name)
        host.send(packet(flow, cookie=cookie, data=10))
        host.send(packet(flow, cookie=cookie, seq=1011, ack=700, ends=True))
    host.place(99)
    host.wait(OPENING_LIFETIME_S + 1)
    assert len(host.steering.flows) == 0
    for upstream in host.catalog.upstreams:
        assert (
            upstream.open_flows,
            upstream.pending_opens,
            upstream.responses.under_way(host.now),
        ) == (0, 0, 0)


def test_the_indexes_are_not_rebuilt_for_each_of_many_entries(monkeypatch):
    """A host that starts with 3,000 upstreams in the store reads them in several pages."""
    host = Host()
    for number in range(3000):
        host.put(entry(f"orders-{number}", cookie=number + 1))
    sorts = []

    def counting_sorted(*args, **kwargs):
        sorts.append(1)
        return original_sorted(*args, **kwargs)

    original_sorted = sorted
    monkeypatch.setattr("builtins.sorted", counting_sorted)
    host.place(1)
    host.place(2)
    assert len(sorts) == 1


def test_the_flow_table_is_bounded_and_evicted_flows_are_still_forwarded():
    host = Host(entry("orders-1"))
    host.steering.flows._max_flows = 10
    for flow in range(25):
        host.open(flow)
    assert len(host.steering.flows) == 10
    assert host.upstream("orders-1").open_flows == 10
    cookie = host.cookie("orders-1")
    assert host.send(packet(1, cookie=cookie, data=5)) == Forward(host.upstream("orders-1"))
    assert len(host.steering.flows) == 10
