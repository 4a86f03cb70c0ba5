from __future__ import annotations

import datetime as dt
import ipaddress
import zoneinfo

from hypothesis import given, settings
from hypothesis import strategies as st

from banyanline.config.difference import patience_by_minute
from banyanline.core.model import CallerGroup, PatienceWindow
from banyanline.core.patience import PatienceTable

SETTINGS = settings(max_examples=100, deadline=None, derandomize=True)
ZONES = ("Europe/Zagreb", "Australia/Lord_Howe", "Asia/Kathmandu", "America/St_Johns", "UTC")
ADDRESSES = st.integers(0, 2**32 - 1).map(lambda number: str(ipaddress.IPv4Address(number)))
MINUTE = st.integers(0, 1439)


@st.composite
def windows(draw):
    """Return windows that do not overlap, the last of which may cross midnight."""
    edges = sorted(draw(st.sets(MINUTE, min_size=2, max_size=6)))
    pairs = list(zip(edges, [*edges[1:], edges[0]], strict=True))[::2]
    return tuple(PatienceWindow(start, end, draw(st.floats(0.1, 45))) for start, end in pairs)


@SETTINGS
@given(windows(), st.sampled_from(ZONES), st.integers(1_600_000_000, 2_000_000_000))
def test_patience_follows_the_wall_clock(group_windows, zone, utc_s):
    group = CallerGroup("field", ("0.0.0.0/0",), zone, group_windows)
    local = dt.datetime.fromtimestamp(utc_s, zoneinfo.ZoneInfo(zone))
    expected = patience_by_minute(group)[local.hour * 60 + local.minute]
    assert PatienceTable([group]).patience_s("192.0.2.1", utc_s) == expected


@SETTINGS
@given(st.sets(st.tuples(ADDRESSES, st.integers(0, 32)), max_size=8), ADDRESSES, st.data())
def test_longest_prefix_wins(networks, caller_ip, data):
    nets = sorted({ipaddress.ip_network(f"{ip}/{length}", strict=False) for ip, length in networks})
    if nets and data.draw(st.booleans()):
        caller_ip = str(data.draw(st.sampled_from(nets))[0])
    groups = [CallerGroup(str(net), (str(net),), "UTC", ()) for net in nets]
    matches = [net for net in nets if ipaddress.ip_address(caller_ip) in net]
    expected = str(max(matches, key=lambda net: net.prefixlen)) if matches else None
    assert PatienceTable(groups).group_of(caller_ip) == expected
