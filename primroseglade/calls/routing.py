"""Chooses the backend server for a call."""

import random
import time

from ..fleet.members import Member, Members, State

EJECTED_SECONDS = 2.0
LONGEST_EJECTED_SECONDS = 20.0
# However many fail, most of a service's members stay in the choice: when all seem
# bad, the fault is more likely here than there.
EJECTED_SHARE = 0.3
FAILURES_TO_EJECT = 3
# A told load ages: after this long the own count alone decides.
LOAD_SECONDS = 1.0
# A call leaves its zone only for a place that is this much less loaded.
ZONE_MARGIN = 0.3
# A backend server that just started gets a growing share of its calls.
WARM_UP_SECONDS = 10.0
COLDEST_SHARE = 0.1
ASSUMED_SLOTS = 20


class Peer:
    """What this node knows of one backend server from its own calls.

    Args:
        instance: The member.
    """

    __slots__ = (
        "ejected_until",
        "ejections",
        "failures",
        "in_flight",
        "instance",
        "limit",
        "load_at",
        "told",
    )

    def __init__(self, instance: str):
        self.instance = instance
        self.in_flight = 0
        self.told = 0
        self.limit = 0
        self.load_at = -float("inf")
        self.failures = 0
        self.ejections = 0
        self.ejected_until = -float("inf")


class Router:
    """Two random choices over own calls in flight and last told load, zone first.

    Args:
        members: Who serves what.
    """

    def __init__(self, members: Members):
        self._members = members
        self._peers: dict[str, Peer] = {}
        self._services: dict[str, list[Member]] = {}
        self._version = -1

    def choose(self, service: str, refused: set[str]) -> Member | None:
        """Return the member to send a call to, or None where there is none.

        Args:
            service: The call's service.
            refused: Instances that refused this call already.
        """
        serving = self._get_serving(service)
        candidates = [m for m in serving if m.instance not in refused]
        candidates = self._leave_out_ejected(candidates)
        if not candidates:
            return None
        zone = self._members.own.zone
        local = [member for member in candidates if member.zone == zone]
        remote = [member for member in candidates if member.zone != zone]
        if not local:
            return self._choose_of_two(remote)
        best = self._choose_of_two(local)
        if remote:
            other = self._choose_of_two(remote)
            if self._weigh(other) + ZONE_MARGIN < self._weigh(best):
                return other
        return best

    def find_nodes(self, service: str, most: int) -> list[str]:
        """Return callers' addresses of some nodes that serve the service."""
        serving = self._get_serving(service)
        zone = self._members.own.zone
        local = [member for member in serving if member.zone == zone]
        pool = local or serving
        chosen = random.sample(pool, min(most, len(pool)))
        return [member.callers for member in chosen]

    def get_peer(self, instance: str) -> Peer:
        """Return what is known of a member."""
        peer = self._peers.get(instance)
        if peer is None:
            peer = self._peers[instance] = Peer(instance)
        return peer

    def note_load(self, peer: Peer, load: bytes) -> None:
        """Take the load that came with an answer; it may be wrong or old."""
        parts = load.split(b",")
        if len(parts) != 3 or not all(part.isdigit() for part in parts):
            return
        in_flight, limit, queued = (int(part) for part in parts)
        peer.told = in_flight + queued
        peer.limit = limit
        peer.load_at = time.monotonic()

    def note_success(self, peer: Peer) -> None:
        """Note that a member answered."""
        peer.failures = 0
        peer.ejections = max(0, peer.ejections - 1)

    def note_failure(self, peer: Peer) -> float:
        """Note that a member could not be reached.

        Returns:
            Seconds for which it is left out now, 0 while it is not.
        """
        peer.failures += 1
        if peer.failures < FAILURES_TO_EJECT:
            return 0.0
        peer.failures = 0
        peer.ejections += 1
        longest = min(LONGEST_EJECTED_SECONDS, EJECTED_SECONDS * 2**peer.ejections)
        seconds = random.uniform(longest / 2, longest)
        peer.ejected_until = time.monotonic() + seconds
        return seconds

    def forget(self, instance: str) -> None:
        """Forget a member that is gone."""
        self._peers.pop(instance, None)

    def _get_serving(self, service: str) -> list[Member]:
        if self._version != self._members.version:
            self._version = self._members.version
            self._services = {}
            for member in self._members:
                if member.serving and member.state in (State.ALIVE, State.SUSPECT):
                    self._services.setdefault(member.service, []).append(member)
        return self._services.get(service, [])

    def _leave_out_ejected(self, candidates: list[Member]) -> list[Member]:
        now = time.monotonic()
        ejected = [
            member
            for member in candidates
            if self.get_peer(member.instance).ejected_until > now
        ]
        bound = max(1, int(len(candidates) * EJECTED_SHARE))
        if not ejected:
            return candidates
        if len(ejected) > bound:
            ejected.sort(key=lambda m: self.get_peer(m.instance).ejected_until)
            ejected = ejected[-bound:]
        kept = [member for member in candidates if member not in ejected]
        return kept or candidates

    def _choose_of_two(self, members: list[Member]) -> Member:
        if len(members) == 1:
            return members[0]
        one, other = random.sample(members, 2)
        return one if self._weigh(one) <= self._weigh(other) else other

    def _weigh(self, member: Member) -> float:
        """Return the member's load relative to what it can take."""
        peer = self.get_peer(member.instance)
        age = time.monotonic() - peer.load_at
        told = peer.told * max(0.0, 1 - age / LOAD_SECONDS)
        limit = peer.limit or member.slots or ASSUMED_SLOTS
        return max(told, peer.in_flight) / (limit * self._get_warmth(member))

    def _get_warmth(self, member: Member) -> float:
        age = time.time() - member.serving_since_ms / 1000
        if age >= WARM_UP_SECONDS or member.slots == 0:
            return 1.0
        return max(COLDEST_SHARE, age / WARM_UP_SECONDS)
