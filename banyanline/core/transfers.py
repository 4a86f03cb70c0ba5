"""Table of block-wise transfers (RFC 7959), kept by both the home and the owner."""

from __future__ import annotations

from aiocoap.message import Message

from banyanline.core.flows import FlowTable, Opened
from banyanline.core.messages import FlowKey, TransferKey, TransferState
from banyanline.core.types import Seconds, UpstreamName

TRANSFER_IDLE_S = 120.0


def transfer_key(flow: FlowKey, message: Message) -> TransferKey:
    """Return the key of the transfer that a request belongs to."""
    return TransferKey(flow, tuple(message.opt.uri_path), tuple(message.opt.uri_query))


class TransferTable:
    """The upstream and the version (ETag) of each transfer in progress."""

    def __init__(self, limit: int) -> None:
        self._table: FlowTable[TransferKey] = FlowTable(limit, TRANSFER_IDLE_S)
        self._versions: dict[TransferKey, bytes | None] = {}

    def __len__(self) -> int:
        """Return the number of transfers in progress."""
        return len(self._table)

    def upstream_of(self, key: TransferKey, now: Seconds) -> UpstreamName | None:
        """Return the upstream of the earlier blocks, and refresh the idle timeout."""
        transfer = self._table.use(key, now)
        return None if transfer is None else transfer.upstream

    def version_of(self, key: TransferKey) -> bytes | None:
        """Return the version of the earlier blocks, if it is known."""
        return self._versions.get(key)

    def put(
        self, key: TransferKey, upstream: UpstreamName, version: bytes | None, now: Seconds
    ) -> None:
        """Add a transfer, or replace one that was restarted; a full table adds none."""
        if isinstance(self._table.open(key, upstream, now), Opened):
            self._versions[key] = version

    def states(self) -> list[TransferState]:
        """Return the state of all transfers, for a handover."""
        return [
            TransferState(key, transfer.upstream, self._versions.get(key))
            for key, transfer in self._table.items()
        ]

    def drop(self, key: TransferKey) -> None:
        """Remove a transfer."""
        self._table.close(key)
        self._versions.pop(key, None)

    def expire(self, now: Seconds) -> None:
        """Remove idle transfers."""
        for key in self._table.expire(now):
            self._versions.pop(key, None)
