"""A real balancer process between stand-ins of the store, upstreams and callers."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import re
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from banyanline.cli.status import Question, ask
from banyanline.core.types import Endpoint
from banyanline.net.steering.path import STOOD_STILL_S
from banyanline.platform.served import METRICS_PORT
from bench.steering.caller import FlowRefusedError, PacketCaller
from bench.steering.fleet import OTHER_SERVICE, SERVICE, BalancerProcess, Fleet
from bench.steering.store import Fault

TIMEOUT_S = 60.0
ROUTE = (SERVICE, "orders")


@contextlib.asynccontextmanager
async def fleet(
    folder: Path, hosts: int = 1, upstreams: int = 2, change_bound_ms: int = 3000
) -> AsyncIterator[Fleet]:
    """Start a fleet that serves ``SERVICE``."""
    started = Fleet(folder, hosts, hint=120, change_bound_ms=change_bound_ms)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            await started.start()
            await started.configure(3, ROUTE)
            for number in range(upstreams):
                await started.add_upstream(f"i-{0xA0 + number:x}")
            await started.start_hosts()
            yield started
    finally:
        await started.close()


async def until_logged(fleet: Fleet, text: str, host: int = 0) -> None:
    while text not in fleet.hosts[host].log_text:
        await asyncio.sleep(0.02)


async def until_reset(fleet: Fleet, caller: PacketCaller, host: int = 0) -> None:
    """Open flows until one is refused."""
    while True:
        try:
            await caller.open(fleet.hosts[host].plan.packets)
        except FlowRefusedError:
            return
        await asyncio.sleep(0.05)


async def test_a_request_is_answered_whole_by_the_upstream_that_took_the_flow(tmp_path):
    async with fleet(tmp_path) as running:
        host = running.hosts[0].plan.packets
        flow = await running.caller().open(host)
        body = bytes(range(256)) * 4
        answer = await flow.ask(body, host)
        name, _, echoed = answer.partition(b":")
        assert echoed == body
        assert len(running.upstreams[name.decode()].opened) == 1
        assert (await flow.ask(b"more", host)).startswith(name)
        assert not any(upstream.misdirected for upstream in running.upstreams.values())


async def test_what_a_process_does_not_use_is_not_loaded(tmp_path):
    async with fleet(tmp_path) as running:
        maps = Path(f"/proc/{running.hosts[0].pid}/maps").read_text()
        loaded = {Path(line.split()[-1]).name.partition(".")[0] for line in maps.splitlines()}
        assert "_asyncio" in loaded or "_socket" in loaded
        assert not loaded & {"_ssl", "libssl", "libcrypto", "_hashlib", "_sqlite3", "cygrpc"}


async def test_the_status_program_asks_a_running_host(tmp_path):
    async with fleet(tmp_path) as running:
        host = running.hosts[0].plan
        caller = running.caller()
        flow = await caller.open(host.packets)
        name = (await flow.ask(b"x", host.packets)).partition(b":")[0].decode()
        admin = Endpoint(host.ip, METRICS_PORT)
        reply = await ask(Question(admin, None, "", False, 5.0))
        assert reply.code == 0
        assert "i-a0" in reply.output
        assert "i-a1" in reply.output
        service = f"{SERVICE[0]}:{SERVICE[1]}"
        why = Question(admin, Endpoint(caller.ip, flow.port), service, False, 5.0)
        reply = await ask(why)
        assert re.search(rf"upstream +{name}", reply.output)
        assert re.search(r"flow +open", reply.output)


async def test_any_host_carries_a_flow_on(tmp_path):
    async with fleet(tmp_path, hosts=2) as running:
        first, second = (host.plan.packets for host in running.hosts)
        flow = await running.caller().open(first)
        name = (await flow.ask(b"a", first)).partition(b":")[0]
        assert await flow.ask(b"b", second) == name + b":b"
        await running.hosts[0].kill()
        assert await flow.ask(b"c", first, second) == name + b":c"


async def test_flows_without_a_route_are_refused_at_once(tmp_path):
    async with fleet(tmp_path) as running:
        stranger = PacketCaller((running.plan.caller(50), 8172), OTHER_SERVICE)
        began_at = asyncio.get_running_loop().time()
        with pytest.raises(FlowRefusedError):
            await stranger.open(running.hosts[0].plan.packets)
        assert asyncio.get_running_loop().time() - began_at < 0.15
        stranger.close()


async def test_a_silent_upstream_costs_a_caller_one_copy(tmp_path):
    async with fleet(tmp_path) as running:
        host = running.hosts[0].plan.packets
        caller = running.caller()
        running.upstreams["i-a0"].silent = True
        for _ in range(6):
            flow = await caller.open(host)
            assert (await flow.ask(b"x", host)).startswith(b"i-a1:")
            flow.end(host)


async def test_flows_of_a_dead_upstream_are_reset_and_those_of_a_stalled_one_are_not(tmp_path):
    async with fleet(tmp_path, upstreams=1) as running:
        host = running.hosts[0].plan.packets
        upstream = running.upstreams["i-a0"]
        callers = [running.caller() for _ in range(3)]
        flows = [await caller.open(host) for caller in callers]
        upstream.silent = True
        asks = [asyncio.create_task(flow.ask(b"x", host)) for flow in flows]
        await until_logged(running, "result=answered")
        upstream.silent = False
        for answer in await asyncio.gather(*asks):
            assert answer == b"i-a0:x"
        assert upstream.checks > 0
        upstream.close()
        for flow in flows:
            with pytest.raises(FlowRefusedError):
                await flow.ask(b"y", host)
        await until_logged(running, "result=unanswered")
        assert "reason=upstream_lost upstream=i-a0" in running.hosts[0].log_text


async def test_upstreams_that_are_down_and_refuse_flows_are_soon_avoided(tmp_path):
    """Their callers come again from other ports, so that no packet is ever repeated."""
    async with fleet(tmp_path, upstreams=4) as running:
        host = running.hosts[0].plan.packets
        for name in ("i-a0", "i-a1", "i-a2"):
            running.upstreams[name].crash()
        refused = 0
        for _ in range(12):
            try:
                flow = await running.caller().open(host)
                assert (await flow.ask(b"x", host)).startswith(b"i-a3:")
            except FlowRefusedError:
                refused += 1
                await asyncio.sleep(0.1)
        assert refused <= 2


async def test_packets_that_waited_in_a_frozen_host_are_not_sent_on(tmp_path):
    """Their callers have given up; an order that runs then is one that nobody waits for."""
    async with fleet(tmp_path, upstreams=1) as running:
        host = running.hosts[0]
        caller = running.caller()
        flow = await caller.open(host.plan.packets)
        await flow.ask(b"before", host.plan.packets)
        host.signal(signal.SIGSTOP)
        with pytest.raises(TimeoutError):
            await flow.ask(b"too late", host.plan.packets, timeout_s=0.1)
        await asyncio.sleep(STOOD_STILL_S + 1.5)
        host.signal(signal.SIGCONT)
        await until_logged(running, "event=host_stood_still")
        other = await caller.open(host.plan.packets)
        assert await other.ask(b"after", host.plan.packets) == b"i-a0:after"
        assert running.upstreams["i-a0"].received == [b"before", b"after"]


async def test_changes_of_the_platform_take_effect(tmp_path):
    async with fleet(tmp_path) as running:
        host = running.hosts[0].plan.packets
        caller = running.caller()
        flow = await caller.open(host)
        name = (await flow.ask(b"x", host)).partition(b":")[0].decode()
        await running.register(name, state="draining")
        await running.store.put("servers/i-strange", b"\xff\x00 not an entry")
        await until_logged(running, "leaving=true")
        for _ in range(4):
            placed = await caller.open(host)
            assert not (await placed.ask(b"y", host)).startswith(name.encode())
        assert (await flow.ask(b"z", host)).startswith(name.encode())
        await running.store.put("op/evacuate/north", {})
        await until_reset(running, caller)
        assert (await flow.ask(b"still", host)).startswith(name.encode())
        await running.store.delete("op/evacuate/north")
        await until_logged(running, "out=false")
        await caller.open(host)
        await running.configure(4, (OTHER_SERVICE, "orders"))
        await until_reset(running, caller)
        with pytest.raises(FlowRefusedError):
            await flow.ask(b"dropped", host)


@pytest.mark.parametrize("fault", [Fault.BUSY, Fault.RESET, Fault.RUBBISH, Fault.LOSE_ANSWERS])
async def test_a_host_serves_on_while_the_store_fails_and_follows_it_afterwards(tmp_path, fault):
    async with fleet(tmp_path) as running:
        host = running.hosts[0].plan.packets
        caller = running.caller()
        running.store.fault = fault
        await running.register("i-a0", state="draining")
        await until_logged(running, "event=store_lost")
        flow = await caller.open(host)
        await flow.ask(b"x", host)
        running.store.fault = Fault.NONE
        await until_logged(running, "event=store_regained")
        await until_logged(running, "leaving=true")
        flow = await caller.open(host)
        assert (await flow.ask(b"y", host)).startswith(b"i-a1:")


async def test_a_history_that_is_gone_is_replaced_by_a_complete_read(tmp_path):
    async with fleet(tmp_path) as running:
        host = running.hosts[0].plan.packets
        running.store.fault = Fault.BUSY
        await until_logged(running, "event=store_lost")
        await running.store.delete("servers/i-a0")
        running.store.forget_history()
        running.store.fault = Fault.NONE
        await until_logged(running, "event=store_history_gone")
        await until_logged(running, "items=2")
        flow = await running.caller().open(host)
        assert (await flow.ask(b"y", host)).startswith(b"i-a1:")


async def test_a_fresh_host_learns_from_a_seed_while_the_store_is_down(tmp_path):
    async with fleet(tmp_path, hosts=2) as running:
        second = running.hosts[1]
        flow = await running.caller().open(second.plan.packets)
        name = (await flow.ask(b"x", second.plan.packets)).partition(b":")[0]
        await second.kill()
        running.store.fault = Fault.SILENT
        second.start()
        await second.become(200)
        assert await flow.ask(b"y", second.plan.packets) == name + b":y"


async def test_a_planned_stop_cuts_nothing(tmp_path):
    async with fleet(tmp_path, hosts=2) as running:
        leaving, staying = running.hosts
        caller = running.caller()
        flows = [await caller.open(leaving.plan.packets) for _ in range(5)]
        leaving.signal(signal.SIGTERM)
        await leaving.become(503)
        leaving.signal(signal.SIGTERM)
        for flow in flows:
            assert await flow.ask(b"x", leaving.plan.packets)
        await leaving.become(503)
        assert await leaving.wait() == 0
        for flow in flows:
            assert await flow.ask(b"y", staying.plan.packets)


@pytest.mark.parametrize("with_signal", [True, False], ids=["SIGHUP", "no signal"])
async def test_settings_with_a_fault_leave_the_old_ones_in_force(tmp_path, with_signal):
    async with fleet(tmp_path) as running:
        host = running.hosts[0]
        good = host.settings.read_text()
        host.settings.write_text(good.replace("contact_ms = 4000", 'contact_ms = "x"'))
        if with_signal:
            host.signal(signal.SIGHUP)
        await until_logged(running, "event=settings_refused")
        assert "contact_ms" in host.log_text
        host.settings.write_text(good.replace("contact_ms = 4000", "contact_ms = 5000"))
        if with_signal:
            host.signal(signal.SIGHUP)
        await until_logged(running, "event=settings_reloaded")
        assert await host.status() == 200
        await running.caller().open(host.plan.packets)


async def test_datagrams_of_any_content_do_no_harm(tmp_path):
    async with fleet(tmp_path) as running:
        host = running.hosts[0].plan.packets
        caller = running.caller()
        for size in (0, 1, 31, 32, 33, 200, 1232, 1233, 9000):
            caller._socket.send(bytes([255]) * size, host)
        flow = await caller.open(host)
        assert await flow.ask(b"x", host)


@pytest.mark.parametrize(
    "text",
    [
        pytest.param("", id="empty"),
        pytest.param("node_name = 7", id="wrong type"),
        pytest.param("][", id="not TOML"),
    ],
)
async def test_a_start_with_unusable_settings_says_why(tmp_path, text):
    running = Fleet(tmp_path, hint=120)
    try:
        host = running.hosts[0]
        host.settings.write_text(text)
        host.start()
        assert await host.wait() == 2
        assert host.log_text.count("\n") == 1
        assert str(host.settings) in host.log_text
    finally:
        await running.close()


async def test_metrics_count_what_was_done(tmp_path):
    async with fleet(tmp_path) as running:
        host = running.hosts[0].plan.packets
        caller = running.caller()
        flow = await caller.open(host)
        for number in range(3):
            await flow.ask(b"request %d" % number, host)
        stranger = PacketCaller((running.plan.caller(50), 8172), OTHER_SERVICE)
        with pytest.raises(FlowRefusedError):
            await stranger.open(host)
        stranger.close()
        page = await running.hosts[0].metrics()
        assert 'banyanline_flows_placed_total{service="orders"} 1' in page
        assert 'banyanline_resets_total{reason="no_route"} 1' in page
        assert 'banyanline_response_seconds_count{service="orders"} 2' in page
        assert 'banyanline_upstreams{service="orders",state="well"} 2' in page
        assert "banyanline_configuration_version 3" in page


async def test_a_reader_that_leaves_the_log_unread_stops_nothing(tmp_path):
    async with fleet(tmp_path) as running:
        host = running.hosts[0]
        await host.kill()
        reader, writer = os.pipe()
        host.start(output=writer)
        os.close(writer)
        await host.become(200)
        caller = running.caller()
        for _ in range(700):
            caller._socket.send(b"malformed", host.plan.packets)
        flow = await caller.open(host.plan.packets)
        assert await flow.ask(b"x", host.plan.packets)
        os.close(reader)
        assert await flow.ask(b"y", host.plan.packets)


async def test_an_address_in_use_is_told_in_one_line(tmp_path):
    async with fleet(tmp_path) as running:
        second = BalancerProcess(running.hosts[0].plan, tmp_path / "second")
        second.output.parent.mkdir()
        second.settings.write_text(running.hosts[0].settings.read_text())
        second.start()
        assert await second.wait() == 1
        assert "Traceback" not in second.log_text
        assert "in use" in second.log_text


class TestReadingThroughSeeds:
    """Hosts that have time to act on changes leave the store to three seeds."""

    LAST = 3

    def relaying(self, folder: Path):
        return fleet(folder, hosts=self.LAST + 1, change_bound_ms=5000)

    async def until_relayed(self, running: Fleet) -> None:
        """Make changes until the host that is no seed hears of one through a seed."""
        for number in itertools.count():
            if "event=view_taken" in running.hosts[self.LAST].log_text:
                return
            await running.register("i-a1", version=f"v{number}")
            await asyncio.sleep(0.2)

    async def store_calls(self, host: BalancerProcess) -> float:
        """Return how often a host has called the store."""
        page = await host.metrics()
        found = re.search(r"^banyanline_store_calls_total (\S+)", page, re.MULTILINE)
        assert found is not None
        return float(found[1])

    async def leave(self, running: Fleet) -> None:
        """Let an upstream leave; its flows end at once where it is known."""
        await running.register("i-a0", state="draining")
        async with asyncio.timeout(5.0):
            await until_logged(running, "leaving=true", self.LAST)
        host = running.hosts[self.LAST].plan.packets
        caller = running.caller()
        for _ in range(4):
            flow = await caller.open(host)
            assert (await flow.ask(b"x", host)).startswith(b"i-a1:")

    async def test_changes_arrive_through_a_seed(self, tmp_path):
        async with self.relaying(tmp_path) as running:
            await self.until_relayed(running)
            await self.leave(running)
            last = running.hosts[self.LAST]
            assert last.log_text.count("event=store_read") == 1
            before = await self.store_calls(last)
            for number in range(5):
                await running.register("i-a1", version=f"w{number}")
                await asyncio.sleep(0.3)
            assert await self.store_calls(last) - before <= 1

    @pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP], ids=["killed", "frozen"])
    async def test_without_seeds_the_store_is_read_directly(self, tmp_path, number):
        async with self.relaying(tmp_path) as running:
            await self.until_relayed(running)
            for seed in running.hosts[1 : self.LAST]:
                seed.signal(number)
            await self.leave(running)
            running.hosts[0].signal(number)
            await running.configure(9, ROUTE, (OTHER_SERVICE, "orders"))
            stranger = PacketCaller((running.plan.caller(50), 8172), OTHER_SERVICE)
            host = running.hosts[self.LAST].plan.packets
            async with asyncio.timeout(5.0):
                while True:
                    try:
                        await stranger.open(host)
                        break
                    except FlowRefusedError:
                        await asyncio.sleep(0.05)
            stranger.close()
            for seed in running.hosts[: self.LAST]:
                seed.signal(signal.SIGCONT)


async def test_a_reload_that_comes_too_early_ends_nothing(tmp_path):
    async with fleet(tmp_path) as running:
        host = running.hosts[0]
        for delay_s in (0.06, 0.09, 0.12, 0.2):
            await host.kill()
            host.start()
            await asyncio.sleep(delay_s)
            host.signal(signal.SIGHUP)
            await host.become(200)
