"""The promises, checked by what callers and backend servers saw."""

# Of the platform's pages: a withdrawn key stops working within this many seconds.
MAX_REVOCATION_SECONDS = 5.0
# A backend server whose leaving was acknowledged gets nothing after so many.
MAX_DRAIN_SECONDS = 2.0
# What a loaded machine may add to the moments that different processes note.
TIMESTAMP_TOLERANCE_SECONDS = 0.3
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


class SentRequest:
    """One request of a caller, and what became of it.

    Attributes:
        at: When it was sent, on the machine's steady clock.
        status: Of the answer; 0 for none.
        whole: Whether a success had the whole body of this request.
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
    """One run at a backend server, as it told."""

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
    """All that was seen in a run of the soak."""

    def __init__(self) -> None:
        self.requests: dict[str, SentRequest] = {}
        self.executions: dict[str, list[Execution]] = {}
        self.withdrawn_at: dict[str, float] = {}
        self.drain_acknowledged_at: dict[str, float] = {}
        self.tenants_by_key: dict[str, str] = {}


def find_violations(record: Record) -> list[str]:
    """Return each broken promise as one sentence."""
    violations: list[str] = []
    for request_id, executions in record.executions.items():
        request = record.requests.get(request_id)
        if request is None:
            violations.append(f"{request_id} ran and was never sent")
            continue
        violations += _check_request(record, request, executions)
    violations += [
        f"{request.request_id} got a success with a body that is not its own"
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
            f"{request.request_id} may run once and ran {len(executions)} times"
        )
    if request.status in NOT_EXECUTED_STATUSES:
        violations.append(f"{request.request_id} was answered {request.status} and ran")
    withdrawn_at = record.withdrawn_at.get(request.key)
    if (
        withdrawn_at is not None
        and request.sent_at > withdrawn_at + MAX_REVOCATION_SECONDS
    ):
        violations.append(
            f"{request.request_id} ran {request.sent_at - withdrawn_at:.1f} s "
            "after its key"
        )
    for execution in executions:
        if execution.key_seen:
            violations.append(
                f"{request.request_id} showed its key to {execution.instance}"
            )
        if execution.tenant != record.tenants_by_key[request.key]:
            violations.append(f"{request.request_id} ran for {execution.tenant!r}")
        drained_at = record.drain_acknowledged_at.get(execution.instance)
        if (
            drained_at is not None
            and execution.started_at
            > drained_at + MAX_DRAIN_SECONDS + TIMESTAMP_TOLERANCE_SECONDS
        ):
            delay = execution.started_at - drained_at
            violations.append(
                f"{request.request_id} reached {execution.instance} {delay:.1f} s late"
            )
    return violations
