from __future__ import annotations

import pytest

from banyanline.core.directory import Directory
from banyanline.core.model import Configuration, DataCentre, Service, Upstream
from banyanline.core.types import DataCentreState, Endpoint, Protocol, UpstreamState

IN, OUT = DataCentreState.IN_SERVICE, DataCentreState.OUT
OPEN, LEAVING = UpstreamState.IN_SERVICE, UpstreamState.LEAVING


def directory(data_centres: tuple[DataCentre, ...], state: UpstreamState) -> Directory:
    endpoint = Endpoint("203.0.113.1", 5683)
    upstream = Upstream("u", "orders", "north", endpoint, state)
    service = Service("orders", endpoint, 5683, Protocol.COAP, (upstream,))
    return Directory(Configuration(3, data_centres, (), (service,)))


@pytest.mark.parametrize(
    ("data_centres", "state", "is_reachable", "is_open"),
    [
        pytest.param((DataCentre("north", IN),), OPEN, True, True, id="in service"),
        pytest.param((DataCentre("north", IN),), LEAVING, True, False, id="leaving"),
        pytest.param((DataCentre("north", OUT),), OPEN, False, False, id="data centre out"),
        pytest.param((DataCentre("south", IN),), OPEN, False, False, id="data centre unknown"),
    ],
)
def test_upstreams_by_state(data_centres, state, is_reachable, is_open):
    built = directory(data_centres, state)
    assert ("u" in built.reachable) is is_reachable
    assert bool(built.available_upstreams("orders")) is is_open
    assert built.upstream("u") is not None
    assert built.available_upstreams("other") == ()
