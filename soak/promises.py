"""What the fleet promises, checked from what callers, servers and the operator see.

Each check that fails is kept as a Violation with the time, the request's id and the evidence. Checks that allow for
faults ask Disturbances whether the span in question was calm."""
import collections
import dataclasses
import hashlib

# A request that was refused with one of these has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# After a disturbance the fleet needs this long to know of its end.
SETTLE_S = 3.0
# A server's departure and a configuration reach all nodes within this.
APPLY_S = 2.5
DRAIN_S = 2.5
GONE_S = 0.5
# Small, so that the faults of a run would exceed it without the budget.
RETRY_RATIO = 0.01
RETRY_SLACK = 5
RETRY_WINDOW_S = 10.0


def answer_body(attempt_id, size):
    """The bytes that a server answers to this attempt; callers compute the same."""
    seed = hashlib.sha256(attempt_id.encode()).hexdigest().encode()
    return (seed * (size // len(seed) + 1))[:size]


def proof_of(attempt_id, body):
    return hashlib.sha256(attempt_id.encode() + body).hexdigest()[:16]


@dataclasses.dataclass
class Violation:
    promise: str
    at: float
    request: str
    evidence: str


@dataclasses.dataclass
class Attempt:
    """One request of a caller and what became of it."""

    id: str
    node: int
    service: str
    is_idempotent: bool
    began: float
    ended: float = 0.0
    # None where the connection ended without an answer.
    status: int | None = None
    was_left: bool = False
    was_kept_connection: bool = False
    # Set where a whole request was sent and the connection ended without an answer.
    was_cut: bool = False


@dataclasses.dataclass
class Run:
    """One start of a request at a server."""

    attempt: str
    server: str
    service: str
    began: float
    ended: float | None = None


class Disturbances:
    """Spans in which faults were in force, those of planned work apart."""

    def __init__(self):
        self._spans = []

    def add_open(self, span):
        """A list of begin and end that its owner closes by setting the end."""
        self._spans.append(span)

    def is_calm(self, began, ended):
        return all(ended < start or began > end + SETTLE_S for start, end in self._spans)


class Promises:
    def __init__(self, clock):
        self.clock = clock
        self.disturbances = Disturbances()
        self.violations = []
        self.attempts = {}
        self.runs = collections.defaultdict(list)
        self.arrivals = collections.defaultdict(list)
        self.counts = collections.Counter()
        self._versions = {}
        # Per server id: from when on it must get nothing new.
        self.leaves_after = {}

    def violate(self, promise, request, evidence):
        self.violations.append(Violation(promise, self.clock(), request, evidence))

    # From callers.
    def note_sent(self, attempt):
        self.attempts[attempt.id] = attempt

    def note_answer(self, attempt, echoed_id, proof, body):
        self.counts[f"status {attempt.status}"] += 1
        if echoed_id is not None and echoed_id != attempt.id:
            self.violate("own answer", attempt.id, f"the answer belongs to {echoed_id}")
        if 200 <= attempt.status < 300 and proof != proof_of(attempt.id, body):
            self.violate("whole answer", attempt.id, f"{len(body)} bytes that do not match the proof")

    def note_broken_answer(self, attempt, reason):
        self.violate("whole answer", attempt.id, reason)

    def note_cut(self, attempt):
        """A whole request was sent and the connection ended without an answer."""
        self.counts["cut"] += 1
        attempt.was_cut = True

    # From servers.
    def note_run(self, run, is_idempotent):
        runs = self.runs[run.attempt]
        runs.append(run)
        attempt = self.attempts.get(run.attempt)
        if attempt is None:
            self.violate("only what callers sent", run.attempt, f"ran at {run.server}")
            return
        if run.service != attempt.service:
            self.violate("route", run.attempt, f"meant for {attempt.service}, ran at {run.service}")
        if len(runs) > 1 and not is_idempotent:
            self.violate("at most once", run.attempt, f"runs {[(each.server, each.began) for each in runs]}")
        leaves = self.leaves_after.get(run.server)
        if leaves is not None and run.began > leaves + DRAIN_S and self.disturbances.is_calm(leaves, run.began):
            self.violate("drain", run.attempt, f"{run.began - leaves:.1f} s after {run.server} announced its leaving")

    def note_arrival(self, service, attempt_id):
        self.arrivals[service].append((self.clock(), attempt_id))

    # From the operator.
    def note_version(self, node, process, version):
        last = self._versions.get((node, process), 0)
        if version < last:
            self.violate("no older configuration", "", f"node {node} went from version {last} to {version}")
        self._versions[(node, process)] = max(last, version)

    def version_of(self, node, process):
        return self._versions.get((node, process), 0)

    # At the end, when nothing runs any more.
    def check_ledgers(self):
        for attempt in self.attempts.values():
            self._check_attempt(attempt)
        self._check_gone_callers()
        for service in self.arrivals:
            self._check_budget(service)

    def _check_attempt(self, attempt):
        runs = self.runs.get(attempt.id, [])
        if attempt.status in NOT_RUN_STATUSES and runs and not attempt.is_idempotent:
            self.violate("true refusal", attempt.id, f"{attempt.status}, but ran at {runs[0].server}")
        if attempt.was_cut and self.disturbances.is_calm(attempt.began, attempt.ended):
            self.violate("planned stop", attempt.id, f"cut at node {attempt.node} after "
                                                     f"{attempt.ended - attempt.began:.3f} s without any fault")

    def _check_gone_callers(self):
        lasting, still_running = 0, 0
        for attempt in self.attempts.values():
            if not (attempt.was_left and attempt.is_idempotent):
                continue
            for run in self.runs.get(attempt.id, []):
                is_calm = self.disturbances.is_calm(attempt.ended, attempt.ended + GONE_S)
                if run.began > attempt.ended + GONE_S and is_calm:
                    self.violate("gone callers", attempt.id, "began after its caller had left")
                if run.ended is not None and is_calm and run.began < attempt.ended < run.ended:
                    lasting += 1
                    still_running += run.ended > attempt.ended + GONE_S
        if still_running > max(2, lasting / 10):
            self.violate("gone callers", "", f"{still_running} of {lasting} runs went on")

    def _check_budget(self, service):
        """In each window: arrivals beyond the first of each request against requests for the service."""
        requests = sorted(each.began for each in self.attempts.values() if each.service == service)
        seen, repeats = set(), []
        for at, attempt_id in sorted(self.arrivals[service]):
            if attempt_id in seen:
                repeats.append(at)
            seen.add(attempt_id)
        for index, at in enumerate(repeats):
            inside = sum(1 for other in repeats[index:] if other < at + RETRY_WINDOW_S)
            sent = sum(1 for began in requests if at - RETRY_WINDOW_S <= began < at + RETRY_WINDOW_S)
            if inside > RETRY_RATIO * sent + RETRY_SLACK:
                self.violate("retry budget", "", f"{inside} repeats in a window with {sent} requests for {service}")
                return
