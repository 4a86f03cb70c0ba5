"""Generator of the Markdown reference of all options, from the option table.

``python -m banyanline.settings.reference`` prints the tables of docs/operators/settings.md.
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
    """Return the Markdown text: one table per section."""
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
