"""A data centre that is out of service and cut off, and cases that only look like it."""

from __future__ import annotations

from collections.abc import Iterable

import pytest

from banyanline.core.steering.failure_detection import CheckResult
from banyanline.core.steering.outcomes import Forward
from banyanline.core.steering.peer_reports import HostReport, ServiceSample
from banyanline.core.steering.readiness import MIN_READY_S
from banyanline.tests.steering import HERE, SHEETS, THERE, Host, entry, opening, packet

FAR = "split-sjever"
ORDERS_UPSTREAMS = ("orders-here", "orders-there", "orders-far")
SHEETS_UPSTREAMS = ("sheets-here", "sheets-there", "sheets-far")
ELSEWHERE = ("orders-there", "orders-far", "sheets-there", "sheets-far")
PEERS = 4


def host_of_three_data_centres(*, is_out: bool = True) -> Host:
    places = {"here": HERE, "there": THERE, "far": FAR}
    host = Host(
        *(
            entry(f"{service}-{suffix}", service=service, data_centre=data_centre)
            for service in ("orders", "sheets")
            for suffix, data_centre in places.items()
        )
    )
    if is_out:
        host.take_out(HERE)
    return host


def report_reach(host: Host, out_of_reach: int, *, hosts: int = PEERS, sequence: int = 1) -> None:
    """Receive the reports of other hosts, of which some cannot reach ``orders``."""
    for idx in range(hosts):
        sample = ServiceSample("orders", 5.0, is_out_of_reach=idx < out_of_reach)
        report = HostReport(f"host-{idx}", HERE, idx, sequence, (sample,))
        host.steering.peers.put(report, host.now)


def run_checks(
    host: Host, unreachable: Iterable[str], rounds: int = 6, *, has_callers: bool = True
) -> None:
    """Open flows, and carry out the checks that are due and those that follow from them."""
    scheduler = host.steering.check_scheduler
    for _ in range(rounds):
        if has_callers:
            host.send(opening(int(host.now)))
            host.send(opening(int(host.now), to=SHEETS))
        host.wait(1.0)
        scheduler.on_timer(host.now)
        for check in scheduler.take_due():
            is_lost = check.upstream.name in unreachable
            result = CheckResult.UNANSWERED if is_lost else CheckResult.ANSWERED
            host.steering.on_check(check, result, host.now)


def cut_off_host() -> Host:
    host = host_of_three_data_centres()
    report_reach(host, PEERS)
    run_checks(host, ELSEWHERE)
    return host


@pytest.mark.parametrize(
    ("unreachable", "is_out", "out_of_reach", "is_ready"),
    [
        pytest.param(ELSEWHERE, True, PEERS, False, id="out of service and cut off"),
        pytest.param(ELSEWHERE, True, 2, False, id="most hosts find out"),
        pytest.param(ELSEWHERE, True, 1, True, id="most hosts still reach it"),
        pytest.param(ELSEWHERE, True, 0, True, id="only this host's link is broken"),
        pytest.param(ELSEWHERE, False, PEERS, True, id="cut off and in service"),
        pytest.param(ORDERS_UPSTREAMS, True, PEERS, True, id="a service is down everywhere"),
        pytest.param(("orders-there", "sheets-there"), True, PEERS, True, id="one path is cut"),
        pytest.param((), True, PEERS, True, id="all reachable"),
    ],
)
def test_host_is_ready_unless_its_data_centre_is_out_of_service_and_cut_off(
    unreachable, is_out, out_of_reach, is_ready
):
    host = host_of_three_data_centres(is_out=is_out)
    report_reach(host, out_of_reach)
    run_checks(host, unreachable)
    assert host.steering.readiness.is_ready is is_ready


def test_host_without_reports_of_others_is_ready():
    host = host_of_three_data_centres()
    run_checks(host, ELSEWHERE)
    assert host.steering.readiness.out_of_reach == {"orders", "sheets"}
    assert host.steering.readiness.is_ready


def test_host_that_no_caller_asks_finds_out_from_reports():
    host = host_of_three_data_centres()
    report_reach(host, PEERS)
    run_checks(host, ELSEWHERE, has_callers=False)
    assert not host.steering.readiness.is_ready


def test_host_is_ready_again_when_one_check_succeeds():
    host = cut_off_host()
    run_checks(host, (), rounds=1)
    assert host.steering.readiness.is_ready


def test_host_stays_ready_for_a_while_after_it_became_ready():
    host = cut_off_host()
    run_checks(host, (), rounds=1)
    ready_at = host.now
    report_reach(host, PEERS, sequence=2)
    while host.steering.readiness.is_ready:
        run_checks(host, ELSEWHERE, rounds=1)
        assert host.now < ready_at + 10.0
    assert host.now - ready_at >= MIN_READY_S


def test_open_flows_of_a_host_that_is_not_ready_are_still_forwarded():
    host = host_of_three_data_centres(is_out=False)
    name = host.open(3)
    assert name == "orders-here"
    host.take_out(HERE)
    report_reach(host, PEERS)
    run_checks(host, ELSEWHERE)
    assert not host.steering.readiness.is_ready
    assert host.send(packet(3, cookie=host.cookie(name))) == Forward(host.upstream(name))
