"""Schedules the faults and maintenance actions of one seed. Each action is a coroutine with seeded random parameters.

Actions may overlap. Faults are recorded in FaultWindows, so that checks that hold only without faults can skip these
times. Maintenance actions are not recorded, because no request may fail because of them.
"""
import asyncio
import signal

from platform_soak import wire
from platform_soak.store import StoreFault
from soak.backends import ServerFault
from soak.fleet import MAX_RESTART_DELAY_S
from soak.invariants import APPLY_TIMEOUT_S
from soak.links import LinkFault


class Schedule:
    def __init__(self, fleet, invariants, random, log):
        self.fleet, self.invariants, self.random, self.log = fleet, invariants, random, log
        # Numbers of the nodes that an action uses. Two actions never work on the same process at the same time.
        self._reserved_numbers = set()
        self._tasks = set()
        self.maintenance_actions = [self.restart, self.reload, self.configure, self.replace_server]
        self.fault_actions = [self.kill, self.kill_many, self.pause, self.fault_peer_link, self.fault_store_link,
                              self.fail_store, self.drop_store_history, self.fail_server, self.crash_server,
                              self.add_foreign_entry]

    async def run(self, seconds):
        """Alternates phases with maintenance only and phases with faults; waits for all actions to end."""
        end_time = self.invariants.clock() + seconds
        while self.invariants.clock() < end_time:
            actions = self.maintenance_actions
            if self.random.random() >= 0.4:
                actions = actions + 2 * self.fault_actions
            await self._run_phase(actions, min(end_time, self.invariants.clock() + self.random.uniform(5, 12)))
            await asyncio.gather(*self._tasks)
        self.log("all actions have ended")

    async def _run_phase(self, actions, end_time):
        while self.invariants.clock() < end_time:
            action = self.random.choice(actions)
            task = asyncio.ensure_future(action())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self.random.expovariate(1.2))

    def _reserve_nodes(self, max_nodes):
        free_nodes = [node for node in self.fleet.nodes if node.number not in self._reserved_numbers]
        nodes = self.random.sample(free_nodes, min(max_nodes, len(free_nodes)))
        self._reserved_numbers.update(node.number for node in nodes)
        return nodes

    def _release_nodes(self, nodes):
        self._reserved_numbers.difference_update(node.number for node in nodes)

    async def _apply_fault(self, name, seconds, inject, clear):
        """Injects a fault, waits and clears the fault; records the fault window."""
        started_at = self.invariants.clock()
        self.log(f"{name} for {seconds:.2f} s")
        # The window is open until the fault is cleared.
        window = [started_at, float("inf")]
        self.invariants.fault_windows.add(window)
        await self._invoke(inject)
        await asyncio.sleep(seconds)
        await self._invoke(clear)
        window[1] = self.invariants.clock()

    @staticmethod
    async def _invoke(action):
        outcome = action()
        if asyncio.isfuture(outcome) or asyncio.iscoroutine(outcome):
            await outcome

    # Maintenance actions.
    async def restart(self):
        for node in self._reserve_nodes(1):
            self.log(f"SIGTERM to node {node.number}")
            code = await node.terminate()
            if code != 0:
                self.invariants.record_violation("graceful shutdown", "", f"node {node.number} exited with code {code}")
            await asyncio.sleep(self.random.uniform(0, MAX_RESTART_DELAY_S))
            await node.start()
            # Let the node become ready before another action may stop it.
            await asyncio.sleep(2)
            self._release_nodes([node])

    async def reload(self):
        node = self.random.choice(self.fleet.nodes)
        if node.should_run and node.number not in self._reserved_numbers:
            self.log(f"SIGHUP to node {node.number}")
            node.signal(signal.SIGHUP)

    async def configure(self):
        for _ in range(self.random.choice((1, 1, 2, 6))):
            self.fleet.publish_configuration(self.random.choice((1000, 1200, 1500)), self.random.choice((100, 70)))
            self.log(f"configuration {self.fleet.version}")
            await asyncio.sleep(self.random.uniform(0.05, 0.6))
        await self._check_applied(self.fleet.version)

    async def _check_applied(self, version):
        started_at = self.invariants.clock()
        await asyncio.sleep(APPLY_TIMEOUT_S)
        for node in self.fleet.nodes:
            # Skip nodes that were restarted or affected by a fault; they may apply the version later.
            is_fault_free = self.invariants.fault_windows.is_fault_free(started_at, self.invariants.clock())
            if node.number in self._reserved_numbers or not is_fault_free:
                continue
            applied_version = self.invariants.version_of(node.number, node.starts)
            if node.should_run and applied_version < version:
                self.invariants.record_violation("configuration applied", "",
                                                 f"node {node.number} has version {applied_version}, but version "
                                                 f"{version} was published {APPLY_TIMEOUT_S} s ago")

    async def replace_server(self):
        for node in self._reserve_nodes(1):
            self.log(f"server {node.backend.id} starts draining")
            node.backend.start_draining()
            await asyncio.sleep(self.random.uniform(3.0, 4.0))
            node.backend.stop(remove_entry=True)
            await asyncio.sleep(self.random.uniform(0.5, 1.5))
            await node.backend.start()
            await asyncio.sleep(1.5)
            self._release_nodes([node])

    # Faults.
    async def _kill_nodes(self, max_nodes):
        nodes = self._reserve_nodes(max_nodes)
        if nodes:
            await self._apply_fault(f"SIGKILL to nodes {[node.number for node in nodes]}",
                                    self.random.uniform(0.1, 2.0),
                                    lambda: asyncio.gather(*(node.kill() for node in nodes)),
                                    lambda: asyncio.gather(*(node.start() for node in nodes)))
            await asyncio.sleep(2)
            self._release_nodes(nodes)

    async def kill(self):
        await self._kill_nodes(1)

    async def kill_many(self):
        await self._kill_nodes(1 + len(self.fleet.nodes) // 2)

    async def pause(self):
        nodes = self._reserve_nodes(1)
        for node in nodes:
            await self._apply_fault(f"SIGSTOP to node {node.number}", self.random.uniform(0.3, 4.0),
                                    lambda: node.signal(signal.SIGSTOP), lambda: node.signal(signal.SIGCONT))
        self._release_nodes(nodes)

    async def _fault_link(self, link):
        fault = self.random.choice((LinkFault.DELAY, LinkFault.CUT, LinkFault.CUT_INBOUND, LinkFault.CUT_OUTBOUND,
                                    LinkFault.SILENCE, None))
        seconds = self.random.uniform(0.5, 4.0)
        if fault is None:
            await self._apply_fault(f"reset of {link.name}", 0.0, link.reset_connections, lambda: None)
        else:
            delay = self.random.uniform(0.02, 0.4)
            await self._apply_fault(f"{fault.value} of {link.name}", seconds, lambda: link.inject_fault(fault, delay),
                                    link.clear_fault)

    async def fault_peer_link(self):
        await self._fault_link(self.random.choice(self.fleet.nodes).peer_link)

    async def fault_store_link(self):
        await self._fault_link(self.random.choice(self.fleet.nodes).store_link)

    async def fail_store(self):
        store = self.fleet.store
        fault = self.random.choice([fault for fault in StoreFault if fault is not StoreFault.NONE])

        def clear_fault():
            store.fault = StoreFault.NONE

        def fail():
            store.fault = fault

        await self._apply_fault(f"store {fault.value}", self.random.uniform(0.5, 5.0), fail, clear_fault)

    async def drop_store_history(self):
        await self._apply_fault("store drops its history", 0.0, self.fleet.store.drop_history, lambda: None)

    async def fail_server(self):
        backend = self.random.choice(self.fleet.nodes).backend
        fault = self.random.choice([fault for fault in ServerFault if fault is not ServerFault.NONE])

        def fail():
            backend.fault, backend.fault_probability = fault, self.random.choice((0.05, 0.3, 1.0))

        def clear_fault():
            backend.fault = ServerFault.NONE

        await self._apply_fault(f"{fault.value} at {backend.id}", self.random.uniform(1.0, 4.0), fail, clear_fault)

    async def crash_server(self):
        for node in self._reserve_nodes(1):
            backend = node.backend
            await self._apply_fault(f"crash of {backend.id}", self.random.uniform(0.5, 4.0),
                                    lambda: backend.stop(remove_entry=False), lambda: self._restart_server(backend))
            self._release_nodes([node])

    async def _restart_server(self, backend):
        self.fleet.store.remove(wire.server_key(backend.id))
        await backend.start()

    async def add_foreign_entry(self):
        """Adds an invalid server entry, as another writer of the store might."""
        value = self.random.choice((b"\xff\x00", b"[]", b'{"address": 5}', b'{"info": {}, "status": {"state": "odd"}}'))
        key = wire.server_key(f"other-{self.random.getrandbits(16)}")
        self.log(f"invalid server entry at {key}")
        self.fleet.store.put(key, value)
        await asyncio.sleep(2)
        self.fleet.store.remove(key)
