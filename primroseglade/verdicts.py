"""Refusals of calls: why a call was refused, and whether it may have run."""

from __future__ import annotations

import enum
import http
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .sidecar.ended_servers import EndedServer


class Verdict(enum.Enum):
    """Whether the call ran on a backend server.

    ``NOT_RUN`` is used only if no byte of the call was sent to a backend server, or if
    the backend server itself refused the call before running it.
    """

    NOT_RUN = "not run"
    RAN = "ran"
    MAY_HAVE_RUN = "may have run"


class Reason(enum.Enum):
    """Why a call was refused, with the HTTP status of the response."""

    MALFORMED_REQUEST = ("malformed-request", 400)
    KEY_MISSING = ("key-missing", 401)
    KEY_UNKNOWN = ("key-unknown", 401)
    KEY_WITHDRAWN = ("key-withdrawn", 403)
    HANDLE_UNKNOWN = ("handle-unknown", 403)
    CONTEXT_INVALID = ("context-invalid", 403)
    SERVICE_UNKNOWN = ("service-unknown", 404)
    OPERATION_REPEATED = ("operation-repeated", 409)
    BODY_TOO_LARGE = ("body-too-large", 413)
    RATE_EXCEEDED = ("rate-exceeded", 429)
    HEADERS_TOO_LARGE = ("headers-too-large", 431)
    CANCELLED = ("cancelled", 499)
    CONNECTION_LOST = ("connection-lost", 502)
    ANSWER_BROKEN = ("answer-broken", 502)
    CONFIGURATION_MISSING = ("configuration-missing", 503)
    CONFIGURATION_STALE = ("configuration-stale", 503)
    DRAINING = ("draining", 503)
    REGION_UNAVAILABLE = ("region-unavailable", 503)
    ZONE_EVACUATED = ("zone-evacuated", 503)
    BACKEND_COLD = ("backend-cold", 503)
    BACKEND_LIMITED = ("backend-limited", 503)
    NO_BACKEND_SERVER = ("no-backend-server", 503)
    OVERLOADED = ("overloaded", 503)
    REQUEST_BLOCKED = ("request-blocked", 503)
    REQUEST_SUSPECT = ("request-suspect", 503)
    RATE_UNAVAILABLE = ("rate-unavailable", 503)
    RECORDER_UNREACHABLE = ("recorder-unreachable", 503)
    DEADLINE_EXCEEDED = ("deadline-exceeded", 504)

    def __init__(self, code: str, status: int):
        self.code = code
        self.status = status

    @classmethod
    def from_code(cls, code: str) -> Reason | None:
        """Return the reason with this code, or None if this version has no such code.

        >>> Reason.from_code("overloaded") is Reason.OVERLOADED
        True
        """
        return _REASONS_BY_CODE.get(code)

    @property
    def title(self) -> str:
        """Reason phrase of the HTTP status."""
        if self.status == Reason.CANCELLED.status:
            return "Client Closed Request"
        return http.HTTPStatus(self.status).phrase


_REASONS_BY_CODE = {reason.code: reason for reason in Reason}

# Reasons that are due to the instance and not to the call: with the verdict "not run",
# the call may be retried on another instance.
RETRYABLE_REASONS = frozenset(
    {
        Reason.CONNECTION_LOST,
        Reason.DRAINING,
        Reason.NO_BACKEND_SERVER,
        Reason.OVERLOADED,
    }
)


# Reasons that indicate that an instance had more calls than it could serve.
LOAD_SHEDDING_REASONS = frozenset({Reason.DEADLINE_EXCEEDED, Reason.OVERLOADED})


# Reasons that are due to backend servers that ended under the call's request.
SUSPECT_REASONS = frozenset({Reason.REQUEST_BLOCKED, Reason.REQUEST_SUSPECT})


class Refusal(Exception):  # noqa: N818 - a response to the caller, not a fault
    """A call without a complete response from a backend server.

    Args:
        reason: Why the call was refused or failed.
        verdict: Whether the call may have run.
        detail: One sentence for the user; never contains an API key.
        retry_after: Seconds after which a retry may succeed, or None if unknown.
        instance: The instance that refused the call; empty for this one.

    Attributes:
        ended_servers: Backend servers that ended under the call's request.
        ended_server: Hash of the one that ended under this call; 0 if none did.
    """

    def __init__(
        self,
        reason: Reason,
        verdict: Verdict = Verdict.NOT_RUN,
        detail: str = "",
        retry_after: float | None = None,
        instance: str = "",
    ):
        super().__init__(f"{reason.code}: {detail}")
        self.reason = reason
        self.verdict = verdict
        self.detail = detail
        self.retry_after = retry_after
        self.instance = instance
        self.ended_servers: tuple[EndedServer, ...] = ()
        self.ended_server = 0


def not_run(reason: Reason, detail: str = "", retry_after: float | None = None):
    """Build the refusal of a call that no backend server has run."""
    return Refusal(reason, Verdict.NOT_RUN, detail, retry_after)


def may_have_run(reason: Reason, detail: str = ""):
    """Build a refusal of a call that a backend server may have started."""
    return Refusal(reason, Verdict.MAY_HAVE_RUN, detail)
