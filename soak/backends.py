"""Simulated backend servers beside the nodes, with injectable faults."""
import asyncio
import dataclasses
import enum
import time
import zlib

import h11

from platform_soak import wire
from soak import http11
from soak.invariants import Execution, compute_proof, response_body

SLOTS = 8


class ServerFault(enum.Enum):
    NONE = "none"
    # Executes the request, then resets the connection without a response.
    LOSE_ANSWER = "lose-answer"
    # Sends fewer bytes than Content-Length states.
    TRUNCATE = "truncate"
    # Sends the response twice.
    EXTRA_ANSWER = "extra-answer"
    # Rejects the request and states that it was not executed.
    SHED = "shed"
    # Takes 8 times the work time.
    SLOW = "slow"
    # Executes the request, then responds with 500, or with 503 but without stating that it was not executed.
    FAIL = "fail"


def failure_status(request_id):
    """Returns 500 or 503. Drawing it would change the faults of the seeds that are kept as regressions."""
    return 503 if zlib.crc32(request_id.encode()) % 2 else 500


@dataclasses.dataclass
class RequestedWork:
    """Work time and response size that a request asks for in its path."""

    work_s: float
    response_bytes: int

    def path(self):
        return f"{int(self.work_s * 1000)}/{self.response_bytes}"

    @staticmethod
    def from_path(path):
        work_ms, size = path.rstrip("/").split("/")[-2:]
        return RequestedWork(int(work_ms) / 1000, int(size))


class Backend:
    """One backend server at a fixed address; each start() assigns a new id."""

    def __init__(self, number, service, zone, address, store, invariants, random):
        self.number, self.service, self.zone, self.address = number, service, zone, address
        self.store, self.invariants, self.random = store, invariants, random
        self.fault, self.fault_probability = ServerFault.NONE, 0.0
        self.id = ""
        self._starts = 0
        self._started_at_ms = 0
        self._heartbeats = 0
        self._server = None
        self._connections = set()
        self._is_draining = False

    async def start(self):
        self._starts += 1
        self.id = f"server-{self.number}-{self._starts}"
        self._started_at_ms = int(time.time() * 1000)
        self._heartbeats = 0
        self._is_draining = False
        self._server = await asyncio.start_server(self._serve, *self.address, backlog=256)
        self.publish()

    def publish(self):
        self._heartbeats += 1
        host, port = self.address
        entry = wire.server_entry(self.service, f"{host}:{port}", self.zone, SLOTS, self._is_draining,
                                  self._started_at_ms, self._heartbeats)
        self.store.put(wire.server_key(self.id), entry)

    def start_draining(self):
        self._is_draining = True
        self.invariants.drain_started_at[self.id] = self.invariants.clock()
        self.publish()

    def stop(self, remove_entry):
        self._server.close()
        for stream in list(self._connections):
            stream.reset()
        if remove_entry:
            self.store.remove(wire.server_key(self.id))

    async def _serve(self, reader, writer):
        stream = http11.Stream(reader, writer, h11.SERVER)
        self._connections.add(stream)
        try:
            await stream.serve(self._handle_request)
        finally:
            self._connections.discard(stream)

    def _draw_fault(self):
        return self.fault if self.random.random() < self.fault_probability else ServerFault.NONE

    async def _handle_request(self, stream, message):
        """Handles one request; returns False when the connection must close."""
        request_id = message.header(wire.REQUEST_ID) or ""
        fault = self._draw_fault()
        self.invariants.record_arrival(self.service, request_id)
        if message.header(wire.EXPECTED_SERVER) not in (None, self.id):
            await stream.send(http11.response(421, []))
            return True
        if fault is ServerFault.SHED:
            await stream.send(http11.response(503, [(wire.NOT_EXECUTED, "1")]))
            return True
        work = RequestedWork.from_path(message.start.target.decode())
        execution = Execution(request_id, self.id, self.service, self.invariants.clock())
        self.invariants.record_execution(execution, is_idempotent=message.start.method == b"GET")
        is_abandoned = await self._simulate_work(stream, work.work_s * (8 if fault is ServerFault.SLOW else 1))
        execution.ended_at = self.invariants.clock()
        if is_abandoned or fault is ServerFault.LOSE_ANSWER:
            stream.reset()
            return False
        return await self._send_response(stream, request_id, work, fault)

    @staticmethod
    async def _simulate_work(stream, seconds):
        """Waits for the work time; returns True early when the peer closes the connection."""
        read_task = asyncio.ensure_future(stream.reader.read(1))
        done, _ = await asyncio.wait([read_task], timeout=seconds)
        if done:
            return True
        read_task.cancel()
        await asyncio.gather(read_task, return_exceptions=True)
        return False

    async def _send_response(self, stream, request_id, work, fault):
        body = response_body(request_id, work.response_bytes)
        headers = [(wire.REQUEST_ID, request_id), (wire.PROOF, compute_proof(request_id, body))]
        if fault is ServerFault.FAIL:
            await stream.send(http11.response(failure_status(request_id), headers[:1]))
            return True
        data = stream.serialize(http11.response(200, headers, body), body)
        if fault is ServerFault.TRUNCATE:
            data = data[:-max(1, len(body) // 2)]
        elif fault is ServerFault.EXTRA_ANSWER:
            data += data
        stream.writer.write(data)
        await stream.writer.drain()
        return fault is not ServerFault.TRUNCATE
