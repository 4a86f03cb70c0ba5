"""Seeded random faults against a simulated fleet, and the invariants that must always hold."""

from __future__ import annotations

import itertools
from collections import Counter
from typing import NamedTuple

from aiocoap.message import Message
from aiocoap.numbers.codes import Code

from banyanline.core.types import DataCentreState, Endpoint, UpstreamState
from properties.simulation import ORDERS, RAW, READINGS, Fleet, NetworkFaults, make_configuration

CALLER_COUNT = 40
REQUEST_PERIOD_S = 0.05
RETRANSMIT_AFTER_S = (0.4, 0.8, 1.6, 3.2)
MAX_DUPLICATE_DELAY_S = 12.0
EVENT_PERIOD_S = 1.5
MAX_ABSENT_HOSTS = 2
STREAM_COUNT = 30
NOTIFY_PERIOD_S = 0.5


class Violation(NamedTuple):
    """A violated invariant, and the key of the request concerned."""

    what: str
    key: str


class Chaos:
    """Caller traffic on a fleet during crashes, pauses, shutdowns, restarts and partitions."""

    def __init__(
        self,
        seed: int,
        events: tuple[str, ...],
        faults: NetworkFaults | None = None,
        period_s: float = EVENT_PERIOD_S,
    ) -> None:
        self.fleet = Fleet(seed=seed)
        self.rng = self.fleet.rng
        self.events = events
        self.history: list[tuple[float, str]] = []
        self._faults = faults or NetworkFaults(loss=0.01, duplication=0.02, jitter_s=0.003)
        self._period_s = period_s
        self._request_number = 0
        self._replacement_number = 0
        self._sent_requests: dict[str, tuple[str, Endpoint, int]] = {}
        self._revision = 1
        self._streams: list[tuple[Endpoint, int]] = []

    def run(self, seconds: float) -> list[Violation]:
        """Run for ``seconds`` of virtual time and return the violated invariants."""
        fleet = self.fleet
        fleet.run(8.0)
        self._open_streams()
        fleet.faults = self._faults
        end = fleet.now + seconds
        next_event = fleet.now + 1.0
        while fleet.now < end:
            if self._absent_host_count() < len(fleet.hosts):
                self._send_request()
            if fleet.now >= next_event and self.events:
                self._inject_fault()
                next_event = fleet.now + self._period_s * (0.5 + self.rng.random())
            fleet.run(REQUEST_PERIOD_S)
        fleet.faults = fleet.faults._replace(loss=0.0)
        fleet.run(2 * MAX_DUPLICATE_DELAY_S)
        return self.violations()

    def _open_streams(self) -> None:
        """Register streams and start periodic notifications from the upstreams."""
        fleet = self.fleet
        for number in range(STREAM_COUNT):
            caller = Endpoint(f"10.0.2.{number}", 4000)
            datagram = fleet.request(READINGS, caller, number, "s", Code.GET, observe=0)
            fleet.call_later(number * 0.05, lambda c=caller, d=datagram: fleet.send(READINGS, c, d))
            self._streams.append((caller, number))
        fleet.call_later(NOTIFY_PERIOD_S, self._notify)
        fleet.run(STREAM_COUNT * 0.05 + 2.0)

    def _notify(self) -> None:
        self.fleet.upstreams.notify()
        self.fleet.call_later(NOTIFY_PERIOD_S, self._notify)

    def stream_gaps(self) -> list[float]:
        """Return the longest time without a notification for each stream."""
        gaps = []
        for caller, number in self._streams:
            times = self.fleet.response_times(caller, number)
            gaps.append(max((b - a for a, b in itertools.pairwise(times)), default=99.0))
            gaps[-1] = max(gaps[-1], self.fleet.now - times[-1]) if times else 99.0
        return gaps

    def moved_flows(self) -> list[str]:
        """Return the opaque flows that reached more than one upstream."""
        flows = self.fleet.upstreams.flow_upstreams
        return [str(flow) for flow, upstreams in flows.items() if len(upstreams) > 1]

    def _absent_host_count(self) -> int:
        return len(absent_hosts(self.fleet))

    def _send_request(self) -> None:
        self._request_number += 1
        fleet = self.fleet
        service = self.rng.choice((ORDERS, READINGS))
        code = Code.POST if self.rng.random() < 0.7 else Code.GET
        caller = Endpoint(f"10.0.0.{self.rng.randrange(CALLER_COUNT)}", 4000)
        message_id = self._request_number % (1 << 16)
        key = f"{code.name}-{self._request_number}"
        self._sent_requests[key] = (service, caller, message_id)
        datagram = fleet.request(service, caller, message_id, key, code)
        fleet.send(service, caller, datagram)
        for delay_s in RETRANSMIT_AFTER_S:
            fleet.call_later(
                delay_s, lambda: self._retransmit(service, caller, message_id, datagram)
            )
        if self.rng.random() < 0.2:
            # The network may deliver a duplicate long after the exchange has ended.
            duplicate_delay_s = self.rng.random() * MAX_DUPLICATE_DELAY_S
            fleet.call_later(duplicate_delay_s, lambda: fleet.send(service, caller, datagram))
        if self.rng.random() < 0.3:
            flow = Endpoint(f"10.0.1.{self.rng.randrange(CALLER_COUNT)}", 4000)
            fleet.send(RAW, flow, b"raw")

    def _retransmit(self, service: str, caller: Endpoint, message_id: int, datagram: bytes) -> None:
        if not self.fleet.responses_to(caller, message_id):
            self.fleet.send(service, caller, datagram)

    def _inject_fault(self) -> None:
        event = self.rng.choice(self.events)
        getattr(self, f"_{event}")()

    def _record_event(self, what: str) -> None:
        self.history.append((round(self.fleet.now, 3), what))

    def _running_hosts(self) -> list[str]:
        absent = absent_hosts(self.fleet)
        return [host.name for host in self.fleet.hosts if host.name not in absent]

    def _crash(self) -> None:
        running = self._running_hosts()
        if len(running) > len(self.fleet.hosts) - MAX_ABSENT_HOSTS:
            name = self.rng.choice(running)
            self._record_event(f"crash {name}")
            self.fleet.crash(name)

    def _restart(self) -> None:
        stopped = sorted({host.name for host in self.fleet.hosts} - set(self.fleet.nodes))
        if stopped:
            name = self.rng.choice(stopped)
            self._record_event(f"start {name}")
            self.fleet.start(name)

    def _pause(self) -> None:
        running = self._running_hosts()
        if len(running) > len(self.fleet.hosts) - MAX_ABSENT_HOSTS:
            name = self.rng.choice(running)
            seconds = self.rng.choice((0.3, 1.0, 3.0, 10.0))
            self._record_event(f"pause {name} {seconds}")
            self.fleet.pause(name)
            self.fleet.call_later(seconds, lambda: self.fleet.resume(name))

    def _leave(self) -> None:
        running = self._running_hosts()
        if len(running) > len(self.fleet.hosts) - MAX_ABSENT_HOSTS:
            name = self.rng.choice(running)
            self._record_event(f"leave {name}")
            self.fleet.leave(name)

    def _replace(self) -> None:
        """Replace a host for good by one with a new name in the same data centre."""
        running = self._running_hosts()
        if len(running) <= len(self.fleet.hosts) - MAX_ABSENT_HOSTS:
            return
        name = self.rng.choice(running)
        self._replacement_number += 1
        new = f"{name.split('-')[0]}-{10 + self._replacement_number}"
        self._record_event(f"replace {name} by {new}")
        self.fleet.add_host(new)
        self.fleet.call_later(4.0, lambda: self._retire(name))

    def _retire(self, name: str) -> None:
        if name in self.fleet.nodes and name not in self.fleet.paused:
            self.fleet.leave(name)
            self.fleet.call_later(3.0, lambda: self.fleet.remove_host(name))

    def _partition(self) -> None:
        data_centre = self.rng.choice(("a", "b", "c"))
        seconds = self.rng.choice((1.0, 4.0, 12.0))
        self._record_event(f"partition {data_centre} {seconds}")
        partition_side = {
            host.name: int(host.name.startswith(data_centre)) for host in self.fleet.hosts
        }
        self.fleet.partition_side = partition_side
        self.fleet.call_later(seconds, self._heal)

    def _heal(self) -> None:
        self._record_event("heal")
        self.fleet.partition_side = {}

    def _configure(self) -> None:
        self._revision += 1
        configuration = make_configuration(self._revision)
        choice = self.rng.random()
        if choice < 0.4:
            out = self.rng.randrange(3)
            self._record_event(f"out {out}")
            configuration = configuration._replace(
                data_centres=tuple(
                    entry._replace(state=DataCentreState.OUT) if idx == out else entry
                    for idx, entry in enumerate(configuration.data_centres)
                )
            )
        elif choice < 0.8:
            service = configuration.services[0]
            idx = self.rng.randrange(len(service.upstreams))
            self._record_event(f"drain {service.upstreams[idx].name}")
            upstreams = list(service.upstreams)
            upstreams[idx] = upstreams[idx]._replace(state=UpstreamState.LEAVING)
            changed = service._replace(upstreams=tuple(upstreams))
            configuration = configuration._replace(services=(changed, *configuration.services[1:]))
        else:
            self._record_event("all in service")
        self.fleet.configure(configuration)

    def violations(self) -> list[Violation]:
        """Return the invariants violated by the responses and executions recorded so far."""
        found = []
        executions = self.fleet.upstreams.executions
        for key, (_, caller, message_id) in self._sent_requests.items():
            if key.startswith("POST") and executions[key] > 1:
                found.append(Violation("doubled", key))
            for response in self.fleet.responses_to(caller, message_id):
                found += self._check_response(key, response, executions[key])
        return found

    @staticmethod
    def _check_response(key: str, response: Message, executions: int) -> list[Violation]:
        text = response.payload.decode()
        if text.startswith("not-run:") and executions:
            return [Violation("refused_but_ran", key)]
        if response.code.is_successful() and text.split("@")[0] != key:
            return [Violation("wrong_answer", key)]
        return []

    def outcomes(self) -> Counter[str]:
        """Count the requests by the first response that their callers received."""
        counts: Counter[str] = Counter()
        for caller, message_id in ((sent[1], sent[2]) for sent in self._sent_requests.values()):
            responses = self.fleet.responses_to(caller, message_id)
            text = responses[0].payload.decode() if responses else "none"
            is_refusal = not responses or not responses[0].code.is_successful()
            counts[text if is_refusal else "answered"] += 1
        return counts


def absent_hosts(fleet: Fleet) -> set[str]:
    """Return the hosts that are stopped, paused or shutting down."""
    absent = {host.name for host in fleet.hosts} - set(fleet.nodes)
    leaving = {name for name, node in fleet.nodes.items() if node.context.stopping}
    return absent | leaving | set(fleet.paused)
