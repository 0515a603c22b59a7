"""Chooses the backend server for a call: load balancing and outlier ejection."""

import random
import time

from ..fleet.members import Member, Members, State

# The first ejection lasts a random time between this and twice this. Both bounds double
# with each further ejection.
BASE_EJECTION_SECONDS = 2.0
MAX_EJECTION_SECONDS = 20.0
# Most of a service's members stay candidates however many fail: if all of them seem
# to fail, the fault is more likely at this node.
MAX_EJECTED_FRACTION = 0.3
# Consecutive connection failures after which a member is ejected.
FAILURES_TO_EJECT = 3
# The weight of a reported load decreases to zero over this time; after that, only the
# number of this node's own calls in flight counts.
REPORTED_LOAD_MAX_AGE_SECONDS = 1.0
# A call leaves its zone only if the utilization of the other zone's candidate is lower
# by more than this.
CROSS_ZONE_UTILIZATION_MARGIN = 0.3
# Slow start: a backend server that has just started receives calls as if only a
# fraction of its concurrency limit applied, which grows to 1 over this time.
SLOW_START_SECONDS = 10.0
MIN_SLOW_START_FRACTION = 0.1
# Concurrency limit assumed for a member that reported neither a limit nor slots.
DEFAULT_SLOTS = 20


class BackendStats:
    """Load and failures of one backend server, as this node sees them.

    ``failures`` counts consecutive connection failures.

    Args:
        instance: Instance name of the member.
    """

    __slots__ = (
        "concurrency_limit",
        "ejected_until",
        "ejections",
        "failures",
        "in_flight",
        "instance",
        "reported_at",
        "reported_calls",
    )

    def __init__(self, instance: str):
        self.instance = instance
        self.in_flight = 0
        self.reported_calls = 0
        self.concurrency_limit = 0
        self.reported_at = -float("inf")
        self.failures = 0
        self.ejections = 0
        self.ejected_until = -float("inf")


class Router:
    """Balances calls by power of two choices, and prefers backends in the same zone.

    Utilization is estimated from this node's calls in flight to the backend server and
    from the load that it last reported.

    Args:
        members: The members of the fleet, with the services they serve.
    """

    def __init__(self, members: Members):
        self._members = members
        self._stats: dict[str, BackendStats] = {}
        self._members_by_service: dict[str, list[Member]] = {}
        self._members_version = -1

    def choose(self, service: str, excluded: set[str]) -> Member | None:
        """Return the member to send a call to, or None if there is none.

        Args:
            service: The call's service.
            excluded: Instances on which this call has already failed.
        """
        serving = self._get_serving_members(service)
        candidates = [m for m in serving if m.instance not in excluded]
        candidates = self._exclude_ejected(candidates)
        if not candidates:
            return None
        zone = self._members.own.zone
        same_zone = [member for member in candidates if member.zone == zone]
        cross_zone = [member for member in candidates if member.zone != zone]
        if not same_zone:
            return self._choose_from_two(cross_zone)
        best = self._choose_from_two(same_zone)
        if cross_zone:
            other = self._choose_from_two(cross_zone)
            if self._compute_utilization(
                other
            ) + CROSS_ZONE_UTILIZATION_MARGIN < self._compute_utilization(best):
                return other
        return best

    def find_nodes(self, service: str, max_count: int) -> list[str]:
        """Return caller addresses of nodes that serve a service, chosen at random.

        Nodes in the same zone are preferred.
        """
        serving = self._get_serving_members(service)
        zone = self._members.own.zone
        same_zone = [member for member in serving if member.zone == zone]
        pool = same_zone or serving
        chosen = random.sample(pool, min(max_count, len(pool)))
        return [member.callers for member in chosen]

    def get_stats(self, instance: str) -> BackendStats:
        """Return the statistics of a member."""
        stats = self._stats.get(instance)
        if stats is None:
            stats = self._stats[instance] = BackendStats(instance)
        return stats

    def update_load(self, stats: BackendStats, load: bytes) -> None:
        """Update the load reported in a response; a malformed value is ignored."""
        parts = load.split(b",")
        if len(parts) != 3 or not all(part.isdigit() for part in parts):
            return
        in_flight, concurrency_limit, queued = (int(part) for part in parts)
        stats.reported_calls = in_flight + queued
        stats.concurrency_limit = concurrency_limit
        stats.reported_at = time.monotonic()

    def record_success(self, stats: BackendStats) -> None:
        """Record that a member responded."""
        stats.failures = 0
        stats.ejections = max(0, stats.ejections - 1)

    def record_failure(self, stats: BackendStats) -> float:
        """Record a connection failure; eject the member after several in a row.

        Returns:
            Seconds for which it is ejected; 0 if it is not.
        """
        stats.failures += 1
        if stats.failures < FAILURES_TO_EJECT:
            return 0.0
        stats.failures = 0
        stats.ejections += 1
        max_seconds = min(
            MAX_EJECTION_SECONDS, BASE_EJECTION_SECONDS * 2**stats.ejections
        )
        seconds = random.uniform(max_seconds / 2, max_seconds)
        stats.ejected_until = time.monotonic() + seconds
        return seconds

    def remove_stats(self, instance: str) -> None:
        """Remove the statistics of a member that has left or failed."""
        self._stats.pop(instance, None)

    def _get_serving_members(self, service: str) -> list[Member]:
        if self._members_version != self._members.version:
            self._members_version = self._members.version
            self._members_by_service = {}
            for member in self._members:
                if member.serving and member.state in (State.ALIVE, State.SUSPECT):
                    self._members_by_service.setdefault(member.service, []).append(
                        member
                    )
        return self._members_by_service.get(service, [])

    def _exclude_ejected(self, candidates: list[Member]) -> list[Member]:
        now = time.monotonic()
        ejected = [
            member
            for member in candidates
            if self.get_stats(member.instance).ejected_until > now
        ]
        max_ejected = max(1, int(len(candidates) * MAX_EJECTED_FRACTION))
        if not ejected:
            return candidates
        if len(ejected) > max_ejected:
            ejected.sort(key=lambda m: self.get_stats(m.instance).ejected_until)
            ejected = ejected[-max_ejected:]
        kept = [member for member in candidates if member not in ejected]
        return kept or candidates

    def _choose_from_two(self, members: list[Member]) -> Member:
        if len(members) == 1:
            return members[0]
        one, other = random.sample(members, 2)
        return (
            one
            if self._compute_utilization(one) <= self._compute_utilization(other)
            else other
        )

    def _compute_utilization(self, member: Member) -> float:
        """Return the member's utilization, higher during slow start."""
        stats = self.get_stats(member.instance)
        age = time.monotonic() - stats.reported_at
        reported_calls = stats.reported_calls * max(
            0.0, 1 - age / REPORTED_LOAD_MAX_AGE_SECONDS
        )
        concurrency_limit = stats.concurrency_limit or member.slots or DEFAULT_SLOTS
        return max(reported_calls, stats.in_flight) / (
            concurrency_limit * self._get_slow_start_fraction(member)
        )

    def _get_slow_start_fraction(self, member: Member) -> float:
        age = time.time() - member.serving_since_ms / 1000
        if age >= SLOW_START_SECONDS or member.slots == 0:
            return 1.0
        return max(MIN_SLOW_START_FRACTION, age / SLOW_START_SECONDS)
