"""Simulation of a fleet of balancer cores: in-memory network, virtual clock, seeded faults."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from itertools import count
from typing import Any, NamedTuple

from aiocoap.message import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type

from banyanline.core.context import Limits
from banyanline.core.effects import (
    SendOnFlow,
    SendProbe,
    SendToCaller,
    SendToPeer,
    SendToUpstream,
    TransferToPeer,
)
from banyanline.core.model import (
    CallerGroup,
    ColdStart,
    Configuration,
    DataCentre,
    Service,
    Upstream,
)
from banyanline.core.node import Node, NodeSettings
from banyanline.core.types import Endpoint, Host, Protocol

WALL_START_S = 1_700_000_000.0
ORDERS = "orders"
READINGS = "readings"
RAW = "raw"


class NetworkFaults(NamedTuple):
    """Fault probabilities for each datagram, and network delays in seconds.

    ``transfer_delay_s`` is how much later than a datagram a control call arrives.
    """

    loss: float = 0.0
    duplication: float = 0.0
    delay_s: float = 0.001
    jitter_s: float = 0.0005
    transfer_delay_s: float = 0.0


class SimulatedUpstreams:
    """Simulated upstreams that execute every request they receive and record each execution."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.executions: Counter[str] = Counter()
        self.upstream_by_key: dict[str, str] = {}
        self.flow_upstreams: dict[Any, set[str]] = {}
        self.flow_packets: Counter[Any] = Counter()
        self.service_time_s = 0.02
        self.streams: dict[tuple[str, str, bytes], int] = {}

    def receive(self, balancer: str, upstream: str, payload: bytes) -> None:
        message = Message.decode(payload)
        if message.code is Code.EMPTY:
            return
        path = "/".join(message.opt.uri_path)
        if path == "health":
            body = b'{"boot": "b", "state": "warm", "load": 0.1}'
            self._respond(balancer, upstream, message, body, 0.001)
            return
        key = message.payload.decode()
        if message.opt.observe == 0:
            self.streams[balancer, upstream, message.token] = 0
            self._respond(balancer, upstream, message, b"stream", 0.001, observe=1)
            return
        if message.opt.observe == 1:
            self.streams.pop((balancer, upstream, message.token), None)
            return
        self.executions[key] += 1
        self.upstream_by_key[key] = upstream
        self._respond(
            balancer, upstream, message, f"{key}@{upstream}".encode(), self.service_time_s
        )

    def notify(self) -> None:
        """Send one notification on every stream."""
        for (balancer, upstream, token), number in list(self.streams.items()):
            self.streams[balancer, upstream, token] = number + 1
            message = Message(code=Code.CONTENT, payload=f"n@{upstream}".encode())
            message.mtype = Type.NON
            message.mid = self._fleet.rng.randrange(1 << 16)
            message.token = token
            message.opt.observe = 2 + number
            self._fleet.send_from_upstream(balancer, upstream, bytes(message.encode()), 0.001)

    def _respond(
        self,
        balancer: str,
        upstream: str,
        request: Message,
        payload: bytes,
        delay_s: float,
        observe: int | None = None,
    ) -> None:
        response = Message(code=Code.CONTENT, payload=payload)
        response.mtype = Type.ACK if request.mtype is Type.CON else Type.NON
        response.mid = request.mid
        response.token = request.token
        response.opt.observe = observe
        self._fleet.send_from_upstream(balancer, upstream, bytes(response.encode()), delay_s)


def make_configuration(
    revision: int = 1, data_centres: tuple[str, ...] = ("a", "b", "c"), upstreams: int = 6
) -> Configuration:
    """Return a configuration with two CoAP services and one service of opaque UDP datagrams."""
    services = []
    for number, (name, protocol) in enumerate(
        ((ORDERS, Protocol.COAP), (READINGS, Protocol.COAP), (RAW, Protocol.UDP))
    ):
        members = tuple(
            Upstream(
                f"{name}-{idx}",
                name,
                data_centres[idx % len(data_centres)],
                Endpoint(f"203.0.113.{10 * number + idx}", 5683),
            )
            for idx in range(upstreams)
        )
        services.append(
            Service(
                name,
                Endpoint(f"198.51.100.{number}", 5683),
                15683 + number,
                protocol,
                members,
                cold_start=ColdStart(duration_s=1.0, initial_slots=1, initial_rate=20.0),
            )
        )
    group = CallerGroup("all", ("0.0.0.0/0",), "Europe/Zagreb", (), 4.0)
    return Configuration(
        revision, tuple(DataCentre(name) for name in data_centres), (group,), tuple(services)
    )


class Fleet:
    """Simulated balancers, upstreams and callers that exchange datagrams on one virtual clock."""

    def __init__(
        self,
        names: tuple[str, ...] = ("a-1", "a-2", "b-1", "b-2", "c-1", "c-2"),
        seed: int = 1,
        limits: Limits | None = None,
        configuration: Configuration | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.faults = NetworkFaults()
        self.limits = limits or Limits(request_lifetime_s=60.0)
        self.configuration = configuration or make_configuration()
        self.nodes: dict[str, Node] = {}
        self.paused: dict[str, list[Any]] = {}
        self.stopped: set[str] = set()
        self.partition_side: dict[str, int] = {}
        self.responses: dict[tuple[Endpoint, bytes], list[Message]] = {}
        self._response_times: dict[tuple[Endpoint, bytes], list[float]] = {}
        self.raw_responses: Counter[tuple[str, Endpoint]] = Counter()
        self.upstreams = SimulatedUpstreams(self)
        self._events: list[tuple[float, int, Any]] = []
        self._event_ids = count()
        self._starts = count()
        self.hosts = tuple(
            Host(name, name.split("-")[0], "g", f"192.0.2.{idx}", 7100, 7101)
            for idx, name in enumerate(names)
        )
        for host in self.hosts:
            self.start(host.name)

    def start(self, name: str) -> Node:
        """Start a balancer, or restart it after a crash or a stop."""
        host = next(host for host in self.hosts if host.name == name)
        incarnation = int((WALL_START_S + self.now) * 1000) + next(self._starts)
        node = Node(
            NodeSettings(host, incarnation, self.limits, flow_idle_timeout_s=60.0),
            random.Random(self.rng.random()),
            self.wall_clock,
            self.now,
        )
        self.nodes[name] = node
        self.stopped.discard(name)
        self.paused.pop(name, None)
        self._run_effects(name, node.apply_host_list(self.hosts, self.now))
        self._run_effects(name, node.configure(self.configuration, self.now))
        self._schedule_tick(name, node)
        return node

    def add_host(self, name: str) -> None:
        """Add a host to the platform's list and start its balancer."""
        number = len(self.hosts)
        host = Host(name, name.split("-")[0], "g", f"192.0.3.{number}", 7100, 7101)
        self.hosts = (*self.hosts, host)
        self._publish_hosts()
        self.start(name)

    def remove_host(self, name: str) -> None:
        """Remove a stopped host from the platform's list."""
        self.hosts = tuple(host for host in self.hosts if host.name != name)
        self._publish_hosts()

    def _publish_hosts(self) -> None:
        for name, node in list(self.nodes.items()):
            self._run_effects(name, node.apply_host_list(self.hosts, self.now))

    def wall_clock(self) -> float:
        return WALL_START_S + self.now

    # -- faults

    def crash(self, name: str) -> None:
        self.nodes.pop(name, None)
        self.paused.pop(name, None)
        for key in [key for key in self.upstreams.streams if key[0] == name]:
            del self.upstreams.streams[key]

    def pause(self, name: str) -> None:
        self.paused.setdefault(name, [])

    def resume(self, name: str) -> None:
        for event in self.paused.pop(name, ()):
            event()

    def leave(self, name: str) -> None:
        """Begin the graceful shutdown of a balancer; it exits once it is drained."""
        self._run_effects(name, self.nodes[name].begin_stop(self.now))
        self.call_later(1.0, lambda: self._stop_when_drained(name, self.nodes.get(name)))

    def _stop_when_drained(self, name: str, node: Node | None) -> None:
        if node is None or self.nodes.get(name) is not node:
            return
        if node.is_drained:
            self.crash(name)
            self.stopped.add(name)
        else:
            self.call_later(0.05, lambda: self._stop_when_drained(name, node))

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration on all running balancers, each after a random delay below 1 s."""
        self.configuration = configuration
        for name in list(self.nodes):
            self.call_later(
                self.rng.random(), lambda name=name: self._configure_one(name, configuration)
            )

    def _configure_one(self, name: str, configuration: Configuration) -> None:
        def apply() -> None:
            node = self.nodes.get(name)
            if node is not None:
                self._run_effects(name, node.configure(configuration, self.now))

        self._deliver(name, apply)

    # -- callers

    def send(self, service: str, caller: Endpoint, payload: bytes) -> None:
        """Deliver a caller's datagram to a random balancer, as the network fabric does."""
        alive = [name for name in self.nodes if name not in self.stopped]
        for _ in range(self._copy_count()):
            name = self.rng.choice(alive)
            self.call_later(
                self._delay(), lambda name=name: self._ingress(name, service, caller, payload)
            )

    def _ingress(self, name: str, service: str, caller: Endpoint, payload: bytes) -> None:
        def receive() -> None:
            node = self.nodes.get(name)
            if node is not None:
                self._run_effects(
                    name, node.receive_from_caller(service, caller, payload, self.now)
                )

        self._deliver(name, receive)

    def request(
        self,
        service: str,
        caller: Endpoint,
        message_id: int,
        key: str,
        code: Code = Code.POST,
        observe: int | None = None,
    ) -> bytes:
        """Encode a confirmable CoAP request; its token is the message id."""
        message = Message(code=code, payload=key.encode())
        message.opt.uri_path = ("x",)
        message.opt.observe = observe
        message.mtype = Type.CON
        message.mid = message_id
        message.token = message_id.to_bytes(2, "big")
        return bytes(message.encode())

    def responses_to(self, caller: Endpoint, message_id: int) -> list[Message]:
        return self.responses.get((caller, message_id.to_bytes(2, "big")), [])

    def response_times(self, caller: Endpoint, message_id: int) -> list[float]:
        return self._response_times.get((caller, message_id.to_bytes(2, "big")), [])

    # -- simulated network and clock

    def run(self, seconds: float) -> None:
        """Advance the virtual clock by ``seconds`` and run the events due in that time."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = end

    def call_later(self, delay_s: float, event: Any) -> None:
        heapq.heappush(self._events, (self.now + delay_s, next(self._event_ids), event))

    def _delay(self) -> float:
        return self.faults.delay_s + self.rng.random() * self.faults.jitter_s

    def _copy_count(self) -> int:
        if self.rng.random() < self.faults.loss:
            return 0
        return 2 if self.rng.random() < self.faults.duplication else 1

    def _deliver(self, name: str, event: Any) -> None:
        held_events = self.paused.get(name)
        if held_events is None:
            event()
        else:
            held_events.append(event)

    def is_partitioned(self, one: str, other: str) -> bool:
        return self.partition_side.get(one, 0) != self.partition_side.get(other, 0)

    def send_from_upstream(self, name: str, upstream: str, payload: bytes, delay_s: float) -> None:
        def receive() -> None:
            node = self.nodes.get(name)
            if node is not None:
                self._run_effects(name, node.receive_from_upstream(upstream, payload, self.now))

        self.call_later(delay_s + self._delay(), lambda: self._deliver(name, receive))

    def _send_to_peer(self, sender: str, receiver: str, method: str, *args: Any) -> None:
        def receive() -> None:
            node = self.nodes.get(receiver)
            if node is not None:
                self._run_effects(receiver, getattr(node, method)(*args, self.now))

        if self.is_partitioned(sender, receiver):
            return
        for _ in range(self._copy_count()):
            self.call_later(self._delay(), lambda: self._deliver(receiver, receive))

    def _run_effects(self, name: str, effects: list[Any]) -> None:
        for effect in effects:
            match effect:
                case SendToPeer(host, message):
                    self._send_to_peer(name, host, "receive_from_peer", name, message)
                case SendProbe(host, _, message):
                    self._send_to_peer(name, host, "receive_probe", message)
                case TransferToPeer(host, message):
                    self._transfer(name, host, message, 0)
                case SendToCaller(service, caller, payload):
                    self._send_to_caller(service, caller, payload)
                case SendToUpstream(upstream, _, payload):
                    self._send_to_upstream(name, upstream, payload)
                case SendOnFlow(flow, endpoint, _):
                    self._send_on_flow(name, flow, endpoint)
                case _:
                    pass

    def _transfer(self, sender: str, receiver: str, message: Any, attempt: int) -> None:
        """Make a control call; up to 3 retries while a partition or pause prevents it."""
        if sender not in self.nodes or receiver not in self.nodes or attempt > 3:
            return
        if self.is_partitioned(sender, receiver) or receiver in self.paused:
            self.call_later(0.4, lambda: self._transfer(sender, receiver, message, attempt + 1))
            return
        self.call_later(
            self._delay() + self.faults.transfer_delay_s,
            lambda: self._call_node(receiver, "receive_from_peer", sender, message),
        )

    def _call_node(self, name: str, method: str, *args: Any) -> None:
        node = self.nodes.get(name)
        if node is not None:
            self._run_effects(name, getattr(node, method)(*args, self.now))

    def _send_to_caller(self, service: str, caller: Endpoint, payload: bytes) -> None:
        if service == RAW:
            self.raw_responses[service, caller] += 1
            return
        message = Message.decode(payload)
        self._response_times.setdefault((caller, message.token), []).append(self.now)
        self.responses.setdefault((caller, message.token), []).append(message)

    def _send_to_upstream(self, name: str, upstream: str, payload: bytes) -> None:
        data_centre = self.data_centre_of(upstream)
        if self.is_partitioned(name, f"{data_centre}-1"):
            return
        if self.rng.random() >= self.faults.loss:
            self.call_later(self._delay(), lambda: self.upstreams.receive(name, upstream, payload))

    def data_centre_of(self, upstream: str) -> str:
        for service in self.configuration.services:
            for member in service.upstreams:
                if member.name == upstream:
                    return member.data_centre
        return ""

    def _send_on_flow(self, name: str, flow: Any, endpoint: Endpoint) -> None:
        upstream = self.upstream_at(endpoint)
        self.upstreams.flow_upstreams.setdefault(flow, set()).add(upstream)
        self.upstreams.flow_packets[flow] += 1

        def respond() -> None:
            node = self.nodes.get(name)
            if node is not None:
                self._run_effects(name, node.receive_on_flow(flow, b"echo", self.now))

        self.call_later(0.002, lambda: self._deliver(name, respond))

    def upstream_at(self, endpoint: Endpoint) -> str:
        for service in self.configuration.services:
            for member in service.upstreams:
                if member.endpoint == endpoint:
                    return member.name
        return ""

    def _schedule_tick(self, name: str, node: Node) -> None:
        def tick() -> None:
            if self.nodes.get(name) is not node:
                return
            if name not in self.paused:
                self._run_effects(name, node.tick(self.now))
            self._schedule_tick(name, node)

        due = max(0.005, node.next_at(self.now) - self.now)
        self.call_later(min(due, 0.05), tick)
