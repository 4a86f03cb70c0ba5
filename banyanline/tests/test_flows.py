from __future__ import annotations

import pytest

from banyanline.core.flows import FlowTable, Opened, TableFull


@pytest.mark.parametrize(
    ("uses", "at", "closed"),
    [
        pytest.param([], 29, [], id="within the idle timeout"),
        pytest.param([], 31, ["f"], id="idle"),
        pytest.param([20], 49, [], id="traffic in between"),
        pytest.param([20], 51, ["f"], id="idle after traffic"),
        pytest.param([10, 20, 30, 40], 69, [], id="steady traffic"),
    ],
)
def test_flow_expires_after_its_idle_timeout(uses, at, closed):
    table: FlowTable[str] = FlowTable(limit=10, idle_timeout_s=30.0)
    table.open("f", "u", 0.0)
    expired: list[str] = []
    for second in range(at + 1):
        if second in uses:
            table.use("f", float(second))
        expired += table.expire(float(second))
    assert expired == closed
    assert ("f" in table) is not bool(closed)


@pytest.mark.parametrize(
    ("timeouts", "closed"),
    [
        pytest.param({"f": 10.0, "g": 20.0}, {10: ["f"], 20: ["g"]}, id="one per flow"),
        pytest.param({"f": 10.0, "g": 99.0}, {10: ["f"], 30: ["g"]}, id="capped by the table"),
        pytest.param({"f": 10.0, "g": float("inf")}, {10: ["f"], 30: ["g"]}, id="no limit"),
    ],
)
def test_flows_expire_after_their_own_timeout(timeouts, closed):
    table: FlowTable[str] = FlowTable(10, 30.0, lambda key: timeouts[key])
    table.open("f", "u", 0.0)
    table.open("g", "u", 0.0)
    expired = {second: list(table.expire(float(second))) for second in range(40)}
    assert {second: keys for second, keys in expired.items() if keys} == closed


def test_extended_timeout_applies_to_an_open_flow():
    timeouts = {"f": 10.0}
    table: FlowTable[str] = FlowTable(10, 30.0, lambda key: timeouts[key])
    table.open("f", "u", 0.0)
    timeouts["f"] = 20.0
    assert list(table.expire(15.0)) == []
    assert list(table.expire(21.0)) == ["f"]


def test_full_table_rejects_new_flows_and_keeps_open_ones():
    table: FlowTable[str] = FlowTable(limit=1, idle_timeout_s=30.0)
    table.open("f", "u", 0.0)
    assert table.open("g", "u", 0.0) == TableFull(1)
    assert isinstance(table.open("f", "v", 1.0), Opened)
    flow = table.get("f")
    assert flow is not None
    assert (flow.upstream, "g" in table) == ("v", False)


def test_reopened_flow_is_not_expired_by_its_stale_bucket_entry():
    table: FlowTable[str] = FlowTable(limit=10, idle_timeout_s=30.0)
    table.open("f", "u", 0.0)
    table.close("f")
    table.open("f", "v", 20.0)
    assert list(table.expire(35.0)) == []
    assert list(table.expire(50.0)) == ["f"]


def test_get_does_not_count_as_traffic():
    table: FlowTable[str] = FlowTable(limit=10, idle_timeout_s=30.0)
    table.open("f", "u", 0.0)
    table.get("f")
    assert list(table.expire(31.0)) == ["f"]
