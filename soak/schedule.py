"""The faults and the planned work of one seed: each action is a coroutine that draws its figures from the seed.

Actions overlap and come in series. Unplanned ones are entered in Disturbances, so that checks which hold on calm
spans alone know of them; planned ones are not, since nothing may be cut around them."""
import asyncio
import signal

from platform_soak import wire
from platform_soak.store import StoreFault
from soak.backends import ServerFault
from soak.fleet import RESTART_S
from soak.links import Fault
from soak.promises import APPLY_S


class Schedule:
    def __init__(self, fleet, promises, random, log):
        self.fleet, self.promises, self.random, self.log = fleet, promises, random, log
        # Nodes that an action works on; one process has one trouble at a time.
        self._busy = set()
        self._tasks = set()
        self.planned = [self.restart, self.reload, self.configure, self.replace_server]
        self.unplanned = [self.kill, self.kill_many, self.pause, self.disturb_peers, self.disturb_store_link,
                          self.fail_store, self.forget_history, self.fail_server, self.crash_server, self.foreign_entry]

    async def run(self, seconds):
        """Alternates spans of planned work alone and spans with faults; all troubles have ended on return."""
        end = self.promises.clock() + seconds
        while self.promises.clock() < end:
            actions = self.planned if self.random.random() < 0.4 else self.planned + 2 * self.unplanned
            await self._span(actions, min(end, self.promises.clock() + self.random.uniform(5, 12)))
            await asyncio.gather(*self._tasks)
        self.log("all troubles have ended")

    async def _span(self, actions, until):
        while self.promises.clock() < until:
            action = self.random.choice(actions)
            task = asyncio.ensure_future(action())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self.random.expovariate(1.2))

    def _take_nodes(self, most):
        free = [node for node in self.fleet.nodes if node.number not in self._busy]
        taken = self.random.sample(free, min(most, len(free)))
        self._busy.update(node.number for node in taken)
        return taken

    def _give_back(self, nodes):
        self._busy.difference_update(node.number for node in nodes)

    async def _disturbed(self, name, seconds, begin, end):
        """Holds a fault for the time given."""
        began = self.promises.clock()
        self.log(f"{name} for {seconds:.2f} s")
        # Until its end is known, the fault has no end.
        span = [began, float("inf")]
        self.promises.disturbances.add_open(span)
        await self._do(begin)
        await asyncio.sleep(seconds)
        await self._do(end)
        span[1] = self.promises.clock()

    @staticmethod
    async def _do(action):
        outcome = action()
        if asyncio.isfuture(outcome) or asyncio.iscoroutine(outcome):
            await outcome

    # Planned work.
    async def restart(self):
        for node in self._take_nodes(1):
            self.log(f"SIGTERM to node {node.number}")
            code = await node.terminate()
            if code != 0:
                self.promises.violate("planned stop", "", f"node {node.number} ended with {code}")
            await asyncio.sleep(self.random.uniform(0, RESTART_S))
            await node.start()
            # The next planned stop comes when the node is back.
            await asyncio.sleep(2)
            self._give_back([node])

    async def reload(self):
        node = self.random.choice(self.fleet.nodes)
        if node.is_meant_to_run and node.number not in self._busy:
            self.log(f"SIGHUP to node {node.number}")
            node.signal(signal.SIGHUP)

    async def configure(self):
        for _ in range(self.random.choice((1, 1, 2, 6))):
            self.fleet.accept_configuration(self.random.choice((1000, 1200, 1500)), self.random.choice((100, 70)))
            self.log(f"configuration {self.fleet.version}")
            await asyncio.sleep(self.random.uniform(0.05, 0.6))
        await self._check_applied(self.fleet.version)

    async def _check_applied(self, version):
        began = self.promises.clock()
        await asyncio.sleep(APPLY_S)
        for node in self.fleet.nodes:
            # The version of a node that was disturbed or restarted meanwhile has its own time to come in.
            if node.number in self._busy or not self.promises.disturbances.is_calm(began, self.promises.clock()):
                continue
            held = self.promises.version_of(node.number, node.starts)
            if node.is_meant_to_run and held < version:
                self.promises.violate("configuration in force", "",
                                      f"node {node.number} holds {held}, {version} was accepted {APPLY_S} s ago")

    async def replace_server(self):
        for node in self._take_nodes(1):
            self.log(f"server {node.backend.id} leaves")
            node.backend.begin_leaving()
            await asyncio.sleep(self.random.uniform(3.0, 4.0))
            node.backend.stop(is_entry_removed=True)
            await asyncio.sleep(self.random.uniform(0.5, 1.5))
            await node.backend.start()
            await asyncio.sleep(1.5)
            self._give_back([node])

    # Faults.
    async def _kill_most(self, most):
        nodes = self._take_nodes(most)
        if nodes:
            await self._disturbed(f"SIGKILL to nodes {[node.number for node in nodes]}", self.random.uniform(0.1, 2.0),
                                  lambda: asyncio.gather(*(node.kill() for node in nodes)),
                                  lambda: asyncio.gather(*(node.start() for node in nodes)))
            await asyncio.sleep(2)
            self._give_back(nodes)

    async def kill(self):
        await self._kill_most(1)

    async def kill_many(self):
        await self._kill_most(1 + len(self.fleet.nodes) // 2)

    async def pause(self):
        nodes = self._take_nodes(1)
        for node in nodes:
            await self._disturbed(f"SIGSTOP to node {node.number}", self.random.uniform(0.3, 4.0),
                                  lambda: node.signal(signal.SIGSTOP), lambda: node.signal(signal.SIGCONT))
        self._give_back(nodes)

    async def _disturb_link(self, link):
        fault = self.random.choice((Fault.DELAY, Fault.CUT, Fault.CUT_INBOUND, Fault.CUT_OUTBOUND, Fault.SILENCE, None))
        seconds = self.random.uniform(0.5, 4.0)
        if fault is None:
            await self._disturbed(f"reset of {link.name}", 0.0, link.reset_all, lambda: None)
        else:
            delay = self.random.uniform(0.02, 0.4)
            await self._disturbed(f"{fault.value} of {link.name}", seconds, lambda: link.disturb(fault, delay),
                                  link.heal)

    async def disturb_peers(self):
        await self._disturb_link(self.random.choice(self.fleet.nodes).peer_link)

    async def disturb_store_link(self):
        await self._disturb_link(self.random.choice(self.fleet.nodes).store_link)

    async def fail_store(self):
        store = self.fleet.store
        fault = self.random.choice([fault for fault in StoreFault if fault is not StoreFault.NONE])

        def heal():
            store.fault = StoreFault.NONE

        def fail():
            store.fault = fault

        await self._disturbed(f"store {fault.value}", self.random.uniform(0.5, 5.0), fail, heal)

    async def forget_history(self):
        await self._disturbed("store forgets its history", 0.0, self.fleet.store.drop_history, lambda: None)

    async def fail_server(self):
        backend = self.random.choice(self.fleet.nodes).backend
        fault = self.random.choice([fault for fault in ServerFault if fault is not ServerFault.NONE])

        def fail():
            backend.fault, backend.fault_share = fault, self.random.choice((0.05, 0.3, 1.0))

        def heal():
            backend.fault = ServerFault.NONE

        await self._disturbed(f"{fault.value} at {backend.id}", self.random.uniform(1.0, 4.0), fail, heal)

    async def crash_server(self):
        for node in self._take_nodes(1):
            backend = node.backend
            await self._disturbed(f"crash of {backend.id}", self.random.uniform(0.5, 4.0),
                                  lambda: backend.stop(is_entry_removed=False), lambda: self._bring_back(backend))
            self._give_back([node])

    async def _bring_back(self, backend):
        self.fleet.store.remove(wire.server_key(backend.id))
        await backend.start()

    async def foreign_entry(self):
        """Another writer's entry, which names no server to use."""
        value = self.random.choice((b"\xff\x00", b"[]", b'{"address": 5}', b'{"info": {}, "status": {"state": "odd"}}'))
        key = wire.server_key(f"other-{self.random.getrandbits(16)}")
        self.log(f"entry of another writer at {key}")
        self.fleet.store.put(key, value)
        await asyncio.sleep(2)
        self.fleet.store.remove(key)
