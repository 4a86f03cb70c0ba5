"""The reference of all options in Markdown, generated from the table of options.

``python -m banyanline.settings.reference`` prints what docs/operators/settings.md holds.
"""

from __future__ import annotations

import sys

from banyanline.settings.options import OPTIONS, Option

_TABLE_HEAD = "| key | default | accepted | meaning |\n|---|---|---|---|\n"


def _row(option: Option) -> str:
    default = "must be set" if option.default is None else f"`{option.default}`"
    if option.default == "":
        default = "empty"
    unit = f", in {option.unit}" if option.unit else ""
    accepted = f"{option.validator.accepted}{unit}"
    return f"| `{option.key}` | {default} | {accepted} | {option.documentation} |\n"


def render_reference() -> str:
    """Return one table for each section."""
    parts: list[str] = []
    section = ""
    for option in OPTIONS:
        if option.section != section:
            section = option.section
            parts.append(f"\n### [{section}]\n\n{_TABLE_HEAD}")
        parts.append(_row(option))
    return "".join(parts).lstrip("\n")


if __name__ == "__main__":
    sys.stdout.write(render_reference())
