from __future__ import annotations

import pytest

from banyanline.core.choice import UpstreamChoice, candidate_order, rendezvous_choice
from banyanline.core.gate import LoadSnapshot

NAMES = [f"orders-{number}" for number in range(1, 8)]
FLOWS = range(300)


def load_snapshot(
    in_flight: int = 0, slots: int = 2, service_ms: int = 50, sequence: int = 1
) -> LoadSnapshot:
    waiting = max(0, in_flight - slots)
    return LoadSnapshot(in_flight, waiting, slots, waiting * 50, service_ms, slots < 2, sequence)


def count(choice: UpstreamChoice, name: str, now: float) -> int:
    """Count the flows for which ``name`` is chosen."""
    return sum(choice.choose(flow, now) == name for flow in FLOWS)


@pytest.mark.parametrize(
    ("reported", "expected"),
    [
        pytest.param(load_snapshot(in_flight=2), range(1), id="busy"),
        pytest.param(load_snapshot(in_flight=1, slots=1), range(1), id="in slow start and busy"),
        pytest.param(load_snapshot(slots=0), range(1), id="no slots"),
        pytest.param(load_snapshot(service_ms=150), range(1), id="slow"),
        pytest.param(load_snapshot(service_ms=10), range(60, 110), id="fast"),
        pytest.param(load_snapshot(), range(25, 60), id="like the others"),
    ],
)
def test_share_of_an_upstream_follows_its_load_snapshot(reported, expected):
    choice = UpstreamChoice(NAMES)
    for name in NAMES:
        choice.observe(name, "owner", reported if name == "orders-1" else load_snapshot(), 0.0)
    assert count(choice, "orders-1", 0.0) in expected


def test_old_load_snapshot_decays_so_that_the_upstream_is_chosen_again():
    choice = UpstreamChoice(NAMES)
    for name in NAMES:
        choice.observe(
            name, "owner", load_snapshot(slots=0) if name == "orders-1" else load_snapshot(), 0.0
        )
    assert count(choice, "orders-1", 0.1) == 0
    for name in NAMES[1:]:
        choice.observe(name, "owner", load_snapshot(sequence=2), 60.0)
    assert count(choice, "orders-1", 60.0) > 0


@pytest.mark.parametrize(
    ("owner", "sequence", "expected"),
    [
        pytest.param("owner", 3, True, id="next"),
        pytest.param("owner", 2, False, id="duplicate"),
        pytest.param("owner", 1, False, id="out of order"),
        pytest.param("next owner", 1, True, id="first of another owner"),
    ],
)
def test_stale_load_snapshots_are_ignored(owner, sequence, expected):
    choice = UpstreamChoice(NAMES)
    choice.observe("orders-1", "owner", load_snapshot(sequence=2), 0.0)
    assert choice.observe("orders-1", owner, load_snapshot(sequence=sequence), 0.1) is expected


def test_local_and_excluded_upstreams_are_avoided():
    choice = UpstreamChoice(NAMES)
    first = choice.choose(7, 0.0)
    assert first == rendezvous_choice(7, NAMES) == candidate_order(7, NAMES)[0]
    assert choice.choose(7, 0.0, is_local=lambda name: name == first) != first
    assert choice.choose(7, 0.0, excluded={first}) != first
    assert choice.choose(7, 0.0, is_local=lambda name: True) == first
    assert choice.choose(7, 0.0, excluded=set(NAMES)) is None


def test_own_dispatches_count_until_the_next_load_snapshot():
    choice = UpstreamChoice(NAMES)
    choice.observe("orders-1", "owner", load_snapshot(), 0.0)
    assert choice.has_free_slot("orders-1", 0.1)
    choice.record_dispatch("orders-1")
    choice.record_dispatch("orders-1")
    assert not choice.has_free_slot("orders-1", 0.1)
    choice.observe("orders-1", "owner", load_snapshot(sequence=2), 0.2)
    assert choice.has_free_slot("orders-1", 0.2)


def test_removed_upstream_no_longer_counts_in_the_mean_of_the_others():
    choice = UpstreamChoice(NAMES)
    choice.observe("orders-1", "owner", load_snapshot(service_ms=900), 0.0)
    choice.observe("orders-2", "owner", load_snapshot(service_ms=20), 0.0)
    before = choice.score_ms("orders-3", 0.0)
    choice.set_upstreams(NAMES[1:])
    assert choice.score_ms("orders-3", 0.0) < before / 10
