"""Assembly of what keeps requests from ending one backend server after the other."""

import time
from collections.abc import Callable
from typing import Protocol

from ..observe.events import Journal
from .backend import Backend
from .end_detector import EndDetector
from .fleet import Fleet
from .guarded_backend import GuardedBackend
from .health_check import HealthDialect
from .node_settings import NodeSettings
from .suspect_requests import SuspectRequests
from .suspect_routing import SuspectRouting
from .suspect_tracker import RequestDialect, SuspectTracker


class SuspectDialect(RequestDialect, HealthDialect, Protocol):
    """The protocol spoken with callers and backend servers, as far as needed."""


class SuspectCalls:
    """The parts of a node that handle calls of suspect requests.

    Args:
        settings: Settings of the node.
        backend: The local backend server.
        fleet: The other nodes.
        dialect: Finds out which requests are the same, and reads health answers.
        journal: Logs ends and blocks.
        broadcast_state: Sends the node's state to the others at once.
        render_health_check: Returns a health check of the backend server; None if the
            operator states no path for it.

    Attributes:
        tracker: Shares with the other nodes which requests are suspect.
        routing: Admits and places the calls that the node sends.
        guarded_backend: Runs calls on the local backend server.
    """

    __slots__ = ("guarded_backend", "routing", "tracker")

    def __init__(
        self,
        settings: NodeSettings,
        backend: Backend,
        fleet: Fleet,
        dialect: SuspectDialect,
        journal: Journal,
        broadcast_state: Callable[[], None],
        render_health_check: Callable[[], bytes | None],
    ):
        requests = SuspectRequests(
            settings.max_ended_servers, settings.request_block, time.monotonic
        )
        self.tracker = SuspectTracker(
            settings.name, requests, dialect, journal, broadcast_state
        )
        self.routing = SuspectRouting(
            settings.name,
            settings.service,
            lambda: bool(backend.instance),
            fleet,
            self.tracker,
        )
        self.guarded_backend = GuardedBackend(
            backend,
            self.tracker,
            EndDetector(backend, render_health_check, dialect.read_health),
            self.routing.is_runner,
            self.routing.get_limit,
        )
