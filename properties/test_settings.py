from __future__ import annotations

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from banyanline.core.keys import KeyRing
from banyanline.settings import (
    BalancerSettings,
    KeyFileError,
    SettingsError,
    load_settings,
    parse_keys,
)
from banyanline.settings.example import render_example
from banyanline.settings.options import OPTIONS

profile = settings(
    max_examples=100,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
EXAMPLE = render_example()
VALUES = st.text(max_size=12) | st.sampled_from(["1e9", "0x10", "-1", "1.", "192.0.2.1:0", "%(x)s"])


@pytest.fixture
def path(tmp_path):
    return tmp_path / "balancer.ini"


@profile
@given(data=st.binary(max_size=300))
def test_random_file_content_never_raises(path, data):
    path.write_bytes(data)
    error = load_settings(str(path))
    assert isinstance(error, SettingsError)
    assert len(str(error).splitlines()) == 1


@profile
@given(start=st.integers(0, len(EXAMPLE)), length=st.integers(0, 20), text=st.text(max_size=20))
def test_mutated_example_never_raises(path, start, length, text):
    mutated_example = EXAMPLE[:start] + text + EXAMPLE[start + length :]
    path.write_text(mutated_example, encoding="utf-8", errors="replace")
    assert isinstance(load_settings(str(path)), BalancerSettings | SettingsError)


@profile
@given(option=st.sampled_from(OPTIONS), value=VALUES)
def test_override_never_raises(path, option, value):
    path.write_text(EXAMPLE, encoding="utf-8")
    result = load_settings(str(path), [f"{option.section}.{option.key}={value}"])
    if isinstance(result, SettingsError):
        assert (result.section, result.key) == (option.section, option.key)
        assert len(str(result).splitlines()) == 1


KEY_LINES = st.lists(
    st.tuples(st.sampled_from("abc"), st.sampled_from([0, 15, 16, 64, 65])).map(
        lambda pair: f"{pair[0]} {'0f' * pair[1]}"
    ),
    max_size=9,
).map("\n".join)


@profile
@given(st.text(max_size=100) | KEY_LINES)
def test_key_file_never_raises(text):
    result = parse_keys(text)
    assert isinstance(result, KeyRing | KeyFileError)
    if isinstance(result, KeyRing):
        assert all(16 <= len(key.secret) <= 64 for key in result.keys)
