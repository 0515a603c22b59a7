"""Verdicts: whether a refused request may have run, and why it was refused."""

import enum
import http


class Verdict(enum.Enum):
    """Whether the request ran on a backend server.

    ``NOT_RUN`` is said only when no byte of the call left for a backend server, or
    when the backend server itself refused before it started.
    """

    NOT_RUN = "not run"
    RAN = "ran"
    MAY_HAVE_RUN = "may have run"


class Reason(enum.Enum):
    """Why a call was refused, with the HTTP status that says so."""

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
    NO_BACKEND_SERVER = ("no-backend-server", 503)
    OVERLOADED = ("overloaded", 503)
    RATE_UNAVAILABLE = ("rate-unavailable", 503)
    RECORDER_UNREACHABLE = ("recorder-unreachable", 503)
    DEADLINE_EXCEEDED = ("deadline-exceeded", 504)

    def __init__(self, code: str, status: int):
        self.code = code
        self.status = status

    @classmethod
    def from_code(cls, code: str) -> "Reason | None":
        """Return the reason with this code, or None for a code of another version.

        >>> Reason.from_code("overloaded") is Reason.OVERLOADED
        True
        """
        return _REASONS_BY_CODE.get(code)

    @property
    def title(self) -> str:
        """Return the status's usual phrase."""
        if self.status == Reason.CANCELLED.status:
            return "Client Closed Request"
        return http.HTTPStatus(self.status).phrase


_REASONS_BY_CODE = {reason.code: reason for reason in Reason}

# What another node may do with a call that it got back with this reason and the
# verdict "not run": the instance was the matter, not the call.
RETRIED_ELSEWHERE = frozenset(
    {
        Reason.CONNECTION_LOST,
        Reason.DRAINING,
        Reason.NO_BACKEND_SERVER,
        Reason.OVERLOADED,
    }
)


# Reasons that say that a place had more calls than it could serve.
SHEDDING = frozenset({Reason.DEADLINE_EXCEEDED, Reason.OVERLOADED})


class Refusal(Exception):  # noqa: N818 - an answer to a caller, not a fault
    """A call that got no answer of a backend server.

    Args:
        reason: Why.
        verdict: Whether it may have run.
        detail: One sentence for the person who reads it; never holds a key.
        retry_after: Seconds after which a new attempt may succeed, or None.
        instance: The instance that decided, where it was not this one.
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


def not_run(reason: Reason, detail: str = "", retry_after: float | None = None):
    """Build a refusal of a call of which nothing left for a backend server."""
    return Refusal(reason, Verdict.NOT_RUN, detail, retry_after)


def may_have_run(reason: Reason, detail: str = ""):
    """Build a refusal of a call that a backend server may have started."""
    return Refusal(reason, Verdict.MAY_HAVE_RUN, detail)
