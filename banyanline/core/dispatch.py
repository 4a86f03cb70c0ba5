"""A faster ``singledispatchmethod`` for hot paths."""

from __future__ import annotations

import functools
from typing import Any


class singledispatchmethod(functools.singledispatchmethod):  # type: ignore[type-arg]  # noqa: N801
    """A ``functools.singledispatchmethod`` that is bound only once per instance.

    Before Python 3.13 the standard one builds a new wrapper for each call. The bound
    method is cached in the instance's ``__dict__``, which must therefore exist.

    >>> class Printer:
    ...     @singledispatchmethod
    ...     def show(self, value):
    ...         return "any"
    ...     @show.register
    ...     def _(self, value: int):
    ...         return "int"
    >>> printer = Printer()
    >>> printer.show(1), printer.show("1")
    ('int', 'any')
    """

    def __set_name__(self, owner: type, name: str) -> None:
        """Store the attribute name under which the bound method is cached."""
        self._name = name

    def __get__(self, obj: Any, cls: type | None = None) -> Any:
        """Return the method bound to ``obj`` and cache it in its ``__dict__``."""
        if obj is None:
            return super().__get__(obj, cls)
        dispatch = self.dispatcher.dispatch

        def method(argument: Any, *args: Any) -> Any:
            return dispatch(argument.__class__)(obj, argument, *args)

        obj.__dict__[self._name] = method
        return method
