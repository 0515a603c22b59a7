"""Header names of the platform, in lower case."""

from ..calls.headers import HOP_BY_HOP as HOP_BY_HOP_HEADERS

REQUEST_ID = b"x-primroseglade-request-id"
# Milliseconds that the sender still waits: a duration, although named a deadline.
REMAINING_MS = b"x-primroseglade-deadline-ms"
EXPECTED_INSTANCE = b"x-primroseglade-expected-instance"
CALLER_SERVICE = b"x-primroseglade-caller-service"
TENANT = b"x-primroseglade-tenant"
# The backend server's signature of its response.
SIGNATURE = b"x-primroseglade-upstream-seal"
NOT_EXECUTED = b"x-primroseglade-not-executed"
AUTHORIZATION = b"authorization"
# The scheme before an API key in Authorization, with the space that follows it.
KEY_SCHEME = b"token "
# In answers of a backend server that is short of resources: the requests per second
# that it takes from all nodes together, for as long as its answers say so.
REQUEST_LIMIT = b"server-limit"
# In all answers of a backend server that is about to stop, with the value 1.
LEAVING = b"server-leaving"
# Load of the backend server: requests running, waiting and slots; from some also how
# long work takes at this moment, in percent of the usual time.
LOAD = b"x-primroseglade-upstream-load"
HOST = b"host"
CONNECTION = b"connection"
# In answers to health checks only.
INSTANCE = b"x-primroseglade-upstream-instance"
COLD_MS = b"x-primroseglade-cold-ms"

# Bodies are buffered whole, so each hop sets its own Content-Length.
DROPPED_FROM_RESPONSES = HOP_BY_HOP_HEADERS | {b"content-length"}
# The node sets its own values of some of these headers, and it answers
# ``Expect: 100-continue`` itself.
DROPPED_FROM_REQUESTS = DROPPED_FROM_RESPONSES | {
    REMAINING_MS,
    EXPECTED_INSTANCE,
    CALLER_SERVICE,
    TENANT,
    AUTHORIZATION,
    b"expect",
}
