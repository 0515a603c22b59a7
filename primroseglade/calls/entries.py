"""The three ways in: from callers, from other nodes, from the backend server."""

import asyncio
import time
from typing import Any, Protocol

from ..document.document import digest_key, Document
from ..fleet.configuration import Configuration
from ..limits.importance import Importance
from ..observe.decisions import Decision, Decisions
from ..observe.events import CALL_FAILED, CALL_REFUSED, Journal
from ..observe.metrics import Metrics
from ..observe.traces import (
    generate_span_id,
    generate_trace_id,
    parse_traceparent,
    TraceParent,
    Tracer,
)
from ..settings.node import NodeSettings
from ..verdicts import may_have_run, not_run, Reason, Refusal, SHEDDING, Verdict
from .backend import BackendServer
from .call import Answer, Body, Call, Context, IDEMPOTENT_METHODS, InFlight
from .context import ContextSeal
from .dispatch import Dispatcher
from .exchange import CallerGoneError, HttpExchange, Receive, Send
from .handles import descend, give_back, Handles, refuse_withdrawn
from .headers import (
    ATTEMPT,
    AUTHORIZATION,
    CONTEXT,
    HANDLE,
    Headers,
    IDEMPOTENCY_KEY,
    keep_request_headers,
    LOAD,
    NODES,
    RETRY_TOKENS,
    SHED,
    TIMEOUT_MS,
    TRACEPARENT,
)
from .routing import Router

BEARER = "bearer "
LONGEST_TIMEOUT_SECONDS = 600.0
LONGEST_OPERATION_ID = 128
SLOW_SECONDS = 1.0
NODES_TOLD = 3


class Rates(Protocol):
    """Charges root calls to their workspace's rate."""

    async def charge(self, workspace: str, patience: float) -> None:
        """Spend one token, or raise a refusal."""


class Operations(Protocol):
    """Remembers which operations have run."""

    async def begin(self, workspace: str, operation: str, attempt: int) -> str:
        """Return who records the attempt, or raise a refusal."""

    async def finish(
        self, name: str, workspace: str, operation: str, attempt: int, verdict: Verdict
    ) -> None:
        """Note what became of it."""


class Tools:
    """What every entry needs of its node."""

    __slots__ = (
        "configuration",
        "decisions",
        "in_flight",
        "journal",
        "metrics",
        "settings",
        "tracer",
    )

    def __init__(
        self,
        settings: NodeSettings,
        configuration: Configuration,
        journal: Journal,
        metrics: Metrics,
        tracer: Tracer,
        decisions: Decisions,
    ):
        self.settings = settings
        self.configuration = configuration
        self.journal = journal
        self.metrics = metrics
        self.tracer = tracer
        self.decisions = decisions
        self.in_flight = InFlight()


class Progress:
    """How far a request came, for what is told of it afterwards."""

    __slots__ = ("call", "service", "shed", "started", "trace", "workspace")

    def __init__(self) -> None:
        self.started = time.monotonic()
        self.call: Call | None = None
        self.shed = False
        self.service = ""
        self.workspace = ""
        self.trace = ""

    @property
    def seconds(self) -> float:
        """Time since the request's head was read."""
        return time.monotonic() - self.started


class Entry:
    """An ASGI application that serves calls; one task a request."""

    listener = ""

    def __init__(self, tools: Tools):
        self._tools = tools
        self._closing = False

    def close_after_answers(self) -> None:
        """Ask clients with each answer to go elsewhere: this node stops."""
        self._closing = True

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send):
        """Serve one request."""
        limits = self._tools.settings.limits
        exchange = HttpExchange(scope, receive, send, limits.body_buffer, limits.body)
        task = asyncio.current_task()
        assert task is not None
        exchange.cancel_with(task)
        progress = Progress()
        with self._tools.in_flight:
            try:
                await self._serve(exchange, progress)
            except (asyncio.CancelledError, CallerGoneError):
                # The caller went away; whatever the call held was given back on the
                # way here, and there is nobody to answer.
                refusal = Refusal(Reason.CANCELLED, Verdict.MAY_HAVE_RUN)
                self._tell(progress, refusal)

    async def _serve(self, exchange: HttpExchange, progress: Progress) -> None:
        try:
            await self._answer(exchange, progress)
            self._tell(progress, None)
        except Refusal as refusal:
            self._tell(progress, refusal)
            if exchange.started:
                # The answer broke off in the middle. Ending it properly would pass
                # a part for the whole, so the connection is cut instead.
                exchange.cut()
                return
            added = self._build_headers(progress)
            await exchange.refuse(refusal, self._tools.settings.instance, added)
        except Exception as error:
            text = f"{type(error).__name__}: {error}"
            self._tools.journal.emit(CALL_FAILED, error=text, trace=progress.trace)
            refusal = may_have_run(Reason.ANSWER_BROKEN, "the node failed")
            self._tell(progress, refusal)
            if exchange.started:
                exchange.cut()
                return
            await exchange.refuse(refusal, self._tools.settings.instance, [])

    async def _answer(self, exchange: HttpExchange, progress: Progress) -> None:
        raise NotImplementedError

    def _build_headers(self, progress: Progress) -> Headers:
        """Return what the node adds to an answer."""
        return [(b"connection", b"close")] if self._closing else []

    async def _send_answer(
        self, exchange: HttpExchange, answer: Answer, progress: Progress
    ) -> None:
        progress.shed = answer.shed
        try:
            await exchange.answer(answer, self._build_headers(progress))
        finally:
            answer.close()

    def _check_ready(self) -> None:
        if not self._tools.configuration.ready:
            detail = "this instance has no configuration yet"
            raise not_run(Reason.CONFIGURATION_MISSING, detail, retry_after=1.0)

    def _check_key(self, context: Context) -> None:
        document = self._tools.configuration.document
        refusal = refuse_withdrawn(document.holds_key, context)
        if refusal is not None:
            raise refusal

    def _tell(self, progress: Progress, refusal: Refusal | None) -> None:
        tools = self._tools
        seconds = progress.seconds
        outcome = refusal.reason.code if refusal else "served"
        tools.metrics.calls.labels(self.listener, outcome).inc()
        tools.metrics.seconds.labels(self.listener).observe(seconds)
        if refusal is None and seconds < SLOW_SECONDS:
            return
        decision = Decision(
            trace=progress.trace,
            listener=self.listener,
            service=progress.service,
            workspace=progress.workspace,
            outcome=outcome,
            verdict=refusal.verdict.value if refusal else Verdict.RAN.value,
            detail=refusal.detail if refusal else "slow",
            instance=(refusal and refusal.instance) or tools.settings.instance,
            next_offset=tools.configuration.next_offset,
            seconds=round(seconds, 6),
        )
        tools.decisions.add(decision)
        if refusal is not None:
            tools.journal.emit(
                CALL_REFUSED,
                reason=outcome,
                verdict=refusal.verdict.value,
                trace=progress.trace,
                service=progress.service,
                workspace=progress.workspace,
            )

    def _split_target(self, exchange: HttpExchange, progress: Progress) -> bytes:
        """Note the service, the first segment of the path, and return the rest."""
        first, slash, rest = exchange.target[1:].partition(b"/")
        if not slash:
            first, question, query = first.partition(b"?")
            rest = question + query
        progress.service = first.decode("latin-1")
        document = self._tools.configuration.document
        if progress.service not in document.services:
            detail = f"there is no service {progress.service[:60]!r}"
            raise not_run(Reason.SERVICE_UNKNOWN, detail)
        return b"/" + rest

    def _is_idempotent(self, exchange: HttpExchange, service: str, path: str) -> bool:
        if exchange.method in IDEMPOTENT_METHODS:
            return True
        known = self._tools.configuration.document.services[service]
        return path.startswith(known.idempotent) if known.idempotent else False


class CallersEntry(Entry):
    """Takes callers' requests: key, rate, then a backend server.

    Args:
        tools: Of the node.
        dispatcher: Gets calls answered.
        router: Knows better nodes to tell the caller of.
        rates: Charges the workspace.
        operations: Remember what has run.
    """

    listener = "callers"

    def __init__(
        self,
        tools: Tools,
        dispatcher: Dispatcher,
        router: Router,
        rates: Rates,
        operations: Operations,
    ):
        super().__init__(tools)
        self._dispatcher = dispatcher
        self._router = router
        self._rates = rates
        self._operations = operations

    async def _answer(self, exchange: HttpExchange, progress: Progress) -> None:
        progress.trace, trace = self._read_trace(exchange)
        self._check_ready()
        target = self._split_target(exchange, progress)
        context = self._authenticate(exchange, progress, trace, target)
        self._check_fresh(context.workspace)
        span = self._tools.tracer.start(f"{exchange.method} {progress.service}", trace)
        if span is not None:
            context.call = f"{span.get_span_context().span_id:016x}"
        try:
            headers = keep_request_headers(exchange.headers)
            body = await exchange.read_body()
            call = Call(
                progress.service, exchange.method, target, headers, body, context
            )
            progress.call = call
            # Charged last of all checks: what is refused above costs no token.
            await self._rates.charge(context.workspace, context.remaining)
            await self._run(exchange, call, progress)
        except Refusal as refusal:
            if span is not None:
                span.set_attribute("primroseglade.reason", refusal.reason.code)
                span.set_attribute("primroseglade.verdict", refusal.verdict.value)
            raise
        finally:
            if span is not None:
                span.set_attribute("primroseglade.workspace", context.workspace)
                span.end()

    async def _run(
        self, exchange: HttpExchange, call: Call, progress: Progress
    ) -> None:
        operation = exchange.get_header(IDEMPOTENCY_KEY)
        if not operation or call.context.idempotent:
            answer = await self._dispatch(call)
            await self._send_answer(exchange, answer, progress)
            return
        attempt = _read_attempt(exchange)
        if len(operation) > LONGEST_OPERATION_ID:
            raise not_run(Reason.MALFORMED_REQUEST, "Idempotency-Key is too long")
        workspace = call.context.workspace
        name = await self._operations.begin(workspace, operation, attempt)
        verdict = Verdict.MAY_HAVE_RUN
        try:
            answer = await self._dispatch(call)
            verdict = Verdict.RAN
        except Refusal as refusal:
            verdict = refusal.verdict
            raise
        finally:
            await self._operations.finish(name, workspace, operation, attempt, verdict)
        await self._send_answer(exchange, answer, progress)

    async def _dispatch(self, call: Call) -> Answer:
        return await self._dispatcher.dispatch(
            call, lambda: self._check_key(call.context)
        )

    def _read_trace(self, exchange: HttpExchange) -> tuple[str, TraceParent]:
        trace = parse_traceparent(exchange.get_header(TRACEPARENT))
        if trace is None:
            sampled = self._tools.tracer.sample()
            trace = TraceParent(generate_trace_id(), generate_span_id(), sampled)
        return trace.trace, trace

    def _authenticate(
        self,
        exchange: HttpExchange,
        progress: Progress,
        trace: TraceParent,
        target: bytes,
    ) -> Context:
        document = self._tools.configuration.document
        authorization = exchange.get_header(AUTHORIZATION)
        if not authorization.lower().startswith(BEARER):
            raise not_run(Reason.KEY_MISSING, "Authorization: Bearer KEY is missing")
        key = document.find_key(digest_key(authorization[len(BEARER) :].strip()))
        if key is None:
            raise not_run(Reason.KEY_UNKNOWN, "no workspace has this key")
        progress.workspace = key.workspace
        if document.is_withdrawn(key.workspace, key.id, key.batch):
            raise not_run(Reason.KEY_WITHDRAWN, "the key was withdrawn")
        path = target.partition(b"?")[0].decode("latin-1")
        service = progress.service
        return Context(
            call=generate_span_id(),
            trace=trace,
            workspace=key.workspace,
            key=key.id,
            importance=document.get_importance(service, exchange.method, path),
            deadline=time.monotonic() + self._read_timeout(exchange, document, service),
            depth=0,
            retry_tokens=self._tools.settings.retries.tokens,
            idempotent=self._is_idempotent(exchange, service, path),
        )

    def _read_timeout(
        self, exchange: HttpExchange, document: Document, service: str
    ) -> float:
        text = exchange.get_header(TIMEOUT_MS)
        if not text:
            known = document.services[service].timeout
            return known or self._tools.settings.timeouts.call
        if not text.isdecimal() or not 0 < int(text) <= LONGEST_TIMEOUT_SECONDS * 1000:
            name = TIMEOUT_MS.decode()
            raise not_run(Reason.MALFORMED_REQUEST, f"{name} is not a number of ms")
        return int(text) / 1000

    def _check_fresh(self, workspace: str) -> None:
        """Refuse a workspace that would rather stop than run on old configuration.

        A zone that is cut off from the platform and from other zones cannot learn of
        a withdrawn key, and cannot tell that from an outage of the platform.
        """
        bound = self._tools.configuration.document.get_stale_after(workspace)
        if bound is not None and self._tools.configuration.age > bound:
            detail = f"the configuration is older than {bound:g} s"
            raise not_run(Reason.CONFIGURATION_STALE, detail, retry_after=1.0)

    def _build_headers(self, progress: Progress) -> Headers:
        headers = super()._build_headers(progress)
        headers.append((b"primroseglade-trace", progress.trace.encode()))
        nodes = self._router.find_nodes(progress.service, NODES_TOLD)
        if nodes:
            headers.append((NODES, ",".join(nodes).encode()))
        return headers


class RelayEntry(Entry):
    """Takes calls that another node relays, for the backend server beside this one.

    Args:
        tools: Of the node.
        backend: The backend server.
        seal: Reads contexts.
    """

    listener = "relay"

    def __init__(self, tools: Tools, backend: BackendServer, seal: ContextSeal):
        super().__init__(tools)
        self._backend = backend
        self._seal = seal

    async def _answer(self, exchange: HttpExchange, progress: Progress) -> None:
        value = exchange.get_header(CONTEXT).encode("latin-1")
        if not value:
            raise not_run(Reason.CONTEXT_INVALID, "only nodes call this address")
        context = self._seal.read(value)
        progress.trace, progress.workspace = context.root, context.workspace
        self._check_ready()
        target = self._split_target(exchange, progress)
        self._check_key(context)
        body = await exchange.read_body()
        headers = keep_request_headers(exchange.headers)
        call = Call(progress.service, exchange.method, target, headers, body, context)
        progress.call = call
        parent = TraceParent(context.root, context.call, context.trace.sampled)
        span = self._tools.tracer.start(f"relayed {progress.service}", parent)
        try:
            answer = await self._backend.serve(call)
        finally:
            if span is not None:
                span.end()
        await self._send_answer(exchange, answer, progress)

    def _build_headers(self, progress: Progress) -> Headers:
        headers = super()._build_headers(progress)
        headers.append((LOAD, self._backend.load))
        if progress.call is not None:
            tokens = progress.call.context.retry_tokens
            headers.append((RETRY_TOKENS, b"%d" % tokens))
        if progress.shed:
            headers.append((SHED, b"1"))
        return headers


class NestedEntry(Entry):
    """Takes the calls that the backend server beside this node makes onward.

    Args:
        tools: Of the node.
        dispatcher: Gets calls answered.
        handles: The calls in flight that a handle may stand for.
    """

    listener = "nested"

    def __init__(self, tools: Tools, dispatcher: Dispatcher, handles: Handles):
        super().__init__(tools)
        self._dispatcher = dispatcher
        self._handles = handles

    async def _answer(self, exchange: HttpExchange, progress: Progress) -> None:
        handle = exchange.get_header(HANDLE).encode("latin-1")
        parent = self._handles.find(handle)
        progress.trace, progress.workspace = parent.root, parent.workspace
        target = self._split_target(exchange, progress)
        path = target.partition(b"?")[0].decode("latin-1")
        service = progress.service
        document = self._tools.configuration.document
        importance: Importance = document.get_importance(service, exchange.method, path)
        idempotent = self._is_idempotent(exchange, service, path)
        context = descend(parent, idempotent, importance)
        span = self._tools.tracer.start(f"nested {service}", context.trace)
        if span is not None:
            context.call = f"{span.get_span_context().span_id:016x}"
        try:
            body: Body = await exchange.read_body()
            headers = keep_request_headers(exchange.headers)
            call = Call(service, exchange.method, target, headers, body, context)
            answer = await self._dispatcher.dispatch(
                call, lambda: self._check_key(context)
            )
            parent.shed = parent.shed or answer.shed
            await self._send_answer(exchange, answer, progress)
        except Refusal as refusal:
            parent.shed = parent.shed or refusal.reason in SHEDDING
            raise
        finally:
            give_back(parent, context)
            if span is not None:
                span.end()


def _read_attempt(exchange: HttpExchange) -> int:
    """Return the number of a caller's attempt at an operation, 1 for the first."""
    text = exchange.get_header(ATTEMPT) or "1"
    if not text.isdecimal() or int(text) < 1:
        raise not_run(Reason.MALFORMED_REQUEST, f"{ATTEMPT.decode()} is not a number")
    return int(text)
