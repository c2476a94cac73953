"""Loopback ports and addresses for the processes of one test run."""

import itertools
import os
import socket

HOST = "127.0.0.1"
# Below the ephemeral ports, which the system assigns to connections.
FIRST_PORT = 12000
LAST_PORT = 30000
# Loopback subnets from which a process takes its own addresses, by process ID.
FIRST_SUBNET = 32
SUBNETS = 200
PIDS_IN_SUBNET = 250
# Environment variable with "INDEX/COUNT" of this process among the processes of one
# test run, which divide the ports between them.
PART_VARIABLE = "CAIRNFERRY_TEST_PART"


def _ports_of_part(part: str) -> range:
    """Return the ports that only this process of a test run uses.

    With a common range, another process could bind a port after it was found free and
    before the intended process listens there. The intended process would then exit at
    its start, in rare cases.
    """
    index, count = (int(number) for number in part.split("/"))
    ports_per_part = (LAST_PORT - FIRST_PORT) // count
    return range(
        FIRST_PORT + index * ports_per_part, FIRST_PORT + (index + 1) * ports_per_part
    )


def free_port() -> int:
    """Return a TCP port on which nothing listens.

    The port is below the ephemeral range, from which the system assigns ports to
    connections and to listeners without a fixed port. A port from that range could be
    assigned again before the process that is meant to listen there has started, which
    would exit at its start, in rare cases.
    """
    while True:
        port = next(_ports)
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


_ports = itertools.cycle(_ports_of_part(os.environ.get(PART_VARIABLE, "0/1")))
