"""One span per hop, with W3C trace context propagated in and out."""

import collections
import contextlib
import random
from collections.abc import Iterator
from typing import Any

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.sampling import ALWAYS_ON
from opentelemetry.trace import NonRecordingSpan, Span, SpanContext, TraceFlags

from ..verdicts import Refusal

SAMPLED_FLAG = 0x01
TRACEPARENT_LENGTH = 55


class TraceParent:
    """The ids of a W3C ``traceparent`` header, in hex."""

    __slots__ = ("parent", "sampled", "trace")

    def __init__(self, trace: str, parent: str, sampled: bool):
        self.trace = trace
        self.parent = parent
        self.sampled = sampled

    def __str__(self) -> str:
        return f"00-{self.trace}-{self.parent}-{'01' if self.sampled else '00'}"


def parse_traceparent(text: str) -> TraceParent | None:
    """Return the ids of a header, or None if the header is absent or malformed.

    >>> str(parse_traceparent("00-" + "a" * 32 + "-" + "b" * 16 + "-01"))[-6:]
    'bbb-01'
    >>> parse_traceparent("nonsense") is None
    True
    """
    parts = text.split("-")
    if len(parts) < 4 or len(parts[1]) != 32 or len(parts[2]) != 16:
        return None
    try:
        ids = int(parts[1], 16), int(parts[2], 16)
        flags = int(parts[3], 16)
    except ValueError:
        return None
    if not all(ids) or parts[0] == "ff":
        return None
    return TraceParent(parts[1], parts[2], bool(flags & SAMPLED_FLAG))


def generate_trace_id() -> str:
    """Return a new trace id: 128 random bits in hex."""
    return f"{random.getrandbits(128) or 1:032x}"


def generate_span_id() -> str:
    """Return a new span id: 64 random bits in hex."""
    return f"{random.getrandbits(64) or 1:016x}"


class _RecentSpans(SpanProcessor):
    """Keeps the last spans for the operator address; none are exported."""

    def __init__(self, max_spans: int):
        self.spans: collections.deque[ReadableSpan] = collections.deque(
            maxlen=max_spans
        )

    def on_end(self, span: ReadableSpan) -> None:
        self.spans.append(span)


class Tracer:
    """Creates and keeps an instance's spans.

    Args:
        instance: Name of the instance.
        sample_ratio: Fraction traced of the root calls whose caller does not decide.
        max_spans: Number of ended spans kept.
    """

    def __init__(self, instance: str, sample_ratio: float, max_spans: int):
        self._sample_ratio = sample_ratio
        self._recent = _RecentSpans(max_spans)
        resource = Resource.create({"service.instance.id": instance})
        provider = TracerProvider(sampler=ALWAYS_ON, resource=resource)
        provider.add_span_processor(self._recent)
        self._tracer = provider.get_tracer("primroseglade")

    def sample(self) -> bool:
        """Decide whether to trace a root call whose caller does not decide."""
        return random.random() < self._sample_ratio

    def start(self, name: str, parent: TraceParent) -> Span | None:
        """Start a span, or return None if the call is not traced.

        Calls that are not traced do not reach the SDK: with the SDK's own sampler, each
        of them would cost almost as much as a span.
        """
        if not parent.sampled:
            return None
        context = SpanContext(
            trace_id=int(parent.trace, 16),
            span_id=int(parent.parent, 16),
            is_remote=True,
            trace_flags=TraceFlags(SAMPLED_FLAG),
        )
        parent_context = trace.set_span_in_context(NonRecordingSpan(context))
        return self._tracer.start_span(name, context=parent_context)

    @contextlib.contextmanager
    def trace(self, name: str, parent: TraceParent, workspace: str) -> Iterator[str]:
        """Run a block inside a span; record a refusal raised in it as attributes.

        Yields:
            Id of the span in hex, empty if the call is not traced.
        """
        span = self.start(name, parent)
        if span is None:
            yield ""
            return
        span.set_attribute("primroseglade.workspace", workspace)
        try:
            yield f"{span.get_span_context().span_id:016x}"
        except Refusal as refusal:
            span.set_attribute("primroseglade.reason", refusal.reason.code)
            span.set_attribute("primroseglade.verdict", refusal.verdict.value)
            raise
        finally:
            span.end()

    def find(self, trace_id: str) -> list[dict[str, Any]]:
        """Return the kept spans of a trace, in the order in which they ended."""
        wanted = int(trace_id, 16)
        return [
            {
                "name": span.name,
                "trace": f"{span.context.trace_id:032x}",
                "span": f"{span.context.span_id:016x}",
                "parent": f"{span.parent.span_id:016x}" if span.parent else "",
                "start_ns": span.start_time,
                "end_ns": span.end_time,
                "attributes": dict(span.attributes or {}),
            }
            for span in self._recent.spans
            if span.context.trace_id == wanted
        ]
