"""Block-wise transfers at their home: all blocks use one upstream and version (RFC 7959)."""

from __future__ import annotations

from collections.abc import Iterable

from aiocoap.message import Message

from banyanline.core import coap
from banyanline.core.context import Context
from banyanline.core.messages import FlowKey, HomeHandover, TransferState
from banyanline.core.transfers import TransferTable, transfer_key
from banyanline.core.types import HostName, Seconds, UpstreamName

HANDOVER_CHUNK = 512


class Transfers:
    """The block-wise transfers of flows whose home is this balancer."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._table = TransferTable(context.limits.requests)

    def __len__(self) -> int:
        """Return the number of transfers in progress."""
        return len(self._table)

    def upstream_of(self, flow: FlowKey, message: Message, now: Seconds) -> UpstreamName | None:
        """Return the upstream that sent or received the earlier blocks, if it is reachable."""
        upstream = self._table.upstream_of(transfer_key(flow, message), now)
        return upstream if upstream in self._context.directory.reachable else None

    def record_upstream(
        self, flow: FlowKey, message: Message, upstream: UpstreamName, now: Seconds
    ) -> None:
        """Record the upstream of a transfer, as reported by its owner."""
        self._table.put(transfer_key(flow, message), upstream, None, now)

    def check_version(
        self,
        flow: FlowKey,
        request: coap.Request,
        response: coap.Response,
        upstream: UpstreamName,
        now: Seconds,
    ) -> bool:
        """Record the version of the first block; return whether a later block has the same."""
        key = transfer_key(flow, request.message)
        version = coap.etag(response.message)
        if request.continues_transfer:
            known = self._table.version_of(key)
            if known is None:
                self._table.put(key, upstream, version, now)
            return known is None or known == version
        if coap.starts_transfer(response.message):
            self._table.put(key, upstream, version, now)
        return True

    def expire(self, now: Seconds) -> None:
        """Remove idle transfers."""
        self._table.expire(now)

    def hand_over(self) -> None:
        """Hand over transfers whose slot has moved to another home."""
        local = self._context.local.name
        moved: dict[HostName, list[TransferState]] = {}
        for state in self._table.states():
            home = self._context.home_of(state.transfer.flow)
            if home is not None and home != local:
                moved.setdefault(home, []).append(state)
        for home, states in moved.items():
            for start in range(0, len(states), HANDOVER_CHUNK):
                chunk = tuple(states[start : start + HANDOVER_CHUNK])
                self._context.transfer(home, HomeHandover(transfers=chunk))
            for state in states:
                self._table.drop(state.transfer)

    def take_over(self, states: Iterable[TransferState], now: Seconds) -> None:
        """Add transfers handed over by their previous home."""
        for state in states:
            if self._table.upstream_of(state.transfer, now) is None:
                self._table.put(state.transfer, state.upstream, state.version, now)
