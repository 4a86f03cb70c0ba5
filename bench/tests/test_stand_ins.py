"""The stand-ins must inject faults and detect violations as the scenarios require."""

import asyncio
import json
import random
from typing import Any, NamedTuple

import pytest

from bench.network.addresses import PLATFORM_PORT, SERVICE_PORT, UPSTREAM_PORT, AddressPlan
from bench.network.fabric import Fabric, FabricMember, ServiceRoute
from bench.network.link import Faults, Link, NetworkPartitions
from bench.scenarios.observations import FlowEnd, Observations, Outcome
from bench.standins import coap, streams
from bench.standins.baseline import read_key
from bench.standins.caller import Caller, CallerTiming
from bench.standins.coap_upstream import CoapUpstream
from bench.standins.execution_log import ExecutionLog
from bench.standins.health import HealthFault
from bench.standins.platform import Platform, ReaderView
from bench.standins.sockets import UdpSocket
from bench.standins.upstream import UpstreamSpec

SERVICE = "orders"
TIMES = CallerTiming(patience_s=1.0, ack_timeout_s=0.3)


class Step(NamedTuple):
    """What a scripted service does with one request: run it, and a response of its own."""

    runs: bool
    response: coap.Response | None = None


REFUSAL = coap.Response(coap.SERVICE_UNAVAILABLE, b"not-run:queue_full")
RUN = Step(runs=True)
REFUSE = Step(runs=False, response=REFUSAL)
RUN_AND_REFUSE = Step(runs=True, response=REFUSAL)
RESTART = Step(runs=False, response=coap.Response(coap.INCOMPLETE))


class Site:
    """Two upstreams and a caller on loopback, without balancers."""

    def __init__(self) -> None:
        self.plan = AddressPlan.acquire(hint=200)
        self.executions = ExecutionLog()
        self.observations = Observations()
        self.upstreams = [self.new_upstream(idx) for idx in range(2)]
        self.opened: list[Any] = []

    def new_upstream(self, idx: int, *, cold: bool = False) -> CoapUpstream:
        address = (self.plan.upstream(idx), UPSTREAM_PORT)
        spec = UpstreamSpec(f"orders-{idx}", SERVICE, "north", address, service_time_s=0.01)
        return CoapUpstream(spec, self.executions, random.Random(idx), cold=cold)

    def new_caller(self, address):
        route = ServiceRoute(SERVICE, address, 6000)
        caller = Caller(
            "c0",
            (self.plan.caller(0), 40000),
            {SERVICE: route},
            self.observations,
            TIMES,
            random.Random(3),
        )
        self.opened.append(caller)
        return caller

    def new_forwarder(self, choose):
        """Return a service address that forwards each datagram to ``choose(message)``."""
        back = {}

        def from_caller(data, source):
            back["caller"] = source
            far.send(data, choose(coap.decode(data)).spec.address)

        def from_upstream(data, source):
            near.send(data, back["caller"])

        near = UdpSocket((self.plan.service(0), SERVICE_PORT), from_caller)
        far = UdpSocket((self.plan.balancer(0), 0), from_upstream)
        self.opened += [near, far]
        return near.address

    def new_scripted_service(self, steps):
        """Return a service address that handles one request after another by ``steps``."""
        script = iter(steps)
        last: dict[str, Any] = {}

        def from_caller(data, source):
            step = next(script)
            last.update(caller=source, response=step.response)
            if step.runs:
                far.send(data, self.upstreams[0].spec.address)
            if step.response is not None:
                message = coap.decode(data)
                response = coap.encode_response(
                    step.response, coap.MessageType.ACK, message.mid, message.token
                )
                near.send(response, source)

        def from_upstream(data, source):
            if last["response"] is None:
                near.send(data, last["caller"])

        near = UdpSocket((self.plan.service(0), SERVICE_PORT), from_caller)
        far = UdpSocket((self.plan.balancer(0), 0), from_upstream)
        self.opened += [near, far]
        return near.address

    def close(self) -> None:
        for upstream in self.upstreams:
            upstream.stop()
        for opened in self.opened:
            opened.close()
        self.plan.release()


@pytest.fixture
async def site():
    site = Site()
    yield site
    site.close()


def post(key: str, message_id: int) -> bytes:
    return coap.encode_request(
        coap.Request(coap.POST, message_id, b"t", (SERVICE, "orders"), payload=f"{key} x".encode())
    )


async def test_order_executed_by_two_upstreams_is_reported(site):
    sender = UdpSocket((site.plan.balancer(1), 0), lambda data, source: None)
    site.opened.append(sender)
    for upstream in site.upstreams:
        sender.send(post("k1", 1), upstream.spec.address)
    sender.send(post("k2", 2), site.upstreams[0].spec.address)
    sender.send(post("k2", 2), site.upstreams[0].spec.address)
    await asyncio.sleep(0.1)
    assert site.executions.duplicated_keys == ["k1"]


@pytest.mark.parametrize(
    ("pick", "outcome"),
    [
        pytest.param(lambda number: 0, Outcome.ANSWERED, id="one upstream"),
        pytest.param(lambda number: number % 2, Outcome.WRONG, id="two upstreams in turn"),
    ],
)
async def test_download_with_blocks_of_two_upstreams_is_wrong(site, pick, outcome):
    def choose(message):
        return site.upstreams[pick(message.opt.block2.block_number)]

    caller = site.new_caller(site.new_forwarder(choose))
    await caller.download(SERVICE)
    assert [record.outcome for record in site.observations.requests] == [outcome]


@pytest.mark.parametrize(
    ("steps", "is_counted_as_run"),
    [
        pytest.param([RUN, RESTART, REFUSE], False, id="second attempt refused"),
        pytest.param([RUN, RUN, RESTART, RUN, REFUSE], False, id="its second block refused"),
        pytest.param([RUN_AND_REFUSE], True, id="refused though it ran"),
        pytest.param([RUN, RESTART, RUN_AND_REFUSE], True, id="second attempt refused but ran"),
    ],
)
async def test_refused_download_is_judged_by_its_last_attempt(site, steps, is_counted_as_run):
    caller = site.new_caller(site.new_scripted_service(steps))
    await caller.download(SERVICE)
    await asyncio.sleep(0.05)
    (record,) = site.observations.requests
    assert record.outcome is Outcome.REFUSED
    assert site.executions.was_executed(record.key) is is_counted_as_run


async def test_cold_upstream_restarts_on_overload(site):
    site.upstreams[0].stop()
    site.upstreams[0] = upstream = site.new_upstream(0, cold=True)
    sender = UdpSocket((site.plan.balancer(1), 0), lambda data, source: None)
    site.opened.append(sender)
    for message_id in range(4):
        sender.send(post(f"k{message_id}", message_id), upstream.spec.address)
    await asyncio.sleep(0.1)
    assert upstream.counts.cold_overloads == 1
    assert len(upstream.restarts) == 1


async def test_response_with_an_unknown_token_is_misdelivered(site):
    address = site.new_forwarder(lambda message: site.upstreams[0])
    caller = site.new_caller(address)
    response = coap.encode_response(
        coap.Response(coap.CONTENT, b"x"), coap.MessageType.NON, 9, b"z"
    )
    site.opened[0].send(response, (site.plan.caller(0), 40000))
    await caller.get(SERVICE)
    assert site.observations.misdelivered == 1


@pytest.mark.parametrize(
    ("disturb", "end"),
    [
        pytest.param(lambda upstream: None, FlowEnd.CLOSED, id="undisturbed"),
        pytest.param(lambda upstream: upstream.stop(), FlowEnd.SILENT, id="upstream silent"),
        pytest.param(lambda upstream: upstream.restart(0.0), FlowEnd.SILENT, id="restarted"),
    ],
)
async def test_end_of_a_stream_is_recorded(site, monkeypatch, disturb, end):
    monkeypatch.setattr(streams, "FLOW_TIMEOUT_S", 0.5)
    caller = site.new_caller(site.new_forwarder(lambda message: site.upstreams[0]))
    task = asyncio.create_task(streams.Stream(caller, SERVICE).run())
    await asyncio.sleep(0.3)
    disturb(site.upstreams[0])
    await asyncio.sleep(1.0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert [flow.end for flow in site.observations.flows] == [end]


async def test_fabric_forwards_to_reachable_members_only(site):
    seen = {"b1": 0, "b2": 0}
    partitions = NetworkPartitions()
    route = ServiceRoute(SERVICE, (site.plan.service(0), SERVICE_PORT), 6000)
    link = Link(random.Random(1), Faults())
    fabric = Fabric(site.plan, (route,), ("north", "south"), link, partitions, random.Random(2))
    site.opened.append(fabric)
    for idx, (name, data_centre) in enumerate((("b1", "north"), ("b2", "south"))):

        def count(data, source, name=name):
            seen[name] += 1

        site.opened.append(UdpSocket((site.plan.balancer(idx), 6000), count))
        fabric.add(FabricMember(name, data_centre, site.plan.balancer(idx)))
    sender = UdpSocket((site.plan.caller(0), 40000), lambda data, source: None)
    site.opened.append(sender)
    for _ in range(20):
        sender.send(b"x", route.address)
    await asyncio.sleep(0.05)
    assert seen["b1"] > 0
    assert seen["b2"] > 0
    partitions.separate(["north"], ["south"])
    before = seen["b2"]
    sender.send(b"x", route.address)
    await asyncio.sleep(0.05)
    assert (sum(seen.values()), seen["b2"]) == (21, before)


async def test_platform_serves_readers_different_versions(site):
    platform = Platform()
    readers = [site.plan.platform(idx) for idx in range(3)]
    for reader in readers:
        await platform.listen(reader, PLATFORM_PORT)
    platform.set("k", b"1")
    platform.set_view(readers[1], ReaderView(stale_index=platform.index))
    platform.set_view(readers[2], ReaderView(is_down=True))
    waiting = asyncio.create_task(read_key((readers[0], PLATFORM_PORT), "k", 1))
    await asyncio.sleep(0.1)
    platform.set("k", b"2")
    assert await waiting == (2, b"2")
    assert await read_key((readers[1], PLATFORM_PORT), "k", 0) == (1, b"1")
    with pytest.raises((ConnectionError, OSError), match=r"no index|reset"):
        await read_key((readers[2], PLATFORM_PORT), "k", 0)
    assert platform.calls == {readers[0]: 1, readers[1]: 1}
    await platform.close()


async def test_health_endpoint_reports_false_load_and_state(site):
    upstream = site.upstreams[0]
    upstream.health.fault = HealthFault(load=0.7, state="draining")
    health = json.loads(upstream.health_response().payload)
    assert (health["load"], health["state"], health["boot"]) == (0.7, "draining", upstream.boot)
