"""What a request costs at the gate and at the choice, in processor time.

Run ``python -m bench.experiments.cost``.
"""

from __future__ import annotations

import random
import time
from collections import deque

from banyanline.core.choice import UpstreamChoice
from banyanline.core.gate import Answered, GateEffects, Start, StartWarm, UpstreamGate, Work
from banyanline.core.gate.messages import RequestId
from banyanline.core.model import ColdStart, Upstream
from banyanline.core.types import Endpoint
from bench.experiments.simulation import print_table

REQUESTS = 30_000
SLOTS = 2
SERVICE_S = 0.05
PATIENCES_S = (0.5, 1.0, 2.0, 5.0, 10.0)


def _gate() -> UpstreamGate:
    upstream = Upstream("u", "s", "d", Endpoint("192.0.2.1", 5683), slots=SLOTS)
    return UpstreamGate(upstream, ColdStart(), StartWarm(), 0.0, random.Random(1))


def idle_gate_us() -> float:
    """Return the cost of an offer, its end and a load word at an idle gate, in microseconds."""
    gate = _gate()
    began = time.process_time()
    for number in range(REQUESTS):
        now = number * SERVICE_S
        gate.offer(Work(number, now + 5.0), now)
        gate.finished(number, Answered(), now + 0.8 * SERVICE_S)
        gate.load_word(now)
    return 1e6 * (time.process_time() - began) / REQUESTS


def overloaded_gate_us() -> float:
    """Return the cost of a request at twice the capacity, in microseconds."""
    gate = _gate()
    rng = random.Random(1)
    running: deque[RequestId] = deque()

    def take(effects: GateEffects) -> None:
        running.extend(effect.work.request_id for effect in effects if isinstance(effect, Start))

    began = time.process_time()
    for number in range(REQUESTS):
        now = number * SERVICE_S / SLOTS / 2.0
        take(gate.offer(Work(number, now + rng.choice(PATIENCES_S)), now))
        if number % 2 and running:
            take(gate.finished(running.popleft(), Answered(), now))
    return 1e6 * (time.process_time() - began) / REQUESTS


def choice_us(upstreams: int) -> float:
    """Return the cost of a choice among ``upstreams``, in microseconds."""
    names = [f"orders-{number}" for number in range(upstreams)]
    choice = UpstreamChoice(names)
    word = _gate().load_word(0.0)
    for name in names:
        choice.observe(name, "owner", word, 0.0)
    began = time.process_time()
    for flow in range(REQUESTS):
        choice.choose(flow, 0.0)
    return 1e6 * (time.process_time() - began) / REQUESTS


def main() -> None:
    """Print the table."""
    rows = [
        ["offer, end and load word, idle", f"{idle_gate_us():.1f}"],
        ["request at twice the capacity", f"{overloaded_gate_us():.1f}"],
        *([f"choice among {count}", f"{choice_us(count):.1f}"] for count in (3, 7, 10)),
    ]
    print_table("Processor time a request", ["step", "us"], rows)


if __name__ == "__main__":
    main()
