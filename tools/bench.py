"""Measures the system on loopback and writes results.json: a list of name, nodes, value, unit, target, baseline.

Each measurement is a function that returns such entries. `tools/bench.sh BUILD request_path` runs only that measurement
and replaces its entries in an existing results.json. A failed measurement is reported and writes no entries; the others
still run, and the exit code is 1.
"""
import http.client
import json
import math
import os
import random
import re
import signal
import sys
import time
import traceback

from fleet import Fleet, request

EXAMPLE = "examples/gessetto"
ZONES = ["zone-a", "zone-b", "zone-c"]
PITCH, JUDGING = "registration-and-pitch", "judging-and-prize"
FESTIVAL_HOST, JUDGING_HOST = "festival.gessetto.example", "judging.gessetto.example"
# The design load: 1.2 million calls per second over 21,000 nodes.
CALLS_PER_NODE = 57
LOOKUP = {"name": "lookup", "path": "/pitches/{n}", "host": FESTIVAL_HOST, "rank": "lookup", "deadline": "800ms",
          "answerBytes": 1000}
FEE = {"name": "fee", "method": "POST", "path": "/entry-fees", "host": FESTIVAL_HOST, "rank": "payment",
       "deadline": "3s", "idempotent": False, "bodyBytes": 300}
PAYOUT = {"name": "payout", "method": "POST", "path": "/prizes/payouts", "host": JUDGING_HOST, "rank": "payment",
          "deadline": "5s", "idempotent": False, "bodyBytes": 300}


def entry(name, nodes, value, unit, target=None, baseline=None):
    return {"name": name, "nodes": nodes, "value": round(value, 3), "unit": unit, "target": target,
            "baseline": baseline}


def percentile(values, share):
    return sorted(values)[max(1, math.ceil(share * len(values))) - 1]


def start_fleet(fleet, count, backend_options=("--work=2ms", "--distribution=fixed"), **options):
    """Starts `count` instances of both services across the zones and waits until they are ready with version 1."""
    fleet.start_platform()
    fleet.publish(EXAMPLE, 1)
    specs = [(f"n{i}", (PITCH, JUDGING)[i % 2], ZONES[i // 2 % len(ZONES)]) for i in range(count)]
    instances = fleet.add_instances(specs, backend_options, **options)
    for instance in instances:
        fleet.register(instance)
    fleet.wait_ready(1, seconds=60)
    return instances


def run_load(fleet, name, targets, classes, seconds, **options):
    plan = {"targets": targets, "duration": f"{seconds}s", "workers": 16 * len(targets), "classes": classes, **options}
    return fleet.finish_load(fleet.start_load(plan, name), name, seconds + 60)


def request_path(directory, build):
    """Measures the latency and CPU time that two nodes on the request path add to a call."""
    count, seconds, warmup = 6, 23, 3
    with Fleet(build, directory) as fleet:
        instances = start_fleet(fleet, count)
        lookup = {**LOOKUP, "rate": CALLS_PER_NODE * count}
        backend_addresses = [instance.backend_address for instance in instances if instance.service == PITCH]
        direct_totals = run_load(fleet, "direct", backend_addresses, [lookup], seconds, warmup=f"{warmup}s")["totals"]

        def cpu_time():
            return sum(instance.usage()[0] for instance in instances)
        idle_start = cpu_time()
        time.sleep(10)
        idle_per_second = (cpu_time() - idle_start) / 10
        before, start = cpu_time(), time.monotonic()
        caller_addresses = [instance.caller_address for instance in instances]
        proxied_totals = run_load(fleet, "through", caller_addresses, [lookup], seconds, warmup=f"{warmup}s")["totals"]
        cpu_seconds = cpu_time() - before - idle_per_second * (time.monotonic() - start)
    for totals in (direct_totals, proxied_totals):
        if totals["answered"] != totals["sent"]:
            raise RuntimeError(f"some requests received no response: {totals}")
    calls = proxied_totals["sent"] * seconds / (seconds - warmup)
    return [
        entry("added_latency_p50_us", count, proxied_totals["p50Us"] - direct_totals["p50Us"], "us", None,
              direct_totals["p50Us"]),
        entry("added_latency_p99_us", count, proxied_totals["p99Us"] - direct_totals["p99Us"], "us", 420,
              direct_totals["p99Us"]),
        entry("cpu_us_per_call", count, cpu_seconds / calls * 1e6, "us"),
    ]


def kill_node(fleet, instance, generator):
    """Kills the node with SIGKILL and restarts it with a higher incarnation."""
    instance.node_process.kill()
    instance.node_process.wait()
    time.sleep(generator.uniform(0.2, 1))
    instance.incarnation += 1
    fleet.start_node(instance)
    fleet.register(instance)


def pause(process, generator):
    process.send_signal(signal.SIGSTOP)
    time.sleep(generator.uniform(0.5, 4))
    process.send_signal(signal.SIGCONT)


def at_most_once(directory, build):
    """Counts violations of at-most-once execution while nodes are killed and nodes or backend servers are paused.

    Violations are duplicate executions, executed requests that were refused as not run, and answered requests that were
    not executed.
    """
    count, seconds = 8, 40
    generator = random.Random(1)
    with Fleet(build, directory) as fleet:
        instances = start_fleet(fleet, count, backend_options=("--work=20ms",))
        load = fleet.start_load({"targets": [instance.caller_address for instance in instances], "workers": 256,
                                 "duration": f"{seconds}s", "timeout": "20s",
                                 "classes": [{**FEE, "rate": 200}, {**PAYOUT, "rate": 200}]}, "faults")
        end = time.monotonic() + seconds - 3
        while time.monotonic() < end:
            instance = generator.choice(instances)
            fault = generator.choice(["kill", "pause-node", "pause-backend"])
            if fault == "kill":
                kill_node(fleet, instance, generator)
            else:
                pause(instance.node_process if fault == "pause-node" else instance.backend_process, generator)
            time.sleep(generator.uniform(0.2, 1))
        totals = fleet.finish_load(load, "faults", seconds + 60)["totals"]
        # Wait for duplicate requests that may still be executing.
        time.sleep(5)
        _, text = fleet.verify("faults")
    counts = {name: int(re.search(name + r": (\d+)", text)[1])
              for name in ("checked", "double runs", "false not-run refusals", "lost answers")}
    if counts["checked"] == 0:
        raise RuntimeError("skylarkload verify checked no requests")
    return [
        # Above zero if a fault hit a call in progress, so it shows that the faults took effect.
        entry("unknown_outcomes_under_faults", count, totals["unknown"], f"of {totals['sent']} requests"),
        entry("double_runs", count, counts["double runs"], f"of {counts['checked']} requests", 0),
        entry("false_not_run", count, counts["false not-run refusals"], f"of {counts['checked']} requests", 0),
        entry("lost_answers", count, counts["lost answers"], f"of {counts['checked']} requests", 0),
    ]


def graceful_shutdown(directory, build):
    """Counts failed requests while half of the nodes shut down gracefully, one after the other."""
    count, seconds = 6, 25
    with Fleet(build, directory) as fleet:
        instances = start_fleet(fleet, count)
        load = fleet.start_load(
            {"targets": [instance.caller_address for instance in instances], "workers": 96, "duration": f"{seconds}s",
             "classes": [{**LOOKUP, "rate": 150}, {**FEE, "rate": 100}, {**PAYOUT, "rate": 92}]}, "shutdown")
        time.sleep(3)
        exit_codes = []
        for instance in instances[:count // 2]:
            instance.node_process.send_signal(signal.SIGTERM)
            exit_codes.append(instance.node_process.wait(timeout=40))
            fleet.unregister(instance)
            time.sleep(1)
        totals = fleet.finish_load(load, "shutdown", seconds + 60)["totals"]
        is_clean, text = fleet.verify("shutdown")
    if any(exit_codes) or not is_clean:
        raise RuntimeError(f"graceful shutdown failed: exit codes {exit_codes}; verification: {text}")
    failed_requests = totals["errors"] + totals["unknown"]
    return [entry("errors_on_graceful_shutdown", count, failed_requests, f"of {totals['sent']} requests", 0)]


def converge(directory, build, count):
    """Measures convergence and the idle cost of the control plane; the nodes serve no calls."""
    versions, idle_seconds = 10, 20
    with Fleet(build, directory) as fleet:
        # Few threads per node, because there are many nodes and no calls.
        instances = start_fleet(fleet, count, with_backends=False,
                                node_settings={"callerThreads": 4, "gateThreads": 2})
        time.sleep(5)

        def totals():
            usage = [instance.usage() for instance in instances]
            return (sum(instance.control_bytes() for instance in instances),
                    json.loads(request("GET", fleet.platform_address, "/stats")[1])["calls"],
                    sum(seconds for seconds, _ in usage), time.monotonic())
        before = totals()
        time.sleep(idle_seconds)
        after = totals()
        elapsed = after[3] - before[3]
        resident_bytes = max(instance.usage()[1] for instance in instances)
        times = []
        for version in range(2, 2 + versions):
            since = fleet.publish(EXAMPLE, version)
            times.extend(fleet.convergence_from_state(instances, version, since))
            time.sleep(0.5)
    if float("inf") in times:
        raise RuntimeError(f"{times.count(float('inf'))} of {len(times)} version updates were not applied within 30 s")
    return [
        entry("convergence_p50_ms", count, percentile(times, 0.5) * 1000, "ms", 3000),
        entry("convergence_p99_ms", count, percentile(times, 0.99) * 1000, "ms", 3000),
        entry("control_bytes_per_node_per_s_idle", count, (after[0] - before[0]) / elapsed / count, "B/s", 1000),
        entry("source_reads_per_s_steady", count, (after[1] - before[1]) / elapsed, "1/s", 200),
        entry("resident_memory_mb", count, resident_bytes / 1e6, "MB", 128),
        entry("control_cpu_percent_of_core", count, (after[2] - before[2]) / elapsed / count * 100, "%", 3.2),
    ]


def design_size_lists(directory, build):
    """Measures the idle cost of a node with instance lists of the design size, most of whose instances do not run."""
    zones, listed_count, count, idle_seconds = [f"zone-{i:02}" for i in range(17)], 21_000, 17, 20
    with Fleet(build, directory) as fleet:
        fleet.start_platform()
        fleet.publish(EXAMPLE, 1)
        specs = [(f"n{i:02}", PITCH, zones[i]) for i in range(count)]
        instances = fleet.add_instances(specs, with_backends=False,
                                        node_settings={"callerThreads": 4, "gateThreads": 2})
        for instance in instances:
            fleet.register(instance)
        fleet.wait_ready(1, seconds=60)
        baseline_resident_bytes = max(instance.usage()[1] for instance in instances)
        connection = http.client.HTTPConnection(*fleet.platform_address.split(":"))
        for number in range(listed_count - count):
            # Nothing listens on these ports, so the nodes mark the instances as suspect one by one.
            record = {"id": f"absent-{number:05}", "incarnation": 1, "peer": f"127.0.0.1:{1 + number % 700}",
                      "service": f"service-{number % 900:03}", "zone": zones[number % len(zones)],
                      "region": f"region-{number % len(zones) // 2}", "leaving": False}
            connection.request("POST", "/instances", json.dumps(record))
            connection.getresponse().read()

        def known_instances(instance):
            return sum(value for (name, _), value in instance.metrics().items() if name == "skylark_instances")
        deadline = time.monotonic() + 90
        while min(known_instances(instance) for instance in instances) < listed_count:
            if time.monotonic() > deadline:
                counts = [known_instances(instance) for instance in instances]
                raise RuntimeError(f"nodes know {counts} of {listed_count} instances after 90 s")
            time.sleep(1)
        time.sleep(10)
        before = (sum(i.control_bytes() for i in instances), sum(i.usage()[0] for i in instances), time.monotonic())
        time.sleep(idle_seconds)
        after = (sum(i.control_bytes() for i in instances), sum(i.usage()[0] for i in instances), time.monotonic())
        elapsed = after[2] - before[2]
        resident_bytes = max(instance.usage()[1] for instance in instances)
    return [
        entry("listed_21000_resident_memory_mb", count, resident_bytes / 1e6, "MB", 128,
              baseline_resident_bytes / 1e6),
        entry("listed_21000_control_cpu_percent_of_core", count, (after[1] - before[1]) / elapsed / count * 100, "%",
              3.2),
        entry("listed_21000_control_bytes_per_node_per_s_idle", count, (after[0] - before[0]) / elapsed / count,
              "B/s", 5000),
    ]


MEASUREMENTS = {
    "design_size_lists": design_size_lists,
    "request_path": request_path,
    "at_most_once": at_most_once,
    "graceful_shutdown": graceful_shutdown,
    "converge_25": lambda directory, build: converge(directory, build, 25),
    "converge_50": lambda directory, build: converge(directory, build, 50),
    "converge_100": lambda directory, build: converge(directory, build, 100),
}


def main():
    build, names = sys.argv[1], sys.argv[2:] or list(MEASUREMENTS)
    unknown_names = set(names) - set(MEASUREMENTS)
    if unknown_names:
        sys.exit(f"unknown measurements {sorted(unknown_names)}; choose from {', '.join(MEASUREMENTS)}")
    directory = os.path.join(build, "bench")
    os.makedirs(directory, exist_ok=True)
    path = os.path.join(directory, "results.json")
    results = []
    if len(sys.argv) > 2 and os.path.exists(path):
        with open(path, encoding="utf-8") as file:
            results = json.load(file)
    failed_names = []
    for name in names:
        print(f"{name}: running", flush=True)
        try:
            entries = MEASUREMENTS[name](os.path.join(directory, name), build)
        except Exception:  # Run the remaining measurements.
            traceback.print_exc()
            failed_names.append(name)
            continue
        for item in entries:
            print(f"  {item['name']:<36}{item['nodes']:>5} nodes {item['value']:>12} {item['unit']}"
                  + (f"  (target {item['target']})" if item["target"] is not None else ""), flush=True)
        replaced_keys = {(item["name"], item["nodes"]) for item in entries}
        results = [item for item in results if (item["name"], item["nodes"]) not in replaced_keys] + entries
        with open(path, "w", encoding="utf-8") as file:
            json.dump(results, file, indent=1)
    if failed_names:
        sys.exit(f"failed measurements: {', '.join(failed_names)}")


if __name__ == "__main__":
    main()
