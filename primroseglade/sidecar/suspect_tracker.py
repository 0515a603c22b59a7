"""Shares with the other nodes under which requests backend servers have ended."""

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from ..observe.events import (
    BACKEND_ENDED,
    Journal,
    REQUEST_BLOCKED,
    REQUEST_CLEARED,
    REQUEST_RELEASED,
)
from ..verdicts import not_run, Reason, Refusal
from .ended_servers import ClearedRequest, EndedServer, hash_head, hash_request
from .frames import Call
from .model import NodeState
from .outgoing_call import OutgoingCall
from .running_calls import RunningCall
from .suspect_requests import CLEARING_SECONDS, Standing, SuspectRequests

# Calls of a blocked request wait for at most this fraction of the time until their
# deadline before they are refused.
MAX_WAIT_RATIO = 0.5
# Changes are repeated in the states that are broadcast within this time, for nodes that
# receive states through others.
REPEAT_SECONDS = 2.0
# When many calls are lost or cleared at once, their news are sent together.
MIN_BROADCAST_SECONDS = 0.02


class RequestDialect(Protocol):
    """Finds out which requests are the same."""

    def get_identity(self, call: Call | OutgoingCall) -> bytes:
        """Return the parts of a request's head that all its attempts have in common."""


class LostCall:
    """A call that was lost with the process of the backend server that ran it.

    Args:
        request_id: ID of the call.
        request: Hash of its request.
        is_trial: Whether the request was suspect before, and the only suspect there.
    """

    __slots__ = ("is_trial", "request", "request_id")

    def __init__(self, request_id: bytes, request: int, is_trial: bool):
        self.request_id = request_id
        self.request = request
        self.is_trial = is_trial


class SuspectTracker:
    """Records ends of backend servers, here and at other nodes.

    Args:
        node: Name of this node.
        requests: What is known of them.
        dialect: Finds out which requests are the same.
        journal: Logs ends and blocks.
        broadcast_state: Sends this node's state to the others at once.

    Attributes:
        requests: What is known of them.
        ended_servers: Number of local processes that ended under calls.
        ended_calls: Number of these calls.
    """

    def __init__(
        self,
        node: str,
        requests: SuspectRequests,
        dialect: RequestDialect,
        journal: Journal,
        broadcast_state: Callable[[], None],
    ):
        self._node = node
        self._dialect = dialect
        self._journal = journal
        self._broadcast_state = broadcast_state
        self.requests = requests
        self.ended_servers = 0
        self.ended_calls = 0
        self._last_server = 0
        # Recorded first by this node: the requests of each end, and clearings. With
        # the time of the last change.
        self._new_ends: dict[int, tuple[float, set[int]]] = {}
        self._new_clearings: dict[int, tuple[float, ClearedRequest]] = {}
        self._broadcast_scheduled = False
        self._broadcast_at = 0.0
        self._waiters: dict[int, set[asyncio.Future[None]]] = {}

    def identify(self, call: Call | OutgoingCall) -> int:
        """Return the hash of a call's request."""
        return hash_request(self._hash_head(call), call.body)

    def find(self, call: Call | OutgoingCall) -> int:
        """Return the hash of a call's request if it may be suspect; else 0."""
        if not self.requests:
            return 0
        head_hash = self._hash_head(call)
        if not self.requests.knows_head(head_hash):
            return 0
        return hash_request(head_hash, call.body)

    def record_end(self, server: int, backend: str, lost: Iterable[LostCall]) -> None:
        """Record that the local backend server ended, and tell the other nodes.

        Args:
            server: Hash of the process.
            backend: Instance ID of the backend server.
            lost: The calls that it ran.
        """
        lost = list(lost)
        if server != self._last_server:
            self._last_server = server
            self.ended_servers += 1
        self.ended_calls += len(lost)
        for call in lost:
            self._journal.emit(
                BACKEND_ENDED,
                request=call.request_id.decode("latin-1"),
                backend=backend,
                suspect=format_request(call.request),
                ended_before=self.requests.count_ends(call.request),
            )
        trials = tuple({call.request for call in lost if call.is_trial})
        requests = tuple({call.request for call in lost})
        self._publish([EndedServer(server, self._node, 0, requests, trials)])

    def record_nested_ends(
        self, parent: RunningCall, ended: Iterable[EndedServer]
    ) -> None:
        """Record that backend servers ended under a call made for a running call.

        They never count as ended under a trial: the call may not have run alone there.

        Args:
            parent: The running call, under which they ended, too.
            ended: The ends.
        """
        if parent.call is None:
            return
        request = self.identify(parent.call)
        parent.ended_servers |= {end.server for end in ended}
        self._publish(
            [EndedServer(end.server, end.node, end.age_ms, (request,)) for end in ended]
        )

    def add_all(self, state: NodeState) -> None:
        """Add to a state all that a node that has just connected needs to know."""
        ended_servers, cleared_requests = self.requests.export_all()
        state.ended_servers = tuple(ended_servers)
        state.cleared_requests = tuple(cleared_requests)

    def count_requests(self, *standings: Standing) -> int:
        """Return the number of requests with one of some standings."""
        return sum(
            self.requests.get_standing(request) in standings
            for request in self.requests.list_suspects()
        )

    def learn(self, ended: Iterable[EndedServer]) -> None:
        """Record ends that another node knows of."""
        for end in ended:
            self._record(end)

    def apply_state(self, state: NodeState) -> None:
        """Record what another node's state says of ends."""
        self.learn(state.ended_servers)
        for cleared in state.cleared_requests:
            if self.requests.apply_clearing(cleared):
                self.wake(cleared.request)

    def clear(self, request: int) -> None:
        """Clear a request that has run to its end, and tell the other nodes."""
        cleared = self.requests.clear(request)
        if cleared is None:
            return
        self._journal.emit(
            REQUEST_CLEARED,
            suspect=format_request(request),
            servers=len(cleared.servers),
        )
        self._announce_clearing(cleared)

    def repeat_clearing(self, request: int) -> None:
        """Tell the other nodes again that a request is cleared."""
        cleared = self.requests.get_clearing(request)
        if cleared is not None:
            self._announce_clearing(cleared)

    def release(self, request: int) -> bool:
        """Let a request run again because an operator says so.

        Returns:
            Whether it was suspect or blocked.
        """
        cleared = self.requests.clear(request)
        if cleared is None:
            return False
        self._journal.emit(REQUEST_RELEASED, suspect=format_request(request))
        self._announce_clearing(cleared)
        return True

    def build_block(self, request: int, limit: int | None = None) -> Refusal:
        """Return the refusal of a call of a blocked request."""
        count = self.requests.count_ends(request)
        detail = (
            f"{count} backend servers ended under the same request "
            f"({format_request(request)})"
        )
        seconds = self.requests.get_block_seconds(request, limit)
        return not_run(Reason.REQUEST_BLOCKED, detail, seconds)

    def list_news(self) -> tuple[list[EndedServer], list[ClearedRequest]]:
        """Return what this node has recorded itself in the last seconds."""
        oldest = time.monotonic() - REPEAT_SECONDS
        self._new_ends = _drop_before(oldest, self._new_ends)
        self._new_clearings = _drop_before(oldest, self._new_clearings)
        ended = [
            message
            for server, (_, requests) in self._new_ends.items()
            if (message := self.requests.build_message(server, requests)) is not None
        ]
        return ended, [cleared for _, cleared in self._new_clearings.values()]

    async def wait_while_fresh(
        self, request: int, limit: int, remaining: float
    ) -> Standing:
        """Return the standing of a request, and wait for news if it is blocked.

        Args:
            request: Hash of the request.
            limit: Number of ended backend servers at which it is blocked.
            remaining: Seconds until the call's deadline.
        """
        requests = self.requests
        standing = requests.get_standing(request, limit)
        if standing is not Standing.BLOCKED:
            return standing
        wait = min(
            CLEARING_SECONDS - requests.get_last_end_age(request),
            remaining * MAX_WAIT_RATIO,
        )
        while standing is Standing.BLOCKED and wait > 0:
            wait = await self.wait_for_change(request, wait)
            standing = requests.get_standing(request, limit)
        return standing

    async def wait_for_change(self, request: int, seconds: float) -> float:
        """Wait until something changes for a request.

        Args:
            request: Hash of the request.
            seconds: Maximum wait.

        Returns:
            The remaining wait in seconds; 0 or less if it is over.
        """
        started = time.monotonic()
        waiters = self._waiters.setdefault(request, set())
        waiter = asyncio.get_running_loop().create_future()
        waiters.add(waiter)
        try:
            async with asyncio.timeout(max(0.0, seconds)):
                await waiter
        except TimeoutError:
            return 0.0
        finally:
            waiters.discard(waiter)
            if not waiters:
                self._waiters.pop(request, None)
        return seconds - (time.monotonic() - started)

    def wake(self, request: int) -> None:
        """Wake the calls that wait for a change."""
        for waiter in self._waiters.get(request, ()):
            if not waiter.done():
                waiter.set_result(None)

    def wake_all(self) -> None:
        """Wake the calls of all requests that wait for a change."""
        for request in list(self._waiters):
            self.wake(request)

    def _hash_head(self, call: Call | OutgoingCall) -> int:
        workspace = call.context.workspace if call.context is not None else 0
        return hash_head(self._dialect.get_identity(call), workspace)

    def _publish(self, ended: list[EndedServer]) -> None:
        for end in ended:
            if self._record(end):
                _, requests = self._new_ends.get(end.server, (0.0, set()))
                requests |= set(end.requests)
                self._new_ends[end.server] = (time.monotonic(), requests)
        self._schedule_broadcast()

    def _announce_clearing(self, cleared: ClearedRequest) -> None:
        self._new_clearings[cleared.request] = (time.monotonic(), cleared)
        self._schedule_broadcast()
        self.wake(cleared.request)

    def _schedule_broadcast(self) -> None:
        """Broadcast the state at once, or soon after the last broadcast."""
        if self._broadcast_scheduled:
            return
        self._broadcast_scheduled = True
        delay = self._broadcast_at + MIN_BROADCAST_SECONDS - time.monotonic()
        asyncio.get_running_loop().call_later(max(0.0, delay), self._broadcast)

    def _broadcast(self) -> None:
        self._broadcast_scheduled = False
        self._broadcast_at = time.monotonic()
        self._broadcast_state()

    def _record(self, end: EndedServer) -> bool:
        blocked_before = self._list_blocked(end.requests)
        if not self.requests.record(end):
            return False
        for request in end.requests:
            self.wake(request)
        for request in self._list_blocked(end.requests):
            if request not in blocked_before:
                self._journal.emit(
                    REQUEST_BLOCKED,
                    suspect=format_request(request),
                    servers=self.requests.count_ends(request),
                    seconds=round(self.requests.get_block_seconds(request), 1),
                )
        return True

    def _list_blocked(self, requests: Iterable[int]) -> list[int]:
        return [
            request
            for request in requests
            if self.requests.get_standing(request) is Standing.BLOCKED
        ]


def _drop_before(oldest: float, news: dict[int, tuple[float, Any]]) -> Any:
    return {key: value for key, value in news.items() if value[0] >= oldest}


def format_request(request: int) -> str:
    """Return the hash of a request as logs and operators write it."""
    return f"{request:016x}"
