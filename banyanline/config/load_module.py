"""Runs an operator's module and takes the configuration from it."""

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
_FROZEN = "<frozen "
"""Start of the file name of the import system's own frames."""

_FILE_MODULE_NAME = "banyanline_operator_module"


@dataclass(frozen=True)
class ModuleError:
    """Why a module gave no configuration, and where."""

    place: str
    reason: str

    def __str__(self) -> str:
        """Return the error in one line."""
        return f"{self.place}: {self.reason}"


def _import_file(path: str) -> ModuleType:
    spec = importlib.util.spec_from_file_location(_FILE_MODULE_NAME, path)
    if spec is None or spec.loader is None:
        raise ImportError("not a Python module")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def _import(name: str) -> ModuleType:
    if name.endswith(".py") or os.sep in name:
        # Modules beside the operator's file can be imported from it.
        sys.path.insert(0, str(Path(name).resolve().parent))
        return _import_file(name)
    sys.path.insert(0, str(Path.cwd()))
    return importlib.import_module(name)


def _error_of(name: str, error: BaseException) -> ModuleError:
    frames = [
        frame
        for frame in traceback.extract_tb(error.__traceback__)
        if frame.filename != __file__ and not frame.filename.startswith(_FROZEN)
    ]
    place = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else name
    if isinstance(error, SyntaxError) and error.filename:
        place = f"{error.filename}:{error.lineno}"
    text = " ".join(str(error).split())
    return ModuleError(place, f"{type(error).__name__}: {text}" if text else type(error).__name__)


def _value_of(name: str) -> object | ModuleError:
    module = _import(name)
    if hasattr(module, FUNCTION_NAME):
        value: object = getattr(module, FUNCTION_NAME)()
        return value
    return getattr(module, VALUE_NAME, ModuleError(name, _NO_CONFIGURATION))


def load_module_configuration(name: str) -> object | ModuleError:
    """Return what the module's ``configuration()`` returns, or its ``CONFIGURATION``.

    ``name`` is the path of a file or the dotted name of a module. Whatever the
    module raises is returned as an error that names the line. What the module
    prints goes to standard error, so that it cannot mix with the document.
    """
    search_path = list(sys.path)
    try:
        with contextlib.redirect_stdout(sys.stderr):
            return _value_of(name)
    except (Exception, SystemExit) as error:
        return _error_of(name, error)
    finally:
        sys.path[:] = search_path
