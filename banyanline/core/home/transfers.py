"""Block-wise transfers at their home: one upstream and one version for all blocks (RFC 7959)."""

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
    """The block-wise transfers of the flows of which this balancer is the home."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._table = TransferTable(context.limits.requests)

    def __len__(self) -> int:
        """Return the number of transfers under way."""
        return len(self._table)

    def upstream_of(self, flow: FlowKey, message: Message, now: Seconds) -> UpstreamName | None:
        """Return the upstream that sent or took the earlier blocks, if it may be used."""
        upstream = self._table.upstream_of(transfer_key(flow, message), now)
        return upstream if upstream in self._context.directory.reachable else None

    def learn(self, flow: FlowKey, message: Message, upstream: UpstreamName, now: Seconds) -> None:
        """Take an owner's word on the upstream of a transfer."""
        self._table.put(transfer_key(flow, message), upstream, None, now)

    def is_same_version(
        self,
        flow: FlowKey,
        request: coap.Request,
        response: coap.Response,
        upstream: UpstreamName,
        now: Seconds,
    ) -> bool:
        """Note the first block's version; tell whether a later block belongs to it."""
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
        """Forget transfers that have stood still."""
        self._table.expire(now)

    def hand_over(self) -> None:
        """Give the transfers whose slot has another home now to that home."""
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
        """Take transfers from their previous home."""
        for state in states:
            if self._table.upstream_of(state.transfer, now) is None:
                self._table.put(state.transfer, state.upstream, state.version, now)
