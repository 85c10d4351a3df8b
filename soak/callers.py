"""Callers beside each node: open-loop load on kept and on new connections, some of which leave early."""
import asyncio
import dataclasses
import itertools

import h11

from platform_soak import wire
from soak import http11
from soak.backends import Work
from soak.promises import Attempt

CONNECT_TIMEOUT_S = 1.0
# Below the idle timeout of the configuration.
KEPT_FOR_S = 10.0
MOST_KEPT = 32
# A caller waits this much longer than the deadline that it states.
PATIENCE_SLACK_S = 1.5


@dataclasses.dataclass
class Kind:
    """One kind of request; the path's prefix is the route's."""

    prefix: str
    service: str
    is_idempotent: bool
    per_second: float
    work_s: float
    answer_bytes: int
    deadline_s: float
    # Of the requests whose callers leave before the work is done.
    leaving_share: float = 0.05


KINDS = (Kind("/find/", "lookup", True, 12, 0.02, 400, 1.5),
         Kind("/pay/", "lookup", False, 8, 0.03, 5000, 2.0),
         Kind("/order/", "orders", False, 6, 0.03, 60000, 2.0),
         Kind("/slow/", "orders", True, 1, 1.5, 1500, 4.0, leaving_share=0.3))


class Callers:
    """All callers of one node."""

    def __init__(self, node, promises, random):
        self.node, self.promises, self.random = node, promises, random
        self._numbers = itertools.count()
        self._kept = []
        self._tasks = set()
        self.is_sending = True

    async def run(self):
        await asyncio.gather(*(self._arrivals(kind) for kind in KINDS))

    async def drain(self):
        self.is_sending = False
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _arrivals(self, kind):
        while self.is_sending:
            await asyncio.sleep(self.random.expovariate(kind.per_second))
            if await self.node.takes_callers():
                task = asyncio.ensure_future(self.send(kind))
                self._tasks.add(task)
                task.add_done_callback(self._finish)

    def _finish(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception():
            raise task.exception()

    async def send(self, kind):
        """Sends one request and notes what became of it; gives the attempt."""
        attempt = Attempt(f"{self.node.number}-{next(self._numbers)}-{self.random.getrandbits(40):010x}",
                          self.node.number, kind.service, kind.is_idempotent, self.promises.clock())
        self.promises.note_sent(attempt)
        stream, since = await self._connection()
        if stream is None:
            self.promises.counts["not connected"] += 1
        else:
            attempt.was_kept_connection = since is not None
            await self._exchange(stream, attempt, kind)
        attempt.ended = self.promises.clock()
        return attempt

    async def _connection(self):
        """A stream and, for a kept one, the time of its last use."""
        now = self.promises.clock()
        while self._kept and self.random.random() < 0.5:
            stream, since = self._kept.pop()
            if now - since < KEPT_FOR_S and not stream.reader.at_eof():
                return stream, since
            stream.close()
        try:
            return await http11.open_stream(*self.node.caller_address, CONNECT_TIMEOUT_S), None
        except (OSError, asyncio.TimeoutError):
            return None, None

    async def _exchange(self, stream, attempt, kind):
        method = "GET" if kind.is_idempotent else "POST"
        body = b"" if kind.is_idempotent else attempt.id.encode() * 20
        target = kind.prefix + Work(kind.work_s, kind.answer_bytes).path()
        headers = [(wire.REQUEST_ID, attempt.id), (wire.DEADLINE_MS, str(int(kind.deadline_s * 1000)))]
        leaves = self.random.random() < kind.leaving_share
        patience = kind.work_s * self.random.random() if leaves else kind.deadline_s + PATIENCE_SLACK_S
        try:
            await stream.send(http11.request(method, target, wire.HOST, headers, body), body)
            answer = await asyncio.wait_for(stream.receive(), patience)
        except asyncio.TimeoutError:
            attempt.was_left = True
            attempt.ended = self.promises.clock()
            stream.close()
            if not leaves:
                self.promises.counts["no answer in time"] += 1
            return
        except h11.RemoteProtocolError as error:
            self._note_protocol_error(attempt, stream, error)
            return
        except OSError:
            answer = None
        attempt.ended = self.promises.clock()
        if answer is None:
            # A kept connection may be closed while the request is under way; it was then not read.
            if not attempt.was_kept_connection:
                self.promises.note_cut(attempt)
            stream.close()
            return
        self._note_answer(stream, attempt, answer)

    def _note_protocol_error(self, attempt, stream, error):
        stream.close()
        attempt.ended = self.promises.clock()
        # h11's words for an end before the answer and within it; both are plain to the caller.
        if "ConnectionClosed" in str(error) or "without sending complete message" in str(error):
            if not attempt.was_kept_connection or "without sending" in str(error):
                self.promises.note_cut(attempt)
        else:
            self.promises.note_broken_answer(attempt, str(error))

    def _note_answer(self, stream, attempt, answer):
        attempt.status = answer.start.status_code
        self.promises.note_answer(attempt, answer.header(wire.REQUEST_ID), answer.header(wire.PROOF), answer.body)
        if stream.next_cycle() and len(self._kept) < MOST_KEPT:
            self._kept.append((stream, self.promises.clock()))
        else:
            stream.close()
