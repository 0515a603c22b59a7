"""The platform's header names, as its callers and backend servers spell them."""

from ..calls.headers import HOP_BY_HOP as CONNECTION_HEADERS

REQUEST_ID = b"x-primroseglade-request-id"
# How many milliseconds the sender still waits, in spite of its name no point in time.
REMAINING_MS = b"x-primroseglade-deadline-ms"
EXPECTED_INSTANCE = b"x-primroseglade-expected-instance"
CALLER_SERVICE = b"x-primroseglade-caller-service"
TENANT = b"x-primroseglade-tenant"
# The backend server's signature of its answer.
SIGNATURE = b"x-primroseglade-upstream-seal"
NOT_EXECUTED = b"x-primroseglade-not-executed"
AUTHORIZATION = b"authorization"
KEY_SCHEME = b"token "
HOST = b"host"
CONNECTION = b"connection"

# The length is set anew for each connection, since whole bodies are held.
HOP_BY_HOP = CONNECTION_HEADERS | {b"content-length"}
# Set by nodes, whatever the sender says; and a 100-continue is answered here.
NODE_SET_HEADERS = HOP_BY_HOP | {
    REMAINING_MS,
    EXPECTED_INSTANCE,
    CALLER_SERVICE,
    TENANT,
    AUTHORIZATION,
    b"expect",
}
