"""Incremental parser: checks only the services that changed since the last revision.

Checking 3,300 upstreams blocks the event loop for tens of milliseconds. A balancer that
watches the platform reads the whole document at each change, although nearly all of its
services are byte for byte the same as before.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import xxhash

from banyanline.config.document import MAX_DOCUMENT_BYTES
from banyanline.config.errors import ConfigurationErrors
from banyanline.config.parse import check_document, parse_document
from banyanline.core.model import Configuration

if TYPE_CHECKING:
    from collections.abc import Iterable

    from banyanline.core.model import Service


class _Outline(msgspec.Struct, forbid_unknown_fields=True):
    """The document with its services left as undecoded JSON."""

    schema_version: object
    revision: object
    data_centres: object
    services: list[msgspec.Raw]
    caller_groups: object = msgspec.field(default_factory=list)


_OUTLINE_DECODER = msgspec.json.Decoder(_Outline)


def _are_unique(values: Iterable[object]) -> bool:
    values = list(values)
    return len(set(values)) == len(values)


def _is_consistent(configuration: Configuration) -> bool:
    """Whether names, addresses and ports are unique and each upstream's data centre exists."""
    services = configuration.services
    upstreams = [upstream for service in services for upstream in service.upstreams]
    data_centres = {data_centre.name for data_centre in configuration.data_centres}
    addresses = [service.address for service in services]
    return (
        _are_unique(service.name for service in services)
        and _are_unique(service.host_port for service in services)
        and _are_unique(upstream.name for upstream in upstreams)
        and _are_unique([*addresses, *(upstream.endpoint for upstream in upstreams)])
        and data_centres.issuperset(upstream.data_centre for upstream in upstreams)
    )


class IncrementalParser:
    """Parses like :func:`parse_document`, but caches the services that it has accepted.

    The cache is keyed by the digest of a service's JSON text.

    >>> parser = IncrementalParser()
    >>> print(parser.parse(b"[]"))
    document: got [], accepted: an object
    """

    def __init__(self) -> None:
        self._services_by_digest: dict[bytes, Service] = {}

    def parse(self, data: bytes) -> Configuration | ConfigurationErrors:
        """Return the configuration in the JSON text ``data``, or all its errors."""
        configuration = self._parse_changes(data)
        return parse_document(data) if configuration is None else configuration

    def _parse_changes(self, data: bytes) -> Configuration | None:
        """Return the configuration, or None if it has any error.

        The caller then parses the whole document, which finds all errors.
        """
        if len(data) > MAX_DOCUMENT_BYTES:
            return None
        try:
            outline = _OUTLINE_DECODER.decode(data)
            digests = [xxhash.xxh3_128_digest(raw) for raw in outline.services]
            changed = {
                digest: msgspec.json.decode(raw)
                for digest, raw in zip(digests, outline.services, strict=True)
                if digest not in self._services_by_digest
            }
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return None
        checked = check_document(
            {
                "schema_version": outline.schema_version,
                "revision": outline.revision,
                "data_centres": outline.data_centres,
                "caller_groups": outline.caller_groups,
                "services": list(changed.values()),
            }
        )
        if isinstance(checked, ConfigurationErrors):
            return None
        return self._merge(checked, digests, list(changed))

    def _merge(
        self, checked: Configuration, digests: list[bytes], changed: list[bytes]
    ) -> Configuration | None:
        known = {**self._services_by_digest, **dict(zip(changed, checked.services, strict=True))}
        configuration = checked._replace(services=tuple(known[digest] for digest in digests))
        if not _is_consistent(configuration):
            return None
        self._services_by_digest = {digest: known[digest] for digest in digests}
        return configuration
