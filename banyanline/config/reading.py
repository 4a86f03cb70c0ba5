"""Reads one JSON object field by field and collects what is wrong with it."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from banyanline.config.errors import ConfigurationError, shown

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from banyanline.config.rules import Rule

T = TypeVar("T")

NOTHING = "nothing"


class ErrorLog:
    """The errors found so far, and the first place of each value that must be unique."""

    def __init__(self) -> None:
        self._errors: list[ConfigurationError] = []
        self._first_paths: dict[tuple[str, object], str] = {}

    @property
    def errors(self) -> tuple[ConfigurationError, ...]:
        """All errors in the order in which they were found."""
        return tuple(self._errors)

    def add(self, path: str, got: str, accepted: str) -> None:
        """Add an error."""
        self._errors.append(ConfigurationError(path, got, accepted))

    def claim(self, kind: str, value: object, path: str) -> None:
        """Add an error if the ``kind`` has had ``value`` at another path."""
        first_path = self._first_paths.setdefault((kind, value), path)
        if first_path != path:
            self.add(path, shown(value), f"a {kind} that stands once, and {first_path} has it")


class ObjectReader:
    """The fields of one JSON object.

    Each read returns a typed value; for a wrong or missing one the error is added
    to the log and a placeholder returned, so that one pass finds all errors.
    :meth:`finish` adds an error for each key that was not read.
    """

    def __init__(self, log: ErrorLog, path: str, value: object) -> None:
        self._log = log
        self._path = path
        self._prefix = f"{path}." if path else ""
        self._fields: Mapping[str, object] = value if isinstance(value, dict) else {}
        self._is_object = isinstance(value, dict)
        self._read: set[str] = set()
        if not self._is_object:
            log.add(path, shown(value), "an object")

    @property
    def path(self) -> str:
        """Where the object stands in the document."""
        return self._path

    def path_of(self, key: str) -> str:
        """Where the value of ``key`` stands in the document."""
        return f"{self._prefix}{key}"

    def value(self, key: str, rule: Rule[T], default: T | None = None) -> T:
        """Return the value of ``key``, or ``default`` if it is absent and there is one."""
        value = self._accepted(key, rule, default)
        return rule.placeholder if value is None else value

    def unique(self, key: str, rule: Rule[T], kind: str, default: T | None = None) -> T:
        """Return the value of ``key``, which no other ``kind`` may have."""
        value = self._accepted(key, rule, default)
        if value is None:
            return rule.placeholder
        self._log.claim(kind, value, self.path_of(key))
        return value

    def reader(self, key: str) -> ObjectReader:
        """Return a reader of the object at ``key``, which may be absent."""
        self._read.add(key)
        return ObjectReader(self._log, self.path_of(key), self._fields.get(key, {}))

    def items(self, key: str, minimum: int = 0) -> Iterator[tuple[str, object]]:
        """Yield path and value of each item of the list at ``key``.

        The list may be absent if ``minimum`` is 0.
        """
        self._read.add(key)
        accepted = f"a list of at least {minimum}" if minimum else "a list"
        if key not in self._fields:
            if minimum:
                self._missing(key, accepted)
            return
        value = self._fields[key]
        if not isinstance(value, list) or len(value) < minimum:
            self._log.add(self.path_of(key), shown(value), accepted)
            return
        for idx, item in enumerate(value):
            yield f"{self._prefix}{key}[{idx}]", item

    def objects(self, key: str, read: Callable[[ObjectReader], T], minimum: int = 0) -> list[T]:
        """Return what ``read`` makes of each object of the list at ``key``."""
        values = []
        for path, item in self.items(key, minimum):
            reader = ObjectReader(self._log, path, item)
            values.append(read(reader))
            reader.finish()
        return values

    def finish(self) -> None:
        """Add an error for each key that is not known."""
        for key in self._fields:
            if key not in self._read:
                known = ", ".join(sorted(self._read))
                self._log.add(self.path_of(key), "an unknown key", f"one of {known}")

    def _accepted(self, key: str, rule: Rule[T], default: T | None) -> T | None:
        self._read.add(key)
        if key not in self._fields:
            if default is None:
                self._missing(key, rule.accepted)
            return default
        value = rule.read(self._fields[key])
        if value is None:
            self._log.add(self.path_of(key), shown(self._fields[key]), rule.accepted)
        return value

    def _missing(self, key: str, accepted: str) -> None:
        if self._is_object:
            self._log.add(self.path_of(key), NOTHING, accepted)
