"""Field-by-field reading of a JSON object that collects all validation errors."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from banyanline.config.errors import ConfigurationError, short_repr

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from banyanline.config.rules import Rule

T = TypeVar("T")

NO_VALUE = "nothing"


class ErrorCollector:
    """Collects errors, and the path of the first use of each value that must be unique."""

    def __init__(self) -> None:
        self._errors: list[ConfigurationError] = []
        self._first_paths: dict[tuple[str, object], str] = {}

    @property
    def errors(self) -> tuple[ConfigurationError, ...]:
        """All errors, in the order in which they were found."""
        return tuple(self._errors)

    def add(self, path: str, got: str, accepted: str) -> None:
        """Add an error."""
        self._errors.append(ConfigurationError(path, got, accepted))

    def require_unique(self, kind: str, value: object, path: str) -> None:
        """Add an error if another path already has ``value`` for the same ``kind``."""
        first_path = self._first_paths.setdefault((kind, value), path)
        if first_path != path:
            self.add(path, short_repr(value), f"a unique {kind}, but {first_path} has the same")


class ObjectReader:
    """Reads the fields of one JSON object.

    Each read returns a typed value. If the value is invalid or missing, an error is
    collected and a placeholder returned, so that one pass finds all errors.
    :meth:`reject_unknown_keys` adds an error for each key that was not read.
    """

    def __init__(self, collector: ErrorCollector, path: str, value: object) -> None:
        self._collector = collector
        self._path = path
        self._prefix = f"{path}." if path else ""
        self._fields: Mapping[str, object] = value if isinstance(value, dict) else {}
        self._is_object = isinstance(value, dict)
        self._read_keys: set[str] = set()
        if not self._is_object:
            collector.add(path, short_repr(value), "an object")

    @property
    def path(self) -> str:
        """The path of the object in the document."""
        return self._path

    def path_of(self, key: str) -> str:
        """Return the path of the value of ``key`` in the document."""
        return f"{self._prefix}{key}"

    def value(self, key: str, rule: Rule[T], default: T | None = None) -> T:
        """Return the value of ``key``, or ``default`` if the key is absent.

        A key without a default is required.
        """
        value = self._read_value(key, rule, default)
        return rule.placeholder if value is None else value

    def unique(self, key: str, rule: Rule[T], kind: str, default: T | None = None) -> T:
        """Return the value of ``key``, which must be unique among the values of ``kind``."""
        value = self._read_value(key, rule, default)
        if value is None:
            return rule.placeholder
        self._collector.require_unique(kind, value, self.path_of(key))
        return value

    def object_reader(self, key: str) -> ObjectReader:
        """Return a reader of the nested object at ``key``, which may be absent."""
        self._read_keys.add(key)
        return ObjectReader(self._collector, self.path_of(key), self._fields.get(key, {}))

    def items(self, key: str, minimum: int = 0) -> Iterator[tuple[str, object]]:
        """Yield the path and the value of each item of the list at ``key``.

        The list may be absent if ``minimum`` is 0.
        """
        self._read_keys.add(key)
        accepted = f"a list of at least {minimum}" if minimum else "a list"
        if key not in self._fields:
            if minimum:
                self._add_missing(key, accepted)
            return
        value = self._fields[key]
        if not isinstance(value, list) or len(value) < minimum:
            self._collector.add(self.path_of(key), short_repr(value), accepted)
            return
        for idx, item in enumerate(value):
            yield f"{self._prefix}{key}[{idx}]", item

    def objects(self, key: str, read: Callable[[ObjectReader], T], minimum: int = 0) -> list[T]:
        """Return the result of ``read`` for each object of the list at ``key``."""
        values = []
        for path, item in self.items(key, minimum):
            reader = ObjectReader(self._collector, path, item)
            values.append(read(reader))
            reader.reject_unknown_keys()
        return values

    def reject_unknown_keys(self) -> None:
        """Add an error for each key that was not read."""
        for key in self._fields:
            if key not in self._read_keys:
                known = ", ".join(sorted(self._read_keys))
                self._collector.add(self.path_of(key), "an unknown key", f"one of {known}")

    def _read_value(self, key: str, rule: Rule[T], default: T | None) -> T | None:
        self._read_keys.add(key)
        if key not in self._fields:
            if default is None:
                self._add_missing(key, rule.accepted)
            return default
        value = rule.read(self._fields[key])
        if value is None:
            self._collector.add(self.path_of(key), short_repr(self._fields[key]), rule.accepted)
        return value

    def _add_missing(self, key: str, accepted: str) -> None:
        if self._is_object:
            self._collector.add(self.path_of(key), NO_VALUE, accepted)
