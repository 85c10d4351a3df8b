"""The processes under test: one skylark-node beside each backend server, and the store that they read.

Host numbers: node n is known as 127.0.1.n, where its links and its backend server listen; the process itself listens
for peers on 127.0.2.n, so that all peers come through the link. Ends only processes that it started, by their ids."""
import asyncio
import dataclasses
import json
import os
import signal

from platform_soak import wire
from platform_soak.store import Store
from soak import http11
from soak.backends import Backend
from soak.callers import Callers
from soak.links import Link

STOP_GRACE_S = 6.0
RESTART_S = 0.5
READY_INTERVAL_S = 1.0
MISSES_TO_LEAVE = 2


@dataclasses.dataclass(frozen=True)
class Ports:
    """The same on all hosts; `first` and the ones above it."""

    first: int

    caller = property(lambda self: self.first)
    ready = property(lambda self: self.first + 1)
    peer = property(lambda self: self.first + 2)
    metrics = property(lambda self: self.first + 3)
    server = property(lambda self: self.first + 4)
    store = property(lambda self: self.first + 5)


class Node:
    def __init__(self, number, service, zone, ports, store, program, directory, promises, random):
        self.number, self.service, self.zone, self.ports = number, service, zone, ports
        self.program, self.directory, self.promises = program, directory, promises
        self.host = f"127.0.1.{number}"
        self.own_host = f"127.0.2.{number}"
        self.caller_address = (self.host, ports.caller)
        self.backend = Backend(number, service, zone, (self.host, ports.server), store, promises, random)
        self.peer_link = Link(f"peers-{number}", (self.host, ports.peer), (self.own_host, ports.peer))
        self.store_link = Link(f"store-{number}", (self.host, ports.store), ("127.0.0.1", ports.store))
        self.callers = Callers(self, promises, random)
        self.process = None
        self.starts = 0
        # Ended on purpose; an end at any other time is a fault of the program.
        self.is_meant_to_run = False
        self._misses = MISSES_TO_LEAVE

    async def takes_callers(self):
        return self._misses < MISSES_TO_LEAVE

    def _write_settings(self):
        path = os.path.join(self.directory, f"node-{self.number}.json")
        addresses = {"caller": f"{self.host}:{self.ports.caller}", "ready": f"{self.host}:{self.ports.ready}",
                     "peer": f"{self.own_host}:{self.ports.peer}", "advertised": self.host,
                     "metrics": f"{self.host}:{self.ports.metrics}", "server": f"{self.host}:{self.ports.server}",
                     "store": f"{self.host}:{self.ports.store}"}
        with open(path, "w", encoding="utf-8") as file:
            json.dump(wire.node_settings(f"node-{self.number}", self.zone, self.service, addresses,
                                         f"{STOP_GRACE_S:g}s"), file)
        return path

    async def start(self):
        self.starts += 1
        log = open(os.path.join(self.directory, f"node-{self.number}.log"), "ab")
        with log:
            self.process = await asyncio.create_subprocess_exec(self.program, "--config", self._write_settings(),
                                                                stdout=log, stderr=log)
        self.is_meant_to_run = True

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.is_meant_to_run = False
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def terminate(self):
        """A planned stop; gives the exit code, or None where the process had to be killed after the grace."""
        self.is_meant_to_run = False
        self.signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self.process.wait(), STOP_GRACE_S)
        except asyncio.TimeoutError:
            await self.kill()
            return None

    async def ask(self, port, path):
        return await http11.fetch(self.host, port, path, READY_INTERVAL_S)

    async def watch_ready(self):
        """The platform's question to each node: after two misses its callers go elsewhere."""
        while True:
            answer = await self.ask(self.ports.ready, wire.READY_PATH)
            is_ready = answer is not None and answer.start.status_code == 200
            self._misses = 0 if is_ready else self._misses + 1
            await asyncio.sleep(READY_INTERVAL_S)

    async def watch_state(self):
        while True:
            starts = self.starts
            answer = await self.ask(self.ports.metrics, "/state")
            if answer is not None and answer.start.status_code == 200 and starts == self.starts:
                state = json.loads(answer.body)
                self.promises.note_version(self.number, starts, state["version"])
            if self.is_meant_to_run and self.process.returncode is not None:
                self.promises.violate("process", "", f"node {self.number} ended with {self.process.returncode}")
                await self.start()
            await asyncio.sleep(0.25)


class Fleet:
    def __init__(self, options, promises, random):
        self.options, self.promises = options, promises
        self.store = Store()
        ports = Ports(options.first_port)
        services = ["orders" if number % 3 == 0 else "lookup" for number in range(1, options.nodes + 1)]
        program = os.path.join(options.build, "bin", "skylark-node")
        self.nodes = [Node(number + 1, service, ("zone-a", "zone-b")[number // 2 % 2], ports, self.store, program,
                           options.directory, promises, random) for number, service in enumerate(services)]
        self.ports = ports
        self.version = 0
        self._tasks = []

    async def __aenter__(self):
        await self.store.start("127.0.0.1", self.ports.store)
        self.accept_configuration(timeout_ms=1500)
        for node in self.nodes:
            await node.backend.start()
            await node.peer_link.start()
            await node.store_link.start()
        for node in self.nodes:
            await node.start()
            self._tasks += [asyncio.ensure_future(node.watch_ready()), asyncio.ensure_future(node.watch_state())]
        return self

    async def __aexit__(self, *_):
        for task in self._tasks:
            task.cancel()
        for node in self.nodes:
            # A paused process takes no other signal.
            node.signal(signal.SIGCONT)
            await node.kill()

    def accept_configuration(self, timeout_ms, orders_share=100):
        """The operator's act. Each version has one route that no other has, by which it can be told from outside."""
        self.version += 1
        orders = "orders" if orders_share == 100 else [("orders", orders_share), ("orders", 100 - orders_share)]
        rules = [wire.rule("find", "/find/", "lookup", True, 1, timeout_ms, 3),
                 wire.rule("pay", "/pay/", "lookup", False, 1, timeout_ms, 2),
                 wire.rule("order", "/order/", orders, False, 0, timeout_ms, 2),
                 wire.rule("slow", "/slow/", "orders", True, 2, timeout_ms + 2500, 2),
                 wire.rule(f"only-{self.version}", f"/only-{self.version}/", "lookup", True, 1, timeout_ms, 2)]
        self.store.put(wire.CONFIGURATION_KEY, wire.configuration(self.version, rules, ("lookup", "orders")))

    async def wait_until_ready(self, seconds):
        deadline = self.promises.clock() + seconds
        while self.promises.clock() < deadline:
            if all([await node.takes_callers() for node in self.nodes]):
                return True
            await asyncio.sleep(0.1)
        return False
