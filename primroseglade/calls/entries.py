"""A node's three entries: for callers, other nodes, and the local backend server."""

import asyncio
import time
from typing import Protocol

from ..document.document import digest_key, Document
from ..limits.importance import Importance
from ..observe.traces import (
    generate_span_id,
    generate_trace_id,
    parse_traceparent,
    TraceParent,
)
from ..verdicts import LOAD_SHEDDING_REASONS, not_run, Reason, Refusal, Verdict
from .backend import BackendServer
from .call import Body, Call, Context, Reply
from .context import ContextSigner
from .dispatch import Dispatcher
from .entry import Entry, EntryDependencies, RequestRecord
from .exchange import HttpExchange
from .handles import build_nested_context, Handles, return_retry_tokens
from .headers import (
    ATTEMPT,
    AUTHORIZATION,
    CONTEXT,
    filter_request_headers,
    HANDLE,
    Headers,
    IDEMPOTENCY_KEY,
    LOAD,
    NODES,
    RETRY_TOKENS,
    SHED,
    TIMEOUT_MS,
    TRACEPARENT,
)
from .routing import Router

BEARER_PREFIX = "bearer "
MAX_TIMEOUT_SECONDS = 600.0
MAX_IDEMPOTENCY_KEY_LENGTH = 128
MAX_ADVERTISED_NODES = 3


class RateLimiter(Protocol):
    """Charges root calls against the rate limit of their workspace."""

    async def charge(self, workspace: str, max_wait: float) -> None:
        """Spend one token within ``max_wait`` seconds, or raise a refusal."""


class OperationRecorder(Protocol):
    """Records which operations, by idempotency key, have run."""

    async def begin(self, workspace: str, operation: str, attempt: int) -> str:
        """Return the instance that records the attempt, or raise a refusal."""

    async def finish(
        self,
        instance: str,
        workspace: str,
        operation: str,
        attempt: int,
        verdict: Verdict,
    ) -> None:
        """Record the verdict of an attempt at the instance that ``begin`` returned."""


class CallersEntry(Entry):
    """Serves callers: checks the key, charges the rate limit, dispatches the call.

    Args:
        dependencies: Objects that the entries of the node share.
        dispatcher: Dispatches the calls.
        router: Knows the nodes that serve a service, which are advertised to callers.
        rate_limiter: Charges each call against its workspace's rate.
        recorder: Records operations that have an idempotency key.
    """

    listener = "callers"

    def __init__(
        self,
        dependencies: EntryDependencies,
        dispatcher: Dispatcher,
        router: Router,
        rate_limiter: RateLimiter,
        recorder: OperationRecorder,
    ):
        super().__init__(dependencies)
        self._dispatcher = dispatcher
        self._router = router
        self._rate_limiter = rate_limiter
        self._recorder = recorder

    async def _handle(self, exchange: HttpExchange, record: RequestRecord) -> None:
        record.trace_id, trace = self._read_trace(exchange)
        self._check_ready()
        target = self._split_target(exchange, record)
        context = self._authenticate(exchange, record, trace, target)
        self._check_configuration_age(context.workspace)
        name = f"{exchange.method} {record.service}"
        with self._dependencies.tracer.trace(name, trace, context.workspace) as span:
            context.call = span or context.call
            headers = filter_request_headers(exchange.headers)
            body = await self._read_body(exchange, context)
            call = Call(record.service, exchange.method, target, headers, body, context)
            record.call = call
            # The rate is charged after all other checks: a refused call costs no token.
            await self._rate_limiter.charge(context.workspace, context.remaining)
            reply = await self._dispatch_or_record(exchange, call)
            await self._send_reply(exchange, reply, record)

    async def _read_body(self, exchange: HttpExchange, context: Context) -> Body:
        """Buffer a small body within the deadline; leave a large one to be streamed."""
        try:
            async with asyncio.timeout(context.remaining):
                return await exchange.read_body()
        except TimeoutError as error:
            detail = "the body was not received before the deadline"
            raise not_run(Reason.DEADLINE_EXCEEDED, detail) from error

    async def _dispatch_or_record(self, exchange: HttpExchange, call: Call) -> Reply:
        operation = exchange.get_header(IDEMPOTENCY_KEY)
        if not operation or call.context.idempotent:
            return await self._dispatch(call)
        if len(operation) > MAX_IDEMPOTENCY_KEY_LENGTH:
            raise not_run(
                Reason.MALFORMED_REQUEST,
                "Idempotency-Key is longer than 128 characters",
            )
        return await self._run_recorded(call, operation, _read_attempt(exchange))

    async def _run_recorded(self, call: Call, operation: str, attempt: int) -> Reply:
        """Run an operation unless it has run before, and record its verdict."""
        workspace = call.context.workspace
        recording_instance = await self._recorder.begin(workspace, operation, attempt)
        verdict = Verdict.MAY_HAVE_RUN
        reply: Reply | None = None
        try:
            reply = await self._dispatch(call)
            verdict = Verdict.RAN
        except Refusal as refusal:
            verdict = refusal.verdict
            raise
        finally:
            try:
                await self._recorder.finish(
                    recording_instance, workspace, operation, attempt, verdict
                )
            except BaseException:
                # For example, the caller disconnected meanwhile. The reply will not
                # be sent, so its connection and slot are released here.
                if reply is not None:
                    reply.close()
                raise
        return reply

    async def _dispatch(self, call: Call) -> Reply:
        return await self._dispatcher.dispatch(
            call, lambda: self._check_key(call.context)
        )

    def _read_trace(self, exchange: HttpExchange) -> tuple[str, TraceParent]:
        trace = parse_traceparent(exchange.get_header(TRACEPARENT))
        if trace is None:
            sampled = self._dependencies.tracer.sample()
            trace = TraceParent(generate_trace_id(), generate_span_id(), sampled)
        return trace.trace, trace

    def _authenticate(
        self,
        exchange: HttpExchange,
        record: RequestRecord,
        trace: TraceParent,
        target: bytes,
    ) -> Context:
        document = self._dependencies.configuration.document
        authorization = exchange.get_header(AUTHORIZATION)
        if not authorization.lower().startswith(BEARER_PREFIX):
            raise not_run(
                Reason.KEY_MISSING, "Authorization: Bearer KEY header is missing"
            )
        key = document.find_key_by_digest(
            digest_key(authorization[len(BEARER_PREFIX) :].strip())
        )
        if key is None:
            raise not_run(Reason.KEY_UNKNOWN, "unknown API key")
        record.workspace = key.workspace
        if document.is_withdrawn(key.workspace, key.id, key.batch):
            raise not_run(Reason.KEY_WITHDRAWN, "the API key was withdrawn")
        path = target.partition(b"?")[0].decode("latin-1")
        service = record.service
        return Context(
            call=generate_span_id(),
            trace=trace,
            workspace=key.workspace,
            key=key.id,
            importance=document.get_importance(service, exchange.method, path),
            deadline=time.monotonic() + self._read_timeout(exchange, document, service),
            depth=0,
            retry_tokens=self._dependencies.settings.retries.tokens,
            idempotent=self._is_idempotent(exchange, service, path),
        )

    def _read_timeout(
        self, exchange: HttpExchange, document: Document, service: str
    ) -> float:
        text = exchange.get_header(TIMEOUT_MS)
        if not text:
            configured_timeout = document.services[service].timeout
            return configured_timeout or self._dependencies.settings.timeouts.call
        if not text.isdecimal() or not 0 < int(text) <= MAX_TIMEOUT_SECONDS * 1000:
            name = TIMEOUT_MS.decode()
            raise not_run(Reason.MALFORMED_REQUEST, f"invalid number of ms in {name}")
        return int(text) / 1000

    def _check_configuration_age(self, workspace: str) -> None:
        """Refuse the call if its workspace does not accept a configuration this old.

        A zone that is cut off from the platform and from other zones does not receive
        the withdrawal of a key, and cannot tell this from an outage of the platform.
        """
        max_age = self._dependencies.configuration.document.get_stale_after(workspace)
        if max_age is not None and self._dependencies.configuration.age > max_age:
            detail = f"the configuration is older than {max_age:g} s"
            raise not_run(Reason.CONFIGURATION_STALE, detail, retry_after=1.0)

    def _build_headers(self, record: RequestRecord) -> Headers:
        headers = super()._build_headers(record)
        headers.append((b"primroseglade-trace", record.trace_id.encode()))
        # Only callers with a valid key receive addresses of nodes.
        nodes = self._router.find_nodes(record.service, MAX_ADVERTISED_NODES)
        if nodes and record.workspace:
            headers.append((NODES, ",".join(nodes).encode()))
        return headers


class RelayEntry(Entry):
    """Serves calls that other nodes relay to the backend server of this node.

    Args:
        dependencies: Objects that the entries of the node share.
        backend: The backend server of this node.
        context_signer: Verifies and decodes call contexts.
    """

    listener = "relay"

    def __init__(
        self,
        dependencies: EntryDependencies,
        backend: BackendServer,
        context_signer: ContextSigner,
    ):
        super().__init__(dependencies)
        self._backend = backend
        self._context_signer = context_signer

    async def _handle(self, exchange: HttpExchange, record: RequestRecord) -> None:
        value = exchange.get_header(CONTEXT).encode("latin-1")
        if not value:
            raise not_run(
                Reason.CONTEXT_INVALID, "this address accepts only calls from nodes"
            )
        context = self._context_signer.read(value)
        record.trace_id, record.workspace = context.root, context.workspace
        self._check_ready()
        target = self._split_target(exchange, record)
        self._check_key(context)
        body = await exchange.read_body()
        headers = filter_request_headers(exchange.headers)
        call = Call(record.service, exchange.method, target, headers, body, context)
        record.call = call
        parent = TraceParent(context.root, context.call, context.trace.sampled)
        name = f"relayed {record.service}"
        with self._dependencies.tracer.trace(name, parent, context.workspace):
            reply = await self._backend.serve(call)
            await self._send_reply(exchange, reply, record)

    def _build_headers(self, record: RequestRecord) -> Headers:
        headers = super()._build_headers(record)
        headers.append((LOAD, self._backend.load))
        if record.call is not None:
            tokens = record.call.context.retry_tokens
            headers.append((RETRY_TOKENS, b"%d" % tokens))
        if record.shed:
            headers.append((SHED, b"1"))
        return headers


class NestedEntry(Entry):
    """Serves the nested calls of the backend server of this node.

    Args:
        dependencies: Objects that the entries of the node share.
        dispatcher: Dispatches the calls.
        handles: Maps handles to the calls in flight on the backend server.
    """

    listener = "nested"

    def __init__(
        self, dependencies: EntryDependencies, dispatcher: Dispatcher, handles: Handles
    ):
        super().__init__(dependencies)
        self._dispatcher = dispatcher
        self._handles = handles

    async def _handle(self, exchange: HttpExchange, record: RequestRecord) -> None:
        handle = exchange.get_header(HANDLE).encode("latin-1")
        parent = self._handles.find_context(handle)
        record.trace_id, record.workspace = parent.root, parent.workspace
        target = self._split_target(exchange, record)
        path = target.partition(b"?")[0].decode("latin-1")
        service = record.service
        document = self._dependencies.configuration.document
        importance: Importance = document.get_importance(service, exchange.method, path)
        idempotent = self._is_idempotent(exchange, service, path)
        context = build_nested_context(parent, idempotent, importance)
        name = f"nested {service}"
        try:
            with self._dependencies.tracer.trace(
                name, context.trace, context.workspace
            ) as span:
                context.call = span or context.call
                body: Body = await exchange.read_body()
                headers = filter_request_headers(exchange.headers)
                call = Call(service, exchange.method, target, headers, body, context)
                reply = await self._dispatcher.dispatch(
                    call, lambda: self._check_key(context)
                )
                parent.shed = parent.shed or reply.shed
                await self._send_reply(exchange, reply, record)
        except Refusal as refusal:
            parent.shed = parent.shed or refusal.reason in LOAD_SHEDDING_REASONS
            raise
        finally:
            return_retry_tokens(parent, context)


def _read_attempt(exchange: HttpExchange) -> int:
    """Return the number of this attempt at an operation; 1 is the first."""
    text = exchange.get_header(ATTEMPT) or "1"
    if not text.isdecimal() or int(text) < 1:
        raise not_run(
            Reason.MALFORMED_REQUEST, f"{ATTEMPT.decode()} is not a positive integer"
        )
    return int(text)
