"""Client library for callers, with node selection, deadlines and safe retries."""

import asyncio
import random
import time
import uuid

import aiohttp

from .answers import parse_refusal
from .calls.call import IDEMPOTENT_METHODS
from .verdicts import may_have_run, not_run, Reason, Refusal, RETRYABLE_REASONS, Verdict

MAX_ATTEMPTS = 3
MAX_NODES_PER_SERVICE = 8
EJECTION_SECONDS = 2.0
MIN_BACKOFF_SECONDS = 0.02
CONNECT_TIMEOUT_SECONDS = 1.0
# The timeout sent to the node is shorter than the caller's by this much, so that the
# node's refusal arrives before the caller gives up.
DEADLINE_MARGIN_SECONDS = 0.02


class Reply:
    """A complete response of a backend server.

    Args:
        status: HTTP status.
        headers: Headers by lower-case name.
        body: Response body.
        attempts: Number of attempts made.
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

    A ``Refusal`` is raised for every call without a complete response. Its ``verdict``
    says whether the call may have run, its ``retry_after`` when to try again.

    Args:
        nodes: Addresses (``IP:PORT``) of the caller listeners of some nodes; further
            nodes are learned from responses.
        key: API key of the workspace.
        timeout: Default timeout of a call in seconds.
        attempts: Maximum number of attempts per call.
    """

    def __init__(
        self,
        nodes: list[str],
        key: str,
        timeout: float = 10.0,
        attempts: int = MAX_ATTEMPTS,
    ):
        self._nodes = list(nodes)
        self._key = key
        self._timeout = timeout
        self._attempts = attempts
        self._nodes_by_service: dict[str, list[str]] = {}
        self._ejected_until: dict[str, float] = {}
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Client":
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Close all connections."""
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
            service: Name of the service.
            path: Path within the service, with the leading slash, and query.
            method: HTTP method.
            body: Complete request body.
            headers: Additional headers.
            timeout: Timeout in seconds; the client's default if None.
            operation: Idempotency key of a call that must run at most once; generated
                if empty.

        Raises:
            Refusal: There is no complete response. The verdict covers all attempts; a
                retry was made only if the previous verdict allowed it.
        """
        deadline = time.monotonic() + (timeout or self._timeout)
        operation = operation or uuid.uuid4().hex
        overall_verdict = Verdict.NOT_RUN
        tried: set[str] = set()
        attempt = 0
        while True:
            attempt += 1
            node = self._choose_node(service, tried)
            tried.add(node)
            try:
                return await self._send_attempt(
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
                    overall_verdict = refusal.verdict
                refusal.verdict = overall_verdict
                if not self._may_retry(refusal, method, attempt, deadline):
                    raise
                await asyncio.sleep(_choose_retry_delay(refusal, attempt, deadline))

    async def _send_attempt(
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
            raise not_run(
                Reason.DEADLINE_EXCEEDED, "the deadline passed before the attempt"
            )
        request_headers = headers | {
            "Authorization": f"Bearer {self._key}",
            "Primroseglade-Timeout-Ms": str(
                max(1, int((remaining - DEADLINE_MARGIN_SECONDS) * 1000))
            ),
        }
        if method not in IDEMPOTENT_METHODS:
            request_headers["Idempotency-Key"] = operation
            request_headers["Primroseglade-Attempt"] = str(attempt)
        client_timeout = aiohttp.ClientTimeout(
            total=remaining, sock_connect=CONNECT_TIMEOUT_SECONDS
        )
        url = f"http://{node}/{service}{path}"
        try:
            async with self._get_session().request(
                method,
                url,
                data=body or None,
                headers=request_headers,
                timeout=client_timeout,
            ) as response:
                content = await response.read()
                response_headers = {
                    name.lower(): text for name, text in response.headers.items()
                }
                status = response.status
        except aiohttp.ClientConnectorError as error:
            self._ejected_until[node] = time.monotonic() + EJECTION_SECONDS
            raise not_run(Reason.CONNECTION_LOST, str(error)) from error
        except TimeoutError as error:
            detail = f"no complete response from {node} before the deadline"
            raise may_have_run(Reason.DEADLINE_EXCEEDED, detail) from error
        except aiohttp.ClientError as error:
            self._ejected_until[node] = time.monotonic() + EJECTION_SECONDS
            raise may_have_run(Reason.CONNECTION_LOST, str(error)) from error
        self._update_nodes(service, response_headers)
        refusal = parse_refusal(response_headers)
        if refusal is not None:
            refusal.detail = content.decode(errors="replace")
            raise refusal
        return Reply(status, response_headers, content, attempt)

    def _may_retry(
        self, refusal: Refusal, method: str, attempt: int, deadline: float
    ) -> bool:
        if attempt >= self._attempts or time.monotonic() >= deadline:
            return False
        if refusal.reason not in RETRYABLE_REASONS:
            return False
        if refusal.verdict is Verdict.NOT_RUN:
            return True
        return method in IDEMPOTENT_METHODS

    def _choose_node(self, service: str, tried: set[str]) -> str:
        """Return a random node, preferably an untried one that serves the service."""
        now = time.monotonic()
        candidates = [*self._nodes_by_service.get(service, ()), *self._nodes]
        available = [
            node for node in candidates if self._ejected_until.get(node, 0) <= now
        ]
        untried = [node for node in available if node not in tried]
        serving = [n for n in untried if n in self._nodes_by_service.get(service, ())]
        return random.choice(serving or untried or available or candidates)

    def _update_nodes(self, service: str, headers: dict[str, str]) -> None:
        announced = [
            node for node in headers.get("primroseglade-nodes", "").split(",") if node
        ]
        if not announced:
            return
        kept = [
            known
            for known in self._nodes_by_service.get(service, ())
            if known not in announced
        ]
        self._nodes_by_service[service] = (announced + kept)[:MAX_NODES_PER_SERVICE]

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session


def _choose_retry_delay(refusal: Refusal, attempt: int, deadline: float) -> float:
    """Return the delay (s) before the next attempt, at most until the deadline."""
    backoff = MIN_BACKOFF_SECONDS * 2**attempt * random.uniform(0.5, 1.5)
    delay = max(backoff, refusal.retry_after or 0.0)
    remaining = deadline - time.monotonic()
    return max(0.0, min(delay, remaining))
