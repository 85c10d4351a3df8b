"""Clients that stop just short of the end of a body take all connections of a node, and ordinary ones get none."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
from mesh2 import DEADLINE, ID, ask, request_bytes, route, run_case

DESCRIPTORS = 4100
CLIENTS = 3000
STABLE_WINDOW_S = 3.0
RULE_CONSUMERS = 7
# Ordinary consumers try for so long after the crowd has come; an unfinished body may be idle for idle_timeout, 15 s.
TRY_S = 9.0


async def crowd(mesh):
    body = b"x" * 1000
    connections = []
    for number in range(CLIENTS):
        raw = request_bytes("POST", "/buy/1", [(ID, f"crowd-{number}"), (DEADLINE, "3000")], body)
        try:
            _, writer = await asyncio.open_connection(*mesh.nodes[0].consumers)
        except OSError:
            continue
        writer.write(raw[:-1] if mesh.trouble else raw)
        connections.append(writer)
        if not mesh.trouble:
            # Whole requests; each connection is kept and idle after its answer.
            await asyncio.sleep(0.002)
    mesh.record(f"{len(connections)} clients opened a connection to node-1")
    return connections


async def case(mesh):
    await mesh.start(["shop", "orders", "orders"], descriptorLimit=DESCRIPTORS,
                     answer=lambda worker, fields, target, body: (200, [], b"sold\n", 0.01))
    connections = await crowd(mesh)
    await asyncio.sleep(1.0)
    results = []

    async def consumer(number):
        attempt = 0
        while time.monotonic() < end:
            began = time.monotonic()
            answer = await ask(mesh.nodes[0].consumers, request_bytes(
                "POST", "/buy/1", [(ID, f"ordinary-{number}-{attempt}"), (DEADLINE, "3000")], b"x"))
            results.append((began, number, not isinstance(answer, str)))
            mesh.record(f"consumer {number}, a new connection: {answer if isinstance(answer, str) else answer.status}")
            attempt += 1
            await asyncio.sleep(0.5)

    end = time.monotonic() + TRY_S
    ready = []

    async def platform():
        while time.monotonic() < end:
            ready.append(await mesh.nodes[0].is_ready())
            await asyncio.sleep(1.0)

    await asyncio.gather(platform(), *(consumer(number) for number in range(RULE_CONSUMERS + 3)))
    mesh.record(f"node-1 said that it was ready {sum(ready)} of {len(ready)} times; {sum(ok for *_, ok in results)} of"
                f" {len(results)} new connections were answered")
    for writer in connections:
        writer.close()
    served = [began for began, _, ok in results if ok]
    first = min(began for began, *_ in results)
    # The longest time in which no new connection was taken.
    marks = [first, *sorted(served), max(began for began, *_ in results)]
    gap = max(later - earlier for earlier, later in zip(marks, marks[1:]))
    tried = {number for _, number, ok in results if not ok}
    if all(ready) and gap >= STABLE_WINDOW_S and len(tried) >= RULE_CONSUMERS:
        return [f"RECOVER: node-1 said that it was ready and took no new connection for {gap:.1f} s, while"
                f" {len(tried)} consumers tried"]
    return []


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).parent, case, [route("buy", "/buy/", "orders", kind="non_idempotent")],
             ["shop", "orders"])
