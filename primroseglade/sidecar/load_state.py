"""Builds the state that a node broadcasts."""

import time
from typing import TYPE_CHECKING

from .model import NodeState

if TYPE_CHECKING:
    from .node import SidecarNode


def build_load_state(node: "SidecarNode") -> NodeState:
    """Return a node's state, without sequence number and call ratios.

    Args:
        node: The node.
    """
    backend = node.backend
    ended_servers, cleared_requests = node.suspects.tracker.list_news()
    return NodeState(
        backend.instance,
        backend.slots,
        round(node.load_monitor.average_in_flight, 2),
        backend.service_ms,
        # A whole number takes one byte, a fraction nine.
        round(backend.failure_ratio, 3) or 0,
        node.policies.version,
        demand=node.admission.measure_demand(time.monotonic()),
        slot_ms=backend.slot_ms,
        start_rate=backend.warm_up.start_rate,
        cold_ms=int(backend.warm_up.remaining_seconds * 1000),
        evacuated_zones=tuple(node.evacuations.zones),
        operator_offset=node.evacuations.offset,
        request_limit=backend.request_limit.rate,
        probe_due=backend.request_limit.is_probe_due,
        start_time_ms=backend.start_time_ms,
        blocked=node.load_monitor.blocked,
        slowdown_percent=backend.slowdown_percent,
        work_ms=backend.work_ms if backend.work_ms != backend.slot_ms else 0,
        ended_servers=tuple(ended_servers),
        cleared_requests=tuple(cleared_requests),
    )
