"""Metrics of one node, in a registry of its own."""

import prometheus_client
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

LATENCY_BUCKETS_SECONDS = (
    0.0005,
    0.001,
    0.002,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    2.5,
    5,
    10,
)


class Metrics:
    """All metrics of a node; ``docs/METRICS.md`` lists them."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self.calls = self._counter(
            "calls_total",
            "Calls answered, by listener and outcome (reason of a refusal, or served).",
            ["listener", "outcome"],
        )
        self.seconds = Histogram(
            "primroseglade_call_seconds",
            "Time from the request head to the end of the answer.",
            ["listener"],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self.relayed = self._counter("relayed_total", "Calls sent to another node.")
        self.retries = self._counter(
            "retries_total", "Retries after a refusal or a lost connection."
        )
        self.retries_denied = self._counter(
            "retries_denied_total", "Retries denied, by the limit reached.", ["bound"]
        )
        self.throttled = self._counter(
            "throttled_total",
            "Calls refused at once because they would be shed downstream.",
        )
        self.queue_seconds = Histogram(
            "primroseglade_queue_seconds",
            "Time in the admission queue.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self.in_flight = self._gauge(
            "in_flight", "Calls in flight at the node's own backend server."
        )
        self.queued = self._gauge("queued", "Calls in the admission queue.")
        self.limit = self._gauge(
            "concurrency_limit", "Maximum number of calls in flight."
        )
        self.tokens = self._counter(
            "rate_tokens_total", "Rate tokens granted, spent or denied.", ["fate"]
        )
        self.leases = self._gauge(
            "rate_leases", "Rate partitions whose lease this node holds."
        )
        self.members = self._gauge("members", "Known members, by state.", ["state"])
        self.messages = self._counter(
            "control_messages_total",
            "Control messages, by method and direction.",
            ["method", "direction"],
        )
        self.bytes = self._counter(
            "control_bytes_total", "Bytes of control messages.", ["direction"]
        )
        self.refused_messages = self._counter(
            "refused_messages_total", "Control messages refused, by cause.", ["cause"]
        )
        self.edits = self._counter(
            "edits_total", "Configuration records applied, by verdict.", ["verdict"]
        )
        self.next_offset = self._gauge(
            "configuration_next_offset", "Offset of the next record to apply."
        )
        self.configuration_age = self._gauge(
            "configuration_age_seconds",
            "Time since the configuration was last known to be the newest.",
        )
        self.silent_connections = self._counter(
            "silent_connections_total",
            "Unresponsive connections to the backend server.",
        )

    def render(self) -> bytes:
        """Return the metrics in Prometheus's text format."""
        return prometheus_client.generate_latest(self._registry)

    def read(self, name: str, **labels: str) -> float:
        """Return the value of one sample, or 0 if it has no value yet."""
        return self._registry.get_sample_value(f"primroseglade_{name}", labels) or 0.0

    def describe(self) -> list[tuple[str, str, str]]:
        """Return name, type and help text of every metric."""
        return [
            (family.name, family.type, family.documentation)
            for family in self._registry.collect()
        ]

    def _counter(
        self, name: str, help_text: str, labels: list[str] | None = None
    ) -> Counter:
        return Counter(
            f"primroseglade_{name}", help_text, labels or [], registry=self._registry
        )

    def _gauge(
        self, name: str, help_text: str, labels: list[str] | None = None
    ) -> Gauge:
        return Gauge(
            f"primroseglade_{name}", help_text, labels or [], registry=self._registry
        )
