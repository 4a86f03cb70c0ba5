"""What hosts tell each other while the store does not answer."""

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
    ASKER_LIFETIME_S,
    MAX_VIEW_BYTES,
    ViewBoard,
    ViewQuery,
    decode_deflated_view,
    decode_view,
    encode_view,
    fetch_view,
    parse_query,
)
from banyanline.tests.steering import SHEETS, THERE, Host, entry, opening, packet, route, table

TIMEOUT_S = 10.0


def told(teller: Host, listener: Host) -> Host:
    """Let one host tell another what it knows, as bytes."""
    view = decode_view(encode_view(teller.catalog.view(teller.now)))
    assert view == teller.catalog.view(teller.now)
    listener.catalog.on_view(view, listener.now)
    return listener


def test_a_fresh_host_learns_all_that_another_knows():
    teller = Host(entry("orders-1"), entry("orders-2"), entry("orders-3", data_centre=THERE))
    teller.configure(table(5))
    teller.remove("orders-2")
    teller.take_out(THERE)
    fresh = told(teller, Host(configured=False))
    assert fresh.catalog.version == 5
    assert fresh.catalog.revision == teller.revision
    assert {fresh.place(flow) for flow in range(20)} == {"orders-1"}


def test_flows_on_an_upstream_whose_entry_lapsed_are_carried_by_a_fresh_host():
    teller = Host(entry("orders-1"))
    teller.remove("orders-1")
    fresh = told(teller, Host(configured=False))
    cookie = fresh.cookie("orders-1")
    assert fresh.send(packet(cookie=cookie)) == Forward(fresh.upstream("orders-1"))
    assert fresh.send(opening(2)) == Reset(ResetReason.NO_UPSTREAM)


def test_the_time_that_an_upstream_stays_cold_is_what_is_left_of_it():
    teller = Host(entry("orders-1", cold_for_s=2.0))
    teller.wait(1.5)
    fresh = told(teller, Host(configured=False))
    assert fresh.upstream("orders-1").is_cold(fresh.now + 0.4)
    assert not fresh.upstream("orders-1").is_cold(fresh.now + 0.6)


def test_older_words_change_nothing():
    old = Host(entry("orders-1"))
    new = Host(entry("orders-1"))
    new.configure(table(9, [route(), route(SHEETS, ("orders",))]))
    new.put(entry("orders-1", is_leaving=True))
    new.put(entry("orders-2"))
    new.take_out(THERE)
    before = new.catalog.view(new.now)
    told(old, new)
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
def test_what_a_target_asks_for(target, expected):
    query = parse_query(target)
    assert (query.status if isinstance(query, PageResponse) else query) == expected


def board(host: Host, age_s: float = 0.0) -> ViewBoard:
    return ViewBoard(host.catalog, lambda: host.now, lambda: age_s)


async def test_a_host_without_a_configuration_tells_nothing():
    assert (await board(Host(configured=False)).respond("/view")).status == 503


async def test_only_what_is_newer_is_told():
    host = Host(entry("orders-1"), entry("orders-2"))
    host.take_out(THERE)
    response = await board(host, 1.5).respond("/view?have=2")
    view = decode_view(response.body)
    assert view is not None
    assert [known.entry.name for known in view.upstreams] == ["orders-2"]
    assert [word.data_centre for word in view.data_centres] == [THERE]
    assert (view.table, view.table_version) == (None, 1)
    assert (view.revision, view.age_s) == (host.revision, 1.5)


@pytest.mark.parametrize(
    ("routes", "whole", "told"),
    [
        pytest.param(3, 0, True, id="small"),
        pytest.param(500, 0, False, id="large"),
        pytest.param(500, 1, True, id="large, whole"),
    ],
)
async def test_a_large_configuration_is_told_only_if_it_is_asked_for(routes, whole, told):
    host = Host(configured=False)
    addresses = [b"%06d" % number for number in range(routes)]
    host.configure(table(4, [route(address) for address in addresses]))
    response = await board(host).respond(f"/view?whole={whole}")
    view = decode_view(response.body)
    assert view is not None
    assert (view.table is not None) is told
    fresh = Host(configured=False)
    fresh.catalog.on_view(view, fresh.now)
    assert fresh.catalog.revision == (host.revision if told else 0)


async def test_a_question_waits_for_news():
    host = Host(entry("orders-1"))
    asked = board(host)
    answer = asyncio.create_task(asked.respond(f"/view?have={host.revision}&wait_ms=3000"))
    await asyncio.sleep(0.05)
    assert not answer.done()
    host.put(entry("orders-2"))
    asked.wake()
    async with asyncio.timeout(1.0):
        view = decode_view((await answer).body)
    assert view is not None
    assert [known.entry.name for known in view.upstreams] == ["orders-2"]


async def test_a_question_without_news_is_answered_in_time():
    host = Host(entry("orders-1"))
    response = await board(host).respond(f"/view?have={host.revision}&wait_ms=50")
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
def test_unreadable_views(data):
    assert decode_view(data) is None


@pytest.mark.parametrize(
    ("heard_at", "expected"),
    [
        pytest.param(None, 2, id="never heard of the store"),
        pytest.param(-peers.STORE_LOST_S - 1.0, 2, id="store lost"),
        pytest.param(0.0, 0, id="store answers"),
    ],
)
async def test_seeds_are_asked_while_the_store_is_lost(monkeypatch, heard_at, expected):
    monkeypatch.setattr(peers, "FIRST_ASK_S", 0.0)
    teller = Host(entry("orders-1"))
    server = PageServer(
        Endpoint("127.0.0.1", 0), lambda target, _accepts: board(teller).respond(target)
    )
    await server.start()
    learned = asyncio.Event()
    listener = Host(configured=False)
    seeds = Seeds(Endpoint("127.0.0.1", 1), random.Random(1))
    seeds.set([Endpoint("127.0.0.1", 1), Endpoint("127.0.0.1", server.port)])
    reader = PeerReader(
        listener.catalog,
        seeds,
        lambda: 0.0,
        random.Random(1),
        lambda: heard_at,
        learned.set,
    )
    task = asyncio.create_task(reader.run())
    try:
        async with asyncio.timeout(TIMEOUT_S if expected else 0.3):
            await learned.wait()
    except TimeoutError:
        pass
    finally:
        task.cancel()
        await server.stop()
    assert listener.catalog.revision == expected


async def test_a_silent_seed_does_no_harm(monkeypatch):
    monkeypatch.setattr(peers, "FIRST_ASK_S", 0.0)
    listener = Host(configured=False)
    seeds = Seeds(None, random.Random(1))
    seeds.set([Endpoint("127.0.0.1", 9)])
    reader = PeerReader(
        listener.catalog, seeds, lambda: 0.0, random.Random(1), lambda: None, lambda: None
    )
    task = asyncio.create_task(reader.run())
    await asyncio.sleep(0.3)
    assert not task.done()
    task.cancel()
    assert not listener.catalog.is_configured


async def test_a_host_that_is_not_there_brings_no_view():
    assert await fetch_view(Endpoint("127.0.0.1", 9), ViewQuery(0)) is None


def many() -> Host:
    return Host(*(entry(f"orders-{number}", cookie=number + 1) for number in range(300)))


async def test_a_view_is_compressed_for_those_that_ask_so():
    teller = many()
    plain = await board(teller).respond("/view")
    small = await board(teller).respond("/view?deflate=1")
    assert len(small.body) < len(plain.body) / 2
    assert small.headers["Content-Encoding"] == "deflate"
    assert decode_deflated_view(small.body) == decode_view(plain.body)
    assert len((decode_view(plain.body) or teller.catalog.view(0.0)).upstreams) == 300


async def test_a_host_counts_those_that_ask_it(monkeypatch):
    now = [0.0]
    teller = Host(entry("orders-1"))
    asked = ViewBoard(teller.catalog, lambda: now[0], lambda: 0.0)
    for name in ("a", "b", "b", ""):
        await asked.respond(f"/view?host={name}")
    assert asked.askers == 3
    now[0] = ASKER_LIFETIME_S + 1.0
    view = decode_view((await asked.respond("/view?host=a")).body)
    assert view is not None
    assert view.askers == 2


async def test_a_compressed_view_arrives_whole():
    teller = many()
    server = PageServer(
        Endpoint("127.0.0.1", 0), lambda target, _accepts: board(teller).respond(target)
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
def test_unreadable_compressed_views(data):
    assert decode_deflated_view(data) is None


def test_a_host_never_asks_itself():
    own, other = Endpoint("192.0.2.1", 1), Endpoint("192.0.2.2", 1)
    seeds = Seeds(own, random.Random(1))
    seeds.set([own, other])
    assert seeds.has_own
    assert {seeds.choose() for _ in range(10)} == {other}
    seeds.set([])
    assert seeds.choose() is None
    assert seeds.choose_near() is None


NEAR, FAR, OTHER = (Endpoint(f"192.0.2.{number}", 1) for number in (3, 4, 5))


@pytest.mark.parametrize(
    ("answers", "failures", "expected"),
    [
        pytest.param({}, [], {NEAR, FAR, OTHER}, id="none is known"),
        pytest.param({FAR: "south"}, [], {NEAR, OTHER}, id="the known one is elsewhere"),
        pytest.param({FAR: "south", NEAR: "north"}, [], {NEAR}, id="one is here"),
        pytest.param({FAR: "south", NEAR: "north"}, [NEAR], {NEAR, OTHER}, id="it failed"),
        pytest.param(
            {FAR: "south", NEAR: "west", OTHER: "east"}, [], {NEAR, FAR, OTHER}, id="none is here"
        ),
    ],
)
def test_a_seed_of_the_same_data_centre_is_asked_first(answers, failures, expected):
    seeds = Seeds(None, random.Random(1), "north")
    seeds.set([NEAR, FAR, OTHER])
    for seed, data_centre in answers.items():
        seeds.on_answer(seed, data_centre)
    for seed in failures:
        seeds.on_failure(seed)
    assert {seeds.choose_near() for _ in range(40)} == expected


def test_a_seed_that_is_no_longer_named_is_forgotten():
    seeds = Seeds(None, random.Random(1), "north")
    seeds.set([NEAR, FAR])
    seeds.on_answer(NEAR, "north")
    seeds.set([FAR])
    assert seeds.choose_near() == FAR
