"""Seeded random faults against a fleet of cores, with what must always hold checked throughout."""

from __future__ import annotations

import itertools
from collections import Counter
from typing import NamedTuple

from aiocoap.message import Message
from aiocoap.numbers.codes import Code

from banyanline.core.types import DataCentreState, Endpoint, UpstreamState
from properties.bus import ORDERS, RAW, READINGS, Faults, Fleet, make_configuration

CALLERS = 40
REQUEST_PERIOD_S = 0.05
RETRANSMIT_AFTER_S = (0.4, 0.8, 1.6, 3.2)
LATE_COPY_S = 12.0
EVENT_PERIOD_S = 1.5
MAX_ABSENT = 2
STREAMS = 30
NOTIFY_PERIOD_S = 0.5


class Broken(NamedTuple):
    """Something that must always hold and did not."""

    what: str
    key: str


class Chaos:
    """Callers at work on a fleet while hosts crash, pause, leave, return and are cut off."""

    def __init__(
        self,
        seed: int,
        events: tuple[str, ...],
        faults: Faults | None = None,
        period_s: float = EVENT_PERIOD_S,
    ) -> None:
        self.fleet = Fleet(seed=seed)
        self.rng = self.fleet.rng
        self.events = events
        self.history: list[tuple[float, str]] = []
        self._faults = faults or Faults(loss=0.01, duplication=0.02, jitter=0.003)
        self._period_s = period_s
        self._number = 0
        self._replaced = 0
        self._sent: dict[str, tuple[str, Endpoint, int]] = {}
        self._revision = 1
        self._streams: list[tuple[Endpoint, int]] = []

    def run(self, seconds: float) -> list[Broken]:
        """Run for ``seconds`` of virtual time and return what was broken."""
        fleet = self.fleet
        fleet.run(8.0)
        self._open_streams()
        fleet.faults = self._faults
        end = fleet.now + seconds
        next_event = fleet.now + 1.0
        while fleet.now < end:
            if self._absent_count() < len(fleet.hosts):
                self._request()
            if fleet.now >= next_event and self.events:
                self._event()
                next_event = fleet.now + self._period_s * (0.5 + self.rng.random())
            fleet.run(REQUEST_PERIOD_S)
        fleet.faults = fleet.faults._replace(loss=0.0)
        fleet.run(2 * LATE_COPY_S)
        return self.broken()

    def _open_streams(self) -> None:
        """Register streams and let the upstreams send notifications from now on."""
        fleet = self.fleet
        for number in range(STREAMS):
            caller = Endpoint(f"10.0.2.{number}", 4000)
            datagram = fleet.request(READINGS, caller, number, "s", Code.GET, observe=0)
            fleet.later(number * 0.05, lambda c=caller, d=datagram: fleet.send(READINGS, c, d))
            self._streams.append((caller, number))
        fleet.later(NOTIFY_PERIOD_S, self._notify)
        fleet.run(STREAMS * 0.05 + 2.0)

    def _notify(self) -> None:
        self.fleet.upstreams.notify()
        self.fleet.later(NOTIFY_PERIOD_S, self._notify)

    def stream_gaps(self) -> list[float]:
        """Return the longest time without a notification for each stream."""
        gaps = []
        for caller, number in self._streams:
            times = self.fleet.answer_times(caller, number)
            gaps.append(max((b - a for a, b in itertools.pairwise(times)), default=99.0))
            gaps[-1] = max(gaps[-1], self.fleet.now - times[-1]) if times else 99.0
        return gaps

    def moved_flows(self) -> list[str]:
        """Return the opaque flows that reached more than one upstream."""
        flows = self.fleet.upstreams.flow_upstreams
        return [str(flow) for flow, upstreams in flows.items() if len(upstreams) > 1]

    def _absent_count(self) -> int:
        return len(fleet_absent(self.fleet))

    def _request(self) -> None:
        self._number += 1
        fleet = self.fleet
        service = self.rng.choice((ORDERS, READINGS))
        code = Code.POST if self.rng.random() < 0.7 else Code.GET
        caller = Endpoint(f"10.0.0.{self.rng.randrange(CALLERS)}", 4000)
        message_id = self._number % (1 << 16)
        key = f"{code.name}-{self._number}"
        self._sent[key] = (service, caller, message_id)
        datagram = fleet.request(service, caller, message_id, key, code)
        fleet.send(service, caller, datagram)
        for after in RETRANSMIT_AFTER_S:
            fleet.later(after, lambda: self._again(service, caller, message_id, datagram))
        if self.rng.random() < 0.2:
            # The network may deliver a copy long after the exchange has ended.
            late = self.rng.random() * LATE_COPY_S
            fleet.later(late, lambda: fleet.send(service, caller, datagram))
        if self.rng.random() < 0.3:
            flow = Endpoint(f"10.0.1.{self.rng.randrange(CALLERS)}", 4000)
            fleet.send(RAW, flow, b"raw")

    def _again(self, service: str, caller: Endpoint, message_id: int, datagram: bytes) -> None:
        if not self.fleet.answers_to(caller, message_id):
            self.fleet.send(service, caller, datagram)

    def _event(self) -> None:
        event = self.rng.choice(self.events)
        getattr(self, f"_{event}")()

    def _note(self, what: str) -> None:
        self.history.append((round(self.fleet.now, 3), what))

    def _running(self) -> list[str]:
        gone = fleet_absent(self.fleet)
        return [host.name for host in self.fleet.hosts if host.name not in gone]

    def _crash(self) -> None:
        running = self._running()
        if len(running) > len(self.fleet.hosts) - MAX_ABSENT:
            name = self.rng.choice(running)
            self._note(f"crash {name}")
            self.fleet.crash(name)

    def _restart(self) -> None:
        gone = sorted({host.name for host in self.fleet.hosts} - set(self.fleet.nodes))
        if gone:
            name = self.rng.choice(gone)
            self._note(f"start {name}")
            self.fleet.start(name)

    def _pause(self) -> None:
        running = self._running()
        if len(running) > len(self.fleet.hosts) - MAX_ABSENT:
            name = self.rng.choice(running)
            seconds = self.rng.choice((0.3, 1.0, 3.0, 10.0))
            self._note(f"pause {name} {seconds}")
            self.fleet.pause(name)
            self.fleet.later(seconds, lambda: self.fleet.resume(name))

    def _leave(self) -> None:
        running = self._running()
        if len(running) > len(self.fleet.hosts) - MAX_ABSENT:
            name = self.rng.choice(running)
            self._note(f"leave {name}")
            self.fleet.leave(name)

    def _replace(self) -> None:
        """Start a host under a new name and stop one of its data centre for good."""
        running = self._running()
        if len(running) <= len(self.fleet.hosts) - MAX_ABSENT:
            return
        name = self.rng.choice(running)
        self._replaced += 1
        new = f"{name.split('-')[0]}-{10 + self._replaced}"
        self._note(f"replace {name} by {new}")
        self.fleet.add_host(new)
        self.fleet.later(4.0, lambda: self._retire(name))

    def _retire(self, name: str) -> None:
        if name in self.fleet.nodes and name not in self.fleet.paused:
            self.fleet.leave(name)
            self.fleet.later(3.0, lambda: self.fleet.drop_host(name))

    def _partition(self) -> None:
        data_centre = self.rng.choice(("a", "b", "c"))
        seconds = self.rng.choice((1.0, 4.0, 12.0))
        self._note(f"partition {data_centre} {seconds}")
        side = {host.name: int(host.name.startswith(data_centre)) for host in self.fleet.hosts}
        self.fleet.side = side
        self.fleet.later(seconds, self._heal)

    def _heal(self) -> None:
        self._note("heal")
        self.fleet.side = {}

    def _configure(self) -> None:
        self._revision += 1
        configuration = make_configuration(self._revision)
        choice = self.rng.random()
        if choice < 0.4:
            out = self.rng.randrange(3)
            self._note(f"out {out}")
            configuration = configuration._replace(
                data_centres=tuple(
                    entry._replace(state=DataCentreState.OUT) if idx == out else entry
                    for idx, entry in enumerate(configuration.data_centres)
                )
            )
        elif choice < 0.8:
            service = configuration.services[0]
            idx = self.rng.randrange(len(service.upstreams))
            self._note(f"drain {service.upstreams[idx].name}")
            upstreams = list(service.upstreams)
            upstreams[idx] = upstreams[idx]._replace(state=UpstreamState.LEAVING)
            changed = service._replace(upstreams=tuple(upstreams))
            configuration = configuration._replace(services=(changed, *configuration.services[1:]))
        else:
            self._note("all in service")
        self.fleet.configure(configuration)

    def broken(self) -> list[Broken]:
        """Return what must hold and did not, as callers and upstreams saw it."""
        found = []
        runs = self.fleet.upstreams.runs
        for key, (_, caller, message_id) in self._sent.items():
            if key.startswith("POST") and runs[key] > 1:
                found.append(Broken("doubled", key))
            for answer in self.fleet.answers_to(caller, message_id):
                found += self._judge(key, answer, runs[key])
        return found

    @staticmethod
    def _judge(key: str, answer: Message, runs: int) -> list[Broken]:
        text = answer.payload.decode()
        if text.startswith("not-run:") and runs:
            return [Broken("refused_but_ran", key)]
        if answer.code.is_successful() and text.split("@")[0] != key:
            return [Broken("wrong_answer", key)]
        return []

    def outcomes(self) -> Counter[str]:
        """Count the requests by the first answer that their callers got."""
        counts: Counter[str] = Counter()
        for caller, message_id in ((sent[1], sent[2]) for sent in self._sent.values()):
            answers = self.fleet.answers_to(caller, message_id)
            text = answers[0].payload.decode() if answers else "none"
            is_refusal = not answers or not answers[0].code.is_successful()
            counts[text if is_refusal else "answered"] += 1
        return counts


def fleet_absent(fleet: Fleet) -> set[str]:
    """Return the hosts that do not run, are paused or are leaving."""
    gone = {host.name for host in fleet.hosts} - set(fleet.nodes)
    leaving = {name for name, node in fleet.nodes.items() if node.context.stopping}
    return gone | leaving | set(fleet.paused)
