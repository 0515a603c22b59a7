"""Checks the guarantees against what callers and backend servers observed."""

# The platform requires that a withdrawn key stops working within this time.
MAX_REVOCATION_SECONDS = 5.0
# Time after the acknowledgment of its drain in which a backend server may still receive
# requests.
MAX_DRAIN_SECONDS = 2.0
# Tolerance for timestamps of different processes on a loaded machine.
TIMESTAMP_TOLERANCE_SECONDS = 0.3
# A response with one of these statuses guarantees that the request was not executed.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


class SentRequest:
    """A request that a caller sent, and its response.

    Attributes:
        sent_at: Monotonic time in seconds.
        status: HTTP status of the response; 0 if there was none.
        has_expected_body: False if the response lacked the complete body of this
            request.
    """

    __slots__ = (
        "has_expected_body",
        "idempotent",
        "key",
        "request_id",
        "sent_at",
        "status",
    )

    def __init__(self, request_id: str, key: str, idempotent: bool, sent_at: float):
        self.request_id = request_id
        self.key = key
        self.idempotent = idempotent
        self.sent_at = sent_at
        self.status = 0
        self.has_expected_body = True


class Execution:
    """One execution of a request, as the backend server reported it."""

    __slots__ = ("instance", "key_seen", "request_id", "started_at", "tenant")

    def __init__(
        self,
        request_id: str,
        instance: str,
        tenant: str,
        key_seen: bool,
        started_at: float,
    ):
        self.request_id = request_id
        self.instance = instance
        self.tenant = tenant
        self.key_seen = key_seen
        self.started_at = started_at


class Record:
    """Everything that callers and backend servers observed in one run."""

    def __init__(self) -> None:
        self.requests: dict[str, SentRequest] = {}
        self.executions: dict[str, list[Execution]] = {}
        self.withdrawn_at: dict[str, float] = {}
        self.drain_acknowledged_at: dict[str, float] = {}
        self.tenants_by_key: dict[str, str] = {}


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
    return violations


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
        drained_at = record.drain_acknowledged_at.get(execution.instance)
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
