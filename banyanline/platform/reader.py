"""Interface of the readers of a platform's configuration service."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

MAX_VALUE_BYTES = 1024 * 1024
"""Largest value that the platform stores."""


class ReadFailureReason(StrEnum):
    """Why a call to the platform failed."""

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
    """A value and the platform's index of its last change, which increases on each change."""

    value: bytes
    modify_index: int


class ReadFailed(NamedTuple):
    """The result of a failed call to the platform."""

    reason: ReadFailureReason
    detail: str = ""


ReadResult: TypeAlias = PlatformValue | ReadFailed


class PlatformReader(ABC):
    """Read-only access to the platform's keys."""

    @property
    @abstractmethod
    def calls(self) -> int:
        """Number of calls so far, including one that is waiting."""

    @property
    @abstractmethod
    def failures(self) -> Mapping[ReadFailureReason, int]:
        """Number of failed calls by reason."""

    @abstractmethod
    async def read(self, key: str) -> ReadResult:
        """Read the current value of ``key`` once."""

    @abstractmethod
    def watch(self, key: str) -> AsyncIterator[PlatformValue]:
        """Yield the value of ``key`` now and after each change, forever.

        Errors of the platform or the network are counted and retried, never raised. A
        value may be repeated, and an older value may follow a newer one if the
        platform's servers are not in sync.
        """
