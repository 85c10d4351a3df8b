"""Stand-ins for the cases of review/6 to review/10: the platform, its store, workers and consumers, on loopback.

Only the Python standard library is used. The nodes are the project's own program, started with the command of
deploy/system.toml and settings like those of platform/node.json.template. Each case is a script that uses Mesh and ends
with Mesh.finish(); only processes that Mesh started are signalled, by their ids.
"""
import asyncio
import base64
import hashlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
ID = "Skylarkbay-Attempt-Id"
DEADLINE = "Skylarkbay-Deadline-Ms"
EXPECT = "Skylarkbay-Expect-Instance"
CALLER = "Skylarkbay-Caller-Service"
PROOF = "Skylarkbay-Response-Signature"
NOT_EXECUTED = "Skylarkbay-Not-Executed"
REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 421: "Misdirected Request", 503: "Service Unavailable"}


class CannotRun(Exception):
    """The case could not be played; the script exits with 2."""


def proof(request_id, body):
    return hashlib.sha256(request_id.encode() + b"\n" + body).hexdigest()[:16]


async def read_head(reader):
    """Returns (first line, [(name, value)]) or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    fields = []
    for line in lines:
        name, _, value = line.partition(":")
        fields.append((name.strip(), value.strip()))
    return first, fields


def field(fields, name):
    for key, value in fields:
        if key.lower() == name.lower():
            return value
    return None


async def read_body(reader, fields):
    if (field(fields, "Transfer-Encoding") or "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    return await reader.readexactly(int(field(fields, "Content-Length") or 0))


def head_bytes(status, fields):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"] + [f"{name}: {value}" for name, value in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Store:
    """The platform's store: reads and watches, as PROTOCOL.md describes them."""

    def __init__(self):
        self._items, self._events, self._revision = {}, [], 100
        self._changed = asyncio.Event()

    async def start(self, host, port):
        self._server = await asyncio.start_server(self._serve, host, port, backlog=512)

    def _append(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, key, value):
        self._revision += 1
        item = {"key": key, "value": base64.b64encode(json.dumps(value).encode()).decode(),
                "revision": self._revision, "lease": 0,
                "created": self._items.get(key, {"created": self._revision})["created"]}
        self._items[key] = item
        self._append(item)

    def remove(self, key):
        if self._items.pop(key, None):
            self._revision += 1
            self._append({"key": key, "revision": self._revision, "deleted": True})

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                status, body = await self._answer(head[0].split(" ")[1])
                raw = json.dumps(body).encode()
                writer.write(head_bytes(status, [("Content-Type", "application/json"), ("Store-Era", "1"),
                                                 ("Content-Length", str(len(raw)))]) + raw)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, target):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        if parts.path == "/-/kv-key":
            item = self._items.get(query["key"])
            return (200 if item else 404), {**(item or {}), "store_revision": self._revision}
        prefix = query.get("path_prefix", "")
        if parts.path == "/-/kv-range":
            keys = sorted(key for key in self._items if key.startswith(prefix) and key > query.get("after", ""))
            return 200, {"items": [self._items[key] for key in keys[:500]], "truncated": len(keys) > 500,
                         "store_revision": self._revision}
        after, until = int(query["after"]), time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            events = [event for event in self._events if event["revision"] > after and event["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Worker:
    """A sound worker. `answer(worker, fields, target, body)` returns (status, extra fields, body, work in s)."""

    def __init__(self, mesh, number, service, answer=None, unframed=False):
        self.mesh, self.number, self.service, self.unframed = mesh, number, service, unframed
        self.id = f"i-{number}{random.getrandbits(24):06x}"
        self.host, self.port = mesh.host(number), mesh.ports["app"]
        self._answer = answer or (lambda worker, fields, target, body: (200, [], b"served\n", 0.02))
        self._born, self._sequence, self.state = int(time.time() * 1000), 0, "ready"
        self._writers = set()
        # (time, id, target, caller service) of each request that it began to work on.
        self.runs = []

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.host, self.port, backlog=512, limit=1 << 20)
        self.put(self.entry())
        self._task = asyncio.ensure_future(self._beat())

    def entry(self):
        """The worker's next check-in."""
        self._sequence += 1
        return {"address": f"{self.host}:{self.port}", "born": self._born,
                "info": {"service": self.service, "zone": "zone-a", "slots": 12, "version": "1.0"},
                "status": {"state": self.state, "sequence": self._sequence, "cold_left": "0ms"}}

    def put(self, entry):
        self.mesh.store.put(f"servers/{self.id}", entry)

    def stop_beating(self):
        self._task.cancel()

    def leave(self):
        """Ends the worker: its entry is removed and its connections are reset."""
        self.mesh.store.remove(f"servers/{self.id}")
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _beat(self):
        while True:
            await asyncio.sleep(1.5)
            self.put(self.entry())

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ")
                fields = head[1]
                body = await read_body(reader, fields)
                if not await self._handle(reader, writer, method, target, fields, body):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, reader, writer, method, target, fields, body):
        request_id = field(fields, ID)
        expected = field(fields, EXPECT)
        if request_id is None or expected not in (None, self.id):
            status = 400 if request_id is None else 421
            echo = [] if request_id is None else [(ID, request_id)]
            writer.write(head_bytes(status, echo + [(NOT_EXECUTED, "1"), ("Content-Length", "0")]))
            return True
        self.runs.append((time.monotonic(), request_id, target, field(fields, CALLER)))
        self.mesh.record(f"worker {self.id} ({self.service}) runs {request_id} {method} {target}"
                         f" {CALLER}={field(fields, CALLER)}")
        status, extra, answer, work = self._answer(self, fields, target, body)
        await asyncio.sleep(work)
        out = [(ID, request_id), (PROOF, proof(request_id, answer))] + extra
        if self.unframed:
            writer.write(head_bytes(status, out + [("Connection", "close")]) + answer)
            await writer.drain()
            self.mesh.record(f"worker {self.id} answered {request_id}: {len(answer)} bytes without a length, closes")
            return False
        writer.write(head_bytes(status, out + [("Content-Length", str(len(answer)))]) + answer)
        await writer.drain()
        self.mesh.record(f"worker {self.id} answered {request_id}: {status}, {len(answer)} bytes")
        return True


class Node:
    """One skylark-node process beside a worker."""

    def __init__(self, mesh, number, service, overrides):
        self.mesh, self.number, self.service = mesh, number, service
        self.host = mesh.host(number)
        self.starts = 0
        self.process = None
        ports = mesh.ports
        self.settings = {
            "instance": f"node-{number}", "zone": "zone-a", "regions": {"zone-a": "region-1"}, "service": service,
            "callerAddress": f"{self.host}:{ports['outbound']}", "readyAddress": f"{self.host}:{ports['ready']}",
            "peerAddress": f"{self.host}:{ports['peer']}", "metricsAddress": f"{self.host}:{ports['metrics']}",
            "serverAddress": f"{self.host}:{ports['app']}",
            "sourceAddress": f"{mesh.host(250)}:{ports['store']}", "sourceInterval": "500ms",
            "stopGrace": "6s", "drainTime": "2000ms", "retryRatio": 0.2, "retrySlack": 60, "retryWindow": "10s",
            "memoryLimitMb": 260, "descriptorLimit": 4100, "linkMbps": 1000.0, **overrides}

    @property
    def consumers(self):
        return self.host, self.mesh.ports["outbound"]

    async def start(self):
        self.starts += 1
        path = self.mesh.directory / f"node-{self.number}.json"
        path.write_text(json.dumps(self.settings))
        log = open(self.mesh.directory / f"node-{self.number}.log", "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with log:
            self.process = await asyncio.create_subprocess_exec(
                *self.mesh.command, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
                env={**environment, "SKYLARKBAY_SETTINGS": str(path)})
        self.mesh.processes.append(self.process)
        self.mesh.record(f"platform started node-{self.number} (process start {self.starts})")

    def kill(self, number=signal.SIGKILL):
        self.process.send_signal(number)
        self.mesh.record(f"platform sent {signal.Signals(number).name} to node-{self.number}")

    def is_running(self):
        return self.process.returncode is None

    def resident_mb(self):
        """The process's resident memory, as the platform sees it; 0 after its end."""
        try:
            for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(self._probe(), 1.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer == 200

    async def _probe(self):
        reader, writer = await asyncio.open_connection(self.host, self.mesh.ports["ready"])
        try:
            writer.write(f"GET /-/ready HTTP/1.1\r\nHost: {self.host}\r\n\r\n".encode())
            head = await read_head(reader)
            return int(head[0].split(" ")[1]) if head else 0
        finally:
            writer.close()


class Answer:
    def __init__(self, status, fields, body, ended):
        self.status, self.fields, self.body, self.ended = status, fields, body, ended


class Mesh:
    def __init__(self, folder, routes, services, limits=None):
        self.folder = pathlib.Path(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.routes, self.services, self.limits = routes, services, limits or {}
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes, self.nodes, self.workers = [], [], []
        self.store = Store()
        self._record = open(self.folder / "record.txt", "w", encoding="utf-8")
        self._began = time.monotonic()
        self._net = random.randrange(16, 240)
        self.ports = self._free_ports()
        try:
            run = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["skylark-node"]["run"]
        except (OSError, KeyError) as error:
            raise CannotRun(f"deploy/system.toml: {error}") from error
        self.command = run.split()
        if not (ROOT / self.command[0]).exists():
            raise CannotRun("the program of the deploy file is not built")
        self.record(f"trouble: {'on' if self.trouble else 'off'}")

    def host(self, number):
        return f"127.{self._net}.0.{number}"

    def _free_ports(self):
        names = ("outbound", "ready", "peer", "metrics", "app", "store")
        for _ in range(50):
            first = random.randrange(12000, 30000)
            try:
                for number in (*range(1, 8), 250):
                    for offset in range(len(names)):
                        with socket.socket() as probe:
                            probe.bind((self.host(number), first + offset))
                return {name: first + offset for offset, name in enumerate(names)}
            except OSError:
                continue
        raise CannotRun("no free ports")

    def record(self, text):
        self._record.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._record.flush()

    def publish(self, version):
        self.store.put("op/config", {
            "version": f"{version:08x}",
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout": "3000ms",
                       "idle_timeout": "15s", **self.limits},
            "listeners": [{"host": HOST, "policy": self.routes}],
            "clusters": [{"name": name, "health_path": "/healthz", "max_connections": 120} for name in self.services]})

    async def start(self, nodes, answer=None, unframed=False, **overrides):
        """`nodes` lists the service of each machine."""
        await self.store.start(self.host(250), self.ports["store"])
        self.publish(7)
        for number, service in enumerate(nodes, 1):
            worker = Worker(self, number, service, answer, unframed)
            await worker.start()
            self.workers.append(worker)
            self.nodes.append(Node(self, number, service, overrides))
        for node in self.nodes:
            await node.start()
        await self.until_ready(15)
        # In touch: stable_window (3 s) without a start.
        await asyncio.sleep(3.5)

    async def until_ready(self, seconds):
        end = time.monotonic() + seconds
        while not all([await node.is_ready() for node in self.nodes]):
            if time.monotonic() > end:
                raise CannotRun("the nodes did not become ready")
            await asyncio.sleep(0.1)

    async def stop(self):
        for process in self.processes:
            if process.returncode is None:
                try:
                    process.kill()
                except ProcessLookupError:
                    pass
                await process.wait()
        if os.environ.get("KEEP"):
            print("logs:", self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def route(name, prefix, service, kind="idempotent", timeout="5s", attempts=2, priority=1):
    return {"name": name, "kind": kind, "target_latency": "500ms", "priority": priority,
            "match": {"path_prefix": prefix},
            "action": {"service": service, "timeout": timeout, "max_attempts": attempts}}


def request_bytes(method, target, fields, body=b""):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"] + [f"{name}: {value}" for name, value in fields]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def read_answer(reader):
    """Reads one answer as HTTP/1.1 frames it. Returns None if the connection ended before a complete one."""
    head = await read_head(reader)
    if head is None:
        return None
    status = int(head[0].split(" ")[1])
    try:
        if field(head[1], "Content-Length") is not None or field(head[1], "Transfer-Encoding"):
            return Answer(status, head[1], await read_body(reader, head[1]), "length")
        return Answer(status, head[1], await reader.read(-1), "close")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


async def ask(address, raw, seconds=10.0):
    """Sends one request on a new connection. Returns an Answer, or a string that tells why there is none."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address, limit=1 << 20), 1.0)
    except (OSError, asyncio.TimeoutError):
        return "no connection"
    try:
        writer.write(raw)
        answer = await asyncio.wait_for(read_answer(reader), seconds)
        return answer or "closed without a complete answer"
    except asyncio.TimeoutError:
        return "no answer in time"
    except OSError:
        return "connection reset"
    finally:
        writer.close()


def run_case(folder, case, routes, services, seconds=110, **options):
    """Runs `case(mesh)`, which returns a list of breaches of the rule. Exits with 0, 1 or 2."""
    async def play():
        task = asyncio.current_task()
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        mesh = Mesh(folder, routes, services, **options)
        try:
            breaches = await asyncio.wait_for(case(mesh), seconds)
            for text in breaches[:50]:
                mesh.record(f"BREACH {text}")
            mesh.record(f"result: {'the rule was broken' if breaches else 'the rule held'} ({len(breaches)} breaches)")
            for text in breaches[:5]:
                print(text)
            print("broken" if breaches else "held")
            return 1 if breaches else 0
        except Exception as error:  # pylint: disable=broad-except
            mesh.record(f"the case could not run: {error!r}")
            traceback.print_exc()
            return 2
        except asyncio.CancelledError:
            mesh.record("the case was interrupted")
            return 2
        finally:
            await mesh.stop()
    try:
        sys.exit(asyncio.run(play()))
    except CannotRun as error:
        print(error)
        sys.exit(2)
