"""A worker in trouble runs part of its requests, fails, and answers 503 without stating that it did not run them."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib3"))
import harness as h

FOLDER = os.path.dirname(os.path.abspath(__file__))
REQUESTS = 120
# 9 of 20, as x = 0.45 of the site file's srv_grey; the first one is among them.
FAILED_OF_20 = 9
failing_ids = []
seen_ids = []


async def answer(worker, head, body, writer):
    await asyncio.sleep(0.05)
    request_id = head.field(h.REQUEST_ID)
    text = request_id.encode()
    status = "200 OK"
    seen_ids.extend([request_id] if worker.number == 1 else [])
    if worker.number == 1 and (len(seen_ids) - 1) * FAILED_OF_20 % 20 < FAILED_OF_20:
        failing_ids.append(request_id)
        status = "503 Service Unavailable" if h.HAS_TROUBLE else "500 Internal Server Error"
    writer.write(h.answer_head(request_id, text, status) + text)
    await writer.drain()
    return True


async def scenario(record):
    async with h.Deployment(record, ["fittings", "fittings", "fittings"], answer) as fleet:
        fleet.configure([("book", "/book/", "fittings", "non_idempotent", 2000, 2)])
        await fleet.start_nodes()
        broken = []
        for number in range(REQUESTS):
            request_id, received = await h.send(record, fleet.nodes[number % 3].caller, "POST", "/book/x", 2000, b"x")
            runs = sum(at == request_id for worker in fleet.workers for _, at in worker.runs)
            if received.status in (408, 421, 429, 503) and runs > 0:
                broken.append(f"REFUSED: {request_id} is not idempotent, ran {runs} times and was answered "
                              f"{received.status}, signature {received.head.field(h.SIGNATURE)}")
        if not failing_ids:
            raise h.CannotRun("no request reached the worker in trouble")
        return broken


h.main(FOLDER, scenario)
