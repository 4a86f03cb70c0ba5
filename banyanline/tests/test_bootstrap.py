from __future__ import annotations

import pytest

from banyanline.core.bootstrap import FOUNDING_S, SETTLING_S, Founding
from banyanline.core.membership import View
from banyanline.core.membership.messages import MemberStatus
from banyanline.core.membership.view import Member
from banyanline.core.types import Host

START_MS = 1_700_000_000_000
STARTED_AT = 100.0


def view(*others: tuple[str, int, MemberStatus]) -> View:
    members = {
        f"h{idx}": Member(Host(f"h{idx}", "a", group, "192.0.2.1", 1, 2), status, incarnation)
        for idx, (group, incarnation, status) in enumerate(others)
    }
    return View(1, members)


ALIVE, DEAD = MemberStatus.ALIVE, MemberStatus.DEAD
OLDER_MS = START_MS - 60_000


@pytest.mark.parametrize(
    ("others", "expected"),
    [
        pytest.param([], True, id="alone"),
        pytest.param([("g", START_MS - 2000, ALIVE)], True, id="started shortly before"),
        pytest.param([("g", OLDER_MS, ALIVE)], False, id="fleet already running"),
        pytest.param([("g", OLDER_MS, DEAD)], True, id="older host is dead"),
        pytest.param([("other", OLDER_MS, ALIVE)], True, id="older host in another group"),
        pytest.param([("g", 0, ALIVE)], True, id="listed host without contact"),
    ],
)
def test_initial_member_has_no_older_live_host(others, expected):
    founding = Founding("g", START_MS, STARTED_AT)
    assert founding.is_founder(view(*others), STARTED_AT) is expected


@pytest.mark.parametrize(
    ("is_founder", "after_s", "expected"),
    [
        pytest.param(True, FOUNDING_S - 0.1, False, id="initial member starting"),
        pytest.param(True, FOUNDING_S + 0.1, False, id="initial member bootstrapping"),
        pytest.param(True, FOUNDING_S + SETTLING_S, True, id="initial member bootstrapped"),
        pytest.param(False, FOUNDING_S - 0.1, False, id="joiner starting"),
        pytest.param(False, FOUNDING_S, True, id="joiner started"),
    ],
)
def test_process_may_decide_after_startup_and_bootstrap(is_founder, after_s, expected):
    founding = Founding("g", START_MS, STARTED_AT)
    known = view() if is_founder else view(("g", OLDER_MS, ALIVE))
    assert founding.may_decide(known, STARTED_AT + after_s) is expected


def test_result_at_the_end_of_the_startup_period_is_final():
    founding = Founding("g", START_MS, STARTED_AT)
    end = STARTED_AT + FOUNDING_S
    assert not founding.is_founder(view(("g", OLDER_MS, ALIVE)), end)
    assert not founding.is_founder(view(), end + 1.0)
