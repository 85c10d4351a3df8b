"""Two of three machines are stopped and started in turn, twice, while requests run that take about a second."""
import asyncio
import math
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
from mesh2 import DEADLINE, ID, ask, request_bytes, route, run_case

# `energy-report` of demands/ramkissoon-lights-grown.toml: its work, time limit and timeout, and 7 requests a second for
# each of its workers (154 for 22).
WORK_MEAN_S, WORK_SPREAD, WORK_MAX_S = 0.88, 0.8, 6.6
DEADLINE_MS, TIMEOUT = 6000, "4s"
WORKERS = 2
REQUESTS_PER_S = 7 * WORKERS
BEFORE_S, AFTER_S = 5.0, 55.0
# Each is a `roll_term` of the machines of `ledger`, one at a time.
ROLLS = 2
# The pause between two machines.
GAP_S = 2.0
# "refused + failed requests are at most 60% of those owed"
GATE_SHARE = 0.6


def answer(worker, fields, target, body):
    variance = math.log(1 + WORK_SPREAD**2)
    work = random.lognormvariate(math.log(WORK_MEAN_S) - variance / 2, math.sqrt(variance))
    return 200, [], b"report\n", min(WORK_MAX_S, work)


async def case(mesh):
    await mesh.start(["faultdesk"] + ["ledger"] * WORKERS, answer=answer, drainTime="2500ms")
    front = mesh.nodes[0]
    results, tasks = [], []
    is_sending = True

    async def consumer(number):
        began = time.monotonic()
        got = await ask(front.consumers, request_bytes("GET", "/report/1", [(ID, f"report-{number}"),
                                                                            (DEADLINE, str(DEADLINE_MS))]), 7)
        text = got if isinstance(got, str) else f"{got.status} {got.body.decode().strip()}"
        mesh.record(f"consumer of node-1 got report-{number}: {text}")
        results.append((began, not isinstance(got, str) and got.status == 200))

    async def load():
        number = 0
        # The platform sends no new work to a machine that is not ready.
        while is_sending:
            if front.is_running() and accepts[0]:
                tasks.append(asyncio.ensure_future(consumer(number)))
                number += 1
            await asyncio.sleep(1 / REQUESTS_PER_S)

    async def probes():
        missed = 0
        while True:
            missed = 0 if await front.is_ready() else missed + 1
            accepts[0] = missed < 2
            await asyncio.sleep(1.0 if accepts[0] else 0.1)

    accepts = [True]
    probing, loading = asyncio.ensure_future(probes()), asyncio.ensure_future(load())
    await asyncio.sleep(BEFORE_S)
    if mesh.trouble:
        for node in mesh.nodes[1:] * ROLLS:
            node.kill(signal.SIGTERM)
            await asyncio.wait_for(node.process.wait(), 6)
            mesh.record(f"node-{node.number} ended with {node.process.returncode}")
            await asyncio.sleep(0.5)
            await node.start()
            await mesh.until_ready(15)
            await asyncio.sleep(GAP_S)
    back = time.monotonic()
    mesh.record("all machines are back and ready")
    await asyncio.sleep(AFTER_S)
    is_sending = False
    await loading
    await asyncio.gather(*tasks)
    probing.cancel()
    failed = sum(not served for _, served in results) / len(results)
    later = [served for began, served in results if began > back + 15]
    mesh.record(f"{len(results)} requests, {failed:.0%} refused or failed; of {len(later)} that were sent later than 15 s"
                f" after all machines were back, {sum(later)} were served")
    if failed <= GATE_SHARE:
        return []
    return [f"GATE: {failed:.0%} of {len(results)} requests were refused or failed; {sum(later)} of {len(later)} were"
            " served more than 15 s after the last machine was back"]


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).parent, case, [route("report", "/report/", "ledger", timeout=TIMEOUT, priority=2)],
             ["faultdesk", "ledger"])
