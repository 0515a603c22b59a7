"""Checks the guarantees against what callers and backend servers observed."""

import itertools
import math

# The platform requires that a withdrawn key stops working within this time.
MAX_REVOCATION_SECONDS = 5.0
# Time after the acknowledgment of its drain in which a backend server may still receive
# requests.
MAX_DRAIN_SECONDS = 2.0
# A node that was harmed less than this long before a request may lose its answer.
UNDISTURBED_SECONDS = 3.0
# Tolerance for timestamps of different processes on a loaded machine.
TIMESTAMP_TOLERANCE_SECONDS = 0.3
# A caller's request may reach a backend server for this long after the caller's node
# has passed on an answer that states that the backend server leaves.
MAX_STATED_DRAIN_SECONDS = 2.0
# From this long after a backend server first stated a limit, in any window of this
# length at most the limit's requests times the factor, plus the slack, reach it.
LIMIT_STABLE_SECONDS = 3.0
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
# A changed limit is known at the latest this long after it was stated.
LIMIT_CHANGE_SECONDS = 0.5
# A request under which this many backend servers have ended is sent to no further one.
MAX_ENDED_SERVERS = 3
# A response with one of these statuses guarantees that the request was not executed.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


class SentRequest:
    """A request that a caller sent, and its response.

    Attributes:
        sent_at: Monotonic time in seconds.
        machine: Number of the machine to whose node it was sent.
        status: HTTP status of the response; 0 if there was none.
        has_expected_body: False if the response lacked the complete body of this
            request.
        has_foreign_headers: Whether the response bore the ID or seal of another one, or
            was malformed.
    """

    __slots__ = (
        "has_expected_body",
        "has_foreign_headers",
        "idempotent",
        "key",
        "machine",
        "request_id",
        "sent_at",
        "status",
    )

    def __init__(
        self,
        request_id: str,
        key: str,
        idempotent: bool,
        sent_at: float,
        machine: int = 0,
    ):
        self.request_id = request_id
        self.key = key
        self.idempotent = idempotent
        self.sent_at = sent_at
        self.machine = machine
        self.status = 0
        self.has_expected_body = True
        self.has_foreign_headers = False


class Execution:
    """One execution of a request, as the backend server reported it.

    Attributes:
        lifetime: Names the start of the instance.
        failed: Whether it is answered with a failure.
    """

    __slots__ = (
        "failed",
        "instance",
        "key_seen",
        "lifetime",
        "request_id",
        "started_at",
        "tenant",
    )

    def __init__(
        self,
        request_id: str,
        instance: str,
        tenant: str,
        key_seen: bool,
        started_at: float,
        lifetime: str = "",
        failed: bool = False,
    ):
        self.request_id = request_id
        self.instance = instance
        self.tenant = tenant
        self.key_seen = key_seen
        self.started_at = started_at
        self.lifetime = lifetime or instance
        self.failed = failed


class SlowRead:
    """A large answer that a caller reads slowly while its node is stopped.

    Attributes:
        begun: Whether a part of the answer arrived.
        complete: Whether all of it arrived.
        ended_at: Monotonic time in seconds of its end.
    """

    __slots__ = ("begun", "complete", "ended_at", "machine", "request_id", "sent_at")

    def __init__(self, request_id: str, machine: int, sent_at: float):
        self.request_id = request_id
        self.machine = machine
        self.sent_at = sent_at
        self.begun = False
        self.complete = False
        self.ended_at = sent_at


class FatalRequest:
    """A request under which backend servers end, sent again and again.

    Args:
        at_once: Number of callers that send it at the same moment first.
        key: API key of the callers.

    Attributes:
        request_ids: IDs of all attempts.
    """

    __slots__ = ("at_once", "key", "request_ids")

    def __init__(self, at_once: int, key: str):
        self.at_once = at_once
        self.key = key
        self.request_ids: list[str] = []


class Record:
    """Everything that callers and backend servers observed in one run."""

    def __init__(self) -> None:
        self.requests: dict[str, SentRequest] = {}
        self.executions: dict[str, list[Execution]] = {}
        self.withdrawn_at: dict[str, float] = {}
        # By lifetime.
        self.drain_acknowledged_at: dict[str, float] = {}
        self.tenants_by_key: dict[str, str] = {}
        # When a machine's node first passed on an answer in which an instance states
        # that it leaves, by machine and lifetime.
        self.leaving_passed_on_at: dict[tuple[int, str], float] = {}
        # When a machine's node was started, stopped, killed, paused or resumed.
        self.node_disturbed_at: dict[int, list[float]] = {}
        # When it was killed, paused or resumed.
        self.node_harmed_at: dict[int, list[float]] = {}
        self.slow_reads: list[SlowRead] = []
        # Times and values of the limits that instances stated; 0 for none. By lifetime:
        # the next one knows nothing of them.
        self.stated_limits: dict[str, list[tuple[float, float]]] = {}
        # By target.
        self.fatal_requests: dict[str, FatalRequest] = {}


def find_violations(record: Record) -> list[str]:
    """Return one sentence for each violated guarantee."""
    violations: list[str] = []
    for request_id, executions in record.executions.items():
        request = record.requests.get(request_id)
        if request is None:
            violations.append(f"{request_id} was executed but never sent")
            continue
        violations += _check_request(record, request, executions)
    violations += [
        f"{request.request_id} got status 200 without its own complete body"
        for request in record.requests.values()
        if request.status == 200 and not request.has_expected_body
    ]
    violations += [
        f"{request.request_id} got an answer that is malformed or another's"
        for request in record.requests.values()
        if request.has_foreign_headers
    ]
    violations += [
        f"{read.request_id}: the answer ended early as machine {read.machine} stopped"
        for read in record.slow_reads
        if read.begun and not read.complete and not _was_harmed(record, read)
    ]
    for lifetime, changes in record.stated_limits.items():
        violations += _check_limit(record, lifetime, changes)
    for target, fatal_request in record.fatal_requests.items():
        violations += _check_fatal_request(record, target, fatal_request)
    return violations


def _was_harmed(record: Record, read: SlowRead) -> bool:
    """Return whether anything but a planned stop may have ended a slow read."""
    return any(
        read.sent_at - UNDISTURBED_SECONDS < at < read.ended_at
        for at in record.node_harmed_at.get(read.machine, [])
    )


def _check_fatal_request(
    record: Record, target: str, fatal_request: FatalRequest
) -> list[str]:
    """Return a violation if too many backend servers ended under one request.

    Those that end at the same moment may have another cause: one more trial decides.
    """
    ended_instances = {
        execution.instance
        for request_id in fatal_request.request_ids
        for execution in record.executions.get(request_id, ())
    }
    at_once = fatal_request.at_once
    allowed = MAX_ENDED_SERVERS if at_once < MAX_ENDED_SERVERS else at_once + 1
    if len(ended_instances) <= allowed:
        return []
    return [f"{target} ended {len(ended_instances)} backend servers; allowed {allowed}"]


def _check_limit(
    record: Record, lifetime: str, changes: list[tuple[float, float]]
) -> list[str]:
    """Return a violation if a window has more requests than the stated limit allows."""
    stable_from = changes[0][0] + LIMIT_STABLE_SECONDS
    starts = sorted(
        execution.started_at
        for executions in record.executions.values()
        for execution in executions
        if execution.lifetime == lifetime and execution.started_at >= stable_from
    )
    for start in starts:
        allowed = _count_allowed(changes, start)
        count = sum(start <= at < start + LIMIT_WINDOW_SECONDS for at in starts)
        if count > allowed:
            return [
                f"{lifetime} got {count} requests in {LIMIT_WINDOW_SECONDS:g} s from "
                f"{start - changes[0][0]:.1f} s after it first stated a limit; allowed "
                f"{allowed:.0f}"
            ]
    return []


def _count_allowed(changes: list[tuple[float, float]], start: float) -> float:
    """Return how many requests the stated limits allow in a window; may be infinite."""
    end = start + LIMIT_WINDOW_SECONDS
    edges = {start, end}
    for at, _ in changes:
        edges |= {at, at + LIMIT_CHANGE_SECONDS}
    edges_within = sorted(edge for edge in edges if start <= edge <= end)
    requests = sum(
        (until - since) * _get_highest_limit(changes, since)
        for since, until in itertools.pairwise(edges_within)
    )
    return LIMIT_FACTOR * requests + LIMIT_SLACK


def _get_highest_limit(changes: list[tuple[float, float]], at: float) -> float:
    """Return the highest limit that may be known at a time; infinite for none."""
    known = [
        limit
        for (since, limit), (until, _) in zip(
            changes, [*changes[1:], (math.inf, 0.0)], strict=True
        )
        if since <= at < until + LIMIT_CHANGE_SECONDS
    ]
    return max(limit or math.inf for limit in known)


def _was_stated_drain_ignored(
    record: Record, request: SentRequest, execution: Execution
) -> bool:
    """Return whether a node sent a request on that it should not have.

    A restart or pause of the node since it passed on the statement excuses it.
    """
    passed_on_at = record.leaving_passed_on_at.get(
        (request.machine, execution.lifetime)
    )
    if passed_on_at is None or any(
        at > passed_on_at for at in record.node_disturbed_at.get(request.machine, [])
    ):
        return False
    return request.sent_at > passed_on_at + MAX_STATED_DRAIN_SECONDS


def _check_request(
    record: Record, request: SentRequest, executions: list[Execution]
) -> list[str]:
    violations = []
    if len(executions) > 1 and not request.idempotent:
        violations.append(
            f"{request.request_id} is not idempotent and was executed "
            f"{len(executions)} times"
        )
    if request.status in NOT_EXECUTED_STATUSES:
        violations.append(
            f"{request.request_id} got status {request.status} but was executed"
        )
    if request.status == 200 and all(execution.failed for execution in executions):
        violations.append(f"{request.request_id} got status 200 but failed")
    withdrawn_at = record.withdrawn_at.get(request.key)
    if (
        withdrawn_at is not None
        and request.sent_at > withdrawn_at + MAX_REVOCATION_SECONDS
    ):
        violations.append(
            f"{request.request_id} was executed but sent "
            f"{request.sent_at - withdrawn_at:.1f} s after its key was withdrawn"
        )
    for execution in executions:
        if execution.key_seen:
            violations.append(
                f"{request.request_id} exposed its API key to {execution.instance}"
            )
        if execution.tenant != record.tenants_by_key[request.key]:
            violations.append(
                f"{request.request_id} was executed for tenant {execution.tenant!r}"
            )
        if _was_stated_drain_ignored(record, request, execution):
            violations.append(
                f"{request.request_id} reached {execution.instance} after machine "
                f"{request.machine} had passed on that it leaves"
            )
        drained_at = record.drain_acknowledged_at.get(execution.lifetime)
        if (
            drained_at is not None
            and execution.started_at
            > drained_at + MAX_DRAIN_SECONDS + TIMESTAMP_TOLERANCE_SECONDS
        ):
            delay = execution.started_at - drained_at
            violations.append(
                f"{request.request_id} reached {execution.instance} "
                f"{delay:.1f} s after its drain was acknowledged"
            )
    return violations
