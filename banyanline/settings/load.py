"""Loading of settings from an INI file and command-line overrides."""

from __future__ import annotations

import configparser
import difflib
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

from banyanline.settings import model
from banyanline.settings.errors import SettingsError
from banyanline.settings.options import OPTIONS

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from banyanline.settings.options import Option

OVERRIDE_SOURCE = "--set"
_NO_DEFAULT_SECTION = "\0"
"""Stands in for ``DEFAULT``, so that a section of that name is rejected as unknown."""

_OPTIONS_BY_KEY = {(option.section, option.key): option for option in OPTIONS}
_KEYS_BY_SECTION = {
    section: [option.key for option in OPTIONS if option.section == section]
    for section in dict.fromkeys(option.section for option in OPTIONS)
}


class _RawValue(NamedTuple):
    """The unparsed text of one option, and the file or flag that it came from."""

    source: str
    value: str


_RawValues = dict[tuple[str, str], _RawValue]


def _describe_accepted_names(got: str, names: Iterable[str], kind: str) -> str:
    names = list(names)
    close = difflib.get_close_matches(got, names, n=1)
    hint = f"; did you mean {close[0]}?" if close else ""
    return f"{kind} {', '.join(names)}{hint}"


def _unknown_name_error(source: str, section: str, key: str) -> SettingsError | None:
    """Return an error if there is no such section, or no such key in it."""
    keys = _KEYS_BY_SECTION.get(section)
    if keys is None:
        accepted = _describe_accepted_names(section, _KEYS_BY_SECTION, "one of the sections")
        return SettingsError(source, section, "", section, accepted)
    if key and key not in keys:
        accepted = _describe_accepted_names(key, keys, "one of the keys")
        return SettingsError(source, section, key, key, accepted)
    return None


def _read_file(path: str) -> _RawValues | SettingsError:
    parser = configparser.ConfigParser(
        interpolation=None,
        delimiters=("=",),
        default_section=_NO_DEFAULT_SECTION,
        empty_lines_in_values=False,
    )
    try:
        parser.read_string(Path(path).read_text(encoding="utf-8"), source=path)
    except OSError as error:
        return SettingsError(path, "", "", error.strerror, "a readable file")
    except UnicodeDecodeError:
        return SettingsError(path, "", "", "bytes that are not UTF-8", "a text file in UTF-8")
    except configparser.Error as error:
        got = " ".join(error.message.split())
        return SettingsError(path, "", "", got, "an INI file with each key once")
    raw_values: _RawValues = {}
    for section in parser.sections():
        for key in ["", *parser[section]]:
            if error_found := _unknown_name_error(path, section, key):
                return error_found
        for key, value in parser[section].items():
            raw_values[section, key] = _RawValue(path, value)
    return raw_values


def _read_overrides(overrides: Iterable[str]) -> _RawValues | SettingsError:
    raw_values: _RawValues = {}
    for override in overrides:
        name, equals, value = override.partition("=")
        section, dot, key = name.strip().partition(".")
        if not equals or not dot or not key:
            return SettingsError(OVERRIDE_SOURCE, "", "", override, "section.key=value")
        if error := _unknown_name_error(OVERRIDE_SOURCE, section, key):
            return error
        raw_values[section, key] = _RawValue(OVERRIDE_SOURCE, value.strip())
    return raw_values


def _parse_option(
    option: Option, raw_value: _RawValue | None, source: str
) -> object | SettingsError:
    validator = option.validator
    value = raw_value.value if raw_value else option.default
    if value is None:
        return SettingsError(source, option.section, option.key, None, validator.accepted)
    parsed = validator.parse(value)
    if parsed is None:
        value_source = raw_value.source if raw_value else source
        return SettingsError(value_source, option.section, option.key, value, validator.accepted)
    return parsed


def _build(values: Mapping[str, dict[str, Any]]) -> model.BalancerSettings:
    return model.BalancerSettings(
        host=model.HostSettings(**values["host"]),
        fabric=model.FabricSettings(**values["fabric"]),
        platform=model.PlatformSettings(**values["platform"]),
        keys=model.KeySettings(**values["keys"]),
        limits=model.LimitSettings(**values["limits"]),
        membership=model.MembershipSettings(**values["membership"]),
        retries=model.RetrySettings(**values["retries"]),
        stop=model.StopSettings(**values["stop"]),
        log=model.LogSettings(**values["log"]),
    )


def _cross_option_error(settings: model.BalancerSettings, source: str) -> SettingsError | None:
    """Return an error if options that are valid on their own conflict with each other."""
    host, membership = settings.host, settings.membership
    if host.admin_port == host.control_port:
        accepted = f"a port other than control_port {host.control_port}"
        return SettingsError(source, "host", "admin_port", str(host.admin_port), accepted)
    if membership.lease_s <= membership.probe_interval_s:
        accepted = f"a number above probe_interval_s {membership.probe_interval_s:g}"
        return SettingsError(source, "membership", "lease_s", f"{membership.lease_s:g}", accepted)
    return None


def load_settings(
    path: str | None, overrides: Iterable[str] = ()
) -> model.BalancerSettings | SettingsError:
    """Return the settings in the INI file ``path``, or the first error in them.

    An override, ``section.key=value``, takes precedence over the file, and the file
    over the defaults. Without a path, only overrides and defaults apply.

    >>> print(load_settings(None, ["limits.flows=many"]))
    defaults: [host] name: got nothing, accepted: a name of at most 63 letters, digits, '.', '_' \
or '-'
    """
    source = path or "defaults"
    from_file = _read_file(path) if path else {}
    if isinstance(from_file, SettingsError):
        return from_file
    from_overrides = _read_overrides(overrides)
    if isinstance(from_overrides, SettingsError):
        return from_overrides
    raw_values = from_file | from_overrides
    values: dict[str, dict[str, object]] = {section: {} for section in _KEYS_BY_SECTION}
    for section_and_key, option in _OPTIONS_BY_KEY.items():
        parsed = _parse_option(option, raw_values.get(section_and_key), source)
        if isinstance(parsed, SettingsError):
            return parsed
        values[option.section][option.key] = parsed
    settings = _build(values)
    return _cross_option_error(settings, source) or settings
