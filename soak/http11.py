"""HTTP/1.1 over asyncio streams with h11, for the callers and the stand-ins.

The soak parses HTTP with another library than the node does, so that a framing fault of the node is seen as one.
"""
import asyncio
import dataclasses

import h11

READ_BYTES = 64 * 1024


@dataclasses.dataclass
class Message:
    """A whole request or response; start is the event that h11 gives for its head."""

    start: h11.Request | h11.Response
    body: bytes

    def header(self, name):
        for key, value in self.start.headers:
            if key == name.lower().encode():
                return value.decode()
        return None


class Stream:
    """One connection in the role of a client or a server."""

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
        """The next whole message, or None when the peer closed between two messages.

        Raises h11.RemoteProtocolError for bytes that are no message or a message that is cut, and OSError."""
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

    def bytes_of(self, start, body):
        parts = [self.http.send(start)]
        if body:
            parts.append(self.http.send(h11.Data(data=body)))
        parts.append(self.http.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    async def send(self, start, body=b""):
        self.writer.write(self.bytes_of(start, body))
        await self.writer.drain()

    def next_cycle(self):
        """True when another message may follow on this connection."""
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            return True
        return False

    async def serve(self, answer):
        """Passes each request to answer(stream, message), until that gives False or the peer ends the connection."""
        try:
            while (message := await self.receive()) is not None:
                if not await answer(self, message) or not self.next_cycle():
                    break
        except (OSError, h11.ProtocolError):
            # The peer ended or left this call: nobody waits for an answer.
            pass
        finally:
            self.close()

    def close(self):
        self.writer.close()

    def reset(self):
        """Closes at once; the peer sees a reset where bytes of it are unread."""
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
    """The answer to one GET on a connection of its own; None where there is none in time."""
    try:
        stream = await open_stream(host, port, timeout)
        try:
            await stream.send(request("GET", target, host, []))
            return await asyncio.wait_for(stream.receive(), timeout)
        finally:
            stream.close()
    except (OSError, asyncio.TimeoutError, h11.ProtocolError):
        return None
