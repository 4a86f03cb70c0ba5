"""Tests of real balancer processes with stand-ins for the store, upstreams and callers."""

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

from banyanline.cli.status import StatusQuery, run_query
from banyanline.core.types import Endpoint
from banyanline.net.steering.packet_path import PAUSE_THRESHOLD_S
from banyanline.platform.endpoints import METRICS_PORT
from bench.steering.caller import FlowRefusedError, PacketCaller
from bench.steering.fleet import OTHER_SERVICE, SERVICE, BalancerProcess, Fleet
from bench.steering.store import StoreFault

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
    """Open flows until one is reset."""
    while True:
        try:
            await caller.open(fleet.hosts[host].plan.packet_address)
        except FlowRefusedError:
            return
        await asyncio.sleep(0.05)


async def test_upstream_of_a_flow_returns_complete_responses(tmp_path):
    async with fleet(tmp_path) as running:
        host = running.hosts[0].plan.packet_address
        flow = await running.add_caller().open(host)
        body = bytes(range(256)) * 4
        response = await flow.request(body, host)
        name, _, echoed = response.partition(b":")
        assert echoed == body
        assert len(running.upstreams[name.decode()].opened) == 1
        assert (await flow.request(b"more", host)).startswith(name)
        assert not any(upstream.misdirected for upstream in running.upstreams.values())


async def test_unused_libraries_are_not_loaded(tmp_path):
    async with fleet(tmp_path) as running:
        maps = Path(f"/proc/{running.hosts[0].pid}/maps").read_text()
        loaded = {Path(line.split()[-1]).name.partition(".")[0] for line in maps.splitlines()}
        assert "_asyncio" in loaded or "_socket" in loaded
        assert not loaded & {"_ssl", "libssl", "libcrypto", "_hashlib", "_sqlite3", "cygrpc"}


async def test_status_program_queries_a_running_host(tmp_path):
    async with fleet(tmp_path) as running:
        host = running.hosts[0].plan
        caller = running.add_caller()
        flow = await caller.open(host.packet_address)
        name = (await flow.request(b"x", host.packet_address)).partition(b":")[0].decode()
        admin = Endpoint(host.ip, METRICS_PORT)
        result = await run_query(StatusQuery(admin, None, "", False, 5.0))
        assert result.code == 0
        assert "i-a0" in result.output
        assert "i-a1" in result.output
        service = f"{SERVICE[0]}:{SERVICE[1]}"
        flow_query = StatusQuery(admin, Endpoint(caller.ip, flow.port), service, False, 5.0)
        result = await run_query(flow_query)
        assert re.search(rf"upstream +{name}", result.output)
        assert re.search(r"flow +open", result.output)


async def test_any_host_forwards_packets_of_an_open_flow(tmp_path):
    async with fleet(tmp_path, hosts=2) as running:
        first, second = (host.plan.packet_address for host in running.hosts)
        flow = await running.add_caller().open(first)
        name = (await flow.request(b"a", first)).partition(b":")[0]
        assert await flow.request(b"b", second) == name + b":b"
        await running.hosts[0].kill()
        assert await flow.request(b"c", first, second) == name + b":c"


async def test_flows_without_a_route_are_reset_at_once(tmp_path):
    async with fleet(tmp_path) as running:
        other_caller = PacketCaller((running.plan.caller(50), 8172), OTHER_SERVICE)
        started_at = asyncio.get_running_loop().time()
        with pytest.raises(FlowRefusedError):
            await other_caller.open(running.hosts[0].plan.packet_address)
        assert asyncio.get_running_loop().time() - started_at < 0.15
        other_caller.close()


async def test_flow_opens_on_another_upstream_after_one_retransmission(tmp_path):
    async with fleet(tmp_path) as running:
        host = running.hosts[0].plan.packet_address
        caller = running.add_caller()
        running.upstreams["i-a0"].is_unresponsive = True
        for _ in range(6):
            flow = await caller.open(host)
            assert (await flow.request(b"x", host)).startswith(b"i-a1:")
            flow.close(host)


async def test_flows_of_a_crashed_upstream_are_reset_but_not_those_of_a_stalled_one(tmp_path):
    async with fleet(tmp_path, upstreams=1) as running:
        host = running.hosts[0].plan.packet_address
        upstream = running.upstreams["i-a0"]
        callers = [running.add_caller() for _ in range(3)]
        flows = [await caller.open(host) for caller in callers]
        upstream.is_unresponsive = True
        requests = [asyncio.create_task(flow.request(b"x", host)) for flow in flows]
        await until_logged(running, "result=answered")
        upstream.is_unresponsive = False
        for response in await asyncio.gather(*requests):
            assert response == b"i-a0:x"
        assert upstream.connection_attempts > 0
        upstream.close()
        for flow in flows:
            with pytest.raises(FlowRefusedError):
                await flow.request(b"y", host)
        await until_logged(running, "result=unanswered")
        assert "reason=upstream_lost upstream=i-a0" in running.hosts[0].log_text


async def test_upstreams_that_reset_all_flows_are_soon_avoided(tmp_path):
    """After a reset, callers retry from another port, so that no packet is ever retransmitted."""
    async with fleet(tmp_path, upstreams=4) as running:
        host = running.hosts[0].plan.packet_address
        for name in ("i-a0", "i-a1", "i-a2"):
            running.upstreams[name].crash()
        refused = 0
        for _ in range(12):
            try:
                flow = await running.add_caller().open(host)
                assert (await flow.request(b"x", host)).startswith(b"i-a3:")
            except FlowRefusedError:
                refused += 1
                await asyncio.sleep(0.1)
        assert refused <= 2


async def test_packets_received_while_a_host_was_paused_are_dropped(tmp_path):
    """Their callers have timed out: a request that ran then would have no caller waiting for it."""
    async with fleet(tmp_path, upstreams=1) as running:
        host = running.hosts[0]
        caller = running.add_caller()
        flow = await caller.open(host.plan.packet_address)
        await flow.request(b"before", host.plan.packet_address)
        host.signal(signal.SIGSTOP)
        with pytest.raises(TimeoutError):
            await flow.request(b"too late", host.plan.packet_address, timeout_s=0.1)
        await asyncio.sleep(PAUSE_THRESHOLD_S + 1.5)
        host.signal(signal.SIGCONT)
        await until_logged(running, "event=host_paused")
        other = await caller.open(host.plan.packet_address)
        assert await other.request(b"after", host.plan.packet_address) == b"i-a0:after"
        assert running.upstreams["i-a0"].received == [b"before", b"after"]


async def test_platform_changes_take_effect(tmp_path):
    async with fleet(tmp_path) as running:
        host = running.hosts[0].plan.packet_address
        caller = running.add_caller()
        flow = await caller.open(host)
        name = (await flow.request(b"x", host)).partition(b":")[0].decode()
        await running.register(name, state="draining")
        await running.store.put("servers/i-strange", b"\xff\x00 not an entry")
        await until_logged(running, "leaving=true")
        for _ in range(4):
            placed = await caller.open(host)
            assert not (await placed.request(b"y", host)).startswith(name.encode())
        assert (await flow.request(b"z", host)).startswith(name.encode())
        await running.store.put("op/evacuate/north", {})
        await until_reset(running, caller)
        assert (await flow.request(b"still", host)).startswith(name.encode())
        await running.store.delete("op/evacuate/north")
        await until_logged(running, "out=false")
        await caller.open(host)
        await running.configure(4, (OTHER_SERVICE, "orders"))
        await until_reset(running, caller)
        with pytest.raises(FlowRefusedError):
            await flow.request(b"dropped", host)


@pytest.mark.parametrize(
    "fault", [StoreFault.BUSY, StoreFault.RESET, StoreFault.MALFORMED, StoreFault.DROP_RESPONSES]
)
async def test_host_serves_during_a_store_failure_and_applies_changes_later(tmp_path, fault):
    async with fleet(tmp_path) as running:
        host = running.hosts[0].plan.packet_address
        caller = running.add_caller()
        running.store.fault = fault
        await running.register("i-a0", state="draining")
        await until_logged(running, "event=store_lost")
        flow = await caller.open(host)
        await flow.request(b"x", host)
        running.store.fault = StoreFault.NONE
        await until_logged(running, "event=store_recovered")
        await until_logged(running, "leaving=true")
        flow = await caller.open(host)
        assert (await flow.request(b"y", host)).startswith(b"i-a1:")


async def test_host_reads_all_entries_after_the_store_discarded_its_history(tmp_path):
    async with fleet(tmp_path) as running:
        host = running.hosts[0].plan.packet_address
        running.store.fault = StoreFault.BUSY
        await until_logged(running, "event=store_lost")
        await running.store.delete("servers/i-a0")
        running.store.discard_history()
        running.store.fault = StoreFault.NONE
        await until_logged(running, "event=store_history_gone")
        await until_logged(running, "items=2")
        flow = await running.add_caller().open(host)
        assert (await flow.request(b"y", host)).startswith(b"i-a1:")


async def test_what_a_restored_store_lost_is_kept_until_it_is_written_again(tmp_path):
    async with fleet(tmp_path) as running:
        host = running.hosts[0].plan.packet_address
        caller = running.add_caller()
        flow = await caller.open(host)
        copy = running.store.copy()
        await running.add_upstream("i-b0")
        await running.store.put("op/evacuate/north", {})
        await until_reset(running, caller)
        lost = await running.restore_store(copy)
        await until_logged(running, "event=store_restored")
        await until_logged(running, f"as_of={copy.revision} era=2")
        await until_reset(running, caller)
        assert await flow.request(b"still open", host)
        await running.write_again(lost, copy)
        await running.store.delete("op/evacuate/north")
        await until_logged(running, "out=false")
        assert running.store.revision < lost.revision + 2
        await caller.open(host)


async def test_started_host_gets_its_view_from_a_seed_while_the_store_is_down(tmp_path):
    async with fleet(tmp_path, hosts=2) as running:
        second = running.hosts[1]
        flow = await running.add_caller().open(second.plan.packet_address)
        name = (await flow.request(b"x", second.plan.packet_address)).partition(b":")[0]
        await second.kill()
        running.store.fault = StoreFault.NO_RESPONSE
        second.start()
        await second.wait_for_status(200)
        assert await flow.request(b"y", second.plan.packet_address) == name + b":y"


async def test_graceful_shutdown_breaks_no_flow(tmp_path):
    async with fleet(tmp_path, hosts=2) as running:
        stopping, remaining = running.hosts
        caller = running.add_caller()
        flows = [await caller.open(stopping.plan.packet_address) for _ in range(5)]
        stopping.signal(signal.SIGTERM)
        await stopping.wait_for_status(503)
        stopping.signal(signal.SIGTERM)
        for flow in flows:
            assert await flow.request(b"x", stopping.plan.packet_address)
        await stopping.wait_for_status(503)
        assert await stopping.wait() == 0
        for flow in flows:
            assert await flow.request(b"y", remaining.plan.packet_address)


@pytest.mark.parametrize("with_signal", [True, False], ids=["SIGHUP", "no signal"])
async def test_invalid_settings_leave_the_old_ones_in_effect(tmp_path, with_signal):
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
        await running.add_caller().open(host.plan.packet_address)


async def test_host_serves_on_after_malformed_datagrams(tmp_path):
    async with fleet(tmp_path) as running:
        host = running.hosts[0].plan.packet_address
        caller = running.add_caller()
        for size in (0, 1, 31, 32, 33, 200, 1232, 1233, 9000):
            caller._socket.send(bytes([255]) * size, host)
        flow = await caller.open(host)
        assert await flow.request(b"x", host)


@pytest.mark.parametrize(
    "text",
    [
        pytest.param("", id="empty"),
        pytest.param("node_name = 7", id="wrong type"),
        pytest.param("][", id="not TOML"),
    ],
)
async def test_start_with_invalid_settings_logs_one_line_and_exits(tmp_path, text):
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


async def test_metrics_count_flows_resets_and_responses(tmp_path):
    async with fleet(tmp_path) as running:
        host = running.hosts[0].plan.packet_address
        caller = running.add_caller()
        flow = await caller.open(host)
        for number in range(3):
            await flow.request(b"request %d" % number, host)
        other_caller = PacketCaller((running.plan.caller(50), 8172), OTHER_SERVICE)
        with pytest.raises(FlowRefusedError):
            await other_caller.open(host)
        other_caller.close()
        page = await running.hosts[0].metrics()
        assert 'banyanline_flows_placed_total{service="orders"} 1' in page
        assert 'banyanline_resets_total{reason="no_route"} 1' in page
        assert 'banyanline_response_seconds_count{service="orders"} 2' in page
        assert 'banyanline_upstreams{service="orders",state="well"} 2' in page
        assert "banyanline_configuration_version 3" in page


async def test_unread_log_output_does_not_block_the_host(tmp_path):
    async with fleet(tmp_path) as running:
        host = running.hosts[0]
        await host.kill()
        reader, writer = os.pipe()
        host.start(output=writer)
        os.close(writer)
        await host.wait_for_status(200)
        caller = running.add_caller()
        for _ in range(700):
            caller._socket.send(b"malformed", host.plan.packet_address)
        flow = await caller.open(host.plan.packet_address)
        assert await flow.request(b"x", host.plan.packet_address)
        os.close(reader)
        assert await flow.request(b"y", host.plan.packet_address)


async def test_address_in_use_is_reported_without_a_traceback(tmp_path):
    async with fleet(tmp_path) as running:
        second = BalancerProcess(running.hosts[0].plan, tmp_path / "second")
        second.output.parent.mkdir()
        second.settings.write_text(running.hosts[0].settings.read_text())
        second.start()
        assert await second.wait() == 1
        assert "Traceback" not in second.log_text
        assert "in use" in second.log_text


class TestReadingThroughSeeds:
    """Hosts with enough time to apply changes get them from three seeds, not from the store."""

    LAST = 3

    def start_relaying_fleet(self, folder: Path):
        return fleet(folder, hosts=self.LAST + 1, change_bound_ms=5000)

    async def until_relayed(self, running: Fleet) -> None:
        """Make changes until the host that isn't a seed gets one through a seed."""
        for number in itertools.count():
            if "event=view_applied" in running.hosts[self.LAST].log_text:
                return
            await running.register("i-a1", version=f"v{number}")
            await asyncio.sleep(0.2)

    async def store_calls(self, host: BalancerProcess) -> float:
        """Return the number of calls that a host has made to the store."""
        page = await host.metrics()
        found = re.search(r"^banyanline_store_calls_total (\S+)", page, re.MULTILINE)
        assert found is not None
        return float(found[1])

    async def drain_upstream(self, running: Fleet) -> None:
        """Drain an upstream, and check that the last host then places no flows on it."""
        await running.register("i-a0", state="draining")
        async with asyncio.timeout(5.0):
            await until_logged(running, "leaving=true", self.LAST)
        host = running.hosts[self.LAST].plan.packet_address
        caller = running.add_caller()
        for _ in range(4):
            flow = await caller.open(host)
            assert (await flow.request(b"x", host)).startswith(b"i-a1:")

    async def test_changes_arrive_through_a_seed(self, tmp_path):
        async with self.start_relaying_fleet(tmp_path) as running:
            await self.until_relayed(running)
            await self.drain_upstream(running)
            last = running.hosts[self.LAST]
            assert last.log_text.count("event=store_read") == 1
            before = await self.store_calls(last)
            for number in range(5):
                await running.register("i-a1", version=f"w{number}")
                await asyncio.sleep(0.3)
            assert await self.store_calls(last) - before <= 1

    @pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP], ids=["killed", "paused"])
    async def test_host_reads_the_store_when_seeds_fail(self, tmp_path, number):
        async with self.start_relaying_fleet(tmp_path) as running:
            await self.until_relayed(running)
            for seed in running.hosts[1 : self.LAST]:
                seed.signal(number)
            await self.drain_upstream(running)
            running.hosts[0].signal(number)
            await running.configure(9, ROUTE, (OTHER_SERVICE, "orders"))
            other_caller = PacketCaller((running.plan.caller(50), 8172), OTHER_SERVICE)
            host = running.hosts[self.LAST].plan.packet_address
            async with asyncio.timeout(5.0):
                while True:
                    try:
                        await other_caller.open(host)
                        break
                    except FlowRefusedError:
                        await asyncio.sleep(0.05)
            other_caller.close()
            for seed in running.hosts[: self.LAST]:
                seed.signal(signal.SIGCONT)


class TestReports:
    """Hosts that poll different seeds, and the seeds themselves, report to each other."""

    HOSTS = 5

    async def until_peers(self, running: Fleet, number: int) -> None:
        """Wait until each host hears this many others."""
        for host in running.hosts:
            await host.wait_for_metric(f"banyanline_peers {number}")

    async def test_hosts_hear_each_other_and_a_host_that_restarts(self, tmp_path):
        async with fleet(tmp_path, hosts=self.HOSTS, change_bound_ms=5000) as running:
            await self.until_peers(running, self.HOSTS - 1)
            await running.hosts[-1].kill()
            await until_logged(running, "event=peer_lost host=host-0 peer=host-4")
            running.hosts[-1].start()
            await running.hosts[-1].wait_for_status(200)
            await self.until_peers(running, self.HOSTS - 1)
            assert "event=report_rejected" not in running.hosts[0].log_text

    async def test_hosts_hear_each_other_where_they_read_the_store_themselves(self, tmp_path):
        async with fleet(tmp_path, hosts=self.HOSTS) as running:
            await self.until_peers(running, self.HOSTS - 1)
            await running.hosts[-1].kill()
            await running.hosts[0].wait_for_metric('banyanline_hosts{state="silent"} 1')
            running.hosts[-1].start()
            await running.hosts[0].wait_for_metric('banyanline_hosts{state="silent"} 0')


async def test_a_reload_that_comes_too_early_ends_nothing(tmp_path):
    async with fleet(tmp_path) as running:
        host = running.hosts[0]
        for delay_s in (0.06, 0.09, 0.12, 0.2):
            await host.kill()
            host.start()
            await asyncio.sleep(delay_s)
            host.signal(signal.SIGHUP)
            await host.wait_for_status(200)
