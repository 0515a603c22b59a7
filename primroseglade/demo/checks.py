"""Checks the guarantees against what callers and backend servers recorded."""

import collections
from collections.abc import Callable

from ..stand_ins.backend import ReceivedRequest
from ..verdicts import Verdict
from .deployments import Deployment, get_key
from .records import CallRecord

# Maximum time from the accepted edit until the withdrawn key is refused everywhere.
WITHDRAWAL_DEADLINE_SECONDS = 3.0
# Maximum time from the drain request until the backend server gets no new requests.
DRAIN_DEADLINE_SECONDS = 3.0
# A service that callers use, and the one that it calls.
MAX_CALL_CHAIN_LENGTH = 2
# The critical class's served ratio may by chance be lower than another's by this much.
SERVED_RATIO_TOLERANCE = 0.02


class Evidence:
    """Everything that was recorded outside the nodes.

    Times are those of ``time.monotonic``.

    Args:
        deployment: Deployment that ran.
        calls: Root calls as callers saw them.
        seen: Requests that each backend server started to process, by its address.
        rates: Rate limit in calls per second, and burst, by workspace.
        retry_tokens: Maximum number of retries per root call.

    Attributes:
        withdrawn: Workspace and number of the withdrawn key, and when it was withdrawn.
        drained: Address of the drained backend server, and when the drain began.
        stop: Start and end of the graceful stop.
        overload: Start and end of the overload.
    """

    def __init__(
        self,
        deployment: Deployment,
        calls: list[CallRecord],
        seen: dict[str, list[ReceivedRequest]],
        rates: dict[str, tuple[float, float]],
        retry_tokens: int,
    ):
        self.deployment = deployment
        self.calls = calls
        self.seen = seen
        self.rates = rates
        self.retry_tokens = retry_tokens
        self.withdrawn: tuple[str, int, float] | None = None
        self.drained: tuple[str, float] | None = None
        self.stop: tuple[float, float] | None = None
        self.overload: tuple[float, float] | None = None

    @property
    def all_seen(self) -> list[ReceivedRequest]:
        """Requests started by all backend servers."""
        return [item for items in self.seen.values() for item in items]


class Finding:
    """Result of the check of a guarantee: cases checked and violations found."""

    __slots__ = ("checked", "guarantee", "violations")

    def __init__(self, guarantee: str, checked: int, violations: int):
        self.guarantee = guarantee
        self.checked = checked
        self.violations = violations

    @property
    def passed(self) -> bool:
        """Whether there were no violations."""
        return not self.violations


Check = Callable[[Evidence], tuple[int, int]]
_checks: dict[str, Check] = {}


def guarantee(text: str) -> Callable[[Check], Check]:
    """Return a decorator that registers the check of a guarantee.

    A check returns the number of cases checked and the number of violations.

    Args:
        text: The guarantee in words, as the report prints it.
    """

    def register(check: Check) -> Check:
        _checks[text] = check
        return check

    return register


def check_guarantees(evidence: Evidence) -> list[Finding]:
    """Run all registered checks and return their findings."""
    return [Finding(text, *check(evidence)) for text, check in _checks.items()]


@guarantee("A request is retried a bounded number of times across the whole chain")
def _check_retries(evidence: Evidence) -> tuple[int, int]:
    execution_counts = collections.Counter(
        item.headers.get("traceparent", "")[3:35] for item in evidence.all_seen
    )
    max_executions = MAX_CALL_CHAIN_LENGTH * (1 + evidence.retry_tokens)
    return len(execution_counts), sum(
        count > max_executions for count in execution_counts.values()
    )


@guarantee("Under overload the critical class is shed last")
def _check_shedding_order(evidence: Evidence) -> tuple[int, int]:
    if evidence.overload is None:
        return 0, 0
    start, end = evidence.overload
    served_flags: dict[str, list[bool]] = collections.defaultdict(list)
    for call in evidence.calls:
        # A call over the rate limit is refused, but that is not load shedding.
        if start <= call.sent_at < end and call.outcome != "rate-exceeded":
            served_flags[call.service].append(call.fully_served)
    served_ratios = {
        name: sum(items) / len(items) for name, items in served_flags.items()
    }
    critical = evidence.deployment.critical_service
    deep = evidence.deployment.deep_service
    critical_ratio = served_ratios.pop(critical, 1.0)
    # Only the slowed service sheds load: calls of services that do not use it are
    # served, so that their ratios say nothing about the order.
    return len(served_flags.get(critical, ())), int(
        critical_ratio + SERVED_RATIO_TOLERANCE < served_ratios.get(deep, 0.0)
    )


@guarantee("A request runs only for the workspace whose key it carried")
def _check_workspace_isolation(evidence: Evidence) -> tuple[int, int]:
    owners = {call.id: call.workspace for call in evidence.calls}
    violations = checked = 0
    for item in evidence.all_seen:
        owner = owners.get(item.headers.get("x-echo", ""))
        if owner is not None:
            checked += 1
            violations += item.workspace != owner
    return checked, violations


@guarantee("No backend server ever sees a key")
def _check_key_exposure(evidence: Evidence) -> tuple[int, int]:
    names = evidence.deployment.workspaces
    keys = [get_key(name, number) for name in names for number in (1, 2)]
    violations = 0
    for item in evidence.all_seen:
        text = " ".join(item.headers.values())
        violations += (
            any(key in text for key in keys) or "authorization" in item.headers
        )
    return len(evidence.all_seen), violations


@guarantee("A withdrawn key stops working within seconds")
def _check_withdrawal(evidence: Evidence) -> tuple[int, int]:
    if evidence.withdrawn is None:
        return 0, 0
    workspace, key_number, withdrawn_at = evidence.withdrawn
    ids = {
        call.id
        for call in evidence.calls
        if call.workspace == workspace and call.key_number == key_number
    }
    late = [
        item
        for item in evidence.all_seen
        if item.headers.get("x-echo", "") in ids
        and item.received_at > withdrawn_at + WITHDRAWAL_DEADLINE_SECONDS
    ]
    checked = sum(
        call.id in ids and call.sent_at > withdrawn_at + WITHDRAWAL_DEADLINE_SECONDS
        for call in evidence.calls
    )
    return checked, len(late)


@guarantee("No workspace gets more than its rate and burst over all instances")
def _check_rates(evidence: Evidence) -> tuple[int, int]:
    violations = 0
    for workspace, (rate, burst) in evidence.rates.items():
        # A call takes its token between its start and its end: calls that lie wholly
        # within a window have all taken their tokens within the window.
        intervals = sorted(
            (call.sent_at, call.ended_at)
            for call in evidence.calls
            if call.workspace == workspace and call.outcome == "served"
        )
        ends = sorted(end for _, end in intervals)
        violations += any(
            _count_inside(intervals, start, end) > burst + rate * (end - start) + 1
            for start, _ in intervals[::3]
            for end in ends[::3]
            if end > start
        )
    return len(evidence.rates), violations


def _count_inside(
    intervals: list[tuple[float, float]], start: float, end: float
) -> int:
    return sum(start <= sent_at and ended_at <= end for sent_at, ended_at in intervals)


@guarantee("Every caller receives the whole answer to its own request")
def _check_complete_responses(evidence: Evidence) -> tuple[int, int]:
    served = [call for call in evidence.calls if call.outcome == "served"]
    return len(served), sum(not call.is_complete for call in served)


@guarantee('When a refusal says "not run", the request did not run')
def _check_not_run(evidence: Evidence) -> tuple[int, int]:
    started = {
        item.headers.get("x-echo", "")
        for item in evidence.all_seen
        if item.headers.get("x-echo")
    }
    refused = [call for call in evidence.calls if call.verdict is Verdict.NOT_RUN]
    return len(refused), sum(call.id in started for call in refused)


@guarantee("A non-idempotent request runs at most once")
def _check_at_most_once(evidence: Evidence) -> tuple[int, int]:
    posts = {call.id for call in evidence.calls if call.method == "POST"}
    execution_counts = collections.Counter(
        item.operation_id for item in evidence.all_seen if item.operation_id in posts
    )
    return len(execution_counts), sum(count > 1 for count in execution_counts.values())


@guarantee("A leaving backend server receives no new work after a few seconds")
def _check_drain(evidence: Evidence) -> tuple[int, int]:
    if evidence.drained is None:
        return 0, 0
    address, drain_started_at = evidence.drained
    late = [
        request
        for request in evidence.seen[address]
        if request.received_at > drain_started_at + DRAIN_DEADLINE_SECONDS
    ]
    return len(evidence.seen[address]), len(late)


@guarantee("A planned stop cuts off no request")
def _check_planned_stop(evidence: Evidence) -> tuple[int, int]:
    if evidence.stop is None:
        return 0, 0
    start, end = evidence.stop
    overlapping = [
        call for call in evidence.calls if call.sent_at < end and call.ended_at > start
    ]
    lost_outcomes = ("connection-lost", "answer-broken")
    return len(overlapping), sum(call.outcome in lost_outcomes for call in overlapping)


@guarantee("An accepted configuration never reverts")
def _check_no_revert(evidence: Evidence) -> tuple[int, int]:
    if evidence.withdrawn is None:
        return 0, 0
    workspace, key_number, withdrawn_at = evidence.withdrawn
    # An instance that has refused the withdrawn key must not accept it again. Callers
    # do not see which instance refused it: after the deadline none may accept it.
    later = [
        call
        for call in evidence.calls
        if call.workspace == workspace
        and call.key_number == key_number
        and call.sent_at > withdrawn_at + WITHDRAWAL_DEADLINE_SECONDS
    ]
    return len(later), sum(call.outcome == "served" for call in later)
