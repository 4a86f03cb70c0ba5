"""Authenticates frames between balancers and protects them against replay.

A frame consists of a fixed header, the sender's name, the payload and a MAC. The
MAC is keyed BLAKE2b (RFC 7693) over the receiver's name and all preceding bytes of
the frame, so a frame cannot be altered, redirected to another host, or forged
without a key. The payload is not encrypted.

The header contains the wall-clock time at which the sending process started, a
counter per receiver that increases by one with each frame, and the wall-clock time
of sealing. The receiver tracks the accepted counters in a replay window (the sliding
window of RFC 4303, section 3.4.3) and rejects frames sealed more than ``FRESHNESS_S``
before or after its own clock, so that old frames cannot be replayed after their
window was removed.
"""

from __future__ import annotations

import hashlib
from enum import StrEnum
from hmac import compare_digest
from struct import Struct
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from banyanline.net.replay import ReplayWindow

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyanline.core.keys import Key, KeyRing
    from banyanline.core.types import HostName

VERSION = 1
MAC_BYTES = 16
MAX_NAME_BYTES = 64
MAX_FRAME_BYTES = 4 * 1024 * 1024
"""Maximum frame size, including control calls; datagrams have a smaller limit."""

FRESHNESS_S = 30.0
MAX_START_SKEW_S = 2.0
"""How far a sender's clock may be behind the clock of a receiver that has just started.

Frames sealed more than this before the start of the receiver are rejected as stale.
"""

MAX_SENDERS = 2048
MAX_RECEIVERS = 2048

_HEADER = Struct("!BBIIQQQ")
"""Version, length of the sender's name, key tag, receiver tag, start time, counter, seal time.

Both times are in microseconds since the Unix epoch. The tags are short hashes of the
key's identity and of the receiver's name; the receiver tag distinguishes a frame for
another host from a frame with a bad MAC.
"""

_MIN_FRAME_BYTES = _HEADER.size + 1 + MAC_BYTES
_unpack_header = _HEADER.unpack_from
_US_PER_S = 1_000_000
_FRESHNESS_US = int(FRESHNESS_S * _US_PER_S)
_MAX_START_SKEW_US = int(MAX_START_SKEW_S * _US_PER_S)


class Purpose(StrEnum):
    """Kind of traffic that a sealer protects; a frame can only be opened under its own purpose.

    Each purpose has its own counters. With shared counters, a delayed control call
    could fall out of the replay window because of the datagrams sent after it.
    """

    DATAGRAM = "datagram"
    CONTROL = "control"


class RejectionReason(StrEnum):
    """Why a frame received on a peer or control port was dropped."""

    TRUNCATED = "truncated"
    OVERSIZED = "oversized"
    UNKNOWN_VERSION = "unknown_version"
    UNKNOWN_KEY = "unknown_key"
    BAD_MAC = "bad_mac"
    WRONG_RECEIVER = "wrong_receiver"
    STALE = "stale"
    REPLAYED = "replayed"
    TOO_MANY_SENDERS = "too_many_senders"
    BAD_PAYLOAD = "bad_payload"


class Opened(NamedTuple):
    """The sender and payload of a frame that passed all checks."""

    sender: HostName
    payload: bytes


class Rejected(NamedTuple):
    """A frame that failed a check; it has no effect except that it is counted."""

    reason: RejectionReason


OpenResult: TypeAlias = Opened | Rejected

_REJECTED = {reason: Rejected(reason) for reason in RejectionReason}


class _ReceiverState:
    """State of a sender for one receiver: the keyed hash state and the counter."""

    __slots__ = ("counter", "hasher", "tag")

    def __init__(self, hasher: hashlib.blake2b, tag: int, counter: int) -> None:
        self.hasher = hasher
        self.tag = tag
        self.counter = counter


def _keyed_hasher(key: Key, purpose: Purpose, receiver: bytes) -> hashlib.blake2b:
    hasher = hashlib.blake2b(key=key.secret, digest_size=MAC_BYTES, person=purpose.value.encode())
    hasher.update(bytes((len(receiver),)) + receiver)
    return hasher


def _tag(name: str) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=4).digest(), "big")


def _encode_name(name: HostName) -> bytes:
    encoded = name.encode()
    if not 1 <= len(encoded) <= MAX_NAME_BYTES:
        raise ValueError(f"host name has {len(encoded)} bytes, expected 1 to {MAX_NAME_BYTES}")
    return encoded


class Sealer:
    """Seals frames for other balancers, and verifies and opens frames from them.

    ``wall_clock`` returns seconds since the Unix epoch. The clocks of all balancers
    must agree within ``FRESHNESS_S``.

    >>> from banyanline.core.keys import Key, KeyRing
    >>> ring = KeyRing((Key("1", b"k" * 32),))
    >>> north = Sealer(ring, "north-1", lambda: 1000.0)
    >>> south = Sealer(ring, "south-1", lambda: 1000.0)
    >>> frame = north.seal("south-1", b"hello")
    >>> south.open(frame, 1000.1)
    Opened(sender='north-1', payload=b'hello')
    >>> south.open(frame, 1000.2)
    Rejected(reason=<RejectionReason.REPLAYED: 'replayed'>)
    """

    def __init__(
        self,
        keys: KeyRing,
        local: HostName,
        wall_clock: Callable[[], float],
        *,
        purpose: Purpose = Purpose.DATAGRAM,
        max_senders: int = MAX_SENDERS,
    ) -> None:
        self._purpose = purpose
        self._keys = keys
        self._local = local
        self._local_bytes = _encode_name(local)
        self._local_tag = _tag(local)
        self._wall_clock = wall_clock
        self._max_senders = max_senders
        self._started_us = int(wall_clock() * _US_PER_S)
        self._receivers: dict[HostName, _ReceiverState] = {}
        self._counter_floor = 0
        self._windows: dict[bytes, ReplayWindow] = {}
        self._verifiers: dict[int, hashlib.blake2b] = {}
        self.set_keys(keys)

    @property
    def senders(self) -> int:
        """Number of senders with a replay window."""
        return len(self._windows)

    @property
    def overhead_bytes(self) -> int:
        """Bytes that a frame adds to its payload."""
        return _HEADER.size + len(self._local_bytes) + MAC_BYTES

    def set_keys(self, keys: KeyRing) -> None:
        """Replace the keys; counters and replay windows are kept."""
        self._keys = keys
        self._signing_tag = _tag(keys.signing.identity)
        self._verifiers = {
            _tag(key.identity): _keyed_hasher(key, self._purpose, self._local_bytes)
            for key in keys.keys
        }
        self._clear_receivers()

    def seal(self, receiver: HostName, payload: bytes) -> bytes:
        """Return a frame with ``payload`` for ``receiver``."""
        state = self._receivers.get(receiver)
        if state is None:
            state = self._add_receiver(receiver)
        state.counter += 1
        body = (
            _HEADER.pack(
                VERSION,
                len(self._local_bytes),
                self._signing_tag,
                state.tag,
                self._started_us,
                state.counter,
                int(self._wall_clock() * _US_PER_S),
            )
            + self._local_bytes
            + payload
        )
        hasher = state.hasher.copy()
        hasher.update(body)
        return body + hasher.digest()

    def open(self, frame: bytes, now_wall: float) -> OpenResult:
        """Return the sender and payload of a valid frame, or the reason to reject it.

        ``now_wall`` is in seconds since the Unix epoch. Each frame can be opened once;
        after that it is rejected as a replay.
        """
        size = len(frame)
        if size < _MIN_FRAME_BYTES:
            return _REJECTED[RejectionReason.TRUNCATED]
        if size > MAX_FRAME_BYTES:
            return _REJECTED[RejectionReason.OVERSIZED]
        version, name_bytes, key_tag, receiver_tag, started_us, counter, sealed_us = _unpack_header(
            frame
        )
        if version != VERSION:
            return _REJECTED[RejectionReason.UNKNOWN_VERSION]
        payload_at = _HEADER.size + name_bytes
        if size < payload_at + MAC_BYTES:
            return _REJECTED[RejectionReason.TRUNCATED]
        if receiver_tag != self._local_tag:
            return _REJECTED[RejectionReason.WRONG_RECEIVER]
        verifier = self._verifiers.get(key_tag)
        if verifier is None:
            return _REJECTED[RejectionReason.UNKNOWN_KEY]
        hasher = verifier.copy()
        hasher.update(frame[:-MAC_BYTES])
        if not compare_digest(hasher.digest(), frame[-MAC_BYTES:]):
            return _REJECTED[RejectionReason.BAD_MAC]
        now_us = int(now_wall * _US_PER_S)
        if not now_us - _FRESHNESS_US <= sealed_us <= now_us + _FRESHNESS_US:
            return _REJECTED[RejectionReason.STALE]
        if sealed_us < self._started_us - _MAX_START_SKEW_US:
            return _REJECTED[RejectionReason.STALE]
        name = frame[_HEADER.size : payload_at]
        window = self._windows.get(name)
        if window is None or window.started_us != started_us:
            added = self._add_window(name, window, started_us, now_us)
            if isinstance(added, RejectionReason):
                return _REJECTED[added]
            window = added
        if not window.accept(counter, sealed_us):
            return _REJECTED[RejectionReason.REPLAYED]
        return Opened(window.sender, frame[payload_at:-MAC_BYTES])

    def _add_window(
        self, name: bytes, previous: ReplayWindow | None, started_us: int, now_us: int
    ) -> ReplayWindow | RejectionReason:
        """Create a replay window for a sender that is unknown or was restarted.

        A start time before the one of the current window is treated as a replay, unless
        all frames accepted in that window are stale: then the sender's clock was set back.
        """
        if previous is None:
            if not self._make_room(now_us):
                return RejectionReason.TOO_MANY_SENDERS
        elif (
            started_us < previous.started_us
            and previous.latest_sealed_us >= now_us - 2 * _FRESHNESS_US
        ):
            return RejectionReason.REPLAYED
        window = self._windows[name] = ReplayWindow(name.decode(errors="replace"), started_us)
        return window

    def _make_room(self, now_us: int) -> bool:
        """Remove inactive senders at the limit; return whether there is room for one more.

        A window may be removed once all frames that it accepted would be rejected as stale.
        """
        if len(self._windows) < self._max_senders:
            return True
        oldest_us = now_us - 2 * _FRESHNESS_US
        self._windows = {
            name: window
            for name, window in self._windows.items()
            if window.latest_sealed_us >= oldest_us
        }
        return len(self._windows) < self._max_senders

    def _add_receiver(self, receiver: HostName) -> _ReceiverState:
        if len(self._receivers) >= MAX_RECEIVERS:
            self._clear_receivers()
        name = _encode_name(receiver)
        hasher = _keyed_hasher(self._keys.signing, self._purpose, name)
        state = _ReceiverState(hasher, _tag(receiver), self._counter_floor)
        self._receivers[receiver] = state
        return state

    def _clear_receivers(self) -> None:
        """Remove all receivers; new counters continue above the highest one used so far."""
        used = [state.counter for state in self._receivers.values()]
        self._counter_floor = max(used, default=self._counter_floor)
        self._receivers.clear()
