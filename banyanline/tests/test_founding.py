from __future__ import annotations

import pytest

from banyanline.core.founding import FOUNDING_S, SETTLING_S, Founding
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
        pytest.param([("g", START_MS - 2000, ALIVE)], True, id="started moments before"),
        pytest.param([("g", OLDER_MS, ALIVE)], False, id="fleet was running"),
        pytest.param([("g", OLDER_MS, DEAD)], True, id="the older one is dead"),
        pytest.param([("other", OLDER_MS, ALIVE)], True, id="another group was running"),
        pytest.param([("g", 0, ALIVE)], True, id="only listed, not heard of"),
    ],
)
def test_founder_is_who_found_no_running_fleet(others, expected):
    founding = Founding("g", START_MS, STARTED_AT)
    assert founding.is_founder(view(*others), STARTED_AT) is expected


@pytest.mark.parametrize(
    ("is_founder", "after_s", "expected"),
    [
        pytest.param(True, FOUNDING_S - 0.1, False, id="founder starting"),
        pytest.param(True, FOUNDING_S + 0.1, False, id="founder settling"),
        pytest.param(True, FOUNDING_S + SETTLING_S, True, id="founder settled"),
        pytest.param(False, FOUNDING_S - 0.1, False, id="joiner starting"),
        pytest.param(False, FOUNDING_S, True, id="joiner started"),
    ],
)
def test_when_a_process_may_decide(is_founder, after_s, expected):
    founding = Founding("g", START_MS, STARTED_AT)
    seen = view() if is_founder else view(("g", OLDER_MS, ALIVE))
    assert founding.may_decide(seen, STARTED_AT + after_s) is expected


def test_answer_at_the_end_of_the_founding_time_stays():
    founding = Founding("g", START_MS, STARTED_AT)
    end = STARTED_AT + FOUNDING_S
    assert not founding.is_founder(view(("g", OLDER_MS, ALIVE)), end)
    assert not founding.is_founder(view(), end + 1.0)
