"""Status pages of a host on the operators' platform, and their display by banyanline-status."""

from __future__ import annotations

import json
import math

import pytest

from banyanline.cli.status import StatusQuery, render_response
from banyanline.core.steering.failure_detection import CheckResult
from banyanline.core.steering.model import Defect
from banyanline.core.steering.outcomes import Forward
from banyanline.core.steering.upstreams import UpstreamAvailability
from banyanline.core.types import Endpoint
from banyanline.net.steering.status import (
    FlowExplanation,
    SteeringStatus,
    explain_flow,
    steering_status,
)
from banyanline.platform.packets import service_address
from banyanline.tests.steering import ORDERS, THERE, Host, entry, opening, packet, route, table

CALLER = Endpoint("100.64.0.7", 40001)
SERVICE = "198.18.0.1:443"
ADDRESS = service_address("198.18.0.1", 443)
FLOW = service_address(*CALLER) + ADDRESS
ADMIN = Endpoint("127.0.0.1", 1)


def started(*entries) -> Host:
    host = Host(*entries)
    host.configure(table(2, [route(ADDRESS), route(ORDERS)]))
    return host


def status_of(
    host: Host, state: str = "ready", unusable: dict[str, str] | None = None
) -> SteeringStatus:
    return steering_status(
        host.steering,
        host="front-1",
        data_centre="here",
        state=state,
        store_age_s=0.5,
        unusable_items=unusable or {},
        now=host.now,
    )


def explained(host: Host, service: str = SERVICE) -> FlowExplanation:
    found = explain_flow(host.steering, CALLER, service, host.now)
    assert found is not None
    return found


def rendered(page: object, caller: Endpoint | None = None) -> str:
    query = StatusQuery(ADMIN, caller, SERVICE, False, 1.0)
    result = render_response(query, json.dumps(page, allow_nan=False).encode())
    assert result.error == ""
    return result.output


def test_each_upstream_is_shown_with_its_evidence():
    host = started(entry("orders-1"), entry("orders-2", data_centre=THERE), entry("orders-3"))
    host.put(entry("orders-3", is_leaving=True))
    name = host.open(1)
    host.send(packet(1, cookie=host.cookie(name), data=10))
    host.wait(0.25)
    host.send(packet(1, cookie=host.cookie(name), data=10))
    for check in host.steering.check_scheduler.take_due():
        host.steering.on_check(check, CheckResult.UNANSWERED, host.now)
    rows = {row["upstream"]: row for row in status_of(host)["upstreams"]}
    assert rows[name]["standing"] == UpstreamAvailability.LOST
    assert rows[name]["under_way"] == 1
    assert rows[name]["retransmission_age_s"] == 0.0
    assert rows[name]["failed_check_age_s"] == 0.0
    assert rows["orders-3"]["standing"] == UpstreamAvailability.LEAVING
    assert rows["orders-2"]["response_age_s"] is None


def test_the_window_of_a_paced_upstream_is_shown():
    host = started(entry("orders-1"), entry("orders-2"), entry("orders-3", cold_for_s=2.0))
    host.catalog.set_host_count(30)
    host.open(1)
    windows = {row["upstream"]: row["window"] for row in status_of(host)["upstreams"]}
    assert windows == {"orders-1": None, "orders-2": None, "orders-3": 1.0}


def test_unreadable_platform_data_is_shown():
    host = started(entry("orders-1"))
    defect = Defect("routes[2].route_type", "relay", "treated as non-idempotent")
    host.configure(table(3)._replace(defects=(defect,)))
    page = status_of(host, unusable={"servers/i-1": "no address"})
    shown = rendered(page)
    for text in ("servers/i-1", "no address", "op/config", *defect):
        assert text in shown


def test_a_page_of_an_earlier_version_is_shown():
    page = status_of(started(entry("orders-1")))
    del page["unreadable"]
    assert "orders-1" in rendered(page)


def test_a_page_has_only_numbers_that_json_supports():
    page = status_of(started(entry("orders-1")))
    text = json.dumps(page, allow_nan=False)
    assert not any(isinstance(value, float) and math.isinf(value) for value in json.loads(text))


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        pytest.param([], ("not seen here", None), id="unknown"),
        pytest.param(["open"], ("opening", "orders-1"), id="opening"),
        pytest.param(["open", "confirm"], ("open", "orders-1"), id="open"),
    ],
)
def test_why_shows_the_state_of_a_flow(steps, expected):
    host = started(entry("orders-1"))
    if "open" in steps:
        host.send(opening()._replace(flow=FLOW, destination=ADDRESS))
    if "confirm" in steps:
        host.send(packet(cookie=host.cookie("orders-1"))._replace(flow=FLOW, destination=ADDRESS))
    page = explained(host)
    assert (page["flow"], page["upstream"]) == expected
    assert page["new_flow"] == "orders-1"
    assert page["caller"] == "100.64.0.7:40001"


@pytest.mark.parametrize(
    ("host", "service", "expected"),
    [
        pytest.param(started(), SERVICE, "refused: no_upstream", id="no upstream"),
        pytest.param(started(entry()), "198.18.0.9:1", "refused: no_route", id="no route"),
    ],
)
def test_why_shows_why_a_new_flow_would_be_refused(host, service, expected):
    assert explained(host, service)["new_flow"] == expected


@pytest.mark.parametrize("service", ["orders", "198.18.0.1", "[2001:db8::1]:443", "1.2.3.4:0"])
def test_why_accepts_only_addresses_that_packets_can_carry(service):
    assert explain_flow(started().steering, CALLER, service, 0.0) is None


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        pytest.param(lambda host: None, [("orders-1", None), ("orders-2", None)], id="both"),
        pytest.param(
            lambda host: host.put(entry("orders-1", is_leaving=True)),
            [("orders-2", None), ("orders-1", "leaving")],
            id="leaving",
        ),
        pytest.param(
            lambda host: host.take_out(THERE),
            [("orders-1", None), ("orders-2", "data_centre_out")],
            id="data centre out",
        ),
        pytest.param(
            lambda host: host.put(entry("orders-1", cold_for_s=5.0)),
            [("orders-2", None), ("orders-1", "less_available")],
            id="cold",
        ),
        pytest.param(
            lambda host: host.put(entry("orders-2", data_centre=THERE, cookie=entry().cookie)),
            [("orders-1", None), ("orders-2", "shared_cookie")],
            id="same cookie",
        ),
    ],
)
def test_why_lists_the_upstreams_that_a_new_flow_may_go_to(change, expected):
    host = started(entry("orders-1"), entry("orders-2", data_centre=THERE))
    change(host)
    page = explained(host)
    assert [(row["upstream"], row["excluded"]) for row in page["candidates"]] == expected
    assert (page["new_flow"], None) in expected
    assert "Upstreams for a new flow" in rendered(page, CALLER)


def test_why_shows_an_upstream_at_its_cold_limit():
    host = Host(entry("orders-1", cold_for_s=5.0))
    host.configure(table(2, [route(ADDRESS)], cold_rate=1.0))
    assert isinstance(host.send(opening()._replace(flow=FLOW, destination=ADDRESS)), Forward)
    (row,) = explained(host)["candidates"]
    assert row["excluded"] == "cold_limit"


def test_explaining_a_flow_changes_nothing():
    host = started(entry("orders-1", cold_for_s=5.0))
    before = status_of(host)
    explained(host)
    assert status_of(host) == before
    assert host.place() == "orders-1"


def test_the_program_shows_both_pages(snapshot):
    host = started(entry("orders-1"), entry("orders-2", data_centre=THERE))
    host.open(1)
    host.send(opening(2, to=b"nobody"))
    assert rendered(status_of(host)) == snapshot
    assert rendered(explained(host), CALLER) == snapshot


@pytest.mark.parametrize(("state", "code"), [("ready", 0), ("leaving", 1), ("not configured", 1)])
def test_the_exit_status_says_whether_the_host_serves(state, code):
    page = json.dumps(status_of(started(), state)).encode()
    assert render_response(StatusQuery(ADMIN, None, "", False, 1.0), page).code == code
