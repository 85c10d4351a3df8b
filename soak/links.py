"""Loopback TCP proxies that simulate the network links to a process and inject faults."""
import asyncio
import enum
import itertools

READ_BYTES = 64 * 1024


class LinkFault(enum.Enum):
    NONE = "none"
    # Delays each chunk of data.
    DELAY = "delay"
    # Blocks data sent to the process.
    CUT_INBOUND = "cut-inbound"
    # Blocks data sent by the process.
    CUT_OUTBOUND = "cut-outbound"
    # Blocks the open connections permanently; new connections work.
    SILENCE = "silence"
    # Blocks all data, also on new connections.
    CUT = "cut"


class Link:
    """Forwards connections from `listen` to `target`, both (host, port)."""

    def __init__(self, name, listen, target):
        self.name = name
        self.listen = listen
        self.target = target
        self.fault = LinkFault.NONE
        self.delay_s = 0.0
        self._server = None
        self._numbers = itertools.count()
        self._writers = {}
        self._silenced = set()
        self._fault_cleared = asyncio.Event()

    async def start(self):
        self._server = await asyncio.start_server(self._accept, *self.listen, backlog=1024)

    async def stop(self):
        self._server.close()
        self.reset_connections()

    def inject_fault(self, fault, delay_s=0.0):
        if fault is LinkFault.SILENCE:
            self._silenced.update(self._writers)
            return
        self.fault, self.delay_s = fault, delay_s
        self._fault_cleared.clear()

    def clear_fault(self):
        self.fault, self.delay_s = LinkFault.NONE, 0.0
        self._fault_cleared.set()

    def reset_connections(self):
        for writers in self._writers.values():
            for writer in writers:
                writer.transport.abort()

    async def _accept(self, reader, writer):
        number = next(self._numbers)
        self._writers[number] = [writer]
        try:
            while self.fault is LinkFault.CUT:
                await self._fault_cleared.wait()
            target_reader, target_writer = await asyncio.open_connection(*self.target)
            self._writers[number].append(target_writer)
            await asyncio.gather(self._forward(number, reader, target_writer, LinkFault.CUT_INBOUND),
                                 self._forward(number, target_reader, writer, LinkFault.CUT_OUTBOUND))
        except OSError:
            # The target refused or reset the connection; reset the other side as well.
            writer.transport.abort()
        finally:
            for open_writer in self._writers.pop(number):
                open_writer.close()
            self._silenced.discard(number)

    async def _forward(self, number, reader, writer, blocking_fault):
        while data := await reader.read(READ_BYTES):
            if self.fault is LinkFault.DELAY:
                await asyncio.sleep(self.delay_s)
            while self.fault in (LinkFault.CUT, blocking_fault):
                await self._fault_cleared.wait()
            if number in self._silenced:
                await asyncio.Event().wait()
            writer.write(data)
            await writer.drain()
        # Forward the half-close; the other direction stays open.
        if writer.can_write_eof():
            writer.write_eof()
