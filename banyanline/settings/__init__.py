"""Settings of one balancer, read from an INI file and validated against the option table."""

from __future__ import annotations

from banyanline.settings.errors import SettingsError
from banyanline.settings.keys import KeyFileError, parse_keys
from banyanline.settings.load import load_settings
from banyanline.settings.model import (
    BalancerSettings,
    Delivery,
    FabricSettings,
    HostSettings,
    KeySettings,
    LimitSettings,
    LogSettings,
    MembershipSettings,
    PlatformSettings,
    RetrySettings,
    StopSettings,
)

__all__ = [
    # Reading
    "load_settings",
    "parse_keys",
    # Values
    "BalancerSettings",
    "Delivery",
    "FabricSettings",
    "HostSettings",
    "KeySettings",
    "LimitSettings",
    "LogSettings",
    "MembershipSettings",
    "PlatformSettings",
    "RetrySettings",
    "StopSettings",
    # Errors
    "KeyFileError",
    "SettingsError",
]
