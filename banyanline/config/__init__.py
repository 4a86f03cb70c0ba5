"""The library with which operators build, check, render and compare configurations.

A configuration holds services, upstreams, data centres, and callers with their patience.
"""

from __future__ import annotations

from banyanline.config.builders import (
    caller_group,
    cold_start,
    data_centre,
    document,
    service,
    upstream,
    window,
)
from banyanline.config.changes import Change
from banyanline.config.describe import describe
from banyanline.config.difference import diff
from banyanline.config.document import (
    MAX_DOCUMENT_BYTES,
    SCHEMA_VERSION,
    CallerGroupDocument,
    ColdStartDocument,
    ConfigurationDocument,
    DataCentreDocument,
    ServiceDocument,
    UpstreamDocument,
    WindowDocument,
)
from banyanline.config.errors import ConfigurationError, ConfigurationErrors
from banyanline.config.incremental import IncrementalParser
from banyanline.config.parse import check_document, parse_document
from banyanline.config.render import render_document, to_document

__all__ = [
    # Building
    "caller_group",
    "cold_start",
    "data_centre",
    "document",
    "service",
    "upstream",
    "window",
    # Reading and writing
    "IncrementalParser",
    "check_document",
    "parse_document",
    "render_document",
    "to_document",
    # Comparing
    "Change",
    "describe",
    "diff",
    # Document shapes
    "MAX_DOCUMENT_BYTES",
    "SCHEMA_VERSION",
    "CallerGroupDocument",
    "ColdStartDocument",
    "ConfigurationDocument",
    "DataCentreDocument",
    "ServiceDocument",
    "UpstreamDocument",
    "WindowDocument",
    # Errors
    "ConfigurationError",
    "ConfigurationErrors",
]
