"""Import of an operator's Python module that defines a configuration."""

from __future__ import annotations

import contextlib
import importlib
import importlib.util
import os
import sys
import traceback
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import ModuleType

FUNCTION_NAME = "configuration"
VALUE_NAME = "CONFIGURATION"

_NO_CONFIGURATION = f"has neither {FUNCTION_NAME}() nor {VALUE_NAME}"
_FROZEN_MODULE_PREFIX = "<frozen "
"""Prefix of the file names in stack frames of the import system itself."""

_FILE_MODULE_NAME = "banyanline_operator_module"


@dataclass(frozen=True)
class ModuleError:
    """Why no configuration could be loaded from a module, and the file and line."""

    location: str
    reason: str

    def __str__(self) -> str:
        """Return the error in one line."""
        return f"{self.location}: {self.reason}"


def _import_file(path: str) -> ModuleType:
    spec = importlib.util.spec_from_file_location(_FILE_MODULE_NAME, path)
    if spec is None or spec.loader is None:
        raise ImportError("not a Python module")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def _import_module(name: str) -> ModuleType:
    if name.endswith(".py") or os.sep in name:
        # Lets the operator's file import modules from its own directory.
        sys.path.insert(0, str(Path(name).resolve().parent))
        return _import_file(name)
    sys.path.insert(0, str(Path.cwd()))
    return importlib.import_module(name)


def _module_error(name: str, error: BaseException) -> ModuleError:
    frames = [
        frame
        for frame in traceback.extract_tb(error.__traceback__)
        if frame.filename != __file__ and not frame.filename.startswith(_FROZEN_MODULE_PREFIX)
    ]
    location = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else name
    if isinstance(error, SyntaxError) and error.filename:
        location = f"{error.filename}:{error.lineno}"
    text = " ".join(str(error).split())
    return ModuleError(
        location, f"{type(error).__name__}: {text}" if text else type(error).__name__
    )


def _load_value(name: str) -> object | ModuleError:
    module = _import_module(name)
    if hasattr(module, FUNCTION_NAME):
        value: object = getattr(module, FUNCTION_NAME)()
        return value
    return getattr(module, VALUE_NAME, ModuleError(name, _NO_CONFIGURATION))


def load_module_configuration(name: str) -> object | ModuleError:
    """Return what the module's ``configuration()`` returns, or its ``CONFIGURATION``.

    ``name`` is the path of a file or the dotted name of a module. An exception that
    the module raises is returned as an error that names the line. Output that the
    module prints goes to standard error, to keep it out of the printed document.
    """
    search_path = list(sys.path)
    try:
        with contextlib.redirect_stdout(sys.stderr):
            return _load_value(name)
    except (Exception, SystemExit) as error:
        return _module_error(name, error)
    finally:
        sys.path[:] = search_path
