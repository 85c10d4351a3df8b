"""Callers of each node: open-loop load on new and reused connections; some callers abandon their requests."""
import asyncio
import dataclasses
import itertools

import h11

from platform_soak import wire
from soak import http11
from soak.backends import RequestedWork
from soak.invariants import CallerRequest

CONNECT_TIMEOUT_S = 1.0
# Below the idle timeout in the configuration.
MAX_IDLE_TIME_S = 10.0
MAX_IDLE_CONNECTIONS = 32
# Callers wait this much longer than the deadline that they send.
TIMEOUT_MARGIN_S = 1.5


@dataclasses.dataclass
class RequestKind:
    """One kind of request; `prefix` is the path prefix of its route."""

    prefix: str
    service: str
    is_idempotent: bool
    requests_per_second: float
    work_s: float
    response_bytes: int
    deadline_s: float
    # Share of requests that their callers abandon before the work is done.
    abandon_probability: float = 0.05


REQUEST_KINDS = (RequestKind("/find/", "lookup", True, 12, 0.02, 400, 1.5),
                 RequestKind("/pay/", "lookup", False, 8, 0.03, 5000, 2.0),
                 RequestKind("/order/", "orders", False, 6, 0.03, 60000, 2.0),
                 RequestKind("/slow/", "orders", True, 1, 1.5, 1500, 4.0, abandon_probability=0.3))


class Callers:
    """All callers of one node."""

    def __init__(self, node, invariants, random):
        self.node, self.invariants, self.random = node, invariants, random
        self._numbers = itertools.count()
        self._idle_connections = []
        self._tasks = set()
        self.is_sending = True

    async def run(self):
        await asyncio.gather(*(self._generate_requests(kind) for kind in REQUEST_KINDS))

    async def drain(self):
        self.is_sending = False
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _generate_requests(self, kind):
        while self.is_sending:
            await asyncio.sleep(self.random.expovariate(kind.requests_per_second))
            if await self.node.accepts_callers():
                task = asyncio.ensure_future(self.send(kind))
                self._tasks.add(task)
                task.add_done_callback(self._complete)

    def _complete(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception():
            raise task.exception()

    async def send(self, kind):
        """Sends one request and returns it with its recorded outcome."""
        request = CallerRequest(f"{self.node.number}-{next(self._numbers)}-{self.random.getrandbits(40):010x}",
                                self.node.number, kind.service, kind.is_idempotent, self.invariants.clock())
        self.invariants.record_sent(request)
        stream, last_used = await self._acquire_connection()
        if stream is None:
            self.invariants.counts["connect failures"] += 1
        else:
            request.reused_connection = last_used is not None
            await self._exchange(stream, request, kind)
        request.ended_at = self.invariants.clock()
        return request

    async def _acquire_connection(self):
        """Returns a stream and the time of its last use, which is None for a new connection."""
        now = self.invariants.clock()
        while self._idle_connections and self.random.random() < 0.5:
            stream, last_used = self._idle_connections.pop()
            if now - last_used < MAX_IDLE_TIME_S and not stream.reader.at_eof():
                return stream, last_used
            stream.close()
        try:
            return await http11.open_stream(*self.node.caller_address, CONNECT_TIMEOUT_S), None
        except (OSError, asyncio.TimeoutError):
            return None, None

    async def _exchange(self, stream, request, kind):
        method = "GET" if kind.is_idempotent else "POST"
        body = b"" if kind.is_idempotent else request.id.encode() * 20
        target = kind.prefix + RequestedWork(kind.work_s, kind.response_bytes).path()
        headers = [(wire.REQUEST_ID, request.id), (wire.DEADLINE_MS, str(int(kind.deadline_s * 1000)))]
        will_abandon = self.random.random() < kind.abandon_probability
        timeout = kind.work_s * self.random.random() if will_abandon else kind.deadline_s + TIMEOUT_MARGIN_S
        try:
            await stream.send(http11.request(method, target, wire.HOST, headers, body), body)
            response = await asyncio.wait_for(stream.receive(), timeout)
        except asyncio.TimeoutError:
            request.was_abandoned = True
            request.ended_at = self.invariants.clock()
            stream.close()
            if not will_abandon:
                self.invariants.counts["response timeouts"] += 1
            return
        except h11.RemoteProtocolError as error:
            self._record_protocol_error(request, stream, error)
            return
        except OSError:
            response = None
        request.ended_at = self.invariants.clock()
        if response is None:
            # The node may close an idle connection while a request is in transit; the node has not read that request.
            if not request.reused_connection:
                self.invariants.record_lost_connection(request)
            stream.close()
            return
        self._record_response(stream, request, response)

    def _record_protocol_error(self, request, stream, error):
        stream.close()
        request.ended_at = self.invariants.clock()
        # These h11 messages mean that the connection closed before or during the response. The caller can detect both
        # cases, so they do not count as invalid responses.
        if "ConnectionClosed" in str(error) or "without sending complete message" in str(error):
            if not request.reused_connection or "without sending" in str(error):
                self.invariants.record_lost_connection(request)
        else:
            self.invariants.record_invalid_response(request, str(error))

    def _record_response(self, stream, request, response):
        request.status = response.start.status_code
        self.invariants.record_response(request, response.header(wire.REQUEST_ID), response.header(wire.PROOF),
                                        response.body)
        if stream.next_cycle() and len(self._idle_connections) < MAX_IDLE_CONNECTIONS:
            self._idle_connections.append((stream, self.invariants.clock()))
        else:
            stream.close()
