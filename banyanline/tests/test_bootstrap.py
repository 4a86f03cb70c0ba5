from __future__ import annotations

import pytest

from banyanline.core.bootstrap import BOOTSTRAP_SETTLE_S, STARTUP_PERIOD_S, Bootstrap
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
    bootstrap = Bootstrap("g", START_MS, STARTED_AT)
    assert bootstrap.is_initial_member(view(*others), STARTED_AT) is expected


@pytest.mark.parametrize(
    ("is_initial_member", "after_s", "expected"),
    [
        pytest.param(True, STARTUP_PERIOD_S - 0.1, False, id="initial member starting"),
        pytest.param(True, STARTUP_PERIOD_S + 0.1, False, id="initial member bootstrapping"),
        pytest.param(
            True, STARTUP_PERIOD_S + BOOTSTRAP_SETTLE_S, True, id="initial member bootstrapped"
        ),
        pytest.param(False, STARTUP_PERIOD_S - 0.1, False, id="joiner starting"),
        pytest.param(False, STARTUP_PERIOD_S, True, id="joiner started"),
    ],
)
def test_process_may_decide_after_startup_and_bootstrap(is_initial_member, after_s, expected):
    bootstrap = Bootstrap("g", START_MS, STARTED_AT)
    known = view() if is_initial_member else view(("g", OLDER_MS, ALIVE))
    assert bootstrap.may_decide(known, STARTED_AT + after_s) is expected


def test_result_at_the_end_of_the_startup_period_is_final():
    bootstrap = Bootstrap("g", START_MS, STARTED_AT)
    end = STARTED_AT + STARTUP_PERIOD_S
    assert not bootstrap.is_initial_member(view(("g", OLDER_MS, ALIVE)), end)
    assert not bootstrap.is_initial_member(view(), end + 1.0)
