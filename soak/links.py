"""Loopback proxies that stand for the links to a process and disturb them on request."""
import asyncio
import enum
import itertools

READ_BYTES = 64 * 1024


class Fault(enum.Enum):
    NONE = "none"
    # Each piece of data waits.
    DELAY = "delay"
    # Nothing passes towards the process.
    CUT_INBOUND = "cut-inbound"
    # Nothing passes from the process.
    CUT_OUTBOUND = "cut-outbound"
    # Open connections pass nothing for good; new ones work.
    SILENCE = "silence"
    # Nothing passes, also on new connections.
    CUT = "cut"


class Link:
    """Forwards connections from `listen` to `target`, both (host, port)."""

    def __init__(self, name, listen, target):
        self.name = name
        self.listen = listen
        self.target = target
        self.fault = Fault.NONE
        self.delay_s = 0.0
        self._server = None
        self._numbers = itertools.count()
        self._writers = {}
        self._silenced = set()
        self._healed = asyncio.Event()

    async def start(self):
        self._server = await asyncio.start_server(self._accept, *self.listen, backlog=1024)

    async def stop(self):
        self._server.close()
        self.reset_all()

    def disturb(self, fault, delay_s=0.0):
        if fault is Fault.SILENCE:
            self._silenced.update(self._writers)
            return
        self.fault, self.delay_s = fault, delay_s
        self._healed.clear()

    def heal(self):
        self.fault, self.delay_s = Fault.NONE, 0.0
        self._healed.set()

    def reset_all(self):
        for writers in self._writers.values():
            for writer in writers:
                writer.transport.abort()

    async def _accept(self, reader, writer):
        number = next(self._numbers)
        self._writers[number] = [writer]
        try:
            while self.fault is Fault.CUT:
                await self._healed.wait()
            target_reader, target_writer = await asyncio.open_connection(*self.target)
            self._writers[number].append(target_writer)
            await asyncio.gather(self._pump(number, reader, target_writer, Fault.CUT_INBOUND),
                                 self._pump(number, target_reader, writer, Fault.CUT_OUTBOUND))
        except OSError:
            # The process is gone or the connection was reset: the other side sees the same.
            writer.transport.abort()
        finally:
            for each in self._writers.pop(number):
                each.close()
            self._silenced.discard(number)

    async def _pump(self, number, reader, writer, cut):
        while data := await reader.read(READ_BYTES):
            if self.fault is Fault.DELAY:
                await asyncio.sleep(self.delay_s)
            while self.fault in (Fault.CUT, cut):
                await self._healed.wait()
            if number in self._silenced:
                await asyncio.Event().wait()
            writer.write(data)
            await writer.drain()
        # A half-closed connection keeps its other direction.
        if writer.can_write_eof():
            writer.write_eof()
