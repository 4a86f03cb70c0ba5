from __future__ import annotations

import random

import pytest

from banyanline.core.gate import Work
from banyanline.core.messages import RequestKey, StreamKey
from banyanline.core.owner.exchanges import MESSAGE_ID_SPACE, Exchange, Exchanges, PendingWork

KEY = RequestKey("orders", "192.0.2.1", 40000, 7, b"t")
OTHER = KEY._replace(message_id=8)
STREAM = StreamKey(*KEY[:3], b"t")


def start(exchanges: Exchanges, key: RequestKey = KEY, stream: StreamKey | None = None) -> Exchange:
    work = Work(key, 10.0, idempotent=False, is_stream=stream is not None)
    return exchanges.start(PendingWork(work, b"request", stream), key)


def make_exchanges() -> Exchanges:
    return Exchanges(random.Random(1))


def test_tokens_and_message_ids_are_not_used_twice():
    exchanges = make_exchanges()
    started = [start(exchanges, KEY._replace(message_id=n)) for n in range(500)]
    assert len({exchange.token for exchange in started}) == 500
    assert len({exchange.message_id for exchange in started}) == 500


def test_message_ids_wrap():
    exchanges = make_exchanges()
    ids = {exchanges.next_message_id() for _ in range(MESSAGE_ID_SPACE)}
    assert ids == set(range(MESSAGE_ID_SPACE))


def test_response_to_an_ended_exchange_matches_none():
    exchanges = make_exchanges()
    ended, running = start(exchanges), start(exchanges, OTHER)
    exchanges.end(ended)
    assert exchanges.by_token(ended.token) is None
    assert exchanges.by_message_id(ended.message_id) is None
    assert exchanges.by_token(running.token) is running
    assert (len(exchanges), exchanges.by_key(OTHER)) == (1, running)


def test_ending_an_earlier_exchange_keeps_a_later_one_of_the_same_key():
    exchanges = make_exchanges()
    earlier, later = start(exchanges), start(exchanges)
    exchanges.end(earlier)
    assert exchanges.by_key(KEY) is later


@pytest.mark.parametrize(
    ("other", "is_same"),
    [
        pytest.param(STREAM, True, id="registered again"),
        pytest.param(STREAM._replace(token=b"u"), False, id="another stream"),
        pytest.param(None, False, id="no stream"),
    ],
)
def test_stream_registered_again_keeps_its_token(other, is_same):
    exchanges = make_exchanges()
    first = start(exchanges, stream=STREAM)
    exchanges.end(first)
    exchanges.open_stream(first, STREAM)
    second = start(exchanges, OTHER, other)
    assert (second.token == first.token) is is_same
    if other is not None:
        earlier = exchanges.open_stream(second, other)
        assert (earlier is not None and earlier.connection == KEY) is is_same


def test_closed_stream_is_removed():
    exchanges = make_exchanges()
    first = start(exchanges, stream=STREAM)
    exchanges.open_stream(first, STREAM)
    stream = exchanges.stream(STREAM, KEY.message_id)
    assert stream is not None
    exchanges.close_stream(stream)
    assert exchanges.stream(STREAM, KEY.message_id) is None
    assert exchanges.streams == {}
