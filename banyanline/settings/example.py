"""Generator of the example settings file, from the option table.

To update the file: ``python -m banyanline.settings.example > settings.example.ini``.
"""

from __future__ import annotations

import sys
import textwrap

from banyanline.settings.options import OPTIONS, Option

_WIDTH = 96
_HEADING = """\
# Settings of banyanline-balancer. Generated from the option table. Each key is shown with its
# default value, or with an example value if it has no default.
"""


def _render_option(option: Option) -> str:
    unit = f", in {option.unit}" if option.unit else ""
    accepted = f"Accepted: {option.validator.accepted}{unit}."
    if option.default is None:
        accepted += " Must be set."
    lines = textwrap.wrap(f"{option.documentation} {accepted}", _WIDTH - 2)
    comment = "".join(f"# {line}\n" for line in lines)
    value = option.example if option.default is None else option.default
    return f"{comment}{option.key} = {value}\n"


def render_example() -> str:
    """Return the text of the example settings file."""
    parts = [_HEADING]
    section = ""
    for option in OPTIONS:
        if option.section != section:
            section = option.section
            parts.append(f"\n[{section}]\n")
        parts.append(_render_option(option))
    return "".join(parts)


if __name__ == "__main__":
    sys.stdout.write(render_example())
