from __future__ import annotations

import pytest

from banyanline.core.model import Configuration, DataCentre
from banyanline.core.types import DataCentreState


@pytest.mark.parametrize(
    ("name", "expected"),
    [
        pytest.param("north", True, id="in service"),
        pytest.param("south", False, id="out"),
        pytest.param("west", False, id="not configured"),
    ],
)
def test_data_centre_in_service(name, expected):
    configuration = Configuration(
        revision=1,
        data_centres=(DataCentre("north"), DataCentre("south", DataCentreState.OUT)),
        caller_groups=(),
        services=(),
    )
    assert configuration.is_data_centre_in_service(name) is expected
