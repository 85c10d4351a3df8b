"""HTTP/1.1 over asyncio streams with h11, for callers and stand-ins.

The soak uses a different HTTP parser than the node, so that it detects framing errors of the node.
"""
import asyncio
import dataclasses

import h11

READ_BYTES = 64 * 1024


@dataclasses.dataclass
class Message:
    """A complete request or response; `start` is the h11 event of its head."""

    start: h11.Request | h11.Response
    body: bytes

    def header(self, name):
        for key, value in self.start.headers:
            if key == name.lower().encode():
                return value.decode()
        return None


class Stream:
    """One HTTP/1.1 connection as client or server."""

    def __init__(self, reader, writer, role):
        self.reader = reader
        self.writer = writer
        self.http = h11.Connection(role)

    async def _next_event(self):
        while True:
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.http.receive_data(await self.reader.read(READ_BYTES))

    async def receive(self):
        """Returns the next complete message, or None if the peer closed the connection between messages.

        Raises h11.RemoteProtocolError for an invalid or truncated message, and OSError.
        """
        start, body = None, []
        while True:
            event = await self._next_event()
            if isinstance(event, (h11.Request, h11.Response)):
                start = event
            elif isinstance(event, h11.Data):
                body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return Message(start, b"".join(body))
            elif isinstance(event, h11.ConnectionClosed):
                return None

    def serialize(self, start, body):
        parts = [self.http.send(start)]
        if body:
            parts.append(self.http.send(h11.Data(data=body)))
        parts.append(self.http.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    async def send(self, start, body=b""):
        self.writer.write(self.serialize(start, body))
        await self.writer.drain()

    def next_cycle(self):
        """Prepares for the next message; returns False if the connection cannot be reused."""
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            return True
        return False

    async def serve(self, handle):
        """Calls handle(stream, message) for each request until it returns False or the connection ends."""
        try:
            while (message := await self.receive()) is not None:
                if not await handle(self, message) or not self.next_cycle():
                    break
        except (OSError, h11.ProtocolError):
            # The peer closed the connection, so no response is expected.
            pass
        finally:
            self.close()

    def close(self):
        self.writer.close()

    def reset(self):
        """Closes immediately; the peer sees a reset if some of its data is unread."""
        self.writer.transport.abort()


def response(status, headers, body=b""):
    fields = [("Content-Length", str(len(body)))] + list(headers)
    return h11.Response(status_code=status, headers=fields)


def request(method, target, host, headers, body=b""):
    fields = [("Host", host)] + list(headers)
    if body:
        fields.append(("Content-Length", str(len(body))))
    return h11.Request(method=method, target=target, headers=fields)


async def open_stream(host, port, timeout):
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port), timeout)
    return Stream(reader, writer, h11.CLIENT)


async def fetch(host, port, target, timeout=2.0):
    """Sends a GET request on a new connection; returns the response, or None on failure or timeout."""
    try:
        stream = await open_stream(host, port, timeout)
        try:
            await stream.send(request("GET", target, host, []))
            return await asyncio.wait_for(stream.receive(), timeout)
        finally:
            stream.close()
    except (OSError, asyncio.TimeoutError, h11.ProtocolError):
        return None
