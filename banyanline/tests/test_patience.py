from __future__ import annotations

import datetime as dt

import pytest

from banyanline.core.model import CallerGroup, PatienceWindow
from banyanline.core.patience import PatienceTable

MINUTES_PER_DAY = 24 * 60
CALLER = "192.0.2.7"


def group(
    *windows: tuple[str, str],
    time_zone: str = "Europe/Zagreb",
    name: str = "field",
    networks: tuple[str, ...] = ("192.0.2.0/24",),
) -> CallerGroup:
    minutes = [[int(text[:2]) * 60 + int(text[3:]) for text in window] for window in windows]
    typed = tuple(PatienceWindow(start, end, patience_s=2.0) for start, end in minutes)
    return CallerGroup(name, networks, time_zone, typed, default_patience_s=9.0)


def utc_s(text: str) -> float:
    return dt.datetime.fromisoformat(text).replace(tzinfo=dt.UTC).timestamp()


@pytest.mark.parametrize(
    ("time_utc", "expected"),
    [
        pytest.param("2026-12-04 20:59:59", 9.0, id="before the window"),
        pytest.param("2026-12-04 21:00:00", 2.0, id="start included"),
        pytest.param("2026-12-04 23:30:00", 2.0, id="past midnight"),
        pytest.param("2026-12-05 04:59:59", 2.0, id="last second"),
        pytest.param("2026-12-05 05:00:00", 9.0, id="end excluded"),
        pytest.param("2026-07-04 20:00:00", 2.0, id="start in summer"),
        pytest.param("2026-07-05 04:00:00", 9.0, id="end in summer"),
    ],
)
def test_window_across_midnight(time_utc, expected):
    table = PatienceTable([group(("22:00", "06:00"))])
    assert table.patience_s(CALLER, utc_s(time_utc)) == expected


@pytest.mark.parametrize(
    ("time_zone", "noon_utc", "window", "minutes"),
    [
        pytest.param("Europe/Zagreb", "2026-12-03 12:00", ("22:00", "06:00"), 480, id="24 h day"),
        pytest.param("Europe/Zagreb", "2026-03-28 12:00", ("22:00", "06:00"), 420, id="23 h day"),
        pytest.param("Europe/Zagreb", "2026-10-24 12:00", ("22:00", "06:00"), 540, id="25 h day"),
        pytest.param("Europe/Zagreb", "2026-03-28 12:00", ("02:00", "03:00"), 0, id="skipped hour"),
        pytest.param(
            "Europe/Zagreb", "2026-03-28 12:00", ("02:30", "03:30"), 30, id="half skipped"
        ),
        pytest.param(
            "Europe/Zagreb", "2026-10-24 12:00", ("02:00", "03:00"), 120, id="repeated hour"
        ),
        pytest.param(
            "Europe/Zagreb", "2026-10-24 12:00", ("02:30", "03:30"), 90, id="half repeated"
        ),
        pytest.param(
            "Australia/Lord_Howe", "2026-10-03 02:00", ("01:00", "03:00"), 90, id="half hour shift"
        ),
    ],
)
def test_window_length_across_daylight_saving_changes(time_zone, noon_utc, window, minutes):
    table = PatienceTable([group(window, time_zone=time_zone)])
    start_s = utc_s(noon_utc)
    actual = [table.patience_s(CALLER, start_s + 60 * minute) for minute in range(MINUTES_PER_DAY)]
    assert actual.count(2.0) == minutes


@pytest.mark.parametrize(
    ("caller_ip", "expected"),
    [
        pytest.param("10.1.2.3", "host", id="longest prefix"),
        pytest.param("10.1.2.4", "street", id="middle prefix"),
        pytest.param("10.9.9.9", "all", id="shortest prefix"),
        pytest.param("192.0.2.1", None, id="no group"),
    ],
)
def test_most_specific_network_wins(caller_ip, expected):
    groups = [
        group(name="all", networks=("10.0.0.0/8",)),
        group(name="host", networks=("10.1.2.3/32",)),
        group(name="street", networks=("172.16.0.0/12", "10.1.0.0/16")),
    ]
    assert PatienceTable(groups).group_of(caller_ip) == expected


def test_default_patience_and_network_of_all_addresses():
    assert PatienceTable([], 7.0).patience_s(CALLER, 0.0) == 7.0
    everywhere = group(networks=("0.0.0.0/0",))
    assert PatienceTable([everywhere]).patience_s("203.0.113.1", 0.0) == 9.0


def test_unknown_time_zone_follows_utc():
    table = PatienceTable([group(("22:00", "06:00"), time_zone="Europe/Split")])
    assert table.unknown_time_zones == {"Europe/Split"}
    assert table.patience_s(CALLER, utc_s("2026-07-04 21:59")) == 9.0
    assert table.patience_s(CALLER, utc_s("2026-07-04 22:00")) == 2.0
