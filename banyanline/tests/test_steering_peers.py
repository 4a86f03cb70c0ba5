"""Exchange of views between hosts while the store is unreachable."""

from __future__ import annotations

import asyncio
import random
import zlib

import pytest

from banyanline.core.steering.outcomes import Forward, Reset, ResetReason
from banyanline.core.types import Endpoint
from banyanline.net.pages import PageResponse, PageServer
from banyanline.net.steering import peers
from banyanline.net.steering.peers import PeerReader
from banyanline.net.steering.seeds import Seeds
from banyanline.net.steering.views import (
    MAX_VIEW_BYTES,
    POLLING_HOST_LIFETIME_S,
    ViewQuery,
    ViewServer,
    decode_deflated_view,
    decode_view,
    encode_view,
    fetch_view,
    parse_query,
)
from banyanline.tests.steering import SHEETS, THERE, Host, entry, opening, packet, route, table

TIMEOUT_S = 10.0


def send_view(sender: Host, receiver: Host) -> Host:
    """Encode the view of one host and apply it to another; return the latter."""
    view = decode_view(encode_view(sender.catalog.view(sender.now)))
    assert view == sender.catalog.view(sender.now)
    receiver.catalog.apply_view(view, receiver.now)
    return receiver


def test_a_new_host_learns_the_full_state_of_another():
    sender = Host(entry("orders-1"), entry("orders-2"), entry("orders-3", data_centre=THERE))
    sender.configure(table(5))
    sender.remove("orders-2")
    sender.take_out(THERE)
    new_host = send_view(sender, Host(configured=False))
    assert new_host.catalog.version == 5
    assert new_host.catalog.revision == sender.revision
    assert {new_host.place(flow) for flow in range(20)} == {"orders-1"}


def test_a_new_host_forwards_open_flows_of_an_upstream_without_an_entry():
    sender = Host(entry("orders-1"))
    sender.remove("orders-1")
    new_host = send_view(sender, Host(configured=False))
    cookie = new_host.cookie("orders-1")
    assert new_host.send(packet(cookie=cookie)) == Forward(new_host.upstream("orders-1"))
    assert new_host.send(opening(2)) == Reset(ResetReason.NO_UPSTREAM)


def test_a_view_carries_the_remaining_cold_time_of_an_upstream():
    sender = Host(entry("orders-1", cold_for_s=2.0))
    sender.wait(1.5)
    new_host = send_view(sender, Host(configured=False))
    assert new_host.upstream("orders-1").is_cold(new_host.now + 0.4)
    assert not new_host.upstream("orders-1").is_cold(new_host.now + 0.6)


def test_an_older_view_changes_nothing():
    old = Host(entry("orders-1"))
    new = Host(entry("orders-1"))
    new.configure(table(9, [route(), route(SHEETS, ("orders",))]))
    new.put(entry("orders-1", is_leaving=True))
    new.put(entry("orders-2"))
    new.take_out(THERE)
    before = new.catalog.view(new.now)
    send_view(old, new)
    assert new.catalog.view(new.now) == before


@pytest.mark.parametrize(
    ("target", "expected"),
    [
        pytest.param("/view", ViewQuery(0), id="all"),
        pytest.param("/view?have=7&wait_ms=500&whole=0", ViewQuery(7, 0.5, False), id="newer"),
        pytest.param("/view?wait_ms=999999", ViewQuery(0, 3.0), id="long wait"),
        pytest.param("/view?deflate=1", ViewQuery(0, deflate=True), id="compressed"),
        pytest.param("/view?have=x", 400, id="no revision"),
        pytest.param("/view?have=-1", 400, id="negative"),
        pytest.param("/view?whole=no", 400, id="no number"),
        pytest.param("/view?have=" + "9" * 30, 400, id="large number"),
        pytest.param("/other", 404, id="another page"),
    ],
)
def test_parsing_of_request_targets(target, expected):
    query = parse_query(target)
    assert (query.status if isinstance(query, PageResponse) else query) == expected


def view_server(host: Host, age_s: float = 0.0) -> ViewServer:
    return ViewServer(host.catalog, lambda: host.now, lambda: age_s)


async def test_a_host_without_a_configuration_serves_no_view():
    assert (await view_server(Host(configured=False)).respond("/view")).status == 503


async def test_a_view_contains_only_newer_changes():
    host = Host(entry("orders-1"), entry("orders-2"))
    host.take_out(THERE)
    response = await view_server(host, 1.5).respond("/view?have=2")
    view = decode_view(response.body)
    assert view is not None
    assert [known.entry.name for known in view.upstreams] == ["orders-2"]
    assert [each.data_centre for each in view.data_centres] == [THERE]
    assert (view.table, view.table_version) == (None, 1)
    assert (view.revision, view.age_s) == (host.revision, 1.5)


@pytest.mark.parametrize(
    ("routes", "whole", "is_sent"),
    [
        pytest.param(3, 0, True, id="small"),
        pytest.param(500, 0, False, id="large"),
        pytest.param(500, 1, True, id="large, whole"),
    ],
)
async def test_a_large_configuration_is_sent_only_in_a_whole_view(routes, whole, is_sent):
    host = Host(configured=False)
    addresses = [b"%06d" % number for number in range(routes)]
    host.configure(table(4, [route(address) for address in addresses]))
    response = await view_server(host).respond(f"/view?whole={whole}")
    view = decode_view(response.body)
    assert view is not None
    assert (view.table is not None) is is_sent
    new_host = Host(configured=False)
    new_host.catalog.apply_view(view, new_host.now)
    assert new_host.catalog.revision == (host.revision if is_sent else 0)


async def test_a_request_waits_for_a_change():
    host = Host(entry("orders-1"))
    server = view_server(host)
    answer = asyncio.create_task(server.respond(f"/view?have={host.revision}&wait_ms=3000"))
    await asyncio.sleep(0.05)
    assert not answer.done()
    host.put(entry("orders-2"))
    server.notify_waiters()
    async with asyncio.timeout(1.0):
        view = decode_view((await answer).body)
    assert view is not None
    assert [known.entry.name for known in view.upstreams] == ["orders-2"]


async def test_a_request_without_a_change_is_answered_after_its_wait():
    host = Host(entry("orders-1"))
    response = await view_server(host).respond(f"/view?have={host.revision}&wait_ms=50")
    view = decode_view(response.body)
    assert view is not None
    assert (view.revision, view.upstreams) == (host.revision, ())


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\xff" * 40, id="garbage"),
        pytest.param(b"\x96\x01\xc0\x90", id="cut short"),
        pytest.param(b"\x91" * 100_000, id="deeply nested"),
        pytest.param(b"\x96\xa1x\x00\x00\xc0\x90\x90", id="wrong type"),
    ],
)
def test_malformed_views(data):
    assert decode_view(data) is None


@pytest.mark.parametrize(
    ("last_contact_at", "expected"),
    [
        pytest.param(None, 2, id="no contact so far"),
        pytest.param(-peers.STORE_LOST_S - 1.0, 2, id="store lost"),
        pytest.param(0.0, 0, id="store answers"),
    ],
)
async def test_seeds_are_polled_while_the_store_is_lost(monkeypatch, last_contact_at, expected):
    monkeypatch.setattr(peers, "INITIAL_DELAY_S", 0.0)
    sender = Host(entry("orders-1"))
    server = PageServer(
        Endpoint("127.0.0.1", 0), lambda target, _accepts: view_server(sender).respond(target)
    )
    await server.start()
    view_applied = asyncio.Event()
    receiver = Host(configured=False)
    seeds = Seeds(Endpoint("127.0.0.1", 1), random.Random(1))
    seeds.set([Endpoint("127.0.0.1", 1), Endpoint("127.0.0.1", server.port)])
    reader = PeerReader(
        receiver.catalog,
        seeds,
        lambda: 0.0,
        random.Random(1),
        lambda: last_contact_at,
        view_applied.set,
    )
    task = asyncio.create_task(reader.run())
    try:
        async with asyncio.timeout(TIMEOUT_S if expected else 0.3):
            await view_applied.wait()
    except TimeoutError:
        pass
    finally:
        task.cancel()
        await server.stop()
    assert receiver.catalog.revision == expected


async def test_an_unreachable_seed_does_not_stop_the_reader(monkeypatch):
    monkeypatch.setattr(peers, "INITIAL_DELAY_S", 0.0)
    receiver = Host(configured=False)
    seeds = Seeds(None, random.Random(1))
    seeds.set([Endpoint("127.0.0.1", 9)])
    reader = PeerReader(
        receiver.catalog, seeds, lambda: 0.0, random.Random(1), lambda: None, lambda: None
    )
    task = asyncio.create_task(reader.run())
    await asyncio.sleep(0.3)
    assert not task.done()
    task.cancel()
    assert not receiver.catalog.is_configured


async def test_fetching_a_view_from_an_absent_host_returns_none():
    assert await fetch_view(Endpoint("127.0.0.1", 9), ViewQuery(0)) is None


def large_host() -> Host:
    return Host(*(entry(f"orders-{number}", cookie=number + 1) for number in range(300)))


async def test_a_view_is_compressed_on_request():
    sender = large_host()
    plain = await view_server(sender).respond("/view")
    small = await view_server(sender).respond("/view?deflate=1")
    assert len(small.body) < len(plain.body) / 2
    assert small.headers["Content-Encoding"] == "deflate"
    assert decode_deflated_view(small.body) == decode_view(plain.body)
    assert len((decode_view(plain.body) or sender.catalog.view(0.0)).upstreams) == 300


async def test_a_host_counts_the_hosts_that_poll_it(monkeypatch):
    now = [0.0]
    sender = Host(entry("orders-1"))
    server = ViewServer(sender.catalog, lambda: now[0], lambda: 0.0)
    for name in ("a", "b", "b", ""):
        await server.respond(f"/view?host={name}")
    assert server.polling_hosts == 3
    now[0] = POLLING_HOST_LIFETIME_S + 1.0
    view = decode_view((await server.respond("/view?host=a")).body)
    assert view is not None
    assert view.polling_hosts == 2


async def test_a_compressed_view_arrives_complete():
    sender = large_host()
    server = PageServer(
        Endpoint("127.0.0.1", 0), lambda target, _accepts: view_server(sender).respond(target)
    )
    await server.start()
    try:
        view = await fetch_view(Endpoint("127.0.0.1", server.port), ViewQuery(0))
    finally:
        await server.stop()
    assert view is not None
    assert len(view.upstreams) == 300


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"rubbish", id="rubbish"),
        pytest.param(zlib.compress(bytes(100))[:-4], id="cut short"),
        pytest.param(zlib.compress(b"\x97\x00"), id="no view inside"),
        pytest.param(zlib.compress(bytes(MAX_VIEW_BYTES + 1), 9), id="too large inside"),
    ],
)
def test_malformed_compressed_views(data):
    assert decode_deflated_view(data) is None


def test_a_host_never_polls_itself():
    own, other = Endpoint("192.0.2.1", 1), Endpoint("192.0.2.2", 1)
    seeds = Seeds(own, random.Random(1))
    seeds.set([own, other])
    assert seeds.includes_self
    assert {seeds.choose() for _ in range(10)} == {other}
    seeds.set([])
    assert seeds.choose() is None
    assert seeds.choose_near() is None


NEAR, FAR, OTHER = (Endpoint(f"192.0.2.{number}", 1) for number in (3, 4, 5))


@pytest.mark.parametrize(
    ("answers", "failures", "expected"),
    [
        pytest.param({}, [], {NEAR, FAR, OTHER}, id="no data centre known"),
        pytest.param({FAR: "south"}, [], {NEAR, OTHER}, id="known one is remote"),
        pytest.param({FAR: "south", NEAR: "north"}, [], {NEAR}, id="one is local"),
        pytest.param({FAR: "south", NEAR: "north"}, [NEAR], {NEAR, OTHER}, id="local one failed"),
        pytest.param(
            {FAR: "south", NEAR: "west", OTHER: "east"}, [], {NEAR, FAR, OTHER}, id="none is local"
        ),
    ],
)
def test_a_seed_of_the_same_data_centre_is_preferred(answers, failures, expected):
    seeds = Seeds(None, random.Random(1), "north")
    seeds.set([NEAR, FAR, OTHER])
    for seed, data_centre in answers.items():
        seeds.on_answer(seed, data_centre)
    for seed in failures:
        seeds.on_failure(seed)
    assert {seeds.choose_near() for _ in range(40)} == expected


def test_a_removed_seed_is_forgotten():
    seeds = Seeds(None, random.Random(1), "north")
    seeds.set([NEAR, FAR])
    seeds.on_answer(NEAR, "north")
    seeds.set([FAR])
    assert seeds.choose_near() == FAR
