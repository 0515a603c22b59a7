"""Header names, and which headers go on to the next hop."""

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

# RFC 9110, section 7.6.1: these speak of one connection only.
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
# Set anew at each hop, or never to be seen behind the node.
_DROPPED_FROM_REQUESTS = HOP_BY_HOP | {
    AUTHORIZATION,
    b"content-length",
    b"expect",
    b"host",
    TRACEPARENT,
}
_DROPPED_FROM_RESPONSES = HOP_BY_HOP | {b"content-length"}


def find_header(headers: Headers, name: bytes) -> bytes:
    """Return a header's value, empty where it is absent; names are in lower case."""
    for header, value in headers:
        if header == name:
            return value
    return b""


def filter_request_headers(headers: Headers) -> Headers:
    """Return what goes on of a request: neither the key nor any claim on a call.

    >>> keep_request_headers([(b"authorization", b"Bearer k"), (b"accept", b"*/*")])
    [(b'accept', b'*/*')]
    """
    return _filter(headers, _DROPPED_FROM_REQUESTS)


def filter_response_headers(headers: Headers) -> Headers:
    """Return what goes on of a backend server's answer.

    Headers that only nodes may set are left out, so that no backend server can
    answer with a verdict or a load of its own making.
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
