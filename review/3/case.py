"""A configuration adds a route whose priority is above 15."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import mesh as m

REQUESTS = 30


async def case(mesh, trouble):
    first = m.rule("r-a", "/lohu930/", "huvo11a")
    mesh.publish([first], ["huvo11a", "wuno96b"])
    await mesh.start()
    await asyncio.sleep(m.STABLE_WINDOW_S)
    mesh.publish([first, m.rule("r-b", "/pufi791/", "wuno96b", priority=20 if trouble else 3)],
                 ["huvo11a", "wuno96b"])
    await asyncio.sleep(m.CONFIG_APPLY_S + 1)
    late = 0
    for number in range(REQUESTS):
        _, answer = await mesh.ask(1 + number % 3, "GET", f"/pufi791/{number}")
        late += answer is not None and answer.status == 404
        await asyncio.sleep(0.05)
    return late > 0, f"{late} of {REQUESTS} requests on the added route got 404 later than config_apply"


m.main(case, ["huvo11a", "huvo11a", "wuno96b"])
