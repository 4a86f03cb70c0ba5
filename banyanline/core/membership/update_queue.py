"""Queue of updates that are piggybacked on datagrams, each a limited number of times."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

import msgspec

from banyanline.core.membership.messages import MemberUpdate
from banyanline.core.types import HostName

_encoder = msgspec.msgpack.Encoder()


def encoded_bytes(update: MemberUpdate) -> int:
    """Return the size of ``update`` on the wire, in bytes."""
    return len(_encoder.encode(update))


@dataclass(slots=True)
class _Pending:
    update: MemberUpdate
    size: int
    transmissions: int = 0


class UpdateQueue:
    """The latest claim about each host: new claims first, then round-robin (SWIM, section 4.1)."""

    def __init__(self) -> None:
        self._pending: OrderedDict[HostName, _Pending] = OrderedDict()

    def __len__(self) -> int:
        return len(self._pending)

    def put(self, update: MemberUpdate) -> None:
        """Queue ``update``, replacing any earlier claim about the same host."""
        self._pending[update.name] = _Pending(update, encoded_bytes(update))
        self._pending.move_to_end(update.name, last=False)

    def take(self, budget_bytes: int, max_transmissions: int) -> list[MemberUpdate]:
        """Return updates of at most ``budget_bytes`` in total and count a transmission of each.

        An update is dropped once it has been sent ``max_transmissions`` times.
        """
        taken: list[_Pending] = []
        while self._pending:
            name, pending = next(iter(self._pending.items()))
            if pending.size > budget_bytes:
                break
            budget_bytes -= pending.size
            taken.append(pending)
            del self._pending[name]
        for pending in taken:
            pending.transmissions += 1
            if pending.transmissions < max_transmissions:
                self._pending[pending.update.name] = pending
        return [pending.update for pending in taken]
