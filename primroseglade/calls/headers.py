"""Header names, and which headers are forwarded to the next hop."""

Headers = list[tuple[bytes, bytes]]

AUTHORIZATION = b"authorization"
ATTEMPT = b"primroseglade-attempt"
CONTEXT = b"primroseglade-context"
DEADLINE_MS = b"primroseglade-deadline-ms"
HANDLE = b"primroseglade-call"
IDEMPOTENCY_KEY = b"idempotency-key"
LOAD = b"primroseglade-load"
NODES = b"primroseglade-nodes"
SHED = b"primroseglade-shed"
RETRY_TOKENS = b"primroseglade-retry-tokens"
TIMEOUT_MS = b"primroseglade-timeout-ms"
TRACEPARENT = b"traceparent"
WORKSPACE = b"primroseglade-workspace"

NODE_HEADER_PREFIX = b"primroseglade-"

# Headers that apply to one connection only: RFC 9110, section 7.6.1.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# Replaced at each hop, or never forwarded to backend servers.
_DROPPED_FROM_REQUESTS = HOP_BY_HOP | {
    AUTHORIZATION,
    b"content-length",
    b"expect",
    b"host",
    TRACEPARENT,
}
_DROPPED_FROM_RESPONSES = HOP_BY_HOP | {b"content-length"}


def find_header(headers: Headers, name: bytes) -> bytes:
    """Return the value of a header, or empty bytes; names are in lower case."""
    for header, value in headers:
        if header == name:
            return value
    return b""


def filter_request_headers(headers: Headers) -> Headers:
    """Return the request headers to forward, without API key and node headers.

    >>> filter_request_headers([(b"authorization", b"Bearer k"), (b"accept", b"*/*")])
    [(b'accept', b'*/*')]
    """
    return _filter(headers, _DROPPED_FROM_REQUESTS)


def filter_response_headers(headers: Headers) -> Headers:
    """Return the response headers to forward.

    Headers that only nodes may set are dropped, so that no backend server can forge a
    verdict or a load report.
    """
    return _filter(headers, _DROPPED_FROM_RESPONSES)


def _filter(headers: Headers, dropped: frozenset[bytes]) -> Headers:
    named = find_header(headers, b"connection")
    if named:
        tokens = (token.strip().lower() for token in named.split(b","))
        dropped = dropped.union(tokens)
    return [
        (name, value)
        for name, value in headers
        if name not in dropped and not name.startswith(NODE_HEADER_PREFIX)
    ]
