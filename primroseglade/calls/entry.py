"""What every way into a node has in common: answering, refusing, telling of it."""

import asyncio
import time
from typing import Any

from ..fleet.configuration import Configuration
from ..observe.decisions import Decision, Decisions
from ..observe.events import CALL_FAILED, CALL_REFUSED, Journal
from ..observe.metrics import Metrics
from ..observe.traces import (
    Tracer,
)
from ..settings.node import NodeSettings
from ..verdicts import may_have_run, not_run, Reason, Refusal, Verdict
from .call import Answer, Call, Context, IDEMPOTENT_METHODS, InFlight
from .exchange import CallerGoneError, HttpExchange, Receive, Send
from .handles import refuse_withdrawn
from .headers import (
    Headers,
)

SLOW_SECONDS = 1.0


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
        refusal = refuse_withdrawn(document.is_key_valid, context)
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
