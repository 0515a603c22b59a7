"""Collects counters and latency histograms of a node, and renders them on request.

The metrics library is imported on the first request: it takes a fifth of a node's
memory, and most nodes of a fleet are never scraped.
"""

import bisect
import collections
import time
from collections.abc import Iterator
from typing import Any, TYPE_CHECKING

from .bucket_snapshot import build_snapshots
from .suspect_requests import Standing

if TYPE_CHECKING:
    from .node import SidecarNode

# Upper bounds; latency targets of most routes lie between 0.1 and 1.5 s.
LATENCY_BUCKETS_SECONDS = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.5,
    0.8,
    1.2,
    2.0,
    5.0,
    10.0,
)
# Routes beyond this number share one label, so that a configuration of thousands of
# routes does not exhaust memory.
MAX_ROUTE_LABELS = 200
OTHER_ROUTES_LABEL = "other"
# Maximum number of workspaces in the metrics; each adds time series.
MAX_WORKSPACE_LABELS = 200
# Reported as the age of a policy that was never confirmed. That age is infinite, but
# metrics and messages hold only finite numbers. Over 11 days.
MAX_REPORTED_AGE_SECONDS = 1e6
METRIC_PREFIX = "primroseglade_"


class LatencyHistogram:
    """Latency histogram of one route.

    Attributes:
        bucket_counts: Requests in each bucket; the last bucket has no upper bound.
        total_seconds: Sum of the latencies.
    """

    __slots__ = ("bucket_counts", "total_seconds")

    def __init__(self) -> None:
        self.bucket_counts = [0] * (len(LATENCY_BUCKETS_SECONDS) + 1)
        self.total_seconds = 0.0

    def observe(self, seconds: float) -> None:
        """Add the latency of one request."""
        self.bucket_counts[bisect.bisect_left(LATENCY_BUCKETS_SECONDS, seconds)] += 1
        self.total_seconds += seconds


class NodeMetrics:
    """Counts requests, retries and latencies, and renders all metrics of a node."""

    def __init__(self) -> None:
        self._requests_by_outcome: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._retries_by_reason: collections.Counter[str] = collections.Counter()
        self._histograms_by_route: dict[str, LatencyHistogram] = {}

    def record_request(self, route: str, outcome: str, seconds: float) -> None:
        """Record a request of a caller or of the local backend server.

        Args:
            route: Name of the request's route; empty if it has none.
            outcome: ``served``, a status of the backend server, or a refusal's reason.
            seconds: Time from the request's arrival to its response.
        """
        if (
            route not in self._histograms_by_route
            and len(self._histograms_by_route) >= MAX_ROUTE_LABELS
        ):
            route = OTHER_ROUTES_LABEL
        histogram = self._histograms_by_route.get(route)
        if histogram is None:
            histogram = self._histograms_by_route[route] = LatencyHistogram()
        histogram.observe(seconds)
        self._requests_by_outcome[route, outcome] += 1

    def record_retry(self, reason: str) -> None:
        """Count a retry."""
        self._retries_by_reason[reason] += 1

    def render(self, node: "SidecarNode") -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(_Collector(self, node))
        return generate_latest(registry)

    def collect(self, node: "SidecarNode") -> Iterator[Any]:
        """Yield all metrics as metric families of the metrics library."""
        from prometheus_client import core

        requests = core.CounterMetricFamily(
            METRIC_PREFIX + "requests",
            "Requests by outcome.",
            labels=["route", "outcome"],
        )
        for (route, outcome), count in self._requests_by_outcome.items():
            requests.add_metric([route, outcome], count)
        yield requests
        retries = core.CounterMetricFamily(
            METRIC_PREFIX + "repeats", "Retries by reason.", labels=["reason"]
        )
        for reason, count in self._retries_by_reason.items():
            retries.add_metric([reason], count)
        yield retries
        latency = core.HistogramMetricFamily(
            METRIC_PREFIX + "request_seconds",
            "Seconds from the arrival of a request to its response.",
            labels=["route"],
        )
        for route, histogram in self._histograms_by_route.items():
            latency.add_metric(
                [route], _build_cumulative_buckets(histogram), histogram.total_seconds
            )
        yield latency
        yield core.CounterMetricFamily(
            METRIC_PREFIX + "backend_requests",
            "Requests sent to the backend server.",
            value=node.backend.request_limit.sent_count,
        )
        yield core.CounterMetricFamily(
            METRIC_PREFIX + "ended_calls",
            "Calls under which the process of the backend server ended.",
            value=node.suspects.tracker.ended_calls,
        )
        yield core.CounterMetricFamily(
            METRIC_PREFIX + "ended_backends",
            "Processes of the backend server that ended under calls.",
            value=node.suspects.tracker.ended_servers,
        )
        cross_zone_bytes = core.CounterMetricFamily(
            METRIC_PREFIX + "zone_bytes",
            "Bytes sent to other availability zones.",
            labels=["frame", "route"],
        )
        for frame, route, byte_count in node.cross_zone_bytes.list_all():
            cross_zone_bytes.add_metric([frame, route], byte_count)
        yield cross_zone_bytes
        yield from _collect_workspaces(node)
        for name, help_text, value in _list_gauges(node):
            yield core.GaugeMetricFamily(METRIC_PREFIX + name, help_text, value=value)


class _Collector:
    """Passes a node's metrics to the metrics library."""

    def __init__(self, node_metrics: NodeMetrics, node: "SidecarNode"):
        self._node_metrics = node_metrics
        self._node = node

    def collect(self) -> Iterator[Any]:
        """Yield all metrics."""
        return self._node_metrics.collect(self._node)


def _collect_workspaces(node: "SidecarNode") -> Iterator[Any]:
    """Yield the metrics of the rate-limited workspaces with the most admitted calls."""
    from prometheus_client import core

    calls = core.CounterMetricFamily(
        METRIC_PREFIX + "workspace_calls",
        "Calls admitted within the rate limit of the workspace.",
        labels=["workspace"],
    )
    tokens = core.GaugeMetricFamily(
        METRIC_PREFIX + "workspace_tokens",
        "Tokens in the workspace's bucket if this node is a token holder.",
        labels=["workspace"],
    )
    admitted = sorted(node.rates.quotas.list_admitted(), key=lambda item: -item[1])
    for name, count in admitted[:MAX_WORKSPACE_LABELS]:
        calls.add_metric([name], count)
    snapshots = build_snapshots(node.rates.pool, time.monotonic())
    for name, snapshot in list(snapshots.items())[:MAX_WORKSPACE_LABELS]:
        tokens.add_metric([name], snapshot.tokens)
    yield calls
    yield tokens


def _list_gauges(node: "SidecarNode") -> list[tuple[str, str, float]]:
    """Return the name, help text and current value of each gauge."""
    backend = node.backend
    queue = backend.queue
    age = min(node.policies.age, MAX_REPORTED_AGE_SECONDS)
    connected_peers = len(node.fleet.list_connected())
    return [
        (
            "occupied",
            "Calls running and queued at the backend server.",
            node.backend_calls_in_flight,
        ),
        (
            "queued",
            "Calls that wait for a slot of the backend server.",
            queue.queued,
        ),
        (
            "blocked",
            "Calls running at the backend server that wait for calls of their own.",
            backend.count_blocked(),
        ),
        (
            "slowdown_ratio",
            "How long work takes at the backend server now, as a multiple of the "
            "average, as it states in its answers.",
            node.slowdown_percent / 100,
        ),
        (
            "slots",
            "Maximum concurrent calls to the backend server.",
            queue.concurrency_limit,
        ),
        (
            "service_seconds",
            "Typical service time of a call, in seconds.",
            queue.service_seconds,
        ),
        (
            "failing_ratio",
            "Recent fraction of calls that failed at the backend server.",
            backend.failure_ratio,
        ),
        (
            "cold_seconds",
            "Seconds for which the backend server is still cold, or may be.",
            backend.warm_up.remaining_seconds,
        ),
        (
            "backend_request_limit",
            "Requests per second that the backend server states that it takes; 0 for "
            "no limit.",
            backend.request_limit.rate,
        ),
        (
            "evacuated_zones",
            "Availability zones that operators have evacuated.",
            len(node.evacuations.zones),
        ),
        (
            "suspect_requests",
            "Requests under which backend servers have ended, blocked ones included.",
            node.suspects.tracker.count_requests(Standing.SUSPECT, Standing.BLOCKED),
        ),
        (
            "blocked_requests",
            "Requests that are refused because backend servers ended under them.",
            node.suspects.tracker.count_requests(Standing.BLOCKED),
        ),
        ("peers", "Other nodes to which a stream is open.", connected_peers),
        (
            "policy_version",
            "Version of the configuration in force.",
            node.policies.version,
        ),
        (
            "policy_age_seconds",
            "Seconds for which a newer configuration may exist unseen.",
            age,
        ),
        (
            "in_flight",
            "Requests in flight at this node.",
            node.count_requests_in_flight(),
        ),
    ]


def _build_cumulative_buckets(histogram: LatencyHistogram) -> list[tuple[str, float]]:
    """Return each bucket's upper bound with the number of requests up to it."""
    count = 0
    buckets = []
    for upper_bound, bucket_count in zip(
        (*map(str, LATENCY_BUCKETS_SECONDS), "+Inf"),
        histogram.bucket_counts,
        strict=True,
    ):
        count += bucket_count
        buckets.append((upper_bound, float(count)))
    return buckets
