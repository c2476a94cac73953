"""Ports of loopback for the processes of one test run."""

import itertools
import os
import socket

HOST = "127.0.0.1"
# Below the range from which the system takes ports for connections.
FIRST_PORT = 12000
LAST_PORT = 30000
# Subnets of loopback from which a process takes addresses of its own, by its ID.
FIRST_SUBNET = 32
SUBNETS = 200
PIDS_IN_SUBNET = 250
# "INDEX/COUNT" of this process among those that share the machine's ports.
PART_VARIABLE = "CAIRNFERRY_TEST_PART"


def _own_ports(part: str) -> range:
    """Give the ports that no other process of a test run takes.

    Between the moment at which a port is found free and that at which a process
    listens there, another one could take it: it shows as a process that ends at
    once, now and then.
    """
    index, count = (int(number) for number in part.split("/"))
    each = (LAST_PORT - FIRST_PORT) // count
    return range(FIRST_PORT + index * each, FIRST_PORT + (index + 1) * each)


def free_port() -> int:
    """Give a TCP port that nothing listens on.

    It lies below the range from which the system takes ports for connections
    and for listeners without a port of their own. One from that range could be
    taken again before the process that is to listen there has started; it shows
    as a process that ends at once, now and then.
    """
    while True:
        port = next(_ports)
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
            return port


def own_host(number: int) -> str:
    """Give a loopback address that no other process of the machine uses.

    For programs that listen at a port which cannot be chosen: two runs of the tests on
    one machine would else take it from each other, which shows as a program that ends
    at once ("Address already in use").

    Parameters
    ----------
    number : int
        Which one of this process, 1 to 250.
    """
    high, low = divmod(os.getpid(), PIDS_IN_SUBNET)
    return f"127.{FIRST_SUBNET + high % SUBNETS}.{low}.{number}"


_ports = itertools.cycle(_own_ports(os.environ.get(PART_VARIABLE, "0/1")))
