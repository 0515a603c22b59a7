"""Finds out from log lines why a request ended as it did."""

from collections.abc import Callable

from .events import (
    ADMISSION_LEVELS,
    BACKEND_COLD,
    BACKEND_ENDED,
    BACKEND_LIMIT,
    CALL_ANSWERED,
    CALL_REFUSED,
    CALLS_WAITED,
    EVACUATION_ENDED,
    EVACUATION_STARTED,
    EVENT_CATALOG,
    PEER_LOST,
    POLICY_IN_FORCE,
)
from .log_lines import LogLine

# Admission levels are logged once a second during an overload; two seconds allow for a
# late line.
CONTEXT_WINDOW_SECONDS = 2.0
# Clocks of instances differ, and a warm-up is logged at its start only.
WARM_UP_WINDOW_SECONDS = 10.0
# How the details of refusals by the queue of a backend server begin.
QUEUE_DETAILS = ("queue is full", "cannot meet its deadline", "no slot in time")

Cause = tuple[list[LogLine], str]
CauseFinder = Callable[[LogLine, list[LogLine], list[LogLine]], Cause]

_cause_finders: dict[tuple[int, str], CauseFinder] = {}


def find_cause(last: LogLine, nearby: list[LogLine], lines: list[LogLine]) -> Cause:
    """Return the lines that show the cause of an outcome, and the cause in words.

    Args:
        last: The line of the outcome.
        nearby: Other lines of its node at about that time.
        lines: The lines of all nodes.
    """
    finder = _cause_finders.get((last.number, str(last.get("reason"))))
    finder = finder or _cause_finders.get((last.number, ""), _explain_other)
    return finder(last, nearby, lines)


def _finds_cause_of(number: int, *reasons: str) -> Callable[[CauseFinder], CauseFinder]:
    """Register a function that finds an event's cause; no reasons means any reason."""

    def register(find_cause: CauseFinder) -> CauseFinder:
        for reason in reasons or ("",):
            _cause_finders[number, reason] = find_cause
        return find_cause

    return register


@_finds_cause_of(CALL_REFUSED.number, "overloaded")
def _explain_overload(
    last: LogLine, nearby: list[LogLine], lines: list[LogLine]
) -> Cause:
    if str(last.get("detail")).startswith(QUEUE_DETAILS):
        return _explain_queue(last, lines)
    level_lines = [line for line in nearby if line.number == ADMISSION_LEVELS.number]
    if not level_lines:
        return [], f"The request was refused as overloaded: {last.get('detail')}."
    nearest = min(level_lines, key=lambda line: abs(line.time - last.time))
    levels = nearest.get("levels", {})
    calls_per_slot = nearest.get("pressure", {})
    # A request is admitted by the lowest level among the services that it calls; the
    # line does not name these, so this assumes the lowest of all.
    service = min(levels, key=levels.__getitem__, default="")
    text = (
        f"The request was refused at its entry: service {service} had "
        f"{calls_per_slot.get(service, '?')} calls per slot, and a fraction of "
        f"{levels.get(service, '?')} of the demand for it was admitted."
    )
    return [nearest], text


def _explain_queue(last: LogLine, lines: list[LogLine]) -> Cause:
    """Explain a refusal by the queue of a backend server."""
    waiting_lines = [
        line
        for line in lines
        if line.number == CALLS_WAITED.number
        and abs(line.time - last.time) <= CONTEXT_WINDOW_SECONDS
    ]
    text = (
        "The request was admitted, and refused by the queue of a backend server: "
        f"{last.get('detail')}"
    )
    if waiting_lines:
        instances = ", ".join(sorted({line.instance for line in waiting_lines}))
        text += f". Calls waited at about that time beside {instances}"
    return waiting_lines, f"{text}. The request did not run."


@_finds_cause_of(CALL_REFUSED.number, "backend-cold")
def _explain_cold(last: LogLine, nearby: list[LogLine], lines: list[LogLine]) -> Cause:
    cold_lines = [
        line
        for line in lines
        if line.number == BACKEND_COLD.number
        and abs(line.time - last.time) <= WARM_UP_WINDOW_SECONDS
    ]
    text = (
        "Backend servers that the request needs were cold, so that few calls could "
        f"start there: {last.get('detail')}"
    )
    if cold_lines:
        instances = ", ".join(sorted({line.instance for line in cold_lines}))
        text += f". Cold at about that time: those beside {instances}"
    return cold_lines, f"{text}. The request did not run."


@_finds_cause_of(CALL_REFUSED.number, "backend-limited")
def _explain_limit(last: LogLine, nearby: list[LogLine], lines: list[LogLine]) -> Cause:
    limit_lines = [
        line
        for line in lines
        if line.number == BACKEND_LIMIT.number
        and abs(line.time - last.time) <= CONTEXT_WINDOW_SECONDS
        and line.get("calls_per_second")
    ]
    text = (
        "Backend servers that the request needs limited the requests that they take: "
        f"{last.get('detail')}"
    )
    if limit_lines:
        limits = {
            line.instance: f"{line.get('calls_per_second'):g} a second beside "
            f"{line.instance}"
            for line in limit_lines
        }
        text += f". Stated at about that time: {', '.join(sorted(limits.values()))}"
    return limit_lines[-1:], f"{text}. The request did not run."


@_finds_cause_of(CALL_REFUSED.number, "request-blocked", "request-suspect")
def _explain_block(last: LogLine, nearby: list[LogLine], lines: list[LogLine]) -> Cause:
    detail = str(last.get("detail"))
    ended_lines = [
        line
        for line in lines
        if line.number == BACKEND_ENDED.number and str(line.get("suspect")) in detail
    ]
    outcome = "may have run" if last.get("verdict") != "not run" else "did not run"
    text = f"The request was refused because of its content: {detail}"
    if ended_lines:
        text += f"; {_describe_ends(ended_lines)}"
    return ended_lines, f"{text}. The request {outcome}."


def _describe_ends(ended_lines: list[LogLine]) -> str:
    """Return under which requests backend servers ended, and beside which nodes."""
    ends = [
        f"the one beside {line.instance} under {line.get('request')}"
        for line in sorted(ended_lines, key=lambda line: line.time)
    ]
    return f"backend servers ended: {', '.join(ends)}"


@_finds_cause_of(CALL_REFUSED.number, "zone-evacuated", "no-backend-server")
def _explain_evacuation(
    last: LogLine, nearby: list[LogLine], lines: list[LogLine]
) -> Cause:
    started_lines: dict[str, LogLine] = {}
    for line in lines:
        if line.instance != last.instance or line.time > last.time:
            continue
        zone = str(line.get("zone"))
        if line.number == EVACUATION_STARTED.number:
            started_lines[zone] = line
        elif line.number == EVACUATION_ENDED.number:
            started_lines.pop(zone, None)
    text = f"No backend server was left for the request: {last.get('detail')}"
    if started_lines:
        zones = ", ".join(sorted(started_lines))
        text += f"; operators had evacuated {zones}"
    return list(started_lines.values()), f"{text}. The request did not run."


@_finds_cause_of(CALL_REFUSED.number, "region-unavailable")
def _explain_region(
    last: LogLine, nearby: list[LogLine], lines: list[LogLine]
) -> Cause:
    version = last.get("policy", 0)
    text = f"Version {version} of the configuration restricts where the request may run"
    return _find_policy_start(last, version, lines), f"{text}: {last.get('detail')}."


@_finds_cause_of(CALL_REFUSED.number, "rate-exceeded")
def _explain_rate(last: LogLine, nearby: list[LogLine], lines: list[LogLine]) -> Cause:
    version = last.get("policy", 0)
    policy_lines = _find_policy_start(last, version, lines)
    version_text = (
        f" since version {version}" if policy_lines else f" under version {version}"
    )
    if policy_lines:
        version_text += f", in force there for {last.time - policy_lines[0].time:.1f} s"
    return (
        policy_lines,
        f"The workspace was over its rate{version_text}: {last.get('detail')}.",
    )


@_finds_cause_of(CALL_REFUSED.number, "key-unknown", "service-unknown", "key-missing")
def _explain_unknown(
    last: LogLine, nearby: list[LogLine], lines: list[LogLine]
) -> Cause:
    version = last.get("policy", 0)
    text = f"Version {version} of the configuration does not allow the request"
    policy_lines = _find_policy_start(last, version, lines)
    return policy_lines, f"{text}: {last.get('detail')}."


@_finds_cause_of(CALL_REFUSED.number, "configuration-stale", "configuration-missing")
def _explain_stale(last: LogLine, nearby: list[LogLine], lines: list[LogLine]) -> Cause:
    return [], (
        f"The node could not verify the request's key: {last.get('detail')}. "
        "Neither the platform's store nor another node confirmed its configuration."
    )


@_finds_cause_of(
    CALL_REFUSED.number, "connection-lost", "deadline-exceeded", "answer-broken"
)
def _explain_loss(last: LogLine, nearby: list[LogLine], lines: list[LogLine]) -> Cause:
    ended_lines = [
        line
        for line in lines
        if line.number == BACKEND_ENDED.number
        and line.get("request") == last.get("request")
    ]
    lost_lines = [line for line in nearby if line.number == PEER_LOST.number]
    peers = ", ".join(sorted({str(line.get("peer")) for line in lost_lines}))
    text = f"No complete answer arrived: {last.get('detail')}"
    if ended_lines:
        text += f"; {_describe_ends(ended_lines)}"
    if peers:
        text += f"; streams to {peers} were lost at that time"
    outcome = "may have run" if last.get("verdict") != "not run" else "did not run"
    return lost_lines, f"{text}. The request {outcome}."


@_finds_cause_of(CALL_ANSWERED.number)
def _explain_backend_error(
    last: LogLine, nearby: list[LogLine], lines: list[LogLine]
) -> Cause:
    text = (
        f"The backend server beside {last.get('node')} answered "
        f"{last.get('status')}, and that was returned to the caller after "
        f"{last.get('seconds')} s"
    )
    failed_calls = _find_failed_calls(str(last.get("request")), lines)
    if failed_calls:
        first = failed_calls[0]
        text += (
            f". Of the calls made for it, {len(failed_calls)} failed; the first, "
            f"{first.get('request')}, at {first.instance}: "
            f"{first.get('reason') or first.get('status')} {first.get('detail')}"
        )
    return failed_calls, f"{text.rstrip()}."


def _find_failed_calls(request_id: str, lines: list[LogLine]) -> list[LogLine]:
    """Return the outcomes of failed calls that backend servers made for a request.

    The ID of such a call begins with that of the request and a dot. The call that
    failed itself comes before those that failed because of it: its ID is longer.
    """
    failed = [
        line
        for line in lines
        if line.number in (CALL_REFUSED.number, CALL_ANSWERED.number)
        and str(line.get("request")).startswith(f"{request_id}.")
    ]
    return sorted(failed, key=lambda line: (-len(str(line.get("request"))), line.time))


def _explain_other(last: LogLine, nearby: list[LogLine], lines: list[LogLine]) -> Cause:
    event = EVENT_CATALOG.get(last.number)
    meaning = event.meaning if event is not None else "Unknown event."
    detail = last.get("detail") or last.get("error") or last.get("reason")
    return [], f"{meaning} {detail}".strip()


def _find_policy_start(
    last: LogLine, version: int, lines: list[LogLine]
) -> list[LogLine]:
    """Return the line that reports this version in force at the node of ``last``.

    The list is empty if there is no such line.
    """
    return [
        line
        for line in lines
        if line.number == POLICY_IN_FORCE.number
        and line.instance == last.instance
        and line.get("version") == version
        and line.time <= last.time
    ][-1:]
