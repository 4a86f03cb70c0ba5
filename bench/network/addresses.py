"""Loopback addresses of one run, so that parallel runs never share a port.

Each run reserves one block ``127.B.0.0/16`` by keeping a lock socket bound in it.
"""

from __future__ import annotations

import socket
from typing import Self

FIRST_BLOCK = 10
BLOCK_COUNT = 240
ADDRESSES_PER_NET = 200
LOCK_HOST = "255.1"
LOCK_PORT = 7

SERVICE_PORT = 5683
UPSTREAM_PORT = 5683
FIRST_HOST_PORT = 6000
PEER_PORT = 7100
CONTROL_PORT = 7101
ADMIN_PORT = 7102
PLATFORM_PORT = 8500
CALLER_PORT = 40000

BALANCER_NET = 1
ALIAS_NET = 2
SERVICE_NET = 3
UPSTREAM_NET = 4
PLATFORM_NET = 8
CALLER_NET = 16
FABRIC_SOURCE_NET = 32


class AddressPlan:
    """The addresses in one block of the loopback network.

    >>> plan = AddressPlan.acquire(hint=7)
    >>> plan.upstream(0).endswith(".4.1")
    True
    >>> plan.release()
    """

    def __init__(self, block: int, lock: socket.socket) -> None:
        self._block = block
        self._lock = lock

    @classmethod
    def acquire(cls, hint: int) -> Self:
        """Reserve the first free block from ``hint`` on; raise OSError when there is none."""
        for offset in range(BLOCK_COUNT):
            block = FIRST_BLOCK + (hint + offset) % BLOCK_COUNT
            lock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                lock.bind((f"127.{block}.{LOCK_HOST}", LOCK_PORT + 49000))
            except OSError:
                lock.close()
                continue
            return cls(block, lock)
        raise OSError("no free block of loopback addresses: other runs hold all of them")

    def release(self) -> None:
        """Release the block."""
        self._lock.close()

    def balancer(self, idx: int) -> str:
        """Return the address to which the balancer with the number ``idx`` binds its sockets."""
        return self._address(BALANCER_NET, idx)

    def alias(self, idx: int) -> str:
        """Return the address that a balancer advertises when its traffic goes through the relay."""
        return self._address(ALIAS_NET, idx)

    def service(self, idx: int) -> str:
        """Return a service address, to which callers send requests."""
        return self._address(SERVICE_NET, idx)

    def upstream(self, idx: int) -> str:
        """Return the address of an upstream."""
        return self._address(UPSTREAM_NET, idx)

    def platform(self, idx: int) -> str:
        """Return the address at which the platform serves the balancer with the number ``idx``."""
        return self._address(PLATFORM_NET, idx)

    def caller(self, idx: int) -> str:
        """Return the address of a caller."""
        return self._address(CALLER_NET, idx)

    def fabric_source(self, idx: int) -> str:
        """Return the source address that balancers see for a caller."""
        return self._address(FABRIC_SOURCE_NET, idx)

    @property
    def caller_network(self) -> str:
        """The network of all :meth:`fabric_source` addresses."""
        return f"127.{self._block}.{FABRIC_SOURCE_NET}.0/20"

    def _address(self, net: int, idx: int) -> str:
        third_octet = net + idx // ADDRESSES_PER_NET
        return f"127.{self._block}.{third_octet}.{1 + idx % ADDRESSES_PER_NET}"
