"""A call on its way through a node, its body, and its answer."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable

from ..limits.importance import Importance
from ..observe.traces import TraceParent
from .headers import Headers

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})


class Context:
    """What a call inherits from its root call and takes along from hop to hop.

    Args:
        call: Id of this call, a span id in hex.
        trace: Trace context; the trace id is the root call's id.
        workspace: Whose call it is.
        key: Id of the key that the root call carried.
        importance: Its class.
        deadline: ``time.monotonic`` at which nobody waits for the answer any more.
        depth: 0 for a root call.
        retry_tokens: Retries that this call and those below it may still cost.
        idempotent: Whether running it twice is harmless.

    ``shed`` is set when a call nested in this one was shed further on.
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
        """The W3C header with which this call goes on."""
        flags = "01" if self.trace.sampled else "00"
        return f"00-{self.trace.trace}-{self.call}-{flags}".encode()

    @property
    def remaining(self) -> float:
        """Seconds until the deadline, negative behind it."""
        return self.deadline - time.monotonic()


class Body:
    """A request's body: held whole where it is small, else streamed once.

    Args:
        held: The whole body, or None.
        length: Bytes, or None where the sender did not say.
        stream: Yields the body where it is not held.
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
        """Whether it can be sent again from its beginning."""
        return self.content is not None or not self.started


class Call:
    """A call to a service.

    Args:
        service: The service.
        method: HTTP method.
        target: Path within the service, and query, as they came.
        headers: Headers that go on.
        body: Its body.
        context: What it inherited.
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
    """Stand in for the close of an answer that holds on to nothing."""


class Reply:
    """A backend server's answer.

    Args:
        status: HTTP status.
        headers: Headers that go on.
        held: The whole body, or None where it is streamed.
        length: Bytes, or None where not known.
        stream: Yields the body where it is not held; raises where it breaks off.
        close: Gives back what the answer holds on to; to be called in any case, since
            a stream that nobody starts to read does not end by itself.

    ``shed`` says that the answer is an error because of a call that was shed.
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
    """Calls at work in a node, counted so that a stop can wait for them."""

    def __init__(self) -> None:
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def count(self) -> int:
        """How many there are."""
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
        """Wait until there is none."""
        await self._idle.wait()
