"""The callers' library: picks nodes, keeps deadlines, retries what may be retried."""

import asyncio
import random
import time
import uuid

import aiohttp

from .answers import parse_refusal
from .calls.call import IDEMPOTENT_METHODS
from .verdicts import may_have_run, not_run, Reason, Refusal, RETRIED_ELSEWHERE, Verdict

ATTEMPTS = 3
NODES_KEPT = 8
AVOIDED_SECONDS = 2.0
SHORTEST_PAUSE_SECONDS = 0.02
CONNECT_SECONDS = 1.0
# Of the caller's own deadline the node is told a little less, so that its honest
# refusal arrives before the caller gives up.
MARGIN_SECONDS = 0.02


class Reply:
    """A backend server's whole answer.

    Args:
        status: HTTP status.
        headers: By lower-case name.
        body: The body.
        attempts: How many attempts it took.
    """

    __slots__ = ("attempts", "body", "headers", "status")

    def __init__(
        self, status: int, headers: dict[str, str], body: bytes, attempts: int
    ):
        self.status = status
        self.headers = headers
        self.body = body
        self.attempts = attempts


class Client:
    """Calls services through the nodes.

    Args:
        nodes: Callers' addresses, ``IP:PORT``, of some nodes; answers name others.
        key: The workspace's key.
        timeout: Seconds that a call may take, unless it says otherwise.
        attempts: Attempts at one call at the most.

    A ``Refusal`` is raised for every call without a whole answer. Its ``verdict``
    says whether the call may have run, its ``retry_after`` when to come back.
    """

    def __init__(
        self,
        nodes: list[str],
        key: str,
        timeout: float = 10.0,
        attempts: int = ATTEMPTS,
    ):
        self._nodes = list(nodes)
        self._key = key
        self._timeout = timeout
        self._attempts = attempts
        self._by_service: dict[str, list[str]] = {}
        self._avoided: dict[str, float] = {}
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Client":
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def call(
        self,
        service: str,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout: float | None = None,
        operation: str = "",
    ) -> Reply:
        """Call a service.

        Args:
            service: Its name.
            path: Path within it, from the slash on, and query.
            method: HTTP method.
            body: The whole body.
            headers: Further headers.
            timeout: Seconds until the caller gives up.
            operation: Id of what is to run at most once; made up where it is empty.

        Raises:
            Refusal: No whole answer; no attempt was made that the verdict of the one
                before forbids.
        """
        deadline = time.monotonic() + (timeout or self._timeout)
        operation = operation or uuid.uuid4().hex
        verdict = Verdict.NOT_RUN
        tried: set[str] = set()
        attempt = 0
        while True:
            attempt += 1
            node = self._choose(service, tried)
            tried.add(node)
            try:
                return await self._try(
                    node,
                    service,
                    path,
                    method,
                    body,
                    headers or {},
                    deadline,
                    operation,
                    attempt,
                )
            except Refusal as refusal:
                if refusal.verdict is not Verdict.NOT_RUN:
                    verdict = refusal.verdict
                refusal.verdict = verdict
                if not self._may_retry(refusal, method, attempt, deadline):
                    raise
                await asyncio.sleep(_choose_pause(refusal, attempt, deadline))

    async def _try(
        self,
        node: str,
        service: str,
        path: str,
        method: str,
        body: bytes,
        headers: dict[str, str],
        deadline: float,
        operation: str,
        attempt: int,
    ) -> Reply:
        remaining = deadline - time.monotonic()
        if remaining <= 0:
            raise not_run(Reason.DEADLINE_EXCEEDED, "the deadline passed before")
        sent = headers | {
            "Authorization": f"Bearer {self._key}",
            "Primroseglade-Timeout-Ms": str(
                max(1, int((remaining - MARGIN_SECONDS) * 1000))
            ),
        }
        if method not in IDEMPOTENT_METHODS:
            sent["Idempotency-Key"] = operation
            sent["Primroseglade-Attempt"] = str(attempt)
        bound = aiohttp.ClientTimeout(total=remaining, sock_connect=CONNECT_SECONDS)
        url = f"http://{node}/{service}{path}"
        try:
            async with self._get_session().request(
                method, url, data=body or None, headers=sent, timeout=bound
            ) as response:
                content = await response.read()
                found = {name.lower(): text for name, text in response.headers.items()}
                status = response.status
        except aiohttp.ClientConnectorError as error:
            self._avoided[node] = time.monotonic() + AVOIDED_SECONDS
            raise not_run(Reason.CONNECTION_LOST, str(error)) from error
        except TimeoutError as error:
            detail = f"no whole answer of {node} in time"
            raise may_have_run(Reason.DEADLINE_EXCEEDED, detail) from error
        except aiohttp.ClientError as error:
            self._avoided[node] = time.monotonic() + AVOIDED_SECONDS
            raise may_have_run(Reason.CONNECTION_LOST, str(error)) from error
        self._learn(service, found)
        refusal = parse_refusal(found)
        if refusal is not None:
            refusal.detail = content.decode(errors="replace")
            raise refusal
        return Reply(status, found, content, attempt)

    def _may_retry(
        self, refusal: Refusal, method: str, attempt: int, deadline: float
    ) -> bool:
        if attempt >= self._attempts or time.monotonic() >= deadline:
            return False
        if refusal.reason not in RETRIED_ELSEWHERE:
            return False
        if refusal.verdict is Verdict.NOT_RUN:
            return True
        return method in IDEMPOTENT_METHODS

    def _choose(self, service: str, tried: set[str]) -> str:
        """Return a node that serves the service itself, if one is known."""
        now = time.monotonic()
        known = [*self._by_service.get(service, ()), *self._nodes]
        fresh = [node for node in known if self._avoided.get(node, 0) <= now]
        better = [node for node in fresh if node not in tried]
        near = [n for n in better if n in self._by_service.get(service, ())]
        return random.choice(near or better or fresh or known)

    def _learn(self, service: str, headers: dict[str, str]) -> None:
        told = [
            node for node in headers.get("primroseglade-nodes", "").split(",") if node
        ]
        if not told:
            return
        kept = [n for n in self._by_service.get(service, ()) if n not in told]
        self._by_service[service] = (told + kept)[:NODES_KEPT]

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session


def _choose_pause(refusal: Refusal, attempt: int, deadline: float) -> float:
    """Return seconds to wait: what the node asked for, if the deadline leaves it."""
    backoff = SHORTEST_PAUSE_SECONDS * 2**attempt * random.uniform(0.5, 1.5)
    pause = max(backoff, refusal.retry_after or 0.0)
    left = deadline - time.monotonic()
    return max(0.0, min(pause, left))
