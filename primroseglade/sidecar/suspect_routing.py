"""Decides whether calls of suspect requests are sent, and where their trials run."""

import time
import zlib
from collections.abc import Callable, Collection

from ..verdicts import Refusal, SUSPECT_REASONS
from .ended_servers import EndedServer
from .fleet import build_candidate, Fleet
from .load_balancing import Candidate
from .outgoing_call import Outcome, OutgoingCall
from .peer import Peer
from .suspect_requests import Standing
from .suspect_tracker import SuspectTracker


class SuspectRouting:
    """Admits and places the calls that this node sends.

    Args:
        node: Name of this node.
        service: Service of the local backend server.
        has_backend: Returns whether the local backend server accepts calls.
        fleet: The other nodes.
        tracker: Knows which requests are suspect.
    """

    def __init__(
        self,
        node: str,
        service: str,
        has_backend: Callable[[], bool],
        fleet: Fleet,
        tracker: SuspectTracker,
    ):
        self._node = node
        self._service = service
        self._has_backend = has_backend
        self._fleet = fleet
        self._tracker = tracker

    async def admit(self, call: OutgoingCall) -> None:
        """Mark a call whose request is suspect.

        Raises:
            Refusal: The request is blocked; the verdict is `NOT_RUN`.
        """
        call.suspect = 0
        request = self._tracker.find(call)
        if not request:
            return
        standing = await self._tracker.wait_while_fresh(
            request, self._tracker.requests.limit, call.deadline - time.monotonic()
        )
        if standing is Standing.BLOCKED:
            raise self._tracker.build_block(request)
        call.suspect = request if standing is Standing.SUSPECT else 0

    def choose_runner(
        self,
        call: OutgoingCall,
        own_candidate: Candidate | None,
        tried_names: Collection[str],
        allowed_zones: Collection[str] | None,
    ) -> Candidate | None:
        """Return the node at which a suspect call's trial runs, or None if none can.

        Args:
            call: The call.
            own_candidate: This node, if its backend server can run the call.
            tried_names: Names of nodes already tried.
            allowed_zones: Zones in which the call may run; None for all.
        """
        candidates = {
            peer.entry.name: build_candidate(peer, peer.entry.zone == self._fleet.zone)
            for peer in self._list_usable(call.service)
            if allowed_zones is None or peer.entry.zone in allowed_zones
        }
        if own_candidate is not None:
            candidates[own_candidate.name] = own_candidate
        for name in tried_names:
            candidates.pop(name, None)
        runner = self._choose(call.suspect, list(candidates))
        return candidates.get(runner)

    def is_runner(self, request: int) -> bool:
        """Return whether trials of a request run at this node."""
        names = [peer.entry.name for peer in self._list_usable(self._service)]
        if self._has_backend():
            names.append(self._node)
        return self._choose(request, names) == self._node

    def get_limit(self) -> int:
        """Return the number of ended backend servers at which requests are blocked.

        Nodes that cannot be reached may run trials of their own, so that it is one less
        while there are any beside backend servers of the same service.
        """
        limit = self._tracker.requests.limit
        return limit if self._fleet.reaches_all(self._service) else max(1, limit - 1)

    def record_outcome(self, call: OutgoingCall, outcome: Outcome) -> None:
        """Record the backend servers that ended under calls made for a call."""
        self._tracker.learn(outcome.ended_servers)
        if call.parent is not None and outcome.ended_servers:
            self._tracker.record_nested_ends(call.parent, outcome.ended_servers)

    def record_refusal(self, call: OutgoingCall, refusal: Refusal) -> None:
        """Record the backend servers that ended under a call's request."""
        self._tracker.learn(refusal.ended_servers)
        if call.parent is None:
            return
        if refusal.reason in SUSPECT_REASONS:
            call.parent.was_blocked = True
        ended = [e for e in refusal.ended_servers if e.server == refusal.ended_server]
        if ended:
            self._tracker.record_nested_ends(call.parent, ended)

    def list_ended_servers(self, call: OutgoingCall) -> tuple[EndedServer, ...]:
        """Return the ends to tell the node to which a call is sent."""
        return self._tracker.requests.export(call.suspect) if call.suspect else ()

    def _choose(self, request: int, names: Collection[str]) -> str:
        """Return the name of the node at which trials of a request run.

        All nodes that know the same choose the same one. Those beside a server that
        ended under the request come last.
        """
        ends = self._tracker.requests.list_nodes(request)
        order = {name: index for index, name in enumerate(ends, 1)}
        return min(
            names,
            key=lambda name: (
                order.get(name, 0),
                zlib.crc32(f"{request} {name}".encode()),
            ),
            default="",
        )

    def _list_usable(self, service: str) -> list[Peer]:
        return [
            peer
            for peer in self._fleet.index.get_service_peers(service)
            if peer.usable and not peer.is_suspect
        ]
