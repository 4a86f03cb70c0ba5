"""Sends large handover messages to other balancers as control calls, in order per receiver."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import TypeAlias

import msgspec

from banyanline.core.messages import DataMessage, HandoverProgress, HomeHandover, OwnerHandover
from banyanline.core.types import Host, HostName
from banyanline.net.control import CallFailed, ControlClient
from banyanline.net.metrics import IoCounts

TRANSFER_METHOD = "Transfer"
CALL_TIMEOUT_S = 1.5
ATTEMPTS = 3
RETRY_DELAY_S = 0.1
MAX_QUEUED_MESSAGES = 4096
"""Maximum length of the queue of one receiver; beyond it the oldest message is dropped."""

TransferredMessage: TypeAlias = OwnerHandover | HomeHandover | HandoverProgress
FindHost: TypeAlias = Callable[[HostName], Host | None]


class TransferRequest(msgspec.Struct, frozen=True):
    """Request with one message of a handover."""

    message: TransferredMessage


class TransferDone(msgspec.Struct, frozen=True):
    """Response: the receiver has processed the message."""


class Transfers:
    """Queues and sends handover messages; each failed call is counted.

    A message is dropped after ``ATTEMPTS`` failed calls, if its receiver is unknown, or if
    the queue of its receiver is full and it is the oldest message there.
    """

    def __init__(self, client: ControlClient, find_host: FindHost, counts: IoCounts) -> None:
        self._client = client
        self._find_host = find_host
        self._counts = counts
        self._queues: dict[HostName, deque[DataMessage]] = {}
        self._tasks: dict[HostName, asyncio.Task[None]] = {}

    @property
    def is_idle(self) -> bool:
        """Whether all messages were delivered or dropped."""
        return not self._tasks

    def send(self, host: HostName, message: DataMessage) -> None:
        """Queue a message for a host."""
        queue = self._queues.setdefault(host, deque(maxlen=MAX_QUEUED_MESSAGES))
        queue.append(message)
        if host not in self._tasks:
            self._tasks[host] = asyncio.create_task(self._send_queue(host, queue))

    async def _send_queue(self, host: HostName, queue: deque[DataMessage]) -> None:
        try:
            while queue:
                await self._deliver(host, queue.popleft())
        finally:
            self._tasks.pop(host, None)
            self._queues.pop(host, None)

    async def _deliver(self, host: HostName, message: DataMessage) -> None:
        assert isinstance(message, TransferredMessage)
        request = TransferRequest(message)
        for _ in range(ATTEMPTS):
            receiver = self._find_host(host)
            if receiver is None:
                return
            reply = await self._client.call(
                receiver, TRANSFER_METHOD, request, TransferDone, CALL_TIMEOUT_S
            )
            if not isinstance(reply, CallFailed):
                return
            self._counts.count_call_failure(reply.reason)
            await asyncio.sleep(RETRY_DELAY_S)

    async def close(self) -> None:
        """Drop all messages that are not delivered yet."""
        for task in list(self._tasks.values()):
            task.cancel()
