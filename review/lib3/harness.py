"""Stand-ins for the platform's store, workers and consumers, and a launcher for skylark-node.

Standard library only. Every address is a loopback address. Node n uses 127.N.1.n, where N is drawn for each run; all
nodes use the same ports, as on the users' platform.
"""
import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "bin", "skylark-node")
TEMPLATE = os.path.join(ROOT, "platform", "node.json.template")
HOST = "review.example"
REQUEST_ID = "Skylarkbay-Attempt-Id"
SIGNATURE = "Skylarkbay-Response-Signature"
NOT_EXECUTED = "Skylarkbay-Not-Executed"
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, with the seconds since the start of the script."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self._started_at = time.monotonic()
        self(f"trouble: {'yes' if HAS_TROUBLE else 'no'}")

    def now(self):
        return time.monotonic() - self._started_at

    def __call__(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Head:
    def __init__(self, start, fields):
        self.start, self.fields = start, fields

    def field(self, name, default=None):
        return next((value for key, value in self.fields if key.lower() == name.lower()), default)


async def read_head(reader):
    """Returns the head of the next message, or None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("the connection ended within a head") from error
        return None
    lines = text.decode("latin-1").split("\r\n")[:-2]
    fields = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:]]
    return Head(lines[0], fields)


async def read_body(reader, head):
    """Reads a body with a length or in chunks; a request without either has none."""
    if (head.field("Transfer-Encoding") or "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        while await reader.readline() != b"\r\n":
            pass
        return body
    return await reader.readexactly(int(head.field("Content-Length", "0")))


def head_bytes(start, fields):
    return ("\r\n".join([start] + [f"{name}: {value}" for name, value in fields]) + "\r\n\r\n").encode("latin-1")


class Store:
    """The platform's store: kv-key, kv-range and kv-watch."""

    def __init__(self, record):
        self.record = record
        # Called with the peer's host; returns None, a status, "reset" or "silent".
        self.fault = lambda host: None
        self.revision = 10
        self.items = {}
        self.events = []
        self.era = None
        self._changed = asyncio.Event()
        self._server = None

    async def start(self, address):
        self._server = await asyncio.start_server(self._serve, *address, backlog=512)

    def put(self, key, value):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.items[key] = {"key": key, "value": text, "revision": self.revision, "created": created, "lease": 0}
        self.events.append(self.items[key])
        self.notify()

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "deleted": True})
            self.notify()

    def notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                await read_body(reader, head)
                fault = self.fault(writer.get_extra_info("peername")[0])
                if fault == "reset":
                    writer.transport.abort()
                    return
                if fault == "silent":
                    await asyncio.sleep(3600)
                status, body = (fault, {}) if fault else await self._answer(head.start.split()[1])
                text = json.dumps(body).encode()
                fields = [("Content-Type", "application/json"), ("Content-Length", len(text))]
                if self.era is not None:
                    fields.append(("Store-Era", self.era))
                writer.write(head_bytes(f"HTTP/1.1 {status} X", fields) + text)
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, target):
        await asyncio.sleep(0.004)
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        if parts.path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (200 if item else 404), {**(item or {}), "store_revision": self.revision}
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        if parts.path == "/-/kv-range":
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            return 200, {"items": [self.items[key] for key in keys], "truncated": False,
                         "store_revision": self.revision}
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            events = [event for event in self.events
                      if event["revision"] > int(after) and event["key"].startswith(prefix)]
            remaining = deadline - time.monotonic()
            if events or remaining <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), remaining)


class Worker:
    """A worker beside a node. `answer(worker, head, body, writer)` writes the answer of a request that is run and
    returns True if the connection stays open."""

    def __init__(self, record, store, number, service, zone, address, answer):
        self.record, self.store, self.service, self.zone, self.address = record, store, service, zone, address
        self.number = number
        self.id = f"i-{number}{random.getrandbits(24):06x}"
        self.answer = answer
        self.state = "ready"
        self.slots = 12
        self.is_registered = True
        self.runs = []
        self.writers = set()
        self.cold_until = 0.0
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._tasks = []

    async def start(self):
        self._server = await asyncio.start_server(self._serve, *self.address, backlog=128)
        self._tasks.append(asyncio.ensure_future(self._beat()))

    def report(self):
        self._sequence += 1
        self.store.put(f"servers/{self.id}", {
            "address": "%s:%d" % self.address, "born": self._born,
            "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
            "status": {"state": self.state, "sequence": self._sequence,
                       "cold_left": f"{max(0, int(1000 * (self.cold_until - time.monotonic())))}ms"}})

    async def _beat(self):
        while self.is_registered:
            self.report()
            await asyncio.sleep(1.5)

    async def restart(self, clock_step_ms=0):
        """Crashes and starts again under the same id, with the machine's time of day off by `clock_step_ms`."""
        for writer in list(self.writers):
            writer.transport.abort()
        self._born = int(time.time() * 1000) + clock_step_ms
        self._sequence = 0
        self.state = "ready"
        self.record(f"worker {self.id} restarted, born={self._born}")
        self.report()

    def become_cold(self, seconds):
        """Health answers and each later report say it."""
        self.cold_until = time.monotonic() + seconds
        self.record(f"worker {self.id} is cold for {seconds} s")
        self.report()

    def exit(self):
        """Ends the worker: its entry goes, and what it still runs is lost."""
        self.record(f"worker {self.id} exits")
        self.leave()
        self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def leave(self):
        self.is_registered = False
        self.store.remove(f"servers/{self.id}")

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                body = await read_body(reader, head)
                request_id = head.field(REQUEST_ID)
                expected = head.field("Skylarkbay-Expect-Instance")
                if expected not in (None, self.id):
                    writer.write(head_bytes("HTTP/1.1 421 Misdirected Request", [
                        ("Skylarkbay-Instance-Id", self.id), ("Content-Length", 0)]))
                    continue
                method, target, _ = head.start.split()
                if target == "/healthz":
                    cold_ms = max(0, int(1000 * (self.cold_until - time.monotonic())))
                    self.record(f"health check at {self.id}")
                    writer.write(head_bytes("HTTP/1.1 200 OK", [
                        ("Skylarkbay-Instance-Id", self.id), ("Skylarkbay-Cold-Ms", cold_ms), ("Content-Length", 0)]))
                    continue
                self.runs.append((time.monotonic(), request_id))
                self.record(f"run id={request_id} {method} {target} at={self.service}/{self.id} "
                            f"deadline={head.field('Skylarkbay-Deadline-Ms')}")
                if not await self.answer(self, head, body, writer):
                    return
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def signature(request_id, body):
    return f"{len(body):x}.{sum(body) & 0xffff:04x}.{request_id}"


def answer_head(request_id, body, status="200 OK", extra=()):
    return head_bytes(f"HTTP/1.1 {status}", [(REQUEST_ID, request_id), (SIGNATURE, signature(request_id, body)),
                                             ("Content-Length", len(body)), *extra])


class Node:
    def __init__(self, record, folder, number, service, zone, host, ports, store_address, settings):
        self.record, self.number, self.service, self.host, self.ports = record, number, service, host, ports
        self.path = os.path.join(folder, f"node-{number}.json")
        self.log_path = os.path.join(folder, f"node-{number}.log")
        self.caller = (host, ports["caller"])
        self.server = (host, ports["server"])
        bounds = {"grace": "6s", "drain": "2000ms", "retry_budget_ratio": "0.2", "retry_budget_slack": "60",
                  "retry_window": '"10s"'}
        self.settings = {
            "instance": f"sidecar-{zone}-{number}", "zone": zone, "regions": {"z-a": "r", "z-b": "r"},
            "service": service, "callerAddress": f"{host}:{ports['caller']}",
            "readyAddress": f"{host}:{ports['ready']}", "peerAddress": f"{host}:{ports['peer']}",
            "metricsAddress": f"{host}:{ports['metrics']}", "serverAddress": f"{host}:{ports['server']}",
            "sourceAddress": "%s:%d" % store_address, "sourceInterval": "500ms", "stopGrace": bounds["grace"],
            "drainTime": bounds["drain"], "retryRatio": 0.2, "retrySlack": 60, "retryWindow": "10s",
            "memoryLimitMb": 260, "descriptorLimit": 4100, "linkMbps": 1000.0, **settings}
        self.process = None

    async def start(self):
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, env={"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"),
                              "SKYLARKBAY_SETTINGS": self.path}, stdout=log, stderr=log, cwd=ROOT)
        self.record(f"node {self.number} started")

    def signal(self, number):
        self.record(f"node {self.number} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.host, self.ports["ready"]), 1)
            writer.write(head_bytes("GET /-/ready HTTP/1.1", [("Host", self.host)]))
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head.start + " "
        except (OSError, asyncio.TimeoutError):
            return False


class Answer:
    """What a consumer received. `end` is "complete", "closed", "reset", "timeout" or "refused"; for a body without a
    length, "closed" is its regular end."""

    def __init__(self):
        self.head, self.body, self.end, self.seconds = None, b"", "closed", 0.0

    @property
    def status(self):
        return int(self.head.start.split()[1]) if self.head else None


class Deployment:
    """Nodes with their workers, a store and an operator. Use as an asynchronous context manager."""

    def __init__(self, record, services, answer, settings=None, store_of=None):
        """`services`: the service of each node. `store_of(number, store_address)`: the address at which node `number`
        reaches the store."""
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.network = random.randrange(10, 250)
        self.ports = self._free_ports()
        self.store = Store(record)
        self.store_address = (f"127.{self.network}.9.1", self.ports["store"])
        self.version = 0
        self.nodes, self.workers = [], []
        for index, service in enumerate(services):
            host, zone = f"127.{self.network}.1.{index + 1}", ("z-a", "z-b")[index % 2]
            address = store_of(index + 1, self.store_address) if store_of else self.store_address
            node = Node(record, self.folder, index + 1, service, zone, host, self.ports, address, settings or {})
            self.nodes.append(node)
            self.workers.append(Worker(record, self.store, index + 1, service, zone, node.server, answer))

    def _free_ports(self):
        first = random.randrange(20000, 30000, 10)
        names = ("caller", "ready", "peer", "metrics", "server", "store")
        for offset in range(len(names)):
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind((f"127.{self.network}.9.9", first + offset))
        return {name: first + offset for offset, name in enumerate(names)}

    def configure(self, rules, limits=None, cluster=None):
        """`rules`: (name, prefix, service or split, kind, timeout_ms, max_attempts)."""
        self.version += 1
        policy = []
        for name, prefix, service, kind, timeout_ms, attempts in rules:
            action = {"timeout": f"{timeout_ms}ms", "max_attempts": attempts}
            action["service" if isinstance(service, str) else "traffic_split"] = service
            policy.append({"name": name, "kind": kind, "target_latency": "250ms", "priority": 1,
                           "match": {"path_prefix": prefix}, "action": action})
        services = sorted({worker.service for worker in self.workers})
        self.store.put("op/config", {
            "version": f"{self.version:08x}",
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms",
                       "idle_timeout": "15000ms", **(limits or {})},
            "listeners": [{"host": HOST, "policy": policy}],
            "clusters": [{"name": name, "health_path": "/healthz", "max_connections": 120,
                          **(cluster or {})} for name in services]})
        self.record(f"operator sent version {self.version:08x}")

    async def __aenter__(self):
        await self.store.start(self.store_address)
        for worker in self.workers:
            await worker.start()
        return self

    async def start_nodes(self, settle_s=8.0):
        """Starts all nodes and waits until they are ready and have been in touch for the platform's lead time."""
        for node in self.nodes:
            await node.start()
        started_at = time.monotonic()
        while not all([await node.is_ready() for node in self.nodes]):
            if time.monotonic() - started_at > 20:
                raise CannotRun("the nodes did not become ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(max(0.0, settle_s - (time.monotonic() - started_at)))
        self.record("all nodes are ready")

    async def __aexit__(self, *_):
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    node.process.send_signal(signal.SIGCONT)
                    node.process.kill()
                await node.process.wait()
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not be played."""


_numbers = iter(range(1, 1 << 40))


def new_id():
    return f"{random.getrandbits(40):010x}{next(_numbers):06x}"


async def connect(address, max_segment=None, receive_bytes=None):
    """`receive_bytes` bounds what the system and this program hold of an answer that is read slowly."""
    connection = socket.socket()
    if receive_bytes:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    if max_segment:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, max_segment)
    connection.setblocking(False)
    await asyncio.wait_for(asyncio.get_running_loop().sock_connect(connection, address), 1)
    return await asyncio.open_connection(sock=connection, limit=receive_bytes or 64 * 1024)


def request_bytes(method, path, request_id, deadline_ms, body=b"", extra=()):
    fields = [("Host", HOST), (REQUEST_ID, request_id), ("Skylarkbay-Deadline-Ms", deadline_ms), *extra]
    if body or method not in ("GET", "HEAD"):
        fields.append(("Content-Length", len(body)))
    return head_bytes(f"{method} {path} HTTP/1.1", fields) + body


async def receive(reader, timeout_s, read_bytes=65536, pause_s=0.0):
    """Receives one answer; with `pause_s`, reads `read_bytes` at a time and waits between the reads."""
    answer, started_at = Answer(), time.monotonic()

    async def run():
        answer.head = await read_head(reader)
        if answer.head is None:
            return
        length = answer.head.field("Content-Length")
        if (answer.head.field("Transfer-Encoding") or "").lower() == "chunked":
            answer.body = await read_body(reader, answer.head)
            answer.end = "complete"
            return
        while length is None or len(answer.body) < int(length):
            size = read_bytes if length is None else min(read_bytes, int(length) - len(answer.body))
            data = await reader.read(size)
            if not data:
                answer.end = "closed"
                return
            answer.body += data
            if pause_s:
                await asyncio.sleep(pause_s)
        answer.end = "complete"

    try:
        await asyncio.wait_for(run(), timeout_s)
    except asyncio.TimeoutError:
        answer.end = "timeout"
    except asyncio.IncompleteReadError:
        answer.end = "closed"
    except OSError:
        answer.end = "reset"
    answer.seconds = time.monotonic() - started_at
    return answer


async def send(record, address, method, path, deadline_ms=1500, body=b"", request_id=None, timeout_s=None):
    """Sends one request on a new connection and returns its id and the Answer."""
    request_id = request_id or new_id()
    record(f"sent id={request_id} {method} {path} to={address[0]}")
    try:
        reader, writer = await connect(address)
    except (OSError, asyncio.TimeoutError):
        answer = Answer()
        answer.end = "refused"
    else:
        writer.write(request_bytes(method, path, request_id, deadline_ms, body))
        answer = await receive(reader, timeout_s or deadline_ms / 1000 + 1)
        writer.close()
    record(f"answered id={request_id} status={answer.status} end={answer.end} bytes={len(answer.body)} "
           f"after={answer.seconds:.3f}")
    return request_id, answer


async def _play(record, scenario):
    # The end of the loop cancels the tasks of open connections; asyncio would print each of them.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    return await asyncio.wait_for(scenario(record), 110)


def main(folder, scenario):
    """Runs `scenario(record)`, which returns a list of broken rules, and exits with 0, 1 or 2."""
    record = Record(folder)
    try:
        broken = asyncio.run(_play(record, scenario))
    except Exception as error:  # Any failure of the script itself means that the case was not played.
        record(f"could not run: {error!r}")
        print("could not run:", repr(error))
        sys.exit(2)
    for line in broken:
        record(f"BROKEN {line}")
        print(line)
    record("result: broken" if broken else "result: held")
    sys.exit(1 if broken else 0)
