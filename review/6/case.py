"""A process is killed while a consumer reads an answer that the worker gave without a length."""
import asyncio
import pathlib
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
from mesh2 import DEADLINE, ID, PROOF, field, proof, request_bytes, route, run_case

# The largest download of the sheet (demands/caudalia-red-grown.toml).
ANSWER_BYTES = 540_000
# Bytes a second that the consumer takes: the narrowest link of the sheet, 16 Mbit/s.
READ_RATE = 2_000_000
# The payload of an Ethernet frame; loopback's own is 64 KiB.
SEGMENT_BYTES = 1448
ROUNDS = 5


def answer(worker, fields, target, body):
    size = int(target.rsplit("/", 1)[1])
    return 200, [], (target.encode() + b"-") * (size // (len(target) + 1) + 1), 0.05


def download(address, request_id, on_first_part):
    """Reads one answer at READ_RATE. Returns (head, body, how the connection ended)."""
    with socket.socket() as consumer:
        consumer.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        consumer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
        consumer.settimeout(10)
        consumer.connect(address)
        consumer.sendall(request_bytes("GET", f"/get/{ANSWER_BYTES}", [(ID, request_id), (DEADLINE, "8000")]))
        received, end = b"", "closed in order"
        while True:
            try:
                part = consumer.recv(16 * 1024)
            except ConnectionResetError:
                end = "reset"
                break
            except socket.timeout:
                end = "silent"
                break
            if not part:
                break
            if not received:
                on_first_part()
            received += part
            time.sleep(len(part) / READ_RATE)
        head, _, body = received.partition(b"\r\n\r\n")
        return head.decode("latin-1"), body, end


async def case(mesh):
    await mesh.start(["archive", "archive"], answer=answer, unframed=True)
    loop = asyncio.get_running_loop()
    taking, serving = mesh.nodes
    breaches = []
    for number in range(ROUNDS):
        request_id = f"download-{number}"
        mesh.record(f"consumer of node-1 sends {request_id} GET /get/{ANSWER_BYTES}")

        def strike():
            if mesh.trouble:
                # The consumer has a part of the answer.
                loop.call_soon_threadsafe(taking.kill)

        head, body, end = await asyncio.to_thread(download, taking.consumers, request_id, strike)
        lines = head.split("\r\n")
        fields = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:]]
        status = lines[0].split(" ")[1] if len(lines[0].split(" ")) > 1 else "none"
        length = field(fields, "Content-Length")
        mesh.record(f"consumer got {request_id}: status {status}, {len(body)} bytes, Content-Length {length},"
                    f" connection {end}")
        is_complete = end == "closed in order" if length is None else len(body) == int(length)
        if status == "200" and is_complete and field(fields, PROOF) != proof(request_id, body):
            breaches.append(f"MIXED: {request_id} ended as a complete 200 with {len(body)} bytes that are not the"
                            " worker's whole body")
        if not taking.is_running() or mesh.trouble:
            await taking.process.wait()
            await asyncio.sleep(0.5)
            await taking.start()
            await mesh.until_ready(15)
    return breaches


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).parent, case,
             [route("get", "/get/", "archive", kind="download", timeout="8s")], ["archive"])
