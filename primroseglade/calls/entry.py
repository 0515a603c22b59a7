"""Base class of a node's entries: replies, refusals, metrics and decision records.

A decision record describes the outcome of a call that was refused or slow.
"""

import asyncio
import time
from typing import Any

from ..fleet.configuration import Configuration
from ..observe.decisions import CallDecision, DecisionLog
from ..observe.events import CALL_FAILED, CALL_REFUSED, Journal
from ..observe.metrics import Metrics
from ..observe.traces import (
    Tracer,
)
from ..settings.node import NodeSettings
from ..verdicts import may_have_run, not_run, Reason, Refusal, Verdict
from .call import Call, Context, IDEMPOTENT_METHODS, InFlight, Reply
from .exchange import CallerDisconnectedError, HttpExchange, Receive, Send
from .handles import build_key_refusal
from .headers import (
    Headers,
)

# Calls that take at least this long get a decision record even if they succeed.
SLOW_CALL_SECONDS = 1.0


class EntryDependencies:
    """The objects of a node that all of its entries share."""

    __slots__ = (
        "configuration",
        "decision_records",
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
        decision_records: DecisionLog,
    ):
        self.settings = settings
        self.configuration = configuration
        self.journal = journal
        self.metrics = metrics
        self.tracer = tracer
        self.decision_records = decision_records
        self.in_flight = InFlight()


class RequestRecord:
    """Data of a request for its metrics, decision record and log events."""

    __slots__ = ("call", "service", "shed", "started", "trace_id", "workspace")

    def __init__(self) -> None:
        self.started = time.monotonic()
        self.call: Call | None = None
        self.shed = False
        self.service = ""
        self.workspace = ""
        self.trace_id = ""

    @property
    def seconds(self) -> float:
        """Seconds since the request's head was read."""
        return time.monotonic() - self.started


class Entry:
    """An ASGI application that serves calls, with one task per request."""

    listener = ""

    def __init__(self, dependencies: EntryDependencies):
        self._dependencies = dependencies
        self._closing = False

    def disable_keep_alive(self) -> None:
        """Send ``Connection: close`` with each response, as this node is stopping."""
        self._closing = True

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send):
        """Serve one request."""
        limits = self._dependencies.settings.limits
        exchange = HttpExchange(scope, receive, send, limits.body_buffer, limits.body)
        task = asyncio.current_task()
        assert task is not None
        exchange.cancel_on_disconnect(task)
        record = RequestRecord()
        with self._dependencies.in_flight:
            try:
                await self._serve(exchange, record)
            except (asyncio.CancelledError, CallerDisconnectedError):
                # The caller disconnected. The call's connection and slot have been
                # released by now, and nobody is left to receive a response.
                refusal = Refusal(Reason.CANCELLED, Verdict.MAY_HAVE_RUN)
                self._record_outcome(record, refusal)

    async def _serve(self, exchange: HttpExchange, record: RequestRecord) -> None:
        try:
            await self._handle(exchange, record)
            self._record_outcome(record, None)
        except Refusal as refusal:
            self._record_outcome(record, refusal)
            if exchange.started:
                # The response is truncated. Ending it properly would make it look
                # complete, so the connection is aborted instead.
                exchange.abort()
                return
            added = self._build_headers(record)
            await exchange.send_refusal(
                refusal, self._dependencies.settings.instance, added
            )
        except Exception as error:
            text = f"{type(error).__name__}: {error}"
            self._dependencies.journal.emit(
                CALL_FAILED, error=text, trace=record.trace_id
            )
            refusal = may_have_run(Reason.ANSWER_BROKEN, "internal error of the node")
            self._record_outcome(record, refusal)
            if exchange.started:
                exchange.abort()
                return
            await exchange.send_refusal(
                refusal, self._dependencies.settings.instance, []
            )

    async def _handle(self, exchange: HttpExchange, record: RequestRecord) -> None:
        raise NotImplementedError

    def _build_headers(self, record: RequestRecord) -> Headers:
        """Return the headers that the node adds to a response."""
        return [(b"connection", b"close")] if self._closing else []

    async def _send_reply(
        self, exchange: HttpExchange, reply: Reply, record: RequestRecord
    ) -> None:
        record.shed = reply.shed
        try:
            await exchange.send_reply(reply, self._build_headers(record))
        finally:
            reply.close()

    def _check_ready(self) -> None:
        if not self._dependencies.configuration.ready:
            detail = "this instance has no configuration yet"
            raise not_run(Reason.CONFIGURATION_MISSING, detail, retry_after=1.0)

    def _check_key(self, context: Context) -> None:
        document = self._dependencies.configuration.document
        refusal = build_key_refusal(document.is_key_valid, context)
        if refusal is not None:
            raise refusal

    def _record_outcome(self, record: RequestRecord, refusal: Refusal | None) -> None:
        dependencies = self._dependencies
        seconds = record.seconds
        outcome = refusal.reason.code if refusal else "served"
        dependencies.metrics.calls.labels(self.listener, outcome).inc()
        dependencies.metrics.seconds.labels(self.listener).observe(seconds)
        if refusal is None and seconds < SLOW_CALL_SECONDS:
            return
        decision = CallDecision(
            trace=record.trace_id,
            listener=self.listener,
            service=record.service,
            workspace=record.workspace,
            outcome=outcome,
            verdict=refusal.verdict.value if refusal else Verdict.RAN.value,
            detail=refusal.detail if refusal else "slow",
            instance=(refusal and refusal.instance) or dependencies.settings.instance,
            next_offset=dependencies.configuration.next_offset,
            seconds=round(seconds, 6),
        )
        dependencies.decision_records.add(decision)
        if refusal is not None:
            dependencies.journal.emit(
                CALL_REFUSED,
                reason=outcome,
                verdict=refusal.verdict.value,
                trace=record.trace_id,
                service=record.service,
                workspace=record.workspace,
            )

    def _split_target(self, exchange: HttpExchange, record: RequestRecord) -> bytes:
        """Record the service (the first path segment), and return the rest."""
        first, slash, rest = exchange.target[1:].partition(b"/")
        if not slash:
            first, question, query = first.partition(b"?")
            rest = question + query
        record.service = first.decode("latin-1")
        document = self._dependencies.configuration.document
        if record.service not in document.services:
            detail = f"unknown service {record.service[:60]!r}"
            raise not_run(Reason.SERVICE_UNKNOWN, detail)
        return b"/" + rest

    def _is_idempotent(self, exchange: HttpExchange, service: str, path: str) -> bool:
        if exchange.method in IDEMPOTENT_METHODS:
            return True
        definition = self._dependencies.configuration.document.services[service]
        return (
            path.startswith(definition.idempotent) if definition.idempotent else False
        )
