"""Backend servers beside the nodes, with the ways in which servers fail."""
import asyncio
import dataclasses
import enum
import time

import h11

from platform_soak import wire
from soak import http11
from soak.promises import Run, answer_body, proof_of

SLOTS = 8


class ServerFault(enum.Enum):
    NONE = "none"
    # Runs the request and resets the connection.
    LOSE_ANSWER = "lose-answer"
    # Announces more bytes than it sends.
    TRUNCATE = "truncate"
    # A second answer follows the first.
    EXTRA_ANSWER = "extra-answer"
    # Says that it did not run the request.
    SHED = "shed"
    SLOW = "slow"
    FAIL = "fail"


@dataclasses.dataclass
class Work:
    """What a request asks of its server, carried in its path."""

    work_s: float
    answer_bytes: int

    def path(self):
        return f"{int(self.work_s * 1000)}/{self.answer_bytes}"

    @staticmethod
    def from_path(path):
        work_ms, size = path.rstrip("/").split("/")[-2:]
        return Work(int(work_ms) / 1000, int(size))


class Backend:
    """One server process's worth of behaviour at a fixed address; restart() gives it a new id."""

    def __init__(self, number, service, zone, address, store, promises, random):
        self.number, self.service, self.zone, self.address = number, service, zone, address
        self.store, self.promises, self.random = store, promises, random
        self.fault, self.fault_share = ServerFault.NONE, 0.0
        self.id = ""
        self._starts = 0
        self._server = None
        self._connections = set()
        self._is_draining = False

    async def start(self):
        self._starts += 1
        self.id = f"server-{self.number}-{self._starts}"
        self._is_draining = False
        self._server = await asyncio.start_server(self._serve, *self.address, backlog=256)
        self.publish()

    def publish(self):
        host, port = self.address
        entry = wire.server_entry(self.service, f"{host}:{port}", self.zone, SLOTS, self._is_draining,
                                  int(time.time() * 1000))
        self.store.put(wire.server_key(self.id), entry)

    def begin_leaving(self):
        self._is_draining = True
        self.promises.leaves_after[self.id] = self.promises.clock()
        self.publish()

    def stop(self, is_entry_removed):
        self._server.close()
        for stream in list(self._connections):
            stream.reset()
        if is_entry_removed:
            self.store.remove(wire.server_key(self.id))

    async def _serve(self, reader, writer):
        stream = http11.Stream(reader, writer, h11.SERVER)
        self._connections.add(stream)
        try:
            await stream.serve(self._answer)
        finally:
            self._connections.discard(stream)

    def _drawn_fault(self):
        return self.fault if self.random.random() < self.fault_share else ServerFault.NONE

    async def _answer(self, stream, message):
        """False when the connection is at its end."""
        attempt = message.header(wire.REQUEST_ID) or ""
        fault = self._drawn_fault()
        self.promises.note_arrival(self.service, attempt)
        if message.header(wire.EXPECTED_SERVER) not in (None, self.id):
            await stream.send(http11.response(421, []))
            return True
        if fault is ServerFault.SHED:
            await stream.send(http11.response(503, [(wire.NOT_EXECUTED, "1")]))
            return True
        work = Work.from_path(message.start.target.decode())
        run = Run(attempt, self.id, self.service, self.promises.clock())
        self.promises.note_run(run, is_idempotent=message.start.method == b"GET")
        is_left = await self._work(stream, work.work_s * (8 if fault is ServerFault.SLOW else 1))
        run.ended = self.promises.clock()
        if is_left or fault is ServerFault.LOSE_ANSWER:
            stream.reset()
            return False
        return await self._send(stream, attempt, work, fault)

    @staticmethod
    async def _work(stream, seconds):
        """True when the peer closed the connection meanwhile; the work then ends."""
        closed = asyncio.ensure_future(stream.reader.read(1))
        done, _ = await asyncio.wait([closed], timeout=seconds)
        if done:
            return True
        closed.cancel()
        await asyncio.gather(closed, return_exceptions=True)
        return False

    async def _send(self, stream, attempt, work, fault):
        body = answer_body(attempt, work.answer_bytes)
        headers = [(wire.REQUEST_ID, attempt), (wire.PROOF, proof_of(attempt, body))]
        if fault is ServerFault.FAIL:
            await stream.send(http11.response(500, headers[:1]))
            return True
        answer = stream.bytes_of(http11.response(200, headers, body), body)
        if fault is ServerFault.TRUNCATE:
            answer = answer[:-max(1, len(body) // 2)]
        elif fault is ServerFault.EXTRA_ANSWER:
            answer += answer
        stream.writer.write(answer)
        await stream.writer.drain()
        return fault is not ServerFault.TRUNCATE
