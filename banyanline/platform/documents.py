"""Reads documents of which some elements may be unreadable, and records those."""

from __future__ import annotations

import math
from typing import Any, TypeVar

import msgspec

from banyanline.core.steering.model import Defect

MAX_DEFECTS = 50
"""Further defects of a document are not recorded."""

_MAX_VALUE_CHARACTERS = 60

_StructT = TypeVar("_StructT", bound=msgspec.Struct)


class DocumentReader:
    """Converts the elements of one document and collects its defects.

    >>> class Point(msgspec.Struct):
    ...     x: int
    ...     y: int = 0
    >>> reader = DocumentReader()
    >>> reader.convert("point", {"x": 1, "y": "high"}, Point)
    Point(x=1, y=0)
    >>> reader.defects[0].path
    'point.y'
    """

    def __init__(self) -> None:
        self._defects: list[Defect] = []

    @property
    def defects(self) -> tuple[Defect, ...]:
        """The first ``MAX_DEFECTS`` defects that were reported."""
        return tuple(self._defects)

    def convert(self, path: str, element: Any, kind: type[_StructT]) -> _StructT | None:
        """Convert an element without its unreadable fields; None if a required one is missing."""
        try:
            return msgspec.convert(element, kind)
        except (msgspec.ValidationError, ValueError):
            if not isinstance(element, dict):
                self.report(path, element, "not an object: left out")
                return None
        try:
            return msgspec.convert(self._readable_fields(path, element, kind), kind)
        except msgspec.ValidationError as error:
            self.report(path, element, f"{error}: left out")
            return None

    def positive(self, path: str, value: float, default: float) -> float:
        """Return a finite number above 0; any other is reported and replaced by the default."""
        if 0 < value < math.inf:
            return value
        self.report(path, value, f"{default:g} is used")
        return default

    def report(self, path: str, value: object, effect: str) -> None:
        """Record that the element at ``path`` could not be read, and what is done instead."""
        if len(self._defects) < MAX_DEFECTS:
            self._defects.append(Defect(path, _abbreviate(value), effect))

    def _readable_fields(
        self, path: str, element: dict[Any, Any], kind: type[msgspec.Struct]
    ) -> dict[str, Any]:
        readable = {}
        for field in msgspec.structs.fields(kind):
            if field.encode_name not in element:
                continue
            value = element[field.encode_name]
            try:
                readable[field.encode_name] = msgspec.convert(value, field.type)
            except (msgspec.ValidationError, ValueError) as error:
                name = f"{path}.{field.encode_name}" if path else field.encode_name
                self.report(name, value, f"{error}: ignored")
        return readable


def _abbreviate(value: object) -> str:
    text = value if isinstance(value, str) else repr(value)
    if len(text) <= _MAX_VALUE_CHARACTERS:
        return text
    return f"{text[:_MAX_VALUE_CHARACTERS]}..."
