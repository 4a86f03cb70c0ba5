from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from banyanline.core.keys import Key, KeyRing
from banyanline.net import seal
from banyanline.net.seal import Opened, OpenResult, Purpose, Rejected, RejectionReason, Sealer

if TYPE_CHECKING:
    from collections.abc import Callable

OLD = Key("old", b"o" * 32)
NEW = Key("new", b"n" * 32)
NOW_S = 1_000_000.0


class Clock:
    def __init__(self, now_s: float = NOW_S) -> None:
        self.now_s = now_s

    def __call__(self) -> float:
        return self.now_s


def sealer(
    name: str = "north",
    keys: tuple[Key, ...] = (OLD,),
    now_s: float = NOW_S,
    max_senders: int = seal.MAX_SENDERS,
) -> Sealer:
    return Sealer(KeyRing(keys), name, Clock(now_s), max_senders=max_senders)


def reason_of(result: OpenResult) -> RejectionReason:
    assert isinstance(result, Rejected)
    return result.reason


def flip_bit(position: int) -> Callable[[bytes], bytes]:
    def change(frame: bytes) -> bytes:
        changed = bytearray(frame)
        changed[position] ^= 1
        return bytes(changed)

    return change


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        pytest.param(lambda frame: b"", RejectionReason.TRUNCATED, id="empty"),
        pytest.param(lambda frame: frame[:30], RejectionReason.TRUNCATED, id="header cut"),
        pytest.param(
            lambda frame: bytes((frame[0], 255)) + frame[2:-2],
            RejectionReason.TRUNCATED,
            id="name beyond the end",
        ),
        pytest.param(lambda frame: frame[:-1], RejectionReason.BAD_MAC, id="last byte cut"),
        pytest.param(lambda frame: frame + b"x", RejectionReason.BAD_MAC, id="byte added"),
        pytest.param(flip_bit(0), RejectionReason.UNKNOWN_VERSION, id="version"),
        pytest.param(flip_bit(2), RejectionReason.UNKNOWN_KEY, id="key tag"),
        pytest.param(flip_bit(6), RejectionReason.WRONG_RECEIVER, id="receiver tag"),
        pytest.param(flip_bit(10), RejectionReason.BAD_MAC, id="start"),
        pytest.param(flip_bit(25), RejectionReason.BAD_MAC, id="counter"),
        pytest.param(flip_bit(33), RejectionReason.BAD_MAC, id="time of sealing"),
        pytest.param(flip_bit(34), RejectionReason.BAD_MAC, id="sender"),
        pytest.param(flip_bit(-17), RejectionReason.BAD_MAC, id="payload"),
        pytest.param(flip_bit(-1), RejectionReason.BAD_MAC, id="mac"),
        pytest.param(
            lambda frame: frame + bytes(seal.MAX_FRAME_BYTES), RejectionReason.OVERSIZED, id="large"
        ),
    ],
)
def test_altered_frame_is_rejected_without_side_effects(change, expected):
    receiver = sealer("south")
    frame = sealer().seal("south", b"payload")
    assert reason_of(receiver.open(change(frame), NOW_S)) is expected
    assert receiver.senders == 0
    assert receiver.open(frame, NOW_S) == Opened("north", b"payload")


@pytest.mark.parametrize(
    ("sender_keys", "receiver_keys", "accepted"),
    [
        pytest.param((OLD,), (OLD, NEW), True, id="new key announced"),
        pytest.param((NEW, OLD), (OLD, NEW), True, id="sender signs with new key first"),
        pytest.param((OLD, NEW), (NEW, OLD), True, id="receiver signs with new key first"),
        pytest.param((OLD,), (NEW,), False, id="old key removed"),
        pytest.param((Key("old", b"s" * 32),), (OLD,), False, id="same identity, other secret"),
    ],
)
def test_key_rotation(sender_keys, receiver_keys, accepted):
    frame = sealer(keys=sender_keys).seal("south", b"payload")
    opened = sealer("south", receiver_keys).open(frame, NOW_S)
    assert isinstance(opened, Opened) is accepted


def test_key_replacement_loses_no_frames():
    sender, receiver = sealer(), sealer("south", (OLD, NEW))
    first = sender.seal("south", b"1")
    sender.set_keys(KeyRing((NEW, OLD)))
    second = sender.seal("south", b"2")
    assert receiver.open(second, NOW_S) == Opened("north", b"2")
    assert receiver.open(first, NOW_S) == Opened("north", b"1")
    assert reason_of(receiver.open(second, NOW_S)) is RejectionReason.REPLAYED


def test_frame_for_another_purpose_is_rejected():
    frame = sealer().seal("south", b"")
    receiver = Sealer(KeyRing((OLD,)), "south", Clock(), purpose=Purpose.CONTROL)
    assert reason_of(receiver.open(frame, NOW_S)) is RejectionReason.BAD_MAC


@pytest.mark.parametrize(
    ("order", "accepted"),
    [
        pytest.param([0, 1, 2], [0, 1, 2], id="in order"),
        pytest.param([2, 0, 1], [2, 0, 1], id="reordered"),
        pytest.param([0, 0, 1, 0, 1], [0, 1], id="duplicated"),
        pytest.param([4095, 0, 0], [4095, 0], id="oldest in window"),
        pytest.param([4096, 0, 1, 1], [4096, 1], id="just below window"),
        pytest.param([0, 9000, 0, 9000, 8999], [0, 9000, 8999], id="jump beyond window"),
    ],
)
def test_replay_window(order, accepted):
    sender, receiver = sealer(), sealer("south")
    frames = [sender.seal("south", str(number).encode()) for number in range(max(order) + 1)]
    results = [receiver.open(frames[number], NOW_S) for number in order]
    assert [int(result.payload) for result in results if isinstance(result, Opened)] == accepted


@pytest.mark.parametrize(
    ("sealed_s", "started_s", "opened_s", "expected"),
    [
        pytest.param(0, -100, 29, None, id="fresh"),
        pytest.param(0, -100, 31, RejectionReason.STALE, id="too old"),
        pytest.param(31, -100, 0, RejectionReason.STALE, id="sealed in the future"),
        pytest.param(0, 1, 2, None, id="before the receiver's start, within skew"),
        pytest.param(0, 5, 6, RejectionReason.STALE, id="before the receiver's start"),
    ],
)
def test_freshness(sealed_s, started_s, opened_s, expected):
    sender = sealer(now_s=NOW_S + sealed_s)
    receiver = sealer("south", now_s=NOW_S + started_s)
    result = receiver.open(sender.seal("south", b""), NOW_S + opened_s)
    assert result == (Opened("north", b"") if expected is None else Rejected(expected))


def test_restarted_sender_is_accepted_and_its_old_frames_are_replays():
    receiver = sealer("south")
    old_process = sealer(now_s=NOW_S)
    old_frames = [old_process.seal("south", b"former") for _ in range(3)]
    assert isinstance(receiver.open(old_frames[0], NOW_S), Opened)
    restarted = sealer(now_s=NOW_S + 1)
    assert isinstance(receiver.open(restarted.seal("south", b"now"), NOW_S + 1), Opened)
    assert reason_of(receiver.open(old_frames[1], NOW_S + 1)) is RejectionReason.REPLAYED


def test_sender_with_clock_set_back_is_accepted_once_its_old_frames_are_stale():
    receiver = sealer("south", now_s=NOW_S - 100)
    assert isinstance(receiver.open(sealer(now_s=NOW_S + 20).seal("south", b""), NOW_S), Opened)
    sender = sealer(now_s=NOW_S)
    assert reason_of(receiver.open(sender.seal("south", b""), NOW_S)) is RejectionReason.REPLAYED
    sender._wall_clock = Clock(NOW_S + 81)
    assert isinstance(receiver.open(sender.seal("south", b""), NOW_S + 81), Opened)


def test_senders_are_bounded_and_removed_only_when_their_frames_are_stale():
    receiver = sealer("south", max_senders=2)
    first = sealer("a").seal("south", b"")
    receiver.open(first, NOW_S)
    receiver.open(sealer("b").seal("south", b""), NOW_S)
    third = sealer("c")
    refused = receiver.open(third.seal("south", b""), NOW_S)
    assert reason_of(refused) is RejectionReason.TOO_MANY_SENDERS
    later_s = NOW_S + 61
    third._wall_clock = Clock(later_s)
    assert isinstance(receiver.open(third.seal("south", b""), later_s), Opened)
    assert receiver.senders == 1
    assert reason_of(receiver.open(first, later_s)) is RejectionReason.STALE


def test_counters_do_not_repeat_when_receivers_are_removed(monkeypatch):
    monkeypatch.setattr(seal, "MAX_RECEIVERS", 2)
    sender, receiver = sealer(), sealer("south")
    for other in ("a", "b", "c", "d"):
        assert isinstance(receiver.open(sender.seal("south", b""), NOW_S), Opened)
        sender.seal(other, b"")
