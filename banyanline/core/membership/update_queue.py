"""Updates that ride on probes, each a bounded number of times."""

from __future__ import annotations

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
    """The last claim for each host, sent least often first (SWIM, section 4.1)."""

    def __init__(self) -> None:
        self._pending: dict[HostName, _Pending] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def put(self, update: MemberUpdate) -> None:
        """Queue ``update`` in place of any earlier claim about the same host."""
        self._pending[update.name] = _Pending(update, encoded_bytes(update))

    def drop(self, name: HostName) -> None:
        """Forget the claim about ``name``."""
        self._pending.pop(name, None)

    def take(self, budget_bytes: int, max_transmissions: int) -> list[MemberUpdate]:
        """Return updates of at most ``budget_bytes`` and count them as sent once more.

        An update that was sent ``max_transmissions`` times is dropped.
        """
        taken: list[MemberUpdate] = []
        for pending in sorted(self._pending.values(), key=lambda entry: entry.transmissions):
            if pending.size > budget_bytes:
                continue
            budget_bytes -= pending.size
            taken.append(pending.update)
            pending.transmissions += 1
            if pending.transmissions >= max_transmissions:
                del self._pending[pending.update.name]
        return taken
