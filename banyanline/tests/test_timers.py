from __future__ import annotations

import pytest

from banyanline.core.timers import NEVER, TimerHeap


@pytest.mark.parametrize(
    ("now", "due", "next_at"),
    [
        pytest.param(0.5, [], 1.0, id="before the first"),
        pytest.param(1.0, ["a", "b"], 2.0, id="ties in insertion order"),
        pytest.param(9.0, ["a", "b", "c"], NEVER, id="after the last"),
    ],
)
def test_items_are_yielded_when_due(now, due, next_at):
    timers: TimerHeap[str] = TimerHeap()
    for due_at, item in ((2.0, "c"), (1.0, "a"), (1.0, "b")):
        timers.add(due_at, item)
    assert (list(timers.due(now)), timers.next_at) == (due, next_at)
    assert len(timers) == 3 - len(due)


def test_item_added_while_reading_is_due_in_the_same_pass():
    timers: TimerHeap[int] = TimerHeap()
    timers.add(1.0, 1)
    yielded = []
    for item in timers.due(5.0):
        yielded.append(item)
        if item < 3:
            timers.add(2.0, item + 1)
    assert yielded == [1, 2, 3]
