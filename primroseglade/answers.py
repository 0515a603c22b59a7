"""Refusals on the wire: problem details (RFC 9457) and headers."""

import json
import math

from .verdicts import Reason, Refusal, Verdict

VERDICT_HEADER = b"primroseglade-verdict"
REASON_HEADER = b"primroseglade-reason"
INSTANCE_HEADER = b"primroseglade-instance"
RETRY_AFTER_MS_HEADER = b"primroseglade-retry-after-ms"
PROBLEM_CONTENT_TYPE = b"application/problem+json"

Headers = list[tuple[bytes, bytes]]


def render_refusal(refusal: Refusal, instance: str = "") -> tuple[int, Headers, bytes]:
    """Return status, headers and body that tell a caller of a refusal.

    Args:
        refusal: The refusal.
        instance: The instance that decided, unless the refusal names one.
    """
    reason = refusal.reason
    instance = refusal.instance or instance
    body = {
        "type": f"urn:primroseglade:refusal:{reason.code}",
        "title": reason.title,
        "status": reason.status,
        "detail": refusal.detail,
        "reason": reason.code,
        "verdict": refusal.verdict.value,
    }
    headers = [
        (b"content-type", PROBLEM_CONTENT_TYPE),
        (VERDICT_HEADER, refusal.verdict.value.encode()),
        (REASON_HEADER, reason.code.encode()),
    ]
    if instance:
        body["instance"] = f"urn:primroseglade:instance:{instance}"
        headers.append((INSTANCE_HEADER, instance.encode()))
    if refusal.retry_after is not None:
        # Retry-After counts whole seconds; rounding down would ask for a storm.
        seconds = max(1, math.ceil(refusal.retry_after))
        milliseconds = math.ceil(refusal.retry_after * 1000)
        body["retry_after_ms"] = milliseconds
        headers.append((b"retry-after", str(seconds).encode()))
        headers.append((RETRY_AFTER_MS_HEADER, str(milliseconds).encode()))
    return reason.status, headers, json.dumps(body).encode()


def parse_refusal(headers: dict[str, str], detail: str = "") -> Refusal | None:
    """Read a refusal out of an answer's headers, names in lower case.

    Returns:
        The refusal, or None where the answer is a backend server's own.
    """
    reason = Reason.from_code(headers.get(REASON_HEADER.decode(), ""))
    if reason is None:
        return None
    try:
        verdict = Verdict(headers.get(VERDICT_HEADER.decode(), ""))
    except ValueError:
        # Of a verdict that this version does not know only the worst is safe.
        verdict = Verdict.MAY_HAVE_RUN
    milliseconds = headers.get(RETRY_AFTER_MS_HEADER.decode(), "")
    retry_after = int(milliseconds) / 1000 if milliseconds.isdecimal() else None
    instance = headers.get(INSTANCE_HEADER.decode(), "")
    return Refusal(reason, verdict, detail, retry_after, instance)
