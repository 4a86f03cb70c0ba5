"""Keeps the configuration and the host list up to date, from the platform or from peers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeAlias

import msgspec
import structlog

from banyanline.config import ConfigurationErrors, IncrementalParser
from banyanline.core.model import Configuration
from banyanline.core.revisions import (
    NO_REVISION,
    Accepted,
    RevisionHistory,
    Same,
    UpdateOutcome,
    WrongBase,
    WrongDigest,
)
from banyanline.core.types import Host, HostName
from banyanline.core.updates import ConfigurationUpdate, NoUpdate
from banyanline.net.control import CallFailed, ControlClient
from banyanline.net.metrics import IoCounts
from banyanline.platform.hosts import HostsError, parse_hosts
from banyanline.platform.reader import PlatformReader, PlatformValue

FETCH_METHOD = "FetchConfiguration"
FETCH_TIMEOUT_S = 2.0
FETCH_RETRY_S = 0.2

ApplyConfiguration: TypeAlias = Callable[[Configuration], None]
ApplyHosts: TypeAlias = Callable[[tuple[Host, ...]], None]

log = structlog.get_logger()


class FetchRequest(msgspec.Struct, frozen=True):
    """Request for the changes since revision ``have``, or for the full document if it is 0."""

    have: int


class FetchReply(msgspec.Struct, frozen=True):
    """Reply with the update from the revision of the calling host to that of the callee."""

    update: ConfigurationUpdate


class ConfigurationSync:
    """Watches the platform while this host is a reader, and fetches updates from peers.

    A revision that is not higher than the one in force is never applied.
    """

    def __init__(
        self,
        reader: PlatformReader,
        configuration_key: str,
        hosts_key: str,
        client: ControlClient,
        counts: IoCounts,
        apply_configuration: ApplyConfiguration,
        apply_hosts: ApplyHosts,
    ) -> None:
        self._reader = reader
        self._configuration_key = configuration_key
        self._hosts_key = hosts_key
        self._client = client
        self._counts = counts
        self._apply_configuration = apply_configuration
        self._apply_hosts = apply_hosts
        self._parser = IncrementalParser()
        self._history = RevisionHistory()
        self._watches: list[asyncio.Task[None]] = []
        self._fetch_task: asyncio.Task[None] | None = None

    @property
    def is_reader(self) -> bool:
        """Whether this host watches the platform now."""
        return bool(self._watches)

    def set_reader(self, is_reader: bool) -> None:
        """Start or stop watching the platform."""
        if is_reader and not self._watches:
            self._watches = [
                asyncio.create_task(self._watch_configuration()),
                asyncio.create_task(self._watch_hosts()),
            ]
        elif not is_reader and self._watches:
            self._stop_watches()

    def _stop_watches(self) -> None:
        for task in self._watches:
            task.cancel()
        self._watches = []

    async def _watch_configuration(self) -> None:
        async for value in self._reader.watch(self._configuration_key):
            self.apply_document(value.value, "platform")

    async def _watch_hosts(self) -> None:
        async for value in self._reader.watch(self._hosts_key):
            self._apply_hosts_document(value.value)

    def _apply_hosts_document(self, data: bytes) -> None:
        hosts = parse_hosts(data)
        if isinstance(hosts, HostsError):
            self._counts.count_config_refusal("bad_hosts")
            log.warning("hosts_refused", detail=hosts.detail)
            return
        self._apply_hosts(hosts)

    async def read_once(self) -> None:
        """Read both keys once, without watching them."""
        hosts = await self._reader.read(self._hosts_key)
        if isinstance(hosts, PlatformValue):
            self._apply_hosts_document(hosts.value)
        configuration = await self._reader.read(self._configuration_key)
        if isinstance(configuration, PlatformValue):
            self.apply_document(configuration.value, "platform")

    def apply_document(self, document: bytes, source: str) -> bool:
        """Validate a document; apply it and return True if its revision is higher."""
        parsed = self._parser.parse(document)
        if isinstance(parsed, ConfigurationErrors):
            self._counts.count_config_refusal("invalid")
            log.warning("configuration_refused", source=source, error=str(parsed.errors[0]))
            return False
        return self._finish_update(self._history.accept(parsed), source)

    def _finish_update(self, outcome: UpdateOutcome, source: str) -> bool:
        """Apply an accepted update, or count and log a refused one."""
        in_force = self._history.in_force
        if isinstance(outcome, Accepted) and in_force is not None:
            self._apply_configuration(in_force.configuration)
            return True
        if not isinstance(outcome, Same):
            self._counts.count_config_refusal(outcome.outcome)
            log.warning(
                "configuration_refused",
                source=source,
                reason=outcome.outcome,
                revision=self._history.revision,
            )
        return False

    def handle_fetch(self, request: FetchRequest) -> FetchReply:
        """Return the changes since the revision of the calling host."""
        return FetchReply(self._history.update_since(request.have))

    def fetch_if_newer(self, host: Host | None, name: HostName, revision: int) -> None:
        """Fetch from a peer that announced a higher revision, unless a fetch is running."""
        if revision > self._history.revision and host is not None and self._fetch_task is None:
            self._fetch_task = asyncio.create_task(self._fetch_from(host))
            self._fetch_task.add_done_callback(lambda _task: self._on_fetch_done())

    def _on_fetch_done(self) -> None:
        self._fetch_task = None

    async def _fetch_from(self, host: Host) -> None:
        """Fetch the changes; fetch the full document if the changes do not apply."""
        outcome = await self._fetch_update(host, self._history.revision)
        if isinstance(outcome, WrongBase | WrongDigest):
            await self._fetch_update(host, NO_REVISION)

    async def _fetch_update(self, host: Host, have: int) -> UpdateOutcome | None:
        reply = await self._client.call(
            host, FETCH_METHOD, FetchRequest(have), FetchReply, FETCH_TIMEOUT_S
        )
        if isinstance(reply, CallFailed):
            self._counts.count_call_failure(reply.reason)
            await asyncio.sleep(FETCH_RETRY_S)
            return None
        if isinstance(reply.update, NoUpdate):
            return None
        outcome = self._history.apply(reply.update)
        self._finish_update(outcome, host.name)
        return outcome

    async def close(self) -> None:
        """Cancel all watches and fetches."""
        self._stop_watches()
        if self._fetch_task is not None:
            self._fetch_task.cancel()
