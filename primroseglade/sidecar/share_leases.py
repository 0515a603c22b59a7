"""Leases by which nodes lend their shares of all rates to a token holder of their zone.

Every node owns an equal share of each workspace's rate and burst. It lends this share,
for all workspaces at once, to one token holder in its availability zone: a node that
keeps token buckets and fills them at its part of the rates. A lease lends the share for
a limited time and is renewed. As a node lends its share to one holder at a time, the
shares of all holders do not add up to more than one, even if nodes disagree about which
nodes are up. `ShareLender` describes the exception after a restart.
"""

import math
import zlib
from collections.abc import Callable, Iterable

# Leases are renewed twice a second, so that they outlast one late or lost renewal.
LEASE_SECONDS = 1.2
# For shares lent to a holder within this time of its start, its buckets get initial
# tokens at once. For shares lent later, tokens only accrue over time.
INITIAL_LEASE_SECONDS = 2.0
# Number of token holders if the fleet has only one zone: when one fails, the other
# still has tokens. With several zones, one holder each is enough, because the holders
# of the other zones still have tokens.
SINGLE_ZONE_HOLDERS = 2


def count_zone_holders(zones: int) -> int:
    """Return how many nodes of each zone, the first by name, are token holders.

    Args:
        zones: Number of availability zones in the fleet.
    """
    return SINGLE_ZONE_HOLDERS if zones == 1 else 1


def assign_holder(node: str, holders: Iterable[str]) -> str:
    """Return the holder to which a node lends its share.

    Uses rendezvous hashing: if a holder is replaced, only the nodes that lent to it get
    another holder.
    """
    return max(holders, key=lambda name: zlib.crc32(f"{node} {name}".encode()))


class RemoteClock:
    """Lower bound of another node's clock, computed from its last received reading."""

    __slots__ = ("_received_at", "_remote_time")

    def __init__(self) -> None:
        self._remote_time: float | None = None
        self._received_at = 0.0

    def record(self, remote_time: float, now: float) -> None:
        """Record a reading received at ``now``; it lags by its message's delay."""
        self._remote_time = remote_time
        self._received_at = now

    def estimate(self, now: float) -> float | None:
        """Return a time that the clock has reached; None if no reading was recorded."""
        if self._remote_time is None:
            return None
        return self._remote_time + now - self._received_at


class ShareLender:
    """Lends this node's share to one holder at a time.

    After a restart, the node does not know to which holder its former process lent the
    share. That holder ends the former lease when the new process opens a stream to it.
    Before that, for example during a network partition, the new process may lend the
    share to another holder, too; `RateTolerance` keeps a reserve for this case.
    """

    __slots__ = ("_holder", "_lent_at")

    def __init__(self) -> None:
        self._holder = ""
        self._lent_at = -math.inf

    def choose_holder(
        self, assigned: str, reachable: Callable[[str], bool], now: float
    ) -> str:
        """Return the holder that has the share if reachable, else the assigned holder.

        Args:
            assigned: Holder assigned to this node by its current view of the zone.
            reachable: Returns whether requests can be sent to a node.
            now: Seconds on the monotonic clock.
        """
        if now < self._lent_at + LEASE_SECONDS and reachable(self._holder):
            return self._holder
        return assigned

    def may_lend(self, holder: str, now: float) -> bool:
        """Return whether no other holder has an unexpired lease of the share."""
        return holder == self._holder or now >= self._lent_at + LEASE_SECONDS

    def is_renewal_due(self, holder: str, now: float, seconds: float) -> bool:
        """Return whether the last lease is ``seconds`` old or another holder's."""
        return holder != self._holder or now - self._lent_at >= seconds

    def record_lease_sent(self, holder: str, now: float) -> None:
        """Record that a lease was sent to a holder."""
        self._holder = holder
        self._lent_at = now


class LeaseTable:
    """Shares that nodes lend to this node, and the full-rate seconds accrued from them.

    Full-rate seconds are seconds multiplied by the share held: half of all shares for
    two seconds accrue one. Multiplied by a workspace's rate, they give the number of
    its tokens accrued here.

    Args:
        count_nodes: Returns the number of nodes among which rates are divided; 0 while
            it is unknown.
        started_at: When this node started, in seconds on the monotonic clock.

    Attributes:
        on_lease_end: Called when a lease has ended, to drop the tokens that exceed the
            remaining share.
    """

    def __init__(self, count_nodes: Callable[[], int], started_at: float):
        self.on_lease_end: Callable[[], None] = lambda: None
        self._count_nodes = count_nodes
        self._lease_ends: dict[str, float] = {}
        self._next_lease_end = math.inf
        self._advanced_at = -math.inf
        self._full_rate_seconds = 0.0
        self._full_rate_seconds_at_lease_end = 0.0
        self._no_lease_ended = True
        self._initial_until = started_at + INITIAL_LEASE_SECONDS
        self._initial_share = 0.0

    def __len__(self) -> int:
        return len(self._lease_ends)

    @property
    def initial_share(self) -> float:
        """Largest share held within `INITIAL_LEASE_SECONDS` of this node's start."""
        return self._initial_share

    @property
    def share(self) -> float:
        """Fraction of each rate and burst that is lent to this node."""
        nodes = self._count_nodes()
        return min(1.0, len(self._lease_ends) / nodes) if nodes else 0.0

    @property
    def full_rate_seconds(self) -> float:
        """Full-rate seconds accrued here up to the last call of `advance`."""
        return self._full_rate_seconds

    @property
    def no_lease_ended(self) -> bool:
        """Whether no lease has ended since this node started."""
        return self._no_lease_ended

    @property
    def uninterrupted_full_rate_seconds(self) -> float:
        """Full-rate seconds accrued since a lease last ended."""
        return self._full_rate_seconds - self._full_rate_seconds_at_lease_end

    def renew(self, lender: str, lease_end: float, now: float) -> None:
        """Add or extend a lease that ends at ``lease_end``, unless that has passed."""
        self.advance(now)
        if lease_end <= now:
            return
        self._lease_ends[lender] = lease_end
        self._next_lease_end = min(self._lease_ends.values())
        if now <= self._initial_until:
            self._initial_share = max(self._initial_share, self.share)

    def revoke(self, lender: str, now: float) -> None:
        """End the lease of a node that was restarted, if there is one."""
        self.advance(now)
        if self._lease_ends.pop(lender, None) is not None:
            self._record_lease_end()

    def advance(self, now: float) -> float:
        """End expired leases; return the full-rate seconds accrued here until now."""
        while self._next_lease_end <= now:
            self._accrue(self._next_lease_end)
            expired = [
                name
                for name, at in self._lease_ends.items()
                if at <= self._next_lease_end
            ]
            for lender in expired:
                del self._lease_ends[lender]
            self._record_lease_end()
        self._accrue(now)
        return self._full_rate_seconds

    def _accrue(self, until: float) -> None:
        if until > self._advanced_at:
            if self._lease_ends:
                self._full_rate_seconds += self.share * (until - self._advanced_at)
            self._advanced_at = until

    def _record_lease_end(self) -> None:
        self._next_lease_end = min(self._lease_ends.values(), default=math.inf)
        self._no_lease_ended = False
        self._full_rate_seconds_at_lease_end = self._full_rate_seconds
        self.on_lease_end()
