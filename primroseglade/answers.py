"""Encoding of refusals as HTTP responses: headers and problem details (RFC 9457)."""

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
    """Return status, headers and body of the response to a refused call.

    Args:
        refusal: The refusal.
        instance: The instance that refused, used if the refusal names none.
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
        # Retry-After is in whole seconds; rounding down would invite a retry storm.
        seconds = max(1, math.ceil(refusal.retry_after))
        milliseconds = math.ceil(refusal.retry_after * 1000)
        body["retry_after_ms"] = milliseconds
        headers.append((b"retry-after", str(seconds).encode()))
        headers.append((RETRY_AFTER_MS_HEADER, str(milliseconds).encode()))
    return reason.status, headers, json.dumps(body).encode()


def parse_refusal(headers: dict[str, str], detail: str = "") -> Refusal | None:
    """Parse the refusal in a response's headers, whose names are in lower case.

    Returns:
        The refusal, or None if the response comes from a backend server.
    """
    reason = Reason.from_code(headers.get(REASON_HEADER.decode(), ""))
    if reason is None:
        return None
    try:
        verdict = Verdict(headers.get(VERDICT_HEADER.decode(), ""))
    except ValueError:
        # A verdict that this version does not know is read as the most cautious one.
        verdict = Verdict.MAY_HAVE_RUN
    retry_after_text = headers.get(RETRY_AFTER_MS_HEADER.decode(), "")
    retry_after = int(retry_after_text) / 1000 if retry_after_text.isdecimal() else None
    instance = headers.get(INSTANCE_HEADER.decode(), "")
    return Refusal(reason, verdict, detail, retry_after, instance)
