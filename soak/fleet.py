"""The processes under test: one skylark-node beside each backend server, and the store that they read.

Addresses: node n is advertised as 127.0.1.n, where its links and its backend server listen. Its process listens for
peers on 127.0.2.n, so that all peer connections pass through the link. Only processes started here are ended, by id.
"""
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
MAX_RESTART_DELAY_S = 0.5
READINESS_PROBE_INTERVAL_S = 1.0
FAILED_PROBE_THRESHOLD = 2


@dataclasses.dataclass(frozen=True)
class Ports:
    """Consecutive ports from `first`, the same on all hosts."""

    first: int

    caller = property(lambda self: self.first)
    ready = property(lambda self: self.first + 1)
    peer = property(lambda self: self.first + 2)
    metrics = property(lambda self: self.first + 3)
    server = property(lambda self: self.first + 4)
    store = property(lambda self: self.first + 5)


class Node:
    def __init__(self, number, service, zone, ports, store, program, directory, invariants, random):
        self.number, self.service, self.zone, self.ports = number, service, zone, ports
        self.program, self.directory, self.invariants = program, directory, invariants
        self.host = f"127.0.1.{number}"
        self.process_host = f"127.0.2.{number}"
        self.caller_address = (self.host, ports.caller)
        self.backend = Backend(number, service, zone, (self.host, ports.server), store, invariants, random)
        self.peer_link = Link(f"peers-{number}", (self.host, ports.peer), (self.process_host, ports.peer))
        self.store_link = Link(f"store-{number}", (self.host, ports.store), ("127.0.0.1", ports.store))
        self.callers = Callers(self, invariants, random)
        self.process = None
        self.starts = 0
        # False after a deliberate stop; an exit while it is True is a violation.
        self.should_run = False
        self._failed_probes = FAILED_PROBE_THRESHOLD

    async def accepts_callers(self):
        return self._failed_probes < FAILED_PROBE_THRESHOLD

    def _write_settings(self):
        path = os.path.join(self.directory, f"node-{self.number}.json")
        addresses = {"caller": f"{self.host}:{self.ports.caller}", "ready": f"{self.host}:{self.ports.ready}",
                     "peer": f"{self.process_host}:{self.ports.peer}", "advertised": self.host,
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
        self.should_run = True

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.should_run = False
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def terminate(self):
        """Stops the process gracefully; returns its exit code, or None if it had to be killed after STOP_GRACE_S."""
        self.should_run = False
        self.signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self.process.wait(), STOP_GRACE_S)
        except asyncio.TimeoutError:
            await self.kill()
            return None

    async def fetch(self, port, path):
        return await http11.fetch(self.host, port, path, READINESS_PROBE_INTERVAL_S)

    async def probe_readiness(self):
        """Probes readiness as the platform does: after two failed probes, callers no longer use the node."""
        while True:
            response = await self.fetch(self.ports.ready, wire.READY_PATH)
            is_ready = response is not None and response.start.status_code == 200
            self._failed_probes = 0 if is_ready else self._failed_probes + 1
            await asyncio.sleep(READINESS_PROBE_INTERVAL_S)

    async def monitor_state(self):
        while True:
            starts = self.starts
            response = await self.fetch(self.ports.metrics, "/state")
            if response is not None and response.start.status_code == 200 and starts == self.starts:
                state = json.loads(response.body)
                self.invariants.record_version(self.number, starts, state["version"])
            if self.should_run and self.process.returncode is not None:
                self.invariants.record_violation("process", "", f"node {self.number} exited with code "
                                                                f"{self.process.returncode}")
                await self.start()
            await asyncio.sleep(0.25)


class Fleet:
    def __init__(self, options, invariants, random):
        self.options, self.invariants = options, invariants
        self.store = Store()
        ports = Ports(options.first_port)
        services = ["orders" if number % 3 == 0 else "lookup" for number in range(1, options.nodes + 1)]
        program = os.path.join(options.build, "bin", "skylark-node")
        self.nodes = [Node(number + 1, service, ("zone-a", "zone-b")[number // 2 % 2], ports, self.store, program,
                           options.directory, invariants, random) for number, service in enumerate(services)]
        self.ports = ports
        self.version = 0
        self._tasks = []

    async def __aenter__(self):
        await self.store.start("127.0.0.1", self.ports.store)
        self.publish_configuration(timeout_ms=1500)
        for node in self.nodes:
            await node.backend.start()
            await node.peer_link.start()
            await node.store_link.start()
        for node in self.nodes:
            await node.start()
            self._tasks += [asyncio.ensure_future(node.probe_readiness()), asyncio.ensure_future(node.monitor_state())]
        return self

    async def __aexit__(self, *_):
        for task in self._tasks:
            task.cancel()
        for node in self.nodes:
            # Resume a process that a fault left stopped.
            node.signal(signal.SIGCONT)
            await node.kill()

    def publish_configuration(self, timeout_ms, orders_share=100):
        """Publishes the next version; a route unique to each version makes versions distinguishable from outside."""
        self.version += 1
        orders = "orders" if orders_share == 100 else [("orders", orders_share), ("orders", 100 - orders_share)]
        rules = [wire.rule("find", "/find/", "lookup", True, 1, timeout_ms, 3),
                 wire.rule("pay", "/pay/", "lookup", False, 1, timeout_ms, 2),
                 wire.rule("order", "/order/", orders, False, 0, timeout_ms, 2),
                 wire.rule("slow", "/slow/", "orders", True, 2, timeout_ms + 2500, 2),
                 wire.rule(f"only-{self.version}", f"/only-{self.version}/", "lookup", True, 1, timeout_ms, 2)]
        self.store.put(wire.CONFIGURATION_KEY, wire.configuration(self.version, rules, ("lookup", "orders")))

    async def wait_until_ready(self, seconds):
        deadline = self.invariants.clock() + seconds
        while self.invariants.clock() < deadline:
            if all([await node.accepts_callers() for node in self.nodes]):
                return True
            await asyncio.sleep(0.1)
        return False
