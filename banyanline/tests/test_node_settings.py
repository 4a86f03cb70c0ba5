from __future__ import annotations

import random

import pytest
from aiocoap.message import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type

from banyanline.core.effects import Effect, SendToCaller, SendToUpstream
from banyanline.core.model import (
    CallerGroup,
    ColdStart,
    Configuration,
    DataCentre,
    Service,
    Upstream,
)
from banyanline.core.node import Node
from banyanline.core.types import Endpoint, Protocol
from banyanline.net.node_settings import node_settings
from banyanline.settings import BalancerSettings, load_settings

REQUIRED = (
    "host.name=a-1",
    "host.data_centre=a",
    "host.address=192.0.2.1",
    "platform.addresses=192.0.2.9:8500",
)
CALLER = Endpoint("192.0.2.77", 40000)
WALL_S = 1_700_000_000.0
STARTUP_S = 8.0


class SingleNode:
    """A fleet of one balancer, with two upstreams that respond only to health requests."""

    def __init__(self, override: str) -> None:
        settings = load_settings(None, [*REQUIRED, override])
        assert isinstance(settings, BalancerSettings)
        core = node_settings(settings, WALL_S)
        self.now = 0.0
        self.requests: list[tuple[str, Message]] = []
        self.responses: list[Message] = []
        self._node = Node(core, random.Random(1), lambda: WALL_S, 0.0)
        self._run_effects(self._node.apply_host_list((core.local,), 0.0))
        self._run_effects(self._node.configure(_configuration(), 0.0))
        self.run(STARTUP_S)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += 0.05
            self._run_effects(self._node.tick(self.now))

    def send(self, number: int, code: Code) -> None:
        message = Message(code=code, payload=b"")
        message.mtype = Type.CON
        message.mid = number
        message.token = bytes([number])
        payload = bytes(message.encode())
        self._run_effects(self._node.receive_from_caller("orders", CALLER, payload, self.now))

    def respond(self, upstream: str, request: Message, code: Code, payload: bytes = b"") -> None:
        message = Message(code=code, payload=payload)
        message.mtype = Type.ACK if request.mtype is Type.CON else Type.NON
        message.mid = request.mid
        message.token = request.token
        encoded = bytes(message.encode())
        self._run_effects(self._node.receive_from_upstream(upstream, encoded, self.now))

    def _run_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendToCaller):
                self.responses.append(Message.decode(effect.payload))
            elif isinstance(effect, SendToUpstream):
                request = Message.decode(effect.payload)
                if request.opt.uri_path == ("health",):
                    body = b'{"boot": "b", "state": "warm"}'
                    self.respond(effect.upstream, request, Code.CONTENT, body)
                else:
                    self.requests.append((effect.upstream, request))


def _configuration() -> Configuration:
    upstreams = tuple(
        Upstream(f"orders-{idx}", "orders", "a", Endpoint(f"203.0.113.{idx}", 5683), slots=1)
        for idx in range(2)
    )
    service = Service(
        "orders",
        Endpoint("198.51.100.1", 5683),
        15683,
        Protocol.COAP,
        upstreams,
        ColdStart(duration_s=1.0, initial_slots=1, initial_rate=100.0),
    )
    group = CallerGroup("all", ("0.0.0.0/0",), "UTC", (), 30.0)
    return Configuration(1, (DataCentre("a"),), (group,), (service,))


@pytest.mark.parametrize(
    ("override", "is_refused"),
    [
        pytest.param("limits.queue_wait_s=20", False, id="long"),
        pytest.param("limits.queue_wait_s=0.01", True, id="short"),
    ],
)
def test_queue_wait_setting(override, is_refused):
    node = SingleNode(override)
    for number in range(6):
        node.send(number, Code.POST)
    node.run(0.5)
    refused = [response for response in node.responses if response.code is Code.SERVICE_UNAVAILABLE]
    assert len(node.requests) == 2
    assert len(refused) == (4 if is_refused else 0)


@pytest.mark.parametrize(
    ("override", "attempts"),
    [
        pytest.param("retries.budget_share=0.1", 2, id="some"),
        pytest.param("retries.budget_share=0", 1, id="none"),
    ],
)
def test_retry_budget_setting(override, attempts):
    node = SingleNode(override)
    node.send(1, Code.GET)
    upstream, request = node.requests[0]
    node.respond(upstream, request, Code.SERVICE_UNAVAILABLE)
    node.run(1.0)
    assert len({upstream for upstream, _ in node.requests}) == attempts
