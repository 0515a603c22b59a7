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
    """Every metric that a node keeps; names in ``docs/METRICS.md``."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self.calls = self._counter(
            "calls_total",
            "Calls answered, by listener and outcome (a refusal's reason or served).",
            ["listener", "outcome"],
        )
        self.seconds = Histogram(
            "primroseglade_call_seconds",
            "Time from a call's head to the end of its answer.",
            ["listener"],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self.relayed = self._counter("relayed_total", "Calls sent to another node.")
        self.retries = self._counter(
            "retries_total", "Further attempts after a refusal that was not run."
        )
        self.retries_denied = self._counter(
            "retries_denied_total", "Retries not made, by what ran out.", ["bound"]
        )
        self.throttled = self._counter(
            "throttled_total", "Calls refused early, as they would be shed further on."
        )
        self.queue_seconds = Histogram(
            "primroseglade_queue_seconds",
            "Wait in the admission queue.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self.in_flight = self._gauge(
            "in_flight", "Calls at the own backend server now."
        )
        self.queued = self._gauge("queued", "Calls waiting for it now.")
        self.limit = self._gauge("concurrency_limit", "Calls at once that it may get.")
        self.tokens = self._counter(
            "rate_tokens_total", "Rate tokens, by what became of them.", ["fate"]
        )
        self.leases = self._gauge("rate_leases", "Partitions of rates held here.")
        self.members = self._gauge("members", "Members known, by state.", ["state"])
        self.messages = self._counter(
            "control_messages_total",
            "Control messages, by method and direction.",
            ["method", "direction"],
        )
        self.bytes = self._counter(
            "control_bytes_total", "Bytes of control messages.", ["direction"]
        )
        self.refused_messages = self._counter(
            "refused_messages_total", "Control messages not taken, by cause.", ["cause"]
        )
        self.edits = self._counter(
            "edits_total", "Configuration records folded, by verdict.", ["verdict"]
        )
        self.next_offset = self._gauge(
            "configuration_next_offset", "Records of the configuration folded in."
        )
        self.configuration_age = self._gauge(
            "configuration_age_seconds", "Since the end of the log was last known."
        )
        self.silent_connections = self._counter(
            "silent_connections_total", "Connections found dead without a sign."
        )

    def render(self) -> bytes:
        """Return the metrics in Prometheus's text format."""
        return prometheus_client.generate_latest(self._registry)

    def read(self, name: str, **labels: str) -> float:
        """Return one sample's value, 0 where there is none yet."""
        return self._registry.get_sample_value(f"primroseglade_{name}", labels) or 0.0

    def describe(self) -> list[tuple[str, str, str]]:
        """Return the name, type and help of every metric, for the docs."""
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
