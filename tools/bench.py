"""Measures the system on loopback and writes results.json: a list of name, nodes, value, unit, target, baseline.

Each measurement is a function that gives such entries; `tools/bench.sh BUILD request_path` runs one of them and
replaces its entries in an earlier results.json. A figure without a run is never written: a measurement that fails
is reported, the others still run, and the exit code is 1.
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
# The design's 1.2 million calls a second over 21,000 nodes.
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
    """A ready fleet of count instances of both services over the zones, with version 1."""
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
    """Latency and processor time that the way through two nodes adds to a call."""
    count, seconds, warmup = 6, 23, 3
    with Fleet(build, directory) as fleet:
        instances = start_fleet(fleet, count)
        lookup = {**LOOKUP, "rate": CALLS_PER_NODE * count}
        callees = [instance.backend for instance in instances if instance.service == PITCH]
        direct = run_load(fleet, "direct", callees, [lookup], seconds, warmup=f"{warmup}s")["totals"]

        def processor_time():
            return sum(instance.usage()[0] for instance in instances)
        idle_start = processor_time()
        time.sleep(10)
        idle_per_second = (processor_time() - idle_start) / 10
        before, start = processor_time(), time.monotonic()
        callers = [instance.caller for instance in instances]
        through = run_load(fleet, "through", callers, [lookup], seconds, warmup=f"{warmup}s")["totals"]
        used = processor_time() - before - idle_per_second * (time.monotonic() - start)
    for figures in (direct, through):
        if figures["answered"] != figures["sent"]:
            raise RuntimeError(f"not all requests were answered: {figures}")
    calls = through["sent"] * seconds / (seconds - warmup)
    return [
        entry("added_latency_p50_us", count, through["p50Us"] - direct["p50Us"], "us", None, direct["p50Us"]),
        entry("added_latency_p99_us", count, through["p99Us"] - direct["p99Us"], "us", 420, direct["p99Us"]),
        entry("cpu_us_per_call", count, used / calls * 1e6, "us"),
    ]


def kill_node(fleet, instance, generator):
    """kill -9, then a restart as a new process of a higher incarnation."""
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
    """Double runs and false refusals while nodes are killed and nodes and backend servers are paused."""
    count, seconds = 8, 40
    generator = random.Random(1)
    with Fleet(build, directory) as fleet:
        instances = start_fleet(fleet, count, backend_options=("--work=20ms",))
        load = fleet.start_load({"targets": [instance.caller for instance in instances], "workers": 256,
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
        # Late copies of requests may still run.
        time.sleep(5)
        _, text = fleet.verify("faults")
    figures = {name: int(re.search(name + r": (\d+)", text)[1])
               for name in ("checked", "double runs", "false not-run refusals", "lost answers")}
    if figures["checked"] == 0:
        raise RuntimeError("no request was checked")
    return [
        # Above zero when the faults hit calls that were running.
        entry("unknown_outcomes_under_faults", count, totals["unknown"], f"of {totals['sent']} requests"),
        entry("double_runs", count, figures["double runs"], f"of {figures['checked']} requests", 0),
        entry("false_not_run", count, figures["false not-run refusals"], f"of {figures['checked']} requests", 0),
        entry("lost_answers", count, figures["lost answers"], f"of {figures['checked']} requests", 0),
    ]


def graceful_shutdown(directory, build):
    """Requests that do not end well while half of the nodes stop gracefully, one after the other."""
    count, seconds = 6, 25
    with Fleet(build, directory) as fleet:
        instances = start_fleet(fleet, count)
        load = fleet.start_load(
            {"targets": [instance.caller for instance in instances], "workers": 96, "duration": f"{seconds}s",
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
        raise RuntimeError(f"exit codes {exit_codes}; {text}")
    failed = totals["errors"] + totals["unknown"]
    return [entry("errors_on_graceful_shutdown", count, failed, f"of {totals['sent']} requests", 0)]


def converge(directory, build, count):
    """Convergence and the idle cost of the control plane; the nodes serve no calls."""
    versions, idle_seconds = 10, 20
    with Fleet(build, directory) as fleet:
        # Few threads, since the nodes are many and no calls come.
        instances = start_fleet(fleet, count, with_backends=False,
                                node_settings={"callerThreads": 4, "gateThreads": 2})
        time.sleep(5)

        def totals():
            usage = [instance.usage() for instance in instances]
            return (sum(instance.control_bytes() for instance in instances),
                    json.loads(request("GET", fleet.platform, "/stats")[1])["calls"],
                    sum(seconds for seconds, _ in usage), time.monotonic())
        before = totals()
        time.sleep(idle_seconds)
        after = totals()
        elapsed = after[3] - before[3]
        resident = max(instance.usage()[1] for instance in instances)
        times = []
        for version in range(2, 2 + versions):
            since = fleet.publish(EXAMPLE, version)
            times.extend(fleet.applied_after(instances, version, since))
            time.sleep(0.5)
    if float("inf") in times:
        raise RuntimeError(f"{times.count(float('inf'))} of {len(times)} applications took over 30 s")
    return [
        entry("convergence_p50_ms", count, percentile(times, 0.5) * 1000, "ms", 3000),
        entry("convergence_p99_ms", count, percentile(times, 0.99) * 1000, "ms", 3000),
        entry("control_bytes_per_node_per_s_idle", count, (after[0] - before[0]) / elapsed / count, "B/s", 1000),
        entry("source_reads_per_s_steady", count, (after[1] - before[1]) / elapsed, "1/s", 200),
        entry("resident_memory_mb", count, resident / 1e6, "MB", 128),
        entry("control_cpu_percent_of_core", count, (after[2] - before[2]) / elapsed / count * 100, "%", 3.2),
    ]


def design_size_lists(directory, build):
    """Idle cost of a node that holds the instance lists of the design size, most entries of which do not run."""
    zones, listed, count, idle_seconds = [f"zone-{i:02}" for i in range(17)], 21_000, 17, 20
    with Fleet(build, directory) as fleet:
        fleet.start_platform()
        fleet.publish(EXAMPLE, 1)
        specs = [(f"n{i:02}", PITCH, zones[i]) for i in range(count)]
        instances = fleet.add_instances(specs, with_backends=False,
                                        node_settings={"callerThreads": 4, "gateThreads": 2})
        for instance in instances:
            fleet.register(instance)
        fleet.wait_ready(1, seconds=60)
        small = max(instance.usage()[1] for instance in instances)
        connection = http.client.HTTPConnection(*fleet.platform.split(":"))
        for number in range(listed - count):
            # Nothing listens on these ports: the nodes find the entries suspect one after the other.
            record = {"id": f"absent-{number:05}", "incarnation": 1, "peer": f"127.0.0.1:{1 + number % 700}",
                      "service": f"service-{number % 900:03}", "zone": zones[number % len(zones)],
                      "region": f"region-{number % len(zones) // 2}", "leaving": False}
            connection.request("POST", "/instances", json.dumps(record))
            connection.getresponse().read()

        def known(instance):
            return sum(value for (name, _), value in instance.metrics().items() if name == "skylark_instances")
        deadline = time.monotonic() + 90
        while min(known(instance) for instance in instances) < listed:
            if time.monotonic() > deadline:
                raise RuntimeError(f"nodes know {[known(instance) for instance in instances]} of {listed} instances")
            time.sleep(1)
        time.sleep(10)
        before = (sum(i.control_bytes() for i in instances), sum(i.usage()[0] for i in instances), time.monotonic())
        time.sleep(idle_seconds)
        after = (sum(i.control_bytes() for i in instances), sum(i.usage()[0] for i in instances), time.monotonic())
        elapsed = after[2] - before[2]
        resident = max(instance.usage()[1] for instance in instances)
    return [
        entry("listed_21000_resident_memory_mb", count, resident / 1e6, "MB", 128, small / 1e6),
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
    unknown = set(names) - set(MEASUREMENTS)
    if unknown:
        sys.exit(f"unknown measurements {sorted(unknown)}; there are {', '.join(MEASUREMENTS)}")
    directory = os.path.join(build, "bench")
    os.makedirs(directory, exist_ok=True)
    path = os.path.join(directory, "results.json")
    results = []
    if len(sys.argv) > 2 and os.path.exists(path):
        with open(path, encoding="utf-8") as file:
            results = json.load(file)
    failed = []
    for name in names:
        print(f"{name}: running", flush=True)
        try:
            entries = MEASUREMENTS[name](os.path.join(directory, name), build)
        except Exception:  # The remaining measurements are still wanted.
            traceback.print_exc()
            failed.append(name)
            continue
        for item in entries:
            print(f"  {item['name']:<36}{item['nodes']:>5} nodes {item['value']:>12} {item['unit']}"
                  + (f"  (target {item['target']})" if item["target"] is not None else ""), flush=True)
        replaced = {(item["name"], item["nodes"]) for item in entries}
        results = [item for item in results if (item["name"], item["nodes"]) not in replaced] + entries
        with open(path, "w", encoding="utf-8") as file:
            json.dump(results, file, indent=1)
    if failed:
        sys.exit(f"failed: {', '.join(failed)}")


if __name__ == "__main__":
    main()
