"""Requests under which backend servers have ended, and which of them may run again.

When the process of a backend server ends, each request that it ran is suspect, and most
are innocent. A suspect runs at one place at a time. If it runs to its end, it is
cleared; if backend servers keep ending under it, it is blocked.
"""

import collections
import enum
from collections.abc import Callable, Iterable

from .ended_servers import ClearedRequest, EndedServer, get_head_hash

# Ends within this time of each other may have one cause, such as the loss of a rack.
COMMON_CAUSE_SECONDS = 1.0
# A request that ran on several backend servers when they ended may run on others, too,
# and be cleared there within this time. If ends at one time are the only evidence, it
# is blocked for no longer.
CLEARING_SECONDS = 0.5
# Time for which an end counts, as a multiple of a block.
COUNTED_BLOCKS = 2.0
MAX_ENDS = 128
MAX_SUSPECTS = 2048
# Part of the suspects that is kept when there are too many.
KEPT_RATIO = 0.75
# In one message. Blocked requests and the newest ends come first.
MAX_SHARED_REQUESTS = 512


class Standing(enum.Enum):
    """Whether a request may be sent to a backend server."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    BLOCKED = "blocked"


class _End:
    """The end of one process of a backend server."""

    __slots__ = ("at", "node", "requests")

    def __init__(self, node: str, at: float):
        self.node = node
        self.at = at
        # Whether each request was a trial.
        self.requests: dict[int, bool] = {}


class _Suspect:
    """A request that ran on backend servers when they ended."""

    __slots__ = ("added_at", "cleared", "servers")

    def __init__(self, added_at: float) -> None:
        self.added_at = added_at
        self.servers: set[int] = set()
        # May name servers whose end is not known here yet.
        self.cleared: set[int] = set()


class SuspectRequests:
    """What a node knows of ended backend servers and of the requests that they ran.

    Ends and clearings are only ever added, in any order, so that nodes that know the
    same of them judge alike.

    Args:
        limit: Number of backend servers under which a request is blocked.
        block_seconds: Duration of a block, from the last end.
        clock: Returns monotonic seconds.
    """

    __slots__ = (
        "_block_seconds",
        "_clock",
        "_ends",
        "_head_counts",
        "_suspects",
        "limit",
    )

    def __init__(self, limit: int, block_seconds: float, clock: Callable[[], float]):
        self.limit = limit
        self._block_seconds = block_seconds
        self._clock = clock
        # Both in the order of their first record.
        self._ends: dict[int, _End] = {}
        self._suspects: dict[int, _Suspect] = {}
        # Number of suspects by the hash of their head.
        self._head_counts: collections.Counter[int] = collections.Counter()

    def __bool__(self) -> bool:
        """Whether any request has been suspect of late."""
        return bool(self._suspects)

    def knows_head(self, head_hash: int) -> bool:
        """Return whether any request with this hash of its head has been suspect."""
        return head_hash in self._head_counts

    def record(self, ended: EndedServer) -> bool:
        """Record an end and requests that ran then.

        Returns:
            Whether any of it was not known before.
        """
        self._expire()
        end = self._ends.get(ended.server)
        if end is None:
            end = _End(ended.node, self._clock() - ended.age_ms / 1000)
            self._ends[ended.server] = end
        trials = frozenset(ended.trials)
        changed = False
        for request in ended.requests:
            is_trial = request in trials
            known_trial = end.requests.get(request)
            if known_trial is None or (is_trial and not known_trial):
                end.requests[request] = is_trial
                self._add_suspect(request).servers.add(ended.server)
                changed = True
        self._enforce_bounds()
        return changed

    def clear(self, request: int) -> ClearedRequest | None:
        """Clear a request of all ends known so far.

        Returns:
            What other nodes need to know; None if the request was not suspect.
        """
        suspect = self._suspects.get(request)
        if suspect is None or suspect.servers <= suspect.cleared:
            return None
        suspect.cleared |= suspect.servers
        return self.get_clearing(request)

    def get_clearing(self, request: int) -> ClearedRequest | None:
        """Return the ends of which a request is cleared; None if there are none."""
        suspect = self._suspects.get(request)
        if suspect is None or not suspect.cleared:
            return None
        return ClearedRequest(request, tuple(sorted(suspect.cleared)))

    def apply_clearing(self, cleared: ClearedRequest) -> bool:
        """Apply what another node has cleared; return whether it was not known."""
        suspect = self._add_suspect(cleared.request)
        servers = frozenset(cleared.servers)
        if servers <= suspect.cleared:
            return False
        suspect.cleared |= servers
        self._enforce_bounds()
        return True

    def get_standing(self, request: int, limit: int | None = None) -> Standing:
        """Return whether a request may run.

        Args:
            request: Hash of the request.
            limit: Number of ends at which it is blocked, if not the usual one.
        """
        if self.get_block_seconds(request, limit):
            return Standing.BLOCKED
        return Standing.SUSPECT if self._list_ends(request) else Standing.CLEAR

    def get_block_seconds(self, request: int, limit: int | None = None) -> float:
        """Return for how much longer a request is blocked; 0 if it is not."""
        ends = self._list_ends(request)
        count, events = self._count(request, ends)
        if not ends or count < (self.limit if limit is None else limit):
            return 0.0
        seconds = self._block_seconds if events > 1 else CLEARING_SECONDS
        return max(0.0, max(end.at for end in ends) + seconds - self._clock())

    def get_last_end_age(self, request: int) -> float:
        """Return how many seconds ago the last backend server ended under a request."""
        ends = [end.at for end in self._list_ends(request)]
        return self._clock() - max(ends, default=0.0)

    def count_ends(self, request: int) -> int:
        """Return how many backend servers ended under a request that is not cleared."""
        return len(self._list_ends(request))

    def list_nodes(self, request: int) -> list[str]:
        """Return the nodes beside servers that ended under a request, last one last."""
        ends = sorted(self._list_ends(request), key=lambda end: end.at)
        return [end.node for end in ends]

    def list_suspects(self) -> list[int]:
        """Return all requests that are suspect or blocked."""
        self._expire()
        return [request for request in self._suspects if self._list_ends(request)]

    def export(self, request: int) -> tuple[EndedServer, ...]:
        """Return the ends that count against one request."""
        suspect = self._suspects.get(request)
        servers = suspect.servers - suspect.cleared if suspect is not None else ()
        messages = [self.build_message(server, (request,)) for server in servers]
        return tuple(message for message in messages if message is not None)

    def export_all(self) -> tuple[list[EndedServer], list[ClearedRequest]]:
        """Return what a node that just started needs to know, bounded."""
        self._expire()
        shared = self._select(MAX_SHARED_REQUESTS)
        ended = [
            message
            for server in self._ends
            if (message := self.build_message(server, shared)) is not None
        ]
        cleared = [
            clearing
            for request in shared
            if (clearing := self.get_clearing(request)) is not None
        ]
        return ended, cleared

    def build_message(self, server: int, requests: Iterable[int]) -> EndedServer | None:
        """Return what to tell other nodes of an end.

        Args:
            server: Hash of the process.
            requests: Requests to name, if the process ran them.

        Returns:
            None if nothing is known of these any more.
        """
        end = self._ends.get(server)
        named = [r for r in requests if end is not None and r in end.requests]
        if end is None or not named:
            return None
        age_ms = max(0, int((self._clock() - end.at) * 1000))
        trials = tuple(request for request in named if end.requests[request])
        return EndedServer(server, end.node, age_ms, tuple(named), trials)

    def _list_ends(self, request: int) -> list[_End]:
        """Return the ends that count against a request."""
        suspect = self._suspects.get(request)
        if suspect is None:
            return []
        oldest = self._get_oldest_counted()
        return [
            end
            for server in suspect.servers - suspect.cleared
            if (end := self._ends[server]).at >= oldest
        ]

    def _get_oldest_counted(self) -> float:
        return self._clock() - self._block_seconds * COUNTED_BLOCKS

    def _count(self, request: int, ends: list[_End]) -> tuple[int, int]:
        """Return the number of ends to count, and of events that they happened in.

        Each trial without others beside it is an event of its own, and so are other
        ends within a short time. If there was no such trial, these count once if
        servers that did not run the request ended then, too.
        """
        trials = sum(end.requests[request] for end in ends)
        count, events = len(ends), trials
        untold = sorted(end.at for end in ends if not end.requests[request])
        while untold:
            together = [at for at in untold if at - untold[0] <= COMMON_CAUSE_SECONDS]
            untold = untold[len(together) :]
            events += 1
            if not trials and self._ended_without(request, together):
                count -= len(together) - 1
        return count, events

    def _ended_without(self, request: int, times: list[float]) -> bool:
        """Return whether a server that did not run a request ended at about a time."""
        return any(
            request not in end.requests
            and times[0] - COMMON_CAUSE_SECONDS
            <= end.at
            <= times[-1] + COMMON_CAUSE_SECONDS
            for end in self._ends.values()
        )

    def _add_suspect(self, request: int) -> _Suspect:
        suspect = self._suspects.get(request)
        if suspect is None:
            suspect = self._suspects[request] = _Suspect(self._clock())
            self._head_counts[get_head_hash(request)] += 1
        return suspect

    def _remove_suspect(self, request: int) -> None:
        del self._suspects[request]
        head_hash = get_head_hash(request)
        self._head_counts[head_hash] -= 1
        if not self._head_counts[head_hash]:
            del self._head_counts[head_hash]

    def _expire(self) -> None:
        """Remove what is too old to count."""
        oldest = self._get_oldest_counted()
        for server in [s for s, end in self._ends.items() if end.at < oldest]:
            self._remove_end(server)
        expired = [
            request
            for request, suspect in self._suspects.items()
            if not suspect.servers and suspect.added_at < oldest
        ]
        for request in expired:
            self._remove_suspect(request)

    def _enforce_bounds(self) -> None:
        """Remove the oldest ends and suspects beyond the bounds, blocked ones last."""
        if len(self._ends) > MAX_ENDS:
            blocked = frozenset(self._list_blocked())
            oldest = min(
                self._ends.values(),
                key=lambda end: (not blocked.isdisjoint(end.requests), end.at),
            )
            self._remove_end(next(s for s, e in self._ends.items() if e is oldest))
        if len(self._suspects) <= MAX_SUSPECTS:
            return
        kept = self._select(int(MAX_SUSPECTS * KEPT_RATIO))
        for request in [r for r in self._suspects if r not in kept]:
            self._remove_suspect(request)
        for server, end in list(self._ends.items()):
            end.requests = {r: t for r, t in end.requests.items() if r in kept}
            if not end.requests:
                del self._ends[server]

    def _select(self, max_count: int) -> set[int]:
        """Return the most important requests: blocked ones, then the newest."""
        newest = reversed(list(self._suspects))
        selected = dict.fromkeys([*self._list_blocked(), *newest])
        return set(list(selected)[:max_count])

    def _list_blocked(self) -> list[int]:
        return [
            request
            for request, suspect in self._suspects.items()
            if len(suspect.servers - suspect.cleared) >= self.limit
            and self.get_standing(request) is Standing.BLOCKED
        ]

    def _remove_end(self, server: int) -> None:
        for request in self._ends.pop(server).requests:
            suspect = self._suspects[request]
            suspect.servers.discard(server)
            suspect.cleared.discard(server)
            if not suspect.servers and not suspect.cleared:
                self._remove_suspect(request)
