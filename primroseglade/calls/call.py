"""A call that passes through a node, its context, its body, and its reply."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable

from ..limits.importance import Importance
from ..observe.traces import TraceParent
from .headers import Headers

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})


class Context:
    """What a call inherits from its root call and propagates from hop to hop.

    Args:
        call: Id of this call, a span id in hex.
        trace: Trace context; the trace id is the id of the root call.
        workspace: The workspace that makes the call.
        key: Id of the API key of the root call.
        importance: Importance class.
        deadline: Time at which the caller stops waiting, in ``time.monotonic`` seconds.
        depth: Number of calls above this one; 0 for a root call.
        retry_tokens: Retries left for this call and its nested calls together.
        idempotent: Whether it may run more than once.

    ``shed`` is set once a call nested in this one has been shed.
    """

    __slots__ = (
        "call",
        "deadline",
        "depth",
        "idempotent",
        "importance",
        "key",
        "retry_tokens",
        "shed",
        "trace",
        "workspace",
    )

    def __init__(
        self,
        call: str,
        trace: TraceParent,
        workspace: str,
        key: str,
        importance: Importance,
        deadline: float,
        depth: int,
        retry_tokens: int,
        idempotent: bool,
    ):
        self.call = call
        self.trace = trace
        self.workspace = workspace
        self.key = key
        self.importance = importance
        self.deadline = deadline
        self.depth = depth
        self.retry_tokens = retry_tokens
        self.idempotent = idempotent
        self.shed = False

    @property
    def root(self) -> str:
        """Id of the root call."""
        return self.trace.trace

    @property
    def traceparent(self) -> bytes:
        """Value of the W3C ``traceparent`` header sent with this call."""
        flags = "01" if self.trace.sampled else "00"
        return f"00-{self.trace.trace}-{self.call}-{flags}".encode()

    @property
    def remaining(self) -> float:
        """Seconds until the deadline; negative after it."""
        return self.deadline - time.monotonic()


class Body:
    """The body of a request: buffered if it is small, else streamed once.

    Args:
        content: The buffered body, or None if it is streamed.
        length: Length in bytes, or None if unknown.
        stream: Yields the body if it is not buffered.
    """

    __slots__ = ("content", "length", "started", "stream")

    def __init__(
        self,
        content: bytes | None,
        length: int | None = None,
        stream: AsyncIterator[bytes] | None = None,
    ):
        self.content = content
        self.length = len(content) if content is not None else length
        self.stream = stream
        self.started = False

    @property
    def replayable(self) -> bool:
        """Whether a retry can send it from the beginning."""
        return self.content is not None or not self.started


class Call:
    """A call to a service.

    Args:
        service: The service.
        method: HTTP method.
        target: Path within the service and query, not decoded.
        headers: Headers to forward.
        body: Request body.
        context: Call context.
    """

    __slots__ = ("body", "context", "headers", "method", "service", "target")

    def __init__(
        self,
        service: str,
        method: str,
        target: bytes,
        headers: Headers,
        body: Body,
        context: Context,
    ):
        self.service = service
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.context = context


def _do_nothing() -> None:
    """Serve as ``close`` of a reply that holds no resources."""


class Reply:
    """A response to be sent to the caller.

    Args:
        status: HTTP status.
        headers: Headers to send.
        content: The buffered body, or None if it is streamed.
        length: Length of the body in bytes, or None if unknown.
        stream: Yields the body if it is not buffered; raises if it is truncated.
        close: Releases the connection and slot that the reply holds. It must always be
            called, since a stream that is never read does not end by itself.

    ``shed`` is set if it is an error response due to a call that was shed.
    """

    __slots__ = ("close", "content", "headers", "length", "shed", "status", "stream")

    def __init__(
        self,
        status: int,
        headers: Headers,
        content: bytes | None,
        length: int | None = None,
        stream: AsyncIterator[bytes] | None = None,
        close: Callable[[], None] = _do_nothing,
    ):
        self.status = status
        self.headers = headers
        self.content = content
        self.length = len(content) if content is not None else length
        self.stream = stream
        self.close = close
        self.shed = False


class InFlight:
    """Counts the calls in flight, so that a graceful shutdown can wait for them."""

    def __init__(self) -> None:
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def count(self) -> int:
        """Number of calls in flight."""
        return self._count

    def __enter__(self) -> "InFlight":
        self._count += 1
        self._idle.clear()
        return self

    def __exit__(self, *_: object) -> None:
        self._count -= 1
        if not self._count:
            self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no call is in flight."""
        await self._idle.wait()
