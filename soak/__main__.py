"""python3 -m soak: see soak/__init__.py. Exit code 0: no violation, 1: violations, 2: usage error."""
import argparse
import asyncio
import os
import random
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "platform"))

from soak.callers import REQUEST_KINDS  # noqa: E402
from soak.fleet import Fleet  # noqa: E402
from soak.invariants import SETTLING_TIME_S, InvariantChecker  # noqa: E402
from soak.links import LinkFault  # noqa: E402
from soak.schedule import Schedule  # noqa: E402

RECOVERY_TIMEOUT_S = 15.0
MIN_SUCCESS_RATIO = 0.9
MAX_NODES = 100


def parse_arguments():
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--build", default="build", help="build directory (default: build)")
    parser.add_argument("--seed", type=int, default=None, help="random seed of the faults (default: a new one)")
    parser.add_argument("--minutes", type=float, default=0.5, help="duration of the fault injection (default: 0.5)")
    parser.add_argument("--nodes", type=int, default=6, help=f"number of nodes, 3 to {MAX_NODES} (default: 6)")
    parser.add_argument("--directory", default=None, help="directory for logs (default: a new temporary directory)")
    parser.add_argument("--verbose", action="store_true", help="print each fault when it starts")
    options = parser.parse_args()
    if not 3 <= options.nodes <= MAX_NODES or options.minutes <= 0:
        parser.error(f"--nodes must be 3 to {MAX_NODES} and --minutes above 0")
    if options.seed is None:
        options.seed = random.SystemRandom().randrange(1 << 32)
    if options.directory is None:
        options.directory = tempfile.mkdtemp(prefix=f"soak-{options.seed}-")
    os.makedirs(options.directory, exist_ok=True)
    # Ports below the kernel's ephemeral range, which outgoing connections use. The process id keeps the ports of
    # concurrent soaks apart.
    options.first_port = 10000 + os.getpid() % 2000 * 10
    return options


async def check_recovery(fleet, invariants):
    """Checks that the fleet serves requests again within RECOVERY_TIMEOUT_S after the last fault.

    Sends one request of each kind to each node; MIN_SUCCESS_RATIO of those that are not abandoned must succeed.
    """
    await asyncio.sleep(1)
    deadline = invariants.clock() + RECOVERY_TIMEOUT_S
    while True:
        targets = [(node, kind) for node in fleet.nodes for kind in REQUEST_KINDS]
        requests = await asyncio.gather(*(node.callers.send(kind) for node, kind in targets))
        completed_requests = [request for request in requests if not request.was_abandoned]
        success_count = sum(1 for request in completed_requests if request.status == 200)
        if success_count >= MIN_SUCCESS_RATIO * len(completed_requests):
            return
        if invariants.clock() > deadline:
            invariants.record_violation("recovery", "",
                                        f"{success_count} of {len(completed_requests)} requests succeeded "
                                        f"{RECOVERY_TIMEOUT_S:g} s after the last fault")
            return
        await asyncio.sleep(1)


async def check_silent_connections(fleet, invariants, log):
    """Checks that a version published just after all open connections between processes have gone silent is in force
    on each node within SETTLING_TIME_S."""
    silenced_at = invariants.clock()
    for node in fleet.nodes:
        for link in (node.peer_link, node.store_link):
            link.inject_fault(LinkFault.SILENCE)
    invariants.fault_windows.add([silenced_at, invariants.clock()])
    fleet.publish_configuration(timeout_ms=1000)
    log(f"silence of all links, then configuration {fleet.version}")
    await asyncio.sleep(SETTLING_TIME_S)
    for node in fleet.nodes:
        applied_version = invariants.version_of(node.number, node.starts)
        if applied_version < fleet.version:
            invariants.record_violation("configuration applied", "",
                                        f"node {node.number} has version {applied_version}, but version "
                                        f"{fleet.version} was published {SETTLING_TIME_S} s ago, just after its "
                                        "connections had gone silent")


async def soak(options):
    started_at = time.monotonic()
    invariants = InvariantChecker(lambda: time.monotonic() - started_at)
    log_file = open(os.path.join(options.directory, "soak.log"), "w", encoding="utf-8")

    def log(text):
        line = f"{invariants.clock():8.3f} {text}"
        print(line, file=log_file, flush=True)
        if options.verbose:
            print(line, flush=True)

    # Faults and load have separate generators, so that the faults of a seed do not depend on the timing of the load.
    schedule_random, load_random = random.Random(options.seed), random.Random(options.seed + 1)
    with log_file:
        async with Fleet(options, invariants, load_random) as fleet:
            if not await fleet.wait_until_ready(10):
                invariants.record_violation("startup", "", "the nodes were not ready within 10 s")
            load = asyncio.gather(*(node.callers.run() for node in fleet.nodes))
            await Schedule(fleet, invariants, schedule_random, log).run(options.minutes * 60)
            await check_recovery(fleet, invariants)
            for node in fleet.nodes:
                node.callers.is_sending = False
            await load
            await asyncio.gather(*(node.callers.drain() for node in fleet.nodes))
            # Without load, since calls between nodes find silent connections, too.
            await check_silent_connections(fleet, invariants, log)
            await asyncio.sleep(1)
        invariants.check_completed_run()
        for violation in invariants.violations:
            log(f"VIOLATION {violation}")
    return invariants


def main():
    options = parse_arguments()
    invariants = asyncio.run(soak(options))
    counts = ", ".join(f"{name}: {count}" for name, count in sorted(invariants.counts.items()))
    print(f"seed {options.seed}: {len(invariants.requests)} requests ({counts}); logs in {options.directory}")
    for violation in invariants.violations[:20]:
        print(f"  {violation.at:8.3f} {violation.invariant}: {violation.request_id} {violation.evidence}")
    print(f"{len(invariants.violations)} violations")
    return 1 if invariants.violations else 0


if __name__ == "__main__":
    sys.exit(main())
