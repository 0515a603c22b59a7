"""Leases by which nodes pool their shares of all rates at one node of their zone.

Every node owns an equal share of each workspace's rate and burst. It lends the share,
for all workspaces at once, to a token holder of its availability zone. Because a share
is lent to one holder at a time, the shares of all holders add up to one at most,
whatever the nodes believe about each other.
"""

import math
import zlib
from collections.abc import Callable, Iterable

# Renewed twice a second; outlasts one renewal that is late or lost.
LEASE_SECONDS = 1.2
# A holder begins with some tokens for what is lent to it within this time of its start.
INITIAL_LEASE_SECONDS = 2.0
# Token holders of the only zone of a fleet. While one fails, the other has tokens left;
# with several zones, the holders of the others do.
SINGLE_ZONE_HOLDERS = 2


def count_zone_holders(zones: int) -> int:
    """Return the number of token holders in each zone, its first nodes by name.

    Args:
        zones: Number of the fleet's availability zones.
    """
    return SINGLE_ZONE_HOLDERS if zones == 1 else 1


def assign_holder(node: str, holders: Iterable[str]) -> str:
    """Return the holder to which a node lends its share.

    Rendezvous hashing: if a holder is replaced, only its own lenders move.
    """
    return max(holders, key=lambda name: zlib.crc32(f"{node} {name}".encode()))


class RemoteClock:
    """Lower bound of the clock of another node, as last told by it."""

    __slots__ = ("_received_at", "_remote_time")

    def __init__(self) -> None:
        self._remote_time: float | None = None
        self._received_at = 0.0

    def record(self, remote_time: float, now: float) -> None:
        """Take in the other clock's time; it has advanced by the way here since."""
        self._remote_time = remote_time
        self._received_at = now

    def estimate(self, now: float) -> float | None:
        """Return a time that the other clock has reached; None if it is unknown."""
        if self._remote_time is None:
            return None
        return self._remote_time + now - self._received_at


class ShareLender:
    """Lends this node's share to one holder at a time.

    A node that was just restarted does not know to whom its former process lent the
    share. A lease of the new process replaces the former one at the same holder.
    """

    __slots__ = ("_holder", "_lent_at")

    def __init__(self) -> None:
        self._holder = ""
        self._lent_at = -math.inf

    def choose_holder(
        self, assigned: str, reachable: Callable[[str], bool], now: float
    ) -> str:
        """Return the node to ask for tokens: where this node's share is, if possible.

        Args:
            preferred: The holder assigned to this node, as it sees its zone.
            reachable: Whether a node can be asked.
            now: Seconds on the monotonic clock.
        """
        if now < self._lent_at + LEASE_SECONDS and reachable(self._holder):
            return self._holder
        return assigned

    def may_lend(self, holder: str, now: float) -> bool:
        """Whether the share is not lent to another holder."""
        return holder == self._holder or now >= self._lent_at + LEASE_SECONDS

    def is_renewal_due(self, holder: str, now: float, seconds: float) -> bool:
        """Whether the last lease is of another holder, or older than some seconds."""
        return holder != self._holder or now - self._lent_at >= seconds

    def record_lease_sent(self, holder: str, now: float) -> None:
        """Record a lease that was sent."""
        self._holder = holder
        self._lent_at = now


class LeaseTable:
    """Shares lent to this node.

    Args:
        count_nodes: Returns the number of nodes among which rates are divided; 0 while
            it is unknown.
        started: When this node started, in seconds on the monotonic clock.

    Attributes:
        on_lease_lost: Called when a lease has ended; stored tokens are lost with it.
    """

    def __init__(self, count_nodes: Callable[[], int], started_at: float):
        self.on_lease_lost: Callable[[], None] = lambda: None
        self._count_nodes = count_nodes
        self._expiries: dict[str, float] = {}
        self._next_expiry = math.inf
        self._advanced_at = -math.inf
        self._accrued_seconds = 0.0
        self._accrued_at_last_loss = 0.0
        self._uninterrupted = True
        self._initial_until = started_at + INITIAL_LEASE_SECONDS
        self._initial_share = 0.0

    def __len__(self) -> int:
        return len(self._expiries)

    @property
    def initial_share(self) -> float:
        """Share that was lent within `EARLY_SECONDS` of this node's start."""
        return self._initial_share

    @property
    def share(self) -> float:
        """Fraction of each rate and burst that this node holds."""
        nodes = self._count_nodes()
        return min(1.0, len(self._expiries) / nodes) if nodes else 0.0

    @property
    def accrued_seconds(self) -> float:
        """Seconds of the whole rate that accrued here, as of the last advance."""
        return self._accrued_seconds

    @property
    def uninterrupted(self) -> bool:
        """Whether no lease has ended so far."""
        return self._uninterrupted

    @property
    def uninterrupted_seconds(self) -> float:
        """Seconds of the whole rate accrued since a lease was last lost."""
        return self._accrued_seconds - self._accrued_at_last_loss

    def renew(self, lender: str, until: float, now: float) -> None:
        """Add or extend a lease; one that arrives after its end is ignored."""
        self.advance(now)
        if until <= now:
            return
        self._expiries[lender] = until
        self._next_expiry = min(self._expiries.values())
        if now <= self._initial_until:
            self._initial_share = max(self._initial_share, self.share)

    def revoke(self, lender: str, now: float) -> None:
        """End the lease of a node that was restarted."""
        self.advance(now)
        if self._expiries.pop(lender, None) is not None:
            self._record_lease_end()

    def advance(self, now: float) -> float:
        """Return the seconds of the whole rate that accrued here until now."""
        while self._next_expiry <= now:
            self._accrue(self._next_expiry)
            expired = [n for n, at in self._expiries.items() if at <= self._next_expiry]
            for name in expired:
                del self._expiries[name]
            self._record_lease_end()
        self._accrue(now)
        return self._accrued_seconds

    def _accrue(self, until: float) -> None:
        if until > self._advanced_at:
            if self._expiries:
                self._accrued_seconds += self.share * (until - self._advanced_at)
            self._advanced_at = until

    def _record_lease_end(self) -> None:
        self._next_expiry = min(self._expiries.values(), default=math.inf)
        self._uninterrupted = False
        self._accrued_at_last_loss = self._accrued_seconds
        self.on_lease_lost()
