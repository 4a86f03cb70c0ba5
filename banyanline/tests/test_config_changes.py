from __future__ import annotations

from typing import Any, cast, get_args

import pytest

from banyanline.config import check_document, describe, diff
from banyanline.config.changes import Change
from banyanline.core.model import ColdStart, Configuration, DataCentre, PatienceWindow
from banyanline.core.types import DataCentreState, Endpoint, UpstreamState
from examples import split

OLD = cast("Configuration", check_document(split.configuration()))
POWER, SCHEDULE = OLD.services
CONTROLLERS, CREWS, DESK = OLD.caller_groups
OUT = DataCentre("split-jug", DataCentreState.OUT)


def with_power_service(**fields: Any) -> Configuration:
    return OLD._replace(services=(POWER._replace(**fields), SCHEDULE))


def with_first_upstream(**fields: Any) -> Configuration:
    first, *others = POWER.upstreams
    return with_power_service(upstreams=(first._replace(**fields), *others))


def with_controllers_group(**fields: Any) -> Configuration:
    return OLD._replace(caller_groups=(CONTROLLERS._replace(**fields), CREWS, DESK))


LEAVING = with_first_upstream(state=UpstreamState.LEAVING)
OUT_OF_SERVICE = OLD._replace(data_centres=(*OLD.data_centres[:2], OUT))
EVENING = PatienceWindow(18 * 60, 23 * 60, 4.0)
CASES = [
    pytest.param(OLD, OLD._replace(revision=9), id="revision alone"),
    pytest.param(OLD, OLD._replace(services=OLD.services[::-1]), id="order alone"),
    pytest.param(OLD, OUT_OF_SERVICE, id="data centre out"),
    pytest.param(OUT_OF_SERVICE, OLD, id="data centre in"),
    pytest.param(
        OLD,
        OLD._replace(data_centres=(*OLD.data_centres, DataCentre("split-otok"))),
        id="data centre added",
    ),
    pytest.param(
        OLD._replace(data_centres=(*OLD.data_centres, DataCentre("split-otok"))),
        OLD,
        id="data centre removed",
    ),
    pytest.param(OLD._replace(services=(POWER,)), OLD, id="service added"),
    pytest.param(OLD, OLD._replace(services=(POWER,)), id="service removed"),
    pytest.param(
        OLD,
        with_power_service(idle_timeout_s=60.0, cold_start=ColdStart(20.0, 1, 2.5)),
        id="service fields",
    ),
    pytest.param(with_power_service(upstreams=POWER.upstreams[1:]), OLD, id="upstream added"),
    pytest.param(OLD, LEAVING, id="upstream leaving"),
    pytest.param(LEAVING, OLD, id="upstream returned"),
    pytest.param(
        LEAVING, with_power_service(upstreams=POWER.upstreams[1:]), id="removed after leaving"
    ),
    pytest.param(OLD, with_power_service(upstreams=POWER.upstreams[1:]), id="removed at once"),
    pytest.param(OLD, with_first_upstream(slots=4, connections=100), id="limits"),
    pytest.param(
        OLD,
        with_first_upstream(endpoint=Endpoint("203.0.113.99", 5683), data_centre="split-jug"),
        id="upstream moved",
    ),
    pytest.param(OLD._replace(caller_groups=(CONTROLLERS, DESK)), OLD, id="group added"),
    pytest.param(OLD, OLD._replace(caller_groups=(CONTROLLERS, DESK)), id="group removed"),
    pytest.param(OLD, with_controllers_group(networks=("10.30.0.0/16",)), id="networks"),
    pytest.param(OLD, with_controllers_group(time_zone="Europe/Ljubljana"), id="time zone"),
    pytest.param(OLD, with_controllers_group(windows=(EVENING,)), id="night window dropped"),
    pytest.param(
        OLD, with_controllers_group(default_patience_s=12.0, windows=()), id="patience all through"
    ),
    pytest.param(
        with_controllers_group(windows=()),
        with_controllers_group(default_patience_s=12.0, windows=()),
        id="patience of the whole day",
    ),
]


@pytest.mark.parametrize(("old", "new"), CASES)
def test_changes_and_their_descriptions(old, new, snapshot):
    assert [describe(change) for change in diff(old, new)] == snapshot


def test_cases_cover_every_kind_of_change():
    found = {type(change) for case in CASES for change in diff(*cast("Any", case.values))}
    assert found == set(get_args(Change))
