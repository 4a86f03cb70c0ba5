"""Lookups: a new home asks the owners which upstreams its flows have.

Questions about many flows of one service travel together. Datagrams of a flow
wait, within a bound, until all owners have answered or the wait is over.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from banyanline.core.context import Context
from banyanline.core.counters import DropReason
from banyanline.core.messages import FlowKey, Lookup, LookupReply
from banyanline.core.timers import NEVER
from banyanline.core.types import HostName, Seconds, ServiceName, UpstreamName

BATCH_DELAY_S = 0.004
LOOKUP_WAIT_S = 0.3
RESEND_AFTER_S = 0.1
MAX_FLOWS_PER_LOOKUP = 24
MAX_HELD_PER_FLOW = 16


class Resolved(NamedTuple):
    """A flow that was looked up, its upstream if any owner knows one, and what waited."""

    flow: FlowKey
    upstream: UpstreamName | None
    payloads: list[bytes]


class _Question:
    """Flows of one service that are asked for together."""

    __slots__ = ("asked_at", "flows", "known", "missing", "resent")

    def __init__(self, flows: tuple[FlowKey, ...], missing: set[HostName], now: Seconds) -> None:
        self.flows = flows
        self.missing = missing
        self.known: dict[FlowKey, UpstreamName] = {}
        self.asked_at = now
        self.resent = False


class Lookups:
    """The lookups of one home that are under way."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._held: dict[FlowKey, list[bytes]] = {}
        self._held_count = 0
        self._batches: dict[ServiceName, list[FlowKey]] = {}
        self._batch_due = NEVER
        self._questions: dict[int, _Question] = {}
        self._last_question = context.rng.randrange(1 << 32)

    @property
    def next_at(self) -> Seconds:
        """When a batch is due, or the wait for an answer is over."""
        waits = [
            question.asked_at + (LOOKUP_WAIT_S if question.resent else RESEND_AFTER_S)
            for question in self._questions.values()
        ]
        return min([self._batch_due, *waits])

    def hold(self, flow: FlowKey, payload: bytes, now: Seconds) -> None:
        """Keep a datagram until its flow has been looked up."""
        waiting = self._held.get(flow)
        if (
            self._held_count >= self._context.limits.held_datagrams
            or len(waiting or ()) >= MAX_HELD_PER_FLOW
        ):
            self._context.counters.drops[DropReason.HELD_TOO_MANY] += 1
            return
        self._held_count += 1
        if waiting is not None:
            waiting.append(payload)
            return
        self._held[flow] = [payload]
        self._batches.setdefault(flow.service, []).append(flow)
        self._batch_due = min(self._batch_due, now + BATCH_DELAY_S)

    def tick(self, now: Seconds) -> None:
        """Send batches that are due and ask again where an answer may have been lost."""
        if now >= self._batch_due:
            batches, self._batches = self._batches, {}
            self._batch_due = NEVER
            for service, flows in batches.items():
                for start in range(0, len(flows), MAX_FLOWS_PER_LOOKUP):
                    chunk = tuple(flows[start : start + MAX_FLOWS_PER_LOOKUP])
                    self._ask(service, chunk, now)
        for number, question in self._questions.items():
            if not question.resent and now - question.asked_at >= RESEND_AFTER_S:
                question.resent = True
                self._send(number, question)

    def _ask(self, service: ServiceName, flows: tuple[FlowKey, ...], now: Seconds) -> None:
        self._last_question += 1
        missing = set(self._context.owners_of_service(service))
        question = _Question(flows, missing, now)
        self._questions[self._last_question] = question
        self._send(self._last_question, question)

    def _send(self, number: int, question: _Question) -> None:
        for owner in sorted(question.missing):
            self._context.send(owner, Lookup(number, question.flows))

    def receive(self, sender: HostName, reply: LookupReply) -> None:
        """Take an owner's answer in."""
        question = self._questions.get(reply.question)
        if question is None:
            return
        question.missing.discard(sender)
        question.known.update(reply.known)

    def resolved(self, now: Seconds) -> Iterator[Resolved]:
        """Yield the flows whose question is answered, or was asked long enough ago."""
        ready = [number for number, question in self._questions.items() if _is_over(question, now)]
        for number in ready:
            question = self._questions.pop(number)
            for flow in question.flows:
                payloads = self._held.pop(flow, [])
                self._held_count -= len(payloads)
                yield Resolved(flow, question.known.get(flow), payloads)


def _is_over(question: _Question, now: Seconds) -> bool:
    return not question.missing or now - question.asked_at >= LOOKUP_WAIT_S
