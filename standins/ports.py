"""Reserves loopback ports for the controllers of a site, so that no two sites on a machine share one."""

import os
import socket
from collections.abc import Iterator
from contextlib import ExitStack

# Below the ports that the usual systems give to outgoing connections and to servers on port 0.
FIRST_PORT, END_PORT = 20_000, 32_000
BLOCK_SIZE = 16  # ports; the first one of a block shows that the block is taken


class NoFreePortsError(Exception):
    """All blocks of ports are taken."""


class PortBlock:
    """Consecutive ports that belong to one site until `close`, also while no controller listens on them."""

    def __init__(self, count: int) -> None:
        """Reserve `count` ports, fewer than `BLOCK_SIZE`. Raises `NoFreePortsError` if no block is free."""
        if count >= BLOCK_SIZE:
            raise ValueError(f"a block has {BLOCK_SIZE - 1} ports for controllers, not {count}")
        for first in _block_starts():
            reservation = _reserve_block(first, count)
            if reservation is not None:
                self._reservation = reservation
                self.ports = list(range(first + 1, first + 1 + count))
                return
        raise NoFreePortsError(f"no free block of ports from {FIRST_PORT} to {END_PORT}")

    def close(self) -> None:
        """Release the ports."""
        self._reservation.close()


def _block_starts() -> Iterator[int]:
    """Yield the first port of each block. Processes begin at different blocks."""
    blocks = (END_PORT - FIRST_PORT) // BLOCK_SIZE
    for number in range(blocks):
        yield FIRST_PORT + (os.getpid() + number) % blocks * BLOCK_SIZE


def _reserve_block(first: int, count: int) -> socket.socket | None:
    """Return the socket that holds the block, or None if the block or one of its ports is in use."""
    reservation = socket.socket()
    try:
        reservation.bind(("127.0.0.1", first))
        with ExitStack() as probes:
            for port in range(first + 1, first + 1 + count):
                probe = probes.enter_context(socket.socket())
                # As controllers do: a closed connection of an earlier site does not occupy the port.
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind(("127.0.0.1", port))
    except OSError:
        reservation.close()
        return None
    return reservation
