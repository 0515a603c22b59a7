"""Translation between the platform's HTTP headers and the node's own types."""

import math

from ..sidecar.backend_dialect import ParsedAnswerHead
from ..sidecar.client_connection import MalformedResponseError, Response
from ..sidecar.frames import Call
from ..sidecar.health_check import HealthAnswer
from ..sidecar.http_messages import render_status_line, Reply, Request
from ..sidecar.outgoing_call import OutgoingCall
from ..sidecar.request_handler import CallerFields
from ..verdicts import Reason, Refusal, Verdict
from .backend_statements import read_statements
from .names import (
    AUTHORIZATION,
    CALLER_SERVICE,
    COLD_MS,
    CONNECTION,
    DROPPED_FROM_REQUESTS,
    DROPPED_FROM_RESPONSES,
    EXPECTED_INSTANCE,
    HOST,
    INSTANCE,
    KEY_SCHEME,
    NOT_EXECUTED,
    REMAINING_MS,
    REQUEST_ID,
    SIGNATURE,
    TENANT,
)

# On the platform these statuses guarantee that the request was not executed. A refusal
# of a request that may have run must use another status.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
MAY_HAVE_RUN_STATUS = 502
# A backend server rejects requests with client and server errors only.
MIN_REJECTION_STATUS = 400
# Minimum remaining time sent to the backend server; less would be rounded down to 0.
# The caller counts from sending and the node from receiving, so the remaining time is
# inexact by about as much anyway.
MIN_REMAINING_MS = 1


class PlatformDialect:
    """Reads and renders HTTP messages with the platform's headers."""

    def read_request(self, request: Request) -> CallerFields:
        """Return the fields of a caller's request that the node uses."""
        request_id = host = key = b""
        seconds: float | None = None
        for name, value in request.headers:
            lower = name.lower()
            if lower == REQUEST_ID:
                request_id = value
            elif lower == HOST:
                host = value
            elif lower == REMAINING_MS:
                seconds = _parse_ms(value)
            elif lower == AUTHORIZATION and value[:6].lower() == KEY_SCHEME:
                key = value[6:].strip()
        return CallerFields(request_id, host, key, seconds, _read_parent_id(request_id))

    def render_request(self, request: Request, service: str, tenant: str) -> bytes:
        """Return the head to forward, to which ``finish_request`` adds headers.

        Args:
            request: The caller's request.
            service: Name of the calling service, for the backend server.
            tenant: Name of the caller's workspace; empty if it has none.
        """
        dropped = DROPPED_FROM_REQUESTS
        for name, value in request.headers:
            if name.lower() == CONNECTION:
                dropped = dropped | _split_tokens(value)
        lines = [b"%b %b HTTP/1.1" % (request.method, request.target)]
        lines += [
            b"%b: %b" % header
            for header in request.headers
            if header[0].lower() not in dropped
        ]
        lines.append(b"%b: %b" % (CALLER_SERVICE, service.encode()))
        if tenant:
            lines.append(b"%b: %b" % (TENANT, tenant.encode()))
        lines.append(b"")
        return b"\r\n".join(lines)

    def render_refusal(self, request_id: bytes, refusal: Refusal) -> Reply:
        """Return the response for a refusal.

        Args:
            request_id: Echoed in the response; empty if there is none.
            refusal: Why the request was refused, and whether it may have run.
        """
        status = refusal.reason.status
        if refusal.verdict is not Verdict.NOT_RUN and status in NOT_EXECUTED_STATUSES:
            status = MAY_HAVE_RUN_STATUS
        if refusal.verdict is Verdict.NOT_RUN and status in (502, 504):
            # The caller must learn that the request has not run. On the platform, 503
            # guarantees this; 502 and 504 do not.
            status = Reason.OVERLOADED.status
        lines = [render_status_line(status)]
        if request_id:
            lines.append(b"%b: %b\r\n" % (REQUEST_ID, request_id))
        if refusal.retry_after is not None and status in NOT_EXECUTED_STATUSES:
            lines.append(b"Retry-After: %.3f\r\n" % max(0.0, refusal.retry_after))
        lines.append(b"Content-Type: text/plain; charset=utf-8\r\n")
        body = f"{refusal.reason.code}: {refusal.detail}\n".encode()
        return Reply(b"".join(lines), body)

    def finish_request(self, call: Call, remaining: float) -> bytes:
        """Return the complete request for the backend server.

        Args:
            call: The forwarded call, with the head of ``render_request``.
            remaining: Seconds left until the call's deadline.
        """
        milliseconds = max(MIN_REMAINING_MS, math.floor(remaining * 1000))
        length = b""
        if call.body or not call.head.startswith((b"GET ", b"HEAD ", b"DELETE ")):
            length = b"Content-Length: %d\r\n" % len(call.body)
        return b"%b%b: %d\r\n%b: %b\r\n%b\r\n%b" % (
            call.head,
            REMAINING_MS,
            milliseconds,
            EXPECTED_INSTANCE,
            call.instance.encode(),
            length,
            call.body,
        )

    def get_identity(self, call: Call | OutgoingCall) -> bytes:
        """Return the request line and the host of a call.

        Other headers may differ between attempts. The workspace is known otherwise.
        """
        line, *headers = call.head.split(b"\r\n")
        hosts = [h for h in headers if h[: len(HOST) + 1].lower() == HOST + b":"]
        return b"\r\n".join([line, *hosts])

    def read_answer(self, answer: Response) -> ParsedAnswerHead:
        """Return the fields of a backend server's response, and the head to forward.

        Raises:
            MalformedResponseError: The head contradicts itself, as one that was put
                together from several responses does.
        """
        request_id = b""
        signature: bytes | None = None
        not_executed = is_contradictory = False
        dropped = DROPPED_FROM_RESPONSES
        lines = [render_status_line(answer.status)]
        for name, value in answer.headers:
            lower = name.lower()
            if lower == REQUEST_ID:
                is_contradictory |= request_id not in (b"", value)
                request_id = value
            elif lower == SIGNATURE:
                is_contradictory |= signature not in (None, value)
                signature = value
            elif lower == NOT_EXECUTED:
                not_executed = True
            elif lower == CONNECTION:
                dropped = dropped | _split_tokens(value)
        if is_contradictory:
            raise MalformedResponseError("several request IDs or signatures")
        if not_executed and answer.status < MIN_REJECTION_STATUS:
            raise MalformedResponseError(f"not executed, but status {answer.status}")
        lines += [
            b"%b: %b\r\n" % header
            for header in answer.headers
            if header[0].lower() not in dropped
        ]
        return ParsedAnswerHead(
            b"".join(lines),
            request_id,
            signature is not None,
            not_executed,
            read_statements(answer.headers),
        )

    def render_health_check(self, path: str, address: str) -> bytes:
        """Return a health check; ``address`` is that of the backend server."""
        return f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()

    def read_health(self, answer: Response) -> HealthAnswer | None:
        """Return what an answer to a health check says, whatever its status.

        A backend server that is full or unhealthy says how long it stays cold, too; a
        warm one may leave that out. Returns None if it names no instance or an invalid
        time.
        """
        instance = ""
        cold_seconds: float | None = 0.0
        for name, value in answer.headers:
            lower = name.lower()
            if lower == INSTANCE:
                instance = value.decode("latin-1")
            elif lower == COLD_MS:
                cold_seconds = _parse_ms(value)
        if not instance or cold_seconds is None:
            return None
        return HealthAnswer(instance, cold_seconds)


def _read_parent_id(request_id: bytes) -> bytes:
    """Return the ID of the call for which a backend server makes another.

    The ID of such a call is that of the call it is made for, a dot, and a part of its
    own. The result is empty for other calls.

    >>> _read_parent_id(b"26eb7360.7d6cbbda.67c3911b")
    b'26eb7360.7d6cbbda'
    """
    return request_id.rpartition(b".")[0]


def _split_tokens(value: bytes) -> frozenset[bytes]:
    return frozenset(token.strip().lower() for token in value.split(b","))


def _parse_ms(value: bytes) -> float | None:
    try:
        milliseconds = float(value)
    except ValueError:
        return None
    if not 0 <= milliseconds < 1e9:
        return None
    return milliseconds / 1000
