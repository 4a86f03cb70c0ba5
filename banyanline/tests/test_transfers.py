from __future__ import annotations

import pytest
from aiocoap.message import Message
from aiocoap.numbers.codes import Code

from banyanline.core.messages import FlowKey, TransferKey
from banyanline.core.transfers import TRANSFER_IDLE_S, TransferTable, transfer_key

FLOW = FlowKey("sheets", "192.0.2.1", 40000)


def key(
    path: tuple[str, ...] = ("a",), query: tuple[str, ...] = (), flow: FlowKey = FLOW
) -> TransferKey:
    message = Message(code=Code.GET)
    message.opt.uri_path = path
    message.opt.uri_query = query
    return transfer_key(flow, message)


@pytest.mark.parametrize(
    "other",
    [
        pytest.param(key(path=("b",)), id="path"),
        pytest.param(key(query=("x=1",)), id="query"),
        pytest.param(key(flow=FLOW._replace(caller_port=1)), id="caller"),
        pytest.param(key(flow=FLOW._replace(service="orders")), id="service"),
    ],
)
def test_transfers_with_different_keys_are_independent(other):
    table = TransferTable(10)
    table.put(key(), "u", b"v1", 0.0)
    assert table.upstream_of(other, 0.0) is None
    assert table.version_of(other) is None


def test_restarted_transfer_has_the_new_upstream_and_version():
    table = TransferTable(10)
    table.put(key(), "u", b"v1", 0.0)
    table.put(key(), "w", b"v2", 1.0)
    assert (table.upstream_of(key(), 1.0), table.version_of(key())) == ("w", b"v2")


@pytest.mark.parametrize("is_dropped", [True, False], ids=["dropped", "idle"])
def test_version_is_removed_with_its_transfer(is_dropped):
    table = TransferTable(10)
    table.put(key(), "u", b"v1", 0.0)
    if is_dropped:
        table.drop(key())
    else:
        table.expire(TRANSFER_IDLE_S + 1.0)
    assert (len(table), table.version_of(key())) == (0, None)


def test_full_table_does_not_store_a_new_transfer():
    table = TransferTable(1)
    table.put(key(), "u", b"v1", 0.0)
    table.put(key(path=("b",)), "u", b"v1", 0.0)
    assert table.version_of(key(path=("b",))) is None
