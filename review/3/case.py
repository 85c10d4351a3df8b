"""A check-in that the store carries out late follows the removal of the worker's entry."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import mesh as m

DRAIN_S = 2.0
# "late (done 1 to 6 s later)"
LATE_S = 5.6
# The store has been stable for stable_window when it confirms the removal.
AFTER_IMPAIRMENT_S = m.STABLE_WINDOW_S + 0.2
# The worker goes on serving for drain "and a little longer (at times many seconds), and then exits".
SERVES_S = 5.0
PAUSE_S = 0.006
WORK_S = 0.08


async def send_requests(mesh, until):
    number = 0
    pending = []
    while time.monotonic() < until:
        number += 1
        pending.append(asyncio.ensure_future(mesh.ask(2 + number % 2, "POST", f"/lohu930/{number}", body=b"order")))
        await asyncio.sleep(PAUSE_S)
    return await asyncio.gather(*pending)


async def case(mesh, trouble):
    async def work(worker, request):
        await asyncio.sleep(WORK_S)
        return 200, b"ok", True

    mesh.work = work
    mesh.publish([m.rule("r-a", "/lohu930/", "huvo11a", kind="non_idempotent")], ["huvo11a", "wuno96b"])
    await mesh.start()
    worker = mesh.workers[1]
    key = f"servers/{worker.id}"
    traffic = asyncio.ensure_future(send_requests(mesh, time.monotonic() + 12))
    await asyncio.sleep(1)
    late = worker.entry()
    if trouble:
        mesh.record.line(f"{worker.id} sends check-in {late['status']}, which the store will carry out {LATE_S} s later "
                         "and not answer; the impairment of the store ends now")

        def carry_out():
            mesh.record.line(f"the store carries out the late check-in {late['status']}")
            mesh.store.put(key, late)

        loop = asyncio.get_running_loop()
        loop.call_later(LATE_S, carry_out)
        # Without further check-ins the entry is removed after three intervals of silence.
        loop.call_later(LATE_S + 3 * worker.HEARTBEAT_S, lambda: mesh.store.remove(key))
    else:
        mesh.store.put(key, late)
    await asyncio.sleep(AFTER_IMPAIRMENT_S)
    worker.stop_check_ins()
    mesh.store.remove(key)
    confirmed = mesh.record.now()
    mesh.record.line(f"{worker.id} leaves: its entry is removed, confirmed; it goes on serving")
    await asyncio.sleep(SERVES_S)
    worker.exit()
    answers = await traffic
    late_arrivals = {attempt: at - confirmed for attempt, runs in mesh.runs.items() for at, instance in runs
                     if instance == worker.id and at > confirmed + DRAIN_S}
    lost = [attempt for attempt, answer in answers
            if attempt in late_arrivals and (answer is None or answer.status != 200)]
    seen = f", {min(late_arrivals.values()):.2f} to {max(late_arrivals.values()):.2f} s after it" if late_arrivals else ""
    return bool(late_arrivals), (f"{len(late_arrivals)} requests reached the worker that had left later than drain "
                                 f"after the confirmation{seen}; {len(lost)} of them, non_idempotent, were not answered "
                                 f"with success")


m.main(case, ["huvo11a", "huvo11a", "wuno96b"])
