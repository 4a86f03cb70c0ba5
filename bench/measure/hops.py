"""Measures the processor time per packet of a bare echo and of each step of a balancer hop.

The echo is a bare stdlib UDP socket that reads as many datagrams per wake-up as the
balancer's sockets, so it is a lower bound for the cost of a hop. Run it as
``python -m bench.measure.hops --json FILE``.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import socket
import statistics
import time
from collections.abc import Callable
from multiprocessing.connection import Connection
from pathlib import Path
from typing import NamedTuple

import msgspec
import xxhash
from aiocoap import CON, POST, Message

from banyanline.core.keys import Key, KeyRing
from banyanline.core.messages import DataMessage, FlowKey, ToHome
from banyanline.core.types import Endpoint
from banyanline.net.seal import Sealer
from banyanline.transport.datagram import MAX_READS_PER_WAKEUP, DatagramSocket

PACKETS = 40_000
WINDOW = 32
PAYLOAD_BYTES = 200
REPEATS = 5
CALLS_PER_SAMPLE = 20_000
REPLY_TIMEOUT_S = 0.2
SETTLE_S = 0.1
US_PER_S = 1_000_000


class CpuCost(NamedTuple):
    """Processor time in microseconds: the median and the range over repeats."""

    median_us: float
    least_us: float
    greatest_us: float


def _cpu_cost(samples_us: list[float]) -> CpuCost:
    return CpuCost(statistics.median(samples_us), min(samples_us), max(samples_us))


def _bare_socket(loop: asyncio.AbstractEventLoop) -> Callable[[], int]:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind(("127.0.0.1", 0))

    def echo_datagrams() -> None:
        for _ in range(MAX_READS_PER_WAKEUP):
            try:
                data, addr = sock.recvfrom(65535)
            except BlockingIOError:
                return
            sock.sendto(data, addr)

    loop.add_reader(sock.fileno(), echo_datagrams)
    return lambda: int(sock.getsockname()[1])


def _datagram_socket(loop: asyncio.AbstractEventLoop) -> Callable[[], int]:
    sock = DatagramSocket(loop, Endpoint("127.0.0.1", 0), lambda data, addr: sock.send(data, addr))
    return lambda: int(sock.local_address[1])


ECHO_SERVERS = {"bare echo": _bare_socket, "echo on DatagramSocket": _datagram_socket}


def serve_echo(name: str, pipe: Connection) -> None:
    """Send the port to the parent, then echo datagrams until it sends "stop".

    Any other command is answered with the processor time in seconds used so far.
    """

    async def serve() -> None:
        loop = asyncio.get_running_loop()
        port = ECHO_SERVERS[name](loop)
        stopped = asyncio.Event()

        def on_command() -> None:
            if pipe.recv() == "stop":
                stopped.set()
            else:
                pipe.send(time.process_time())

        loop.add_reader(pipe.fileno(), on_command)
        pipe.send(port())
        await stopped.wait()

    asyncio.run(serve())


def exchange_windowed(address: tuple[str, int], packets: int, sock: socket.socket) -> int:
    """Send ``packets`` datagrams, at most ``WINDOW`` in flight; return how many came back."""
    payload = bytes(PAYLOAD_BYTES)
    sock.settimeout(REPLY_TIMEOUT_S)
    sent = answered = 0
    while sent < packets:
        batch = min(WINDOW, packets - sent)
        for _ in range(batch):
            sock.sendto(payload, address)
        sent += batch
        for _ in range(batch):
            try:
                sock.recv(65535)
            except TimeoutError:
                break
            answered += 1
    return answered


def measure_echo(name: str, packets: int) -> float:
    """Return the processor time in microseconds that the echo spends on one datagram."""
    context = multiprocessing.get_context("spawn")
    pipe, child_pipe = context.Pipe()
    process = context.Process(target=serve_echo, args=(name, child_pipe))
    process.start()
    try:
        address = ("127.0.0.1", int(pipe.recv()))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            exchange_windowed(address, WINDOW, sock)
            time.sleep(SETTLE_S)
            pipe.send("time")
            before_s = pipe.recv()
            answered = exchange_windowed(address, packets, sock)
            pipe.send("time")
            after_s = pipe.recv()
        pipe.send("stop")
    finally:
        process.join(REPLY_TIMEOUT_S * 10)
        if process.is_alive():
            process.kill()
    return float((after_s - before_s) / answered * US_PER_S)


def _hop_steps() -> dict[str, Callable[[], object]]:
    """Return a function for each step of a hop, on a payload of ``PAYLOAD_BYTES``."""
    keys = KeyRing((Key("1", bytes(32)),))
    sender = Sealer(keys, "split-sjever-1", time.time)
    receiver = Sealer(keys, "split-jug-1", time.time)
    flow = FlowKey("orders", "192.0.2.7", 40000)
    message = ToHome(flow, bytes(PAYLOAD_BYTES - 40), 1)
    encoder = msgspec.msgpack.Encoder()
    decoder = msgspec.msgpack.Decoder(DataMessage)
    encoded = encoder.encode(message)
    now_wall = time.time()
    frames = iter([sender.seal("split-jug-1", encoded) for _ in range(CALLS_PER_SAMPLE * REPEATS)])
    request = Message(mtype=CON, mid=1, token=b"abcd", code=POST, payload=b"on", uri_path=["sw"])
    datagram = request.encode()
    flow_bytes = b"orders192.0.2.7:40000"
    return {
        "seal": lambda: sender.seal("split-jug-1", encoded),
        "open": lambda: receiver.open(next(frames), now_wall),
        "msgspec encode": lambda: encoder.encode(message),
        "msgspec decode": lambda: decoder.decode(encoded),
        "aiocoap encode": request.encode,
        "aiocoap decode": lambda: Message.decode(datagram),
        "xxh3_64": lambda: xxhash.xxh3_64_intdigest(flow_bytes),
        "empty call": lambda: None,
    }


def measure_call(call: Callable[[], object]) -> float:
    """Return the processor time of one call in microseconds."""
    started_s = time.process_time()
    for _ in range(CALLS_PER_SAMPLE):
        call()
    return (time.process_time() - started_s) / CALLS_PER_SAMPLE * US_PER_S


def measure(packets: int) -> dict[str, CpuCost]:
    """Measure the echoes in alternation, then each step of a hop."""
    echo_samples: dict[str, list[float]] = {name: [] for name in ECHO_SERVERS}
    for _ in range(REPEATS):
        for name, samples in echo_samples.items():
            samples.append(measure_echo(name, packets))
    costs = {name: _cpu_cost(samples) for name, samples in echo_samples.items()}
    for name, call in _hop_steps().items():
        costs[name] = _cpu_cost([measure_call(call) for _ in range(REPEATS)])
    return costs


def main() -> None:
    """Measure, print a table, and with ``--json`` write the results to a file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--packets", type=int, default=PACKETS)
    parser.add_argument("--json", type=Path, help="file for the results")
    options = parser.parse_args()
    costs = measure(options.packets)
    echo_us = costs["bare echo"].median_us
    for name, cost in costs.items():
        print(
            f"{name:24} {cost.median_us:7.2f} us ({cost.least_us:.2f} to "
            f"{cost.greatest_us:.2f})  {cost.median_us / echo_us:6.2f} x bare echo"
        )
    if options.json:
        rows = {name: cost._asdict() for name, cost in costs.items()}
        options.json.write_text(json.dumps(rows, indent=2))


if __name__ == "__main__":
    main()
