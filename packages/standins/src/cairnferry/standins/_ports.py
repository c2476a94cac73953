"""Loopback ports and addresses for the processes of one test run."""

import functools
import os
import socket

HOST = "127.0.0.1"
# Below the ephemeral ports, which the system assigns to connections.
FIRST_PORT = 12000
LAST_PORT = 30000
# Ports that a process claims together: several times what one test uses.
BLOCK_PORTS = 500
# Loopback subnets from which a process takes its own addresses, by process ID.
FIRST_SUBNET = 32
SUBNETS = 200
PIDS_IN_SUBNET = 250


class NoFreePorts(RuntimeError):
    """All blocks of ports are claimed by other processes."""


class PortBlock:
    """Ports that only one process of the machine uses.

    With a common range, another process could bind a port after it was found free and
    before the intended process listens there. The intended process would then exit at
    its start, in rare cases.

    The claim is a UDP socket on the first port of the block. It ends with the process
    that holds it, in whatever way that process ends.

    Raises
    ------
    NoFreePorts
        If no block is left.
    """

    def __init__(self):
        blocks = (LAST_PORT - FIRST_PORT) // BLOCK_PORTS
        for offset in range(blocks):
            # Processes that start together begin at different blocks.
            index = (os.getpid() + offset) % blocks
            self.first = FIRST_PORT + index * BLOCK_PORTS
            self._claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                self._claim.bind((HOST, self.first))
            except OSError:
                self._claim.close()
                continue
            self._next = 0
            return
        raise NoFreePorts(f"all {blocks} blocks of ports are claimed")

    def next_port(self) -> int:
        """Return the next port of the block, from the first again after the last."""
        port = self.first + self._next
        self._next = (self._next + 1) % BLOCK_PORTS
        return port

    def release(self) -> None:
        """Release the block."""
        self._claim.close()


@functools.cache
def _own_block():
    return PortBlock()


def free_port() -> int:
    """Return a TCP port on which nothing listens.

    The port is below the ephemeral range, from which the system assigns ports to
    connections and to listeners without a fixed port. A port from that range could be
    assigned again before the process that is meant to listen there has started, which
    would exit at its start, in rare cases.
    """
    block = _own_block()
    while True:
        port = block.next_port()
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
            return port


def unique_loopback_host(number: int) -> str:
    """Return a loopback address that no other process of the machine uses.

    For programs that listen on a fixed port. On a common address, two concurrent test
    runs on one machine would conflict, and the program would exit at its start
    ("Address already in use").

    Parameters
    ----------
    number : int
        Number of the address within this process, 1 to 250.

    Returns
    -------
    str
        Address in 127.0.0.0/8.
    """
    high, low = divmod(os.getpid(), PIDS_IN_SUBNET)
    return f"127.{FIRST_SUBNET + high % SUBNETS}.{low}.{number}"
