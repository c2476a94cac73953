"""A proxy that partitions one machine from the store for a while."""

import asyncio
import time


class CuttingProxy:
    """Forwards connections to an address; while it is cut, it resets all of them.

    Attributes
    ----------
    address : tuple of (str, int) or None
        Address on which it listens.
    cuts : list of tuple of (float, float)
        Monotonic times in seconds of the begin and the end of each cut.
    """

    def __init__(self, target: tuple[str, int]):
        self._target = target
        self._open: set[asyncio.StreamWriter] = set()
        self._is_cut = False
        self.address = None
        self.cuts = []

    async def start(self, host: str) -> None:
        """Listen on a loopback address."""
        server = await asyncio.start_server(self._connected, host, 0)
        self.address = (host, server.sockets[0].getsockname()[1])

    async def cut(self, seconds: float) -> None:
        """Reset all connections, and new ones for some seconds."""
        begin = time.monotonic()
        self._is_cut = True
        for writer in list(self._open):
            writer.transport.abort()
        await asyncio.sleep(seconds)
        self._is_cut = False
        self.cuts.append((begin, time.monotonic()))

    async def _connected(self, reader, writer):
        if self._is_cut:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self._open |= pair
        try:
            await asyncio.gather(
                self._copy(reader, far_writer), self._copy(far_reader, writer)
            )
        except asyncio.CancelledError:
            # The case ends.
            pass
        finally:
            self._open -= pair

    async def _copy(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
