"""The entry point of every reader of a platform's configuration service."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

MAX_VALUE_BYTES = 1024 * 1024
"""Largest value that the platform holds."""


class ReadFailure(StrEnum):
    """Why a call of the platform brought no value."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    CLOSED_EARLY = "closed_early"
    MALFORMED = "malformed"
    BODY_TOO_LARGE = "body_too_large"
    NO_SUCH_KEY = "no_such_key"
    BAD_STATUS = "bad_status"
    NO_INDEX = "no_index"
    INDEX_RESET = "index_reset"


class PlatformValue(NamedTuple):
    """A value and the platform's index of its last change, which grows with each change."""

    value: bytes
    modify_index: int


class ReadFailed(NamedTuple):
    """A call of the platform that brought no value."""

    reason: ReadFailure
    detail: str = ""


ReadResult: TypeAlias = PlatformValue | ReadFailed


class PlatformReader(ABC):
    """Reads and watches the platform's keys; it cannot write."""

    @property
    @abstractmethod
    def calls(self) -> int:
        """Number of calls made so far, a waiting one included."""

    @property
    @abstractmethod
    def failures(self) -> Mapping[ReadFailure, int]:
        """Number of calls that brought no value, by reason."""

    @abstractmethod
    async def read(self, key: str) -> ReadResult:
        """Read the present value of ``key`` once."""

    @abstractmethod
    def watch(self, key: str) -> AsyncIterator[PlatformValue]:
        """Yield the value of ``key`` now and after each change, without end.

        Faults of the platform or the network are counted and retried and never
        raised. A value may come twice, and an older one may follow a newer one
        if the platform's servers differ.
        """
