"""Runs six instances in three zones under load, changes the configuration, kills one instance and drains another.

Exits 0 only if nothing was lost: no request was executed twice, no request that was refused as not run was executed, no
request ended in an error or with a wrong or truncated response, the change reached every node within 30 s, and the
drained node exited by itself.
"""
import os
import shutil
import signal
import subprocess
import sys
import time

from fleet import Fleet, wait_until

EXAMPLE = "examples/gessetto"
ZONES = ["zone-a", "zone-b", "zone-c"]
SERVICES = {"pitch": "registration-and-pitch", "judging": "judging-and-prize"}
LOAD_SECONDS = 22
FESTIVAL, JUDGING = "festival.gessetto.example", "judging.gessetto.example"
CLASSES = [
    {"name": "score-submission", "method": "PUT", "path": "/scores/{n}", "host": JUDGING, "rate": 60,
     "rank": "scoring", "deadline": "500ms", "worth": 100, "bodyBytes": 200},
    {"name": "entry-fee", "method": "POST", "path": "/entry-fees", "host": FESTIVAL, "rate": 40, "rank": "payment",
     "deadline": "3s", "worth": 40, "idempotent": False, "bodyBytes": 300},
    {"name": "prize-payout", "method": "POST", "path": "/prizes/payouts", "host": JUDGING, "rate": 20,
     "rank": "payment", "deadline": "5s", "worth": 60, "idempotent": False, "bodyBytes": 300},
    {"name": "pitch-lookup", "path": "/pitches/{n}", "host": FESTIVAL, "rate": 150, "rank": "lookup",
     "deadline": "800ms", "worth": 5, "answerBytes": 2000},
    {"name": "standings", "path": "/standings", "host": FESTIVAL, "rate": 80, "rank": "lookup",
     "deadline": "800ms", "worth": 8, "answerBytes": 8000},
    {"name": "pitch-export", "path": "/internal/pitch-export", "host": FESTIVAL, "rate": 5, "rank": "bulk",
     "deadline": "10s", "worth": 1, "answerBytes": 200000, "work": "20ms"},
]


def say(text):
    print(text, flush=True)


def changed_configuration(directory):
    """Copies the example configuration with a changed pitch lookup deadline; returns the path of the copy."""
    copy = os.path.join(directory, "document-2")
    shutil.rmtree(copy, ignore_errors=True)
    shutil.copytree(EXAMPLE, copy)
    path = os.path.join(copy, "registration-and-pitch.json")
    with open(path, encoding="utf-8") as file:
        text = file.read()
    changed_text = text.replace('"deadline": "800ms"', '"deadline": "700ms"')
    if changed_text == text:
        raise RuntimeError(f"{path} has no deadline of 800ms to change")
    with open(path, "w", encoding="utf-8") as file:
        file.write(changed_text)
    return copy


def kill(fleet, instance):
    """Kills the node and its backend server; the platform removes the instance from its list a second later."""
    instance.node_process.kill()
    instance.backend_process.kill()
    time.sleep(1)
    fleet.unregister(instance)


def drain(instance):
    """Stops the node gracefully; returns (exit code or None on timeout, seconds)."""
    start = time.monotonic()
    instance.node_process.send_signal(signal.SIGTERM)
    try:
        return instance.node_process.wait(timeout=35), time.monotonic() - start
    except subprocess.TimeoutExpired:
        return None, time.monotonic() - start


def print_report(report, convergence_times, control_bytes):
    say("\nRequests by rank")
    say(f"  {'rank':<10}{'sent':>8}{'answered':>10}{'on time':>9}{'not run':>9}{'unknown':>9}{'errors':>8}"
        f"{'p50 ms':>9}{'p99 ms':>9}")
    for row in report["ranks"] + [report["totals"]]:
        say(f"  {row['name']:<10}{row['sent']:>8}{row['answered']:>10}{row['onTime']:>9}{row['notRun']:>9}"
            f"{row['unknown']:>9}{row['errors']:>8}{row['p50Us'] / 1000:>9.2f}{row['p99Us'] / 1000:>9.2f}")
    say(f"\nChange in force on all nodes after {max(convergence_times) * 1000:.0f} ms"
        f" (first node after {min(convergence_times) * 1000:.0f} ms)")
    say("Control bytes per node and second, sent and received: "
        + ", ".join(f"{name} {value:.0f}" for name, value in control_bytes.items()))


def run(fleet):
    say("Starting a platform, six backend servers and six nodes in three zones")
    fleet.start_platform()
    fleet.publish(EXAMPLE, 1)
    instances = fleet.add_instances(
        [(f"{short_name}-{zone[-1]}", service, zone) for zone in ZONES for short_name, service in SERVICES.items()],
        backend_options=["--work=3ms"])
    for instance in instances:
        fleet.register(instance)
    fleet.wait_ready(1)
    instances_by_name = {instance.name: instance for instance in instances}
    killed_instance, drained_instance = instances_by_name["pitch-c"], instances_by_name["judging-b"]
    unaffected_instances = [instance for instance in instances if instance not in (killed_instance, drained_instance)]

    # Killing a node also breaks its callers' connections, so the killed node gets no load.
    targets = [instance.caller_address for instance in instances if instance is not killed_instance]
    load = fleet.start_load({"targets": targets, "duration": f"{LOAD_SECONDS}s", "workers": 150,
                             "classes": CLASSES}, "load")
    control_bytes_before = {instance.name: (instance.control_bytes(), time.monotonic())
                            for instance in unaffected_instances}
    time.sleep(4)

    say("Publishing version 2 with a changed deadline")
    convergence_times = fleet.poll_convergence(instances, 2, fleet.publish(changed_configuration(fleet.directory), 2))
    time.sleep(3)
    say(f"Killing instance {killed_instance.name} (kill -9 of its node and backend server)")
    kill(fleet, killed_instance)
    time.sleep(4)
    say(f"Draining instance {drained_instance.name} (SIGTERM to its node)")
    exit_code, drain_seconds = drain(drained_instance)
    fleet.unregister(drained_instance)
    say(f"  its node ended after {drain_seconds:.1f} s with exit code {exit_code}")

    report = fleet.finish_load(load, "load", LOAD_SECONDS + 30)
    control_bytes = {}
    for instance in unaffected_instances:
        bytes_at_start, start = control_bytes_before[instance.name]
        control_bytes[instance.name] = (instance.control_bytes() - bytes_at_start) / (time.monotonic() - start)
    wait_until(lambda: all(instance.live_instances() == 4 for instance in unaffected_instances), 10,
               "the other nodes have removed the two stopped instances")
    print_report(report, convergence_times, control_bytes)
    is_clean, text = fleet.verify("load")
    say("\nNon-idempotent requests against the backend servers' records\n  " + text.strip().replace("\n", "\n  "))

    totals = report["totals"]
    failures = []
    if not is_clean:
        failures.append("the backend servers' records disagree with the outcomes that callers saw")
    for kind in ("cut", "wrongAnswer", "serverError", "timedOut", "notConnected"):
        if totals[kind] > 0:
            failures.append(f"{totals[kind]} requests ended as {kind}")
    if exit_code != 0:
        failures.append("the drained node did not exit with code 0")
    if max(convergence_times) == float("inf"):
        failures.append("the change did not reach every node within 30 s")
    if totals["answered"] == 0:
        failures.append("no request was answered")
    return failures


def main():
    build = sys.argv[1]
    with Fleet(build, os.path.join(build, "demo")) as fleet:
        failures = run(fleet)
    say("\nNothing was lost" if not failures else "\nLOST: " + "; ".join(failures))
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
