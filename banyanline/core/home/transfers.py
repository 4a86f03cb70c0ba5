"""Block-wise transfers at their home: one upstream and one version for all blocks (RFC 7959)."""

from __future__ import annotations

from typing import NamedTuple

from aiocoap.message import Message

from banyanline.core import coap
from banyanline.core.context import Context
from banyanline.core.flows import FlowTable
from banyanline.core.messages import FlowKey
from banyanline.core.types import Seconds, UpstreamName

TRANSFER_IDLE_S = 120.0


class TransferKey(NamedTuple):
    """A resource that a caller is transferring."""

    flow: FlowKey
    path: tuple[str, ...]
    query: tuple[str, ...]


class Transfers:
    """The upstream and the version of each block-wise transfer that is under way."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._table: FlowTable[TransferKey] = FlowTable(context.limits.requests, TRANSFER_IDLE_S)
        self._versions: dict[TransferKey, bytes | None] = {}

    def __len__(self) -> int:
        """Return the number of transfers under way."""
        return len(self._table)

    def upstream_of(self, flow: FlowKey, message: Message, now: Seconds) -> UpstreamName | None:
        """Return the upstream that sent or took the earlier blocks, if it may be used."""
        transfer = self._table.use(_key(flow, message), now)
        if transfer is None or transfer.upstream not in self._context.directory.reachable:
            return None
        return transfer.upstream

    def is_same_version(
        self,
        flow: FlowKey,
        request: coap.Request,
        response: coap.Response,
        upstream: UpstreamName,
        now: Seconds,
    ) -> bool:
        """Note the first block's version; tell whether a later block belongs to it."""
        key = _key(flow, request.message)
        version = coap.etag(response.message)
        if request.continues_transfer:
            return key not in self._versions or self._versions[key] == version
        if coap.starts_transfer(response.message):
            self._table.open(key, upstream, now)
            self._versions[key] = version
        return True

    def expire(self, now: Seconds) -> None:
        """Forget transfers that have stood still."""
        for key in self._table.expire(now):
            self._versions.pop(key, None)


def _key(flow: FlowKey, message: Message) -> TransferKey:
    return TransferKey(flow, tuple(message.opt.uri_path), tuple(message.opt.uri_query))
