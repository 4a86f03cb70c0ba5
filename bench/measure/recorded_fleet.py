"""Records the inputs of an ingress, a home and an owner in memory, and replays those of one.

Three ``Node`` objects with simulated time have one role each: the first two share a fabric
group, and only callers whose home is the second are used; all upstreams are in the data
centre of the third, which therefore owns them. Inputs are recorded as the bytes that a
network would carry. A replay brings a new node into the same state and then gives it the
recorded inputs, so that the processor time and memory measured are those of one role alone.
"""

from __future__ import annotations

import random
import statistics
import time
import tracemalloc
from collections import deque
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import msgspec
from aiocoap.message import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type

from banyanline.core.context import Limits
from banyanline.core.effects import (
    Effect,
    SendProbe,
    SendToPeer,
    SendToUpstream,
    TransferToPeer,
)
from banyanline.core.messages import FlowKey
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
from banyanline.net.frames import PeerMessage

INGRESS = "north-entry-011"
HOME = "north-entry-012"
OWNER = "south-entry-073"
ORDERS = "service-orders"
TELEMETRY = "service-telemetry"
UPSTREAMS_PER_SERVICE = 4
START_S = 100.0
WARM_UP_S = 8.0
TICK_S = 0.25
WALL_START_S = 1_700_000_000.0
FLOW_IDLE_S = 60.0
PAYLOAD = bytes(200)
REPEATS = 3
US_PER_S = 1e6

_DECODER: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(PeerMessage)
encode: Callable[[Any], bytes] = msgspec.msgpack.Encoder().encode

HOSTS = (
    Host(INGRESS, "north", "north", "192.0.2.1", 7100, 7101),
    Host(HOME, "north", "north", "192.0.2.2", 7100, 7101),
    Host(OWNER, "south", "south", "192.0.2.3", 7100, 7101),
)


class Input(NamedTuple):
    """A recorded call of a ``Node`` method; messages of peers are kept encoded."""

    method: str
    args: tuple[Any, ...]
    now: float


class Cost(NamedTuple):
    """The cost of replaying some inputs to a node; ``longest_us`` is for the slowest one."""

    cpu_us: float
    longest_us: float
    held_bytes: int


def decode_args(event: Input) -> tuple[Any, ...]:
    """Return the arguments of a recorded call, with messages of peers decoded."""
    if event.method == "receive_from_peer":
        return (event.args[0], _DECODER.decode(event.args[1]))
    if event.method == "receive_probe":
        return (_DECODER.decode(event.args[0]),)
    return event.args


def make_configuration() -> Configuration:
    """Return a CoAP service and one for opaque datagrams, with connection limits out of reach."""
    services = []
    for number, (name, protocol) in enumerate(((ORDERS, Protocol.COAP), (TELEMETRY, Protocol.UDP))):
        upstreams = tuple(
            Upstream(
                f"{name}-target-{idx:02}",
                name,
                "south",
                Endpoint(f"203.0.113.{16 * number + idx}", 5683),
                slots=8,
                connections=1_000_000,
            )
            for idx in range(UPSTREAMS_PER_SERVICE)
        )
        address = Endpoint(f"198.51.100.{number}", 5683)
        ramp = ColdStart(duration_s=1.0, initial_slots=8, initial_rate=10_000.0)
        services.append(Service(name, address, 15_683 + number, protocol, upstreams, ramp))
    group = CallerGroup("all", ("0.0.0.0/0",), "Europe/Zagreb", (), 4.0)
    centres = (DataCentre("north"), DataCentre("south"))
    return Configuration(1, centres, (group,), tuple(services))


def make_node(name: str) -> Node:
    """Return a node that has just started."""
    host = next(host for host in HOSTS if host.name == name)
    limits = Limits(flows=1_000_000, requests=1_000_000)
    settings = NodeSettings(host, int(WALL_START_S * 1000), limits, flow_idle_timeout_s=FLOW_IDLE_S)
    return Node(settings, random.Random(name), lambda: WALL_START_S, START_S)


class RecordedFleet:
    """Three nodes on a simulated network without delay; the inputs of each are recorded."""

    def __init__(self) -> None:
        self.now = START_S
        self.configuration = make_configuration()
        self.inputs: dict[str, list[Input]] = {host.name: [] for host in HOSTS}
        self._nodes = {host.name: make_node(host.name) for host in HOSTS}
        self._queue: deque[tuple[str, str, tuple[Any, ...]]] = deque()
        self._tick_at = START_S
        self.observed: dict[tuple[str, bytes], int] = {}
        self.sent_bytes: dict[str, list[int]] = {}
        for host in HOSTS:
            self.deliver(host.name, "apply_host_list", HOSTS)
            self.deliver(host.name, "configure", self.configuration)
        self.advance(WARM_UP_S)

    def node(self, name: str) -> Node:
        """Return the node of the host ``name``."""
        return self._nodes[name]

    def input_counts(self) -> dict[str, int]:
        """Return the number of inputs of each node so far."""
        return {name: len(inputs) for name, inputs in self.inputs.items()}

    def advance(self, seconds: float) -> None:
        """Advance the simulated time, with a tick of all nodes every ``TICK_S``."""
        until = self.now + seconds
        while self._tick_at <= until:
            self.now = self._tick_at
            self._tick_at += TICK_S
            for name in self._nodes:
                self.deliver(name, "tick")
        self.now = until

    def deliver(self, name: str, method: str, *args: Any) -> None:
        """Call a method of a node, and deliver all messages that follow from it."""
        self._queue.append((name, method, args))
        while self._queue:
            self._process(*self._queue.popleft())

    def apply_input(self, name: str, method: str, *args: Any) -> list[Effect]:
        """Record and call a method of a node; return its effects without running them."""
        event = Input(method, args, self.now)
        self.inputs[name].append(event)
        effects: list[Effect] = getattr(self._nodes[name], method)(*decode_args(event), self.now)
        return effects

    def _process(self, name: str, method: str, args: tuple[Any, ...]) -> None:
        for effect in self.apply_input(name, method, *args):
            match effect:
                case SendToPeer(host, message) | TransferToPeer(host, message):
                    payload = encode(message)
                    kind = f"{name} {type(message).__name__}"
                    self.sent_bytes.setdefault(kind, []).append(len(payload))
                    self._queue.append((host, "receive_from_peer", (name, payload)))
                case SendProbe(host, _, message):
                    self._queue.append((host, "receive_probe", (encode(message),)))
                case SendToUpstream(upstream, _, payload):
                    self._queue_upstream_response(name, upstream, payload)

    def _queue_upstream_response(self, owner: str, upstream: str, payload: bytes) -> None:
        request = Message.decode(payload)
        if request.code is Code.EMPTY:
            return
        body = bytes(64)
        if "/".join(request.opt.uri_path) == "health":
            body = b'{"boot": "b", "state": "warm", "load": 0.1}'
        response = Message(code=Code.CONTENT, payload=body)
        response.mtype = Type.ACK if request.mtype is Type.CON else Type.NON
        response.mid = request.mid
        response.token = request.token
        if request.opt.observe == 0:
            response.opt.observe = 1
            self.observed[upstream, request.token] = 1
        event = (owner, "receive_from_upstream", (upstream, bytes(response.encode())))
        self._queue.append(event)

    def callers(self, service: str) -> Iterator[Endpoint]:
        """Yield callers whose flows of ``service`` have ``HOME`` as their home."""
        context = self._nodes[INGRESS].context
        number = 0
        while True:
            number += 1
            address = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
            caller = Endpoint(address, 1024 + number % 60_000)
            if context.home_of(FlowKey(service, caller.ip, caller.port)) == HOME:
                yield caller


def encode_request(number: int, code: Code = Code.POST, observe: int | None = None) -> bytes:
    """Return an encoded confirmable CoAP request."""
    message = Message(code=code, payload=b"" if code is Code.GET else PAYLOAD)
    message.opt.uri_path = ("x",)
    message.opt.observe = observe
    message.mtype = Type.CON
    message.mid = number % 65_536
    message.token = number.to_bytes(4, "big")
    return bytes(message.encode())


def _replay_node(name: str, inputs: list[Input]) -> Node:
    node = make_node(name)
    for event in inputs:
        getattr(node, event.method)(*decode_args(event), event.now)
    return node


def replay_cpu(name: str, before: list[Input], measured: list[Input]) -> tuple[float, float]:
    """Return the processor time of ``measured``, and the longest time of one input, in us."""
    node = _replay_node(name, before)
    events = [(getattr(node, event.method), (*decode_args(event), event.now)) for event in measured]
    longest = 0.0
    started_s = time.process_time()
    for method, args in events:
        event_started_s = time.perf_counter()
        method(*args)
        longest = max(longest, time.perf_counter() - event_started_s)
    return (time.process_time() - started_s) * US_PER_S, longest * US_PER_S


def replay_memory(name: str, before: list[Input], measured: list[Input]) -> int:
    """Return the bytes allocated while a node processes ``measured`` and still held after it."""
    node = _replay_node(name, before)
    tracemalloc.start()
    for event in measured:
        getattr(node, event.method)(*decode_args(event), event.now)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held


def replay(name: str, inputs: list[Input], begin: int, end: int, repeats: int = REPEATS) -> Cost:
    """Return the cost of ``inputs[begin:end]``: the median processor time of ``repeats`` replays.

    ``longest_us`` is the least of the repeats, ``held_bytes`` is measured once.
    """
    before, measured = inputs[:begin], inputs[begin:end]
    runs = [replay_cpu(name, before, measured) for _ in range(repeats)]
    held = replay_memory(name, before, measured)
    return Cost(statistics.median(run[0] for run in runs), min(run[1] for run in runs), held)
