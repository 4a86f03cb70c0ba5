"""What hosts tell each other while the store does not answer."""

from __future__ import annotations

import asyncio
import random

import pytest

from banyanline.core.steering.outcomes import Forward, Reset, ResetReason
from banyanline.core.types import Endpoint
from banyanline.net.pages import PageServer
from banyanline.net.steering import peers
from banyanline.net.steering.peers import PeerReader, decode_view, encode_view, view_page
from banyanline.tests.steering import SHEETS, THERE, Host, entry, opening, packet, route, table

TIMEOUT_S = 10.0


def told(teller: Host, listener: Host) -> Host:
    """Let one host tell another what it knows, as bytes."""
    view = decode_view(encode_view(teller.steering.view(teller.now)))
    assert view == teller.steering.view(teller.now)
    listener.steering.on_view(view, listener.now)
    return listener


def test_a_fresh_host_learns_all_that_another_knows():
    teller = Host(entry("orders-1"), entry("orders-2"), entry("orders-3", data_centre=THERE))
    teller.configure(table(5))
    teller.remove("orders-2")
    teller.take_out(THERE)
    fresh = told(teller, Host(configured=False))
    assert fresh.steering.version == 5
    assert fresh.steering.revision == teller.revision
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
    before = new.steering.view(new.now)
    told(old, new)
    assert new.steering.view(new.now) == before


@pytest.mark.parametrize(
    ("target", "status"),
    [
        pytest.param("/view", 200, id="all"),
        pytest.param("/view?have=1", 200, id="newer"),
        pytest.param("/view?have=3", 204, id="the same"),
        pytest.param("/view?have=99", 204, id="less"),
        pytest.param("/view?have=x", 400, id="no revision"),
        pytest.param("/view?have=-1", 400, id="negative"),
        pytest.param("/other", 404, id="another page"),
    ],
)
def test_the_page(target, status):
    host = Host(entry("orders-1"), entry("orders-2"))
    assert view_page(host.steering, target, host.now).status == status


def test_a_host_without_a_configuration_tells_nothing():
    assert view_page(Host(configured=False).steering, "/view", 0.0).status == 503


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\xff" * 40, id="garbage"),
        pytest.param(b"\x94\x01\xc0\x90", id="cut short"),
        pytest.param(b"\x91" * 100_000, id="deeply nested"),
        pytest.param(b"\x94\xa1x\xc0\x90\x90", id="wrong type"),
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
        Endpoint("127.0.0.1", 0),
        lambda target, _accepts: view_page(teller.steering, target, teller.now),
    )
    await server.start()
    learned = asyncio.Event()
    listener = Host(configured=False)
    reader = PeerReader(
        listener.steering,
        Endpoint("127.0.0.1", 1),
        lambda: 0.0,
        random.Random(1),
        lambda: heard_at,
        learned.set,
    )
    reader.set_seeds([Endpoint("127.0.0.1", 1), Endpoint("127.0.0.1", server.port)])
    task = asyncio.create_task(reader.run())
    try:
        async with asyncio.timeout(TIMEOUT_S if expected else 0.3):
            await learned.wait()
    except TimeoutError:
        pass
    finally:
        task.cancel()
        await server.stop()
    assert listener.steering.revision == expected


async def test_a_silent_seed_does_no_harm(monkeypatch):
    monkeypatch.setattr(peers, "FIRST_ASK_S", 0.0)
    listener = Host(configured=False)
    reader = PeerReader(
        listener.steering, None, lambda: 0.0, random.Random(1), lambda: None, lambda: None
    )
    reader.set_seeds([Endpoint("127.0.0.1", 9)])
    task = asyncio.create_task(reader.run())
    await asyncio.sleep(0.3)
    assert not task.done()
    task.cancel()
    assert not listener.steering.is_configured
