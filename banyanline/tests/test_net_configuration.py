from __future__ import annotations

import asyncio
from typing import Any, cast

import msgspec
import pytest

from banyanline.config import check_document, render_document
from banyanline.core.model import Configuration
from banyanline.core.types import Host
from banyanline.core.updates import ConfigurationUpdate, Delta, FullDocument
from banyanline.net.configuration import ConfigurationSync, FetchReply, FetchRequest
from banyanline.net.control import CallFailed, CallFailureReason
from banyanline.net.metrics import IoCounts
from examples import split

PEER = Host("north-1", "north", "g", "192.0.2.1", 7100, 7101)


def document(revision: int, slots: int = 2) -> bytes:
    parts = split.configuration(revision)
    parts["services"][0]["upstreams"][0]["slots"] = slots
    configuration = check_document(parts)
    assert isinstance(configuration, Configuration)
    return render_document(configuration)


class FakeClient:
    """Calls one peer in the same process and records its replies."""

    def __init__(self) -> None:
        self.peer: ConfigurationSync | None = None
        self.replies: list[ConfigurationUpdate] = []

    async def call(self, *arguments: Any) -> Any:
        if self.peer is None:
            return CallFailed(CallFailureReason.UNREACHABLE)
        request = msgspec.msgpack.decode(msgspec.msgpack.encode(arguments[2]), type=FetchRequest)
        reply = self.peer.handle_fetch(request)
        self.replies.append(reply.update)
        return msgspec.msgpack.decode(msgspec.msgpack.encode(reply), type=FetchReply)


class SyncHost:
    """A host with a configuration sync and a client that calls a peer directly."""

    def __init__(self) -> None:
        self.applied: list[Configuration] = []
        self.client = FakeClient()
        self.counts = IoCounts()
        self.sync = ConfigurationSync(
            cast("Any", None),
            "c",
            "h",
            cast("Any", self.client),
            self.counts,
            self.applied.append,
            lambda _hosts: None,
        )

    async def fetch(self, revision: int, peer: SyncHost) -> None:
        self.client.peer = peer.sync
        self.sync.fetch_if_newer(PEER, PEER.name, revision)
        await asyncio.sleep(0.01)


@pytest.mark.parametrize(
    ("offered", "reason"),
    [
        pytest.param(document(4), "older", id="older"),
        pytest.param(document(5, slots=3), "conflicting", id="conflicting"),
        pytest.param(b"{}", "invalid", id="invalid"),
    ],
)
def test_refused_document_is_counted_and_not_applied(offered, reason):
    node = SyncHost()
    assert node.sync.apply_document(document(5), "platform")
    assert not node.sync.apply_document(offered, "platform")
    assert not node.sync.apply_document(document(5), "platform")
    assert dict(node.counts.config_refusals) == {reason: 1}
    assert [configuration.revision for configuration in node.applied] == [5]


async def test_peer_gets_full_document_then_deltas():
    reader, other = SyncHost(), SyncHost()
    for revision, kind in ((5, FullDocument), (6, Delta), (7, Delta)):
        reader.sync.apply_document(document(revision, slots=revision), "platform")
        await other.fetch(revision, reader)
        assert isinstance(other.client.replies[-1], kind)
    assert other.applied == reader.applied
    assert len(msgspec.msgpack.encode(other.client.replies[-1])) < len(document(7)) / 2


async def test_peer_with_conflicting_content_fetches_full_document():
    reader, other = SyncHost(), SyncHost()
    other.sync.apply_document(document(5, slots=9), "platform")
    reader.sync.apply_document(document(5), "platform")
    conflicting = split.configuration(6)
    conflicting["services"] = conflicting["services"][:1]
    configuration = check_document(conflicting)
    assert isinstance(configuration, Configuration)
    reader.sync.apply_document(render_document(configuration), "platform")
    await other.fetch(6, reader)
    assert [type(reply) for reply in other.client.replies] == [Delta, FullDocument]
    assert other.applied[-1] == reader.applied[-1]
    assert dict(other.counts.config_refusals) == {"wrong_digest": 1}
