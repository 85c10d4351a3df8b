"""Starts a platform stand-in, backend servers and nodes on loopback for the demo and the benchmarks.

Fleet is a context manager. On exit, also after an exception, SIGINT, SIGTERM or SIGHUP, it ends, by id, only the
processes that it started.
"""
import concurrent.futures
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

TOOLS = os.path.dirname(os.path.abspath(__file__))
REGION = "region-1"


def free_ports(count):
    """Returns free ports below the kernel's ephemeral range, which outgoing connections use."""
    ports = []
    while len(ports) < count:
        port = random.randrange(10000, 32000)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def request(method, address, path, body=None, timeout=5):
    """Sends an HTTP request and returns (status, body); raises OSError when there is no response."""
    data = body.encode() if body is not None else None
    http_request = urllib.request.Request(f"http://{address}{path}", data=data, method=method)
    try:
        with urllib.request.urlopen(http_request, timeout=timeout) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


def wait_until(condition, seconds, description):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except (OSError, ValueError, KeyError):
            pass
        time.sleep(0.02)
    raise RuntimeError(f"timed out after {seconds} s waiting until {description}")


class Instance:
    """One backend server with its skylarkd."""

    def __init__(self, name, service, zone, ports):
        self.name, self.service, self.zone = name, service, zone
        self.incarnation = 1
        addresses = [f"127.0.0.1:{port}" for port in ports]
        self.caller_address, self.peer_address, self.admin_address, self.backend_address = addresses
        self.node_process = None
        self.backend_process = None
        self.record = None
        self.extra_settings = {}

    def status(self):
        return json.loads(request("GET", self.admin_address, "/status")[1])

    def version(self):
        return self.status().get("version", 0)

    def metrics(self):
        """Returns the samples of GET /metrics as {(name, labels): value}."""
        samples = {}
        for line in request("GET", self.admin_address, "/metrics")[1].splitlines():
            match = re.match(r"([a-zA-Z_:]+)(\{.*\})? (\S+)", line)
            if match and not line.startswith("#"):
                samples[(match[1], match[2] or "")] = float(match[3])
        return samples

    def control_bytes(self):
        return sum(value for (name, _), value in self.metrics().items() if name == "skylark_control_bytes")

    def live_instances(self):
        return self.metrics().get(("skylark_instances", '{condition="live"}'), 0)

    def usage(self):
        """Returns (CPU seconds, resident bytes) of the instance's skylarkd."""
        pid = self.node_process.pid
        with open(f"/proc/{pid}/stat", encoding="ascii") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK"), int(fields[21]) * os.sysconf("SC_PAGE_SIZE")


class Fleet:
    def __init__(self, build, directory):
        self.binaries = os.path.join(os.path.abspath(build), "bin")
        for program in ("skylarkd", "skylarkctl", "skylarkload", "platform_standin", "backend_standin"):
            if not os.access(os.path.join(self.binaries, program), os.X_OK):
                sys.exit(f"{program} not found in {self.binaries}; build the project first")
        self.directory = os.path.abspath(directory)
        os.makedirs(self.directory, exist_ok=True)
        self.processes = []
        self.instances = []
        self.platform_address = None

    def __enter__(self):
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda *_: sys.exit(130))
        return self

    def __exit__(self, *_):
        running_processes = [process for process in self.processes if process.poll() is None]
        for process in running_processes:
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes:
            process.wait()

    def start(self, program, *arguments, log):
        with open(os.path.join(self.directory, log + ".log"), "w", encoding="utf-8") as output:
            process = subprocess.Popen([os.path.join(self.binaries, program), *arguments],
                                       stdin=subprocess.DEVNULL, stdout=output, stderr=output)
        self.processes.append(process)
        return process

    def start_platform(self, **options):
        port = free_ports(1)[0]
        arguments = [f"--{name.replace('_', '-')}={value}" for name, value in options.items()]
        self.start("platform_standin", f"--port={port}", *arguments, log="platform")
        self.platform_address = f"127.0.0.1:{port}"
        wait_until(lambda: request("GET", self.platform_address, "/stats")[0] == 200, 10,
                   "the platform stand-in responds")

    def add_instances(self, specs, backend_options=(), with_backends=True, node_settings=None):
        """Starts one instance for each (name, service, zone) without waiting for readiness."""
        ports = free_ports(4 * len(specs))
        new_instances = [Instance(*spec, ports[4 * i:4 * i + 4]) for i, spec in enumerate(specs)]
        self.instances.extend(new_instances)
        for instance in new_instances:
            if with_backends:
                self.start_backend(instance, backend_options)
            instance.extra_settings = node_settings or {}
            self.start_node(instance)
        return new_instances

    def start_backend(self, instance, options=()):
        instance.record = os.path.join(self.directory, instance.name + ".record")
        if os.path.exists(instance.record):
            os.remove(instance.record)
        instance.backend_process = self.start(
            "backend_standin", f"--port={instance.backend_address.split(':')[1]}", f"--name={instance.name}",
            f"--service={instance.service}", f"--record={instance.record}", *options,
            log=instance.name + "-backend")

    def start_node(self, instance):
        seeds = [other.peer_address for other in random.sample(self.instances, min(4, len(self.instances)))
                 if other is not instance]
        settings = {"instance": instance.name, "incarnation": instance.incarnation, "service": instance.service,
                    "zone": instance.zone, "region": REGION, "callerAddress": instance.caller_address,
                    "peerAddress": instance.peer_address, "adminAddress": instance.admin_address,
                    "backendAddress": instance.backend_address, "platformAddress": self.platform_address,
                    "peers": seeds, "log": {"level": "info", "format": "json"}, **instance.extra_settings}
        path = os.path.join(self.directory, instance.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file, indent=1)
        instance.node_process = self.start("skylarkd", f"--config={path}", log=instance.name)

    def register(self, instance, leaving=False):
        record = {"id": instance.name, "incarnation": instance.incarnation, "peer": instance.peer_address,
                  "service": instance.service, "zone": instance.zone, "region": REGION, "leaving": leaving}
        status, text = request("POST", self.platform_address, "/instances", json.dumps(record))
        if status != 200:
            raise RuntimeError(f"registration of {instance.name} failed with status {status}: {text}")

    def unregister(self, instance):
        request("DELETE", self.platform_address, "/instances/" + instance.name)

    def publish(self, sections, version):
        """Bundles and publishes the section files; returns the monotonic time when the manifest was sent."""
        bundle = os.path.join(self.directory, f"bundle-{version}")
        subprocess.run([os.path.join(self.binaries, "skylarkctl"), "bundle", f"--version={version}",
                        f"--out={bundle}", sections], check=True, stdout=subprocess.DEVNULL)
        result = subprocess.run([os.path.join(TOOLS, "publish.sh"), bundle, self.platform_address], check=True,
                                stdout=subprocess.PIPE, text=True)
        manifest_sent_at = float(re.search(r"manifest sent at (\S+)", result.stdout)[1])
        return time.monotonic() - (time.time() - manifest_sent_at)

    def wait_ready(self, version, seconds=30):
        expected = len(self.instances)
        for instance in self.instances:
            wait_until(lambda: request("GET", instance.admin_address, "/healthz")[0] == 200
                       and instance.version() == version and instance.live_instances() >= expected,
                       seconds, f"{instance.name} is ready with version {version} and knows {expected} instances")

    def convergence_from_state(self, instances, version, since, seconds=30):
        """Like poll_convergence(), but uses the version age from GET /state, which stays accurate with many nodes."""
        deadline = since + seconds
        result = []
        for instance in instances:
            age = None
            while age is None and time.monotonic() < deadline:
                try:
                    applied_state = json.loads(request("GET", instance.admin_address, "/state")[1]).get("applied", {})
                    if applied_state.get("version", 0) == version:
                        age = applied_state["ageMs"] / 1000
                        result.append(time.monotonic() - age - since)
                except (OSError, ValueError):
                    pass
                if age is None:
                    time.sleep(0.05)
            if age is None:
                result.append(float("inf"))
        return result

    def poll_convergence(self, instances, version, since, seconds=30):
        """Returns, for each instance in order, the seconds from `since` until it reports the version."""
        def seconds_until_applied(instance):
            deadline = since + seconds
            while time.monotonic() < deadline:
                try:
                    if instance.version() >= version:
                        return time.monotonic() - since
                except (OSError, ValueError):
                    pass
                time.sleep(0.005)
            return float("inf")
        with concurrent.futures.ThreadPoolExecutor(max_workers=min(32, len(instances))) as pool:
            return list(pool.map(seconds_until_applied, instances))

    def start_load(self, plan, name):
        """Starts skylarkload, which writes <name>-report.json and <name>.ledger."""
        path = os.path.join(self.directory, name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(plan, file, indent=1)
        return self.start("skylarkload", f"--plan={path}", f"--json={self.report_path(name)}",
                          f"--ledger={self.ledger_path(name)}", log=name)

    def report_path(self, name):
        return os.path.join(self.directory, name + "-report.json")

    def ledger_path(self, name):
        return os.path.join(self.directory, name + ".ledger")

    def finish_load(self, process, name, seconds):
        if process.wait(timeout=seconds) != 0:
            raise RuntimeError(f"skylarkload failed for load {name}; see {name}.log")
        with open(self.report_path(name), encoding="utf-8") as file:
            return json.load(file)

    def verify(self, name):
        """Compares a load's ledger with the records of all backend servers; returns (is_clean, output)."""
        records = [instance.record for instance in self.instances if os.path.exists(instance.record)]
        result = subprocess.run([os.path.join(self.binaries, "skylarkload"), "verify",
                                 f"--ledger={self.ledger_path(name)}", *records],
                                capture_output=True, text=True, check=False)
        return result.returncode == 0, result.stdout + result.stderr
