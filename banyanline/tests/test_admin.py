from __future__ import annotations

import asyncio
import contextlib
import json

import pytest

from banyanline.cli.status import (
    StatusQuery,
    UsageError,
    main,
    parse_query,
    render_response,
    run_query,
)
from banyanline.core.counters import Counters, DropReason, FlowEnd
from banyanline.core.error_responses import RefusalReason, UnknownReason
from banyanline.core.keys import Key, KeyRing
from banyanline.core.types import Endpoint
from banyanline.net import explain as balancer_explain
from banyanline.net import pages
from banyanline.net.admin import AdminPages, AdminServer
from banyanline.net.balancer import Balancer
from banyanline.net.metrics import (
    GAUGE_DOCS,
    ControlTraffic,
    DatagramTotals,
    Gauges,
    IoCounts,
    Metrics,
    MetricSources,
)
from banyanline.net.seal import RejectionReason
from banyanline.net.status import Status
from banyanline.platform.reader import ReadFailureReason
from banyanline.settings import SettingsError, load_settings

TIMEOUT_S = 10.0
ADMIN = Endpoint("127.0.0.1", 1)
WHY = {
    "caller": "192.0.2.7:40000",
    "service": "orders",
    "slot": 17,
    "home": "north-1",
    "upstream": "orders-1",
    "owner": "south-1",
    "reason": "the home's table has the flow",
}


def sample_counts() -> tuple[Counters, IoCounts]:
    counters, io_counts = Counters(), IoCounts()
    counters.refuse(RefusalReason.QUEUE_FULL, "orders")
    counters.count_unknown_outcome(UnknownReason.OWNER_LOST, "orders")
    counters.drop(DropReason.MALFORMED)
    counters.count_flow_end(FlowEnd.DATA_CENTRE_OUT, "orders")
    for latency_s in (0.0004, 0.003, 0.003, 99.0):
        counters.answer("orders", latency_s)
    io_counts.count_frame_rejection(RejectionReason.REPLAYED)
    io_counts.count_stall(1.5)
    io_counts.add_control_bytes(ControlTraffic.PROBE, 80)
    return counters, io_counts


def status_page(healthy: bool = True) -> Status:
    return Status(
        version="0.1.0",
        host="north-1",
        data_centre="north",
        stopping=not healthy,
        revision=12,
        reader=healthy,
        lease_fresh=healthy,
        majority=healthy,
        view=[{"host": "north-1", "data_centre": "north", "status": "alive", "leaving": False}],
        home_slots=341,
        flows=5,
        streams=2,
        requests_open=3,
        owned=[
            {
                "upstream": "orders-1",
                "stage": "active",
                "slots": 2,
                "in_flight": 1,
                "queued": 4,
                "connections": 700,
                "ramp": 0.5,
            }
        ],
        refusals={"orders/queue_full": 1},
        unknown_outcomes={"orders/owner_lost": 1},
        retries={},
        flow_ends={"orders/data_centre_out": 1},
        drops={"malformed": 1},
        claims={"started": 2},
    )


def explain(caller, service):
    return WHY if service == "orders" else None


@contextlib.asynccontextmanager
async def running_server(healthy: bool = True):
    counters, io_counts = sample_counts()
    metrics = Metrics(
        MetricSources(
            counters,
            io_counts,
            lambda: Gauges(view_hosts=9, flows=5),
            platform_calls=lambda: 3,
            platform_failures=lambda: {ReadFailureReason.TIMEOUT: 2},
            datagrams=lambda: {"caller": DatagramTotals(10, 9, 1, 0)},
        )
    )
    pages = AdminPages(metrics.render, lambda: status_page(healthy), lambda: healthy, explain)
    server = AdminServer(Endpoint("127.0.0.1", 0), pages)
    await server.start()
    try:
        yield server
    finally:
        await server.stop()


async def exchange(server: AdminServer, request: bytes) -> bytes:
    async with asyncio.timeout(TIMEOUT_S):
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(request)
        response = b""
        with contextlib.suppress(ConnectionResetError):
            response = await reader.read()
        writer.close()
    return response


def get(target: str) -> bytes:
    return f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode()


@pytest.mark.parametrize(
    ("request_bytes", "status", "part"),
    [
        pytest.param(get("/healthz"), 200, b"ok", id="health"),
        pytest.param(get("/status"), 200, b'"revision": 12', id="status"),
        pytest.param(get("/metrics"), 200, b"banyanline_view_hosts 9", id="metrics"),
        pytest.param(get("/why?caller=192.0.2.7:40000&service=orders"), 200, b"south-1", id="why"),
        pytest.param(
            get("/why?caller=192.0.2.7:1&service=none"),
            404,
            b"no such service",
            id="why unknown service",
        ),
        pytest.param(get("/why?caller=x&service=orders"), 400, b"ip:port", id="why bad caller"),
        pytest.param(get("/why?" + "a=1&" * 20), 400, b"too many", id="why many fields"),
        pytest.param(get("/nothing"), 404, b"no such page", id="no page"),
        pytest.param(get("//[x"), 400, b"bad target", id="bad target"),
        pytest.param(
            b"POST /status HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc", 405, b"", id="POST"
        ),
        pytest.param(b"nonsense\r\n\r\n", 400, b"bad request", id="garbage"),
        pytest.param(
            b"GET / HTTP/1.1\r\nHost: x\r\n" + b"A: b\r\n" * 3000 + b"\r\n",
            431,
            b"",
            id="large header",
        ),
    ],
)
async def test_requests(request_bytes, status, part):
    async with running_server() as server:
        response = await exchange(server, request_bytes)
        assert response.startswith(b"HTTP/1.1 %d" % status)
        assert part in response


async def test_unhealthy_is_503():
    async with running_server(healthy=False) as server:
        assert (await exchange(server, get("/healthz"))).startswith(b"HTTP/1.1 503")


async def test_connections_are_limited_and_idle_ones_time_out(monkeypatch):
    monkeypatch.setattr(pages, "MAX_CONNECTIONS", 1)
    monkeypatch.setattr(pages, "REQUEST_TIMEOUT_S", 0.2)
    async with running_server() as server, asyncio.timeout(TIMEOUT_S):
        idle_reader, idle_writer = await asyncio.open_connection("127.0.0.1", server.port)
        idle_writer.write(b"GET /heal")
        await asyncio.sleep(0.05)
        assert await exchange(server, get("/healthz")) == b""
        assert server.refused == 1
        with contextlib.suppress(ConnectionResetError):
            await idle_reader.read()
        assert (await exchange(server, get("/healthz"))).startswith(b"HTTP/1.1 200")
        idle_writer.close()


@pytest.mark.parametrize(
    "line",
    [
        'banyanline_refusals_total{reason="queue_full",service="orders"} 1',
        'banyanline_unknown_outcomes_total{reason="owner_lost",service="orders"} 1',
        'banyanline_drops_total{reason="malformed"} 1',
        'banyanline_peer_frame_rejections_total{reason="replayed"} 1',
        'banyanline_flows_given_up_total{service="orders"} 1',
        'banyanline_answer_latency_seconds_bucket{le="0.0005",service="orders"} 1.0',
        'banyanline_answer_latency_seconds_bucket{le="0.005",service="orders"} 3.0',
        'banyanline_answer_latency_seconds_bucket{le="30.0",service="orders"} 3.0',
        'banyanline_answer_latency_seconds_bucket{le="+Inf",service="orders"} 4.0',
        'banyanline_answer_latency_seconds_count{service="orders"} 4.0',
        'banyanline_datagrams_total{fate="send_drops",socket="caller"} 1',
        "banyanline_platform_calls_total 3",
        "banyanline_loop_stalls_total 1",
        "banyanline_loop_stalled_seconds_total 1.5",
        'banyanline_platform_failures_total{reason="timeout"} 2',
        'banyanline_control_bytes_total{kind="probe"} 80',
    ],
)
async def test_scrape_contains(line):
    async with running_server() as server:
        await exchange(server, get("/metrics"))
        second = await exchange(server, get("/metrics"))
    assert line in second.decode().splitlines()


def test_each_gauge_has_a_help_text():
    assert tuple(gauge.name for gauge in GAUGE_DOCS) == Gauges._fields


@pytest.mark.parametrize(
    ("healthy", "code"),
    [pytest.param(True, 0, id="healthy"), pytest.param(False, 1, id="unhealthy")],
)
async def test_status_program(healthy, code, snapshot):
    async with running_server(healthy) as server:
        query = StatusQuery(Endpoint("127.0.0.1", server.port), None, "", False, TIMEOUT_S)
        result = await run_query(query)
        assert result.code == code
        assert result.output == snapshot
        as_json = await run_query(query._replace(is_json=True))
        assert json.loads(as_json.output) == status_page(healthy)


async def test_status_program_explains(snapshot):
    async with running_server() as server:
        admin_endpoint = Endpoint("127.0.0.1", server.port)
        query = StatusQuery(
            admin_endpoint, Endpoint("192.0.2.7", 40000), "orders", False, TIMEOUT_S
        )
        assert (await run_query(query)).output == snapshot
        absent = await run_query(query._replace(service="none"))
        assert (absent.code, absent.output) == (1, "")
        assert absent.error.endswith("answered 404: no such service")


def test_status_program_reads_the_page_of_a_balancer():
    overrides = "host.name=a host.data_centre=d host.address=127.0.0.1 keys.file=k"
    settings = load_settings(None, [*overrides.split(), "platform.addresses=127.0.0.1:8500"])
    assert not isinstance(settings, SettingsError)
    balancer = Balancer(settings, KeyRing((Key("1", bytes(32)),)))
    page = balancer_explain.status(balancer.node, False, 0.0)
    result = render_response(StatusQuery(ADMIN, None, "", False, 1.0), json.dumps(page).encode())
    assert result.error == ""
    assert result.output.startswith("a (d), version")


@pytest.mark.parametrize(
    ("words", "why", "error"),
    [
        pytest.param([], None, "got 0", id="no address"),
        pytest.param(["127.0.0.1:1", "x"], None, "got 2", id="extra argument"),
        pytest.param(["127.0.0.1:1"], "192.0.2.7:1", "got 1", id="no service"),
        pytest.param(["127.0.0.1:0"], None, "ADMIN_ADDR", id="port 0"),
        pytest.param(["127.0.0.1:1", "orders"], "192.0.2.7", "CALLER", id="caller without port"),
    ],
)
def test_invalid_command_lines(words, why, error):
    problem = parse_query(words, why=why, is_json=False, timeout_s=1.0)
    assert isinstance(problem, UsageError)
    assert problem.message.startswith(error)


@pytest.mark.parametrize(
    ("words", "code"),
    [
        pytest.param(["--help"], 0, id="help"),
        pytest.param(["--version"], 0, id="version"),
        pytest.param(["--nonsense"], 2, id="unknown flag"),
        pytest.param([], 2, id="no address"),
        pytest.param(["127.0.0.1:1"], 1, id="connection refused"),
        pytest.param(
            ["127.0.0.1:1", "--why", "192.0.2.7:1", "orders"], 1, id="why, connection refused"
        ),
    ],
)
def test_exit_codes(words, code, capsys):
    assert main(["banyanline-status", *words]) == code
    printed = capsys.readouterr()
    assert len(printed.err.splitlines()) == (1 if code else 0)


@pytest.mark.parametrize("body", [b"", b"[]", b"\xff", b'{"healthy": true}', b"null"])
def test_invalid_status_page_is_one_error_line(body):
    query = StatusQuery(ADMIN, None, "", False, TIMEOUT_S)
    result = render_response(query, body)
    assert result.code == 1
    assert "unknown answer" in result.error
