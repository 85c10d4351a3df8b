"""Invariants of the fleet, checked from the observations of callers, servers and the operator.

Each failed check is recorded as a Violation with the time, the request id and the evidence. Checks that tolerate faults
use FaultWindows to skip times with injected faults.
"""
import collections
import dataclasses
import hashlib

# A request rejected with one of these statuses has not been executed and never will be.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
# Time for the fleet to detect the end of a fault.
SETTLING_TIME_S = 3.0
# Time for a configuration or a server's drain state to reach all nodes.
APPLY_TIMEOUT_S = 2.5
DRAIN_TIMEOUT_S = 2.5
# Time for an abandoned request to be cancelled at its server.
CANCELLATION_TIMEOUT_S = 0.5
# Small enough that the faults of a run would exceed it if the nodes did not enforce the retry budget.
RETRY_RATIO = 0.01
RETRY_SLACK = 5
RETRY_WINDOW_S = 10.0


def response_body(request_id, size):
    """Returns the deterministic response body for a request, which servers send and callers verify."""
    seed = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (seed * (size // len(seed) + 1))[:size]


def compute_proof(request_id, body):
    return hashlib.sha256(request_id.encode() + body).hexdigest()[:16]


@dataclasses.dataclass
class Violation:
    invariant: str
    at: float
    request_id: str
    evidence: str


@dataclasses.dataclass
class CallerRequest:
    """One request of a caller and its outcome."""

    id: str
    node: int
    service: str
    is_idempotent: bool
    started_at: float
    ended_at: float = 0.0
    # None if no response was received.
    status: int | None = None
    was_abandoned: bool = False
    reused_connection: bool = False
    # True if the connection closed after the complete request was sent and before a response.
    lost_connection: bool = False


@dataclasses.dataclass
class Execution:
    """One execution of a request at a server."""

    request_id: str
    server: str
    service: str
    started_at: float
    ended_at: float | None = None


class FaultWindows:
    """Times with injected faults; maintenance actions do not count."""

    def __init__(self):
        self._windows = []

    def add(self, window):
        """Adds a [start, end] list; the caller sets the end when the fault is cleared."""
        self._windows.append(window)

    def is_fault_free(self, started_at, ended_at):
        return all(ended_at < start or started_at > end + SETTLING_TIME_S for start, end in self._windows)


class InvariantChecker:
    def __init__(self, clock):
        self.clock = clock
        self.fault_windows = FaultWindows()
        self.violations = []
        self.requests = {}
        self.executions = collections.defaultdict(list)
        self.arrivals = collections.defaultdict(list)
        self.counts = collections.Counter()
        self._versions = {}
        # Time when each server, by id, started to drain; new requests must stop reaching it.
        self.drain_started_at = {}

    def record_violation(self, invariant, request_id, evidence):
        self.violations.append(Violation(invariant, self.clock(), request_id, evidence))

    # Observations of callers.
    def record_sent(self, request):
        self.requests[request.id] = request

    def record_response(self, request, echoed_id, proof, body):
        self.counts[f"status {request.status}"] += 1
        if echoed_id is not None and echoed_id != request.id:
            self.record_violation("matching response", request.id, f"the response belongs to {echoed_id}")
        if 200 <= request.status < 300 and proof != compute_proof(request.id, body):
            self.record_violation("response integrity", request.id,
                                  f"a body of {len(body)} bytes does not match the proof")

    def record_invalid_response(self, request, reason):
        self.record_violation("response integrity", request.id, reason)

    def record_lost_connection(self, request):
        """Records that the connection closed after the complete request was sent and before a response."""
        self.counts["lost connections"] += 1
        request.lost_connection = True

    # Observations of servers.
    def record_execution(self, execution, is_idempotent):
        executions = self.executions[execution.request_id]
        executions.append(execution)
        request = self.requests.get(execution.request_id)
        if request is None:
            self.record_violation("known request", execution.request_id,
                                  f"no caller sent this request; it was executed at {execution.server}")
            return
        if execution.service != request.service:
            self.record_violation("route", execution.request_id,
                                  f"sent to {request.service}, executed at {execution.service}")
        if len(executions) > 1 and not is_idempotent:
            starts = [(entry.server, entry.started_at) for entry in executions]
            self.record_violation("at most once", execution.request_id, f"executions {starts}")
        drain_start = self.drain_started_at.get(execution.server)
        if (drain_start is not None and execution.started_at > drain_start + DRAIN_TIMEOUT_S
                and self.fault_windows.is_fault_free(drain_start, execution.started_at)):
            self.record_violation("drain", execution.request_id,
                                  f"executed {execution.started_at - drain_start:.1f} s after "
                                  f"{execution.server} started to drain")

    def record_arrival(self, service, request_id):
        self.arrivals[service].append((self.clock(), request_id))

    # Observations of the operator.
    def record_version(self, node, process, version):
        last = self._versions.get((node, process), 0)
        if version < last:
            self.record_violation("no configuration rollback", "", f"node {node} went from version {last} to {version}")
        self._versions[(node, process)] = max(last, version)

    def version_of(self, node, process):
        return self._versions.get((node, process), 0)

    # Checks after all requests have completed.
    def check_completed_run(self):
        for request in self.requests.values():
            self._check_request(request)
        self._check_abandoned_requests()
        for service in self.arrivals:
            self._check_retry_budget(service)

    def _check_request(self, request):
        executions = self.executions.get(request.id, [])
        if request.status in NOT_EXECUTED_STATUSES and executions and not request.is_idempotent:
            self.record_violation("not executed", request.id,
                                  f"status {request.status}, but executed at {executions[0].server}")
        if request.lost_connection and self.fault_windows.is_fault_free(request.started_at, request.ended_at):
            self.record_violation("graceful shutdown", request.id,
                                  f"node {request.node} closed the connection after "
                                  f"{request.ended_at - request.started_at:.3f} s without any fault")

    def _check_abandoned_requests(self):
        interrupted, still_running = 0, 0
        for request in self.requests.values():
            if not (request.was_abandoned and request.is_idempotent):
                continue
            for execution in self.executions.get(request.id, []):
                limit = request.ended_at + CANCELLATION_TIMEOUT_S
                is_fault_free = self.fault_windows.is_fault_free(request.ended_at, limit)
                if execution.started_at > limit and is_fault_free:
                    self.record_violation("abandoned request", request.id,
                                          "execution started after the caller had abandoned the request")
                if (execution.ended_at is not None and is_fault_free
                        and execution.started_at < request.ended_at < execution.ended_at):
                    interrupted += 1
                    still_running += execution.ended_at > limit
        if still_running > max(2, interrupted / 10):
            self.record_violation("abandoned request", "",
                                  f"{still_running} of {interrupted} executions were not cancelled")

    def _check_retry_budget(self, service):
        """Compares the repeated arrivals in each retry window with the requests sent in it and in the window before."""
        request_times = sorted(request.started_at for request in self.requests.values() if request.service == service)
        arrived_ids, repeat_times = set(), []
        for time, request_id in sorted(self.arrivals[service]):
            if request_id in arrived_ids:
                repeat_times.append(time)
            arrived_ids.add(request_id)
        for index, start in enumerate(repeat_times):
            end = start + RETRY_WINDOW_S
            repeat_count = sum(1 for time in repeat_times[index:] if time < end)
            request_count = sum(1 for time in request_times if start - RETRY_WINDOW_S <= time < end)
            if repeat_count > RETRY_RATIO * request_count + RETRY_SLACK:
                self.record_violation("retry budget", "", f"{repeat_count} repeated arrivals in a window with "
                                                          f"{request_count} requests for {service}")
                return
