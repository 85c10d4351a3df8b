"""A node starts again while the store holds a late check-in of its worker, which is already draining."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
from mesh2 import DEADLINE, ID, ask, request_bytes, route, run_case

DRAIN_S, STABLE_WINDOW_S, HEARTBEAT_S = 2.0, 3.0, 1.5
# The store's impairment: one check-in of its last moment is done so much later (platform_lost, late: 1 to 6 s).
LATE_S = 5.6
# From the end of the impairment to the report of draining: longer than stable_window.
REPORT_AFTER_S = 3.4
# The worker serves for so long after its report, then exits.
SERVES_S = 12.0
MACHINES = 5
# Machines whose workers leave, one after the other. One node reads the store for the others of its zone, and its own
# worker's state isn't in doubt; with the leaving of the worker beside it another node takes its place.
LEAVING = (1, 2, 3)


async def leave(mesh, number, arrivals):
    """Plays the leaving of one worker; returns (confirmed at, first moment at which its machine is in touch again)."""
    worker, node = mesh.workers[number - 1], mesh.nodes[number - 1]
    worker.stop_beating()
    # The last check-in in the impairment. The store does it late, and the next ones at once.
    late = worker.entry()
    mesh.record(f"check-in {late['status']['sequence']} of {worker.id} is sent; the store does it late")
    sent = time.monotonic()
    if not mesh.trouble:
        worker.put(late)
    await asyncio.sleep(HEARTBEAT_S)
    worker.put(worker.entry())
    await asyncio.sleep(sent + REPORT_AFTER_S - time.monotonic())
    worker.state = "draining"
    worker.put(worker.entry())
    confirmed = time.monotonic()
    mesh.record(f"the store confirms that {worker.id} is draining")

    async def check_in():
        due = sent + LATE_S - 0.15
        while True:
            await asyncio.sleep(max(0, due - time.monotonic()))
            worker.put(worker.entry())
            due += HEARTBEAT_S

    checking_in = asyncio.ensure_future(check_in())
    back = confirmed
    if mesh.trouble:
        await asyncio.sleep(sent + LATE_S - 0.6 - time.monotonic())
        node.kill()
        await node.process.wait()
        await asyncio.sleep(sent + LATE_S - time.monotonic())
        worker.put(late)
        mesh.record(f"the store does the late check-in {late['status']['sequence']} of {worker.id}")
        await node.start()
        back = time.monotonic()
        await mesh.until_ready(5)
    in_touch = max(back + STABLE_WINDOW_S, confirmed + DRAIN_S)
    await asyncio.sleep(confirmed + SERVES_S - time.monotonic())
    checking_in.cancel()
    worker.leave()
    mesh.record(f"{worker.id} has left; its entry is removed")
    late_runs = [request_id for at, request_id, *_ in worker.runs if arrivals.get(request_id, 0) > in_touch and
                 at > confirmed + DRAIN_S]
    await asyncio.sleep(1.0)
    return worker, confirmed, late_runs


async def case(mesh):
    await mesh.start(["orders"] * MACHINES, answer=lambda worker, fields, target, body: (200, [], b"taken\n", 0.2))
    sent, tasks, results, is_sending = {}, [], {}, True

    async def one(node, request_id):
        sent[request_id] = time.monotonic()
        answer = await ask(node.consumers, request_bytes("POST", "/buy/1", [(ID, request_id), (DEADLINE, "3000")], b"x"))
        results[request_id] = answer if isinstance(answer, str) else answer.status
        mesh.record(f"consumer of node-{node.number} got {request_id}: {results[request_id]}")

    async def consumers(node):
        number = 0
        while is_sending:
            if node.is_running():
                tasks.append(asyncio.ensure_future(one(node, f"order-{node.number}-{number}")))
                number += 1
            await asyncio.sleep(0.1)

    loads = [asyncio.ensure_future(consumers(node)) for node in mesh.nodes]
    await asyncio.sleep(2.0)
    breaches = []
    for number in LEAVING:
        worker, confirmed, late_runs = await leave(mesh, number, sent)
        lost = [request_id for request_id in late_runs if results.get(request_id) not in (200, None)]
        mesh.record(f"{worker.id}: {len(late_runs)} requests reached it later than drain after the confirmation, from"
                    f" machines in touch; {len(lost)} of them failed")
        breaches += [f"DRAIN: {request_id} reached {worker.id} later than drain after its draining was confirmed"
                     for request_id in late_runs]
    is_sending = False
    await asyncio.gather(*loads, *tasks)
    return breaches


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).parent, case, [route("buy", "/buy/", "orders", kind="non_idempotent")], ["orders"])
