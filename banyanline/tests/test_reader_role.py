from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from banyanline.net.balancer import Balancer


@pytest.mark.parametrize(
    ("revision", "is_chosen", "is_stopping", "expected"),
    [
        pytest.param(0, False, False, True, id="no configuration yet"),
        pytest.param(3, False, False, False, id="configured, not selected"),
        pytest.param(3, True, False, True, id="configured, selected"),
        pytest.param(0, False, True, False, id="stopping"),
    ],
)
def test_host_without_configuration_watches_the_platform(
    revision, is_chosen, is_stopping, expected
):
    calls: list[bool] = []
    name = "north-1"
    balancer: Any = SimpleNamespace(
        _settings=SimpleNamespace(
            host=SimpleNamespace(name=name, data_centre="north"),
            platform=SimpleNamespace(readers_per_data_centre=1),
        ),
        _node=SimpleNamespace(
            revision=revision,
            membership=SimpleNamespace(
                view=SimpleNamespace(owners=lambda _: (name,) if is_chosen else ("north-2",))
            ),
            context=SimpleNamespace(stopping=is_stopping),
        ),
        _sync=SimpleNamespace(set_reader=calls.append),
    )
    Balancer._update_reader(balancer)
    assert calls == [expected]
