"""A consumer sends Skylarkbay-Caller-Service itself and names it in Connection."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
from mesh2 import CALLER, DEADLINE, ID, ask, request_bytes, route, run_case

REQUESTS = 20


async def case(mesh):
    await mesh.start(["shop", "orders", "orders"])
    for number in range(REQUESTS):
        # The service beside the consumer's machine is "shop"; the consumer claims another one.
        fields = [(ID, f"order-{number}"), (DEADLINE, "3000"), (CALLER, "ledger")]
        if mesh.trouble:
            fields.append(("Connection", f"keep-alive, {CALLER}"))
        answer = await ask(mesh.nodes[0].consumers, request_bytes("POST", "/buy/1", fields, b"x"))
        mesh.record(f"consumer of node-1 (shop) sent order-{number}:"
                    f" {answer if isinstance(answer, str) else answer.status}")
    return [f"UNASKED: worker {worker.id} ran {request_id}, which began at a machine of shop, with {CALLER}: {caller}"
            for worker in mesh.workers for _, request_id, _, caller in worker.runs if caller != "shop"]


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).parent, case, [route("buy", "/buy/", "orders", kind="non_idempotent")],
             ["shop", "orders"])
