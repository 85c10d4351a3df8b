"""python3 -m soak: see soak/__init__.py. Exit code 0: all promises held, 1: a violation, 2: usage."""
import argparse
import asyncio
import os
import random
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "platform"))

from soak.callers import KINDS  # noqa: E402
from soak.fleet import Fleet  # noqa: E402
from soak.promises import Promises  # noqa: E402
from soak.schedule import Schedule  # noqa: E402

RECOVERY_S = 15.0
SHARE_AFTER_RECOVERY = 0.9
MOST_NODES = 100


def parse_arguments():
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--build", default="build", help="folder of the build (default: build)")
    parser.add_argument("--seed", type=int, default=None, help="seed of the faults (default: drawn)")
    parser.add_argument("--minutes", type=float, default=0.5, help="length of the disturbed part (default: 0.5)")
    parser.add_argument("--nodes", type=int, default=6, help=f"number of nodes, 3 to {MOST_NODES} (default: 6)")
    parser.add_argument("--directory", default=None, help="where logs go (default: a new folder)")
    parser.add_argument("--verbose", action="store_true", help="print each trouble as it begins")
    options = parser.parse_args()
    if not 3 <= options.nodes <= MOST_NODES or options.minutes <= 0:
        parser.error(f"--nodes must be 3 to {MOST_NODES} and --minutes above 0")
    if options.seed is None:
        options.seed = random.SystemRandom().randrange(1 << 32)
    if options.directory is None:
        options.directory = tempfile.mkdtemp(prefix=f"soak-{options.seed}-")
    os.makedirs(options.directory, exist_ok=True)
    # Below the range from which the kernel takes the ports of outgoing connections; another soak may run beside.
    options.first_port = 10000 + os.getpid() % 2000 * 10
    return options


async def check_recovery(fleet, promises):
    """Every node serves every kind again within RECOVERY_S of the last trouble."""
    await asyncio.sleep(1)
    deadline = promises.clock() + RECOVERY_S
    while True:
        sent = [(node, kind) for node in fleet.nodes for kind in KINDS]
        attempts = await asyncio.gather(*(node.callers.send(kind) for node, kind in sent))
        answered = [each for each in attempts if not each.was_left]
        served = sum(1 for each in answered if each.status == 200)
        if served >= SHARE_AFTER_RECOVERY * len(answered):
            return
        if promises.clock() > deadline:
            promises.violate("recovery", "", f"{served} of {len(answered)} served {RECOVERY_S:g} s after the end")
            return
        await asyncio.sleep(1)


async def soak(options):
    began = time.monotonic()
    promises = Promises(lambda: time.monotonic() - began)
    log_file = open(os.path.join(options.directory, "soak.log"), "w", encoding="utf-8")

    def log(text):
        line = f"{promises.clock():8.3f} {text}"
        print(line, file=log_file, flush=True)
        if options.verbose:
            print(line, flush=True)

    # One generator draws the troubles and another the load, so that a seed's troubles do not depend on timing there.
    schedule_random, load_random = random.Random(options.seed), random.Random(options.seed + 1)
    with log_file:
        async with Fleet(options, promises, load_random) as fleet:
            if not await fleet.wait_until_ready(10):
                promises.violate("start", "", "the nodes are not ready after 10 s")
            load = asyncio.gather(*(node.callers.run() for node in fleet.nodes))
            await Schedule(fleet, promises, schedule_random, log).run(options.minutes * 60)
            await check_recovery(fleet, promises)
            for node in fleet.nodes:
                node.callers.is_sending = False
            await load
            await asyncio.gather(*(node.callers.drain() for node in fleet.nodes))
            await asyncio.sleep(1)
        promises.check_ledgers()
        for violation in promises.violations:
            log(f"VIOLATION {violation}")
    return promises


def main():
    options = parse_arguments()
    promises = asyncio.run(soak(options))
    counts = ", ".join(f"{name}: {count}" for name, count in sorted(promises.counts.items()))
    print(f"seed {options.seed}: {len(promises.attempts)} requests ({counts}); logs in {options.directory}")
    for violation in promises.violations[:20]:
        print(f"  {violation.at:8.3f} {violation.promise}: {violation.request} {violation.evidence}")
    print(f"{len(promises.violations)} violations")
    return 1 if promises.violations else 0


if __name__ == "__main__":
    sys.exit(main())
