"""Connects the components that enforce the rates of workspaces at a node."""

import random
import time
from collections.abc import Callable

from ..observe.events import Journal
from .clock import read_age_clock
from .fleet import Fleet
from .frames import TokenGrant, TokenRequest
from .model import NodeEntry
from .quota import Quotas
from .rate_monitor import RateMonitor
from .rate_tolerance import RateTolerance
from .share_leases import (
    assign_holder,
    count_zone_holders,
    LEASE_SECONDS,
    LeaseTable,
    ShareLender,
)
from .token_broker import GrantHandler, TokenBroker
from .token_pool import TokenPool

LEASE_RENEWAL_SECONDS = 0.45
# After its start, a node does not yet have streams to all known nodes. For this time,
# it lends its share only to the holder that it would be assigned if all of them were
# reachable. Otherwise, it might first lend the share to another holder, and the
# assigned one would lack the share until that lease ends.
HOLDER_DISCOVERY_SECONDS = 1.0


class RateControl:
    """Enforces the rates of workspaces at one node.

    It enforces the rates of calls that enter the fleet at this node, lends the node's
    share to a token holder, and keeps the token buckets if the node itself is a holder.

    Args:
        entry: This node's entry in the list of nodes.
        fleet: The other nodes.
        count_nodes: Returns the number of nodes among which rates are divided; 0 while
            it is unknown.
        first_start: Whether the whole fleet starts for the first time.
        rate_tolerance: Computes the limits to enforce from the configured ones.
        journal: Receives events.
        rng: Chooses at random, for example among the other holders.
    """

    def __init__(
        self,
        entry: NodeEntry,
        fleet: Fleet,
        count_nodes: Callable[[], int],
        first_start: bool,
        rate_tolerance: RateTolerance,
        journal: Journal,
        rng: random.Random,
    ):
        self._entry = entry
        self._fleet = fleet
        self._count_nodes = count_nodes
        self._lender = ShareLender()
        self._lender_starts: dict[str, int] = {}
        self._discovery_until = time.monotonic() + HOLDER_DISCOVERY_SECONDS
        self._holders = [entry.name]
        self._assigned_holder = entry.name
        self._leases = LeaseTable(count_nodes, time.monotonic())
        self.pool = TokenPool(self._leases, first_start)
        self.broker = TokenBroker(entry.name, self.pool, self, time.monotonic, rng)
        self.quotas = Quotas(
            entry.name, self.broker, self, rate_tolerance, time.monotonic, rng
        )
        self.monitor = RateMonitor(self.pool, journal)

    def get_holder(self) -> str:
        """Return the name of the holder that this node requests tokens from."""
        if not self._is_reachable(self._assigned_holder):
            self._update_holders()
        return self._lender.choose_holder(
            self._assigned_holder, self._is_reachable, time.monotonic()
        )

    def list_holders(self) -> list[str]:
        """Return the names of the reachable holders of all availability zones."""
        return self._holders

    def request_tokens(
        self, node: str, request: TokenRequest, done: GrantHandler
    ) -> None:
        """Send a request for tokens; it fails at once if the node is unknown."""
        peer = self._fleet.get(node)
        if peer is None:
            done(None)
        else:
            peer.request_tokens(request, done)

    def answer(
        self, sender: str, request: TokenRequest, send: Callable[[TokenGrant], None]
    ) -> None:
        """Answer another node's request for tokens."""

        def reply(grant: TokenGrant | None) -> None:
            if grant is not None:
                send(grant)

        self.broker.handle_request(sender, request, reply)

    def renew_lease(self, now: float) -> None:
        """Lend this node's share to its assigned holder, if a renewal is due."""
        self._leases.advance(now)
        self._update_holders()
        holder = self._assigned_holder
        if not self._count_nodes() or not self._lender.may_lend(holder, now):
            return
        if not self._lender.is_renewal_due(holder, now, LEASE_RENEWAL_SECONDS):
            return
        if now < self._discovery_until and holder != self._find_expected_holder():
            return
        if holder == self._entry.name:
            self._leases.renew(holder, now + LEASE_SECONDS, now)
            self._lender.record_lease_sent(holder, now)
            return
        peer = self._fleet.get(holder)
        if peer is not None and peer.lend_share(LEASE_SECONDS):
            # The clock is read after sending, so that this lease has ended before the
            # share is lent to another holder.
            self._lender.record_lease_sent(holder, time.monotonic())

    def record_lease(self, lender: NodeEntry, lease_end_ms: int) -> None:
        """Record that a node lends its share to this node.

        Args:
            lender: The lending node.
            lease_end_ms: End of the lease in ms, on the clock that `read_age_clock`
                reads at this node.
        """
        now = time.monotonic()
        self._lender_starts[lender.name] = lender.start_time_ms
        lease_end = now + lease_end_ms / 1000 - read_age_clock()
        self._leases.renew(lender.name, min(lease_end, now + LEASE_SECONDS), now)

    def record_node_start(self, entry: NodeEntry) -> None:
        """End the lease of a node's former process, if the node was restarted."""
        if (
            self._lender_starts.get(entry.name, entry.start_time_ms)
            < entry.start_time_ms
        ):
            del self._lender_starts[entry.name]
            self._leases.revoke(entry.name, time.monotonic())

    def _update_holders(self) -> None:
        holders_by_zone = self._list_holders_by_zone()
        self._holders = [name for names in holders_by_zone.values() for name in names]
        self._assigned_holder = assign_holder(
            self._entry.name, holders_by_zone[self._entry.zone]
        )

    def _list_holders_by_zone(self, connected: bool = True) -> dict[str, list[str]]:
        index = self._fleet.index
        return index.list_first_by_zone(count_zone_holders(index.zone_count), connected)

    def _find_expected_holder(self) -> str:
        """Return the holder that would be assigned if all nodes were reachable."""
        holders = self._list_holders_by_zone(connected=False)[self._entry.zone]
        return assign_holder(self._entry.name, holders)

    def _is_reachable(self, name: str) -> bool:
        if name == self._entry.name:
            return True
        peer = self._fleet.get(name)
        return peer is not None and peer.connected
